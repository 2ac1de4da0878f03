//! Clock, names, numbers, sorted maps and input limits shared by all crates.

pub mod clock;
pub mod limits;
pub mod name;
pub mod number;
pub mod sorted;
