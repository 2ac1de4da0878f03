//! Admission of submitted jobs: accepts a job, or refuses one that can never run.

use base::limits;
use schema::{
    config::TeamKey,
    job::{Job, Phase, StopMode},
    shape::{Adjacency, Shape},
};

use crate::{
    jobs::{JobId, JobState},
    record::JobRecord,
    resources::Resources,
    state::{Plan, Step},
    workers::WorkerId,
};

impl Plan {
    /// Accepts or refuses a submitted job. A job whose key is known already is ignored.
    pub(crate) fn submitted(&mut self, step: &mut Step, job: Job) {
        let rec = JobRecord::submitted(job, step.now);
        if self.jobs.find(&rec.key()).is_some() {
            return;
        }
        let id = self.jobs.insert(JobState::new(rec, step.now));
        match self.refusal(id) {
            Some(refusal) => self.refuse(step, id, refusal),
            None => self.enter_phase(step, id, Phase::Waiting),
        }
    }

    /// Refuses the waiting jobs that can't run under the current configuration and workers.
    pub(crate) fn refuse_impossible(&mut self, step: &mut Step) {
        let waiting: Vec<JobId> = self.waiting().collect();
        for id in waiting {
            if step.changed.len() >= self.cfg.max_records {
                self.recheck_limits = true;
                return;
            }
            if let Some(refusal) = self.refusal(id) {
                self.release_claim(id);
                self.refuse(step, id, refusal);
            }
        }
    }

    fn refuse(&mut self, step: &mut Step, id: JobId, refusal: String) {
        self.jobs.get_mut(id).rec.reason = refusal;
        self.enter_phase(step, id, Phase::Refused);
    }

    /// Returns why the job can never run, naming the exceeded limit, or `None` if it can run.
    pub(crate) fn refusal(&self, id: JobId) -> Option<String> {
        let job = &self.jobs.get(id).rec.job;
        member_count_refusal(job.shape.members)
            .or_else(|| self.quota_refusal(job))
            .or_else(|| self.unstoppable_refusal(id))
            .or_else(|| self.worker_size_refusal(&job.shape))
    }

    fn quota_refusal(&self, job: &Job) -> Option<String> {
        let team = TeamKey {
            organisation: job.organisation.clone(),
            team: job.team.clone(),
        };
        let max = self.config.teams.get(&team)?.quota_accelerators;
        let wanted = job.shape.total_accelerators();
        let text = "the quota of the team is";
        (wanted > max).then(|| format!("{text} {max} accelerators; the job needs {wanted}"))
    }

    /// Refuses a job that can't be stopped and fits into no guaranteed gang, since such a job must
    /// not borrow capacity.
    fn unstoppable_refusal(&self, id: JobId) -> Option<String> {
        let job = &self.jobs.get(id).rec.job;
        if job.stop != StopMode::Never || self.fits_a_guarantee(id) {
            return None;
        }
        let organisation = self.config.organisations.get(&job.organisation);
        let guarantees = organisation.map_or(&[][..], |o| &o.guarantees);
        let largest = guarantees
            .iter()
            .max_by_key(|g| g.shape.total_accelerators());
        let max = largest.map_or("none".into(), |g| describe_shape(&g.shape));
        Some(format!(
            "a job that must not be stopped has to fit into a guaranteed gang; the largest is \
             {max}, the job needs {}",
            describe_shape(&job.shape)
        ))
    }

    /// Refuses a job that would not fit even if all known workers were idle.
    fn worker_size_refusal(&self, shape: &Shape) -> Option<String> {
        let known = self.workers.list.iter().any(|w| w.info.accelerators > 0);
        if !known || !self.fleet_known {
            return None;
        }
        let need = Resources::of(shape);
        let max = |of: fn(Resources) -> u32| {
            let all = self.workers.list.iter().map(|w| of(w.capacity()));
            all.max().unwrap_or(0)
        };
        let over = [
            ("accelerators", need.accelerators, max(|a| a.accelerators)),
            ("cores", need.cores, max(|a| a.cores)),
            ("MiB of memory", need.memory_mb, max(|a| a.memory_mb)),
        ];
        if let Some((what, wanted, max)) = over.into_iter().find(|(_, wanted, max)| wanted > max) {
            let text = format!("a worker has at most {max} {what}; a member needs {wanted}");
            return Some(text);
        }
        self.domain_size_refusal(shape)
    }

    fn domain_size_refusal(&self, shape: &Shape) -> Option<String> {
        let need = Resources::of(shape);
        let fitting_members = |w: &WorkerId| {
            let capacity = self.workers.list[*w].capacity();
            u32::from(capacity.count_of(need, shape.members))
        };
        let domain = |w: &WorkerId| match shape.adjacency {
            Adjacency::Worker => *w,
            Adjacency::Rack => self.workers.list[*w].rack,
            Adjacency::DataCentre => self.workers.data_centre_of(*w),
        };
        let workers = 0..self.workers.list.len();
        let mut sums = vec![0; workers.len().max(self.workers.racks.len())];
        for worker in workers {
            sums[domain(&worker)] += fitting_members(&worker);
        }
        let max = sums.into_iter().max()?;
        if max >= u32::from(shape.members) {
            return None;
        }
        let within = match shape.adjacency {
            Adjacency::Worker => "worker",
            Adjacency::Rack => "rack",
            Adjacency::DataCentre => "data centre",
        };
        let members = shape.members;
        Some(format!(
            "one {within} holds at most {max} such members; the gang has {members}"
        ))
    }
}

fn member_count_refusal(members: u16) -> Option<String> {
    let max = limits::GANG_MEMBERS;
    let out_of_range = members == 0 || members > max;
    out_of_range.then(|| format!("a gang has 1 to {max} members, not {members}"))
}

fn describe_shape(shape: &Shape) -> String {
    format!(
        "{} members of {} accelerators, {} cores and {} MiB",
        shape.members, shape.accelerators, shape.cores, shape.memory_mb
    )
}
