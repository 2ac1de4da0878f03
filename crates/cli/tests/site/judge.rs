//! Judges what callers have seen at any time: requests without an answer and jobs that are not shown as they are.

use std::{iter, time};

use super::{
    traffic::{Fate, Job},
    troubles::{Event, Kind},
};

/// Time limit of a call.
pub const CALL_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Number of tries of a caller that needs an answer.
pub const TRIES: usize = 4;
/// Time after its last byte within which a request may end without an answer.
const LOSS_SLACK: time::Duration = time::Duration::from_millis(200);
/// Time after its acceptance by which all nodes know a job.
const VISIBLE: time::Duration = time::Duration::from_secs(3);
/// Time after a kill for which requests to that node are not judged.
const CONTACT: time::Duration = time::Duration::from_secs(4);

/// A request that ended without a whole answer.
#[derive(Clone, Debug)]
pub struct Cut {
    pub node: usize,
    pub sent: time::Instant,
    pub after: time::Duration,
    pub what: String,
    pub is_kept: bool,
}

/// What callers have seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub cuts: Vec<Cut>,
    /// Answers that tell of an accepted job what is not so, with their times.
    pub wrong: Vec<(time::Instant, String)>,
}

/// Returns whether a state that was asked for at `sent` is wrong for an accepted job.
pub fn is_wrong(state: &str, sent: time::Instant, job: &Job) -> bool {
    match state {
        "410" => job.accepted.is_some_and(|at| sent > at + VISIBLE),
        "failed" | "cancelled" => true,
        _ => false,
    }
}

impl Seen {
    /// Returns a line for each request and answer that breaks a promise; prints the numbers of all.
    pub fn lost(&self, events: &[Event], began: time::Instant) -> Vec<String> {
        let is_late = |c: &&Cut| c.after > LOSS_SLACK && c.after < CALL_LIMIT;
        let is_killed = |c: &&Cut| {
            let end = c.sent + c.after;
            let mut kills = events
                .iter()
                .filter(|e| e.kind == Kind::Kill && e.node == Some(c.node));
            kills.any(|e| e.at <= end && e.at + CONTACT >= c.sent)
        };
        let (killed, others): (Vec<&Cut>, Vec<&Cut>) = self.cuts.iter().partition(|c| is_killed(c));
        let unanswered = others.iter().filter(|c| c.after >= CALL_LIMIT).count();
        let late: Vec<&Cut> = others.iter().copied().filter(is_late).collect();
        eprintln!(
            "requests without an answer: {} beside kills, {} later than {LOSS_SLACK:?}, {} sooner, {unanswered} not in {CALL_LIMIT:?}",
            killed.len(),
            late.len(),
            others.len() - late.len() - unanswered
        );
        let line = |c: &Cut| {
            let is_before =
                |e: &&Event| e.at <= c.sent + c.after && e.node.is_none_or(|n| n == c.node);
            let before = events.iter().rev().find(is_before);
            let before = before.map(|e| {
                format!(
                    "{:?} {:.2?} before its end",
                    e.kind,
                    c.sent + c.after - e.at
                )
            });
            let (at, kept) = (c.sent - began, if c.is_kept { "kept" } else { "new" });
            format!(
                "{} to node {} at {at:.2?}: cut after {:.0?}, {kept} connection, {before:?}",
                c.what, c.node, c.after
            )
        };
        let unanswered = others.iter().filter(|c| c.after >= CALL_LIMIT);
        unanswered.for_each(|c| eprintln!("  unanswered: {}", line(c)));
        let wrong = self
            .wrong
            .iter()
            .map(|(at, text)| format!("{text} at {:.2?}", *at - began));
        late.iter().map(|c| line(c)).chain(wrong).collect()
    }
}

/// Returns a line for each accepted job whose state can't be read or is wrong.
pub fn unknown(jobs: &[Job], states: &[String]) -> Vec<String> {
    let accepted = jobs.iter().filter(|j| j.fate == Fate::Accepted);
    let of = |(job, state): (&Job, &String)| {
        let is_known = ["queued", "running", "completed"].contains(&state.as_str());
        (!is_known).then(|| format!("job {:016x}: {state:?} at the end", job.id))
    };
    iter::zip(accepted, states).filter_map(of).collect()
}
