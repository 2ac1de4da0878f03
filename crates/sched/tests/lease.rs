//! Model tests of the lease's state machine with lost, delayed and reordered calls.

use base::clock::Millis;
use lease::{
    lease_cfg::LeaseCfg,
    machine::{Lease, ObservedLease, Outcome, Step},
    table::{HeartbeatRow, LeaseRow},
};
use quickcheck::{Gen, QuickCheck};
use store::{
    mem::MemTable,
    table::{Commit, Txn},
};

/// A candidate with its open step.
struct Node {
    id: u64,
    lease: Lease,
    step: Option<Step>,
    answer: Option<Outcome>,
}

/// Several candidates on one table, and calls that reach the table late.
struct Model {
    now: Millis,
    table: MemTable,
    nodes: Vec<Node>,
    delayed: Vec<(u64, Step)>,
    highest_fence: u64,
    preferred: usize,
}

impl Model {
    fn new(nodes: u64) -> Self {
        let node = |id| Node {
            id,
            lease: Lease::new(id, LeaseCfg::default()),
            step: None,
            answer: None,
        };
        Self {
            now: Millis(1),
            table: MemTable::default(),
            nodes: (1..=nodes).map(node).collect(),
            delayed: Vec::new(),
            highest_fence: 0,
            preferred: 0,
        }
    }

    /// Starts the next step of node `i`.
    fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if node.step.is_some() {
            return;
        }
        match node.lease.next_step(self.now) {
            Step::Wait { .. } | Step::Ended => {}
            step => node.step = Some(step),
        }
    }

    /// Applies the step of node `i` to the table.
    fn apply(&mut self, i: usize) {
        let node = &self.nodes[i];
        if let (Some(step), None) = (node.step, node.answer) {
            let outcome = apply(&self.table, node.id, step);
            self.nodes[i].answer = Some(outcome);
        }
    }

    /// Delivers the answer to node `i`.
    fn answer(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if let Some(outcome) = node.answer.take() {
            node.step = None;
            node.lease.complete(self.now, outcome);
        }
    }

    /// Loses the call of node `i`. A call that has not reached the table may still reach it later.
    fn lose(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let Some(step) = node.step.take() else { return };
        if node.answer.take().is_none() {
            self.delayed.push((node.id, step));
        }
        node.lease.complete(self.now, Outcome::Unknown);
    }

    fn deliver_delayed(&mut self) {
        if let Some((id, step)) = self.delayed.pop() {
            apply(&self.table, id, step);
        }
    }

    /// Runs one step of node `i` without faults.
    fn exchange(&mut self, i: usize) {
        self.start(i);
        self.apply(i);
        self.answer(i);
    }

    /// Runs one random action. Most actions serve the preferred node, so that the other nodes are
    /// silent for long enough to lose the lease.
    fn run(&mut self, action: u8, arg: u8) {
        let i = if arg < 200 {
            self.preferred
        } else {
            usize::from(arg) % self.nodes.len()
        };
        match action % 32 {
            0..=9 => self.exchange(i),
            10 | 11 => self.start(i),
            12 | 13 => self.apply(i),
            14 | 15 => self.answer(i),
            16 => self.lose(i),
            17 => self.deliver_delayed(),
            18 => self.preferred = usize::from(arg) % self.nodes.len(),
            19 if arg < 4 => self.nodes[i].lease.stop(),
            19 | 20 => self.now += Millis(u64::from(arg) * 8),
            _ => self.now += Millis(u64::from(arg) * 3),
        }
    }

    /// Returns whether at most one node acts and the fencing token has not decreased.
    fn invariant_holds(&mut self) -> bool {
        let now = self.now;
        let acting: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|n| n.lease.acting(now))
            .collect();
        let Some(held) = acting.first() else {
            return true;
        };
        let grows = held.fence >= self.highest_fence;
        self.highest_fence = held.fence;
        acting.len() == 1 && grows
    }
}

fn apply(table: &MemTable, id: u64, step: Step) -> Outcome {
    let address = "127.0.0.1:1".parse().unwrap();
    let beat = serde_json::to_string(&HeartbeatRow {
        holder: id,
        count: 0,
    })
    .unwrap();
    let txn = match step {
        Step::Read => return read_rows(table),
        Step::Acquire {
            lease_version,
            heartbeat_version,
            fence,
        } => {
            let row = LeaseRow {
                holder: id,
                fence,
                address,
            };
            Txn::default()
                .check("lease/main", lease_version)
                .check("beat/main", heartbeat_version)
                .put("lease/main", serde_json::to_string(&row).unwrap())
                .put("beat/main", beat)
        }
        Step::Renew { lease_version } => Txn::default()
            .check("lease/main", lease_version)
            .put("beat/main", beat),
        Step::Release { lease_version } => Txn::default()
            .check("lease/main", lease_version)
            .delete("beat/main"),
        Step::Wait { .. } | Step::Ended => unreachable!("not a call"),
    };
    match table.commit(&txn) {
        Commit::Done { version } => Outcome::Done { version },
        Commit::Conflict { keys } => Outcome::Conflict {
            lease_changed: keys.iter().any(|k| &**k == "lease/main"),
        },
    }
}

fn read_rows(table: &MemTable) -> Outcome {
    let lease = table.get("lease/main").map(|row| {
        let value: LeaseRow = serde_json::from_str(&row.value).unwrap();
        ObservedLease {
            version: row.version,
            holder: value.holder,
            fence: value.fence,
            holder_ended: false,
        }
    });
    Outcome::Rows {
        lease,
        heartbeat_version: table.get("beat/main").map_or(0, |row| row.version),
    }
}

/// Guards against two schedulers that act at the same time when calls are lost or delayed or a
/// scheduler is frozen.
#[test]
fn at_most_one_scheduler_acts() {
    fn property(actions: Vec<(u8, u8)>) -> bool {
        let mut model = Model::new(3);
        actions.into_iter().all(|(action, arg)| {
            model.run(action, arg);
            model.invariant_holds()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_200, 7))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Runs the given nodes without faults for `ms`.
fn run_for(model: &mut Model, nodes: &[usize], ms: u64) {
    for _ in 0..ms / 50 {
        model.now += Millis(50);
        for &i in nodes {
            model.exchange(i);
        }
        assert!(model.invariant_holds());
    }
}

/// Guards against a lease that no other node acquires after its holder is killed.
#[test]
fn another_takes_over_within_seven_seconds() {
    let mut model = Model::new(2);
    run_for(&mut model, &[0, 1], 3_000);
    let now = model.now;
    let first = model
        .nodes
        .iter()
        .position(|n| n.lease.acting(now).is_some())
        .unwrap();
    run_for(&mut model, &[1 - first], 7_000);
    let held = model.nodes[1 - first].lease.acting(model.now).unwrap();
    assert_eq!(held.fence, 2);
}

/// Guards against a planned stop after which the takeover takes as long as after a crash.
#[test]
fn planned_stop_hands_over_at_once() {
    let mut model = Model::new(2);
    run_for(&mut model, &[0, 1], 3_000);
    let now = model.now;
    let first = model
        .nodes
        .iter()
        .position(|n| n.lease.acting(now).is_some())
        .unwrap();
    model.nodes[first].lease.stop();
    run_for(&mut model, &[0, 1], 700);
    assert!(model.nodes[1 - first].lease.acting(model.now).is_some());
}

/// Guards against a takeover that has no effect because its answer was lost.
#[test]
fn lost_answer_of_the_takeover_is_resolved() {
    let mut model = Model::new(1);
    model.start(0);
    model.apply(0);
    model.answer(0);
    model.start(0);
    model.apply(0);
    model.lose(0);
    assert!(model.nodes[0].lease.held().is_none());
    run_for(&mut model, &[0], 1_000);
    assert_eq!(model.nodes[0].lease.acting(model.now).unwrap().fence, 1);
}

/// Guards against a holder without answers that neither acts nor lets another node take over.
#[test]
fn a_holder_without_answers_is_replaced() {
    let mut model = Model::new(2);
    run_for(&mut model, &[0], 1_000);
    assert!(model.nodes[0].lease.acting(model.now).is_some());
    for _ in 0..300 {
        model.start(0);
        model.apply(0);
        model.lose(0);
        run_for(&mut model, &[1], 50);
    }
    assert!(model.nodes[1].lease.acting(model.now).is_some());
}

/// Guards against a takeover from a healthy holder at the end of an outage of the table.
#[test]
fn an_outage_does_not_move_the_lease() {
    let mut model = Model::new(2);
    run_for(&mut model, &[0, 1], 3_000);
    model.now += Millis(20_000);
    run_for(&mut model, &[1], 200);
    run_for(&mut model, &[0, 1], 10_000);
    assert_eq!(model.nodes[0].lease.acting(model.now).unwrap().fence, 1);
}
