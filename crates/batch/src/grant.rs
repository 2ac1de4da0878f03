//! Leases granted to one worker, and the time when they have certainly expired.

use base::clock::Millis;

use crate::worker_clock::WorkerClock;

/// Maximum age of a reading of a worker's clock: that of an entry in the VM list, which is written every
/// 1.5 s and read a little later.
const MAX_READING_AGE: Millis = Millis(9_000);
/// Maximum amount by which a worker's clock may be slower than the local clock, in percent.
const SLOW_PERCENT: u64 = 2;
/// Added to the computed end of a lease to allow for rounding and for the transit time of an order.
const MARGIN: Millis = Millis(150);

/// Returns the longest local duration in which a worker's clock advances by `span`.
///
/// ```
/// use base::clock::Millis;
/// assert_eq!(batch::grant::max_local_duration(Millis(980)), Millis(1_001));
/// ```
pub const fn max_local_duration(span: Millis) -> Millis {
    Millis(span.0 * 100 / (100 - SLOW_PERCENT) + 1)
}

/// Leases granted to one worker. A lease ends at a time on the worker's clock, so a delayed order
/// does not extend it.
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
    /// A time on the worker's clock, and a local time by which the worker's clock had reached it.
    clock: Option<(Millis, Millis)>,
    /// Latest end of all granted leases, on the worker's clock.
    latest: Millis,
    /// Whether the last renewal went unanswered.
    unresponsive: bool,
}

impl Grants {
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
            self.clock = Some((clock, now));
        }
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

    /// Returns whether the known incarnation may have read `clock` between the local times `sent` and
    /// `now`. An incarnation whose clock is unknown may have.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.observe_clock(Millis(500_000), Millis(10));
    /// assert!(!grants.fits_clock(Millis(7), Millis(20), Millis(30)));
    /// ```
    pub fn fits_clock(&self, clock: Millis, sent: Millis, now: Millis) -> bool {
        self.clock.is_none_or(|(value, at)| {
            WorkerClock::new(value, at.since(MAX_READING_AGE), at).fits(clock, sent, now)
        })
    }

    /// Returns the time on the worker's clock at the local time `now`; `None` if it is unknown.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().clock_at(Millis(5)), None);
    /// ```
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|(value, at)| value + now.since(at))
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
        let (clock, at) = self.clock?;
        let end = clock + now.since(at) + lease;
        self.latest = self.latest.max(end);
        Some(end)
    }

    /// Records the incarnation and the clock in the worker's entry in the VM list. Returns whether it
    /// is another incarnation, which has no leases yet. The entry of a restarted worker may name the
    /// incarnation before for some time.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// assert!(grants.observe_entry(1, Millis(5), Millis(10)));
    /// assert!(!grants.observe_entry(1, Millis(5), Millis(10)));
    /// ```
    pub fn observe_entry(&mut self, incarnation: u64, clock: Millis, now: Millis) -> bool {
        let before = self.incarnation;
        let is_new =
            self.ended_incarnation != Some(incarnation) && self.observe(incarnation, clock, now);
        if is_new && incarnation > before {
            self.ended_incarnation = Some(before);
        }
        is_new
    }

    /// Records the incarnation and the clock in a report of the worker. Returns whether it is another
    /// incarnation, which has no leases yet.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.observe_entry(1, Millis(5), Millis(10));
    /// assert!(grants.observe_report(2, Millis(1), Millis(20)));
    /// ```
    pub fn observe_report(&mut self, incarnation: u64, clock: Millis, now: Millis) -> bool {
        let before = self.incarnation;
        // A late report that was taken for that of a restart must not hide the current incarnation.
        if incarnation < before && self.ended_incarnation == Some(incarnation) {
            return false;
        }
        let is_new = self.observe(incarnation, clock, now);
        if is_new {
            self.ended_incarnation = Some(before);
        }
        self.observe_clock(clock, now);
        is_new
    }

    fn observe(&mut self, incarnation: u64, clock: Millis, now: Millis) -> bool {
        let is_new = incarnation != self.incarnation;
        if is_new {
            self.incarnation = incarnation;
            self.latest = Millis::ZERO;
            self.clock = None;
            self.observe_clock(clock, now);
        }
        is_new
    }

    /// Returns the local time when all granted leases have certainly expired.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().expires_at(), Millis::ZERO);
    /// ```
    pub fn expires_at(&self) -> Millis {
        let Some((clock, at)) = self.clock else {
            return Millis::ZERO;
        };
        at + max_local_duration(self.latest.since(clock)) + MARGIN
    }
}
