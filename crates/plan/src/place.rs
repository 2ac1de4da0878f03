//! Choice of places.

use base::name::Name;
use schema::{job::Phase, shape::Adjacency};

use crate::{
    jobs::JobId,
    record::Member,
    state::{Plan, Step, need},
    workers::{Need, WorkerId},
};

impl Plan {
    /// Places waiting jobs, oldest first.
    pub(crate) fn place(&mut self, step: &mut Step) {
        let mut waiting: Vec<JobId> = self.jobs.in_phase(Phase::Waiting).collect();
        waiting.sort_by_key(|id| self.jobs.get(*id).rec.submitted_at);
        for id in waiting {
            if step.changed.len() >= self.cfg.max_records {
                return;
            }
            if let Some(members) = self.find_place(step, id) {
                self.hold(step, id, members);
            }
        }
    }

    fn find_place(&self, step: &Step, id: JobId) -> Option<Vec<Member>> {
        let job = self.jobs.get(id);
        let need = need(job);
        let count = job.rec.job.shape.members;
        self.domains(job.rec.job.shape.adjacency)
            .into_iter()
            .find_map(|domain| self.fill(step, &domain, need, count))
    }

    /// Returns the sets of workers within which a gang of this adjacency may stand.
    fn domains(&self, adjacency: Adjacency) -> Vec<Vec<WorkerId>> {
        let racks = &self.workers.racks;
        match adjacency {
            Adjacency::Worker => (0..self.workers.list.len()).map(|w| vec![w]).collect(),
            Adjacency::Rack => racks.iter().map(|r| r.workers.clone()).collect(),
            Adjacency::DataCentre => {
                let mut names: Vec<&Name> = racks.iter().map(|r| &r.data_centre).collect();
                names.sort_unstable();
                names.dedup();
                let workers = |name: &Name| {
                    let name = name.clone();
                    racks.iter().filter(move |r| r.data_centre == name)
                };
                names
                    .into_iter()
                    .map(|n| workers(n).flat_map(|r| r.workers.clone()).collect())
                    .collect()
            }
        }
    }

    fn fill(
        &self,
        step: &Step,
        domain: &[WorkerId],
        need: Need,
        count: u16,
    ) -> Option<Vec<Member>> {
        let mut members = Vec::new();
        for id in domain {
            let worker = &self.workers.list[*id];
            if !worker.is_open(step.now) {
                continue;
            }
            let room = worker.room(need, count - members.len() as u16);
            let mut except = 0;
            for _ in 0..room {
                let accelerators = worker.pick(need.accelerators, except);
                except |= accelerators;
                members.push(Member {
                    worker: worker.info.name.clone(),
                    accelerators,
                });
            }
        }
        (members.len() == usize::from(count)).then_some(members)
    }
}
