//! Resources that are kept free for urgent work, under a load that begins and ends.

mod fleet;

use batch::worker::{Order, Outcome};
use fleet::{Fleet, gang, starts, step};

/// Interval between two scheduling passes, in milliseconds.
const PASS_MS: u64 = 100;
/// Run time of an urgent gang, in milliseconds. Other runs do not end.
const URGENT_MS: u64 = 2_500;

/// A fleet and the urgent runs on it.
struct Load {
    fleet: Fleet,
    /// Runs of urgent gangs, with the time of their end.
    urgent: Vec<(u64, Order)>,
    /// Number of urgent runs that have ended.
    ended: u64,
}

impl Load {
    /// Plays `ms` milliseconds with an urgent gang every `interval_ms`, if given, and returns the
    /// number of other runs that started.
    fn play(&mut self, ms: u64, interval_ms: Option<u64>) -> usize {
        let mut started = 0;
        for at in (0..ms).step_by(PASS_MS as usize) {
            if interval_ms.is_some_and(|i| at % i == 0) {
                let id = format!("urgent-{}", self.fleet.now.0);
                self.fleet.submit(&id, 0, gang(2, 4));
            }
            let end = self.fleet.now.0 + URGENT_MS;
            for order in starts(&self.fleet.plan()) {
                if order.task.job.starts_with("urgent") {
                    self.urgent.push((end, order));
                } else {
                    started += 1;
                }
            }
            let now = self.fleet.advance(PASS_MS).now.0;
            let over = self.urgent.extract_if(.., |(end, _)| *end <= now);
            for (_, order) in over.collect::<Vec<_>>() {
                self.ended += 1;
                self.fleet.finish(&order, self.ended, Outcome::Done);
            }
        }
        started
    }
}

/// Guards against idle workers that are kept free for urgent work long after its load has ended.
#[test]
fn deferrable_work_does_not_wait_for_an_urgent_load_that_has_ended() {
    let mut load = Load {
        fleet: Fleet::new(8),
        urgent: Vec::new(),
        ended: 0,
    };
    load.play(20_000, Some(500));
    load.fleet.submit("wide", 1, step(8, 8));
    // The last urgent run ends within 2.5 s.
    let started = load.play(2_500, None);
    assert!(started < 8, "some workers are kept free for another burst");
    assert_eq!(started + load.play(6_000, None), 8);
}
