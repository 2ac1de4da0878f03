//! The queue of the calls to one worker, with workers that answer, are slow or are silent.

use std::collections::BTreeMap;

use base::clock::Millis;
use batch::call_queue::{CallQueue, Place, Turn};

/// Maximum number of calls under way: with the renewal of the lease there are three connections to
/// a worker, 3,300 to 1,100 workers, of 4,100 that a VM has room for.
const MAX_CALLS: usize = 2;
/// Time that the members of a gang wait for each other.
const GANG_TIMEOUT: Millis = Millis(3_000);

/// What became of the calls, by number.
#[derive(Debug, Default)]
struct Played {
    sent: Vec<(u64, Millis)>,
    /// Times when calls ended without an answer or were given up.
    unanswered: BTreeMap<u64, Millis>,
    most: usize,
}

/// Plays `count` calls from 1 ms on; `answer_ms` tells how long the answer to a call takes.
fn play(count: u64, answer_ms: impl Fn(u64) -> Option<u64>) -> Played {
    let mut queue = CallQueue::default();
    let mut under_way: Vec<(u64, Millis, bool)> = Vec::new();
    let mut played = Played::default();
    for _ in 0..count {
        queue.add(Place::Last, Millis(1));
    }
    for now in (1..60_000).map(Millis) {
        for (id, _, answered) in under_way.extract_if(.., |(_, end, _)| *end <= now) {
            queue.end(id, answered, now);
            if !answered {
                played.unanswered.insert(id, now);
            }
        }
        let is_due = queue.next_at().is_some_and(|t| t <= now);
        let turns = queue.advance(now);
        assert!(is_due || turns.is_empty(), "{now}: {turns:?}");
        for (id, turn) in turns {
            match turn {
                Turn::Send(limit) => {
                    played.sent.push((id, now));
                    let answer = answer_ms(id).map(Millis).filter(|t| *t < limit);
                    under_way.push((id, now + answer.unwrap_or(limit), answer.is_some()));
                }
                Turn::GiveUp => drop(played.unanswered.insert(id, now)),
            }
        }
        played.most = played.most.max(under_way.len());
    }
    assert!(under_way.is_empty() && queue.next_at().is_none());
    played
}

/// Guards against calls that are all sent at once because those before take long together.
#[test]
fn a_worker_that_answers_is_worked_through_in_order() {
    for ms in [1, 20, 150, 600] {
        let played = play(40, |_| Some(ms));
        let order: Vec<u64> = played.sent.iter().map(|(id, _)| *id).collect();
        assert_eq!(order, (1..=40).collect::<Vec<_>>(), "{ms}");
        assert!(played.most <= MAX_CALLS, "{ms}: {}", played.most);
        assert!(played.unanswered.is_empty(), "{ms}: {played:?}");
    }
}

/// Guards against a silent worker that gets all calls at once, and against a gang that is not given
/// up before its members elsewhere are.
#[test]
fn the_calls_to_a_silent_worker_end_together_in_time() {
    let played = play(40, |_| None);
    assert!(played.most <= MAX_CALLS, "{}", played.most);
    assert_eq!(played.unanswered.len(), 40);
    let last = played.unanswered.values().max().unwrap();
    assert!(3 * last.0 < GANG_TIMEOUT.0, "{last}");
}

/// Guards against calls that wait for the whole time limit of one that was lost.
#[test]
fn a_lost_call_delays_the_others_by_little() {
    let last_sent = |played: &Played| played.sent.last().map(|(_, t)| *t).unwrap();
    let usual = last_sent(&play(40, |_| Some(2)));
    let played = play(40, |id| (id != 1).then_some(2));
    assert_eq!(played.unanswered.keys().collect::<Vec<_>>(), [&1]);
    let delay = last_sent(&played).since(usual);
    assert!(delay <= Millis(100), "{delay}");
}

/// Guards against a long queue to a worker on a busy VM that is sent one call after the other.
#[test]
fn a_long_queue_uses_both_calls() {
    let played = play(450, |_| Some(18));
    let (_, last) = played.sent.last().unwrap();
    assert!(
        *last < Millis(5_000),
        "{last}, 8,100 ms one after the other"
    );
    // A short one opens no second connection.
    assert_eq!(play(8, |_| Some(18)).most, 1);
}
