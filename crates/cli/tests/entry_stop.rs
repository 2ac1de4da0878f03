//! Signals to entries and schedulers with requests under way.

mod common;

use std::{thread, time};

use base::clock::Millis;
use common::Builder;

/// Time that a backend server takes for a request, and time after which it surely runs there.
const RUN_TIME: Millis = Millis(2_000);
const START_TIME: time::Duration = time::Duration::from_millis(700);

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
