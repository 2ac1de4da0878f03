//! The buckthorncove binary.

fn main() {}
