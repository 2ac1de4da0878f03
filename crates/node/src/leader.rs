//! State of the leader, and the loop that runs its scheduling passes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::{
    job::Text, pacing, progress::Phase, scheduler::JobScheduler, speed_report::StoredForecast,
};
use lease::machine::Held;
use ntex::rt;
use tokio::sync::Notify;

use crate::{
    activity::Activity,
    cancellations::Cancellations,
    checkpoints::Checkpoints,
    commit,
    cx::{self, Cx},
    extension, intake, load,
    load_log::LoadLog,
    pending, policy, retention,
    rows::FailingRow,
    window::{self, Window},
    worker_lease, worker_list,
    worker_session::{self, WorkerSession},
};

/// Maximum interval between two passes. Passes also repeat orders and check how long units have
/// waited.
const MAX_PASS_INTERVAL: Millis = Millis(250);
/// Maximum age of the VM list at the end of a load. A worker that has announced its shutdown since
/// gets no new work.
const MAX_LIST_AGE: Millis = Millis(800);
/// Delay before a failed load is repeated.
const LOAD_RETRY_DELAY: Millis = Millis(100);

/// State of the holder of the lease.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) held: Held,
    /// Time when the leadership began.
    pub(crate) started_at: Millis,
    pub(crate) scheduler: RefCell<JobScheduler>,
    pub(crate) sessions: RefCell<SortedMap<Text, WorkerSession>>,
    /// Calls to all workers beside the renewals of their leases.
    pub(crate) window: Window,
    /// Number of starts that wait for their turn or their answer.
    pub(crate) pending_starts: Cell<usize>,
    /// Number of orders so far.
    pub(crate) orders: Cell<u64>,
    /// Phases of the jobs as stored.
    pub(crate) stored_phases: RefCell<SortedMap<Text, Phase>>,
    /// Number of rows that hold the stored progress of each job.
    pub(crate) progress_rows: RefCell<SortedMap<Text, usize>>,
    /// Jobs whose progress can't be stored, with the time of the next attempt.
    pub(crate) held_back: RefCell<SortedMap<Text, Millis>>,
    /// Checkpoints that are stored apart from the progress of their job.
    pub(crate) checkpoints: RefCell<Checkpoints>,
    /// Jobs whose rows in the table of jobs are deleted and whose rows written by the leader are to
    /// be deleted.
    pub(crate) deleted_jobs: RefCell<Vec<Text>>,
    /// Time when the pending counts were last stored.
    pub(crate) counted_at: Cell<Millis>,
    /// Failing workers as last stored.
    pub(crate) stored_failing: RefCell<FailingRow>,
    /// Forecast as last stored.
    pub(crate) stored_forecast: RefCell<StoredForecast>,
    /// Time when it was last looked at whether the forecast is to be stored.
    pub(crate) forecast_checked_at: Cell<Millis>,
    /// Cancellations of ids whose jobs are not known.
    pub(crate) cancellations: RefCell<Cancellations>,
    /// Versions of the rows of the known jobs in the table of jobs.
    pub(crate) job_versions: RefCell<SortedMap<Text, u64>>,
    /// Jobs whose rows in the table of jobs were deleted since the last read of that table.
    pub(crate) removed_jobs: RefCell<SortedMap<Text, RemovedJob>>,
    /// Whether a job was left out because the removal of an earlier one with its id is not complete.
    pub(crate) has_skipped_jobs: Cell<bool>,
    /// Notified when such a job can be read.
    pub(crate) read_again: Notify,
    /// Version up to which the table of jobs was read, and the time of the last answer to its feed.
    pub(crate) feed: Cell<(u64, Millis)>,
    /// Version and sequence number of the last commit.
    pub(crate) chain: Cell<(u64, u64)>,
    /// Time since when no start is decided or sent, because the configuration was confirmed too long ago.
    pub(crate) starts_held_since: Cell<Option<Millis>>,
    /// Notified when something changed that requires a pass.
    pub(crate) changed: Notify,
    /// Notified when there is something to commit.
    pub(crate) dirty: Notify,
    /// Notified after each commit.
    pub(crate) committed: Notify,
    pub(crate) ended: Cell<bool>,
    /// Whether the state was loaded from the store.
    pub(crate) loaded: Cell<bool>,
}

/// A job whose row in the table of jobs was deleted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemovedJob {
    /// Version of the row.
    pub(crate) row: u64,
    /// Version by which it was deleted.
    pub(crate) deleted: u64,
}

impl Leader {
    pub(crate) fn new(held: Held) -> Self {
        Self {
            held,
            started_at: clock::now(),
            scheduler: RefCell::default(),
            sessions: RefCell::default(),
            window: Window::default(),
            pending_starts: Cell::default(),
            orders: Cell::default(),
            stored_phases: RefCell::default(),
            progress_rows: RefCell::default(),
            held_back: RefCell::default(),
            checkpoints: RefCell::default(),
            deleted_jobs: RefCell::default(),
            counted_at: Cell::default(),
            stored_failing: RefCell::default(),
            stored_forecast: RefCell::default(),
            forecast_checked_at: Cell::default(),
            cancellations: RefCell::default(),
            job_versions: RefCell::default(),
            removed_jobs: RefCell::default(),
            has_skipped_jobs: Cell::default(),
            read_again: Notify::new(),
            feed: Cell::default(),
            chain: Cell::default(),
            starts_held_since: Cell::default(),
            changed: Notify::new(),
            dirty: Notify::new(),
            committed: Notify::new(),
            ended: Cell::new(false),
            loaded: Cell::new(false),
        }
    }

    /// Ends the leadership. Its tasks check [`Self::ended`] and return.
    pub(crate) fn end(&self, reason: &str) {
        let ms = clock::now().since(self.started_at).0;
        let scheduler = self.scheduler.borrow();
        let (placed, counts) = (scheduler.placed(), scheduler.counts());
        log::warn!(
            fence = self.held.fence, reason, ms, loaded = self.loaded.get(), placed,
            jobs = counts.jobs, open = counts.open, runs = counts.runs,
            set_aside = counts.set_aside, commit = self.chain.get().1;
            "leader: ended"
        );
        self.ended.set(true);
        self.changed.notify_waiters();
        self.dirty.notify_waiters();
        self.committed.notify_waiters();
    }

    /// Waits until the leadership ends, before its tasks have started.
    async fn ended_early(&self) {
        while !self.ended.get() {
            self.changed.notified().await;
        }
    }
}

/// Loads the stored state, starts the tasks of the leader and runs scheduling passes until the
/// leadership ends.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    log::info!(fence = leader.held.fence; "leader: started");
    let mut reads = load::Reads::default();
    let (version, workers) = loop {
        let attempt = async {
            let started = clock::now();
            let (loaded, workers) = tokio::join!(
                load::load(&cx, &leader, &mut reads),
                worker_list::fetch(&cx)
            );
            if loaded.is_ok() && clock::now().since(started) > MAX_LIST_AGE {
                return (loaded, worker_list::fetch(&cx).await.or(workers));
            }
            (loaded, workers)
        };
        let (loaded, workers) = tokio::select! {
            attempt = attempt => attempt,
            () = leader.ended_early() => return,
        };
        match loaded {
            Ok(version) => break (version, workers),
            Err(e) => log::warn!(reason:% = e; "leader: failed to load the state"),
        }
        cx::sleep(LOAD_RETRY_DELAY).await;
    };
    worker_lease::adopt(&cx, &leader);
    if let Some(workers) = workers {
        worker_list::apply_first(&leader, &workers);
    }
    worker_session::adopt_addresses(&leader);
    leader.loaded.set(true);
    rt::spawn(intake::watch(cx.clone(), leader.clone(), version)).detach();
    rt::spawn(worker_list::poll(cx.clone(), leader.clone())).detach();
    rt::spawn(commit::run(cx.clone(), leader.clone())).detach();
    rt::spawn(extension::run(cx.clone(), leader.clone())).detach();
    rt::spawn(pending::refresh(cx.clone(), leader.clone())).detach();
    rt::spawn(window::measure_lag(leader.clone())).detach();
    rt::spawn(retention::run(cx.clone(), leader.clone())).detach();
    let mut activity = Activity::default();
    let mut load_log = LoadLog::new(&cx);
    while !leader.ended.get() {
        let started = clock::now();
        let wait = pass(&cx, &leader);
        let took = clock::now().since(started);
        activity.record(&cx, &leader, took);
        load_log.record(&cx, &leader);
        tokio::select! {
            () = leader.changed.notified() => cx::sleep(pacing::delay_after(took)).await,
            () = cx.config_changed.notified() => {}
            () = cx::sleep(wait) => {}
        }
    }
}

/// Runs a scheduling pass and returns the time until the next one is due.
fn pass(cx: &Cx, leader: &Rc<Leader>) -> Millis {
    let (now, wall_now) = (clock::now(), clock::wall());
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.configure(&cx.config());
    scheduler.set_evacuated(cx.evacuations.borrow().zones(), now);
    let next = scheduler.open_due_occurrences(wall_now);
    log_held_starts(cx, leader, now);
    // Without a valid lease no new decisions are made, because they could not be committed.
    if cx.acting().is_some() {
        scheduler.evacuate(now);
        // Without the configuration no queue has a priority, and each worker seems to check its
        // capacity itself. With an old one, data centres may have been evacuated since.
        if cx.may_start() {
            let pending = leader.pending_starts.get();
            scheduler.set_max_starts(leader.window.max_starts().saturating_sub(pending));
            scheduler.place(now, wall_now);
        }
    }
    let has_changes = scheduler.has_changes();
    drop(scheduler);
    if has_changes {
        leader.dirty.notify_one();
    }
    policy::send(cx, leader);
    worker_session::start_sessions(cx, leader);
    next.map_or(MAX_PASS_INTERVAL, |due| {
        MAX_PASS_INTERVAL.min(due.since(wall_now)).max(Millis(1))
    })
}

/// Logs when starts begin and cease to wait for the configuration.
fn log_held_starts(cx: &Cx, leader: &Leader, now: Millis) {
    let (is_held, since) = (!cx.may_start(), leader.starts_held_since.get());
    let age_ms = cx.config_age().map(|a| a.0);
    match since {
        None if is_held => {
            log::warn!(fence = leader.held.fence, age_ms; "leader: holds starts back until the configuration is confirmed");
            leader.starts_held_since.set(Some(now));
        }
        Some(since) if !is_held => {
            let held_ms = now.since(since).0;
            log::info!(fence = leader.held.fence, age_ms, held_ms, pending = leader.pending_starts.get(); "leader: sends starts again");
            leader.starts_held_since.set(None);
        }
        _ => {}
    }
}
