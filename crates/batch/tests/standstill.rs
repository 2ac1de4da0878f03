//! Work in a calm fleet after histories of restarts under old ids, lost answers, takeovers and changes
//! of queues: a job whose turn has come does not stand while there is room for it.

mod fleet;
mod histories;

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    config::Config,
    job::{Resources, Step, SubtaskId, Text},
    progress::Phase,
    worker::{Action, Report, Running, StartReply},
};
use histories::{InFlight, SERVICES, WORKERS, World};
use quickcheck::{Gen, QuickCheck};

const ACCELERATORS: u64 = 8;
const TICK: Millis = Millis(50);
/// Times with troubles, and after them.
const TROUBLE: Millis = Millis(30_000);
const CALM: Millis = Millis(30_000);
/// Number of histories.
const HISTORIES: u64 = 400;
/// Time after the troubles from which stands count, and their maximum.
const JUDGED_AFTER: Millis = Millis(4_000);
const MAX_STAND: Millis = Millis(3_000);
/// Interval of renewals, of reads of the VM list, and of the entries in it.
const RENEWAL: Millis = Millis(500);
const LIST: Millis = Millis(800);
const HEARTBEAT: Millis = Millis(1_500);
/// Time by which a worker that does not answer has no lease, and the leader knows it.
const LEASE: Millis = Millis(6_300);

impl World {
    fn renew_all(&mut self) {
        let now = self.fleet.now;
        for i in 0..WORKERS {
            let id = self.fleet.infos[i].id.clone();
            if !self.fleet.scheduler.is_in_use(&id) {
                if self.machines[i].has_outage {
                    self.machines[i].has_outage = false;
                    self.fleet.scheduler.set_responding(&id, true, now);
                }
                continue;
            }
            if now.since(self.machines[i].renewed_at) < RENEWAL {
                continue;
            }
            if !self.is_reachable(i) {
                if now.since(self.machines[i].renewed_at) > Millis(1_500) {
                    let alive = self.machines[i].renewed_at;
                    self.lose(i, alive);
                }
                let granted = self.machines[i]
                    .granted_until
                    .max(self.machines[i].renewed_at + LEASE);
                if now > granted {
                    self.fleet.scheduler.handle_lease_expiry(&id, now);
                }
                continue;
            }
            self.report(i);
        }
    }

    fn report(&mut self, i: usize) {
        let (now, id) = (self.fleet.now, self.fleet.infos[i].id.clone());
        let stored = self.fleet.scheduler.stored_seq(&id);
        let incarnation = self.machines[i].life.incarnation;
        let acked = stored
            .filter(|(of, _)| *of == incarnation)
            .map_or(0, |s| s.1);
        self.acknowledge(i, acked);
        let machine = &mut self.machines[i];
        machine.renewed_at = now;
        machine.life.lease_end = now + Millis(6_000);
        let life = &machine.life;
        let running = life.running.iter().map(|(task, run)| Running {
            task: task.clone(),
            attempt: run.attempt,
            checkpoint: Text::default(),
            percent: 10,
        });
        let report = Report {
            clock: now.since(life.born) + Millis(1),
            incarnation,
            running: running.collect(),
            finished: life.finished.clone(),
            is_complete: true,
        };
        let had_outage = std::mem::take(&mut machine.has_outage);
        let sent = Millis(now.0 - 5);
        let wall_now = self.fleet.wall();
        let scheduler = &mut self.fleet.scheduler;
        scheduler.handle_report(&id, &report, sent, now, wall_now);
        if had_outage {
            scheduler.set_responding(&id, true, now);
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.fleet.now;
        let due: Vec<InFlight> = self.orders.extract_if(.., |o| o.at <= now).collect();
        for item in due {
            let order = item.order;
            let is_start = matches!(order.action, Action::Start { .. });
            let scheduler = &self.fleet.scheduler;
            let (task, attempt) = (&order.task, order.attempt);
            if item.answers && is_start && !scheduler.is_start_wanted(task, attempt) {
                self.fleet.scheduler.handle_unwanted_start(task, attempt);
                continue;
            }
            if item.answers && !is_start && !scheduler.is_stop_wanted(&order.worker, task, attempt)
            {
                continue;
            }
            let i = self.index(&order.worker);
            let mut reply = StartReply::Unknown;
            if self.is_reachable(i) && !item.is_lost {
                reply = self.carry_out(i, &order);
            } else if item.answers && item.is_lost && self.rng.bool() {
                let at = now + Millis(self.rng.u64(100..3_000));
                let order = order.clone();
                self.orders.push(InFlight {
                    at,
                    order,
                    is_lost: false,
                    answers: false,
                });
            }
            if !item.answers {
                continue;
            }
            if !self.is_calm() && self.chance(10) {
                reply = StartReply::Unknown;
            }
            if reply == StartReply::Unknown && !self.is_reachable(i) && self.rng.bool() {
                reply = StartReply::Closed;
            }
            let scheduler = &mut self.fleet.scheduler;
            match order.action {
                Action::Start { .. } => scheduler.handle_start_reply(task, attempt, reply, now),
                Action::Stop if reply == StartReply::Taken => {
                    if scheduler.handle_stop_reply(task, attempt, now) {
                        self.fleet.advance(6);
                        self.report(i);
                    }
                }
                Action::Stop => {
                    scheduler.handle_unanswered_stop(task, attempt, now);
                    if self.is_reachable(i) && self.fleet.scheduler.runs_on(&order.worker) > 0 {
                        self.report(i);
                    }
                }
            }
        }
    }

    fn plan(&mut self) {
        let orders = self.fleet.plan().orders;
        for order in orders {
            let at = self.fleet.now + Millis(self.rng.u64(5..120));
            let is_lost = !self.is_calm() && self.chance(12);
            self.orders.push(InFlight {
                at,
                order,
                is_lost,
                answers: true,
            });
        }
    }

    fn read_list(&mut self) {
        let now = self.fleet.now;
        for i in 0..WORKERS {
            let machine = &mut self.machines[i];
            if machine.down_until.is_none() && now.since(machine.entry_at) >= HEARTBEAT {
                machine.entry_at = now;
                let info = &mut self.fleet.infos[i];
                info.incarnation = machine.life.incarnation;
                info.clock = now.since(machine.life.born) + Millis(1);
            }
        }
        if now.since(self.list_at) >= LIST {
            self.list_at = now;
            let infos = self.fleet.infos.clone();
            self.fleet.scheduler.replace_vm_list(infos, now);
        }
    }

    fn change_queues(&mut self, is_last: bool) {
        self.version += 1;
        let mut config: Config = fleet::config();
        config.version = self.version;
        self.services = [SERVICES[0]; 3];
        if !is_last {
            for (queue, service) in config.queues.iter_mut().zip(&mut self.services) {
                *service = SERVICES[usize::from(self.rng.u8(..4) == 0)];
                queue.service = (*service).into();
            }
            for queue in &mut config.queues {
                if self.rng.u8(..3) == 0 {
                    queue.priority = self.rng.u32(0..3);
                }
                queue.max_attempts = 20;
                queue.slack_factor = self.rng.f64() * 5.0;
            }
            let kept = [(); 3].map(|()| self.rng.u8(..4) > 0);
            for (service, _) in self.services.iter_mut().zip(kept).filter(|(_, k)| !k) {
                *service = SERVICES[0];
            }
            let mut kept = kept.into_iter();
            config.queues.retain(|_| kept.next() == Some(true));
            for organisation in &mut config.organisations {
                organisation.guaranteed_accelerators = self.rng.u64(0..64);
            }
        }
        self.fleet.scheduler.configure(&Rc::new(config));
    }

    fn trouble(&mut self) {
        if self.chance(14) {
            let count = self.rng.usize(1..=WORKERS);
            for i in self.rng.choose_multiple(0..WORKERS, count) {
                self.crash(i);
            }
        }
        if self.chance(20) {
            let i = self.rng.usize(..WORKERS);
            self.crash(i);
        }
        if self.chance(60) {
            let until = self.fleet.now + Millis(self.rng.u64(200..9_000));
            let count = self.rng.usize(1..=4);
            for i in self.rng.choose_multiple(0..WORKERS, count) {
                self.machines[i].cut_until = until;
            }
        }
        if self.chance(40) {
            self.change_queues(false);
        }
        if self.chance(200) {
            self.orders.retain(|o| !o.answers);
            self.fleet.restart();
            for machine in &mut self.machines {
                machine.has_outage = false;
                machine.granted_until = self.fleet.now + LEASE;
            }
            self.change_queues(false);
        }
    }

    fn tick(&mut self) {
        self.fleet.now += TICK;
        let now = self.fleet.now;
        for machine in &mut self.machines {
            machine.down_until.take_if(|t| *t <= now);
        }
        self.end_due_runs();
        if !self.is_calm() {
            self.trouble();
        }
        self.read_list();
        self.deliver_orders();
        self.renew_all();
        if now.0 % 100 < TICK.0 {
            self.plan();
        }
    }

    /// Returns whether a subtask of a job could run: nothing of the job runs, and there is room.
    fn stands(&self, job: &Text, steps: &[Step]) -> bool {
        if self.fleet.scheduler.phase(job).is_none_or(Phase::is_final) {
            return false;
        }
        let all = self.machines.iter().flat_map(|m| m.life.running.keys());
        if all.clone().any(|t| t.job == *job) {
            return false;
        }
        let finished = self.machines.iter().flat_map(|m| &m.life.finished);
        if finished.clone().any(|f| f.task.job == *job) {
            return false;
        }
        let is_done = |s: usize| {
            let task = |index| SubtaskId {
                job: job.clone(),
                occurrence: 0,
                step: s,
                index,
            };
            (0..steps[s].count as usize).all(|i| self.done.contains(&task(i)))
        };
        let open = (0..steps.len()).find(|s| !is_done(*s));
        let Some(step) = open.map(|s| &steps[s]) else {
            return false;
        };
        let (mut used, mut places) = (0, 0);
        let service = self.services[self.queues[job] as usize];
        let of_service = self.fleet.infos.iter().zip(&self.machines);
        let of_service = of_service.filter(|(info, _)| &*info.service == service);
        for (_, machine) in of_service {
            let runs = machine.life.running.keys();
            let needs: Vec<Resources> = runs.map(|t| self.steps[&t.job][t.step].need).collect();
            let taken: u64 = needs.iter().map(|n| n.accelerators).sum();
            used += taken;
            places += (ACCELERATORS - taken) / step.need.accelerators;
        }
        let wanted = if step.gang { u64::from(step.count) } else { 1 };
        used * 2 < ACCELERATORS * WORKERS as u64 / 2 && places >= 2 * wanted
    }

    fn judge(&mut self, seed: u64, judged_from: Millis) -> Option<String> {
        let now = self.fleet.now;
        for (job, steps) in &self.steps {
            if now < judged_from || !self.stands(job, steps) {
                self.standing.remove(job);
                continue;
            }
            let since = *self.standing.entry(job.clone()).or_insert(now);
            if now.since(since) >= MAX_STAND {
                return Some(format!(
                    "seed {seed}: job {job} stands from {since} to {now}, {steps:?}"
                ));
            }
        }
        None
    }
}

/// Plays a history; returns what stands.
fn play(seed: u64) -> Option<String> {
    let mut world = World::new(seed);
    let end = world.fleet.now + TROUBLE;
    let mut n = 0;
    while world.fleet.now < end {
        if world.chance(10) {
            n += 1;
            world.submit(n);
        }
        world.tick();
    }
    world.calm_from = Some(end);
    for machine in &mut world.machines {
        machine.cut_until = Millis::ZERO;
    }
    let has_all_queues = world.rng.bool();
    world.change_queues(has_all_queues);
    while world.fleet.now < end + CALM {
        world.tick();
        let text = world.judge(seed, end + JUDGED_AFTER);
        if text.is_some() {
            return text;
        }
    }
    None
}

/// Guards against jobs that stand beside room after restarts of workers under their old ids, cuts, lost
/// answers, takeovers and changes of queues.
#[test]
fn no_job_stands_beside_room_after_any_history() {
    fn property(seed: u64) {
        assert_eq!(play(seed), None);
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 53))
        .tests(HISTORIES)
        .quickcheck(property as fn(u64));
}
