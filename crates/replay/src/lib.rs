//! Replay of recorded traces against the decision logic of `guava_core`.
//!
//! A replay runs the plan of each pool and the queues of each router against simulated engines and a simulated weight
//! store in virtual time. Nothing reads a clock or uses randomness, so replays of the same trace give the same result.

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
