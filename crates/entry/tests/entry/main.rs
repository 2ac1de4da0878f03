//! Behaviour of an entry between stand-ins.

mod claims;
mod decisions;
mod faults;
mod history;
mod input;
mod lease;
mod leaving;
mod path;
mod setup;
mod stop;
