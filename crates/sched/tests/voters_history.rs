//! Random histories of takeovers, partitions, freezes and lost answers: no former leader may renew
//! task leases once a later leader takes its right for ended.

use base::{clock::Millis, name::Name, sorted::SortedMap};
use fastrand::Rng;
use member::fences::Fences;
use sched::voters::{Former, Voter, Voters, VotersRow};
use store::table::Row;

const STEP: Millis = Millis(250);
const STEPS: usize = 240;
const PROCESSES: u64 = 6;

struct Leader {
    id: u64,
    fence: u64,
    voters: Voters,
    former: Former,
    /// Row of a write whose outcome the leader does not know.
    written: Option<VotersRow>,
    round: Option<Round>,
    has_ended: bool,
}

/// Answers under way.
struct Round {
    started: Millis,
    agreed: Vec<u64>,
}

struct History {
    rng: Rng,
    now: Millis,
    row: Option<Row>,
    members: SortedMap<u64, Fences>,
    /// All leaders, the current one last.
    leaders: Vec<Leader>,
    /// Number of times that a right of a former leader was found, and that one was found to be over.
    rights: usize,
    ends: usize,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut history = Self {
            rng: Rng::with_seed(seed),
            now: Millis(1_000_000),
            row: None,
            members: SortedMap::default(),
            leaders: Vec::new(),
            rights: 0,
            ends: 0,
        };
        history.take_over();
        history
    }

    fn step(&mut self) {
        self.now += STEP;
        match self.rng.usize(..40) {
            0 => self.take_over(),
            1..=9 => self.store(),
            10..=19 => self.supersede(),
            20 => self.stop_as_planned(),
            _ => {}
        }
        for i in 0..self.leaders.len() {
            match self.rng.usize(..3) {
                0 => self.begin_round(i),
                1 => self.end_round(i),
                _ => {}
            }
        }
        self.check();
    }

    fn take_over(&mut self) {
        let fence = self.leaders.len() as u64 + 1;
        let version = self.row.as_ref().map_or(0, |r| r.version);
        self.leaders.push(Leader {
            id: self.rng.u64(1..=PROCESSES),
            fence,
            voters: Voters::new(version),
            former: Former::read(self.row.as_ref(), self.now),
            written: None,
            round: None,
            has_ended: false,
        });
        let id = self.leaders.last().unwrap().id;
        self.tell(id, fence);
    }

    /// Tells a process a fencing token and returns the highest one that it has heard of.
    fn tell(&mut self, id: u64, fence: u64) -> u64 {
        let older = |l: &&mut Leader| l.id == id && l.fence < fence;
        self.leaders
            .iter_mut()
            .filter(older)
            .for_each(|l| l.has_ended = true);
        let shard: Name = "main".parse().unwrap();
        self.members.get_or_default(id).raise(&shard, fence)
    }

    /// Tells some of the given processes and returns those that agree; the rest can't be reached.
    fn ask(&mut self, id: u64, fence: u64, voters: &[Voter]) -> Vec<u64> {
        let reached = self.rng.u32(..);
        let is_reached = |v: &&Voter| v.id == id || reached & (1 << v.id) != 0;
        let asked: Vec<u64> = voters.iter().filter(is_reached).map(|v| v.id).collect();
        let agrees = |id: &u64| self.tell(*id, fence) == fence;
        asked.into_iter().filter(agrees).collect()
    }

    fn store(&mut self) {
        let version = self.row.as_ref().map_or(0, |r| r.version) + 1;
        let leader = self.leaders.last_mut().unwrap();
        if leader.has_ended || !leader.former.is_over(self.now) {
            return;
        }
        let row = leader.written.take().unwrap_or_else(|| {
            let members = self.rng.u32(..);
            let listed = |id: &u64| *id == leader.id || members & (1 << id) != 0;
            let address = "127.0.0.1:7100".parse().unwrap();
            let voters = (1..=PROCESSES).filter(listed);
            VotersRow {
                holder: leader.id,
                fence: leader.fence,
                voters: voters.map(|id| Voter { id, address }).collect(),
            }
        });
        leader.voters.begin_write(&row.voters);
        let (is_applied, is_answered) = (self.rng.bool(), self.rng.bool());
        if is_applied {
            self.row = Some(Row {
                key: "voters/main".into(),
                version,
                value: serde_json::to_string(&row).unwrap(),
            });
        }
        if is_applied && is_answered {
            leader.voters.finish_write(version);
        } else {
            leader.written = Some(row);
        }
    }

    fn stop_as_planned(&mut self) {
        let leader = self.leaders.last_mut().unwrap();
        if !leader.has_ended && leader.voters.withdraw().is_some() {
            self.row = None;
        }
        leader.has_ended = true;
    }

    fn supersede(&mut self) {
        let leader = self.leaders.last().unwrap();
        if leader.has_ended {
            return;
        }
        let (id, fence, voters) = (leader.id, leader.fence, leader.former.to_ask());
        let told = self.ask(id, fence, &voters);
        let leader = self.leaders.last_mut().unwrap();
        leader.former.record_agreed(self.now, &told);
    }

    fn begin_round(&mut self, i: usize) {
        let leader = &self.leaders[i];
        let (id, fence, voters) = (leader.id, leader.fence, leader.voters.to_ask());
        if leader.has_ended || leader.round.is_some() {
            return;
        }
        let started = self.now;
        let agreed = self.ask(id, fence, &voters);
        self.leaders[i].round = Some(Round { started, agreed });
    }

    fn end_round(&mut self, i: usize) {
        let leader = &mut self.leaders[i];
        if let Some(round) = leader.round.take() {
            leader.voters.record_round(round.started, &round.agreed);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let (current, former) = self.leaders.split_last().unwrap();
        let renews = |l: &&Leader| !l.has_ended && l.voters.may_renew(now, now);
        let renewing = former.iter().find(renews);
        self.rights += usize::from(renewing.is_some());
        if now < current.former.ends_at() || !current.former.is_over(now) {
            return;
        }
        self.ends += usize::from(!former.is_empty());
        if let Some(l) = renewing {
            panic!(
                "leader {} renews, taken for ended by {}",
                l.fence, current.fence
            );
        }
    }
}

/// Guards against a former leader whose gangs the current one starts again while they run.
#[test]
fn no_former_leader_renews_after_its_end() {
    let (mut rights, mut ends) = (0, 0);
    for seed in 0..2_000 {
        let mut history = History::new(seed);
        for _ in 0..STEPS {
            history.step();
        }
        rights += history.rights;
        ends += history.ends;
    }
    println!("{rights} steps with a former leader that may renew, {ends} after its end");
    assert!(rights > 1_000 && ends > 1_000, "{rights}, {ends}");
}
