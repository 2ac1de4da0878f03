//! A process on a VM of the system: an entry for jobs and a candidate for the scheduler's lease.
//!
//! An entry stores an accepted job itself; the process that holds the lease reads it from there,
//! decides where its subtasks run and gives orders to workers. What must last is in the store.

mod accept;
mod advice;
mod authorise;
mod commit;
mod config;
mod contact;
mod cx;
mod dump;
mod forget;
mod front;
mod intake;
mod leader;
mod lease_task;
mod load;
mod metrics;
pub mod node_cfg;
mod orders;
mod peers;
pub mod process;
mod refusal;
mod rows;
mod worker_list;
