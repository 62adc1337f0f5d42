//! Commands, one file each.

pub mod generate;
pub mod run;
