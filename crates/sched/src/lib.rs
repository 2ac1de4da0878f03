//! The scheduler process: lease, controllers and orders to workers.

mod answer;
pub mod cfg;
mod config;
mod ctx;
mod executor;
mod http;
mod jobs;
mod leader;
mod lease_task;
mod members;
mod metrics;
pub mod process;
pub mod queue;
pub mod rate_limiter;
pub mod records;
mod restore;
mod retention;
pub mod rollout;
pub mod row_ages;
pub mod rows;
mod server;
mod state;
pub mod voters;
mod voting;
mod worker_client;
pub mod worker_link;
mod workers;

pub use process::{Handle, run, start};
