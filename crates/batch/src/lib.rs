//! Scheduling of multi-step jobs: where and when each subtask starts, and how its result affects
//! the job.
//!
//! The crate does no I/O and reads no clock. [`scheduler::JobScheduler`] takes events and returns
//! records to store and orders to send. The caller must store the records before it sends the
//! orders.
//!
//! Fields and variables named `task` refer to subtasks.

pub mod answer_time;
pub mod call_queue;
pub mod call_window;
mod candidates;
mod capacity;
pub mod config;
mod crash;
pub mod delay_cost;
mod evacuation;
mod expected;
mod failing;
pub mod grant;
mod isolation;
mod isolation_wait;
pub mod job;
mod job_end;
mod jobs;
mod known_jobs;
mod known_workers;
mod observations;
mod open_job;
pub mod order_load;
pub mod outbox;
pub mod pacing;
mod placement;
mod placement_forecast;
pub mod policy;
mod policy_calls;
mod preemption;
pub mod preemption_log;
mod probation;
pub mod progress;
mod ranking;
mod reports;
mod reserve;
mod rest;
mod restart;
mod retention;
mod run_end;
pub mod scheduler;
mod search;
mod shortage;
pub mod speed_class;
pub mod speed_report;
mod speed_search;
pub mod stop_order;
mod typical_work;
pub mod usage;
mod victims;
mod wait_log;
mod window;
pub mod worker;
pub mod worker_clock;
pub mod worker_end;
mod worker_state;
pub mod zone_evacuation;
