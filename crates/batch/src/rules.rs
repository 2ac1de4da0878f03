//! The configuration in force: queues, organisations and services.

use base::clock::Millis;

use crate::job::Text;

/// One queue, selected by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Text,
    /// Host of its callers.
    pub host: Text,
    /// Beginning of its paths.
    pub prefix: Text,
    /// Service whose workers run its jobs.
    pub service: Text,
    /// 0 comes first and may preempt the others.
    pub priority: u32,
    /// Failed runs after which a subtask is given up.
    pub max_attempts: u32,
    /// Part of the completion objective: multiple of the longest chain of work.
    pub slack: f64,
    /// Part of the completion objective that does not depend on the work.
    pub target: Millis,
    /// Whether calls need no key.
    pub public: bool,
    /// Policy that decides which workers may run the queue's steps; none allows all.
    pub policy: Option<Policy>,
}

/// How long the policy service takes to answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Policy {
    /// Time for each question.
    pub decision: Millis,
    /// Further time for each worker in it.
    pub per_worker: Millis,
    /// Time for which a ticket holds.
    pub valid: Millis,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: Text,
    /// Keys that its callers use.
    pub keys: Vec<Text>,
    /// Accelerators that it can claim for jobs of priority 0 at any time.
    pub guaranteed: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Its version.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All organisations.
    pub organisations: Vec<Organisation>,
    /// Services whose workers don't check their own room.
    pub unguarded: Vec<Text>,
    /// Largest body of a call, in bytes.
    pub body_bytes: usize,
}

impl Rules {
    /// Returns the queue with the longest prefix that matches.
    ///
    /// ```
    /// let rules = batch::rules::Rules::default();
    /// assert!(rules.route("a.example", "/x/1").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |q: &&Queue| &*q.host == host && path.starts_with(&*q.prefix);
        let found = self.queues.iter().filter(matches);
        found.max_by_key(|q| q.prefix.len())
    }

    /// Returns the queue of that name.
    pub(crate) fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// Returns the organisation that holds the key.
    ///
    /// ```
    /// let rules = batch::rules::Rules::default();
    /// assert!(rules.organisation_of("key").is_none());
    /// ```
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        let holds = |o: &&Organisation| o.keys.iter().any(|k| &**k == key);
        self.organisations.iter().find(holds)
    }
}
