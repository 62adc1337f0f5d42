//! Subcommands of `guava-load`, one module each.

pub mod generate;
pub mod run;
