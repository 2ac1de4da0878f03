//! Stand-ins for the platform, workers and backend servers, with configurable faults.

pub mod backend;
pub mod backend_cfg;
pub mod faults;
mod http_server;
pub mod narrow_link;
pub mod platform;
pub mod platform_cfg;
mod platform_state;
mod query;
pub mod worker;
pub mod worker_cfg;
mod worker_state;
#[cfg(test)]
mod worker_state_tests;
