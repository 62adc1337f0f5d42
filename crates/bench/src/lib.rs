//! Library of the benchmarks, separate from the commands so that its calculations can be tested.

pub mod allocator;
pub mod drive;
pub mod error;
pub mod fit;
pub mod parts;
pub mod process;
pub mod slopes;
pub mod table;
