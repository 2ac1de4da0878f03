//! The entry process: request checks, dispatch to backend servers, and planned stops.
//!
//! One ntex server with a single worker thread serves callers and operators; that thread owns all
//! state.

pub mod auth;
pub mod backend;
pub mod balancer;
pub mod body;
pub mod call;
pub mod config;
pub mod control_plane;
pub mod dispatch;
pub mod dump;
pub mod entry_cfg;
pub mod http;
pub mod members;
pub mod metrics;
pub mod refresh;
pub mod refusal;
pub mod schedulers;
pub mod server;
pub mod settings_reader;
pub mod settle;
pub mod state;
pub mod tasks;
pub mod vm_list;

pub use server::{Handle, run, start};
