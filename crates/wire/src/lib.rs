//! Messages and h2 transport between the processes of buckthorncove.
//!
//! One connection is kept for each peer and opened with [`message::Request::Hello`]. Each exchange
//! is one h2 stream that carries one frame in each direction.

pub mod client;
pub mod frame;
pub mod message;
pub mod server;
