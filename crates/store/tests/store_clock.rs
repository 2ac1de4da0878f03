//! Tests of the estimate of the store's clock.

use std::{thread, time};

use base::clock::{self, Millis};
use store::store_clock::StoreClock;

const START: Millis = Millis(100_000);
const DELAY: Millis = Millis(300);

/// Guards against the end of a job that is dated too early after a suspension of the process: the
/// first answer that is read may have arrived before it.
#[test]
fn an_answer_that_is_read_late_does_not_set_the_clock_back() {
    let clock = StoreClock::default();
    clock.record(clock::now(), START);
    let sent = clock::now();
    thread::sleep(time::Duration::from_millis(DELAY.0));
    clock.record(sent, START + Millis(1));
    let now = clock.now().unwrap();
    assert!(now >= START + DELAY, "{now}");
}

/// Guards against ends that are dated by a clock of the store that has started anew.
#[test]
fn a_clock_that_starts_anew_is_followed() {
    let clock = StoreClock::default();
    clock.record(clock::now(), START);
    thread::sleep(time::Duration::from_millis(2));
    clock.record(clock::now(), Millis(7));
    let now = clock.now().unwrap();
    assert!(now < START, "{now}");
}
