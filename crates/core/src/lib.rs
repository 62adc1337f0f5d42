//! Decision logic and shared types of guavaarch.
//!
//! Nothing in this crate does I/O or reads a clock: callers pass the time as [`units::Millis`] and randomness as a
//! generator, so that every decision can be tested against a naive implementation and replayed.

#[macro_use]
mod macros;

pub mod answer;
pub mod chart;
pub mod codes;
pub mod config;
pub mod confirmation;
pub mod demand;
pub mod events;
pub mod gossip;
pub mod gossip_entry;
pub mod idempotency;
pub mod ids;
pub mod intake;
pub mod jobs;
pub mod keys;
pub mod lease;
pub mod membership;
pub mod orders;
pub mod permits;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod quota;
pub mod rendezvous;
pub mod request;
pub mod routing;
pub mod scheduler;
pub mod snapshot;
pub mod termination;
pub mod units;
