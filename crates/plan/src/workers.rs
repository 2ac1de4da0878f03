//! Table of workers and racks, with the resources in use.

use base::{clock::Millis, name::Name, sorted::SortedMap};

use crate::{
    amount::Amount,
    event::WorkerInfo,
    health::Health,
    jobs::JobId,
    record::{JobKey, Member},
};

/// Position of a worker in the table.
pub type WorkerId = usize;

/// Most accelerators of a worker, the width of the mask.
const MASK_BITS: u32 = 32;

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It takes work.
    Up,
    /// It is about to leave and takes no new work.
    Leaving,
    /// It is lost, or was not reported yet since the restore.
    Absent,
}

/// A worker with the resources in use.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the platform reports.
    pub info: WorkerInfo,
    /// Whether it takes work.
    pub status: Status,
    /// Whether it was reported lost and not up since; otherwise an absent worker may still run
    /// tasks.
    pub lost: bool,
    /// Rack of the worker.
    pub rack: usize,
    /// Accelerators in use.
    pub taken: u32,
    /// Resources in use.
    pub used: Amount,
    /// Resources set aside for guaranteed gangs, in use or not.
    pub reserved: Amount,
    /// Part of the reserved resources that running claims use.
    pub claimed: Amount,
    /// Free or soon free resources that jobs with a claim wait for.
    pub awaited: Amount,
    /// Resources in use by gangs that are being stopped.
    pub stopping: Amount,
    /// Jobs with a member here, one entry for each member.
    pub tasks: Vec<JobId>,
    /// Time until which the worker gets no new member.
    pub rest_until: Millis,
    /// Holds in a row that the worker did not confirm.
    pub missed_holds: u32,
    /// Failures and quarantine.
    pub health: Health<JobKey>,
    /// Latest expected end of the jobs here, as computed at their start.
    pub expected_end: Millis,
    /// Job for which the free resources are held back, and its expected start.
    pub held_back: Option<(JobId, Millis)>,
}

impl Worker {
    fn new(info: WorkerInfo, rack: usize) -> Self {
        Self {
            info,
            status: Status::Absent,
            lost: false,
            rack,
            taken: 0,
            used: Amount::default(),
            reserved: Amount::default(),
            claimed: Amount::default(),
            awaited: Amount::default(),
            stopping: Amount::default(),
            tasks: Vec::new(),
            rest_until: Millis::ZERO,
            missed_holds: 0,
            health: Health::default(),
            expected_end: Millis::ZERO,
            held_back: None,
        }
    }

    pub fn capacity(&self) -> Amount {
        Amount {
            accelerators: u32::from(self.info.accelerators).min(MASK_BITS),
            cores: self.info.cores.into(),
            memory_mb: self.info.memory_mb,
        }
    }

    fn free_bits(&self) -> u32 {
        let all = (1_u64 << self.capacity().accelerators) - 1;
        all as u32 & !self.taken
    }

    /// Resources that no member uses.
    pub fn free(&self) -> Amount {
        Amount {
            accelerators: self.free_bits().count_ones(),
            ..self.capacity().minus(self.used)
        }
    }

    /// Resources that no member uses and no claim waits for.
    pub fn spare(&self) -> Amount {
        self.free().minus(self.awaited)
    }

    /// Whether guaranteed gangs may be located here.
    pub fn is_sound(&self) -> bool {
        self.status == Status::Up && !self.health.is_quarantined()
    }

    /// Whether new members may be placed here.
    pub fn is_open(&self, now: Millis) -> bool {
        let probe_only = self.health.is_probing() && !self.tasks.is_empty();
        self.is_sound() && self.rest_until <= now && !probe_only
    }

    /// Returns the lowest free accelerators that are not in `except`.
    pub fn pick(&self, count: u16, except: u32) -> u32 {
        let mut free = self.free_bits() & !except;
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
    /// Position of its data centre.
    pub data_centre: usize,
    /// Workers of the rack.
    pub workers: Vec<WorkerId>,
}

/// Workers by position and by name, and the racks.
#[derive(Clone, Debug, Default)]
pub struct Workers {
    /// Workers by position.
    pub list: Vec<Worker>,
    /// Racks by position.
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

    /// Enters a worker, or its new description, as up.
    pub fn up(&mut self, info: WorkerInfo) -> WorkerId {
        let id = self.enter(info);
        let worker = &mut self.list[id];
        worker.status = Status::Up;
        worker.lost = false;
        worker.rest_until = Millis::ZERO;
        worker.missed_holds = 0;
        id
    }

    /// Returns the worker, entered as absent with unknown capacity if it is not known.
    pub fn find_or_absent(&mut self, name: &Name) -> WorkerId {
        self.find(name).unwrap_or_else(|| {
            self.enter(WorkerInfo {
                name: name.clone(),
                rack: name.clone(),
                data_centre: name.clone(),
                accelerators: 0,
                cores: 0,
                memory_mb: 0,
            })
        })
    }

    fn enter(&mut self, info: WorkerInfo) -> WorkerId {
        let rack = self.rack(&info);
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

    fn rack(&mut self, info: &WorkerInfo) -> usize {
        let data_centre = self.data_centre(&info.data_centre);
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

    fn data_centre(&mut self, name: &Name) -> usize {
        if let Some(id) = self.data_centres.iter().position(|n| n == name) {
            return id;
        }
        self.data_centres.push(name.clone());
        self.data_centres.len() - 1
    }

    /// Enters the members of a gang as using their workers.
    pub fn take(&mut self, job: JobId, members: &[Member], need: Amount) {
        for member in members {
            let id = self.find_or_absent(&member.worker);
            let worker = &mut self.list[id];
            worker.taken |= member.accelerators;
            worker.used = worker.used.plus(need);
            worker.tasks.push(job);
        }
    }

    pub fn give_back(&mut self, job: JobId, members: &[Member], need: Amount) {
        for member in members {
            let id = self.find_or_absent(&member.worker);
            let worker = &mut self.list[id];
            worker.taken &= !member.accelerators;
            worker.used = worker.used.minus(need);
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
