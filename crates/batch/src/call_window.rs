//! Number and order of the calls to all workers.
//!
//! All calls of a leader share the link and the processor of its VM. If more were under way than these
//! carry, all would become slow together, be given up and be sent again, and the repeats would fill
//! what the first tries need. So the number of calls under way follows the time that answers take
//! (additive increase, multiplicative decrease), and the others wait here, the more important ones
//! first.

use std::collections::VecDeque;

use base::clock::Millis;

use crate::{
    answer_time::AnswerTime,
    window::{Window, WindowCfg},
};

/// Size of the window. A VM has room for the maximum beside a connection to each of the 1,100 workers of
/// a large site, and the members of a small gang are sent together at the minimum.
const WINDOW: WindowCfg = WindowCfg {
    initial: 16.0,
    min: 8.0,
    max: 512.0,
    increase: 4.0,
    decrease: 0.7,
};
/// Time of an answer above which fewer calls are sent. Renewals of the leader's lease (0.9 s) share
/// the link.
const SLOW_ANSWER: Millis = Millis(200);
/// Factor by which the recent maximum of the lag falls with each measurement.
const LAG_DECAY: f64 = 0.9;
/// Time of an answer up to which the number doubles with each round at first.
const FAST_ANSWER: Millis = Millis(100);
/// Number of calls without an answer up to which workers are taken to be silent.
const MIN_MISSED: usize = 8;
/// Minimum time after which a call without an answer leaves the window, so that silent workers don't
/// hold up the calls to others.
const MIN_OVERDUE: Millis = Millis(100);
/// Maximum time, likewise.
const MAX_OVERDUE: Millis = Millis(700);
/// Time whose starts may wait here. Gangs wait for their members for at least 3 s.
const QUEUE_TIME: Millis = Millis(1_000);
/// Minimum of [`CallWindow::max_starts`].
const MIN_STARTS: usize = 32;
/// Minimum time of an answer that [`CallWindow::max_starts`] assumes.
const MIN_ANSWER: Millis = Millis(20);

/// Mean time of an answer up to which changes that nothing waits for are stored at once.
const PROMPT_ANSWER: Millis = Millis(50);
/// Deferral of such changes, as a multiple of the time by which answers take longer.
const DEFERRAL_FACTOR: u64 = 16;
/// Maximum of that deferral.
const MAX_DEFERRAL: Millis = Millis(2_000);

/// Importance of a call, the highest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Extension of the lease of what runs.
    Extension,
    /// Stop, for which rules set a time and which frees resources for starts.
    Stop,
    /// Start of urgent work.
    UrgentStart,
    /// Other start.
    Start,
    /// Request for a report.
    Report,
}

/// A call that waits, in the order of turns.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Waiting {
    class: Class,
    position: u64,
    id: u64,
}

/// The calls to all workers that wait or are under way, apart from the sequential renewals.
///
/// ```
/// use base::clock::Millis;
/// use batch::call_window::{CallWindow, Class};
///
/// let mut window = CallWindow::default();
/// let start = window.add(Class::Start, 1);
/// let stop = window.add(Class::Stop, 2);
/// assert_eq!(window.advance(Millis(5)), [stop, start]);
/// window.end(stop, true, Millis(9));
/// ```
#[derive(Debug)]
pub struct CallWindow {
    next_id: u64,
    window: Window,
    /// Calls that wait, the next one last.
    waiting: Vec<Waiting>,
    /// Calls under way with the times when they were sent, the oldest first.
    under_way: VecDeque<(u64, Millis)>,
    /// Calls that have left the window without an answer and may still get one.
    overdue: Vec<(u64, Millis)>,
    answer_time: AnswerTime,
    /// Recent maximum of the time by which this process handles events late.
    lag: f64,
    /// Calls that were answered, and those that became overdue, since the last decrease.
    answered: usize,
    missed: usize,
}

impl Default for CallWindow {
    fn default() -> Self {
        Self {
            next_id: 0,
            window: Window::new(WINDOW),
            waiting: Vec::new(),
            under_way: VecDeque::new(),
            overdue: Vec::new(),
            answer_time: AnswerTime::default(),
            lag: 0.0,
            answered: 0,
            missed: 0,
        }
    }
}

impl CallWindow {
    /// Adds a call that waits for its turn, and returns its number. In its class it goes before calls
    /// of a higher `position`: members of a gang that arrive here one after the other, because a
    /// worker gets few calls at a time, still go out close together.
    ///
    /// ```
    /// use batch::call_window::{CallWindow, Class};
    /// assert_eq!(CallWindow::default().add(Class::Stop, 1), 1);
    /// ```
    pub fn add(&mut self, class: Class, position: u64) -> u64 {
        self.next_id += 1;
        let call = Waiting {
            class,
            position,
            id: self.next_id,
        };
        let index = self.waiting.partition_point(|w| *w > call);
        self.waiting.insert(index, call);
        self.next_id
    }

    /// Returns the numbers of the calls whose turn has come, which are under way from now on.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert!(batch::call_window::CallWindow::default().advance(Millis(1)).is_empty());
    /// ```
    pub fn advance(&mut self, now: Millis) -> Vec<u64> {
        self.remove_overdue(now);
        let mut turns = Vec::new();
        while self.under_way.len() < self.window.size()
            && let Some(next) = self.waiting.pop()
        {
            self.under_way.push_back((next.id, now));
            turns.push(next.id);
        }
        turns
    }

    /// Records that a call whose turn has come has ended, with or without an answer.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::call_window::CallWindow::default().end(1, false, Millis(1));
    /// ```
    pub fn end(&mut self, id: u64, answered: bool, now: Millis) {
        let is_this = |(call, _): &(u64, Millis)| *call == id;
        let found = if let Some(i) = self.under_way.iter().position(is_this) {
            self.under_way.remove(i)
        } else {
            let i = self.overdue.iter().position(is_this);
            i.map(|i| self.overdue.swap_remove(i))
        };
        let Some((_, sent)) = found else {
            return;
        };
        let took = now.since(sent);
        // A few silent workers say nothing about the time of the others' answers.
        if answered || self.missed > self.answered {
            self.answer_time.record(took);
        }
        if !answered {
            return;
        }
        let on_link = took.since(Millis(self.lag as u64));
        if on_link <= SLOW_ANSWER {
            self.answered += 1;
            if !self.window.has_decreased() && on_link <= FAST_ANSWER {
                self.window.increase_fast();
            } else {
                self.window.increase();
            }
        } else {
            self.decrease(sent, now);
        }
    }

    /// Records that this process has handled an event `lag` late. A process that is short of processor
    /// time reads answers late, however few calls are under way.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::call_window::{CallWindow, Class};
    /// let mut window = CallWindow::default();
    /// window.record_lag(Millis(400));
    /// let id = window.add(Class::Start, 1);
    /// window.advance(Millis(1));
    /// window.end(id, true, Millis(501));
    /// assert!(window.size() >= 16);
    /// ```
    pub fn record_lag(&mut self, lag: Millis) {
        self.lag = (self.lag * LAG_DECAY).max(lag.0 as f64);
    }

    /// Returns the time of the next [`advance`](Self::advance) if no call ends before, or `None` if
    /// no call waits.
    ///
    /// ```
    /// assert!(batch::call_window::CallWindow::default().next_at().is_none());
    /// ```
    pub fn next_at(&self) -> Option<Millis> {
        self.waiting.last()?;
        let oldest = self.under_way.front();
        Some(oldest.map_or(Millis::ZERO, |(_, sent)| *sent + self.overdue_after()))
    }

    /// Returns the time limit for the answer to a call that is sent now.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert_eq!(batch::call_window::CallWindow::default().call_limit(), Millis(1_200));
    /// ```
    pub fn call_limit(&self) -> Millis {
        self.answer_time.call_limit()
    }

    /// Returns how many starts may wait for their answers before further work is placed. Starts that
    /// wait for longer would only hold resources, and gangs would end before all members have come.
    ///
    /// ```
    /// assert!(batch::call_window::CallWindow::default().max_starts() >= 32);
    /// ```
    pub fn max_starts(&self) -> usize {
        let answer = self.answer_time.mean().max(MIN_ANSWER);
        let in_time = self.window.exact_size() * QUEUE_TIME.0 as f64 / answer.0 as f64;
        (in_time as usize).max(MIN_STARTS)
    }

    /// Returns for how long changes that nothing waits for are not stored. Commits share the link with
    /// the calls, and each holds the whole progress of its jobs.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert_eq!(batch::call_window::CallWindow::default().deferral(), Millis::ZERO);
    /// ```
    pub fn deferral(&self) -> Millis {
        let over = self.answer_time.mean().since(PROMPT_ANSWER);
        Millis(DEFERRAL_FACTOR * over.0).min(MAX_DEFERRAL)
    }

    /// Returns the maximum number of calls under way.
    ///
    /// ```
    /// assert_eq!(batch::call_window::CallWindow::default().size(), 16);
    /// ```
    pub fn size(&self) -> usize {
        self.window.size()
    }

    /// Returns the number of calls that wait for their turn.
    ///
    /// ```
    /// assert_eq!(batch::call_window::CallWindow::default().waiting(), 0);
    /// ```
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn overdue_after(&self) -> Millis {
        let usual = self.answer_time.usual_maximum();
        usual.max(MIN_OVERDUE).min(MAX_OVERDUE) + Millis(self.lag as u64)
    }

    fn remove_overdue(&mut self, now: Millis) {
        let after = self.overdue_after();
        while let Some(call) = self
            .under_way
            .pop_front_if(|(_, sent)| now.since(*sent) >= after)
        {
            self.overdue.push(call);
            self.missed += 1;
            // A few silent workers are no shortage.
            if self.missed > self.answered.max(MIN_MISSED) {
                self.decrease(call.1, now);
            }
        }
    }

    fn decrease(&mut self, sent: Millis, now: Millis) {
        if self.window.decrease(sent, now) {
            self.answered = 0;
            self.missed = 0;
        }
    }
}
