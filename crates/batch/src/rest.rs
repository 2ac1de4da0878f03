//! Rests of lasting subtasks under which workers have crashed.
//!
//! Lasting work is restarted however it ends, so it is never given up. A subtask that may crash its
//! workers is instead kept from taking one after the other down: after the first few crashes it
//! rests, longer after each one, and runs on workers of its own.

use base::clock::Millis;

use crate::{
    crash::MAX_SHARED_CRASHES,
    job::{SubtaskId, Text},
    progress::Subtask,
    scheduler::JobScheduler,
};

/// Increase of the rest with each crash.
const REST_STEP: Millis = Millis(2_000);
/// Maximum rest, counted from the crash. A lasting subtask has to run again 9 s after its last run,
/// and may wait 2 s for a worker of its own.
const MAX_REST: Millis = Millis(6_000);

/// Returns the rest of a subtask under which `crashes` workers have crashed.
fn rest_after(crashes: u32) -> Millis {
    let steps = (crashes + 1).saturating_sub(MAX_SHARED_CRASHES);
    Millis(REST_STEP.0 * u64::from(steps)).min(MAX_REST)
}

impl Subtask {
    /// Returns whether the subtask may not be started because its workers have crashed.
    pub(crate) fn is_resting(&self, now: Millis) -> bool {
        now < self.rests_until
    }
}

impl JobScheduler {
    /// Returns whether a subtask lasts until its job is cancelled.
    pub(crate) fn is_endless(&self, id: &SubtaskId) -> bool {
        self.step_of(id).is_some_and(|s| s.endless)
    }

    /// Lets a lasting subtask rest after a crash of its worker.
    pub(crate) fn rest(&mut self, id: &SubtaskId, worker: &Text, crashed_at: Millis) {
        let Some(task) = self.subtask_mut(id) else {
            return;
        };
        let (crashes, rest) = (task.crashes, rest_after(task.crashes));
        if rest == Millis::ZERO {
            return;
        }
        task.rests_until = crashed_at + rest;
        log::warn!(task:% = id, crashes, worker:%, rest_ms = rest.0; "batch: rests, its workers crash");
    }
}
