//! Client of the platform's table service, object store and VM list.

pub mod mem;
pub mod table;
pub mod vm;
