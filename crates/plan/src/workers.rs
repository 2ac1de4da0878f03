//! Table of workers and racks, with the resources in use.

use base::{clock::Millis, name::Name, sorted::SortedMap};

use crate::{
    event::WorkerInfo,
    health::Health,
    jobs::JobId,
    record::{JobKey, Member},
    resources::Resources,
};

/// Index of a worker in the table.
pub type WorkerId = usize;

/// Maximum number of accelerators of a worker, the width of the allocation mask.
const MAX_ACCELERATORS: u32 = 32;

/// Availability of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It takes work.
    Up,
    /// It is about to leave and takes no new work.
    Leaving,
    /// It is lost, or was not reported since the restore.
    Absent,
}

/// A worker and the resources in use on it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Worker as reported by the platform.
    pub info: WorkerInfo,
    /// Availability.
    pub status: Status,
    /// Whether the worker was reported lost and not up since. An absent worker that is not lost may
    /// still run tasks.
    pub lost: bool,
    /// Index of the rack.
    pub rack: usize,
    /// Mask of the accelerators in use.
    pub allocated: u32,
    /// Resources in use.
    pub used: Resources,
    /// Resources reserved for guaranteed gangs, whether in use or not.
    pub reserved: Resources,
    /// Reserved resources that running claims use.
    pub claimed: Resources,
    /// Resources that pending jobs wait for, free or about to become free.
    pub awaited: Resources,
    /// Resources in use by gangs that are being stopped.
    pub stopping: Resources,
    /// Job of each member on the worker; a job occurs once for each of its members.
    pub tasks: Vec<JobId>,
    /// Time until which the worker gets no new members.
    pub backoff_until: Millis,
    /// Number of consecutive holds that the worker did not confirm.
    pub missed_holds: u32,
    /// Failure history and quarantine.
    pub health: Health<JobKey>,
    /// Latest expected end of the jobs on the worker, as computed at their placement.
    pub expected_end: Millis,
    /// Gang for which the free resources are held back, and its expected start.
    pub held_back: Option<(JobId, Millis)>,
}

impl Worker {
    fn new(info: WorkerInfo, rack: usize) -> Self {
        Self {
            info,
            status: Status::Absent,
            lost: false,
            rack,
            allocated: 0,
            used: Resources::default(),
            reserved: Resources::default(),
            claimed: Resources::default(),
            awaited: Resources::default(),
            stopping: Resources::default(),
            tasks: Vec::new(),
            backoff_until: Millis::ZERO,
            missed_holds: 0,
            health: Health::default(),
            expected_end: Millis::ZERO,
            held_back: None,
        }
    }

    pub fn capacity(&self) -> Resources {
        Resources {
            accelerators: u32::from(self.info.accelerators).min(MAX_ACCELERATORS),
            cores: self.info.cores.into(),
            memory_mb: self.info.memory_mb,
        }
    }

    fn free_mask(&self) -> u32 {
        let all = (1_u64 << self.capacity().accelerators) - 1;
        all as u32 & !self.allocated
    }

    /// Returns the resources that no member uses.
    pub fn free(&self) -> Resources {
        Resources {
            accelerators: self.free_mask().count_ones(),
            ..self.capacity().saturating_sub(self.used)
        }
    }

    /// Returns the resources that no member uses and no pending job awaits.
    pub fn spare(&self) -> Resources {
        self.free().saturating_sub(self.awaited)
    }

    /// Returns whether the worker is up and not in quarantine, so that reservations may be located
    /// on it.
    pub fn is_available(&self) -> bool {
        self.status == Status::Up && !self.health.is_quarantined()
    }

    /// Returns whether new members may be placed on the worker.
    pub fn is_schedulable(&self, now: Millis) -> bool {
        let probe_only = self.health.is_probing() && !self.tasks.is_empty();
        self.is_available() && self.backoff_until <= now && !probe_only
    }

    /// Returns a mask of the `count` lowest free accelerators that are not in `except`.
    pub fn pick_accelerators(&self, count: u16, except: u32) -> u32 {
        let mut free = self.free_mask() & !except;
        let mut picked = 0;
        for _ in 0..count {
            let lowest = free & free.wrapping_neg();
            picked |= lowest;
            free &= !lowest;
        }
        picked
    }
}

/// A rack.
#[derive(Clone, Debug)]
pub struct Rack {
    /// Name of the rack.
    pub name: Name,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Workers of the rack.
    pub workers: Vec<WorkerId>,
}

/// Workers by index and by name, and the racks.
#[derive(Clone, Debug, Default)]
pub struct Workers {
    /// Workers by index.
    pub list: Vec<Worker>,
    /// Racks by index.
    pub racks: Vec<Rack>,
    data_centres: Vec<Name>,
    index: SortedMap<Name, WorkerId>,
}

impl Workers {
    pub fn find(&self, name: &Name) -> Option<WorkerId> {
        self.index.get(name).copied()
    }

    pub fn is_lost(&self, id: WorkerId) -> bool {
        self.list[id].lost
    }

    pub fn data_centre_of(&self, id: WorkerId) -> usize {
        self.racks[self.list[id].rack].data_centre
    }

    /// Adds or updates a worker and marks it as up.
    pub fn mark_up(&mut self, info: WorkerInfo) -> WorkerId {
        let id = self.insert_or_update(info);
        let worker = &mut self.list[id];
        worker.status = Status::Up;
        worker.lost = false;
        worker.backoff_until = Millis::ZERO;
        worker.missed_holds = 0;
        id
    }

    /// Returns the worker, added as absent with unknown capacity if it is not known.
    pub fn find_or_insert_absent(&mut self, name: &Name) -> WorkerId {
        self.find(name).unwrap_or_else(|| {
            self.insert_or_update(WorkerInfo {
                name: name.clone(),
                rack: name.clone(),
                data_centre: name.clone(),
                accelerators: 0,
                cores: 0,
                memory_mb: 0,
            })
        })
    }

    fn insert_or_update(&mut self, info: WorkerInfo) -> WorkerId {
        let rack = self.rack_index(&info);
        if let Some(id) = self.find(&info.name) {
            self.racks[self.list[id].rack].workers.retain(|w| *w != id);
            self.racks[rack].workers.push(id);
            self.list[id].info = info;
            self.list[id].rack = rack;
            return id;
        }
        let id = self.list.len();
        self.index.insert(info.name.clone(), id);
        self.racks[rack].workers.push(id);
        self.list.push(Worker::new(info, rack));
        id
    }

    fn rack_index(&mut self, info: &WorkerInfo) -> usize {
        let data_centre = self.data_centre_index(&info.data_centre);
        let same = |r: &Rack| r.name == info.rack && r.data_centre == data_centre;
        if let Some(id) = self.racks.iter().position(same) {
            return id;
        }
        self.racks.push(Rack {
            name: info.rack.clone(),
            data_centre,
            workers: Vec::new(),
        });
        self.racks.len() - 1
    }

    fn data_centre_index(&mut self, name: &Name) -> usize {
        if let Some(id) = self.data_centres.iter().position(|n| n == name) {
            return id;
        }
        self.data_centres.push(name.clone());
        self.data_centres.len() - 1
    }

    /// Allocates the resources of the members on their workers.
    pub fn allocate(&mut self, job: JobId, members: &[Member], need: Resources) {
        for member in members {
            let id = self.find_or_insert_absent(&member.worker);
            let worker = &mut self.list[id];
            worker.allocated |= member.accelerators;
            worker.used = worker.used.saturating_add(need);
            worker.tasks.push(job);
        }
    }

    pub fn release(&mut self, job: JobId, members: &[Member], need: Resources) {
        for member in members {
            let id = self.find_or_insert_absent(&member.worker);
            let worker = &mut self.list[id];
            worker.allocated &= !member.accelerators;
            worker.used = worker.used.saturating_sub(need);
            if let Some(i) = worker.tasks.iter().position(|t| *t == job) {
                worker.tasks.swap_remove(i);
            }
            if worker.tasks.is_empty() {
                worker.expected_end = Millis::ZERO;
            }
        }
    }

    /// Returns the distinct jobs with a member on the worker.
    pub fn jobs_on(&self, id: WorkerId) -> Vec<JobId> {
        let mut jobs = self.list[id].tasks.clone();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }
}
