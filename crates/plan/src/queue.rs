//! Waiting jobs in classes of equal jobs, and the rank of the classes.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use base::{clock::Millis, name::Name};
use schema::{
    config::TeamKey,
    job::{Phase, StopMode},
    shape::Shape,
};

use crate::{
    jobs::{JobId, JobState},
    plan_cfg::Policy,
    state::{Plan, Step, need},
};

/// Wait that outweighs using the whole fair share once, in minutes.
const SHARE_MINUTES: f64 = 10.0;
/// Wait by which a very short job is ahead of a very long one at weight 0, in minutes.
const SHORT_MINUTES: f64 = 20.0;
/// Wait by which a whole-rack gang is ahead of a single accelerator at weight 1, in minutes.
const LARGE_MINUTES: f64 = 20.0;
/// Expected run time at which half of the bonus for short jobs is left.
const HALF_SHORT: Millis = Millis::from_secs(600);
/// Accelerators of a gang that gets the whole bonus for large gangs.
const LARGE_ACCELERATORS: f64 = 32.0;

/// What makes waiting jobs equal: if one of them finds no place, none does.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClassKey {
    team: Name,
    family: FamilyKey,
}

/// What makes waiting jobs of different teams equal but for their quotas.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct FamilyKey {
    organisation: Name,
    kind: Name,
    shape: Shape,
    run_time_bits: u32,
    urgent: bool,
    never_stopped: bool,
    peak_memory_mb: u32,
    failed_on: Vec<Name>,
}

/// Waiting jobs that are equal, oldest first.
#[derive(Clone, Debug)]
pub struct Class {
    /// Jobs by time of acceptance.
    pub jobs: BTreeSet<(Millis, JobId)>,
    /// Generation of the capacity in which the quota was used up.
    pub blocked_at: u64,
    key: ClassKey,
    family: usize,
}

/// Classes of one family.
#[derive(Clone, Debug)]
struct Family {
    /// Generation of the capacity in which no place was found.
    missed_at: u64,
    classes: usize,
}

/// Outcome of a search for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The job left the queue.
    Placed,
    /// The quota of the team is used up.
    NoQuota,
    /// There is no place.
    NoPlace,
}

/// Position of a class.
pub type ClassId = usize;

/// Waiting jobs.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Classes by position; an empty one is removed from the index and used again.
    pub classes: Vec<Class>,
    index: HashMap<ClassKey, ClassId>,
    free: Vec<ClassId>,
    families: Vec<Family>,
    family_index: HashMap<FamilyKey, usize>,
    free_families: Vec<usize>,
    /// Classes that got a job since the last placement.
    pub fresh: Vec<ClassId>,
    /// Number of waiting jobs.
    pub len: usize,
}

/// Accelerators in use by organisation and by team.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    organisations: BTreeMap<Name, u32>,
    teams: BTreeMap<TeamKey, u32>,
}

impl Usage {
    fn add(&mut self, team: TeamKey, count: u32) {
        *self
            .organisations
            .entry(team.organisation.clone())
            .or_default() += count;
        *self.teams.entry(team).or_default() += count;
    }

    fn subtract(&mut self, team: &TeamKey, count: u32) {
        if let Some(n) = self.organisations.get_mut(&team.organisation) {
            *n = n.saturating_sub(count);
        }
        if let Some(n) = self.teams.get_mut(team) {
            *n = n.saturating_sub(count);
        }
    }
}

impl Queue {
    fn class_of(&mut self, key: ClassKey) -> ClassId {
        if let Some(id) = self.index.get(&key) {
            return *id;
        }
        let class = Class {
            jobs: BTreeSet::new(),
            blocked_at: 0,
            family: self.family_of(&key.family),
            key: key.clone(),
        };
        let id = self.free.pop().unwrap_or(self.classes.len());
        match self.classes.get_mut(id) {
            Some(old) => *old = class,
            None => self.classes.push(class),
        }
        self.index.insert(key, id);
        id
    }

    fn family_of(&mut self, key: &FamilyKey) -> usize {
        if let Some(id) = self.family_index.get(key) {
            self.families[*id].classes += 1;
            return *id;
        }
        let family = Family {
            missed_at: 0,
            classes: 1,
        };
        let id = self.free_families.pop().unwrap_or(self.families.len());
        match self.families.get_mut(id) {
            Some(old) => *old = family,
            None => self.families.push(family),
        }
        self.family_index.insert(key.clone(), id);
        id
    }

    fn remove(&mut self, id: ClassId, job: (Millis, JobId)) {
        if !self.classes[id].jobs.remove(&job) {
            return;
        }
        self.len -= 1;
        if self.classes[id].jobs.is_empty() {
            let class = &self.classes[id];
            self.index.remove(&class.key);
            self.free.push(id);
            self.families[class.family].classes -= 1;
            if self.families[class.family].classes == 0 {
                self.family_index.remove(&class.key.family);
                self.free_families.push(class.family);
            }
        }
    }
}

impl Plan {
    fn class_key(&self, id: JobId) -> ClassKey {
        let rec = &self.jobs.get(id).rec;
        let family = FamilyKey {
            organisation: rec.job.organisation.clone(),
            kind: rec.job.kind.clone(),
            shape: rec.job.shape,
            run_time_bits: rec.job.run_time_ms.0.checked_ilog2().unwrap_or(0),
            urgent: rec.job.urgent,
            never_stopped: rec.job.stop == StopMode::Never,
            peak_memory_mb: rec.peak_memory_mb,
            failed_on: rec.failed_on.clone(),
        };
        ClassKey {
            team: rec.job.team.clone(),
            family,
        }
    }

    /// Whether a class may find a place in the present generation.
    fn is_open(&self, class: &Class) -> bool {
        let missed_at = self.queue.families[class.family].missed_at;
        !class.jobs.is_empty() && class.blocked_at < self.generation && missed_at < self.generation
    }

    /// Tries to place the oldest job of a class and notes a failure for the generation.
    fn try_class(&mut self, step: &mut Step, class: ClassId, id: JobId) -> Outcome {
        let outcome = self.place_job(step, id);
        let generation = self.generation;
        let class = &mut self.queue.classes[class];
        match outcome {
            Outcome::Placed => {}
            Outcome::NoQuota => class.blocked_at = generation,
            Outcome::NoPlace => self.queue.families[class.family].missed_at = generation,
        }
        outcome
    }

    /// Enters a waiting job.
    pub(crate) fn queue_add(&mut self, id: JobId) {
        let class = self.queue.class_of(self.class_key(id));
        let at = self.jobs.get(id).rec.submitted_at;
        if self.queue.classes[class].jobs.insert((at, id)) {
            self.queue.len += 1;
            self.queue.fresh.push(class);
        }
        self.jobs.get_mut(id).class = Some(class);
    }

    /// Removes a job that does not wait any more, or whose class changes.
    pub(crate) fn queue_remove(&mut self, id: JobId) {
        let job = self.jobs.get_mut(id);
        if let Some(class) = job.class.take() {
            let at = job.rec.submitted_at;
            self.queue.remove(class, (at, id));
        }
    }

    /// Notes that capacity became free or changed: blocked classes are tried again.
    pub(crate) fn capacity_changed(&mut self) {
        self.generation += 1;
    }

    fn team_of(&self, id: JobId) -> TeamKey {
        let job = &self.jobs.get(id).rec.job;
        TeamKey {
            organisation: job.organisation.clone(),
            team: job.team.clone(),
        }
    }

    /// Counts the job's accelerators as in use, or as free again.
    pub(crate) fn count_usage(&mut self, id: JobId, add: bool) {
        let count = self.jobs.get(id).rec.job.shape.total_accelerators();
        let team = self.team_of(id);
        if add {
            self.usage.add(team, count);
        } else {
            self.usage.subtract(&team, count);
        }
    }

    /// Returns whether the job's team has quota left for it. A team without a record has no
    /// limit.
    pub(crate) fn has_quota(&self, id: JobId) -> bool {
        let team = self.team_of(id);
        let Some(quota) = self.config.teams.get(&team) else {
            return true;
        };
        let used = self.usage.teams.get(&team).copied().unwrap_or(0);
        let wanted = self.jobs.get(id).rec.job.shape.total_accelerators();
        used + wanted <= quota.quota_accelerators
    }

    /// Returns all jobs that wait, in the queue or for a claim.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = JobId> {
        let queued = self.queue.classes.iter().flat_map(|c| &c.jobs);
        queued
            .map(|(_, id)| *id)
            .chain(self.pending.iter().copied())
    }

    /// Returns the classes that may find a place, best first.
    pub(crate) fn ranked(&self, now: Millis) -> Vec<ClassId> {
        let mut shares: Vec<(&Name, f64)> = Vec::new();
        let mut ranked: Vec<(bool, f64, ClassId)> = Vec::new();
        for (id, class) in self.queue.classes.iter().enumerate() {
            if !self.is_open(class) {
                continue;
            }
            let organisation = &class.key.family.organisation;
            let known = shares.iter().find(|(name, _)| *name == organisation);
            let share = known.map_or_else(|| self.share_used(organisation), |(_, s)| *s);
            if known.is_none() {
                shares.push((organisation, share));
            }
            let rank = self.rank(now, class, share);
            ranked.push((!class.key.family.urgent, -rank, id));
        }
        ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        ranked.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Rank of a class, in minutes of wait of its oldest job.
    ///
    /// The terms beside the wait are bounded, so every job's rank passes all later ones.
    fn rank(&self, now: Millis, class: &Class, share_used: f64) -> f64 {
        let oldest = class.jobs.first().map_or(now, |(at, _)| *at);
        let wait = now.since(oldest).0 as f64 / 60_000.0;
        if self.cfg.policy != Policy::Full {
            return wait;
        }
        let weight = self.weight();
        let run_time = (1_u64 << class.key.family.run_time_bits.min(40)) as f64;
        let short = 1.0 / (1.0 + run_time / HALF_SHORT.0 as f64);
        let large = f64::from(class.key.family.shape.total_accelerators()) / LARGE_ACCELERATORS;
        wait + (1.0 - weight) * SHORT_MINUTES * short + weight * LARGE_MINUTES * large.min(1.0)
            - SHARE_MINUTES * share_used
    }

    /// Weight of fragmentation against completion time, 0 to 1.
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.config.placement.fragmentation_percent.min(100)) / 100.0
    }

    /// Part of its fair share that an organisation uses, at most 4.
    pub(crate) fn share_used(&self, organisation: &Name) -> f64 {
        let weight = |w: u32| f64::from(w.max(1));
        let own = self.config.organisations.get(organisation);
        let share = weight(own.map_or(1, |o| o.weight)) / self.total_weight.max(1.0);
        let used = self.usage.organisations.get(organisation).copied();
        let fair = share * self.total_accelerators.max(1.0);
        (f64::from(used.unwrap_or(0)) / fair).min(4.0)
    }

    /// Recomputes the sums on which fair shares rest.
    pub(crate) fn count_totals(&mut self) {
        let weights = self.config.organisations.values().map(|o| o.weight.max(1));
        self.total_weight = weights.map(f64::from).sum();
        let capacity = self.workers.list.iter().map(|w| w.capacity().accelerators);
        self.total_accelerators = capacity.map(f64::from).sum();
    }

    /// Places waiting jobs, best rank first, within the limits of one decision.
    pub(crate) fn place(&mut self, step: &mut Step) {
        self.locate_all();
        self.serve_pending(step);
        if self.queue.len == 0 {
            return;
        }
        if self.tried_at == self.generation {
            return self.place_new(step);
        }
        self.queue.fresh.clear();
        let mut tries = self.cfg.max_tries;
        for class in self.ranked(step.now) {
            while let Some((_, id)) = self.queue.classes[class].jobs.first().copied() {
                if tries == 0 || step.changed.len() >= self.cfg.max_records {
                    return;
                }
                if !self.is_open(&self.queue.classes[class]) {
                    break;
                }
                tries -= 1;
                if self.try_class(step, class, id) != Outcome::Placed {
                    break;
                }
            }
        }
        self.tried_at = self.generation;
    }

    /// Places the jobs of classes that are new since all classes were tried.
    fn place_new(&mut self, step: &mut Step) {
        for class in std::mem::take(&mut self.queue.fresh) {
            let Some((_, id)) = self.queue.classes[class].jobs.first().copied() else {
                continue;
            };
            if self.is_open(&self.queue.classes[class]) {
                self.try_class(step, class, id);
            }
        }
    }

    /// Finds a place for a waiting job.
    fn place_job(&mut self, step: &mut Step, id: JobId) -> Outcome {
        debug_assert_eq!(self.jobs.get(id).rec.phase, Phase::Waiting);
        if !self.has_quota(id) {
            return Outcome::NoQuota;
        }
        self.charge(id);
        if self.claim_free(step, id) {
            return Outcome::Placed;
        }
        if let Some(members) = self.find_borrowed(step, id) {
            self.jobs.get_mut(id).rec.borrowed = true;
            self.hold(step, id, members);
            return Outcome::Placed;
        }
        let job = self.jobs.get(id);
        let waited = step.now.since(job.rec.submitted_at) >= self.cfg.reclaim_after;
        if (job.rec.job.urgent || waited) && self.reclaim(step, id) {
            return Outcome::Placed;
        }
        if self.preempt(step, id) {
            return Outcome::Placed;
        }
        Outcome::NoPlace
    }

    /// Returns the expected end of a running job, or of a waiting job that starts now.
    pub(crate) fn expected_end(&self, now: Millis, id: JobId) -> Millis {
        let JobState { rec, expected, .. } = self.jobs.get(id);
        let total = if rec.members.is_empty() {
            self.expected_run_time(id)
        } else {
            *expected
        };
        let left = total.since(rec.completed_ms);
        if rec.started_at == Millis::ZERO {
            return now + left;
        }
        let end = rec.started_at + left;
        if end > now {
            return end;
        }
        // A job beyond its expected end is taken to run on for half of its present run time.
        now + Millis(now.since(rec.started_at).0 / 2)
    }

    /// Resources of each member and the number of members.
    pub(crate) fn gang_of(&self, id: JobId) -> (crate::amount::Amount, u16) {
        let job = self.jobs.get(id);
        (need(job), job.rec.job.shape.members)
    }
}
