//! The entry process: filter chain, dispatch to backend servers, drain.
//!
//! One ntex server with one worker thread serves callers and operators; all state belongs to that
//! thread.

pub mod auth;
pub mod backend;
pub mod balancer;
pub mod call;
pub mod config;
pub mod decisions;
pub mod dispatch;
pub mod dump;
pub mod entry_cfg;
pub mod fields;
pub mod http;
pub mod input;
pub mod members;
pub mod metrics;
pub mod refusal;
pub mod schedulers;
pub mod server;
pub mod settle;
pub mod state;
pub mod tasks;
pub mod vm_watch;

pub use server::{Handle, run, start};
