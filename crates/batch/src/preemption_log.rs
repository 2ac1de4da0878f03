//! What preemption has cost, for logs and metrics.

use base::clock::Millis;

use crate::{ranking::Unit, scheduler::JobScheduler, victims::Victim};

/// Why runs were stopped for other work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Urgent work within its organisation's guarantee.
    Guarantee,
    /// Other urgent work, which gains more than the stop loses.
    Urgency,
    /// Endless work that has to run again.
    Restart,
}

impl StopReason {
    /// Returns the name for logs and metrics.
    ///
    /// ```
    /// assert_eq!(batch::preemption_log::StopReason::Urgency.name(), "urgency");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Guarantee => "guarantee",
            Self::Urgency => "urgency",
            Self::Restart => "restart",
        }
    }
}

/// A stop of a run, or of all runs of a gang, for other work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Preemption {
    /// Why it was stopped.
    pub reason: StopReason,
    /// Number of runs.
    pub runs: usize,
    /// Lost work in core milliseconds.
    pub lost: u64,
    /// Whether a subtask had been started before this run.
    pub repeated: bool,
}

/// Preemption since the last call of [`JobScheduler::take_preemptions`].
#[derive(Clone, Debug, Default)]
pub struct PreemptionLog {
    /// Stops.
    pub stops: Vec<Preemption>,
    /// Number of units for which runs were stopped and that have not started in time.
    pub lapsed_claims: u64,
}

impl JobScheduler {
    /// Returns the stops for other work since the last call.
    ///
    /// ```
    /// let log = batch::scheduler::JobScheduler::default().take_preemptions();
    /// assert!(log.stops.is_empty());
    /// ```
    pub fn take_preemptions(&mut self) -> PreemptionLog {
        std::mem::take(&mut self.preemption_log)
    }

    /// Stops a victim for a unit, which has a claim on its room from then on.
    pub(crate) fn stop_victim(&mut self, victim: &Victim, unit: &Unit, now: Millis) {
        let reason = if unit.guaranteed {
            StopReason::Guarantee
        } else if unit.has_to_restart() {
            StopReason::Restart
        } else {
            StopReason::Urgency
        };
        log::info!(
            task:% = victim.tasks[0], tasks = victim.tasks.len(), reason = reason.name(),
            loss = victim.loss, lost_core_ms = victim.lost, starts = victim.starts,
            remaining_ms = victim.remaining.0, for_job:% = unit.job, waited_ms = unit.waited.0,
            expected_ms = unit.took.0, objective_ms = unit.objective.0;
            "batch: preempted"
        );
        self.preemption_log.stops.push(Preemption {
            reason,
            runs: victim.tasks.len(),
            lost: victim.lost,
            repeated: victim.starts > 1,
        });
        for id in &victim.tasks {
            self.stop(id, now);
        }
        let first = &unit.tasks[0];
        if let Some(job) = self.jobs.get_mut(&first.job)
            && let Some(occurrence) = job.progress.occurrences.get_mut(first.occurrence as usize)
        {
            occurrence.claimed_at = Some(now);
        }
    }

    /// Ends the claims of units that have not started in time.
    pub(crate) fn end_lapsed_claims(&mut self, now: Millis) {
        for job in self.jobs.open_mut() {
            for occurrence in &mut job.progress.occurrences {
                if occurrence.claimed_at.is_none() || occurrence.claimed(now).is_some() {
                    continue;
                }
                occurrence.claimed_at = None;
                self.preemption_log.lapsed_claims += 1;
                log::info!(job:% = job.accepted.id; "batch: not started in the place of stopped runs");
            }
        }
    }
}
