//! Progress of transfers over a network, and limits that follow it.

pub mod exchange;
pub mod limit;
