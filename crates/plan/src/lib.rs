//! Placement decisions: gangs, guarantees, quotas, reclaim, quarantine.
