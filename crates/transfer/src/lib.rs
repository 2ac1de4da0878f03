//! Progress of transfers over a network.

pub mod arrival;
