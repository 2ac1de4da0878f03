//! Clients of the platform's table service, object store and VM list.

pub mod call_account;
pub mod client;
pub mod hedge;
pub mod http;
pub mod http_cfg;
pub mod http_client;
pub mod latency;
pub mod long_row;
pub mod mem;
pub mod objects;
pub mod pace;
pub mod pages;
pub mod reach;
mod repeat;
pub mod store_clock;
pub mod table;
pub mod vm;
pub mod vms;
