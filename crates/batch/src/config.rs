//! The configuration in force: queues, organisations and services.

use std::rc::Rc;

use base::clock::Millis;

use crate::{job::Text, scheduler::JobScheduler};

/// Priority of the queues whose jobs are urgent.
pub(crate) const URGENT_PRIORITY: u32 = 0;

/// One queue, selected by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Text,
    /// Host name that requests for it carry.
    pub host: Text,
    /// Prefix of the request paths that it serves.
    pub path_prefix: Text,
    /// Service whose workers run its jobs.
    pub service: Text,
    /// Priority of its jobs; 0 is the highest: such jobs are urgent and may preempt the others.
    pub priority: u32,
    /// Number of failed runs after which a subtask, and with it the job, fails.
    pub max_attempts: u32,
    /// Proportional part of the completion objective: a multiple of the job's critical path.
    pub slack_factor: f64,
    /// Constant part of the completion objective.
    pub target_latency: Millis,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Timing of the policy service that decides which workers may run the queue's steps; `None`
    /// allows all workers.
    pub policy: Option<Policy>,
}

/// Timing of the policy service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Policy {
    /// Time to answer one request, whatever its size.
    pub decision_time: Millis,
    /// Additional time for each worker in a request.
    pub time_per_worker: Millis,
    /// Time for which a ticket is valid.
    pub ticket_validity: Millis,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Text,
    /// API keys that identify its callers.
    pub api_keys: Vec<Text>,
    /// Number of accelerators that its urgent jobs (priority 0) are guaranteed at any time.
    pub guaranteed_accelerators: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All organisations.
    pub organisations: Vec<Organisation>,
    /// Services whose workers accept a start even if it exceeds their capacity.
    pub services_without_admission_check: Vec<Text>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
}

impl Config {
    /// Returns the queue with the longest matching path prefix.
    ///
    /// ```
    /// let rules = batch::config::Config::default();
    /// assert!(rules.route("a.example", "/x/1").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |q: &&Queue| &*q.host == host && path.starts_with(&*q.path_prefix);
        let found = self.queues.iter().filter(matches);
        found.max_by_key(|q| q.path_prefix.len())
    }

    /// Returns the queue with the given name.
    pub(crate) fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// Returns the organisation that owns the API key.
    ///
    /// ```
    /// let rules = batch::config::Config::default();
    /// assert!(rules.organisation_by_key("key").is_none());
    /// ```
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        let holds = |o: &&Organisation| o.api_keys.iter().any(|k| &**k == key);
        self.organisations.iter().find(holds)
    }
}

impl JobScheduler {
    /// Replaces the configuration. Jobs whose progress holds no limit of attempts, as that of earlier
    /// versions, get the one of their queue, which stays in force after the queue is removed.
    ///
    /// ```
    /// batch::scheduler::JobScheduler::default().configure(&Default::default());
    /// ```
    pub fn configure(&mut self, config: &Rc<Config>) {
        if Rc::ptr_eq(&self.config, config) {
            return;
        }
        self.config = config.clone();
        for job in self.jobs.open_mut() {
            if job.progress.max_attempts.is_none() {
                let queue = config.queue(&job.accepted.queue);
                job.progress.max_attempts = queue.map(|q| q.max_attempts);
            }
        }
    }
}
