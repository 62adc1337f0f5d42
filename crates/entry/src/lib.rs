//! Entry process of guavaarch on the users' platform.
//!
//! One process runs on each VM. It serves callers' requests and takes part in control: it watches the platform's store,
//! gossips with the other entry processes, and one of them at a time, elected by a lease in the store, is the
//! coordinator that sends load orders to model engines.

pub mod admission;
pub mod attempt;
pub mod breakage;
pub mod caller_stream;
pub mod changes;
pub mod client;
pub mod cluster_view;
pub mod coordinator;
pub mod dispatch;
pub mod evacuations;
pub mod exclusion;
pub mod explain;
pub mod extension;
pub mod feed;
pub mod findings;
pub mod handover;
pub mod intake;
pub mod listeners;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod program;
pub mod refusals;
pub mod relay;
pub mod reply;
pub mod request;
pub mod request_log;
pub mod sampling;
pub mod state;
pub mod store_watch;
pub mod streams;
pub mod supervision;
