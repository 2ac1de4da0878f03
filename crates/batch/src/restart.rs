//! Restart of endless work: it has to run again soon after its last run, however full its service is.

use base::clock::Millis;

use crate::{config::URGENT_PRIORITY, ranking::Unit, scheduler::JobScheduler};

/// Time after its last run from which on endless work stops other runs to run again. It has to within
/// 9 s; a stop, its report and the start take up to 2 s.
const STOP_AFTER: Millis = Millis(7_000);
/// Time within which the end of another run is awaited in place of a stop.
pub(crate) const MAX_WAIT_FOR_ENDS: Millis = Millis(500);

impl Unit {
    /// Returns whether the unit may stop finite runs because it has to run again.
    pub(crate) fn has_to_restart(&self) -> bool {
        self.idle.is_some_and(|t| t >= STOP_AFTER)
    }

    /// Returns whether the unit may stop a finite run of the given priority because it has to run
    /// again.
    pub(crate) fn may_displace(&self, priority: u32) -> bool {
        self.has_to_restart() && priority >= self.priority && priority > URGENT_PRIORITY
    }
}

impl JobScheduler {
    /// Records that the subtasks of a unit, which is endless, have no room to run again. The end of their
    /// last runs is known if their workers were lost.
    pub(crate) fn note_idle(&mut self, unit: &Unit, now: Millis) {
        for id in &unit.tasks {
            if let Some(task) = self.subtask_mut(id)
                && task.attempt > 0
            {
                task.idle_since.get_or_insert(now);
            }
        }
    }
}
