//! Tests of an entry with stand-ins for the platform, the backend servers and the schedulers.

mod calls;
mod claims;
mod config_lease;
mod control_plane;
mod faults;
mod history;
mod invalid_input;
mod leaving;
mod narrow_link;
mod schedulers;
mod setup;
mod stop;
