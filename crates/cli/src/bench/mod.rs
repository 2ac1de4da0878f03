//! Measurements.

pub mod load;
pub mod path;
