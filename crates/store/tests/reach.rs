//! Decisions of a process that the store does not answer.

use base::clock::Millis;
use store::reach::Reach;

/// Two processes lose the store at the same time. Guards against a report about an answer from
/// before the outage, which made both tell their callers to retry elsewhere at once.
#[test]
fn an_answer_from_before_the_loss_does_not_show_that_others_are_served() {
    let mut asking = Reach::default();
    asking.record_answer(Millis(900));
    asking.record_loss(Millis(1_000));
    let mut other = Reach::default();
    other.record_answer(Millis(995));
    // The other process has not noticed the outage yet.
    let age = other.answer_age(Millis(1_001)).unwrap();
    assert!(!asking.record_report(Millis(1_000), age, Millis(1_002)));
    assert!(!asking.others_are_served(Millis(1_002)));
    other.record_loss(Millis(1_003));
    assert_eq!(other.answer_age(Millis(1_004)), None);
}

/// Guards against callers that are kept at a process which alone has lost the store, and against a
/// report that counts for longer than others can be served.
#[test]
fn a_newer_answer_counts_until_it_expires_or_the_store_answers() {
    let mut reach = Reach::default();
    reach.record_loss(Millis(1_000));
    assert!(reach.record_report(Millis(1_400), Millis(100), Millis(1_410)));
    assert!(reach.others_are_served(Millis(2_000)));
    assert!(!reach.others_are_served(Millis(3_000)));
    assert!(reach.record_report(Millis(3_000), Millis(100), Millis(3_010)));
    assert!(reach.record_answer(Millis(3_020)));
    assert!(!reach.others_are_served(Millis(3_030)));
}

/// Guards against callers that are turned away because of a single refused call, and against calls
/// that are sent to a store which answers nothing.
#[test]
fn the_store_is_out_only_after_a_second_call_without_an_answer() {
    let mut reach = Reach::default();
    reach.confirm_loss();
    assert!(!reach.is_out(), "the store was not lost");
    assert!(reach.record_loss(Millis(10)));
    assert!(!reach.is_out());
    reach.confirm_loss();
    assert!(reach.is_out());
    assert!(reach.record_answer(Millis(20)));
    assert!(!reach.is_out() && !reach.is_lost());
}
