//! Signals to entries and schedulers with requests under way.

mod common;

use std::{thread, time};

use base::clock::Millis;
use common::{
    Builder, ORGANISATION_TOKEN,
    keep_alive::{Connection, Outcome},
};

/// Time that a backend server takes for a request, and time after which it surely runs there.
const RUN_TIME: Millis = Millis(2_000);
const START_TIME: time::Duration = time::Duration::from_millis(700);
/// Time within which a request on a connection that is being closed may end without an answer.
const LOSS_SLACK: time::Duration = time::Duration::from_millis(200);
/// Interval between requests to a stopping entry.
const INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Number of requests to it, which go on for longer than the stop takes.
const CALLS: usize = 200;

/// Guards against a stop that cuts requests which arrive on idle connections, and against one that a
/// second SIGTERM interrupts.
#[test]
fn a_stop_answers_requests_on_open_connections() {
    let mut system = Builder::default().start("entry-stop");
    let entry = system.entries[0].http;
    let send = |connection: &mut Connection| {
        connection.send("POST", "/call/refund/score", ORGANISATION_TOKEN, "{}")
    };
    let warm = |_| {
        let mut connection = Connection::open(entry).unwrap();
        assert_eq!(send(&mut connection), Outcome::Answered { status: 200 });
        connection
    };
    let idle: Vec<_> = (0..CALLS).map(warm).collect();
    system.entries[0].terminate();
    let calls = idle.into_iter().enumerate().map(|(i, mut connection)| {
        thread::sleep(INTERVAL);
        if i == CALLS / 4 {
            system.entries[0].terminate();
        }
        thread::spawn(move || send(&mut connection))
    });
    let calls: Vec<_> = calls.collect();
    let outcomes: Vec<_> = calls.into_iter().map(|c| c.join().unwrap()).collect();
    let is_cut = |o: &&Outcome| matches!(o, Outcome::Cut { after } if *after > LOSS_SLACK);
    let cut: Vec<_> = outcomes.iter().filter(is_cut).collect();
    assert!(cut.is_empty(), "{cut:?}");
    let count = |status| {
        let answered = Outcome::Answered { status };
        outcomes.iter().filter(|o| **o == answered).count()
    };
    let (served, refused) = (count(200), count(503));
    eprintln!("{served} served, {refused} refused");
    assert!(served > 0 && refused > 0);
    assert_eq!(system.entries[0].wait(), Some(0));
}

/// Guards against a process that SIGHUP ends together with the requests under way.
#[test]
fn a_hang_up_ends_no_request() {
    let mut builder = Builder::default();
    builder.backends.default_time.min_ms = RUN_TIME;
    builder.backends.default_time.max_ms = RUN_TIME;
    let mut system = builder.start("hang-up");
    let entry = system.entries[0].http;
    let call = thread::spawn(move || common::call(entry, "transfer", Some("hang-up")));
    thread::sleep(START_TIME);
    for process in system.entries.iter().chain(&system.schedulers) {
        process.hang_up();
    }
    let answer = call.join().unwrap().expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    for process in system.entries.iter_mut().chain(&mut system.schedulers) {
        process.assert_running();
    }
}
