//! The lease that one process of several holds: a state machine without I/O.

pub mod lease_cfg;
pub mod machine;
pub mod table;
pub mod task;
