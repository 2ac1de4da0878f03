//! Log lines about jobs that wait.

mod fleet;
mod lines;

use base::clock::Millis;
use batch::{job::Step, worker::StartReply};
use fleet::{Fleet, gang, starts, step};
use lines::{Line, start_capture, take_lines};

/// Asserts the values of some fields.
fn check(line: &Line, expected: &[(&str, u64)]) {
    for (name, value) in expected {
        assert_eq!(line[*name], value.to_string(), "{name} of {line:?}");
    }
}

const ROOM: &str = "batch: waits for room";
const ORDERS: &str = "batch: waits for orders";

/// Guards against a wait whose line does not tell a full system from one whose workers are excluded.
#[test]
fn a_wait_for_room_tells_what_excludes_the_workers() {
    start_capture();
    let mut fleet = Fleet::new(6);
    fleet.infos[1].draining = true;
    fleet.infos[2].incarnation = 2;
    fleet.set_up();
    fleet.lose("w00", Millis(900));
    fleet.report_life("w02", 1);
    fleet.submit("busy", 1, step(1, 8));
    let busy = starts(&fleet.plan());
    assert_eq!(busy.len(), 1);
    fleet.take(&busy[0]);
    let labelled = Step {
        label: Some("none".into()),
        ..step(2, 1)
    };
    fleet.submit("odd", 1, labelled);
    fleet.plan();
    assert_eq!(take_lines(ROOM), [], "it has not waited for long");
    fleet.advance(3_000).plan();
    let lines = take_lines(ROOM);
    assert_eq!(lines.len(), 1);
    check(
        &lines[0],
        &[
            ("tasks", 2),
            ("waited_ms", 3_000),
            ("of_service", 6),
            ("silent", 1),
            ("draining", 1),
            ("full", 1),
            ("usable", 0),
            ("fitting", 5),
            ("attempts", 0),
            ("starts", 0),
            ("unanswered", 0),
            ("stopping", 0),
        ],
    );
    let of = |name: &str| -> u64 { lines[0][name].parse().unwrap() };
    assert_eq!(of("evacuated"), 0);
    let names = [
        "usable",
        "evacuated",
        "silent",
        "probation",
        "backoff",
        "draining",
        "no_entry",
        "full",
        "held",
        "reserved",
        "isolated",
        "unsuitable",
        "label",
        "ticket",
        "limit",
    ];
    assert_eq!(names.map(of).iter().sum::<u64>(), 6);
    assert!(of("label") > 0, "{lines:?}");
    fleet.advance(4_900).plan();
    assert_eq!(take_lines(ROOM), [], "at most one each 5 s");
    fleet.advance(100).plan();
    assert_eq!(take_lines(ROOM).len(), 1);
    fleet.scheduler.set_evacuated(&["z".into()], fleet.now);
    fleet.advance(5_000).plan();
    check(&take_lines(ROOM)[0], &[("of_service", 6), ("evacuated", 6)]);
}

/// Guards against a job whose orders never settle and that no line names, because it does not wait for
/// room.
#[test]
fn a_wait_for_orders_is_told() {
    start_capture();
    let mut fleet = Fleet::new(1);
    fleet.submit("a", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    let (task, attempt) = (&order.task, order.attempt);
    for _ in 0..3 {
        let now = fleet.advance(800).now;
        fleet
            .scheduler
            .handle_start_reply(task, attempt, StartReply::Unknown, now);
        fleet.plan();
    }
    fleet.advance(1_400).plan();
    assert_eq!(take_lines(ORDERS), [], "it has not waited for long");
    fleet.advance(1_000).plan();
    let lines = take_lines(ORDERS);
    assert_eq!(lines.len(), 1);
    check(
        &lines[0],
        &[
            ("waited_ms", 3_200),
            ("ordered", 0),
            ("stopping", 1),
            ("stopping_ms", 2_400),
            ("starts", 1),
            ("unanswered", 3),
            ("silent", 0),
        ],
    );
    fleet.advance(4_000).plan();
    assert_eq!(take_lines(ORDERS), [], "at most one each 5 s");
}

/// Guards against a pass that takes long because many jobs wait, and against jobs that it leaves out for
/// good.
#[test]
fn the_lines_of_many_jobs_are_spread_over_passes() {
    start_capture();
    let mut fleet = Fleet::new(1);
    for i in 0..40 {
        fleet.submit(&format!("wide-{i:02}"), 1, gang(2, 8));
    }
    fleet.plan();
    fleet.advance(3_000).plan();
    let first = take_lines(ROOM);
    assert_eq!(first.len(), 30);
    fleet.advance(250).plan();
    let second = take_lines(ROOM);
    assert_eq!(second.len(), 10);
    let mut jobs: Vec<&String> = first.iter().chain(&second).map(|l| &l["job"]).collect();
    jobs.sort_unstable();
    jobs.dedup();
    assert_eq!(jobs.len(), 40);
}

/// Guards against runs that the scheduler counts and no worker lists, without a sign of it.
#[test]
fn usage_shows_what_reports_do_not_list() {
    let mut fleet = Fleet::new(2);
    fleet.submit("a", 1, step(2, 3));
    let orders = starts(&fleet.plan());
    let usage = |fleet: &Fleet| {
        let usage = fleet.scheduler.usage();
        (usage.capacity, usage.used, usage.listed, usage.silent)
    };
    assert_eq!(usage(&fleet), (16, 6, 0, 0));
    let running: Vec<_> = orders.iter().collect();
    let worker = &orders[0].worker;
    fleet.report(worker, &running, Vec::new());
    assert_eq!(usage(&fleet), (16, 6, 6, 0));
    fleet.lose("w01", Millis(900));
    assert_eq!(usage(&fleet), (16, 6, 6, 1));
}
