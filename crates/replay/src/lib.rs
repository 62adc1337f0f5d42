//! Replay of recorded traces against the decision logic of `guava_core`.
//!
//! One process drives one pool plan per pool, the routers' queues and small models of the engines and of the weight
//! store in virtual time. Nothing reads a clock or uses randomness, so a replay of the same trace gives the same result.

pub mod bound;
pub mod engine;
pub mod error;
pub mod expect;
pub mod figures;
pub mod plot;
pub mod pool;
pub mod queues;
pub mod replay;
pub mod scenario;
pub mod store;
