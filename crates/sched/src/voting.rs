//! Exchanges of fencing tokens with the voters: confirms a leader without the table, and ends the
//! right of the leader before.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    name::Name,
};
use futures_util::future;
use store::table::{Commit, Txn};
use wire::{
    client::Client,
    message::{Effect, Reply, Request},
};

use crate::{
    answer,
    ctx::{self, Cx},
    executor::{self, CommitError},
    leader::Leader,
    lease_task::to_json,
    rows,
    voters::{Voter, VotersRow},
};

/// Pause between two checks whether voters have to be asked or stored.
const PAUSE: Millis = Millis(250);
/// Pause after a round in which the voters agreed; shorter than their right by two rounds.
const AGREED_PAUSE: Millis = Millis(1_000);
/// Time limit for a voter's answer.
const VOTE_TIMEOUT: Millis = Millis(500);
/// Code with which a member refuses a message that its version does not know.
const UNKNOWN_MESSAGE: &str = "bad_message";
/// Time limit for the removal of the voters at a planned stop.
const WITHDRAW_TIMEOUT: Millis = Millis(1_000);

/// Answers a leader that tells its fencing token. A leadership with a lower one ends.
pub(crate) fn answer(cx: &Cx, member: u64, shard: &Name, fence: u64) -> Reply {
    if member != cx.id {
        return answer::failed(
            "abstains",
            "the request is for another member",
            Effect::None,
        );
    }
    let highest = cx.fences.borrow_mut().raise(shard, fence);
    let led = cx.leader.borrow().as_ref().map(|l| l.held.fence);
    if *shard == cx.cfg.shard && led.is_some_and(|led| led < fence) {
        cx.lose_lease(&format!("a leader has fencing token {fence}"));
    }
    Reply::Fence { highest }
}

/// Ends the right of the leader before, then stores the voters of this leadership when they change.
pub(crate) async fn run_store(cx: &Cx, leader: &Rc<Leader>) {
    let mut last_told = None;
    while leader.is_alive() {
        let changed = leader.config.changed();
        let is_over = leader.with_state(|s| s.former.is_over(clock::now()));
        if is_over == Some(true) {
            store(cx, leader).await;
        } else {
            supersede(cx, leader, &mut last_told).await;
        }
        if is_over != leader.with_state(|s| s.former.is_over(clock::now())) {
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = ctx::sleep(PAUSE) => {}
        }
    }
}

/// Tells the voters of the leader before that there is a later one.
async fn supersede(cx: &Cx, leader: &Leader, last_told: &mut Option<usize>) {
    let Some(voters) = leader.with_state(|s| s.former.to_ask()) else {
        return;
    };
    let agreed = ask(cx, leader, &voters).await;
    let told = agreed.iter().filter(|a| a.vote == Vote::Told);
    let told: Vec<u64> = told.map(|a| a.id).collect();
    let now = clock::now();
    leader.with_state(|s| {
        let end = s.record_agreed(now, &told);
        if last_told.replace(told.len()) != Some(told.len()) {
            log::info!(
                fence = leader.held.fence, former = s.former.row().fence, asked = voters.len(),
                told = told.len(), over = s.former.is_over(now), ends_in_ms = end.since(now).0;
                "lease: the voters of the former leader were told"
            );
        }
    });
}

/// Stores the members as the voters of this leadership unless the row has them already.
async fn store(cx: &Cx, leader: &Leader) {
    let Some(others) = leader.config.members() else {
        return;
    };
    let mut voters: Vec<Voter> = others
        .iter()
        .map(|m| Voter {
            id: m.id,
            address: m.address,
        })
        .collect();
    voters.push(Voter {
        id: cx.id,
        address: cx.addr,
    });
    voters.sort_by_key(|v| v.id);
    if cx.stopping.get() || leader.voters.borrow().is_stored(&voters) {
        return;
    }
    leader.voters.borrow_mut().begin_write(&voters);
    let row = VotersRow {
        holder: cx.id,
        fence: leader.held.fence,
        voters,
    };
    let key = rows::voters_key(&cx.cfg.shard);
    let version = leader.voters.borrow().version();
    let txn = Txn::default()
        .check(cx.lease_key(), leader.held.version)
        .check(key.clone(), version)
        .put(key, to_json(&row));
    match executor::commit_txn(cx, leader, &txn).await {
        Ok(version) => leader.voters.borrow_mut().finish_write(version),
        Err(CommitError::Conflict { .. }) => {
            cx.end_leadership("the voters have an unexpected version, the state is rebuilt");
        }
        Err(CommitError::Lost { .. }) => {}
    }
}

/// Asks the voters while the lease is not renewed in time.
pub(crate) async fn run_confirm(cx: &Cx, leader: &Rc<Leader>) {
    let mut was_granted = None;
    while leader.is_alive() {
        let lapsed = cx.lease.borrow().at_risk_from(leader.held);
        match lapsed.filter(|at| *at <= clock::now()) {
            Some(lapsed) => confirm(cx, leader, lapsed, &mut was_granted).await,
            None => was_granted = None,
        }
        let pause = match was_granted {
            Some(true) => AGREED_PAUSE,
            _ => PAUSE,
        };
        ctx::sleep(pause).await;
    }
}

async fn confirm(cx: &Cx, leader: &Leader, lapsed: Millis, was_granted: &mut Option<bool>) {
    let started = clock::now();
    let voters = leader.voters.borrow().to_ask();
    let agreed = ask(cx, leader, &voters).await;
    let agreed: Vec<u64> = agreed.iter().map(|a| a.id).collect();
    let granted = leader.voters.borrow_mut().record_round(started, &agreed);
    if was_granted.replace(granted) != Some(granted) {
        log::warn!(
            fence = leader.held.fence, asked = voters.len(), agreed = agreed.len(), granted,
            lapsed_ms = started.since(lapsed).0;
            "lease: the voters were asked about task leases without the table"
        );
    }
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Vote {
    /// The voter has heard of no higher fencing token and remembers this one.
    Told,
    /// The voter is of the version before, which remembers no fencing token, and does not reach the
    /// table. No leader can count it among those who were told.
    CutOff,
}

/// An answer that agrees with the leader that asks.
#[derive(Clone, Copy, Debug)]
struct Agreement {
    id: u64,
    vote: Vote,
}

/// Tells all voters the fencing token of this leadership and returns those who agree. This process
/// answers for itself.
async fn ask(cx: &Cx, leader: &Leader, voters: &[Voter]) -> Vec<Agreement> {
    let fence = leader.held.fence;
    cx.fences.borrow_mut().raise(&cx.cfg.shard, fence);
    let others = voters.iter().filter(|v| v.id != cx.id);
    let votes = future::join_all(others.map(|v| request_vote(cx, *v, fence))).await;
    let mut agreed: Vec<Agreement> = votes.into_iter().flatten().collect();
    agreed.push(Agreement {
        id: cx.id,
        vote: Vote::Told,
    });
    agreed
}

async fn request_vote(cx: &Cx, voter: Voter, fence: u64) -> Option<Agreement> {
    let req = Request::Fence {
        member: voter.id,
        shard: cx.cfg.shard.clone(),
        fence,
    };
    let id = voter.id;
    match call(voter, &req).await? {
        Reply::Fence { highest } if highest > fence => {
            cx.lose_lease(&format!(
                "member {id:016x} has heard of fencing token {highest}"
            ));
            None
        }
        Reply::Fence { .. } => Some(Agreement {
            id,
            vote: Vote::Told,
        }),
        Reply::Failed { code, .. } if code == UNKNOWN_MESSAGE => {
            is_cut_off(voter).await.then_some(Agreement {
                id,
                vote: Vote::CutOff,
            })
        }
        _ => None,
    }
}

/// Returns whether a voter of the version before does not reach the table.
async fn is_cut_off(voter: Voter) -> bool {
    let req = Request::QuorumRead {
        member: voter.id,
        known_revision: 0,
    };
    let reply = call(voter, &req).await;
    matches!(
        reply,
        Some(Reply::QuorumRead {
            table_reached: false,
            ..
        })
    )
}

async fn call(voter: Voter, req: &Request) -> Option<Reply> {
    let client = Client::new(voter.address).with_timeout(VOTE_TIMEOUT);
    let reply = tokio::time::timeout(VOTE_TIMEOUT.to_duration(), client.call(req)).await;
    match reply {
        Ok(Ok(reply)) => return Some(reply),
        Ok(Err(e)) => log::debug!("lease: member {:016x} does not vote: {e}", voter.id),
        Err(_) => log::debug!("lease: member {:016x} does not answer", voter.id),
    }
    None
}

/// Removes the voters at a planned stop, because this process renews nothing afterwards. If this
/// fails, the next leader asks them.
pub(crate) async fn withdraw(cx: &Cx) {
    let Some(leader) = cx.acting() else { return };
    let Some(version) = leader.voters.borrow_mut().withdraw() else {
        return;
    };
    let key = rows::voters_key(&cx.cfg.shard);
    let txn = Txn::default()
        .check(cx.lease_key(), leader.held.version)
        .check(key.clone(), version)
        .delete(key);
    let removal = cx.table.commit(&txn);
    match tokio::time::timeout(WITHDRAW_TIMEOUT.to_duration(), removal).await {
        Ok(Ok(Commit::Done { .. })) => {}
        other => log::debug!("lease: the voters were not removed: {other:?}"),
    }
}
