//! Expected run times of subtasks and ends of jobs.

use base::clock::Millis;
use forecast::predictor::RunTime;

use crate::{
    config::{Queue, URGENT_PRIORITY},
    delay_cost::TOO_LATE_FACTOR,
    isolation::Isolation,
    job::{Step, Text},
    open_job::Job,
    progress::Occurrence,
    ranking::Unit,
    scheduler::JobScheduler,
    speed_class::{self, Preference, Speeds, Work},
    typical_work::kind_of,
};

impl JobScheduler {
    /// Returns the expected run time of a subtask of a queue on a typical worker.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{job::Step, scheduler::JobScheduler};
    /// let step = Step { estimate: Millis(700), ..Step::default() };
    /// let expected = JobScheduler::default().expected_run_time(&"q".into(), &step);
    /// assert_eq!(expected, Millis(700), "nothing was learned");
    /// ```
    pub fn expected_run_time(&self, queue: &Text, step: &Step) -> Millis {
        self.run_time(queue, step).median
    }

    pub(crate) fn run_time(&self, queue: &Text, step: &Step) -> RunTime {
        self.forecast.run_time(&kind_of(queue, step), step.estimate)
    }

    /// Returns the workers that a unit uses first in a service with these speeds.
    pub(crate) fn preference(&self, unit: &Unit, speeds: &Speeds, wall_now: Millis) -> Preference {
        let Some(job) = self.jobs.get(&unit.job) else {
            return Preference::None;
        };
        let step = &job.accepted.spec.steps[unit.step];
        let Some(queue) = self.config.queue(&job.accepted.queue) else {
            return Preference::None;
        };
        // Lasting work and fillers have no run time, and a unit that is kept apart from others takes
        // the emptiest worker.
        if step.endless || step.fills || unit.isolation > Isolation::None {
            return Preference::None;
        }
        let k = unit.tasks[0].occurrence;
        let Some(occurrence) = job.progress.occurrences.get(k as usize) else {
            return Preference::None;
        };
        let run_time = self.run_time(&queue.name, step);
        let objective = self.corrected_objective(job, queue);
        let start = job.occurrence_start(k);
        speeds.preference(&Work {
            is_urgent: unit.priority == URGENT_PRIORITY,
            median: run_time.median,
            likely: run_time.likely,
            rest: self.expected_rest(job, occurrence, unit.step),
            due_in: (start + objective).since(wall_now),
            useful_for: (start + Millis(TOO_LATE_FACTOR * objective.0)).since(wall_now),
        })
    }

    /// Returns the completion objective by corrected estimates. An estimate that says little about the
    /// run time says as little about how long the caller expects to wait, so both are corrected alike;
    /// on average over the queue the objective is the same as by the submitted estimates.
    fn corrected_objective(&self, job: &Job, queue: &Queue) -> Millis {
        let ratio = self.typical_work.ratio(&queue.name, &self.forecast);
        let corrected = |step: &Step| {
            let median = self.run_time(&queue.name, step).median;
            ratio.map_or(step.estimate, |r| {
                speed_class::scaled(median, 1.0 / r.max(f64::MIN_POSITIVE))
            })
        };
        let run_times: Vec<Millis> = job.accepted.spec.steps.iter().map(corrected).collect();
        let path = job.critical_path(&run_times);
        speed_class::scaled(path, queue.slack_factor) + queue.target_latency
    }

    /// Returns the expected run time of the longest chain of steps that follow on a step, on typical
    /// workers.
    fn expected_rest(&self, job: &Job, occurrence: &Occurrence, step: usize) -> Millis {
        let steps = &job.accepted.spec.steps;
        // The time from the end of each step to the end of the job.
        let mut rests = vec![Millis::ZERO; steps.len()];
        for (i, later) in steps.iter().enumerate().skip(step + 1).rev() {
            if occurrence.steps[i].iter().all(|t| t.done) {
                continue;
            }
            let rest = rests[i] + self.expected_run_time(&job.accepted.queue, later);
            for before in &later.after {
                rests[*before] = rests[*before].max(rest);
            }
        }
        rests[step]
    }

    /// Returns the expected run time of a subtask of each step of a job.
    pub(crate) fn expected_run_times(&self, job: &Job) -> Vec<Millis> {
        let steps = job.accepted.spec.steps.iter();
        let run_time = |s| self.expected_run_time(&job.accepted.queue, s);
        steps.map(run_time).collect()
    }
}
