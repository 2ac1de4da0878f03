//! Limits, choice of backend server, fair admission, retry budget and server health of one entry.
//!
//! The crate is pure: it does no I/O and reads no clock. Callers pass the time as [`Millis`] and
//! random numbers come from a seeded generator.
//!
//! [`Millis`]: base::clock::Millis

pub mod admit;
pub mod admit_cfg;
mod fair;
pub mod health;
pub mod health_cfg;
pub mod limits;
pub mod limits_cfg;
pub mod outcome;
pub mod retry;
pub mod retry_cfg;
