//! Decision logic of the entry process, without I/O and without a clock.
//!
//! An entry process runs on every VM, accepts callers' requests and takes part in controlling the fleet. The modules of
//! this crate make the decisions; `guava-entry` carries them out. The current time is passed as a
//! [`guava_core::units::Millis`] argument.

pub mod binding;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod config_extension;
pub mod crashes;
pub mod departures;
pub mod events;
pub mod health;
pub mod load;
pub mod model;
pub mod pacing;
pub mod placement;
pub mod quota;
pub mod reach;
pub mod routes;
pub mod server_limits;
pub mod statements;
pub mod streams;
pub mod succession;
pub mod zones;
