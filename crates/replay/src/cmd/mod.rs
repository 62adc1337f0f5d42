//! Subcommands of `guava-replay`, one module each.

pub mod generate;
pub mod plot;
pub mod run;
