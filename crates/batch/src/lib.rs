//! Decisions on jobs of several steps: which subtask starts where and when, and what its end means.
//!
//! The crate does no I/O and reads no clock. [`book::Book`] takes events and returns records to
//! store and orders to send; the caller stores the records before it sends the orders.

pub mod advice;
pub mod book;
mod capacity;
mod evacuate;
pub mod grant;
pub mod job;
mod order;
mod place;
mod preempt;
pub mod progress;
mod reports;
mod reserve;
mod rooms;
pub mod rules;
mod search;
mod victims;
pub mod worker;
