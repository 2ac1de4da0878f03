//! Cost of delay of waiting work, and whether a preemption gains more than it loses.
//!
//! Functions over plain values. Work is in core milliseconds (see
//! [`Resources::weight`](crate::job::Resources)). Values are relative to a job with the mean work of its
//! queue.

use std::cmp::Reverse;

use base::clock::Millis;

/// A job that takes longer than this multiple of its completion objective is of no value.
pub(crate) const TOO_LATE_FACTOR: u64 = 3;
/// Part of a job's value that doesn't depend on its work.
const FIXED_VALUE: f64 = 0.3;
/// Part of a job's value that grows with its work relative to the mean of its kind.
const VALUE_OF_WORK: f64 = 0.7;
/// Maximum value of a job relative to that of one with the mean work of its kind.
const MAX_VALUE: f64 = 4.0;
/// Value of work of priority 0 or 1 relative to the same amount of other work.
const HIGH_PRIORITY_VALUE: f64 = 2.0;
/// Number of objectives that a job waits until the aging of its density has doubled it.
const AGING_OBJECTIVES: f64 = 1.0;
/// Wait from which a unit comes before all others of its class, so that a lasting overload starves
/// nothing. It is several times the objective of any job that is still of value, so that the order
/// is by cost until then.
const MAX_WAIT: Millis = Millis(60_000);
/// Wait until which guaranteed work leaves runs to end by themselves. It has to start within 2.7 s;
/// a stop takes up to 1 s, and passes, commits and orders may take the rest.
const MAX_GUARANTEED_WAIT: Millis = Millis(600);
/// Time from the end of a run until another one has started in its place: its report, a pass, a commit
/// and the order.
const START_TIME: Millis = Millis(200);
/// Time beyond its projected end after which nothing is known of the end of a run.
const MAX_OVERDUE: Millis = Millis(200);
/// Minimum progress for projecting the end of a run; reports round it to whole percents.
const MIN_PROJECTION_PERCENT: u32 = 10;
/// Factor on densities in sort keys. The largest jobs have about 1e9 core milliseconds, so that their
/// densities keep three digits.
const DENSITY_SCALE: f64 = 1e6;
/// Additional loss of a run for each earlier start of its subtask, as a multiple of its loss. A job
/// that was stopped before has become later and loses more by a further stop.
const LOSS_PER_START: u64 = 1;

/// How units that compete for too little room are ordered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WaitingOrder {
    /// By priority and due time, as with ample room.
    Due,
    /// By the time that is left until the latest start.
    LeastLaxity,
    /// By the work left per value.
    ShortestWork,
    /// By the value per work left, which grows with the wait.
    Density,
    /// Units that would become late within one generation of runs by least laxity, then the others by
    /// density.
    #[default]
    Mixed,
}

/// Rules that apply only while waiting work exceeds the free room. The default is meant for
/// operation; the other values are for comparisons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverloadRules {
    /// Order of the waiting units.
    pub order: WaitingOrder,
    /// Whether preemption waits for runs that end soon and compares gain and loss.
    pub stops_by_gain: bool,
}

impl Default for OverloadRules {
    fn default() -> Self {
        Self {
            order: WaitingOrder::default(),
            stops_by_gain: true,
        }
    }
}

/// What the cost of delay of a waiting unit depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Delay {
    /// Priority of the queue.
    pub priority: u32,
    /// Time from the submission to the expected end if the unit starts now.
    pub took: Millis,
    /// Completion objective, counted from the submission.
    pub objective: Millis,
    /// Work of the job.
    pub work: f64,
    /// Work that is left to do.
    pub work_left: f64,
    /// Mean work of the jobs of its queue.
    pub mean_work: f64,
    /// How long the unit has waited.
    pub waited: Millis,
}

/// Returns the share of a job's value that is left if it takes `took`: all of it within the objective,
/// none from three times the objective on, and a linearly falling part in between.
///
/// ```
/// use base::clock::Millis;
/// use batch::delay_cost::share_of_value;
/// assert_eq!(share_of_value(Millis(100), Millis(100)), 1.0);
/// assert_eq!(share_of_value(Millis(200), Millis(100)), 0.5);
/// assert_eq!(share_of_value(Millis(300), Millis(100)), 0.0);
/// ```
pub fn share_of_value(took: Millis, objective: Millis) -> f64 {
    let limit = objective.0.saturating_mul(TOO_LATE_FACTOR);
    match took {
        t if t <= objective => 1.0,
        t if t.0 >= limit => 0.0,
        t => (limit - t.0) as f64 / (limit - objective.0) as f64,
    }
}

/// Returns the value of a job that ends within its objective.
///
/// ```
/// use batch::delay_cost::full_value;
/// assert_eq!(full_value(2, 100.0, 100.0), 1.0);
/// assert!(full_value(2, 10.0, 100.0) > 0.1, "a part doesn't depend on the work");
/// ```
pub fn full_value(priority: u32, work: f64, mean_work: f64) -> f64 {
    let relative = work / mean_work.max(1.0);
    let value = (FIXED_VALUE + VALUE_OF_WORK * relative).min(MAX_VALUE);
    value * priority_factor(priority)
}

const fn priority_factor(priority: u32) -> f64 {
    match priority {
        0 | 1 => HIGH_PRIORITY_VALUE,
        _ => 1.0,
    }
}

/// Returns the value of work that is lost by a stop of runs that were started `starts` times.
///
/// ```
/// use batch::delay_cost::value_of_lost_work;
/// assert_eq!(value_of_lost_work(2, 50.0, 100.0, 1), 0.5);
/// assert!(value_of_lost_work(2, 50.0, 100.0, 2) > 0.5);
/// ```
pub fn value_of_lost_work(priority: u32, lost: f64, mean_work: f64, starts: u32) -> f64 {
    let earlier = u64::from(starts.saturating_sub(1));
    let factor = 1 + LOSS_PER_START * earlier;
    priority_factor(priority) * lost / mean_work.max(1.0) * factor as f64
}

impl Delay {
    /// Returns the time for which the start may be put off without the job being late; 0 if it is
    /// late.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::delay_cost::Delay;
    /// let delay = Delay { took: Millis(70), objective: Millis(100), ..Delay::default() };
    /// assert_eq!(delay.laxity(), Millis(30));
    /// ```
    pub const fn laxity(&self) -> Millis {
        self.objective.since(self.took)
    }

    /// Returns the value that the job has if the unit starts after a further wait.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::delay_cost::Delay;
    /// let delay = Delay { priority: 2, objective: Millis(100), work: 1.0, mean_work: 1.0, ..Delay::default() };
    /// assert_eq!(delay.value_after(Millis(100)), 1.0);
    /// assert_eq!(delay.value_after(Millis(300)), 0.0);
    /// ```
    pub fn value_after(&self, wait: Millis) -> f64 {
        let share = share_of_value(self.took + wait, self.objective);
        share * full_value(self.priority, self.work, self.mean_work)
    }

    /// Returns the value per work left, which grows with the wait. It is that of a job in time also if the
    /// job is late: what a late job has lost is lost in any order, and by what is left of it the
    /// latest would come last.
    fn density(&self, ages: bool) -> f64 {
        let waited = self.waited.0 as f64 / self.objective.0.max(1) as f64;
        let aging = if ages {
            1.0 + waited / AGING_OBJECTIVES
        } else {
            1.0
        };
        let value = full_value(self.priority, self.work, self.mean_work);
        value * self.mean_work.max(1.0) * aging / self.work_left.max(1.0)
    }

    /// Returns the sort key of the unit among those with the same timeliness; lower keys come first.
    /// `generation` is the time until a typical run ends and leaves room for another unit.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::delay_cost::{Delay, WaitingOrder};
    /// let job = Delay { objective: Millis(9_000), work: 10.0, work_left: 10.0, mean_work: 10.0, ..Delay::default() };
    /// let (lax, tight) = (Delay { took: Millis(100), ..job }, Delay { took: Millis(8_000), ..job });
    /// let key = |delay: &Delay| delay.sort_key(WaitingOrder::Mixed, Millis(2_500));
    /// assert!(key(&tight) < key(&lax), "the tight one would be late after one generation of runs");
    /// ```
    pub fn sort_key(&self, order: WaitingOrder, generation: Millis) -> SortKey {
        let by_density = |ages| Reverse((self.density(ages) * DENSITY_SCALE) as u64);
        let laxity = self.laxity();
        let tight = laxity > Millis::ZERO && laxity <= generation;
        let (after_tight, laxity, density) = match order {
            WaitingOrder::Due => (false, Millis::ZERO, Reverse(0)),
            WaitingOrder::LeastLaxity => (false, laxity, Reverse(0)),
            WaitingOrder::ShortestWork => (false, Millis::ZERO, by_density(false)),
            WaitingOrder::Density => (false, Millis::ZERO, by_density(true)),
            WaitingOrder::Mixed if tight => (false, laxity, Reverse(0)),
            WaitingOrder::Mixed => (true, Millis::ZERO, by_density(true)),
        };
        SortKey {
            after_tight,
            laxity,
            density,
        }
    }

    /// Returns whether the unit has waited so long that it comes before all others of its class.
    pub(crate) fn is_overdue(&self) -> bool {
        self.waited >= MAX_WAIT
    }
}

/// Sort key of a waiting unit, see [`Delay::sort_key`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SortKey {
    after_tight: bool,
    laxity: Millis,
    /// Value per work left, times [`DENSITY_SCALE`].
    density: Reverse<u64>,
}

impl SortKey {
    /// Key of all units while there is room for them.
    pub(crate) const NONE: Self = Self {
        after_tight: false,
        laxity: Millis::ZERO,
        density: Reverse(0),
    };

    /// Returns the key of a unit for which runs were stopped, `age` ago. The earliest claim comes first:
    /// if a later one took the room, the unit would have to stop more runs.
    pub(crate) const fn of_claim(age: Millis) -> Self {
        Self {
            density: Reverse(u64::MAX / 2 + age.0),
            ..Self::NONE
        }
    }
}

/// Returns the loss by a stop of a run that was started `starts` times, this time included.
///
/// ```
/// use batch::delay_cost::loss_of_stop;
/// assert!(loss_of_stop(100, 3) > loss_of_stop(100, 1));
/// ```
pub fn loss_of_stop(lost_work: u64, starts: u32) -> u64 {
    let earlier = u64::from(starts.saturating_sub(1));
    lost_work.saturating_mul(1 + LOSS_PER_START * earlier)
}

/// Returns whether stops that lose `loss` pay for the unit. They let it start after `stop_time`;
/// without them it starts after `generation`, when a run has ended by itself.
///
/// ```
/// use base::clock::Millis;
/// use batch::delay_cost::{Delay, is_gain};
/// let job = Delay { objective: Millis(3_000), work: 100.0, mean_work: 100.0, ..Delay::default() };
/// let (stop, generation) = (Millis(500), Millis(4_000));
/// assert!(is_gain(&Delay { took: Millis(2_500), ..job }, 0.1, stop, generation));
/// assert!(!is_gain(&Delay { took: Millis(9_000), ..job }, 0.1, stop, generation), "it has no value");
/// ```
pub fn is_gain(delay: &Delay, loss: f64, stop_time: Millis, generation: Millis) -> bool {
    let gain = delay.value_after(stop_time) - delay.value_after(generation.max(stop_time));
    gain > loss
}

/// Returns for how long a unit may leave runs to end by themselves instead of stopping them. It is half
/// of the laxity, because that is by an expected run time: with all of it, in the example overload
/// at load 1.0, 95.4% of urgent jobs were in time and 96.7% with half of it. A stop takes some time too,
/// so a run that ends within half of its maximum is never stopped for work without a guarantee.
///
/// ```
/// use base::clock::Millis;
/// use batch::delay_cost::{Delay, max_wait_for_ends};
/// let delay = Delay { took: Millis(2_600), objective: Millis(4_000), waited: Millis(100), ..Delay::default() };
/// assert_eq!(max_wait_for_ends(&delay, false, Millis(1_000)), Millis(500));
/// assert_eq!(max_wait_for_ends(&delay, true, Millis(1_000)), Millis(500));
/// ```
pub fn max_wait_for_ends(delay: &Delay, guaranteed: bool, stop_time: Millis) -> Millis {
    if guaranteed {
        return MAX_GUARANTEED_WAIT.since(delay.waited);
    }
    let laxity = Millis(delay.laxity().0 / 2).since(START_TIME);
    laxity.max(Millis(stop_time.0 / 2))
}

/// Returns the remaining time of a run whose progress was `percent` after `elapsed`, `age` ago. Returns
/// `None` if that is too little to go by, or if the run should have ended.
///
/// ```
/// use base::clock::Millis;
/// use batch::delay_cost::projected_remaining;
/// let remaining = |age| projected_remaining(Millis(1_000), 50, Millis(age));
/// assert_eq!(remaining(400), Some(Millis(600)));
/// assert_eq!(remaining(1_100), Some(Millis::ZERO));
/// assert_eq!(remaining(2_000), None);
/// ```
pub fn projected_remaining(elapsed: Millis, percent: u32, age: Millis) -> Option<Millis> {
    if percent < MIN_PROJECTION_PERCENT {
        return None;
    }
    let percent = u64::from(percent.min(100));
    let remaining = Millis(elapsed.0 * (100 - percent) / percent);
    (age <= remaining + MAX_OVERDUE).then_some(remaining.since(age))
}
