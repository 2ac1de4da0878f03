//! State machine of the leader lease, without I/O and without access to a clock.
//!
//! The lease has two rows. The lease row names the holder and its fencing token and changes only on
//! takeover. The heartbeat row (`beat/{shard}`) is rewritten on every renewal, in a transaction
//! that checks the version of the lease row. The holder acts only for `hold_ms` after the *start*
//! of its last successful renewal. A candidate takes over once the version of the heartbeat row has
//! not changed for `take_ms` on the candidate's own clock, in a transaction that checks both rows.
//! The time of an outage of the store counts, but the holder has two intervals of renewal after it.
//! Clocks of different VMs are never compared.

use base::clock::Millis;

use crate::{
    lease_cfg::LeaseCfg,
    state::{self, Acquisition, Hold, State, Watch},
};

/// Number of ranks of candidates; ids are random, so few candidates share a rank.
const RANKS: u64 = 1_000;

/// Next action of the state machine, carried out by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read the lease row and the heartbeat row.
    Read,
    /// Take over the lease in a transaction that checks both versions; 0 means absent.
    Acquire {
        /// Version of the lease row.
        lease_version: u64,
        /// Version of the heartbeat row.
        heartbeat_version: u64,
        /// New fencing token.
        fence: u64,
    },
    /// Write the heartbeat row in a transaction that checks the lease row.
    Renew {
        /// Version of the lease row.
        lease_version: u64,
    },
    /// Delete the heartbeat row in a transaction that checks the lease row.
    Release {
        /// Version of the lease row.
        lease_version: u64,
    },
    /// Wait; there is nothing to do yet.
    Wait {
        /// Time of the next call of [`Lease::next_step`].
        until: Millis,
    },
    /// The lease is released or was not held; the process may exit.
    Ended,
}

/// Result of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Rows as read, which may be stale.
    Rows {
        /// The lease row; `None` if absent.
        lease: Option<ObservedLease>,
        /// Version of the heartbeat row; 0 if absent.
        heartbeat_version: u64,
    },
    /// The transaction was applied.
    Done {
        /// Version of the written rows.
        version: u64,
    },
    /// The transaction was rejected because a checked row has another version.
    Conflict {
        /// Whether the check of the lease row failed.
        lease_changed: bool,
    },
    /// The step failed and had no effect.
    NotDone,
    /// The step failed and may still have taken effect.
    Unknown,
}

/// Content of the lease row when it was last read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedLease {
    /// Version of the row.
    pub version: u64,
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Whether the holder was an earlier process at this candidate's own address. Such a process
    /// has exited, because two processes can't listen on one address.
    pub holder_ended: bool,
}

/// Fencing token and row version under which the holder writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// Fencing token.
    pub fence: u64,
    /// Version of the lease row, which every transaction of the holder checks.
    pub version: u64,
}

/// State machine of the lease, as one scheduler sees it.
///
/// ```
/// use base::clock::Millis;
/// use lease::{lease_cfg::LeaseCfg, machine::{Lease, Outcome, Step}};
///
/// let mut lease = Lease::new(1, LeaseCfg::default());
/// assert_eq!(lease.next_step(Millis(0)), Step::Read);
/// lease.complete(Millis(1), Outcome::Rows { lease: None, heartbeat_version: 0 });
/// let acquire = Step::Acquire { lease_version: 0, heartbeat_version: 0, fence: 1 };
/// assert_eq!(lease.next_step(Millis(1)), acquire);
/// lease.complete(Millis(2), Outcome::Done { version: 9 });
/// assert_eq!(lease.acting(Millis(2)).unwrap().fence, 1);
/// assert_eq!(lease.acting(Millis(4_001)), None);
/// ```
#[derive(Clone, Debug)]
pub struct Lease {
    pub(crate) id: u64,
    pub(crate) cfg: LeaseCfg,
    pub(crate) state: State,
    /// Time over which the takeovers of all candidates are spread.
    spread: Millis,
    step_started: Millis,
    stopping: bool,
}

impl Lease {
    /// Creates the state machine of incarnation `id`, which does not hold the lease yet.
    ///
    /// ```
    /// let lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert!(lease.held().is_none());
    /// ```
    pub fn new(id: u64, cfg: LeaseCfg) -> Self {
        Self {
            id,
            cfg,
            state: State::Watching(Watch::default()),
            spread: Millis::ZERO,
            step_started: Millis::ZERO,
            stopping: false,
        }
    }

    /// Sets the time over which the takeovers of all candidates are spread, by their ids. Otherwise
    /// all of them send a transaction at the same moment, and a store that applies those one after
    /// another keeps the new holder waiting.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.set_spread(Millis(500));
    /// ```
    pub fn set_spread(&mut self, spread: Millis) {
        self.spread = spread;
    }

    /// Requests the release of the lease; `next_step` returns `Ended` when it is released or was
    /// not held.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.stop();
    /// assert_eq!(lease.next_step(Millis(0)), lease::machine::Step::Ended);
    /// ```
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns for how long nobody has renewed the lease, as far as this process knows: since the start
    /// of its own last renewal, or since it saw the heartbeat change. `None` before the first read.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert!(lease.age(Millis(5)).is_none());
    /// ```
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let renewed_at = match &self.state {
            State::Watching(w) => w.heartbeat?.1,
            State::Acquiring(a) | State::Verifying(a) => a.watch.heartbeat?.1,
            State::Holding(h) | State::Releasing(h, _) => h.renewed_at,
            State::Ended => return None,
        };
        Some(now.since(renewed_at))
    }

    /// Gives up the leadership because a higher fencing token was seen.
    ///
    /// ```
    /// let mut lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.mark_lost();
    /// assert!(lease.held().is_none());
    /// ```
    pub fn mark_lost(&mut self) {
        if matches!(self.state, State::Holding(_)) {
            self.state = State::Watching(Watch::default());
        }
    }

    /// Records that a transaction of the holder checked the lease row and rewrote the heartbeat row:
    /// it has the effect of a renewal. `started` is the start of its first attempt, because that one
    /// may have been applied and seen by the other candidates.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use lease::machine::{Held, Lease};
    /// let mut lease = Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.record_renewal(Held { fence: 1, version: 1 }, Millis(5));
    /// assert!(lease.acting(Millis(5)).is_none(), "the lease is not held");
    /// ```
    pub fn record_renewal(&mut self, held: Held, started: Millis) {
        if let State::Holding(h) = &mut self.state
            && h.held == held
            && h.renewed_at < started
        {
            h.renewed_at = started;
            h.next = started + self.cfg.renew_ms;
            h.read_succeeded = false;
        }
    }

    /// Returns the next step; the caller reports the outcome of every step other than `Wait` and
    /// `Ended` with `complete`.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert_eq!(lease.next_step(Millis(0)), lease::machine::Step::Read);
    /// ```
    pub fn next_step(&mut self, now: Millis) -> Step {
        if self.stopping {
            self.begin_release(now);
        }
        self.step_started = now;
        let (next, step) = match &self.state {
            State::Watching(w) => (w.next, Step::Read),
            State::Acquiring(a) => (a.next, a.step()),
            State::Verifying(a) => (a.next, Step::Read),
            State::Holding(h) => (h.next, self.holder_step(now, h)),
            State::Releasing(h, _) => (
                h.next,
                Step::Release {
                    lease_version: h.held.version,
                },
            ),
            State::Ended => return Step::Ended,
        };
        if now < next {
            return Step::Wait { until: next };
        }
        step
    }

    /// Records the outcome of the last step.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use lease::machine::{Lease, Outcome, Step};
    /// let mut lease = Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.next_step(Millis(0));
    /// lease.complete(Millis(9), Outcome::NotDone);
    /// assert!(matches!(lease.next_step(Millis(9)), Step::Wait { .. }));
    /// ```
    pub fn complete(&mut self, now: Millis, outcome: Outcome) {
        self.state = match self.state {
            State::Watching(w) => self.after_read(w, now, outcome),
            State::Acquiring(a) => self.after_acquire(a, now, outcome),
            State::Verifying(a) => self.after_verify(a, now, outcome),
            State::Holding(h) => self.after_renew(h, now, outcome),
            State::Releasing(h, deadline) => self.after_release(h, deadline, now, outcome),
            State::Ended => State::Ended,
        };
    }

    /// Returns the next step of the holder. Once the holder has stopped acting, it reads the rows
    /// before it renews, to check that answers reach it: renewals that are applied but whose
    /// answers are lost would prevent a takeover while no process acts.
    fn holder_step(&self, now: Millis, h: &Hold) -> Step {
        if h.read_succeeded || now.since(h.renewed_at) < self.cfg.hold_ms {
            return Step::Renew {
                lease_version: h.held.version,
            };
        }
        Step::Read
    }

    fn begin_release(&mut self, now: Millis) {
        self.state = match self.state {
            State::Watching(_) => State::Ended,
            State::Holding(h) => {
                // The deadline lets the process exit while the table service is down.
                let deadline = now + self.cfg.hold_ms;
                State::Releasing(Hold { next: now, ..h }, deadline)
            }
            other => other,
        };
    }

    fn after_read(&self, mut w: Watch, now: Millis, outcome: Outcome) -> State {
        w.next = self.step_started + self.cfg.look_ms;
        let Outcome::Rows {
            lease,
            heartbeat_version,
        } = outcome
        else {
            return State::Watching(w);
        };
        let since = w.record_read(lease, heartbeat_version, now, self.cfg.hold_ms);
        let has_holder_ended = lease.is_some_and(|l| l.holder_ended);
        let rank = self.rank_delay();
        let takeover_at = match heartbeat_version {
            _ if has_holder_ended => since,
            0 => since.max(w.resumed_at) + rank,
            _ => {
                let renewal_at = w.resumed_at + Millis(2 * self.cfg.renew_ms.0);
                renewal_at.max(since + self.cfg.take_ms) + rank
            }
        };
        // The candidates that do not yield come first, whatever their ranks.
        let yielding = match self.cfg.yield_ms {
            Millis::ZERO => Millis::ZERO,
            yield_ms => yield_ms + self.spread,
        };
        let takeover_at = takeover_at + yielding;
        if now < takeover_at {
            w.next = w.next.min(takeover_at);
            return State::Watching(w);
        }
        State::Acquiring(Acquisition {
            watch: w,
            lease_version: lease.map_or(0, |l| l.version),
            heartbeat_version,
            fence: lease.map_or(0, |l| l.fence) + 1,
            first_unknown: None,
            next: now,
        })
    }

    fn after_acquire(&self, mut a: Acquisition, now: Millis, outcome: Outcome) -> State {
        let first_unknown = a.first_unknown.unwrap_or(self.step_started);
        match outcome {
            Outcome::Done { version } => self.holding(a.fence, version, self.step_started, now),
            // An earlier attempt with an unknown outcome may have been applied and cause the
            // conflict.
            Outcome::Conflict { .. } if a.first_unknown.is_some() => {
                State::Verifying(Acquisition { next: now, ..a })
            }
            Outcome::Conflict { .. } => State::Watching(Watch {
                next: now + self.cfg.look_ms,
                ..Watch::default()
            }),
            Outcome::Unknown => {
                a.first_unknown = Some(first_unknown);
                a.next = now + self.retry_delay();
                State::Acquiring(a)
            }
            // The rows are read again first: a store that refuses transactions may have too many of
            // them from other candidates, one of which has taken over.
            Outcome::NotDone | Outcome::Rows { .. } if a.first_unknown.is_none() => {
                State::Watching(Watch {
                    next: now + self.retry_delay(),
                    ..a.watch
                })
            }
            Outcome::NotDone | Outcome::Rows { .. } => {
                a.next = now + self.retry_delay();
                State::Acquiring(a)
            }
        }
    }

    fn after_verify(&self, mut a: Acquisition, now: Millis, outcome: Outcome) -> State {
        a.next = now + self.retry_delay();
        let Outcome::Rows {
            lease,
            heartbeat_version,
        } = outcome
        else {
            return State::Verifying(a);
        };
        // A read that shows the rows as they were before the transaction is stale.
        let version = lease.map_or(0, |l| l.version);
        if version < a.lease_version
            || (version == a.lease_version && heartbeat_version == a.heartbeat_version)
        {
            return State::Verifying(a);
        }
        match lease {
            Some(l) if l.holder == self.id && l.fence == a.fence => self.holding(
                a.fence,
                l.version,
                a.first_unknown.unwrap_or(Millis::ZERO),
                now,
            ),
            _ => State::Watching(Watch::default()),
        }
    }

    fn holding(&self, fence: u64, version: u64, renewed_at: Millis, now: Millis) -> State {
        let next = if now.since(renewed_at) < self.cfg.renew_ms {
            renewed_at + self.cfg.renew_ms
        } else {
            now
        };
        State::Holding(Hold {
            held: Held { fence, version },
            renewed_at,
            next,
            read_succeeded: false,
        })
    }

    fn after_renew(&self, mut h: Hold, now: Millis, outcome: Outcome) -> State {
        h.read_succeeded = false;
        match outcome {
            Outcome::Done { .. } => {
                h.renewed_at = h.renewed_at.max(self.step_started);
                h.next = h.renewed_at + self.cfg.renew_ms;
                State::Holding(h)
            }
            Outcome::Conflict { .. } => State::Watching(Watch::default()),
            // A renewal with an unknown outcome does not extend the lease, so the holder may stop
            // acting too early but never too late.
            Outcome::NotDone | Outcome::Unknown => {
                h.next = now + self.retry_delay();
                State::Holding(h)
            }
            Outcome::Rows { lease, .. } if state::is_newer(lease, h.held) => {
                State::Watching(Watch::default())
            }
            Outcome::Rows { .. } => {
                h.read_succeeded = true;
                h.next = now;
                State::Holding(h)
            }
        }
    }

    fn after_release(&self, mut h: Hold, deadline: Millis, now: Millis, outcome: Outcome) -> State {
        match outcome {
            Outcome::Done { .. } | Outcome::Conflict { .. } => State::Ended,
            _ if now >= deadline => State::Ended,
            _ => {
                h.next = now + self.retry_delay();
                State::Releasing(h, deadline)
            }
        }
    }

    /// Returns the time by which this candidate leaves a free lease to those of lower rank.
    fn rank_delay(&self) -> Millis {
        Millis(self.spread.0 * (self.id % RANKS) / RANKS)
    }

    fn retry_delay(&self) -> Millis {
        Millis(self.cfg.renew_ms.0 / 4)
    }
}
