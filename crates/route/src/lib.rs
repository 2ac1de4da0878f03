//! Limits, choice of backend server, fair admission, retry budget and server health of one entry.
//!
//! The crate does no I/O and reads no clock. Callers pass the time as [`Millis`], and random
//! numbers come from a seeded generator.
//!
//! [`Millis`]: base::clock::Millis

pub mod admission;
pub mod admission_cfg;
mod class_queue;
pub mod health;
pub mod health_cfg;
pub mod limits;
pub mod limits_cfg;
pub mod outcome;
pub mod retry;
pub mod retry_cfg;
