//! The scheduler process: lease, controllers and orders to workers.

pub mod accept;
mod answer;
pub mod cfg;
mod config;
mod ctx;
mod executor;
mod http;
mod jobs;
mod leader;
mod lease_task;
pub mod link;
mod members;
mod metrics;
pub mod pace;
pub mod process;
pub mod queue;
pub mod records;
mod restore;
mod retention;
pub mod rows;
mod server;
mod state;
mod worker_client;
mod workers;

pub use process::{Handle, run, start};
