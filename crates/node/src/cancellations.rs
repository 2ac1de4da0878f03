//! Cancellations of ids whose jobs are not known. The submission of such a job may still be under way.

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::{job::Text, scheduler::JobScheduler};
use store::table::Row;

use crate::rows::{self, CancelRow};

/// Cancellations without a job, by the cancelled id.
#[derive(Debug, Default)]
pub(crate) struct Cancellations(SortedMap<Text, Cancellation>);

#[derive(Debug)]
struct Cancellation {
    row: CancelRow,
    /// Version of the row.
    version: u64,
}

impl Cancellations {
    /// Applies the row of a cancellation: cancels the job, or remembers the id if the job is not known.
    /// Returns whether a job was cancelled. A time that the row lacks counts as `store_now`.
    pub(crate) fn apply(
        &mut self,
        scheduler: &mut JobScheduler,
        id: &str,
        row: &Row,
        store_now: Option<Millis>,
    ) -> bool {
        let mut content: CancelRow = rows::from_json(row).unwrap_or_default();
        if !scheduler.knows(id) {
            content.stored_at = content.stored_at.or(store_now);
            let cancellation = Cancellation {
                row: content,
                version: row.version,
            };
            self.0.insert(id.into(), cancellation);
            return false;
        }
        let organisation = scheduler.organisation(id);
        let cancelled = content.applies_to(organisation.as_ref())
            && scheduler.cancel(id, clock::now(), clock::wall());
        if cancelled {
            log::info!(
                job = id, organisation = organisation.as_deref(), version = row.version,
                age_ms = content.age(store_now).map(|a| a.0);
                "intake: cancellation"
            );
        }
        cancelled
    }

    /// Cancels a job that has just become known if its id is cancelled. Returns whether it was.
    pub(crate) fn apply_to_new(
        &mut self,
        scheduler: &mut JobScheduler,
        id: &str,
        store_now: Option<Millis>,
    ) -> bool {
        let organisation = scheduler.organisation(id);
        // The row is deleted with the job from now on.
        let Some(cancellation) = self.0.remove(id) else {
            return false;
        };
        if !cancellation.row.applies_to(organisation.as_ref()) {
            return false;
        }
        log::info!(
            job = id, organisation = organisation.as_deref(), version = cancellation.version,
            age_ms = cancellation.row.age(store_now).map(|a| a.0);
            "intake: the job was cancelled before it was stored"
        );
        scheduler.cancel(id, clock::now(), clock::wall())
    }

    /// Returns the ids that were cancelled at least `keep` ago, with the versions of the rows. `now` is
    /// the time of the store's clock.
    pub(crate) fn expired(&self, now: Millis, keep: Millis, limit: usize) -> Vec<(Text, u64)> {
        let is_expired = |c: &Cancellation| c.row.stored_at.is_some_and(|at| now.since(at) >= keep);
        let expired = self.0.iter().filter(|(_, c)| is_expired(c));
        let expired = expired.map(|(id, c)| (id.clone(), c.version));
        expired.take(limit).collect()
    }

    /// Forgets a cancellation whose row no longer has the version.
    pub(crate) fn forget(&mut self, id: &str, version: u64) {
        self.0
            .retain(|known, c| **known != *id || c.version != version);
    }
}
