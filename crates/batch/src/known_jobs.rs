//! Jobs that a scheduler knows: accepted, restored or set aside.

use crate::{
    job::{AcceptedJob, Text},
    open_job::Job,
    progress::{Progress, RecordError},
    scheduler::JobScheduler,
    wait_log::WaitRecord,
};

impl JobScheduler {
    /// Restores a job with its stored progress. Reports of the workers then show which of its runs
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns why the records do not fit together. The job is [set aside](Self::set_aside) then.
    ///
    /// ```
    /// # use batch::{scheduler::JobScheduler, job::AcceptedJob, progress::Phase};
    /// # let accepted: AcceptedJob = serde_json::from_str(
    /// #     r#"{"id":"1","queue":"q","service":"s","organisation":null,"at":1,
    /// #     "spec":{"text":"","steps":[{"count":1}],"repeat":null}}"#).unwrap();
    /// let mut scheduler = JobScheduler::default();
    /// assert_eq!(scheduler.restore(accepted, None), Ok(()));
    /// assert_eq!(scheduler.phase("1"), Some(Phase::Queued));
    /// ```
    pub fn restore(
        &mut self,
        accepted: AcceptedJob,
        progress: Option<Progress>,
    ) -> Result<(), RecordError> {
        let progress = progress.unwrap_or_else(|| Progress::new(&accepted));
        if let Err(e) = progress.check(&accepted.spec) {
            self.set_aside(accepted.id);
            return Err(e);
        }
        let job = Job {
            accepted,
            progress,
            wait: WaitRecord::default(),
        };
        for (task, run) in job.runs() {
            let need = job.step(&task).reserved();
            let worker = self.workers.get_or_default(run.worker.clone());
            // Runs of an earlier life may wait for a stop there. A report tells the current one.
            worker.incarnation = worker.incarnation.max(run.incarnation);
            if let Some(address) = job.progress.addresses.get(&*run.worker) {
                worker.address = address.clone();
            }
            worker.add_run(task, need);
        }
        self.jobs.insert(job);
        Ok(())
    }

    /// Sets aside a job whose records can't be read: it is neither run nor taken for a new job,
    /// because runs of it may exist.
    ///
    /// ```
    /// let mut scheduler = batch::scheduler::JobScheduler::default();
    /// scheduler.set_aside("1".into());
    /// assert!(scheduler.knows("1") && scheduler.phase("1").is_none());
    /// ```
    pub fn set_aside(&mut self, id: Text) {
        self.set_aside.insert(id, ());
    }

    /// Returns whether a job is known, even if it is [set aside](Self::set_aside).
    ///
    /// ```
    /// assert!(!batch::scheduler::JobScheduler::default().knows("1"));
    /// ```
    pub fn knows(&self, id: &str) -> bool {
        self.jobs.get(id).is_some() || self.set_aside.get(id).is_some()
    }

    /// Adds a job. Returns `false` and changes nothing if its id is known.
    ///
    /// ```
    /// # use batch::{scheduler::JobScheduler, job::AcceptedJob};
    /// # let accepted: AcceptedJob = serde_json::from_str(
    /// #     r#"{"id":"1","queue":"q","service":"s","organisation":null,"at":1,
    /// #     "spec":{"text":"","steps":[{"count":1}],"repeat":null}}"#).unwrap();
    /// let mut scheduler = JobScheduler::default();
    /// assert!(scheduler.accept(accepted.clone()));
    /// assert!(!scheduler.accept(accepted));
    /// ```
    pub fn accept(&mut self, accepted: AcceptedJob) -> bool {
        if self.knows(&accepted.id) {
            return false;
        }
        let id = accepted.id.clone();
        match self.restore(accepted, None) {
            Ok(()) => true,
            Err(e) => {
                log::error!(job:% = id, reason:% = e; "batch: job set aside");
                false
            }
        }
    }
}
