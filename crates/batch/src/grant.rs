//! Leases granted to one worker, and the time when they have certainly expired.

use base::clock::Millis;

use crate::worker_clock::{DRIFT_PERCENT, WorkerClock};

/// Maximum age of the time in an entry of the VM list: it is written every 1.5 s, and three times as
/// rarely while the store is slow.
const MAX_ENTRY_AGE: Millis = Millis(9_000);
/// Added to the computed end of a lease to allow for rounding and for the transit time of an order.
const MARGIN: Millis = Millis(150);
/// Time after which a worker no longer carries out a call that was given up.
const MAX_CALL_DELAY: Millis = Millis(12_000);

/// Returns the longest local duration in which a worker's clock advances by `span`.
///
/// ```
/// use base::clock::Millis;
/// assert_eq!(batch::grant::max_local_duration(Millis(980)), Millis(1_001));
/// ```
pub const fn max_local_duration(span: Millis) -> Millis {
    Millis(span.0 * 100 / (100 - DRIFT_PERCENT) + 1)
}

/// Which runs on a worker have certainly ended, because their leases have expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expired {
    /// None.
    Nothing,
    /// Those that the known incarnation has confirmed.
    Confirmed,
    /// All.
    All,
}

/// Leases granted to one worker. A lease ends at a time on the worker's clock, so a delayed order
/// does not extend it.
///
/// A restarted worker keeps its id. Calls that are meant for an incarnation may reach the next one, on
/// whose clock the lease ends at another time, but at most the length of a lease after the call.
///
/// ```
/// use base::clock::Millis;
/// use batch::grant::Grants;
///
/// let mut grants = Grants::default();
/// assert_eq!(grants.grant(Millis(6_000), Millis(10)), None);
/// grants.observe_clock(Millis(500), Millis(10));
/// assert_eq!(grants.grant(Millis(6_000), Millis(20)), Some(Millis(6_510)));
/// assert!(grants.expires_at() > Millis(6_020));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Grants {
    /// Incarnation of the worker that has the leases; 0 if unknown.
    incarnation: u64,
    /// Incarnation whose end a report or a later entry has shown.
    ended_incarnation: Option<u64>,
    /// Clock of the incarnation.
    clock: Option<WorkerClock>,
    /// Latest end of all leases granted to the incarnation, on its clock.
    latest: Millis,
    /// Length of the longest lease.
    lease: Millis,
    /// Time until which calls that were meant for an earlier incarnation were sent.
    changed_at: Option<Millis>,
    /// Time at which the last call with a lease was given up, or answered by another incarnation. The
    /// known incarnation has not answered a later call.
    unsettled_at: Option<Millis>,
    /// The same for starts.
    unsettled_start_at: Option<Millis>,
    /// Whether the known incarnation has answered a call.
    has_answered: bool,
    /// Whether the last renewal went unanswered.
    unresponsive: bool,
}

impl Grants {
    /// Returns the leases that earlier leaders have granted to an incarnation, or to one before it, with
    /// calls until `last_call_at`.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let grants = batch::grant::Grants::inherited(7, Millis(6_000), Millis(10));
    /// assert_eq!(grants.incarnation(), 7);
    /// ```
    pub fn inherited(incarnation: u64, lease: Millis, last_call_at: Millis) -> Self {
        Self {
            incarnation,
            lease,
            unsettled_at: Some(last_call_at),
            unsettled_start_at: Some(last_call_at),
            ..Self::default()
        }
    }

    /// Records a time that the worker's clock had reached by `now`.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.observe_clock(Millis(500), Millis(10));
    /// assert!(grants.has_clock());
    /// ```
    pub const fn observe_clock(&mut self, clock: Millis, now: Millis) {
        if clock.0 > 0 {
            self.clock = Some(WorkerClock::new(clock, now.since(MAX_ENTRY_AGE), now));
        }
    }

    /// Records an answer that does not name the incarnation, with a time on the worker's clock, to a call
    /// that was sent at `sent`. Returns whether the known incarnation has given it.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.observe_clock(Millis(500_000), Millis(10));
    /// assert!(grants.observe_answer(Millis(500_010), Millis(20), Millis(30)));
    /// assert!(!grants.observe_answer(Millis(7), Millis(40), Millis(50)));
    /// ```
    pub fn observe_answer(&mut self, clock: Millis, sent: Millis, now: Millis) -> bool {
        let known = self.clock.as_mut().filter(|c| c.fits(clock, sent, now));
        let Some(known) = known else {
            self.record_unanswered_start(now);
            return false;
        };
        known.narrow(clock, sent, now);
        self.settle(sent);
        true
    }

    /// Records that a call with a lease was given up at `now`. Whichever incarnation has received it may
    /// still carry it out.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// use batch::grant::{Expired, Grants};
    /// let mut grants = Grants::default();
    /// grants.observe_clock(Millis(500), Millis(10));
    /// grants.grant(Millis(6_000), Millis(10));
    /// grants.record_unanswered(Millis(700));
    /// assert_eq!(grants.expired(0, true, Millis(7_000)), Expired::Confirmed);
    /// ```
    pub fn record_unanswered(&mut self, now: Millis) {
        self.unsettled_at = self.unsettled_at.max(Some(now));
    }

    /// Records that a start was given up at `now`, like [`record_unanswered`](Self::record_unanswered).
    ///
    /// ```
    /// # use base::clock::Millis;
    /// batch::grant::Grants::default().record_unanswered_start(Millis(700));
    /// ```
    pub fn record_unanswered_start(&mut self, now: Millis) {
        self.record_unanswered(now);
        self.unsettled_start_at = self.unsettled_start_at.max(Some(now));
    }

    /// Records that the known incarnation has received a call at `alive` or later. It or an earlier one has
    /// received all calls that were given up before.
    fn settle(&mut self, alive: Millis) {
        self.has_answered = true;
        self.keep_unsettled(|given_up_at| given_up_at >= alive);
    }

    fn keep_unsettled(&mut self, is_kept: impl Fn(Millis) -> bool) {
        self.unsettled_at = self.unsettled_at.filter(|t| is_kept(*t));
        self.unsettled_start_at = self.unsettled_start_at.filter(|t| is_kept(*t));
    }

    /// Returns the incarnation of the worker; 0 if unknown.
    ///
    /// ```
    /// assert_eq!(batch::grant::Grants::default().incarnation(), 0);
    /// ```
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether the worker's clock is known.
    ///
    /// ```
    /// assert!(!batch::grant::Grants::default().has_clock());
    /// ```
    pub const fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns the time on the worker's clock at the local time `now`; `None` if it is unknown.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().clock_at(Millis(5)), None);
    /// ```
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|c| c.value_at(now))
    }

    /// Records whether the worker answers. A worker that receives renewals but can't answer would
    /// keep its runs as long as its lease is renewed, so an unresponsive worker gets no renewals.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.observe_clock(Millis(500), Millis(10));
    /// grants.set_responding(false);
    /// assert_eq!(grants.renewal(Millis(6_000), Millis(20)), None);
    /// ```
    pub const fn set_responding(&mut self, responding: bool) {
        self.unresponsive = !responding;
    }

    /// Returns the end of a renewed lease on the worker's clock, or `None` if the lease must not be
    /// extended.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().renewal(Millis(6_000), Millis(20)), None);
    /// ```
    pub fn renewal(&mut self, lease: Millis, now: Millis) -> Option<Millis> {
        if self.unresponsive {
            return None;
        }
        self.grant(lease, now)
    }

    /// Returns the end of a lease for a start order on the worker's clock, at most `lease` from
    /// now. Returns `None` if the worker's clock is unknown.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().grant(Millis(6_000), Millis(20)), None);
    /// ```
    pub fn grant(&mut self, lease: Millis, now: Millis) -> Option<Millis> {
        let end = self.clock?.value_at(now) + lease;
        self.latest = self.latest.max(end);
        self.lease = self.lease.max(lease);
        Some(end)
    }

    /// Records the incarnation and the clock in the worker's entry in the VM list. Returns whether it
    /// is another incarnation. The entry of a restarted worker may name the incarnation before for some
    /// time.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// assert!(grants.observe_entry(1, Millis(5), Millis(10)));
    /// assert!(!grants.observe_entry(1, Millis(5), Millis(10)));
    /// ```
    pub fn observe_entry(&mut self, incarnation: u64, clock: Millis, now: Millis) -> bool {
        let before = self.incarnation;
        if self.ended_incarnation == Some(incarnation) {
            return false;
        }
        if !self.observe(incarnation, now) {
            // Without an answer it is not known how old the entry was from which the clock is known.
            match self.clock.filter(|_| self.has_answered) {
                Some(known) => self.keep_unsettled(|t| clock <= known.latest_at(t)),
                None if self.clock.is_none() => self.observe_clock(clock, now),
                None => {}
            }
            return false;
        }
        self.observe_clock(clock, now);
        if incarnation > before {
            self.ended_incarnation = Some(before);
        }
        true
    }

    /// Records the incarnation and the clock in a report of the worker that was requested at `sent`.
    /// Returns whether it is another incarnation.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.observe_entry(1, Millis(5), Millis(10));
    /// assert!(grants.observe_report(2, Millis(1), Millis(15), Millis(20)));
    /// ```
    pub fn observe_report(
        &mut self,
        incarnation: u64,
        clock: Millis,
        sent: Millis,
        now: Millis,
    ) -> bool {
        let before = self.incarnation;
        // A late report that was taken for that of a restart must not hide the current incarnation.
        if incarnation < before && self.ended_incarnation == Some(incarnation) {
            return false;
        }
        let is_new = self.observe(incarnation, now);
        if is_new {
            self.ended_incarnation = Some(before);
        }
        if clock > Millis::ZERO {
            match &mut self.clock {
                Some(known) if known.fits(clock, sent, now) => known.narrow(clock, sent, now),
                _ => self.clock = Some(WorkerClock::new(clock, sent, now)),
            }
        }
        self.settle(sent);
        is_new
    }

    fn observe(&mut self, incarnation: u64, now: Millis) -> bool {
        let is_new = incarnation != self.incarnation;
        if is_new {
            if self.lease > Millis::ZERO {
                self.changed_at = Some(now);
            }
            self.incarnation = incarnation;
            self.latest = Millis::ZERO;
            self.clock = None;
            self.has_answered = false;
            self.unsettled_at = None;
            self.unsettled_start_at = None;
        }
        is_new
    }

    /// Returns the local time when all leases of the known incarnation have certainly expired, whichever
    /// incarnation they were granted to.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().expires_at(), Millis::ZERO);
    /// ```
    pub fn expires_at(&self) -> Millis {
        self.own_end()
            .max(self.end_of_call(self.changed_at, MAX_CALL_DELAY))
    }

    /// Returns which runs have certainly ended at `now`. `known` is the incarnation that has confirmed
    /// runs. A worker that is no longer listed counts as gone: nothing but a restart that is known tells
    /// that it may still carry out a call.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// use batch::grant::{Expired, Grants};
    /// assert_eq!(Grants::default().expired(1, true, Millis(5)), Expired::All);
    /// ```
    pub fn expired(&self, known: u64, is_listed: bool, now: Millis) -> Expired {
        let confirmed = self.expires_at();
        let all = confirmed.max(if is_listed {
            self.end_of_call(self.unsettled_at, MAX_CALL_DELAY)
        } else {
            self.end_of_call(self.unsettled_start_at, Millis::ZERO)
        });
        // A later incarnation shows that the one that has confirmed the runs has ended.
        let has_ended = known < self.incarnation;
        match () {
            () if now > all => Expired::All,
            () if now > confirmed || has_ended => Expired::Confirmed,
            () => Expired::Nothing,
        }
    }

    /// Returns the end of the leases that were granted to the known incarnation.
    fn own_end(&self) -> Millis {
        let Some(clock) = self.clock else {
            return Millis::ZERO;
        };
        clock.at() + max_local_duration(self.latest.since(clock.reached())) + MARGIN
    }

    /// Returns the end of a lease that a call gives to an incarnation that it was not meant for.
    fn end_of_call(&self, given_up_at: Option<Millis>, delay: Millis) -> Millis {
        given_up_at.map_or(Millis::ZERO, |t| {
            t + delay + max_local_duration(self.lease) + MARGIN
        })
    }
}
