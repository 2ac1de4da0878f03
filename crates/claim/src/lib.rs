//! At-most-once execution by idempotency keys that are claimed in the table service.
//!
//! A request that may not be repeated claims its key before it is sent to a backend server. One
//! [`driver::Driver`] per entry commits the claims in groups.

mod batch;
pub mod canonical;
pub mod claim_cfg;
pub mod claims;
pub mod driver;
pub mod fingerprint;
pub mod record;
pub mod retention;
pub mod settle;
pub mod store;
pub mod ticket;
