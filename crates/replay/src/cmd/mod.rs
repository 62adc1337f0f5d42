//! Commands, one file each.

pub mod generate;
pub mod plot;
pub mod run;
