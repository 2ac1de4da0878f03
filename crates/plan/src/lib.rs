//! Placement decisions: gangs, guarantees, quotas, reclaim and quarantine.
//!
//! The crate does no I/O and reads no clock: it takes an event and returns a decision.

pub mod event;
mod gang;
mod health;
mod jobs;
pub mod order;
mod place;
pub mod plan_cfg;
pub mod record;
mod refuse;
mod report;
pub mod state;
mod workers;
