//! Limits, choice of backend server, fair admission and retry budget of one entry.
