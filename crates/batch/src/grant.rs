//! Leases granted to one worker, and when they are over for certain.

use base::clock::Millis;

/// Clocks of workers may be this much slower than ours, in percent.
const SLOW_PERCENT: u64 = 2;
/// Added to the computed end of a lease for rounding and for the way of an order.
const MARGIN: Millis = Millis(150);

/// Returns the longest time here in which a worker's clock advances by `span`.
///
/// ```
/// use base::clock::Millis;
/// assert_eq!(batch::grant::longest(Millis(980)), Millis(1_001));
/// ```
pub const fn longest(span: Millis) -> Millis {
    Millis(span.0 * 100 / (100 - SLOW_PERCENT) + 1)
}

/// Leases granted to one worker. A lease ends at a time on the worker's clock, so an order that is
/// carried out late does not extend it.
///
/// ```
/// use base::clock::Millis;
/// use batch::grant::Grants;
///
/// let mut grants = Grants::default();
/// assert_eq!(grants.grant(Millis(6_000), Millis(10)), None);
/// grants.heard(Millis(500), Millis(10));
/// assert_eq!(grants.grant(Millis(6_000), Millis(20)), Some(Millis(6_510)));
/// assert!(grants.over_at() > Millis(6_020));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Grants {
    /// A time on the worker's clock and the time here at which it was reached for certain.
    clock: Option<(Millis, Millis)>,
    /// Latest end of a lease, on the worker's clock.
    latest: Millis,
    /// Whether the last renewal got no answer.
    silent: bool,
}

impl Grants {
    /// Takes a time on the worker's clock that was reached at `now` for certain.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.heard(Millis(500), Millis(10));
    /// assert!(grants.has_clock());
    /// ```
    pub const fn heard(&mut self, clock: Millis, now: Millis) {
        if clock.0 > 0 {
            self.clock = Some((clock, now));
        }
    }

    /// Returns whether the worker's clock is known.
    ///
    /// ```
    /// assert!(!batch::grant::Grants::default().has_clock());
    /// ```
    pub const fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Notes whether the worker answers. A worker that hears but does not answer would keep its
    /// runs for as long as its lease is renewed, so a silent one gets no more time.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.heard(Millis(500), Millis(10));
    /// grants.answers(false);
    /// assert_eq!(grants.renewal(Millis(6_000), Millis(20)), None);
    /// ```
    pub const fn answers(&mut self, answers: bool) {
        self.silent = !answers;
    }

    /// Returns the end of a lease for a renewal, on the worker's clock; none leaves the lease as
    /// it is.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().renewal(Millis(6_000), Millis(20)), None);
    /// ```
    pub fn renewal(&mut self, lease: Millis, now: Millis) -> Option<Millis> {
        if self.silent {
            return None;
        }
        self.grant(lease, now)
    }

    /// Returns the end of a lease for a start; it is at most `lease` from now.
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

    /// Forgets what was granted to an earlier life of the worker.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut grants = batch::grant::Grants::default();
    /// grants.restarted(Millis(5), Millis(10));
    /// assert!(grants.over_at() <= Millis(200));
    /// ```
    pub const fn restarted(&mut self, clock: Millis, now: Millis) {
        self.latest = Millis::ZERO;
        self.clock = None;
        self.heard(clock, now);
    }

    /// Returns when all leases granted here are over for certain.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::grant::Grants::default().over_at(), Millis::ZERO);
    /// ```
    pub fn over_at(&self) -> Millis {
        let Some((clock, at)) = self.clock else {
            return Millis::ZERO;
        };
        at + longest(self.latest.since(clock)) + MARGIN
    }
}
