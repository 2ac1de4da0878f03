//! Membership of entries and schedulers through the table service.
//!
//! The row `members` lists all members, and each member renews a row of its own. A registration
//! and a removal change both rows in one transaction. A change of the configuration checks the
//! version of `members`, so it knows exactly which members it has to wait for: a member that
//! registers later finds the new revision when it checks `rev`.

pub mod own;
pub mod rows;
