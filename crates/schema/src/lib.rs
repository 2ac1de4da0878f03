//! Typed configuration model, read from schema versions 1 and 2.

pub mod config;
pub mod job;
pub mod organisation;
pub mod service;
pub mod shape;
