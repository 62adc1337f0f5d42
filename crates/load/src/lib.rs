//! Load tool: traces of requests, an open-loop client and the report of a run.
//!
//! Latency is measured from the scheduled arrival of a request, not from the time at which it was sent. This avoids
//! coordinated omission: a slow server cannot hide its delays by slowing down the client.

pub mod client;
pub mod error;
pub mod generate;
pub mod report;
pub mod trace;
