//! What a worker has, and what runs there.

use base::clock::Millis;

use crate::{
    job::{Need, TaskId, Text},
    worker::Info,
};

/// A worker that refuses or fails work gets none for this time, longer with each failure.
const AVOID: Millis = Millis(1_000);
/// Most doublings of [`AVOID`]; 16 s, a probation after which one subtask shows its health.
const AVOID_DOUBLINGS: u32 = 4;
/// Fails in a row after which a worker is avoided: a single one may be the subtask's own fault.
const FAILS_IN_ROW: u32 = 2;

/// A worker that was silent twice gets no work for this time after it answers again, and twice as
/// long after each further silence: one that goes down and up by turns does so within a second or
/// two. A single silence may be the fault of the way to it.
const PROBATION: Millis = Millis(500);
/// Most doublings of [`PROBATION`].
const PROBATION_DOUBLINGS: u32 = 4;
/// A silence that is this long ago does not count any more.
const SILENCE_MEMORY: Millis = Millis(20_000);

/// A worker with the runs that may exist on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    /// Entry in the VM list; none if it is not listed.
    pub(crate) info: Option<Info>,
    /// Start of its present life; 0 if it is not known.
    pub(crate) born: u64,
    /// Runs that may exist, with what they reserve.
    pub(crate) runs: Vec<(TaskId, Need)>,
    /// Highest number of an end that was processed.
    pub(crate) processed: u64,
    /// Highest number of an end that is stored.
    pub(crate) acked: u64,
    /// Until when it gets no work.
    pub(crate) avoid_until: Millis,
    /// When a draining worker leaves.
    pub(crate) leaves_at: Option<Millis>,
    /// Whether it does not answer.
    pub(crate) silent: bool,
    /// Silences of late, and when the last one ended.
    silences: u32,
    spoke: Millis,
    /// Failed runs since the last success.
    pub(crate) fails: u32,
}

impl Worker {
    pub(crate) fn add(&mut self, task: TaskId, need: Need) {
        self.runs.push((task, need));
    }

    pub(crate) fn remove(&mut self, task: &TaskId) {
        self.runs.retain(|(t, _)| t != task);
    }

    /// Returns what is free, without what may run there.
    pub(crate) fn free(&self) -> Need {
        let Some(info) = &self.info else {
            return Need::default();
        };
        let mut used = Need::default();
        for (_, need) in &self.runs {
            used.add(*need, 1);
        }
        info.capacity.minus(used)
    }

    /// Returns whether the worker takes new work.
    pub(crate) fn is_open(&self, now: Millis) -> bool {
        !self.silent && now >= self.avoid_until && self.info.as_ref().is_some_and(|i| !i.draining)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        let labels = self.info.iter().flat_map(|i| &i.labels);
        labels.into_iter().any(|l| &**l == label)
    }

    /// Returns the label that names the rack: the last one.
    pub(crate) fn rack(&self) -> Option<&Text> {
        self.info.as_ref()?.labels.last()
    }

    pub(crate) fn refused(&mut self, now: Millis) {
        self.avoid_until = self.avoid_until.max(now + AVOID);
    }

    pub(crate) fn failed(&mut self, now: Millis) {
        self.fails += 1;
        if self.fails >= FAILS_IN_ROW {
            let doublings = (self.fails - FAILS_IN_ROW).min(AVOID_DOUBLINGS);
            self.avoid_until = self.avoid_until.max(now + Millis(AVOID.0 << doublings));
        }
    }

    pub(crate) fn succeeded(&mut self) {
        self.fails = 0;
    }

    /// Notes whether it answers.
    pub(crate) fn answers(&mut self, answers: bool, now: Millis) {
        let again = self.silent && answers;
        self.silent = !answers;
        if !again {
            return;
        }
        if now.since(self.spoke) > SILENCE_MEMORY {
            self.silences = 0;
        }
        self.spoke = now;
        self.silences += 1;
        if self.silences > 1 {
            let doublings = (self.silences - 2).min(PROBATION_DOUBLINGS);
            self.avoid_until = self.avoid_until.max(now + Millis(PROBATION.0 << doublings));
        }
    }
}
