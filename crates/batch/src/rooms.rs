//! Room on the workers, as one pass sees it.

use base::clock::Millis;

use crate::{
    book::Book,
    job::{Need, Text},
    progress::RunState,
};

/// Runs that are expected to end within this time count for gangs that wait. It is the length of a
/// typical deferrable run: what is kept is used within about one generation of runs.
const SOON: Millis = Millis(8_000);

/// Room on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    pub(crate) worker: Text,
    /// Index of the rack.
    pub(crate) rack: usize,
    pub(crate) service: Text,
    /// What is free now and promised to nobody before in the queue.
    pub(crate) free: Need,
    /// What is free once the ordered stops have taken effect.
    pub(crate) later: Need,
    /// What is free once the runs that end soon have ended.
    pub(crate) soon: Need,
    /// What the worker has.
    pub(crate) capacity: Need,
    /// Whether it is kept for urgent work.
    pub(crate) protected: bool,
    /// Whether a run there has a response time to keep.
    pub(crate) serves: bool,
    /// Whether a run there uses what others leave.
    pub(crate) filled: bool,
}

/// Which room a search counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum When {
    Now,
    AfterStops,
    Soon,
}

impl Room {
    pub(crate) fn at(&self, when: When) -> Need {
        match when {
            When::Now => self.free,
            When::AfterStops => self.later,
            When::Soon => self.soon,
        }
    }

    pub(crate) fn take(&mut self, need: Need) {
        self.free = self.free.minus(need);
        self.later = self.later.minus(need);
        self.soon = self.soon.minus(need);
    }

    fn is_empty(&self) -> bool {
        self.free == self.capacity
    }
}

/// What a search asked for; a search that found nothing stands for all that ask for more.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) when: When,
    pub(crate) service: Text,
    /// Need of one subtask.
    pub(crate) need: Need,
    /// Subtasks that have to find room together.
    pub(crate) count: usize,
    /// Whether one rack has to hold them all.
    pub(crate) one_rack: bool,
    /// Whether room that is kept for urgent work counts.
    pub(crate) urgent: bool,
}

impl Request {
    /// Returns whether nothing is found for `other` if nothing is found for `self`.
    fn covers(&self, other: &Self) -> bool {
        self.when == other.when
            && self.need.fits(other.need)
            && self.count <= other.count
            && (other.one_rack || !self.one_rack)
            && (self.urgent || !other.urgent)
            && self.service == other.service
    }
}

/// Room on the workers during one pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rooms {
    /// By id of the worker.
    pub(crate) rooms: Vec<Room>,
    /// Names of the racks, sorted.
    racks: Vec<Text>,
    /// Indices of the rooms of each rack.
    in_rack: Vec<Vec<usize>>,
    /// Searches without result; room that is free now only shrinks during a pass.
    failed: Vec<Request>,
    /// Accelerators that deferrable work leaves free.
    pub(crate) reserve: u64,
    /// Units that wait and keep room in this pass.
    pub(crate) waiting: usize,
}

impl Rooms {
    fn new(mut rooms: Vec<(Text, Room)>) -> Self {
        let mut racks: Vec<Text> = rooms.iter().map(|(rack, _)| rack.clone()).collect();
        racks.sort_unstable();
        racks.dedup();
        let mut in_rack = vec![Vec::new(); racks.len()];
        for (i, (rack, room)) in rooms.iter_mut().enumerate() {
            // The rack is one of those that were collected above.
            room.rack = racks.binary_search(rack).unwrap_or_default();
            in_rack[room.rack].push(i);
        }
        Self {
            rooms: rooms.into_iter().map(|(_, room)| room).collect(),
            racks,
            in_rack,
            ..Self::default()
        }
    }

    /// Returns the index of the room of a worker that is open.
    pub(crate) fn of(&self, worker: &str) -> Option<usize> {
        let found = self.rooms.binary_search_by(|r| (*r.worker).cmp(worker));
        found.ok()
    }

    /// Returns the rooms of all racks.
    pub(crate) fn by_rack(&self) -> &[Vec<usize>] {
        &self.in_rack
    }

    /// Returns the rooms of the rack of that name.
    pub(crate) fn rack(&self, name: &Text) -> &[usize] {
        let found = self.racks.binary_search(name);
        found.map_or(&[], |i| &self.in_rack[i])
    }

    /// Returns whether a search for no more than this has failed in this pass.
    pub(crate) fn has_failed(&self, req: &Request) -> bool {
        self.failed.iter().any(|f| f.covers(req))
    }

    /// Notes that a search found nothing.
    pub(crate) fn note_failed(&mut self, req: Request) {
        self.failed.retain(|f| !req.covers(f));
        self.failed.push(req);
    }

    /// Notes that runs are going to be stopped: more is free after stops than before.
    pub(crate) fn note_stops(&mut self) {
        self.failed.retain(|f| f.when != When::AfterStops);
    }

    /// Keeps empty workers for urgent work: it often needs all accelerators of several workers of
    /// one rack, and scattered free ones are of no use to it.
    pub(crate) fn protect(&mut self, reserve: u64) {
        self.reserve = reserve;
        let empty = |rack: &Vec<usize>| -> Vec<usize> {
            let here = rack.iter().copied();
            here.filter(|i| self.rooms[*i].is_empty()).collect()
        };
        let mut racks: Vec<Vec<usize>> = self.in_rack.iter().map(empty).collect();
        // The racks with the most empty workers first; the order of racks decides among equals.
        racks.sort_by_key(|rack| usize::MAX - rack.len());
        let mut kept = 0;
        for i in racks.into_iter().flatten() {
            if kept >= reserve {
                return;
            }
            self.rooms[i].protected = true;
            kept += self.rooms[i].capacity.accelerators;
        }
    }
}

impl Book {
    /// Returns the room on all workers that take work.
    pub(crate) fn rooms(&self, now: Millis) -> Rooms {
        let open = self.workers.iter().filter(|(_, w)| w.is_open(now));
        let rooms = open.filter_map(|(id, worker)| {
            let info = worker.info.as_ref()?;
            let free = worker.free();
            let mut room = Room {
                worker: id.clone(),
                rack: 0,
                service: info.service.clone(),
                free,
                later: free,
                soon: free,
                capacity: info.capacity,
                protected: false,
                serves: false,
                filled: false,
            };
            for (task, need) in &worker.runs {
                let Some((run, step)) = self.run_of(task) else {
                    continue;
                };
                let stops = run.state == RunState::Stopping;
                if stops {
                    room.later.add(*need, 1);
                }
                if stops || (!step.endless && run.expected_left(step, now) <= SOON) {
                    room.soon.add(*need, 1);
                }
                room.serves |= step.target.is_some();
                room.filled |= step.fills;
            }
            Some((worker.rack().cloned().unwrap_or_default(), room))
        });
        Rooms::new(rooms.collect())
    }
}
