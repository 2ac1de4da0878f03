//! Correction factors for declared run times and memory, learned for each organisation and kind of
//! work.

use base::{clock::Millis, name::Name};
use schema::job::Phase;

use crate::{
    jobs::JobId,
    order::{Action, Order},
    record::JobRecord,
    state::{Plan, Step},
};

/// Maximum correction factor. It bounds memory upwards only, and run times in both directions.
const MAX_CORRECTION: f64 = 4.0;
/// Weight of the newest job in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// Correction factors of one kind of work.
#[derive(Clone, Copy, Debug)]
pub struct Correction {
    /// Ratio of actual to declared run time.
    pub run_time: f64,
    /// Ratio of actual to declared memory, at least 1.
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

/// Key of a correction.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CorrectionKey {
    organisation: Name,
    kind: Name,
}

impl Plan {
    fn correction_key(rec: &JobRecord) -> CorrectionKey {
        CorrectionKey {
            organisation: rec.job.organisation.clone(),
            kind: rec.job.kind.clone(),
        }
    }

    fn correction(&self, id: JobId) -> Correction {
        let key = Self::correction_key(&self.jobs.get(id).rec);
        self.corrections.get(&key).copied().unwrap_or_default()
    }

    /// Updates the correction from a job that ended successfully.
    pub(crate) fn update_correction(&mut self, rec: &JobRecord) {
        if rec.phase != Phase::Done || rec.started_at == Millis::ZERO {
            return;
        }
        let ran = rec.completed_ms + rec.ended_at.since(rec.started_at);
        let declared = rec.job.run_time_ms.0.max(1) as f64;
        let run_time = (ran.0 as f64 / declared).clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION);
        let memory = f64::from(rec.peak_memory_mb) / f64::from(rec.job.shape.memory_mb.max(1));
        let correction = self.corrections.get_or_default(Self::correction_key(rec));
        correction.run_time =
            correction.run_time * (1.0 - NEWEST_WEIGHT) + run_time * NEWEST_WEIGHT;
        correction.memory = correction.memory * (1.0 - NEWEST_WEIGHT)
            + memory.clamp(1.0, MAX_CORRECTION) * NEWEST_WEIGHT;
    }

    /// Returns the declared run time of a job multiplied by its correction.
    pub(crate) fn expected_run_time(&self, id: JobId) -> Millis {
        let declared = self.jobs.get(id).rec.job.run_time_ms.0 as f64;
        Millis((declared * self.correction(id).run_time) as u64)
    }

    /// Sets the memory that is charged to each member of the next attempt: the maximum of the
    /// corrected declaration and the peak of earlier attempts. The charge is limited to 4 times the
    /// declared memory and to the memory of the largest worker, and is at least the declared
    /// memory.
    pub(crate) fn set_charged_memory(&mut self, id: JobId) {
        let rec = &self.jobs.get(id).rec;
        let declared = rec.job.shape.memory_mb;
        let corrected = (f64::from(declared) * self.correction(id).memory) as u32;
        let max_memory = declared.saturating_mul(MAX_CORRECTION as u32);
        let largest = self.workers.list.iter().map(|w| w.info.memory_mb).max();
        let charged = corrected
            .max(rec.peak_memory_mb)
            .min(max_memory)
            .min(largest.unwrap_or(0))
            .max(declared);
        self.jobs.get_mut(id).rec.charged_memory_mb = charged;
    }

    /// Records the memory that members use. A job above its charged memory is throttled, and
    /// stopped if it is still above it after `throttle_limit`.
    pub(crate) fn check_memory(
        &mut self,
        step: &mut Step,
        id: JobId,
        members: &[usize],
        memory: u32,
    ) {
        let limit = self.cfg.throttle_limit;
        let job = self.jobs.get_mut(id);
        job.rec.peak_memory_mb = job.rec.peak_memory_mb.max(memory);
        let charged = job.charged_memory_mb();
        if memory <= charged {
            if job
                .over_memory_since
                .is_some_and(|(_, member)| members.contains(&member))
            {
                job.over_memory_since = None;
            }
            return;
        }
        let (since, _) = *job.over_memory_since.get_or_insert((step.now, members[0]));
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

    /// Returns whether the job used more memory than the maximum correction allows.
    pub(crate) fn exceeds_max_correction(&self, id: JobId) -> bool {
        let rec = &self.jobs.get(id).rec;
        let max_memory = rec
            .job
            .shape
            .memory_mb
            .saturating_mul(MAX_CORRECTION as u32);
        rec.peak_memory_mb > max_memory
    }
}
