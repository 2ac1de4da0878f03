//! A process on a VM of the system: an entry for jobs and a candidate for the leader lease.
//!
//! An entry stores accepted jobs itself. The process that holds the lease reads them from the
//! store, decides where their subtasks run and sends orders to workers. All durable state is in the
//! store.

mod accept;
mod activity;
mod authorise;
mod call_metrics;
mod calls;
mod cancellations;
mod changes;
mod checkpoints;
mod commit;
mod config;
mod config_diff;
mod cx;
mod dump;
mod evacuation;
#[cfg(test)]
mod evacuation_tests;
mod extension;
mod front;
mod intake;
mod leader;
mod lease_task;
mod link_log;
mod load;
mod load_log;
mod metrics;
pub mod node_cfg;
mod orders;
mod peers;
mod pending;
mod policy;
pub mod process;
mod readiness;
mod refusal;
mod requests;
mod retention;
mod retried_write;
mod rows;
mod shown_phase;
mod stop;
mod table_read;
mod turns;
mod window;
mod worker_lease;
mod worker_list;
mod worker_session;
