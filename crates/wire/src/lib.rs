//! Messages and h2 transport between the processes of buckthorncove.
//!
//! A client keeps one connection to its peer, and the first request on it is
//! [`message::Request::Hello`]. Each request and its reply use one h2 stream, which carries one
//! frame in each direction.

pub mod client;
pub mod frame;
pub mod message;
pub mod server;
mod socket;
