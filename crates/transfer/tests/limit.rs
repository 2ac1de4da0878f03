//! Calls whose answers are long, trickle or go silent.

use base::clock::{self, Millis};
use tokio::time;
use transfer::{arrival::Arrival, limit::Limit};

const LIMIT: Millis = Millis(300);
/// Allowance for a busy machine.
const SLACK: Millis = Millis(250);

async fn sleep(t: Millis) {
    time::sleep(t.to_duration()).await;
}

/// Records `count` pieces of `bytes` bytes, one after each `pause`.
async fn arrive(arrival: &Arrival, count: usize, bytes: usize, pause: Millis) {
    for _ in 0..count {
        sleep(pause).await;
        arrival.record(bytes);
    }
}

/// Guards against a long answer that is given up while it arrives, whatever its size.
#[ntex::test]
async fn an_answer_that_arrives_is_waited_for() {
    let arrival = Arrival::default();
    let exchange = arrive(&arrival, 20, 4_000, Millis(50));
    let limit = Limit::from(LIMIT);
    assert_eq!(limit.wait(&arrival, exchange).await, Some(()));
    assert_eq!(arrival.bytes(), 80_000);
}

/// Guards against a silent connection that is noticed later than after the limit.
#[ntex::test]
async fn a_silent_connection_is_noticed_after_the_limit() {
    let arrival = Arrival::default();
    let started = clock::now();
    let result = Limit::from(LIMIT).wait(&arrival, std::future::pending::<()>());
    assert_eq!(result.await, None);
    let took = clock::now().since(started);
    assert!(took >= LIMIT && took < LIMIT + SLACK, "{took}");
}

/// Guards against an answer that is waited for although its connection has gone silent in its middle,
/// and against one whose pause is compared with the time for the first byte.
#[ntex::test]
async fn an_answer_that_stops_is_given_up_after_the_pause() {
    let arrival = Arrival::default();
    let exchange = async {
        arrive(&arrival, 10, 4_000, Millis(50)).await;
        std::future::pending::<()>().await;
    };
    let limit = Limit {
        answer: Millis::from_secs(60),
        pause: LIMIT,
    };
    assert_eq!(limit.wait(&arrival, exchange).await, None);
    let idle = clock::now().since(arrival.last().unwrap());
    assert!(idle >= LIMIT && idle < LIMIT + SLACK, "{idle}");
}

/// Guards against a call that hangs on a connection on which bytes trickle, also after a fast start.
#[ntex::test]
async fn an_answer_that_trickles_is_given_up() {
    let arrival = Arrival::default();
    let exchange = async {
        arrival.record(400_000);
        arrive(&arrival, 600, 100, Millis(100)).await;
    };
    let limit = Limit::from(LIMIT);
    let started = clock::now();
    assert_eq!(limit.wait(&arrival, exchange).await, None);
    // Well below the time that the bytes of the fast start would take at the lowest rate.
    let took = clock::now().since(started);
    assert!(took < Millis(6_000), "{took}");
}
