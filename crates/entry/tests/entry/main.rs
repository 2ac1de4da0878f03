//! Behaviour of an entry between stand-ins.

mod faults;
mod path;
mod setup;
