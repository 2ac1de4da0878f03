//! Queue of waiting jobs, grouped into equivalence classes, and the ranking of the classes.

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
    state::{Plan, Step, member_need},
};

/// Wait that outweighs the use of one whole fair share, in minutes.
const SHARE_PENALTY_MINUTES: f64 = 10.0;
/// Head start of a very short job over a very long one at fragmentation weight 0, in minutes.
const SHORT_BONUS_MINUTES: f64 = 20.0;
/// Head start of a whole-rack gang over a single accelerator at fragmentation weight 1, in minutes.
const LARGE_BONUS_MINUTES: f64 = 20.0;
/// Run time at which the bonus for short jobs is halved.
const SHORT_BONUS_HALF_RUN_TIME: Millis = Millis::from_secs(600);
/// Number of accelerators from which a gang gets the full bonus for large gangs.
const LARGE_BONUS_ACCELERATORS: f64 = 32.0;

/// Key of an equivalence class: if one job of the class finds no place, none of them does.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClassKey {
    team: Name,
    requirements: Requirements,
}

/// Properties that decide where a job fits. Classes of different teams with equal requirements
/// differ only in their quotas.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Requirements {
    organisation: Name,
    kind: Name,
    shape: Shape,
    run_time_log2: u32,
    urgent: bool,
    never_stopped: bool,
    peak_memory_mb: u32,
    failed_on: Vec<Name>,
}

/// Equivalence class of waiting jobs.
#[derive(Clone, Debug)]
pub struct Class {
    /// Jobs by submission time, oldest first.
    pub jobs: BTreeSet<(Millis, JobId)>,
    /// Generation in which the quota was used up.
    pub no_quota_at: u64,
    key: ClassKey,
    group: usize,
}

/// Search state that is shared by all classes with equal requirements.
#[derive(Clone, Debug)]
struct RequirementsGroup {
    /// Generation in which no place was found.
    no_place_at: u64,
    classes: usize,
}

/// Outcome of a search for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementOutcome {
    /// The job left the queue.
    Placed,
    /// The quota of the team is used up.
    NoQuota,
    /// No place was found.
    NoPlace,
}

/// Index of a class in the queue.
pub type ClassId = usize;

/// Waiting jobs by equivalence class.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Classes by index; the index of an empty class is reused.
    pub classes: Vec<Class>,
    class_index: HashMap<ClassKey, ClassId>,
    free_classes: Vec<ClassId>,
    groups: Vec<RequirementsGroup>,
    group_index: HashMap<Requirements, usize>,
    free_groups: Vec<usize>,
    /// Classes that received a job since the last placement pass.
    pub added: Vec<ClassId>,
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
    fn find_or_insert_class(&mut self, key: ClassKey) -> ClassId {
        if let Some(id) = self.class_index.get(&key) {
            return *id;
        }
        let class = Class {
            jobs: BTreeSet::new(),
            no_quota_at: 0,
            group: self.find_or_insert_group(&key.requirements),
            key: key.clone(),
        };
        let id = self.free_classes.pop().unwrap_or(self.classes.len());
        match self.classes.get_mut(id) {
            Some(old) => *old = class,
            None => self.classes.push(class),
        }
        self.class_index.insert(key, id);
        id
    }

    fn find_or_insert_group(&mut self, key: &Requirements) -> usize {
        if let Some(id) = self.group_index.get(key) {
            self.groups[*id].classes += 1;
            return *id;
        }
        let group = RequirementsGroup {
            no_place_at: 0,
            classes: 1,
        };
        let id = self.free_groups.pop().unwrap_or(self.groups.len());
        match self.groups.get_mut(id) {
            Some(old) => *old = group,
            None => self.groups.push(group),
        }
        self.group_index.insert(key.clone(), id);
        id
    }

    fn remove(&mut self, id: ClassId, job: (Millis, JobId)) {
        if !self.classes[id].jobs.remove(&job) {
            return;
        }
        self.len -= 1;
        if self.classes[id].jobs.is_empty() {
            let class = &self.classes[id];
            self.class_index.remove(&class.key);
            self.free_classes.push(id);
            self.groups[class.group].classes -= 1;
            if self.groups[class.group].classes == 0 {
                self.group_index.remove(&class.key.requirements);
                self.free_groups.push(class.group);
            }
        }
    }
}

impl Plan {
    fn class_key(&self, id: JobId) -> ClassKey {
        let rec = &self.jobs.get(id).rec;
        let requirements = Requirements {
            organisation: rec.job.organisation.clone(),
            kind: rec.job.kind.clone(),
            shape: rec.job.shape,
            run_time_log2: rec.job.run_time_ms.0.checked_ilog2().unwrap_or(0),
            urgent: rec.job.urgent,
            never_stopped: rec.job.stop == StopMode::Never,
            peak_memory_mb: rec.peak_memory_mb,
            failed_on: rec.failed_on.clone(),
        };
        ClassKey {
            team: rec.job.team.clone(),
            requirements,
        }
    }

    /// Returns whether a class may find a place in the current generation.
    fn is_eligible(&self, class: &Class) -> bool {
        let no_place_at = self.queue.groups[class.group].no_place_at;
        !class.jobs.is_empty()
            && class.no_quota_at < self.generation
            && no_place_at < self.generation
    }

    /// Tries to place the oldest job of a class, and records a failure for the current generation.
    fn try_class(&mut self, step: &mut Step, class: ClassId, id: JobId) -> PlacementOutcome {
        let outcome = self.place_job(step, id);
        let generation = self.generation;
        let class = &mut self.queue.classes[class];
        match outcome {
            PlacementOutcome::Placed => {}
            PlacementOutcome::NoQuota => class.no_quota_at = generation,
            PlacementOutcome::NoPlace => self.queue.groups[class.group].no_place_at = generation,
        }
        outcome
    }

    /// Adds a waiting job to the queue.
    pub(crate) fn queue_add(&mut self, id: JobId) {
        let class = self.queue.find_or_insert_class(self.class_key(id));
        let at = self.jobs.get(id).rec.submitted_at;
        if self.queue.classes[class].jobs.insert((at, id)) {
            self.queue.len += 1;
            self.queue.added.push(class);
        }
        self.jobs.get_mut(id).class = Some(class);
    }

    /// Removes a job that no longer waits or whose class changes.
    pub(crate) fn queue_remove(&mut self, id: JobId) {
        let job = self.jobs.get_mut(id);
        if let Some(class) = job.class.take() {
            let at = job.rec.submitted_at;
            self.queue.remove(class, (at, id));
        }
    }

    /// Starts a new generation after capacity became free or changed, so that all classes are tried
    /// again.
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

    /// Adds the job's accelerators to the usage of its team and organisation, or subtracts them.
    pub(crate) fn count_usage(&mut self, id: JobId, add: bool) {
        let count = self.jobs.get(id).rec.job.shape.total_accelerators();
        let team = self.team_of(id);
        if add {
            self.usage.add(team, count);
        } else {
            self.usage.subtract(&team, count);
        }
    }

    /// Returns whether the remaining quota of the job's team covers the job. A team that is not
    /// configured has no limit.
    pub(crate) fn has_quota(&self, id: JobId) -> bool {
        let team = self.team_of(id);
        let Some(quota) = self.config.teams.get(&team) else {
            return true;
        };
        let used = self.usage.teams.get(&team).copied().unwrap_or(0);
        let wanted = self.jobs.get(id).rec.job.shape.total_accelerators();
        used + wanted <= quota.quota_accelerators
    }

    /// Returns all waiting jobs, both queued and pending.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = JobId> {
        let queued = self.queue.classes.iter().flat_map(|c| &c.jobs);
        queued
            .map(|(_, id)| *id)
            .chain(self.pending.iter().copied())
    }

    /// Returns the classes that may find a place, highest rank first.
    pub(crate) fn ranked(&self, now: Millis) -> Vec<ClassId> {
        let mut shares: Vec<(&Name, f64)> = Vec::new();
        let mut ranked: Vec<(bool, f64, ClassId)> = Vec::new();
        for (id, class) in self.queue.classes.iter().enumerate() {
            if !self.is_eligible(class) {
                continue;
            }
            let organisation = &class.key.requirements.organisation;
            let known = shares.iter().find(|(name, _)| *name == organisation);
            let share = known.map_or_else(|| self.share_used(organisation), |(_, s)| *s);
            if known.is_none() {
                shares.push((organisation, share));
            }
            let rank = self.rank(now, class, share);
            ranked.push((!class.key.requirements.urgent, -rank, id));
        }
        ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        ranked.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns the rank of a class, in minutes of wait of its oldest job.
    ///
    /// All terms except the wait are bounded, so each job eventually outranks all later ones.
    fn rank(&self, now: Millis, class: &Class, share_used: f64) -> f64 {
        let oldest = class.jobs.first().map_or(now, |(at, _)| *at);
        let wait = now.since(oldest).0 as f64 / 60_000.0;
        if self.cfg.policy != Policy::Full {
            return wait;
        }
        let weight = self.fragmentation_weight();
        let run_time = (1_u64 << class.key.requirements.run_time_log2.min(40)) as f64;
        let short = 1.0 / (1.0 + run_time / SHORT_BONUS_HALF_RUN_TIME.0 as f64);
        let large =
            f64::from(class.key.requirements.shape.total_accelerators()) / LARGE_BONUS_ACCELERATORS;
        wait + (1.0 - weight) * SHORT_BONUS_MINUTES * short
            + weight * LARGE_BONUS_MINUTES * large.min(1.0)
            - SHARE_PENALTY_MINUTES * share_used
    }

    /// Returns the weight of low fragmentation relative to short completion times, from 0 to 1.
    pub(crate) fn fragmentation_weight(&self) -> f64 {
        f64::from(self.config.placement.fragmentation_percent.min(100)) / 100.0
    }

    /// Returns the ratio of the organisation's usage to its fair share, at most 4.
    pub(crate) fn share_used(&self, organisation: &Name) -> f64 {
        let weight = |w: u32| f64::from(w.max(1));
        let own = self.config.organisations.get(organisation);
        let share = weight(own.map_or(1, |o| o.weight)) / self.total_weight.max(1.0);
        let used = self.usage.organisations.get(organisation).copied();
        let fair = share * self.total_accelerators.max(1.0);
        (f64::from(used.unwrap_or(0)) / fair).min(4.0)
    }

    /// Recomputes the totals from which fair shares are derived.
    pub(crate) fn update_totals(&mut self) {
        let weights = self.config.organisations.values().map(|o| o.weight.max(1));
        self.total_weight = weights.map(f64::from).sum();
        let capacity = self.workers.list.iter().map(|w| w.capacity().accelerators);
        self.total_accelerators = capacity.map(f64::from).sum();
    }

    /// Places waiting jobs, highest rank first, within the limits of one decision.
    pub(crate) fn place(&mut self, step: &mut Step) {
        self.locate_missing();
        self.start_pending_claims(step);
        if self.queue.len == 0 {
            return;
        }
        if self.all_tried_at == self.generation {
            return self.place_new(step);
        }
        self.queue.added.clear();
        let mut tries = self.cfg.max_tries;
        for class in self.ranked(step.now) {
            while let Some((_, id)) = self.queue.classes[class].jobs.first().copied() {
                if tries == 0 || step.changed.len() >= self.cfg.max_records {
                    return;
                }
                if !self.is_eligible(&self.queue.classes[class]) {
                    break;
                }
                tries -= 1;
                if self.try_class(step, class, id) != PlacementOutcome::Placed {
                    break;
                }
            }
        }
        self.all_tried_at = self.generation;
    }

    /// Places jobs of the classes that received a job since all classes were tried.
    fn place_new(&mut self, step: &mut Step) {
        for class in std::mem::take(&mut self.queue.added) {
            let Some((_, id)) = self.queue.classes[class].jobs.first().copied() else {
                continue;
            };
            if self.is_eligible(&self.queue.classes[class]) {
                self.try_class(step, class, id);
            }
        }
    }

    /// Finds a place for a waiting job.
    fn place_job(&mut self, step: &mut Step, id: JobId) -> PlacementOutcome {
        debug_assert_eq!(self.jobs.get(id).rec.phase, Phase::Waiting);
        if !self.has_quota(id) {
            return PlacementOutcome::NoQuota;
        }
        self.set_charged_memory(id);
        if self.claim_free(step, id) {
            return PlacementOutcome::Placed;
        }
        if let Some(members) = self.find_borrowed(step, id) {
            self.jobs.get_mut(id).rec.borrowed = true;
            self.hold(step, id, members);
            return PlacementOutcome::Placed;
        }
        let job = self.jobs.get(id);
        let waited = step.now.since(job.rec.submitted_at) >= self.cfg.reclaim_after;
        if (job.rec.job.urgent || waited) && self.reclaim(step, id) {
            return PlacementOutcome::Placed;
        }
        if self.preempt(step, id) {
            return PlacementOutcome::Placed;
        }
        PlacementOutcome::NoPlace
    }

    /// Returns the expected end of a running job, or of a waiting job that starts now.
    pub(crate) fn expected_end(&self, now: Millis, id: JobId) -> Millis {
        let JobState {
            rec,
            expected_run_time,
            ..
        } = self.jobs.get(id);
        let total = if rec.members.is_empty() {
            self.expected_run_time(id)
        } else {
            *expected_run_time
        };
        let left = total.since(rec.completed_ms);
        if rec.started_at == Millis::ZERO {
            return now + left;
        }
        let end = rec.started_at + left;
        if end > now {
            return end;
        }
        // A job past its expected end is assumed to run for another half of its current run time.
        now + Millis(now.since(rec.started_at).0 / 2)
    }

    /// Returns the resources of each member and the number of members.
    pub(crate) fn gang_needs(&self, id: JobId) -> (crate::resources::Resources, u16) {
        let job = self.jobs.get(id);
        (member_need(job), job.rec.job.shape.members)
    }
}
