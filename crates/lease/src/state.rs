//! States of the lease machine.

use base::clock::Millis;

use crate::machine::{Held, ObservedLease, Step};

/// What a process is doing about the lease.
#[derive(Clone, Copy, Debug)]
pub(crate) enum State {
    /// Reads the rows at intervals until the lease can be taken over.
    Watching(Watch),
    Acquiring(Acquisition),
    /// Reads the rows to find out whether an attempt with an unknown outcome was applied.
    Verifying(Acquisition),
    Holding(Hold),
    /// Releases the lease and gives up at the given time.
    Releasing(Hold, Millis),
    Ended,
}

/// The rows as a candidate sees them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Watch {
    /// Version of the heartbeat row and when it was first seen; `None` before the first read.
    pub(crate) heartbeat: Option<(u64, Millis)>,
    pub(crate) lease: Option<ObservedLease>,
    /// Time of the last successful read.
    pub(crate) last_read: Millis,
    /// Time of the first successful read after the last gap between reads.
    pub(crate) resumed_at: Millis,
    pub(crate) next: Millis,
}

/// An attempt to take over the lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acquisition {
    /// State to return to if the lease turns out to be taken, or the transaction is refused.
    pub(crate) watch: Watch,
    pub(crate) lease_version: u64,
    pub(crate) heartbeat_version: u64,
    pub(crate) fence: u64,
    /// Start of the first attempt whose outcome is unknown.
    pub(crate) first_unknown: Option<Millis>,
    pub(crate) next: Millis,
}

/// The lease as its holder sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) held: Held,
    /// Start of the last successful renewal.
    pub(crate) renewed_at: Millis,
    pub(crate) next: Millis,
    /// Whether a read has succeeded since the holder stopped acting.
    pub(crate) read_succeeded: bool,
}

impl Watch {
    /// Records the rows as read, and returns since when the heartbeat has not changed. After a gap
    /// between reads of more than `max_gap`, as in an outage of the table service, the holder gets
    /// time for a renewal: it may have been unable to renew during the outage.
    pub(crate) fn record_read(
        &mut self,
        lease: Option<ObservedLease>,
        heartbeat_version: u64,
        now: Millis,
        max_gap: Millis,
    ) -> Millis {
        if now.since(self.last_read) > max_gap {
            self.resumed_at = now;
        }
        self.lease = lease;
        self.last_read = now;
        let since = match self.heartbeat {
            Some((version, since)) if version == heartbeat_version => since,
            _ => now,
        };
        self.heartbeat = Some((heartbeat_version, since));
        since
    }
}

impl Acquisition {
    pub(crate) fn step(&self) -> Step {
        Step::Acquire {
            lease_version: self.lease_version,
            heartbeat_version: self.heartbeat_version,
            fence: self.fence,
        }
    }
}

/// Returns whether the row was written by a takeover after `held`; an older row is a stale read.
pub(crate) fn is_newer(lease: Option<ObservedLease>, held: Held) -> bool {
    lease.is_some_and(|l| l.version > held.version)
}
