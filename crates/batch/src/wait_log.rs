//! Log lines that tell why a job waits.

use base::clock::Millis;

use crate::{
    candidates::{Candidate, Candidates},
    job::{Step, Text},
    open_job::Job,
    progress::{Run, RunState},
    ranking::Unit,
    scheduler::JobScheduler,
    search::Search,
    worker::StartReply,
    worker_state::Worker,
};

/// Waiting time from which the reason for the wait is logged.
const LOG_THRESHOLD: Millis = Millis(3_000);
/// Minimum time between two log lines about the wait of one job.
const LOG_INTERVAL: Millis = Millis(5_000);
/// Maximum number of these lines in a pass, during which the leader renews no lease. Further jobs get
/// theirs in the next passes.
const MAX_LINES_PER_PASS: u32 = 30;
/// Minimum time between two checks for jobs with nothing but unsettled runs, which look at all runs.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// What is known of the wait of a job. It begins anew with each leader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitRecord {
    /// Time of the last line about a unit that waits for room.
    room_logged_at: Option<Millis>,
    /// Time of the last line about unsettled runs.
    orders_logged_at: Option<Millis>,
    /// Time since when the job has runs of which none is known to run.
    unsettled_since: Option<Millis>,
    /// Starts without an answer.
    unanswered_starts: u32,
}

/// The lines of a scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitLog {
    /// Lines that the current pass may still write.
    lines_left: u32,
    /// Time of the last check for jobs with nothing but unsettled runs.
    checked_at: Millis,
}

/// How a worker stands to a unit that waits: the first reason why it takes no subtask of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// Its data centre is evacuated.
    Evacuated,
    /// It does not answer the leader.
    Silent,
    /// It gets no work for some time after repeated outages.
    Probation,
    /// It gets none for some time after failures or refusals.
    Backoff,
    Draining,
    /// Its entry in the VM list is missing, too old or one of another life.
    NoEntry,
    /// Its runs leave no room.
    Full,
    /// Its room is held for a unit of higher rank.
    Held,
    /// It is kept free for urgent work.
    Reserved,
    /// Its runs or those of the unit have to be kept apart.
    Isolated,
    /// A run of the step would interfere with others, or has just failed there.
    Unsuitable,
    /// It lacks the label.
    Label,
    /// There is no ticket for it.
    Ticket,
    /// It has as many subtasks of the step as it may.
    Limit,
    /// It takes at least one subtask.
    Usable,
}

/// Numbers of workers of the service of a unit.
#[derive(Clone, Copy, Debug, Default)]
struct Standings {
    counts: [u32; Standing::Usable as usize + 1],
    /// Workers with room for a subtask, whatever else excludes them.
    fitting: u32,
    /// Subtasks for which these have room.
    room: u64,
    /// Time until the first of these that is held off gets work again.
    held_off: Option<Millis>,
}

impl Standings {
    const fn of(&self, standing: Standing) -> u32 {
        self.counts[standing as usize]
    }
}

/// Runs and starts of a job.
#[derive(Clone, Copy, Debug, Default)]
struct JobRuns {
    /// Starts so far, of all leaders.
    starts: u64,
    ordered: u32,
    adopted: u32,
    running: u32,
    stopping: u32,
    /// Starts whose reply is not known yet.
    awaited: u32,
    /// Time of the first stop order of the run that has been stopped for longest.
    stopping_since: Option<Millis>,
}

impl JobRuns {
    fn of(job: &Job) -> Self {
        let steps = job.progress.occurrences.iter().flat_map(|o| &o.steps);
        let mut runs = Self::default();
        for task in steps.flatten() {
            runs.starts += u64::from(task.attempt);
            let Some(run) = &task.run else {
                continue;
            };
            runs.awaited += u32::from(run.awaits_reply);
            match run.state {
                RunState::Adopted => runs.adopted += 1,
                RunState::Ordered => runs.ordered += 1,
                RunState::Running => runs.running += 1,
                RunState::Stopping => {
                    runs.stopping += 1;
                    let since = runs.stopping_since.into_iter().chain(run.stop_ordered_at);
                    runs.stopping_since = since.min();
                }
            }
        }
        runs
    }

    const fn is_unsettled(&self) -> bool {
        self.running == 0 && self.ordered + self.adopted + self.stopping > 0
    }

    fn stopping_ms(&self, now: Millis) -> u64 {
        self.stopping_since.map_or(0, |t| now.since(t).0)
    }
}

fn is_due(logged_at: Option<Millis>, now: Millis) -> bool {
    logged_at.is_none_or(|t| now.since(t) >= LOG_INTERVAL)
}

impl JobScheduler {
    /// Allows the lines of another pass.
    pub(crate) const fn renew_wait_lines(&mut self) {
        self.wait_log.lines_left = MAX_LINES_PER_PASS;
    }

    /// Logs why a unit waits, at most once per [`LOG_INTERVAL`] and job.
    pub(crate) fn log_waiting(
        &mut self,
        unit: &Unit,
        placed: usize,
        (step, service): (&Step, &Text),
        candidates: &Candidates,
        now: Millis,
    ) {
        self.record_wait(unit.waited);
        if unit.waited < LOG_THRESHOLD || self.wait_log.lines_left == 0 {
            return;
        }
        let Some(job) = self.jobs.get_mut(&unit.job) else {
            return;
        };
        if !is_due(job.wait.room_logged_at, now) {
            return;
        }
        job.wait.room_logged_at = Some(now);
        self.wait_log.lines_left -= 1;
        let unanswered = job.wait.unanswered_starts;
        let runs = JobRuns::of(job);
        let tasks = unit.tasks.iter().filter_map(|id| job.subtask(id));
        let attempts = tasks.map(|t| t.attempt).max().unwrap_or_default();
        let name = job.accepted.queue.clone();
        let queue = self.config.queue(&name);
        let open = || candidates.all.iter().filter(|c| !c.is_held_off);
        let free: u64 = open().map(|c| c.free.accelerators).sum();
        let search = self.search(unit, step, service, now);
        let all = self.standings(&search, candidates);
        search.log_locality(candidates);
        log::info!(
            job:% = unit.job, step = unit.step, tasks = unit.tasks.len(), placed, priority = unit.priority,
            accelerators = step.need.accelerators, waited_ms = unit.waited.0, free, reserve = candidates.reserve,
            workers = open().count(), of_service = all.counts.iter().sum::<u32>(),
            fitting = all.fitting, room = all.room, usable = all.of(Standing::Usable),
            queue:% = name, has_queue = queue.is_some(), config = self.config.version,
            evacuated = all.of(Standing::Evacuated), silent = all.of(Standing::Silent), probation = all.of(Standing::Probation),
            backoff = all.of(Standing::Backoff), held_off_ms = all.held_off.map_or(0, |t| t.0),
            draining = all.of(Standing::Draining), no_entry = all.of(Standing::NoEntry),
            full = all.of(Standing::Full), held = all.of(Standing::Held),
            reserved = all.of(Standing::Reserved), isolated = all.of(Standing::Isolated),
            unsuitable = all.of(Standing::Unsuitable), label = all.of(Standing::Label),
            ticket = all.of(Standing::Ticket), limit = all.of(Standing::Limit),
            expected_ms = unit.took.0, objective_ms = unit.objective.0,
            claimed_ms = unit.claimed.map(|t| t.0), guaranteed = unit.guaranteed, attempts, starts = runs.starts, unanswered,
            running = runs.running, stopping = runs.stopping, stopping_ms = runs.stopping_ms(now);
            "batch: waits for room"
        );
    }

    /// Logs the jobs that have runs of which none is known to run, while their orders take over
    /// [`LOG_THRESHOLD`]. Their subtasks do not wait for room.
    pub(crate) fn log_unsettled(&mut self, now: Millis) {
        if now.since(self.wait_log.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.wait_log.checked_at = now;
        let workers = &self.workers;
        let (mut longest, mut lines_left) = (Millis::ZERO, self.wait_log.lines_left);
        for job in self.jobs.open_mut() {
            let runs = JobRuns::of(job);
            if !runs.is_unsettled() {
                job.wait.unsettled_since = None;
                continue;
            }
            let since = *job.wait.unsettled_since.get_or_insert(now);
            let waited = now.since(since);
            longest = longest.max(waited);
            let is_due = is_due(job.wait.orders_logged_at, now);
            if waited < LOG_THRESHOLD || lines_left == 0 || !is_due {
                continue;
            }
            job.wait.orders_logged_at = Some(now);
            lines_left -= 1;
            let on = job.runs().map(|(_, run)| workers.get(&run.worker));
            let silent = on.flatten().filter(|w| w.unresponsive).count();
            let is_of_other_life = |run: &Run| {
                let worker = workers.get(&run.worker);
                worker.is_some_and(|w| w.incarnation != run.incarnation)
            };
            let other_life = job.runs().filter(|(_, run)| is_of_other_life(run)).count();
            let unlisted = job.runs().filter(|(_, run)| !run.listed).count();
            log::info!(
                job:% = job.accepted.id, waited_ms = waited.0, ordered = runs.ordered,
                adopted = runs.adopted, stopping = runs.stopping, stopping_ms = runs.stopping_ms(now),
                awaited = runs.awaited, silent, other_life, unlisted, starts = runs.starts,
                unanswered = job.wait.unanswered_starts;
                "batch: waits for orders"
            );
        }
        self.wait_log.lines_left = lines_left;
        self.record_wait(longest);
    }

    /// Counts a start without an answer.
    pub(crate) fn count_unanswered(&mut self, job: &str, reply: StartReply) {
        if matches!(reply, StartReply::Unknown | StartReply::Closed)
            && let Some(job) = self.jobs.get_mut(job)
        {
            job.wait.unanswered_starts += 1;
        }
    }

    fn standings(&self, search: &Search, candidates: &Candidates) -> Standings {
        let need = search.step.reserved();
        let mut standings = Standings::default();
        // Both lists have the order of the ids.
        let mut open = candidates.all.iter().peekable();
        for (id, worker) in self.workers.iter() {
            while open.next_if(|c| c.worker < *id).is_some() {}
            let candidate = open.next_if(|c| c.worker == *id);
            let service = worker.info.as_ref().map(|i| &i.service);
            if service != Some(search.service) {
                continue;
            }
            let free = worker.free();
            if need.fits_in(free) {
                let limit = search.unit.tasks.len() as u64;
                standings.fitting += 1;
                standings.room += need.count_in(free).min(limit);
                let rest = worker.held_off_until().since(search.now);
                let rest = (rest > Millis::ZERO).then_some(rest);
                standings.held_off = standings.held_off.into_iter().chain(rest).min();
            }
            let standing = search.standing(worker, candidate);
            standings.counts[standing as usize] += 1;
        }
        standings
    }
}

impl Worker {
    fn held_off_by(&self, now: Millis) -> Standing {
        if now < self.probation_until {
            Standing::Probation
        } else {
            Standing::Backoff
        }
    }
}

impl Search<'_> {
    /// Logs what decides whether a unit that prefers a rack still waits for it.
    fn log_locality(&self, candidates: &Candidates) {
        let data_rack = self.step.data_rack.as_ref();
        if data_rack.is_none() && !self.needs_one_rack() {
            return;
        }
        let service = candidates.service(self.service);
        log::info!(
            job:% = self.unit.job, step = self.unit.step, waited_ms = self.unit.waited.0,
            wait_ms = self.locality_wait(candidates).0, data_rack = data_rack.map_or("", |r| r),
            rack_workers = data_rack.map_or(0, |r| candidates.rack(r).len()),
            can_hold = data_rack.is_some_and(|r| self.can_hold(r, candidates)),
            ample_room = service.is_some_and(|s| candidates.has_ample_room(s)),
            half_idle = service.is_some_and(|s| candidates.is_half_idle(s));
            "batch: waits for a rack"
        );
    }

    fn standing(&self, worker: &Worker, candidate: Option<&Candidate>) -> Standing {
        let need = self.step.reserved();
        let Some(candidate) = candidate else {
            return match &worker.info {
                _ if self.scheduler.is_evacuated(worker) => Standing::Evacuated,
                _ if worker.unresponsive => Standing::Silent,
                _ if self.now < worker.held_off_until() => worker.held_off_by(self.now),
                Some(info) if info.draining => Standing::Draining,
                _ => Standing::NoEntry,
            };
        };
        if candidate.is_held_off {
            return worker.held_off_by(self.now);
        }
        let has_label = |label: &Text| worker.has_label(label);
        if !need.fits_in(worker.free()) {
            Standing::Full
        } else if !need.fits_in(candidate.free) {
            Standing::Held
        } else if self.is_reserved(candidate) {
            Standing::Reserved
        } else if !self.is_admitted(candidate) {
            Standing::Isolated
        } else if self.interferes_with(candidate)
            || (self.step.endless && self.has_just_failed(candidate))
        {
            Standing::Unsuitable
        } else if !self.step.label.as_ref().is_none_or(has_label) {
            Standing::Label
        } else if !self.tickets.is_none_or(|t| self.has_ticket(t, candidate)) {
            Standing::Ticket
        } else if self.remaining_limit(candidate) == 0 {
            Standing::Limit
        } else {
            Standing::Usable
        }
    }
}
