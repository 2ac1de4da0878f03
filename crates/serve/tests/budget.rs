//! Decisions of the budget for request bodies.

use std::sync::Arc;

use base::clock::Millis;
use serve::{
    budget::{Budget, Decision},
    chunk_pace::ChunkPace,
};

const LIMIT: usize = 1_000_000;

fn granted() -> Decision {
    Decision::Granted(vec![])
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Begins a body that has received `bytes` at `now`.
fn begin(budget: &mut Budget, organisation: &str, bytes: usize, now: Millis) -> u64 {
    let id = budget.begin(Some(name(organisation)), Some(LIMIT), now);
    assert_eq!(budget.reserve(id, bytes, now), granted());
    id
}

/// Guards against a full budget that refuses an ordinary small request.
#[test]
fn a_small_body_displaces_the_one_that_holds_most() {
    let mut budget = Budget::new(LIMIT);
    let large = begin(&mut budget, "a", 500_000, Millis(0));
    let larger_but_new = begin(&mut budget, "a", 499_000, Millis(90));
    let small = budget.begin(Some(name("a")), Some(2_000), Millis(100));
    let decision = budget.reserve(small, 2_000, Millis(100));
    assert_eq!(decision, Decision::Granted(vec![large]));
    assert_eq!(budget.reserve(large, 1, Millis(100)), Decision::Shed);
    budget.end(large);
    assert_eq!(budget.reserve(small, 2_000, Millis(101)), granted());
    let decision = budget.reserve(larger_but_new, 1, Millis(101));
    assert_eq!(decision, granted());
}

/// Guards against a large body that interrupts others which make progress.
#[test]
fn a_large_body_displaces_only_slow_ones() {
    let mut budget = Budget::new(LIMIT);
    let first = begin(&mut budget, "a", 900_000, Millis(0));
    let second = budget.begin(Some(name("a")), Some(200_000), Millis(900));
    assert_eq!(budget.reserve(second, 200_000, Millis(900)), Decision::Shed);
    budget.end(second);
    let third = budget.begin(Some(name("a")), Some(200_000), Millis(1_100));
    let decision = budget.reserve(third, 200_000, Millis(1_100));
    assert_eq!(decision, Decision::Granted(vec![first]));
}

/// Guards against an organisation whose bodies displace those of another one within its share.
#[test]
fn each_organisation_keeps_its_share() {
    let mut budget = Budget::new(LIMIT);
    let modest = begin(&mut budget, "modest", 300_000, Millis(0));
    let many: Vec<u64> = (0..7)
        .map(|i| begin(&mut budget, "many", 100_000, Millis(i)))
        .collect();
    let now = Millis(1_500);
    let another = budget.begin(Some(name("many")), Some(50_000), now);
    assert_eq!(
        budget.reserve(another, 50_000, now),
        Decision::Granted(vec![many[0]])
    );
    let more = budget.reserve(modest, 200_000, now);
    assert_eq!(more, Decision::Granted(vec![many[1], many[2]]));
}

/// Guards against a request that is given up although its body was read whole.
#[test]
fn a_whole_body_stays() {
    let mut budget = Budget::new(LIMIT);
    let whole = begin(&mut budget, "a", LIMIT, Millis(0));
    budget.complete(whole);
    let now = Millis(60_000);
    assert_eq!(budget.shed_one(now), None);
    let small = budget.begin(Some(name("b")), Some(10), now);
    assert_eq!(budget.reserve(small, 10, now), Decision::Wait);
    assert_eq!(budget.reserve(whole, 0, now), granted());
    budget.end(whole);
    assert_eq!(budget.reserve(small, 10, now), granted());
}

/// Guards against a limit of the budget below that of a single body.
#[test]
fn a_body_alone_is_served() {
    let mut budget = Budget::new(1_000);
    let id = budget.begin(None, None, Millis(0));
    assert_eq!(budget.reserve(id, 900, Millis(0)), granted());
    assert_eq!(budget.reserve(id, 900, Millis(1)), granted());
    budget.end(id);
    assert_eq!((budget.used(), budget.bodies()), (0, 0));
}

/// Guards against bytes that stay counted, or are counted twice, in any order of events.
#[test]
fn the_account_is_exact() {
    let mut budget = Budget::new(50_000);
    let mut open: Vec<(u64, usize)> = Vec::new();
    let mut shed: Vec<u64> = Vec::new();
    let mut state = 1_u64;
    let mut next = |n: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 33) % n
    };
    for step in 0..20_000 {
        let now = Millis(step);
        match next(4) {
            0 => open.push((budget.begin(Some(name(&next(3).to_string())), None, now), 0)),
            1 if !open.is_empty() => {
                let i = next(open.len() as u64) as usize;
                budget.end(open.swap_remove(i).0);
            }
            2 if !open.is_empty() => {
                let i = next(open.len() as u64) as usize;
                let bytes = next(9_000) as usize;
                match budget.reserve(open[i].0, bytes, now) {
                    Decision::Granted(ids) => {
                        open[i].1 += bytes;
                        shed.extend(ids);
                    }
                    Decision::Shed => shed.push(open[i].0),
                    Decision::Wait => {}
                }
            }
            3 => shed.extend(budget.shed_one(now)),
            _ => {}
        }
        assert_eq!(budget.used(), open.iter().map(|(_, b)| b).sum::<usize>());
        let staying = open.iter().filter(|(id, _)| !shed.contains(id));
        let bytes: Vec<usize> = staying.map(|(_, b)| *b).filter(|b| *b > 0).collect();
        // A body alone may be larger than the budget.
        assert!(bytes.iter().sum::<usize>() <= 50_000 || bytes.len() == 1);
        if open.len() > 40 {
            open.drain(..).for_each(|(id, _)| budget.end(id));
        }
    }
}

/// What happens to one of two bodies.
#[derive(Clone, Copy, Debug)]
enum Event {
    Reserve,
    Shed,
    Complete,
    Shrink,
    End,
}

const EVENTS: [Event; 5] = [
    Event::Reserve,
    Event::Shed,
    Event::Complete,
    Event::Shrink,
    Event::End,
];

/// Returns all sequences of `len` events, each of one of two bodies.
fn sequences(len: u32) -> impl Iterator<Item = Vec<(usize, Event)>> {
    let kinds = 2 * EVENTS.len();
    (0..kinds.pow(len)).map(move |number| {
        let digits = (0..len).map(|i| number / kinds.pow(i) % kinds);
        digits.map(|d| (d % 2, EVENTS[d / 2])).collect()
    })
}

/// Guards against bytes that are taken from an account twice, or stay in it, whatever the order in
/// which bodies give way, are read whole and end.
#[test]
fn every_order_of_events_frees_all_bytes() {
    for events in sequences(5) {
        let mut budget = Budget::new(LIMIT);
        let ids = [1, 2].map(|_| budget.begin(Some(name("a")), None, Millis(0)));
        for (time, (i, event)) in (1..).zip(&events) {
            let now = Millis(1_000 * time);
            match event {
                Event::Reserve => drop(budget.reserve(ids[*i], 600_000, now)),
                Event::Shed => drop(budget.shed_one(now)),
                Event::Complete => drop(budget.complete(ids[*i])),
                Event::Shrink => drop(budget.shrink(ids[*i], 200_000)),
                Event::End => budget.end(ids[*i]),
            }
        }
        for id in ids {
            budget.end(id);
        }
        assert_eq!((budget.used(), budget.bodies()), (0, 0), "{events:?}");
        begin(&mut budget, "a", 900_000, Millis(9_000));
        let second = budget.begin(Some(name("a")), None, Millis(9_000));
        let decision = budget.reserve(second, 900_000, Millis(9_000));
        assert_eq!(decision, Decision::Shed, "{events:?}");
    }
}

/// Guards against a body that was told to give way and is kept all the same.
#[test]
fn a_body_that_gives_way_is_not_completed() {
    let mut budget = Budget::new(LIMIT);
    let body = begin(&mut budget, "a", 900_000, Millis(0));
    assert_eq!(budget.shed_one(Millis(1_000)), Some(body));
    assert!(!budget.complete(body));
    let other = begin(&mut budget, "a", 900_000, Millis(1_000));
    assert!(budget.complete(other));
    assert_eq!(budget.shed_one(Millis(9_000)), None);
}

/// Guards against an ordinary small request that is refused because bodies of its organisation were
/// read whole and have not ended.
#[test]
fn a_small_body_waits_for_whole_ones() {
    let mut budget = Budget::new(LIMIT);
    let whole = begin(&mut budget, "a", LIMIT, Millis(0));
    assert!(budget.complete(whole));
    let small = budget.begin(Some(name("a")), Some(200), Millis(1));
    assert_eq!(budget.reserve(small, 200, Millis(1)), Decision::Wait);
    assert_eq!(budget.shrink(whole, 10_000), 10_000);
    assert_eq!(budget.reserve(small, 200, Millis(2)), granted());
    let large = budget.begin(Some(name("a")), Some(LIMIT), Millis(3));
    assert_eq!(budget.reserve(large, LIMIT, Millis(3)), Decision::Shed);
}

/// Guards against chunks that together take the processor, and against waits that only grow.
#[test]
fn chunks_are_read_at_a_bounded_pace() {
    let mut pace = ChunkPace::default();
    let now = Millis(10);
    let turns = (0..1_000).filter(|_| pace.take(64, now).is_some()).count();
    assert!((300..330).contains(&turns), "{turns}");
    assert_eq!(pace.take(64, now), None);
    assert_eq!(pace.take(64, Millis(2_000)), Some(Millis::ZERO));
}
