//! Placement decisions: gangs, guarantees, quotas, reclaim and quarantine.
//!
//! The crate does no I/O and reads no clock: it takes an event and returns a decision.

mod amount;
pub mod check;
mod claim;
mod compact;
pub mod event;
mod gang;
mod guarantee;
mod health;
mod jobs;
mod learn;
pub mod order;
mod place;
pub mod plan_cfg;
mod queue;
pub mod record;
mod refuse;
mod report;
mod sites;
mod slots;
mod starve;
pub mod state;
mod urgent;
mod workers;
