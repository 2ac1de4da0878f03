//! Expected run times of subtasks.

use base::clock::Millis;
use forecast::observation::Kind;

use crate::{
    job::{Step, Text},
    open_job::Job,
    scheduler::JobScheduler,
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
        let kind = Kind {
            queue: Some(queue.clone()),
            image: step.image.clone(),
            gang: step.gang,
        };
        self.forecast.run_time(&kind, step.estimate).median
    }

    /// Returns the expected run time of a subtask of each step of a job.
    pub(crate) fn expected_run_times(&self, job: &Job) -> Vec<Millis> {
        let steps = job.accepted.spec.steps.iter();
        let run_time = |s| self.expected_run_time(&job.accepted.queue, s);
        steps.map(run_time).collect()
    }
}
