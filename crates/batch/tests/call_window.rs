//! Calls to many workers over one link, which carries a number of them a second.

use std::collections::VecDeque;

use base::clock::Millis;
use batch::call_window::{CallWindow, Class};

/// Calls that the link carries a second.
const LINK_RATE: u64 = 250;
/// Time of an answer on an idle link.
const ANSWER: Millis = Millis(4);
/// Calls that are due at once: starts and stops of a few wide jobs.
const BURST: usize = 600;
/// Time limit of a call without a window, after which it is sent again.
const FIXED_LIMIT: Millis = Millis(700);

/// A link that carries one call after the other.
#[derive(Default)]
struct Link {
    free_at: Millis,
}

impl Link {
    /// Sends a call, and returns the time of its answer.
    fn send(&mut self, now: Millis) -> Millis {
        self.free_at = self.free_at.max(now) + Millis(1_000 / LINK_RATE);
        self.free_at + ANSWER
    }
}

/// What became of the calls.
#[derive(Debug, Default)]
struct Played {
    sent: usize,
    done_at: Millis,
    slowest: Millis,
}

/// Sends all calls at once, and each again that is not answered in its limit.
fn play_without_window() -> Played {
    let (mut link, mut played) = (Link::default(), Played::default());
    let mut due: VecDeque<Millis> = (0..BURST).map(|_| Millis(1)).collect();
    while let Some(now) = due.pop_front().filter(|t| *t < Millis(60_000)) {
        played.sent += 1;
        let answered_at = link.send(now);
        played.done_at = played.done_at.max(answered_at);
        if answered_at.since(now) >= FIXED_LIMIT {
            due.push_back(now + FIXED_LIMIT);
        }
    }
    played
}

/// Sends calls as the window admits them; each `silent`-th worker answers none.
fn play(silent: usize) -> Played {
    let (mut link, mut window, mut played) =
        (Link::default(), CallWindow::default(), Played::default());
    let mut under_way: Vec<(u64, Millis, Millis, bool)> = Vec::new();
    for i in 0..BURST {
        window.add(Class::Start, i as u64);
    }
    for now in (1..60_000).map(Millis) {
        for (id, sent, end, answered) in under_way.extract_if(.., |(_, _, end, _)| *end <= now) {
            window.end(id, answered, now);
            played.done_at = end;
            if answered {
                played.slowest = played.slowest.max(end.since(sent));
            }
        }
        for id in window.advance(now) {
            played.sent += 1;
            let limit = window.call_limit();
            let answered_at = link.send(now);
            let is_silent = silent > 0 && (id as usize).is_multiple_of(silent);
            let answered = !is_silent && answered_at.since(now) < limit;
            let end = if answered { answered_at } else { now + limit };
            under_way.push((id, now, end, answered));
        }
        if window.waiting() == 0 && under_way.is_empty() {
            return played;
        }
    }
    panic!("calls wait for ever: {played:?}");
}

/// Guards against a link that is filled with repeats of calls which all became slow together.
#[test]
fn a_burst_beyond_the_link_is_sent_once() {
    let needed = Millis(BURST as u64 * 1_000 / LINK_RATE);
    let before = play_without_window();
    assert!(before.done_at > Millis(2 * needed.0), "{before:?}");
    let played = play(0);
    assert_eq!(played.sent, BURST);
    assert!(played.done_at < needed + Millis(500), "{played:?}");
    // The renewals of the leader's lease share the link.
    assert!(played.slowest < Millis(450), "{played:?}");
}

/// Guards against silent workers that hold up the calls to the others.
#[test]
fn silent_workers_hold_up_no_others() {
    let needed = Millis(BURST as u64 * 1_000 / LINK_RATE);
    let played = play(8);
    assert_eq!(played.sent, BURST);
    assert!(played.done_at < needed + Millis(2_000), "{played:?}");
}

/// Guards against stops and urgent starts that wait behind other starts.
#[test]
fn important_calls_go_first() {
    let mut window = CallWindow::default();
    let classes = [
        Class::Report,
        Class::Start,
        Class::UrgentStart,
        Class::Stop,
        Class::Extension,
    ];
    let ids = classes.map(|class| window.add(class, 1));
    let mut expected = ids;
    expected.reverse();
    assert_eq!(window.advance(Millis(1)), expected);
}

/// Guards against a limit that holds up calls while the link is free.
#[test]
fn a_free_link_is_used() {
    let mut window = CallWindow::default();
    for now in (1..2_000).map(Millis) {
        window.add(Class::Start, now.0);
        for id in window.advance(now) {
            window.end(id, true, now + ANSWER);
        }
    }
    assert!(window.size() > 96, "{}", window.size());
    assert!(window.max_starts() > 3_000, "{}", window.max_starts());
}

/// Guards against gangs of which no member set is complete, because members that wait at a worker for
/// their turn go behind those of later gangs.
#[test]
fn starts_keep_their_order_when_they_arrive_late() {
    let mut window = CallWindow::default();
    while !window.advance(Millis(1)).is_empty() || window.waiting() == 0 {
        window.add(Class::Start, 1);
    }
    let later = window.add(Class::Start, 30);
    let earlier = window.add(Class::Start, 20);
    let mut turns = Vec::new();
    for id in 1.. {
        window.end(id, true, Millis(2));
        turns.extend(window.advance(Millis(2)));
        if window.waiting() == 0 {
            break;
        }
    }
    let place = |id| turns.iter().position(|t| *t == id);
    assert!(place(earlier) < place(later), "{turns:?}");
}

/// Guards against commits that fill the link while calls wait, and against changes that are stored late
/// without a shortage.
#[test]
fn changes_are_deferred_only_while_answers_are_slow() {
    let mut window = CallWindow::default();
    let answer = |window: &mut CallWindow, took: u64| {
        for _ in 0..200 {
            let id = window.add(Class::Start, 1);
            window.advance(Millis(1));
            window.end(id, true, Millis(1 + took));
        }
        window.deferral()
    };
    assert_eq!(answer(&mut window, 40), Millis::ZERO);
    let narrow = answer(&mut window, 150);
    assert!(narrow > Millis(1_000), "{narrow}");
    assert!(answer(&mut window, 900) <= Millis(2_000));
    assert_eq!(answer(&mut window, 4), Millis::ZERO);
}
