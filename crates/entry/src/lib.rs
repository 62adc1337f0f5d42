//! Entry process of guavaarch on the users' platform.
//!
//! One process on each VM takes callers' requests and does its share of control: it follows the store, exchanges what it
//! knows with the other entry processes, and one of them at a time, found by a lease, orders loads.

pub mod admission;
pub mod attempt;
pub mod callers;
pub mod changes;
pub mod client;
pub mod cluster_view;
pub mod coordinator;
pub mod feed;
pub mod logging;
pub mod metrics;
pub mod path;
pub mod peers;
pub mod program;
pub mod relay;
pub mod reply;
pub mod request;
pub mod sampling;
pub mod state;
pub mod story;
pub mod watch;
