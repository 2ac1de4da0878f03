//! Membership of entries and schedulers through the table service.
//!
//! The row `members` lists all members, and each member renews a row of its own,
//! `member/{id}`. Registration and removal change both rows in one transaction. A change of the
//! configuration checks the version of `members`, so the set of members that it has to wait for is
//! exact: a member that registers later finds the new revision when it checks `rev`.

pub mod fences;
pub mod membership;
pub mod rows;
