//! Whether the store answers this process, and whether it answers others.
//!
//! A process that gets no answers can't tell by itself whether the store is down for all, so it
//! asks other processes when the store last answered them.

use base::clock::Millis;

/// What a process knows about who the store answers.
///
/// ```
/// use base::clock::Millis;
/// use store::reach::Reach;
///
/// let mut reach = Reach::default();
/// reach.record_answer(Millis(10));
/// assert!(reach.record_loss(Millis(20)));
/// assert!(!reach.others_are_served(Millis(25)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    /// Time of the last answer to this process.
    answered_at: Option<Millis>,
    /// Start of the current time without answers.
    lost_at: Option<Millis>,
    /// Whether a read after the loss was not answered either.
    confirmed: bool,
    /// Time when another process last reported an answer that it received after the loss.
    others_served_at: Option<Millis>,
}

/// Time for which the report of another process counts: two rounds of queries and a slow report.
const REPORT_VALIDITY: Millis = Millis(1_200);

impl Reach {
    /// Records an answer of the store; returns whether the store was lost before.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert!(!store::reach::Reach::default().record_answer(Millis(1)));
    /// ```
    pub fn record_answer(&mut self, now: Millis) -> bool {
        let was_lost = self.lost_at.is_some();
        *self = Self {
            answered_at: Some(now),
            ..Self::default()
        };
        was_lost
    }

    /// Records a call without an answer; returns whether the store was available before.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut reach = store::reach::Reach::default();
    /// assert!(reach.record_loss(Millis(1)) && !reach.record_loss(Millis(2)));
    /// ```
    pub fn record_loss(&mut self, now: Millis) -> bool {
        let was_available = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        was_available
    }

    /// Records that a read which started after the loss was not answered.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut reach = store::reach::Reach::default();
    /// reach.record_loss(Millis(1));
    /// reach.confirm_loss();
    /// assert!(reach.is_out());
    /// ```
    pub fn confirm_loss(&mut self) {
        self.confirmed = self.lost_at.is_some();
    }

    /// Returns whether the store does not answer this process.
    ///
    /// ```
    /// assert!(!store::reach::Reach::default().is_lost());
    /// ```
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns for how long the store has not answered; `None` while it answers.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut reach = store::reach::Reach::default();
    /// reach.record_loss(Millis(10));
    /// assert_eq!(reach.lost_for(Millis(15)), Some(Millis(5)));
    /// ```
    pub fn lost_for(&self, now: Millis) -> Option<Millis> {
        self.lost_at.map(|at| now.since(at))
    }

    /// Returns whether another call would most likely not be answered: two reads in a row were not.
    /// One refused call may exceed the rate of all processes together.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut reach = store::reach::Reach::default();
    /// reach.record_loss(Millis(1));
    /// assert!(!reach.is_out());
    /// ```
    pub const fn is_out(&self) -> bool {
        self.confirmed
    }

    /// Returns the age of the last answer, as reported to other processes; `None` if the store is
    /// lost or has never answered.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut reach = store::reach::Reach::default();
    /// reach.record_answer(Millis(10));
    /// assert_eq!(reach.answer_age(Millis(15)), Some(Millis(5)));
    /// ```
    pub fn answer_age(&self, now: Millis) -> Option<Millis> {
        let at = self.answered_at.filter(|_| !self.is_lost())?;
        Some(now.since(at))
    }

    /// Records the report of another process that was asked at `asked_at`: the age of the last
    /// answer that it received. Returns whether that answer shows that the store serves others: it
    /// must be newer than the loss, because the other process may not have noticed an outage yet.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut reach = store::reach::Reach::default();
    /// reach.record_loss(Millis(100));
    /// assert!(!reach.record_report(Millis(105), Millis(10), Millis(107)));
    /// assert!(reach.record_report(Millis(505), Millis(10), Millis(507)));
    /// ```
    pub fn record_report(&mut self, asked_at: Millis, age: Millis, now: Millis) -> bool {
        let is_newer = self.lost_at.is_some_and(|lost| asked_at.since(age) > lost);
        if is_newer {
            self.others_served_at = Some(now);
        }
        is_newer
    }

    /// Returns whether the store answers other processes and not this one.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert!(!store::reach::Reach::default().others_are_served(Millis(1)));
    /// ```
    pub fn others_are_served(&self, now: Millis) -> bool {
        let reported = self.others_served_at;
        self.is_lost() && reported.is_some_and(|t| now.since(t) < REPORT_VALIDITY)
    }
}
