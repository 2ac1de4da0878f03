//! The scheduler process: lease, controllers and orders to workers.

pub mod cfg;
pub mod lease;
pub mod link;
pub mod queue;
pub mod rows;
