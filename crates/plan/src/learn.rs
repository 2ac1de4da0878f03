//! Corrections of declared run times and memory, learned for each organisation and kind of
//! work.

use base::{clock::Millis, name::Name};
use schema::job::Phase;

use crate::{
    jobs::JobId,
    order::{Action, Order},
    record::JobRecord,
    state::{Plan, Step},
};

/// Largest correction, up for memory, up and down for run times.
const LARGEST: f64 = 4.0;
/// Weight of the newest job.
const NEWEST: f64 = 0.3;

/// Learned corrections of one kind of work.
#[derive(Clone, Copy, Debug)]
pub struct Correction {
    /// Run time over declared run time.
    pub run_time: f64,
    /// Memory over declared memory, at least 1.
    pub memory: f64,
}

impl Default for Correction {
    fn default() -> Self {
        Self {
            run_time: 1.0,
            memory: 1.0,
        }
    }
}

/// What corrections are learned for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct KindKey {
    organisation: Name,
    kind: Name,
}

impl Plan {
    fn kind_of(rec: &JobRecord) -> KindKey {
        KindKey {
            organisation: rec.job.organisation.clone(),
            kind: rec.job.kind.clone(),
        }
    }

    fn correction(&self, id: JobId) -> Correction {
        let key = Self::kind_of(&self.jobs.get(id).rec);
        self.corrections.get(&key).copied().unwrap_or_default()
    }

    /// Learns from a job that ended with success.
    pub(crate) fn learn(&mut self, rec: &JobRecord) {
        if rec.phase != Phase::Done || rec.started_at == Millis::ZERO {
            return;
        }
        let ran = rec.completed_ms + rec.ended_at.since(rec.started_at);
        let declared = rec.job.run_time_ms.0.max(1) as f64;
        let run_time = (ran.0 as f64 / declared).clamp(1.0 / LARGEST, LARGEST);
        let memory = f64::from(rec.peak_memory_mb) / f64::from(rec.job.shape.memory_mb.max(1));
        let c = self.corrections.get_or_default(Self::kind_of(rec));
        c.run_time = c.run_time * (1.0 - NEWEST) + run_time * NEWEST;
        c.memory = c.memory * (1.0 - NEWEST) + memory.clamp(1.0, LARGEST) * NEWEST;
    }

    /// Returns the declared run time of a job, corrected.
    pub(crate) fn expected_run_time(&self, id: JobId) -> Millis {
        let declared = self.jobs.get(id).rec.job.run_time_ms.0 as f64;
        Millis((declared * self.correction(id).run_time) as u64)
    }

    /// Sets the memory with which the next attempt is charged: the declared memory, corrected,
    /// and at least what an earlier attempt used, up to 4 times the declared memory and the
    /// memory of the largest worker.
    pub(crate) fn charge(&mut self, id: JobId) {
        let rec = &self.jobs.get(id).rec;
        let declared = rec.job.shape.memory_mb;
        let corrected = (f64::from(declared) * self.correction(id).memory) as u32;
        let most = declared.saturating_mul(LARGEST as u32);
        let largest = self.workers.list.iter().map(|w| w.info.memory_mb).max();
        let charged = corrected
            .max(rec.peak_memory_mb)
            .min(most)
            .min(largest.unwrap_or(0))
            .max(declared);
        self.jobs.get_mut(id).rec.charged_memory_mb = charged;
    }

    /// Notes the memory that members use; work beyond its charge is throttled, and stopped if
    /// that does not help in time.
    pub(crate) fn measure(&mut self, step: &mut Step, id: JobId, members: &[usize], memory: u32) {
        let limit = self.cfg.throttle_limit;
        let job = self.jobs.get_mut(id);
        job.rec.peak_memory_mb = job.rec.peak_memory_mb.max(memory);
        let charged = job.charged_mb();
        if memory <= charged {
            if job
                .over_by
                .is_some_and(|(_, member)| members.contains(&member))
            {
                job.over_by = None;
            }
            return;
        }
        let (since, _) = *job.over_by.get_or_insert((step.now, members[0]));
        if step.now.since(since) >= limit {
            let reason = format!("uses {memory} MiB of {charged} MiB");
            return self.stop(step, id, &reason);
        }
        for i in members {
            step.orders.push(Order {
                attempt: job.attempt(),
                member: job.rec.members[*i].clone(),
                action: Action::Throttle,
            });
        }
    }

    /// Whether the job used more than the largest correction allows.
    pub(crate) fn outgrew_all(&self, id: JobId) -> bool {
        let rec = &self.jobs.get(id).rec;
        let most = rec.job.shape.memory_mb.saturating_mul(LARGEST as u32);
        rec.peak_memory_mb > most
    }
}
