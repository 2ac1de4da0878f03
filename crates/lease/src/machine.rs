//! State machine of the lease; it does no I/O and reads no clock.
//!
//! The holder renews `beat/{shard}` in a transaction that checks the lease row, and acts only for
//! `hold_ms` after the *start* of its last successful renewal. A candidate takes over after it has
//! seen the same beat version for `take_ms` on its own clock, in a transaction that checks both
//! rows. Clocks of different VMs are never compared.

use base::clock::Millis;

use crate::lease_cfg::LeaseCfg;

/// The next thing to do for the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read the lease row and the beat row.
    Look,
    /// Take over in a transaction that checks both versions; 0 means absent.
    Take {
        /// Version of the lease row.
        lease: u64,
        /// Version of the beat row.
        beat: u64,
        /// New fencing number.
        fence: u64,
    },
    /// Write the beat row in a transaction that checks the lease row.
    Renew {
        /// Version of the lease row.
        lease: u64,
    },
    /// Delete the beat row in a transaction that checks the lease row.
    Release {
        /// Version of the lease row.
        lease: u64,
    },
    /// Nothing before this time.
    Wait {
        /// When to ask again.
        until: Millis,
    },
    /// The lease is handed over; the process may end.
    Ended,
}

/// What came of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Rows as read, which may be stale.
    Rows {
        /// The lease row; `None` if absent.
        lease: Option<LeaseSeen>,
        /// Version of the beat row; 0 if absent.
        beat: u64,
    },
    /// The transaction is applied.
    Done {
        /// Version of the written rows.
        version: u64,
    },
    /// The transaction is not applied.
    Conflict {
        /// Whether the check of the lease row failed.
        lease: bool,
    },
    /// The step certainly had no effect.
    NotDone,
    /// The step may have had its effect.
    Unknown,
}

/// The lease row as read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseSeen {
    /// Version of the row.
    pub version: u64,
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Fencing number of the holder.
    pub fence: u64,
    /// Whether the holder was an earlier process at this candidate's address. It has ended: two
    /// processes can't listen at one address.
    pub has_ended: bool,
}

/// The lease as its holder needs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// Fencing number.
    pub fence: u64,
    /// Version of the lease row, checked by every transaction.
    pub version: u64,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Watching(Watch),
    Taking(Take),
    Settling(Take),
    Holding(Hold),
    Releasing(Hold, Millis),
    Ended,
}

#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    /// Version of the beat row and when it was first seen; `None` before the first look.
    seen: Option<(u64, Millis)>,
    lease: Option<LeaseSeen>,
    /// Time of the last successful look.
    looked: Millis,
    next: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Take {
    lease: u64,
    beat: u64,
    fence: u64,
    /// Start of the first attempt that may have been applied.
    first: Option<Millis>,
    next: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    held: Held,
    /// Start of the last successful renewal.
    valid: Millis,
    next: Millis,
    /// Whether a look has succeeded since the holder stopped acting.
    probed: bool,
}

/// State machine of the lease of one scheduler.
///
/// ```
/// use base::clock::Millis;
/// use lease::{lease_cfg::LeaseCfg, machine::{Lease, Outcome, Step}};
///
/// let mut lease = Lease::new(1, LeaseCfg::default());
/// assert_eq!(lease.step(Millis(0)), Step::Look);
/// lease.done(Millis(1), Outcome::Rows { lease: None, beat: 0 });
/// assert_eq!(lease.step(Millis(1)), Step::Take { lease: 0, beat: 0, fence: 1 });
/// lease.done(Millis(2), Outcome::Done { version: 9 });
/// assert_eq!(lease.acting(Millis(2)).unwrap().fence, 1);
/// assert_eq!(lease.acting(Millis(4_001)), None);
/// ```
#[derive(Clone, Debug)]
pub struct Lease {
    id: u64,
    cfg: LeaseCfg,
    state: State,
    started: Millis,
    stopping: bool,
}

impl Lease {
    /// Creates the lease of incarnation `id`, which holds nothing yet.
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
            started: Millis::ZERO,
            stopping: false,
        }
    }

    /// Returns the lease if the scheduler may act now.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert!(lease.acting(Millis(0)).is_none());
    /// ```
    pub fn acting(&self, now: Millis) -> Option<Held> {
        match &self.state {
            State::Holding(h) if now.since(h.valid) < self.cfg.hold_ms => Some(h.held),
            _ => None,
        }
    }

    /// Returns the lease if nobody else is known to have taken it, however old the renewal is.
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

    /// Returns the incarnation id of the holder that was last seen.
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

    /// Asks for the hand-over; `step` returns `Ended` when it is done or was not needed.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.stop();
    /// assert_eq!(lease.step(Millis(0)), lease::machine::Step::Ended);
    /// ```
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Ends the leadership because a higher fencing number was seen.
    ///
    /// ```
    /// let mut lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.lost();
    /// assert!(lease.held().is_none());
    /// ```
    pub fn lost(&mut self) {
        if matches!(self.state, State::Holding(_)) {
            self.state = State::Watching(Watch::default());
        }
    }

    /// Returns the next step; each step other than `Wait` and `Ended` is followed by `done`.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut lease = lease::machine::Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// assert_eq!(lease.step(Millis(0)), lease::machine::Step::Look);
    /// ```
    pub fn step(&mut self, now: Millis) -> Step {
        if self.stopping {
            self.begin_release(now);
        }
        self.started = now;
        let (next, step) = match &self.state {
            State::Watching(w) => (w.next, Step::Look),
            State::Taking(t) => (t.next, t.step()),
            State::Settling(t) => (t.next, Step::Look),
            State::Holding(h) => (h.next, self.hold_step(now, h)),
            State::Releasing(h, _) => (
                h.next,
                Step::Release {
                    lease: h.held.version,
                },
            ),
            State::Ended => return Step::Ended,
        };
        if now < next {
            return Step::Wait { until: next };
        }
        step
    }

    /// Takes the outcome of the last step.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use lease::machine::{Lease, Outcome, Step};
    /// let mut lease = Lease::new(1, lease::lease_cfg::LeaseCfg::default());
    /// lease.step(Millis(0));
    /// lease.done(Millis(9), Outcome::NotDone);
    /// assert!(matches!(lease.step(Millis(9)), Step::Wait { .. }));
    /// ```
    pub fn done(&mut self, now: Millis, outcome: Outcome) {
        self.state = match self.state {
            State::Watching(w) => self.looked(w, now, outcome),
            State::Taking(t) => self.took(t, now, outcome),
            State::Settling(t) => self.settled(t, now, outcome),
            State::Holding(h) => self.renewed(h, now, outcome),
            State::Releasing(h, end) => self.released(h, end, now, outcome),
            State::Ended => State::Ended,
        };
    }

    /// A holder that has stopped acting first looks whether it gets answers at all. Renewals whose
    /// answers are lost would keep the others from taking over while nobody acts.
    fn hold_step(&self, now: Millis, h: &Hold) -> Step {
        if h.probed || now.since(h.valid) < self.cfg.hold_ms {
            return Step::Renew {
                lease: h.held.version,
            };
        }
        Step::Look
    }

    fn begin_release(&mut self, now: Millis) {
        self.state = match self.state {
            State::Watching(_) => State::Ended,
            State::Holding(h) => {
                // A table that is down does not keep the process from ending.
                let end = now + self.cfg.hold_ms;
                State::Releasing(Hold { next: now, ..h }, end)
            }
            other => other,
        };
    }

    fn looked(&self, mut w: Watch, now: Millis, outcome: Outcome) -> State {
        w.next = self.started + self.cfg.look_ms;
        let Outcome::Rows { lease, beat } = outcome else {
            return State::Watching(w);
        };
        w.lease = lease;
        // While this candidate sees nothing, as in an outage of the table, the holder may not reach
        // the table either, so its silence does not count.
        let unobserved = now.since(w.looked) > self.cfg.hold_ms;
        w.looked = now;
        let since = match w.seen {
            Some((seen, since)) if seen == beat && !unobserved => since,
            _ => now,
        };
        w.seen = Some((beat, since));
        let silence = if beat == 0 || lease.is_some_and(|l| l.has_ended) {
            Millis::ZERO
        } else {
            self.cfg.take_ms
        };
        if now.since(since) < silence + self.cfg.yield_ms {
            return State::Watching(w);
        }
        State::Taking(Take {
            lease: lease.map_or(0, |l| l.version),
            beat,
            fence: lease.map_or(0, |l| l.fence) + 1,
            first: None,
            next: now,
        })
    }

    fn took(&self, mut t: Take, now: Millis, outcome: Outcome) -> State {
        let first = t.first.unwrap_or(self.started);
        match outcome {
            Outcome::Done { version } => self.holding(t.fence, version, self.started, now),
            // The first attempt may have been applied, and then it is what fails the check.
            Outcome::Conflict { .. } if t.first.is_some() => {
                State::Settling(Take { next: now, ..t })
            }
            Outcome::Conflict { .. } => State::Watching(Watch {
                next: now + self.cfg.look_ms,
                ..Watch::default()
            }),
            Outcome::Unknown => {
                t.first = Some(first);
                t.next = now + self.retry();
                State::Taking(t)
            }
            Outcome::NotDone | Outcome::Rows { .. } => {
                t.next = now + self.retry();
                State::Taking(t)
            }
        }
    }

    fn settled(&self, mut t: Take, now: Millis, outcome: Outcome) -> State {
        t.next = now + self.retry();
        let Outcome::Rows { lease, beat } = outcome else {
            return State::Settling(t);
        };
        // A read that still shows the rows as they were before the transaction is stale.
        let version = lease.map_or(0, |l| l.version);
        if version < t.lease || (version == t.lease && beat == t.beat) {
            return State::Settling(t);
        }
        match lease {
            Some(l) if l.holder == self.id && l.fence == t.fence => {
                self.holding(t.fence, l.version, t.first.unwrap_or(Millis::ZERO), now)
            }
            _ => State::Watching(Watch::default()),
        }
    }

    fn holding(&self, fence: u64, version: u64, valid: Millis, now: Millis) -> State {
        let next = if now.since(valid) < self.cfg.renew_ms {
            valid + self.cfg.renew_ms
        } else {
            now
        };
        State::Holding(Hold {
            held: Held { fence, version },
            valid,
            next,
            probed: false,
        })
    }

    fn renewed(&self, mut h: Hold, now: Millis, outcome: Outcome) -> State {
        h.probed = false;
        match outcome {
            Outcome::Done { .. } => {
                h.valid = self.started;
                h.next = self.started + self.cfg.renew_ms;
                State::Holding(h)
            }
            Outcome::Conflict { .. } => State::Watching(Watch::default()),
            // An unknown renewal does not count, so the holder stops acting early, never late.
            Outcome::NotDone | Outcome::Unknown => {
                h.next = now + self.retry();
                State::Holding(h)
            }
            Outcome::Rows { lease, .. } if is_newer(lease, h.held) => {
                State::Watching(Watch::default())
            }
            Outcome::Rows { .. } => {
                h.probed = true;
                h.next = now;
                State::Holding(h)
            }
        }
    }

    fn released(&self, mut h: Hold, end: Millis, now: Millis, outcome: Outcome) -> State {
        match outcome {
            Outcome::Done { .. } | Outcome::Conflict { .. } => State::Ended,
            _ if now >= end => State::Ended,
            _ => {
                h.next = now + self.retry();
                State::Releasing(h, end)
            }
        }
    }

    fn retry(&self) -> Millis {
        Millis(self.cfg.renew_ms.0 / 4)
    }
}

/// Returns whether the row shows a takeover after `held`; an older row is a stale read.
fn is_newer(lease: Option<LeaseSeen>, held: Held) -> bool {
    lease.is_some_and(|l| l.version > held.version)
}

impl Take {
    fn step(&self) -> Step {
        Step::Take {
            lease: self.lease,
            beat: self.beat,
            fence: self.fence,
        }
    }
}
