//! Soak test that injects random faults into the entry processes.
//!
//! The entry processes run as separate processes on loopback, against a stand-in of the platform. Faults are injected
//! from outside and may overlap: proxies delay or reset the connections of a link, or hold bytes in one or both
//! directions; signals pause processes, or stop or kill them before they are started again; the store and the backend
//! servers answer late, with errors or not at all. The guarantees of the system are checked against what callers and
//! backend servers observe.

pub mod checks;
pub mod cmd;
pub mod error;
pub mod faults;
pub mod fleet;
pub mod limits;
pub mod proxy;
pub mod traffic;
