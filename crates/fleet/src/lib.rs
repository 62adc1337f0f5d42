//! Decisions of the entry process, without I/O and without a clock.
//!
//! An entry process stands on every VM, takes callers' requests and does its share of control. The modules here decide;
//! `guava-entry` carries out. Time is a [`guava_core::units::Millis`] argument.

pub mod budget;
pub mod choice;
pub mod events;
pub mod health;
pub mod model;
pub mod pacing;
pub mod placement;
pub mod quota;
pub mod routes;
