//! What the leader did in the last second, as one log line.

use base::clock::{self, Millis};
use batch::worker::Outcome;

use crate::{cx::Cx, leader::Leader};

/// Interval between two lines.
const INTERVAL: Millis = Millis(1_000);
/// Duration of a pass that is logged. Meanwhile the leader answers nothing and renews no lease.
const LONG_PASS: Millis = Millis(50);

/// Numbers since the last line.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    since: Millis,
    ends: Vec<(Outcome, u32)>,
    passes: u32,
    longest_pass: Millis,
    /// Time since when the leader has had no valid lease.
    lapsed_at: Option<Millis>,
}

impl Activity {
    /// Records a pass that took that long, and the runs that ended before it.
    pub(crate) fn record(&mut self, cx: &Cx, leader: &Leader, took: Millis) {
        let now = clock::now();
        cx.metrics.record_pass(took);
        self.passes += 1;
        self.longest_pass = self.longest_pass.max(took);
        let preemptions = leader.scheduler.borrow_mut().take_preemptions();
        cx.metrics.count_preemptions(&preemptions);
        for outcome in leader.scheduler.borrow_mut().take_run_ends() {
            cx.metrics.count_run_end(outcome);
            match self.ends.iter_mut().find(|(o, _)| *o == outcome) {
                Some((_, count)) => *count += 1,
                None => self.ends.push((outcome, 1)),
            }
        }
        for error in leader.scheduler.borrow_mut().take_run_time_errors() {
            cx.metrics.record_run_time_error(error);
        }
        self.record_lease(cx, leader, now);
        if now.since(self.since) >= INTERVAL {
            self.log(leader);
            *self = Self {
                since: now,
                lapsed_at: self.lapsed_at,
                ..Self::default()
            };
        }
    }

    fn record_lease(&mut self, cx: &Cx, leader: &Leader, now: Millis) {
        if cx.acting().is_none() {
            self.lapsed_at.get_or_insert(now);
        } else if let Some(lapsed_at) = self.lapsed_at.take() {
            let gap = now.since(lapsed_at);
            cx.metrics.record_lease_gap(gap);
            let counts = leader.scheduler.borrow().counts();
            log::warn!(gap_ms = gap.0, runs = counts.runs, open = counts.open; "leader: valid lease again");
        }
    }

    fn log(&self, leader: &Leader) {
        let is_calm = self.ends.iter().all(|(o, _)| *o == Outcome::Done);
        if is_calm && self.longest_pass < LONG_PASS {
            return;
        }
        let of = |outcome| {
            let end = self.ends.iter().find(|(o, _)| *o == outcome);
            end.map_or(0, |(_, count)| *count)
        };
        let counts = leader.scheduler.borrow().counts();
        log::info!(
            done = of(Outcome::Done), failed = of(Outcome::Failed), stopped = of(Outcome::Stopped),
            lapsed = of(Outcome::Lapsed), broken = of(Outcome::Broken), alone = of(Outcome::Alone),
            passes = self.passes, longest_pass_ms = self.longest_pass.0,
            runs = counts.runs, open = counts.open, valid = self.lapsed_at.is_none();
            "leader: activity"
        );
    }
}
