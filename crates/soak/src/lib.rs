//! Randomised fault soak of the entry processes.
//!
//! The real programs run as separate processes on loopback before a stand-in of the platform. Faults come from outside:
//! links through proxies are delayed, reset, cut one way or silenced; processes are stopped, paused, killed and
//! restarted by signals; the store and the backend servers misbehave. Faults come in series and overlap. What callers
//! and backend servers see is checked against what the system promises.

pub mod checks;
pub mod cmd;
pub mod error;
pub mod faults;
pub mod fleet;
pub mod proxy;
pub mod traffic;
