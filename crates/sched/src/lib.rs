//! The scheduler process: lease, controllers, orders to workers.
