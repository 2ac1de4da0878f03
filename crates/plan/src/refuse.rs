//! Acceptance and refusal of jobs.

use base::limits;
use schema::job::{Job, Phase};

use crate::{
    jobs::{JobId, JobState},
    record::JobRecord,
    state::{Plan, Step},
};

impl Plan {
    /// Accepts a job or refuses it. A job with a known key changes nothing.
    pub(crate) fn submitted(&mut self, step: &mut Step, job: Job) {
        let rec = JobRecord::submitted(job, step.now);
        if self.jobs.find(&rec.key()).is_some() {
            return;
        }
        let id = self.jobs.insert(JobState::new(rec, step.now));
        self.enter(step, id, Phase::Waiting);
        self.refuse_if_impossible(step, id);
    }

    /// Refuses the waiting jobs that can't run any more.
    pub(crate) fn refuse_impossible(&mut self, step: &mut Step) {
        let waiting: Vec<JobId> = self.jobs.in_phase(Phase::Waiting).collect();
        for id in waiting {
            self.refuse_if_impossible(step, id);
        }
    }

    fn refuse_if_impossible(&mut self, step: &mut Step, id: JobId) {
        if let Some(refusal) = self.refusal(id) {
            self.jobs.get_mut(id).rec.reason = refusal;
            self.enter(step, id, Phase::Refused);
        }
    }

    /// Returns why the job can never run, with the limit and the largest possible value.
    pub(crate) fn refusal(&self, id: JobId) -> Option<String> {
        let job = &self.jobs.get(id).rec.job;
        let members = job.shape.members;
        if members == 0 || members > limits::GANG_MEMBERS {
            let most = limits::GANG_MEMBERS;
            return Some(format!("a gang has 1 to {most} members, not {members}"));
        }
        None
    }
}
