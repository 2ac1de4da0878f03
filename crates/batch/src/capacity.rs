//! Capacity of workers, which may shrink and grow while they run.

use base::clock::Millis;

use crate::{
    job::{Resources, SubtaskId, Text},
    scheduler::JobScheduler,
    worker::WorkerInfo,
    worker_state::Worker,
};

/// Interval at which workers write their entries if the settings do not name another one.
const DEFAULT_HEARTBEAT: Millis = Millis(1_500);
/// Maximum age of the entry of a worker that starts whatever it is told to, in heartbeats. An older
/// one may name a capacity that has shrunk since.
const MAX_ENTRY_AGE: u64 = 2;

impl Worker {
    /// Returns the resources that no possibly existing run reserves.
    pub(crate) fn free(&self) -> Resources {
        let capacity = self.info.as_ref().map(|i| i.capacity);
        capacity.unwrap_or_default().saturating_sub(self.used())
    }

    /// Returns how old the entry is at most; `None` if that is unknown, as for an entry of the first
    /// list that this leader read before the worker reports.
    fn max_entry_age(&self, now: Millis) -> Option<Millis> {
        let by_list = self.entry_written_after.map(|t| now.since(t));
        by_list.into_iter().chain(self.entry_age(now)).min()
    }

    /// Replaces the entry of the VM list. The list before was read at `last_read`; it did not name a
    /// worker that is new in this one.
    pub(crate) fn update_entry(
        &mut self,
        info: WorkerInfo,
        last_read: Option<Millis>,
        now: Millis,
    ) {
        if let Some(capacity) = self.last_capacity.replace(info.capacity)
            && capacity != info.capacity
        {
            log::info!(
                worker:% = info.id, before:% = capacity, after:% = info.capacity, used:% = self.used();
                "batch: capacity changed"
            );
        }
        let before = self.entry_clock.replace((info.incarnation, info.clock));
        // Each incarnation has a clock of its own.
        let before = before.filter(|(life, _)| *life == info.incarnation);
        self.entry_written_after = match before {
            // An entry without a clock counts as new whenever the list is read.
            _ if info.clock == Millis::ZERO => Some(now),
            Some((_, clock)) if clock == info.clock => self.entry_written_after,
            // The list before did not contain the entry. The two entries are as far apart as their
            // clocks, however long the list was not read.
            Some((_, clock)) => {
                let by_clock = self.entry_written_after;
                last_read.max(by_clock.map(|t| t + info.clock.since(clock)))
            }
            None => last_read,
        };
        self.address = info.address.clone();
        self.machine.clone_from(&info.machine);
        self.zone = Some(info.zone.clone());
        self.info = Some(info);
    }
}

impl JobScheduler {
    /// Sets the interval at which workers write their entries in the VM list.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().set_worker_heartbeat(Millis(1_500));
    /// ```
    pub fn set_worker_heartbeat(&mut self, interval: Millis) {
        self.worker_heartbeat = Some(interval);
    }

    /// Returns whether the capacity of the worker is known well enough to start work there. A worker
    /// that checks it itself refuses what does not fit.
    pub(crate) fn is_capacity_known(&self, worker: &Worker, now: Millis) -> bool {
        let Some(info) = &worker.info else {
            return false;
        };
        let unchecked = &self.config.services_without_admission_check;
        let heartbeat = self.worker_heartbeat.unwrap_or(DEFAULT_HEARTBEAT);
        let max_age = Millis(heartbeat.0 * MAX_ENTRY_AGE);
        !unchecked.contains(&info.service)
            || worker.max_entry_age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns whether a start order still fits on its worker. While the decision was being stored, the
    /// capacity may have shrunk or the worker may have announced its shutdown.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{job::SubtaskId, scheduler::JobScheduler};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// assert!(!JobScheduler::default().admits_start(&task, &"w".into(), Millis(1)));
    /// ```
    pub fn admits_start(&self, task: &SubtaskId, worker: &Text, now: Millis) -> bool {
        let Some(w) = self.workers.get(worker) else {
            return false;
        };
        // Without an entry, nobody knows whether the worker checks its capacity.
        let Some(info) = &w.info else {
            return self.config.services_without_admission_check.is_empty();
        };
        let fits =
            !info.draining && w.used().fits_in(info.capacity) && self.is_capacity_known(w, now);
        if !fits {
            log::info!(
                task:%, worker:%, draining = info.draining, capacity:% = info.capacity, used:% = w.used(),
                entry_age_ms = w.max_entry_age(now).map(|a| a.0);
                "batch: start no longer fits"
            );
        }
        fits
    }
}
