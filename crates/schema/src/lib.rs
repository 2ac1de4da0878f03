//! Typed configuration model, read from schema versions 1 and 2.
//!
//! Both versions are parsed into the same model, so the other crates don't depend on the version
//! in which a record was written.

pub mod change;
pub mod check;
pub mod config;
pub mod job;
pub mod migrate;
pub mod organisation;
pub mod read;
pub mod record;
pub mod service;
pub mod shape;
pub mod text;
pub mod v1;
pub mod v1_write;
pub mod v2;
