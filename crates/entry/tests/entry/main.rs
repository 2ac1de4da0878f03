//! Behaviour of an entry between stand-ins.

mod claims;
mod decisions;
mod faults;
mod input;
mod leaving;
mod lease;
mod path;
mod setup;
mod stop;
