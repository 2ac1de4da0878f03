//! Limits of what callers can make a process log.

use std::cell::RefCell;

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};

/// Number of lines about one kind of event that are logged at once.
const MAX_LINES: u64 = 100;
/// Interval at which a further line may be logged.
const LINE_INTERVAL: Millis = Millis(50);
/// Size up to which a text of a caller is logged, in bytes.
const MAX_TEXT: usize = 256;

/// Limit of the lines about one kind of event.
///
/// ```
/// use base::clock::Millis;
/// let mut limit = serve::LogLimit::new(1, Millis(5_000));
/// assert_eq!(limit.take(Millis(100)), Some(0));
/// assert_eq!(limit.take(Millis(200)), None);
/// assert_eq!(limit.take(Millis(5_100)), Some(1));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LogLimit {
    max_lines: u64,
    interval: Millis,
    /// Time at which all lines may be logged again, if none is until then.
    full_at: Millis,
    suppressed: u64,
}

impl LogLimit {
    /// Creates a limit of `max_lines` at once and one more in each `interval`.
    pub const fn new(max_lines: u64, interval: Millis) -> Self {
        Self {
            max_lines,
            interval,
            full_at: Millis::ZERO,
            suppressed: 0,
        }
    }

    /// Returns how many lines were left out since the last one, if one may be logged now.
    pub fn take(&mut self, now: Millis) -> Option<u64> {
        let full_at = self.full_at.max(now) + self.interval;
        if full_at.since(now).0 > self.max_lines * self.interval.0 {
            self.suppressed += 1;
            return None;
        }
        self.full_at = full_at;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Limits of the lines that callers' requests cause, by kind of event.
///
/// ```
/// let limits = serve::LogLimits::default();
/// assert_eq!(limits.take("invalid"), Some(0));
/// ```
#[derive(Debug, Default)]
pub struct LogLimits(RefCell<SortedMap<&'static str, LogLimit>>);

impl LogLimits {
    /// Returns how many lines of a kind were left out since the last one, if one may be logged now.
    pub fn take(&self, kind: &'static str) -> Option<u64> {
        let mut limits = self.0.borrow_mut();
        if limits.get(kind).is_none() {
            limits.insert(kind, LogLimit::new(MAX_LINES, LINE_INTERVAL));
        }
        limits.get_mut(kind)?.take(clock::now())
    }
}

/// Returns the begin of a text of a caller for a log line.
///
/// ```
/// assert_eq!(serve::log_text("/q/1"), "/q/1");
/// assert_eq!(serve::log_text(&"x".repeat(1_000)).len(), 256);
/// ```
pub fn log_text(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT)]
}
