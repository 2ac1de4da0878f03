//! When ended jobs are removed. A job is kept for a time that counts from its stored end, by the
//! clock of the store, which all leaders share.

use base::clock::Millis;

use crate::{job::Text, open_job::Job, progress::Progress, scheduler::JobScheduler};

/// Time that the commit of an end may take. The stored time is that before the commit, and callers
/// see the end after it.
const COMMIT_TIME: Millis = Millis(10_000);

/// What the retention does with an ended job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Decision {
    /// The job is kept.
    Keep,
    /// The job is removed.
    Remove,
    /// The time of the end is not known, so the current time is stored in its place.
    DateEnd,
}

/// Decides on an ended job at `now`.
fn decide(ended_at: Option<Millis>, now: Millis, keep: Millis) -> Decision {
    match ended_at {
        // A time in the future is not one of this clock.
        Some(at) if at > now + COMMIT_TIME => Decision::DateEnd,
        Some(at) if now.since(at) >= keep + COMMIT_TIME => Decision::Remove,
        Some(_) => Decision::Keep,
        None => Decision::DateEnd,
    }
}

impl Progress {
    /// Returns the form in which the progress of an ended job is stored at the time `now` of the
    /// store's clock. Without runs, only the end is stored.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::progress::{Phase, Progress};
    /// let progress = Progress { phase: Phase::Failed, ..Progress::default() };
    /// assert_eq!(progress.of_ended_job(Some(Millis(5))).ended_at, Some(Millis(5)));
    /// ```
    #[must_use]
    pub fn of_ended_job(&self, now: Option<Millis>) -> Self {
        let ended_at = self.ended_at.or(now);
        if self.has_runs() {
            return Self {
                ended_at,
                ..self.clone()
            };
        }
        Self {
            phase: self.phase,
            queue: self.queue.clone(),
            at: self.at,
            ended_at,
            ..Self::default()
        }
    }
}

impl JobScheduler {
    /// Records that the ends of jobs are stored at the time `now` of the store's clock.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().record_stored_ends(&[], Millis(1));
    /// ```
    pub fn record_stored_ends(&mut self, ids: &[Text], now: Millis) {
        for id in ids {
            if let Some(job) = self.jobs.get_mut(id) {
                job.progress.ended_at.get_or_insert(now);
            }
        }
    }

    /// Marks up to `limit` ended jobs as changed whose time of the end is not known, so that it is
    /// stored, and returns their ids. They include jobs whose end is being stored: if that takes
    /// long, the time after it is stored as well. `now` is the time of the store's clock.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let mut scheduler = batch::scheduler::JobScheduler::default();
    /// assert!(scheduler.mark_unknown_ends(Millis(1), 10).is_empty());
    /// ```
    pub fn mark_unknown_ends(&mut self, now: Millis, limit: usize) -> Vec<Text> {
        // The retention time has no effect on whether the end is known.
        let ids = self.ended_jobs(Decision::DateEnd, now, Millis::ZERO, limit);
        for id in &ids {
            if let Some(job) = self.jobs.get_mut(id) {
                job.progress.ended_at = None;
            }
        }
        self.dirty.extend(ids.iter().cloned());
        ids
    }

    /// Returns the ids of up to `limit` jobs that have no runs and ended at least `keep` ago. `now` is
    /// the time of the store's clock.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let scheduler = batch::scheduler::JobScheduler::default();
    /// assert!(scheduler.expired_jobs(Millis(500), Millis(100), 10).is_empty());
    /// ```
    pub fn expired_jobs(&self, now: Millis, keep: Millis, limit: usize) -> Vec<Text> {
        self.ended_jobs(Decision::Remove, now, keep, limit)
    }

    /// Removes a job whose row is deleted. Returns the time of its end by the store's clock.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().remove_job("1"), None);
    /// ```
    pub fn remove_job(&mut self, id: &str) -> Option<Millis> {
        self.jobs.remove(id)?.progress.ended_at
    }

    /// Returns the ids of up to `limit` ended jobs without runs on which the retention takes the given
    /// decision.
    fn ended_jobs(&self, wanted: Decision, now: Millis, keep: Millis, limit: usize) -> Vec<Text> {
        let is_wanted = |job: &&Job| decide(job.progress.ended_at, now, keep) == wanted;
        let jobs = self.jobs.ended().filter(is_wanted);
        jobs.map(|j| j.accepted.id.clone()).take(limit).collect()
    }
}
