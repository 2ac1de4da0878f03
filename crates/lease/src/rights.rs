//! What a process may do at a moment, and who holds the lease.

use base::clock::Millis;

use crate::{
    machine::{Held, Lease},
    state::State,
};

impl Lease {
    /// Returns the lease if the scheduler may act at `now`: its last renewal started less than
    /// `hold_ms` ago.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert!(lease.acting(Millis(0)).is_none());
    /// ```
    pub fn acting(&self, now: Millis) -> Option<Held> {
        match &self.state {
            State::Holding(h) if now.since(h.renewed_at) < self.cfg.hold_ms => Some(h.held),
            _ => None,
        }
    }

    /// Returns the time from which the lease `held` may lapse: a renewal is late by a whole
    /// interval. Returns `None` if it is not held any more.
    ///
    /// ```
    /// # use lease::machine::{Held, Lease};
    /// let lease = Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert!(lease.at_risk_from(Held { fence: 1, version: 1 }).is_none());
    /// ```
    pub fn at_risk_from(&self, held: Held) -> Option<Millis> {
        match &self.state {
            State::Holding(h) if h.held == held => {
                let late = Millis(2 * self.cfg.renew_ms.0);
                Some(h.renewed_at + late.min(self.cfg.hold_ms))
            }
            _ => None,
        }
    }

    /// Returns the lease if no other holder is known, regardless of the age of the last renewal.
    ///
    /// ```
    /// let lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert!(lease.held().is_none());
    /// ```
    pub fn held(&self) -> Option<Held> {
        match &self.state {
            State::Holding(h) => Some(h.held),
            _ => None,
        }
    }

    /// Returns the incarnation id of the last known holder.
    ///
    /// ```
    /// let lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert_eq!(lease.holder(), None);
    /// ```
    pub fn holder(&self) -> Option<u64> {
        match &self.state {
            State::Watching(w) => w.lease.map(|l| l.holder),
            State::Holding(_) => Some(self.id),
            _ => None,
        }
    }
}
