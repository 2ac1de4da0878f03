//! Acceptance and refusal of jobs.

use base::limits;
use schema::{
    config::TeamKey,
    job::{Job, Phase, StopMode},
    shape::{Adjacency, Shape},
};

use crate::{
    amount::Amount,
    jobs::{JobId, JobState},
    record::JobRecord,
    state::{Plan, Step},
    workers::WorkerId,
};

impl Plan {
    /// Accepts a job or refuses it. A job with a known key changes nothing.
    pub(crate) fn submitted(&mut self, step: &mut Step, job: Job) {
        let rec = JobRecord::submitted(job, step.now);
        if self.jobs.find(&rec.key()).is_some() {
            return;
        }
        let id = self.jobs.insert(JobState::new(rec, step.now));
        match self.refusal(id) {
            Some(refusal) => self.refuse(step, id, refusal),
            None => self.enter(step, id, Phase::Waiting),
        }
    }

    /// Refuses the waiting jobs that can't run any more.
    pub(crate) fn refuse_impossible(&mut self, step: &mut Step) {
        let waiting: Vec<JobId> = self.waiting().collect();
        for id in waiting {
            if step.changed.len() >= self.cfg.max_records {
                self.recheck = true;
                return;
            }
            if let Some(refusal) = self.refusal(id) {
                self.unclaim(id);
                self.refuse(step, id, refusal);
            }
        }
    }

    fn refuse(&mut self, step: &mut Step, id: JobId, refusal: String) {
        self.jobs.get_mut(id).rec.reason = refusal;
        self.enter(step, id, Phase::Refused);
    }

    /// Returns why the job can never run, with the limit and the largest possible value.
    pub(crate) fn refusal(&self, id: JobId) -> Option<String> {
        let job = &self.jobs.get(id).rec.job;
        refuse_members(job.shape.members)
            .or_else(|| self.refuse_quota(job))
            .or_else(|| self.refuse_never(id))
            .or_else(|| self.refuse_size(&job.shape))
    }

    fn refuse_quota(&self, job: &Job) -> Option<String> {
        let team = TeamKey {
            organisation: job.organisation.clone(),
            team: job.team.clone(),
        };
        let most = self.config.teams.get(&team)?.quota_accelerators;
        let wanted = job.shape.total_accelerators();
        let text = "the quota of the team is";
        (wanted > most).then(|| format!("{text} {most} accelerators; the job needs {wanted}"))
    }

    /// A job that can't be stopped runs in guaranteed capacity only.
    fn refuse_never(&self, id: JobId) -> Option<String> {
        let job = &self.jobs.get(id).rec.job;
        if job.stop != StopMode::Never || self.fits_a_guarantee(id) {
            return None;
        }
        let organisation = self.config.organisations.get(&job.organisation);
        let guarantees = organisation.map_or(&[][..], |o| &o.guarantees);
        let largest = guarantees
            .iter()
            .max_by_key(|g| g.shape.total_accelerators());
        let most = largest.map_or("none".into(), |g| describe(&g.shape));
        Some(format!(
            "a job that must not be stopped has to fit into a guaranteed gang; the largest is \
             {most}, the job needs {}",
            describe(&job.shape)
        ))
    }

    /// Compares the job with the known workers as if these were free.
    fn refuse_size(&self, shape: &Shape) -> Option<String> {
        let known = self.workers.list.iter().any(|w| w.info.accelerators > 0);
        if !known || !self.knows_fleet {
            return None;
        }
        let need = Amount::of(shape);
        let most = |of: fn(Amount) -> u32| {
            let all = self.workers.list.iter().map(|w| of(w.capacity()));
            all.max().unwrap_or(0)
        };
        let over = [
            ("accelerators", need.accelerators, most(|a| a.accelerators)),
            ("cores", need.cores, most(|a| a.cores)),
            ("MiB of memory", need.memory_mb, most(|a| a.memory_mb)),
        ];
        if let Some((what, wanted, most)) = over.into_iter().find(|(_, wanted, most)| wanted > most)
        {
            let text = format!("a worker has at most {most} {what}; a member needs {wanted}");
            return Some(text);
        }
        self.refuse_gang(shape)
    }

    fn refuse_gang(&self, shape: &Shape) -> Option<String> {
        let need = Amount::of(shape);
        let on = |w: &WorkerId| {
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
            sums[domain(&worker)] += on(&worker);
        }
        let most = sums.into_iter().max()?;
        if most >= u32::from(shape.members) {
            return None;
        }
        let within = match shape.adjacency {
            Adjacency::Worker => "worker",
            Adjacency::Rack => "rack",
            Adjacency::DataCentre => "data centre",
        };
        let members = shape.members;
        Some(format!(
            "one {within} holds at most {most} such members; the gang has {members}"
        ))
    }
}

fn refuse_members(members: u16) -> Option<String> {
    let most = limits::GANG_MEMBERS;
    let wrong = members == 0 || members > most;
    wrong.then(|| format!("a gang has 1 to {most} members, not {members}"))
}

fn describe(shape: &Shape) -> String {
    format!(
        "{} members of {} accelerators, {} cores and {} MiB",
        shape.members, shape.accelerators, shape.cores, shape.memory_mb
    )
}
