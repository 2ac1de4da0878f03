//! Placement decisions of the scheduler: gangs, guarantees, quotas, reclaim and quarantine.
//!
//! The crate does no I/O and reads no clock. It maps events to decisions.

mod admission;
mod borrow;
mod candidates;
pub mod check;
mod claim;
mod compact;
mod corrections;
mod crash;
pub mod event;
mod gang;
mod guarantee;
mod health;
mod hold_back;
mod jobs;
pub mod order;
pub mod plan_cfg;
mod preempt;
mod queue;
pub mod record;
mod report;
mod reservations;
mod resources;
pub mod state;
mod workers;
