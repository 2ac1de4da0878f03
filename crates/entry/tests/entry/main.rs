//! Behaviour of an entry between stand-ins.

mod claims;
mod faults;
mod leaving;
mod path;
mod setup;
mod stop;
