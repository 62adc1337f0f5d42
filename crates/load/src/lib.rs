//! Load tool: traces of requests, open-loop sending and the four measures.
//!
//! Latency counts from the moment at which the trace schedules a request and not from the moment at which it was sent,
//! so a slow server cannot hide its delays by slowing the sender down.

pub mod client;
pub mod error;
pub mod generate;
pub mod report;
pub mod trace;
