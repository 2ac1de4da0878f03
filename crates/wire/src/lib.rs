//! Messages and h2 transport between the processes of buckthorncove.

pub mod message;
