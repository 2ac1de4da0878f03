//! Benchmarks.

pub mod load;
pub mod path;
