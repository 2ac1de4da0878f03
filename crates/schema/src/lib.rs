//! Typed configuration model of buckthorncove, read from schema versions 1 and 2.
