//! Placement decisions: gangs, guarantees, quotas, reclaim and quarantine.
//!
//! The crate does no I/O and reads no clock: it takes an event and returns a decision.

pub mod event;
pub mod order;
pub mod record;
