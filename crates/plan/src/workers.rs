//! Table of workers and racks, with the resources in use.

use base::{clock::Millis, name::Name, sorted::SortedMap};

use crate::{event::WorkerInfo, jobs::JobId, record::Member};

/// Position of a worker in the table.
pub type WorkerId = usize;
/// Position of a rack in the table.
pub type RackId = usize;

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

/// Resources of one member.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Accelerators.
    pub accelerators: u16,
    /// Processor cores.
    pub cores: u16,
    /// Memory, in MiB.
    pub memory_mb: u32,
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
    pub rack: RackId,
    /// Accelerators in use.
    pub taken: u32,
    /// Cores in use.
    pub cores: u32,
    /// Memory in use, in MiB.
    pub memory_mb: u32,
    /// Jobs with a member here, one entry for each member.
    pub tasks: Vec<JobId>,
    /// Time until which the worker gets no new member.
    pub rest_until: Millis,
    /// Holds in a row that the worker did not confirm.
    pub missed_holds: u32,
}

impl Worker {
    fn all_bits(&self) -> u32 {
        let n = u32::from(self.info.accelerators.min(32));
        u32::try_from((1_u64 << n) - 1).unwrap_or(u32::MAX)
    }

    pub fn free_bits(&self) -> u32 {
        self.all_bits() & !self.taken
    }

    pub fn is_open(&self, now: Millis) -> bool {
        self.status == Status::Up && self.rest_until <= now
    }

    /// Number of members with this need that fit into the free resources, at most `most`.
    pub fn room(&self, need: Need, most: u16) -> u16 {
        let div = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::from(most));
        let cores = u32::from(self.info.cores).saturating_sub(self.cores);
        let memory = self.info.memory_mb.saturating_sub(self.memory_mb);
        div(self.free_bits().count_ones(), need.accelerators.into())
            .min(div(cores, need.cores.into()))
            .min(div(memory, need.memory_mb))
            .min(u32::from(most)) as u16
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
    /// Data centre of the rack.
    pub data_centre: Name,
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
    index: SortedMap<Name, WorkerId>,
}

impl Workers {
    pub fn find(&self, name: &Name) -> Option<WorkerId> {
        self.index.get(name).copied()
    }

    pub fn is_lost(&self, id: WorkerId) -> bool {
        self.list[id].lost
    }

    /// Enters a worker, or its new description, as up.
    pub fn up(&mut self, info: WorkerInfo) -> WorkerId {
        let id = self.enter(info);
        self.list[id].status = Status::Up;
        self.list[id].lost = false;
        self.list[id].rest_until = Millis::ZERO;
        self.list[id].missed_holds = 0;
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
        self.list.push(Worker {
            info,
            status: Status::Absent,
            lost: false,
            rack,
            taken: 0,
            cores: 0,
            memory_mb: 0,
            tasks: Vec::new(),
            rest_until: Millis::ZERO,
            missed_holds: 0,
        });
        id
    }

    fn rack(&mut self, info: &WorkerInfo) -> RackId {
        let same = |r: &Rack| r.name == info.rack && r.data_centre == info.data_centre;
        if let Some(id) = self.racks.iter().position(same) {
            return id;
        }
        self.racks.push(Rack {
            name: info.rack.clone(),
            data_centre: info.data_centre.clone(),
            workers: Vec::new(),
        });
        self.racks.len() - 1
    }

    pub fn take(&mut self, job: JobId, members: &[Member], need: Need) {
        for member in members {
            let id = self.find_or_absent(&member.worker);
            let worker = &mut self.list[id];
            worker.taken |= member.accelerators;
            worker.cores += u32::from(need.cores);
            worker.memory_mb += need.memory_mb;
            worker.tasks.push(job);
        }
    }

    pub fn give_back(&mut self, job: JobId, members: &[Member], need: Need) {
        for member in members {
            let id = self.find_or_absent(&member.worker);
            let worker = &mut self.list[id];
            worker.taken &= !member.accelerators;
            worker.cores -= u32::from(need.cores);
            worker.memory_mb -= need.memory_mb;
            if let Some(i) = worker.tasks.iter().position(|t| *t == job) {
                worker.tasks.swap_remove(i);
            }
        }
    }
}
