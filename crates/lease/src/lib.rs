//! Leader lease in a table service: at most one of several processes holds it at a time.
//!
//! [`machine`] is a state machine without I/O, [`table`] executes its steps on a table service, and
//! [`task`] runs both until the lease is released.

pub mod lease_cfg;
pub mod machine;
mod rights;
mod state;
pub mod table;
pub mod task;
