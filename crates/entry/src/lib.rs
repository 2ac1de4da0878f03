//! The entry process: filter chain, dispatch to backend servers, drain.
