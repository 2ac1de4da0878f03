//! Placement of subtasks on workers.

use base::clock::Millis;

use crate::{
    candidates::{Candidates, FreeAt, SHORT_WAIT},
    config::URGENT_PRIORITY,
    isolation::Isolation,
    job::{Step, SubtaskId, Text},
    placement_forecast::PlacementForecast,
    preemption::Claim,
    progress::{Phase, Run, RunState},
    ranking::Unit,
    scheduler::JobScheduler,
    shortage::MeanWork,
    victims::Victims,
};

/// Time that urgent work waits for free resources before it preempts other work. Urgent runs are
/// short, so one of them often ends in that time.
const PREEMPT_AFTER: Millis = Millis(100);
/// Maximum wait of urgent work for workers that are not slow. It has to start within 2.9 s at the
/// strictest and may have to preempt other work in that time.
const MAX_SPEED_WAIT: Millis = Millis(1_500);
/// Maximum number of gangs that hold resources in one pass. Each leaves accelerators unused until
/// it can start.
const MAX_HOLDING_UNITS: usize = 10;

/// State of one scheduling pass.
pub(crate) struct Pass {
    pub(crate) candidates: Candidates,
    /// Sorted names of the organisations whose urgent work is within their guarantee.
    pub(crate) within_guarantee: Vec<Text>,
    /// Runs that may be preempted; collected when the first unit needs them.
    pub(crate) victims: Option<Victims>,
    /// Mean work of the jobs of each queue; computed when it is first needed.
    pub(crate) mean_work: Option<MeanWork>,
    pub(crate) now: Millis,
}

impl JobScheduler {
    /// Runs one scheduling pass: starts the units that fit, in order of rank. Urgent units that
    /// don't fit preempt other work.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().place(Millis(1), Millis(1));
    /// ```
    pub fn place(&mut self, now: Millis, wall_now: Millis) {
        self.explain_losses(now, wall_now);
        self.forecast.update(now);
        let within_guarantee = self.organisations_within_guarantee();
        self.mark_considered(now);
        self.end_lapsed_claims(now);
        self.renew_wait_lines();
        self.log_unsettled(now);
        let mut units = self.units(&within_guarantee, now, wall_now);
        if units.is_empty() {
            self.end_shortages(now);
            return;
        }
        self.end_shared_probation(now);
        self.note_typical_work(&units);
        let reserve = self.reserve(now, wall_now);
        let mut pass = Pass {
            candidates: self.candidates(now),
            within_guarantee,
            victims: None,
            mean_work: None,
            now,
        };
        self.slow_workers = pass.candidates.slow_workers();
        self.order_by_cost(&mut units, &mut pass);
        pass.candidates.reserve_for_urgent(reserve);
        self.policy_calls.advance(now);
        let mut starts = 0;
        let max_starts = self.max_starts.unwrap_or(usize::MAX);
        self.hold_quiet_workers(&units, &mut pass);
        for mut unit in units {
            // A start that can't be sent soon would only hold resources.
            if starts >= max_starts && unit.priority != URGENT_PRIORITY {
                continue;
            }
            let orders = self.orders.len();
            unit.preference = self.preference_of(&unit, &pass.candidates, wall_now);
            self.place_unit(&unit, &mut pass, wall_now);
            starts += self.orders.len() - orders;
        }
        self.send_later_requests(now);
    }

    fn place_unit(&mut self, unit: &Unit, pass: &mut Pass, wall_now: Millis) {
        let Some(job) = self.jobs.get(&unit.job) else {
            return;
        };
        let step = job.accepted.spec.steps[unit.step].clone();
        let queue = self.config.queue(&job.accepted.queue);
        let service = queue.map_or(&job.accepted.service, |q| &q.service).clone();
        let (candidates, now) = (&mut pass.candidates, pass.now);
        let search = self.search(unit, &step, &service, now);
        let found = search.find(candidates, FreeAt::Now);
        let forecast = self.placement_forecast(unit, &step, candidates, &found);
        let mut placed = Vec::with_capacity(found.len());
        for (id, candidate) in unit.tasks.iter().zip(&found) {
            let worker = candidates.all[*candidate].worker.clone();
            candidates.all[*candidate].take(step.reserved());
            let subtask = self.subtask(id);
            let isolation = subtask.map_or(Isolation::None, |t| t.isolation(now));
            candidates.isolate(*candidate, |state| {
                state.add_run(isolation, Millis::ZERO, step.endless);
            });
            if let Some(attempt) = self.start(id, worker.clone(), &forecast, now, wall_now) {
                placed.push(format!("{}#{attempt}@{worker}", id.index));
            }
        }
        if !placed.is_empty() {
            // One line per unit, because one per subtask of a large step would flood the log.
            log::info!(
                job:% = unit.job, occurrence = unit.tasks[0].occurrence, step = unit.step,
                waited_ms = unit.waited.0, tasks = placed.join(" "),
                slowness = hundredths(forecast.slowness.factor),
                confidence = hundredths(forecast.slowness.confidence),
                expected_ms = forecast.run_time.0;
                "batch: placed"
            );
            self.record_typical(unit, &step);
        }
        if found.len() == unit.tasks.len() {
            return;
        }
        let mut rest = unit.clone();
        rest.tasks.drain(..found.len());
        if unit.priority == URGENT_PRIORITY && unit.preference.excludes_slow() {
            let covered = self.wait_for_faster(&rest, &step, &service, pass);
            rest.tasks.drain(..covered);
            if !rest.tasks.is_empty() {
                rest.preference.allow_slow();
                return self.place_unit(&rest, pass, wall_now);
            }
            let candidates = &pass.candidates;
            self.log_waiting(unit, found.len(), (&step, &service), candidates, now);
            return self.request_tickets(unit, &step, &service, &mut pass.candidates, now);
        }
        let candidates = &mut pass.candidates;
        self.wait_for_isolation(&rest, &step, &service, candidates, now);
        self.log_waiting(unit, found.len(), (&step, &service), candidates, now);
        self.request_tickets(unit, &step, &service, candidates, now);
        if step.endless {
            self.note_idle(&rest, now);
        }
        let candidates = &mut pass.candidates;
        let search = self.search(&rest, &step, &service, now);
        let has_to_restart = unit.has_to_restart() && !search.usable(candidates).is_empty();
        if unit.priority != URGENT_PRIORITY && !has_to_restart {
            return self.hold_capacity(unit, &step, &service, candidates, now);
        }
        let may_stop = unit.waited >= PREEMPT_AFTER;
        let claim = self.preempt_for(&rest, &step, &service, pass, may_stop);
        if claim == Claim::NoGain {
            // Without a stop the unit starts when runs have ended, which other work must not replace.
            self.hold_capacity(&rest, &step, &service, &mut pass.candidates, now);
        }
    }

    /// Holds resources of workers that are not slow for an urgent unit, and preempts other work there.
    /// Without such work, the unit waits for runs that end shortly, if it ends sooner then than on slow
    /// workers. Returns for how many of its subtasks there will be room.
    fn wait_for_faster(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        pass: &mut Pass,
    ) -> usize {
        // Only the first steps of a job wait since its submission.
        let is_first = step.after.is_empty();
        let waited = self.speed_wait(unit, pass.now);
        if waited >= MAX_SPEED_WAIT || (is_first && unit.waited >= MAX_SPEED_WAIT) {
            return 0;
        }
        let may_stop = unit.waited >= PREEMPT_AFTER;
        let claim = self.preempt_for(unit, step, service, pass, may_stop);
        let covered = claim.covered();
        if covered > 0 || !unit.preference.gains_by_waiting(SHORT_WAIT) {
            return covered;
        }
        let search = self.search(unit, step, service, pass.now);
        let found = search.find(&mut pass.candidates, FreeAt::Shortly);
        for candidate in &found {
            pass.candidates.all[*candidate].take(step.reserved());
        }
        found.len()
    }

    /// Returns how long a unit has waited for workers that are not slow, from now on if it has not yet.
    fn speed_wait(&mut self, unit: &Unit, now: Millis) -> Millis {
        let mut longest = Millis::ZERO;
        for id in &unit.tasks {
            if let Some(task) = self.subtask_mut(id) {
                let since = *task.avoids_slow_since.get_or_insert(now);
                longest = longest.max(now.since(since));
            }
        }
        longest
    }

    /// Holds resources for a gang that waits for runs to end soon. Otherwise small units would take
    /// each accelerator that becomes free, and the gang would never start.
    fn hold_capacity(
        &self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        candidates: &mut Candidates,
        now: Millis,
    ) {
        if !unit.all_or_nothing
            || !unit.rank.is_in_time()
            || candidates.holding_units >= MAX_HOLDING_UNITS
        {
            return;
        }
        let search = self.search(unit, step, service, now);
        let found = search.find(candidates, FreeAt::Soon);
        candidates.holding_units += usize::from(!found.is_empty());
        for candidate in found {
            candidates.all[candidate].take(step.reserved());
        }
    }

    /// Starts a subtask and returns its attempt number.
    fn start(
        &mut self,
        id: &SubtaskId,
        worker: Text,
        forecast: &PlacementForecast,
        now: Millis,
        wall_now: Millis,
    ) -> Option<u32> {
        let job = self.jobs.get_mut(&id.job)?;
        let step = &job.accepted.spec.steps[id.step];
        let need = step.reserved();
        let occurrence = &mut job.progress.occurrences[id.occurrence as usize];
        occurrence.claimed_at = None;
        let tasks = &mut occurrence.steps[id.step];
        if step.gang && id.index == 0 {
            // All members of a gang start with the same attempt number and checkpoint.
            let attempt = tasks.iter().map(|t| t.attempt).max().unwrap_or(0);
            let newest = tasks.iter().map(|t| &t.checkpoint).find(|c| !c.is_empty());
            let checkpoint = newest.cloned().unwrap_or_default();
            for task in tasks.iter_mut() {
                task.attempt = attempt;
                task.checkpoint = checkpoint.clone();
            }
        }
        let w = self.workers.get_mut(&worker)?;
        let task = &mut tasks[id.index];
        task.attempt += 1;
        task.avoids_slow_since = None;
        let attempt = task.attempt;
        let isolation = task.isolation(now);
        task.idle_since = None;
        let has_waited = task.isolation_wait.take().is_some();
        if has_waited && isolation < Isolation::of(task.crashes) {
            log::info!(task:% = id, crashes = task.crashes, worker:%; "batch: shares a worker after its wait");
        }
        task.run = Some(Run {
            worker: worker.clone(),
            incarnation: w.incarnation,
            state: RunState::Ordered,
            isolation: Some(isolation),
            placed_at: Some(now),
            answered_at: None,
            taken_at: None,
            began_at: None,
            // A run that continues from a checkpoint has less to do.
            expected: (forecast.measures_speed && task.checkpoint.is_empty())
                .then_some(forecast.run_time),
            closed_start: None,
            stop_ordered_at: None,
            stop_order: None,
            ordered_at: now,
            percent: 0,
            percent_at: now,
            awaits_reply: false,
            unsent_starts: 0,
            unanswered_starts: 0,
            has_lost_start: false,
            listed: false,
        });
        w.add_run(id.clone(), need);
        let queue = self.config.queue(&job.accepted.queue);
        if let Some(queue) = queue {
            job.progress.max_attempts = Some(queue.max_attempts);
        }
        if job.progress.phase == Phase::Queued {
            job.progress.phase = Phase::Running;
            job.progress.at = wall_now;
            let priority = queue.map_or(u32::MAX, |q| q.priority);
            self.started_jobs
                .push((priority, wall_now.since(job.accepted.at)));
        }
        self.placed += 1;
        self.dirty.push(id.job.clone());
        self.order_start(id, now);
        Some(attempt)
    }
}

/// Returns a value for a log line, rounded to hundredths.
fn hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
