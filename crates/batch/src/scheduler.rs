//! State of all jobs and workers, and the events that change it.

use std::rc;

use base::{clock::Millis, sorted::SortedMap};
use forecast::predictor::Forecast;
use serde::Serialize;

use crate::{
    config::Config,
    delay_cost::OverloadRules,
    job::{Step, SubtaskId, Text},
    job_end::JobEnd,
    jobs::Jobs,
    open_job::Job,
    order_load::OrderLoad,
    policy::{PolicyRequest, StepId, StepTickets, UnsentRequest},
    policy_calls::PolicyCalls,
    preemption_log::PreemptionLog,
    progress::{Phase, Progress, Run, Subtask},
    reserve::UrgentLoad,
    shortage::Shortage,
    typical_work::TypicalWork,
    wait_log::WaitLog,
    worker::{Order, Outcome, WorkerInfo},
    worker_end::{LapsedRun, LostWorker, Outage, WorkerEnd},
    worker_state::Worker,
    zone_evacuation::Evacuations,
};

/// Changes to commit.
#[derive(Debug, Default)]
pub struct PendingChanges {
    /// Progress to store, by job id.
    pub records: Vec<(Text, Progress)>,
    /// Orders to send once the records are stored.
    pub orders: Vec<Order>,
    /// Finished runs that may be acknowledged once the records are stored, as worker id,
    /// incarnation and highest sequence number. They are returned again until
    /// [`JobScheduler::mark_committed`] gets them.
    pub acks: Vec<(Text, u64, u64)>,
    /// Queue priority and time since submission of each job whose first subtask was placed.
    pub started_jobs: Vec<(u32, Millis)>,
    /// Ends of workers that had runs.
    pub worker_ends: Vec<WorkerEnd>,
}

/// Numbers of jobs, runs and workers of a [`JobScheduler`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Number of jobs, including those that have ended.
    pub jobs: usize,
    /// Number of jobs that have not ended.
    pub open: usize,
    /// Number of jobs whose records can't be read.
    pub set_aside: usize,
    /// Number of runs that may exist: they were placed and are not known to have ended.
    pub runs: usize,
    /// Number of workers in the VM list.
    pub workers: usize,
}

/// State of all jobs and workers. Its methods handle events and decide what to start and stop.
///
/// ```
/// use batch::scheduler::JobScheduler;
/// let mut scheduler = JobScheduler::default();
/// assert!(scheduler.take_changes().records.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct JobScheduler {
    pub(crate) jobs: Jobs,
    /// Ids of the jobs whose records can't be read.
    pub(crate) set_aside: SortedMap<Text, ()>,
    pub(crate) workers: SortedMap<Text, Worker>,
    pub(crate) config: rc::Rc<Config>,
    pub(crate) orders: Vec<Order>,
    pub(crate) order_load: OrderLoad,
    /// Number of subtasks that were placed.
    pub(crate) placed: u64,
    pub(crate) wait_log: WaitLog,
    /// Ids of the jobs whose progress changed since the last commit.
    pub(crate) dirty: Vec<Text>,
    pub(crate) urgent: UrgentLoad,
    pub(crate) evacuations: Evacuations,
    pub(crate) overload_rules: OverloadRules,
    /// Services with too little room for their waiting work.
    pub(crate) shortages: SortedMap<Text, Shortage>,
    /// Stops for other work since the caller last asked for them.
    pub(crate) preemption_log: PreemptionLog,
    /// Learned speeds of workers and corrections of estimates.
    pub(crate) forecast: Forecast,
    pub(crate) typical_work: TypicalWork,
    /// Logarithms of the ratios of run times to expected run times.
    pub(crate) run_time_errors: Vec<f64>,
    /// Number of workers that were slow for urgent work in the last pass.
    pub(crate) slow_workers: usize,
    /// Time that a run needs to continue from a checkpoint.
    pub(crate) restore_time: Millis,
    /// Interval at which workers write their entries in the VM list.
    pub(crate) worker_heartbeat: Option<Millis>,
    /// Maximum time that a stop takes at a worker.
    pub(crate) stop_time: Option<Millis>,
    /// Number of orders in a pass from which no more deferrable work is placed; `None` for no limit.
    pub(crate) max_starts: Option<usize>,
    pub(crate) started_jobs: Vec<(u32, Millis)>,
    pub(crate) worker_ends: Vec<WorkerEnd>,
    /// Outcomes of the runs that workers reported as finished.
    pub(crate) run_ends: Vec<Outcome>,
    /// Recent outages of workers.
    pub(crate) outages: Vec<Outage>,
    /// Runs whose lease expired, which may have ended before that.
    pub(crate) lapsed_runs: Vec<LapsedRun>,
    /// Workers whose lease expired for an unknown reason.
    pub(crate) unexplained_losses: Vec<LostWorker>,
    /// Time when the last reading of the VM list began.
    pub(crate) list_read_at: Option<Millis>,
    /// Whether a VM list was read that has not been compared with these losses.
    pub(crate) has_new_list: bool,
    pub(crate) step_tickets: SortedMap<StepId, StepTickets>,
    pub(crate) policy_calls: PolicyCalls,
    /// Requests to send.
    pub(crate) policy_requests: Vec<PolicyRequest>,
    /// Requests for units that wait for resources too, sent at the end of a pass.
    pub(crate) later_requests: Vec<UnsentRequest>,
}

impl JobScheduler {
    /// Creates a scheduler without jobs and workers. A run takes `restore_time` to continue from a
    /// checkpoint.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let scheduler = batch::scheduler::JobScheduler::new(Millis(600));
    /// assert!(scheduler.phase("1").is_none());
    /// ```
    pub fn new(restore_time: Millis) -> Self {
        Self {
            restore_time,
            ..Self::default()
        }
    }

    /// Returns the phase of a job.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().phase("1").is_none());
    /// ```
    pub fn phase(&self, id: &str) -> Option<Phase> {
        self.jobs.get(id).map(|j| j.progress.phase)
    }

    /// Returns, for each queue, the number of jobs in phase [`Phase::Queued`].
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().queued_jobs_by_queue().iter().next().is_none());
    /// ```
    pub fn queued_jobs_by_queue(&self) -> SortedMap<Text, u64> {
        let mut queued = SortedMap::default();
        for job in self.jobs.open() {
            if job.progress.phase == Phase::Queued {
                *queued.get_or_default(job.accepted.queue.clone()) += 1;
            }
        }
        queued
    }

    /// Cancels a job: stops its runs and starts no more of them. Returns `false` if the job is
    /// unknown or has ended.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert!(!batch::scheduler::JobScheduler::default().cancel("1", Millis(1), Millis(1)));
    /// ```
    pub fn cancel(&mut self, id: &str, now: Millis, wall_now: Millis) -> bool {
        let open = |p: Phase| !p.is_final();
        if !self.phase(id).is_some_and(open) {
            return false;
        }
        self.finish(id, JobEnd::Cancelled, now, wall_now);
        true
    }

    /// Marks a job as changed, so that its progress is stored.
    ///
    /// ```
    /// let mut scheduler = batch::scheduler::JobScheduler::default();
    /// scheduler.mark_changed(&"1".into());
    /// assert!(scheduler.take_changes().records.is_empty(), "the job is not known");
    /// ```
    pub fn mark_changed(&mut self, id: &Text) {
        self.dirty.push(id.clone());
    }

    /// Returns the changes since the last call, which the caller has to commit. Each call returns all
    /// `acks` that were not yet passed to [`mark_committed`](Self::mark_committed).
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().take_changes().orders.is_empty());
    /// ```
    pub fn take_changes(&mut self) -> PendingChanges {
        self.count_repeats();
        self.dirty.sort_unstable();
        self.dirty.dedup();
        let dirty = std::mem::take(&mut self.dirty);
        let record = |id: Text| {
            let job = self.jobs.get(&id)?;
            let mut progress = job.progress.clone();
            progress.addresses = self.addresses_of(job);
            Some((id, progress))
        };
        let records = dirty.into_iter().filter_map(record).collect();
        let acks = self
            .workers
            .iter()
            .filter(|(_, w)| w.processed_seq > w.stored_seq);
        let acks = acks.map(|(id, w)| (id.clone(), w.incarnation, w.processed_seq));
        PendingChanges {
            records,
            acks: acks.collect(),
            orders: std::mem::take(&mut self.orders),
            started_jobs: std::mem::take(&mut self.started_jobs),
            worker_ends: std::mem::take(&mut self.worker_ends),
        }
    }

    /// Returns the addresses of the workers that may have a run of the job.
    fn addresses_of(&self, job: &Job) -> SortedMap<Text, Text> {
        let mut addresses = SortedMap::default();
        for (_, run) in job.runs() {
            let address = self.workers.get(&run.worker).map(|w| &w.address);
            if let Some(address) = address.filter(|a| !a.is_empty()) {
                addresses.insert(run.worker.clone(), address.clone());
            }
        }
        addresses
    }

    /// Returns id, incarnation and last known address of the workers that may have runs and are not
    /// listed.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().unlisted_workers().is_empty());
    /// ```
    pub fn unlisted_workers(&self) -> Vec<(Text, u64, Text)> {
        let is_unlisted = |w: &Worker| w.info.is_none() && !w.runs.is_empty();
        let unlisted = self.workers.iter().filter(|(_, w)| is_unlisted(w));
        let entry = |(id, w): (&Text, &Worker)| (id.clone(), w.incarnation, w.address.clone());
        unlisted.map(entry).collect()
    }

    /// Returns the outcomes of the runs that workers reported as finished since the last call.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().take_run_ends().is_empty());
    /// ```
    pub fn take_run_ends(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.run_ends)
    }

    /// Returns the requests to the policy service since the last call. They change no stored state,
    /// so they need no commit.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().take_policy_requests().is_empty());
    /// ```
    pub fn take_policy_requests(&mut self) -> Vec<PolicyRequest> {
        std::mem::take(&mut self.policy_requests)
    }

    /// Returns whether there is anything to commit.
    ///
    /// ```
    /// assert!(!batch::scheduler::JobScheduler::default().has_changes());
    /// ```
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty() || !self.orders.is_empty()
    }

    /// Records that the outcomes of the finished runs are stored, so that the runs may be
    /// acknowledged.
    ///
    /// ```
    /// batch::scheduler::JobScheduler::default().mark_committed(&[("w".into(), 1, 5)]);
    /// ```
    pub fn mark_committed(&mut self, acks: &[(Text, u64, u64)]) {
        for (id, incarnation, seq) in acks {
            if let Some(worker) = self
                .workers
                .get_mut(id)
                .filter(|w| w.incarnation == *incarnation)
            {
                worker.stored_seq = worker.stored_seq.max(*seq);
            }
        }
    }

    /// Returns the incarnation of the worker and the sequence number up to which the outcomes of its
    /// finished runs are stored, so that these runs may be acknowledged.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().stored_seq("w"), None);
    /// ```
    pub fn stored_seq(&self, worker: &str) -> Option<(u64, u64)> {
        self.workers
            .get(worker)
            .map(|w| (w.incarnation, w.stored_seq))
    }

    /// Returns the organisation of a job.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().organisation("1").is_none());
    /// ```
    pub fn organisation(&self, id: &str) -> Option<Text> {
        self.jobs.get(id)?.accepted.organisation.clone()
    }

    /// Returns the numbers of jobs, runs and workers.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().counts().jobs, 0);
    /// ```
    pub fn counts(&self) -> Counts {
        let workers = || self.workers.iter().map(|(_, w)| w);
        Counts {
            jobs: self.jobs.len(),
            open: self.jobs.open().count(),
            set_aside: self.set_aside.len(),
            runs: workers().map(|w| w.runs.len()).sum(),
            workers: workers().filter(|w| w.info.is_some()).count(),
        }
    }

    /// Iterates over the ids of the jobs that have not ended.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().open_jobs().next().is_none());
    /// ```
    pub fn open_jobs(&self) -> impl Iterator<Item = &Text> {
        self.jobs.open().map(|job| &job.accepted.id)
    }

    /// Returns whether a run exists or may exist on the worker, or the outcome of a finished run is not
    /// stored.
    ///
    /// ```
    /// assert!(!batch::scheduler::JobScheduler::default().is_in_use("w"));
    /// ```
    pub fn is_in_use(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(Worker::is_in_use)
    }

    /// Records whether a worker answers. An unresponsive worker gets no new work; after repeated
    /// outages it also gets none for some time after it answers again.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().set_responding("w", false, Millis(1));
    /// ```
    pub fn set_responding(&mut self, worker: &str, responding: bool, now: Millis) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.set_responding(responding, now);
        }
    }

    /// Replaces the VM list by one that was read at `now`, see [`apply_vm_list`](Self::apply_vm_list).
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().replace_vm_list(Vec::new(), Millis(1));
    /// ```
    pub fn replace_vm_list(&mut self, infos: Vec<WorkerInfo>, now: Millis) {
        self.apply_vm_list(infos, now, now);
    }

    /// Replaces the VM list by one whose reading began at `read_at`. A worker that is no longer
    /// listed gets no new work. Its runs are kept until a report shows that they are gone or the
    /// worker's lease expires.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let (read_at, now) = (Millis(1), Millis(9));
    /// batch::scheduler::JobScheduler::default().apply_vm_list(Vec::new(), read_at, now);
    /// ```
    pub fn apply_vm_list(&mut self, infos: Vec<WorkerInfo>, read_at: Millis, now: Millis) {
        for (_, worker) in self.workers.iter_mut() {
            worker.info = None;
        }
        let last_read = self.list_read_at.replace(read_at);
        for info in infos {
            let worker = self.workers.get_or_default(info.id.clone());
            let is_idle = worker.incarnation == 0 || worker.runs.is_empty();
            if is_idle && worker.is_new_life(info.incarnation, now) {
                if worker.incarnation != 0 {
                    self.forecast.worker_restarted(&info.id);
                }
                worker.start_listed_life(info.incarnation, now);
            }
            let id = info.id.clone();
            worker.update_entry(info, last_read, now);
            self.update_shutdown_time(&id, now);
        }
        self.has_new_list = true;
        let unused = |w: &Worker| w.info.is_none() && w.runs.is_empty();
        let unlisted = self.workers.iter().filter(|(_, w)| unused(w));
        let unlisted: Vec<Text> = unlisted.map(|(id, _)| id.clone()).collect();
        for id in unlisted {
            self.workers.remove(&id);
        }
        self.forget_speeds();
    }

    /// Ends a job and stops its runs.
    pub(crate) fn finish(&mut self, id: &str, end: JobEnd<'_>, now: Millis, wall_now: Millis) {
        let phase = end.phase();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let age_ms = wall_now.since(job.accepted.at).0;
        log::info!(
            job = id, phase:%, before:% = job.progress.phase, cause = end.name(),
            task = end.fault().map(|f| f.0.to_string()), count = end.fault().map(|f| f.1),
            limit = end.fault().map(|f| f.2), config = self.config.version, age_ms;
            "batch: job phase changed"
        );
        job.progress.phase = phase;
        job.progress.at = wall_now;
        self.dirty.push(job.accepted.id.clone());
        self.remove_step_tickets(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        // Subtasks of a gang that is done need no stop, because their workers end them.
        let not_done = |t: &SubtaskId| job.subtask(t).is_some_and(|t| !t.done);
        let tasks = job.runs().map(|(task, _)| task).filter(not_done);
        let tasks: Vec<SubtaskId> = tasks.collect();
        for task in tasks {
            self.stop(&task, now);
        }
        self.jobs.settle(id);
    }

    pub(crate) fn subtask_mut(&mut self, id: &SubtaskId) -> Option<&mut Subtask> {
        let job = self.jobs.get_mut(&id.job)?;
        let occurrence = job.progress.occurrences.get_mut(id.occurrence as usize)?;
        occurrence.steps.get_mut(id.step)?.get_mut(id.index)
    }

    pub(crate) fn subtask(&self, id: &SubtaskId) -> Option<&Subtask> {
        self.jobs.get(&id.job)?.subtask(id)
    }

    pub(crate) fn run_mut(&mut self, id: &SubtaskId) -> Option<&mut Run> {
        self.subtask_mut(id)?.run.as_mut()
    }

    /// Returns the run of a subtask and its step.
    pub(crate) fn run_of(&self, id: &SubtaskId) -> Option<(&Run, &Step)> {
        let job = self.jobs.get(&id.job)?;
        Some((job.subtask(id)?.run.as_ref()?, job.step(id)))
    }

    /// Returns the step of a subtask if its job is known.
    pub(crate) fn step_of(&self, id: &SubtaskId) -> Option<&Step> {
        self.jobs.get(&id.job)?.accepted.spec.steps.get(id.step)
    }
}
