//! Changes that wait to be stored, and the orders and acknowledgements that wait for them.
//!
//! A slow store applies one or two transactions a second, and each holds a limited number of jobs.
//! Jobs with orders are therefore stored first, and the orders of a job are sent as soon as the job
//! is stored.
//!
//! The whole progress of a job is stored each time. On a narrow link, the jobs that only have finished
//! runs wait a little, so that several of these are stored at once.

use base::{clock::Millis, sorted::SortedMap};

use crate::{job::Text, progress::Progress, scheduler::PendingChanges, worker::Order};

/// Pause after a commit, as a multiple of the time for encoding its changes.
const PAUSE_FACTOR: u64 = 4;
/// Maximum pause after a commit, by which orders of other jobs are delayed.
const MAX_PAUSE: Millis = Millis(50);

/// Acknowledgement of finished runs: worker id, incarnation and highest sequence number.
pub type Ack = (Text, u64, u64);

/// Changes of a scheduler that are not stored yet.
///
/// ```
/// use base::clock::Millis;
/// use batch::{outbox::Outbox, scheduler::JobScheduler};
/// let mut outbox = Outbox::default();
/// let released = outbox.add(JobScheduler::default().take_changes(), Millis(1));
/// assert!(outbox.is_empty() && released.orders.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: SortedMap<Text, Waiting>,
    /// Acknowledgements in the order of their addition.
    acks: Vec<WaitingAcks>,
    added: u64,
}

#[derive(Debug)]
struct Waiting {
    progress: Progress,
    orders: Vec<Order>,
    /// Position in the order of additions: of the first order if there is one.
    position: u64,
    /// Time of the first change.
    since: Millis,
}

impl Waiting {
    /// Returns the time from which the job is to be stored. Orders wait for it, and callers see its end.
    fn due(&self, deferral: Millis) -> Millis {
        if self.orders.is_empty() && !self.progress.phase.is_final() {
            self.since + deferral
        } else {
            self.since
        }
    }
}

#[derive(Debug)]
struct WaitingAcks {
    /// Sorted ids of the jobs that have to be stored first.
    jobs: Vec<Text>,
    acks: Vec<Ack>,
}

/// What may be sent once changes are stored.
#[derive(Debug, Default)]
pub struct Released {
    /// Orders for workers.
    pub orders: Vec<Order>,
    /// Finished runs that may be acknowledged.
    pub acks: Vec<Ack>,
}

impl Outbox {
    /// Adds changes of `now`. The progress of a job replaces the one that waits. Returns the orders and
    /// acknowledgements that need not wait for any job.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{outbox::Outbox, scheduler::PendingChanges};
    /// assert!(Outbox::default().add(PendingChanges::default(), Millis(1)).acks.is_empty());
    /// ```
    pub fn add(&mut self, changes: PendingChanges, now: Millis) -> Released {
        self.added += 1;
        let mut released = Released::default();
        for (id, progress) in changes.records {
            if let Some(waiting) = self.waiting.get_mut(&id) {
                waiting.progress = progress;
                continue;
            }
            let waiting = Waiting {
                progress,
                orders: Vec::new(),
                position: self.added,
                since: now,
            };
            self.waiting.insert(id, waiting);
        }
        for order in changes.orders {
            let Some(waiting) = self.waiting.get_mut(&order.task.job) else {
                released.orders.push(order);
                continue;
            };
            if waiting.orders.is_empty() {
                waiting.position = self.added;
            }
            waiting.orders.push(order);
        }
        if !changes.acks.is_empty() {
            self.acks.push(WaitingAcks {
                jobs: self.waiting.iter().map(|(id, _)| id.clone()).collect(),
                acks: changes.acks,
            });
        }
        self.release_acks(&mut released);
        released
    }

    /// Returns whether no job waits.
    ///
    /// ```
    /// assert!(batch::outbox::Outbox::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the jobs to store at `now` in their order: those with orders first, then the longest
    /// waiting. Jobs that have not ended and without orders wait for `deferral`.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let outbox = batch::outbox::Outbox::default();
    /// assert!(outbox.due(Millis(5), Millis::ZERO).is_empty());
    /// ```
    pub fn due(&self, now: Millis, deferral: Millis) -> Vec<(&Text, &Progress)> {
        let is_due = |(_, w): &(&Text, &Waiting)| w.due(deferral) <= now;
        let mut all: Vec<_> = self.waiting.iter().filter(is_due).collect();
        all.sort_by_key(|(_, w)| (w.orders.is_empty(), w.position));
        all.into_iter().map(|(id, w)| (id, &w.progress)).collect()
    }

    /// Returns the time from which a job is [due](Self::due), or `None` if none waits.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert!(batch::outbox::Outbox::default().next_at(Millis::ZERO).is_none());
    /// ```
    pub fn next_at(&self, deferral: Millis) -> Option<Millis> {
        self.waiting.iter().map(|(_, w)| w.due(deferral)).min()
    }

    /// Records that jobs are stored as last returned by [`due`](Self::due). Returns what may be sent
    /// now.
    ///
    /// ```
    /// assert!(batch::outbox::Outbox::default().mark_stored(&[]).orders.is_empty());
    /// ```
    pub fn mark_stored(&mut self, ids: &[Text]) -> Released {
        let mut released = Released::default();
        for id in ids {
            if let Some(waiting) = self.waiting.remove(id) {
                released.orders.extend(waiting.orders);
            }
            for waiting in &mut self.acks {
                if let Ok(i) = waiting.jobs.binary_search(id) {
                    waiting.jobs.remove(i);
                }
            }
        }
        self.release_acks(&mut released);
        released
    }

    fn release_acks(&mut self, released: &mut Released) {
        let complete = self.acks.extract_if(.., |a| a.jobs.is_empty());
        released.acks.extend(complete.flat_map(|a| a.acks));
    }
}

/// Returns the pause after a commit whose changes were encoded in some time.
///
/// Each commit encodes the whole progress of its jobs. If the commits of a large job followed each
/// other at once, the replies to orders would wait for them, and each would cover few subtasks.
///
/// ```
/// use base::clock::Millis;
/// assert_eq!(batch::outbox::pause_after(Millis(3)), Millis(12));
/// ```
pub fn pause_after(encoded_in: Millis) -> Millis {
    Millis(PAUSE_FACTOR * encoded_in.0).min(MAX_PAUSE)
}
