//! Behaviour of an entry between stand-ins.

mod claims;
mod faults;
mod path;
mod setup;
