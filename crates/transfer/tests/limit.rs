//! Calls whose answers are long, trickle or go silent.

use base::clock::{self, Millis};
use tokio::time;
use transfer::{exchange::Exchange, limit::Limit};

const LIMIT: Millis = Millis(300);
/// Allowance for a busy machine.
const SLACK: Millis = Millis(250);

async fn sleep(t: Millis) {
    time::sleep(t.to_duration()).await;
}

/// Records `count` pieces of `bytes` bytes, one after each `pause`.
async fn arrive(exchange: &Exchange, count: usize, bytes: usize, pause: Millis) {
    for _ in 0..count {
        sleep(pause).await;
        exchange.record(bytes);
    }
}

/// Guards against a long answer that is given up while it arrives, whatever its size.
#[ntex::test]
async fn an_answer_that_arrives_is_waited_for() {
    let exchange = Exchange::default();
    let call = arrive(&exchange, 20, 4_000, Millis(50));
    let limit = Limit::from(LIMIT);
    assert_eq!(limit.wait(&exchange, call).await, Some(()));
    assert_eq!(exchange.bytes(), 80_000);
}

/// Guards against a silent connection that is noticed later than after the limit.
#[ntex::test]
async fn a_silent_connection_is_noticed_after_the_limit() {
    let exchange = Exchange::default();
    let started = clock::now();
    let result = Limit::from(LIMIT).wait(&exchange, std::future::pending::<()>());
    assert_eq!(result.await, None);
    let took = clock::now().since(started);
    assert!(took >= LIMIT && took < LIMIT + SLACK, "{took}");
}

/// Returns for how long nothing had arrived when an answer was given up that stops after ten pieces of
/// `bytes` bytes.
async fn idle_time(bytes: usize) -> Millis {
    let exchange = Exchange::default();
    let call = async {
        arrive(&exchange, 10, bytes, Millis(50)).await;
        std::future::pending::<()>().await;
    };
    let limit = Limit {
        answer: Millis::from_secs(60),
        pause: LIMIT,
    };
    assert_eq!(limit.wait(&exchange, call).await, None);
    clock::now().since(exchange.last().unwrap())
}

/// Guards against an answer that is waited for although its connection has gone silent in its middle,
/// and against one whose pause is compared with the time for the first byte.
#[ntex::test]
async fn an_answer_that_stops_is_given_up_after_the_pause() {
    let idle = idle_time(40_000).await;
    assert!(idle >= LIMIT && idle < LIMIT + SLACK, "{idle}");
}

/// Guards against an answer that is given up on a narrow link while it waits behind others, and against
/// a pause without a bound there.
#[ntex::test]
async fn an_answer_on_a_narrow_link_may_pause_for_longer() {
    let idle = idle_time(400).await;
    let max = Millis(2_000);
    assert!(idle > LIMIT + SLACK && idle < max + SLACK, "{idle}");
}

/// Guards against a call that hangs on a connection on which bytes trickle, also after a fast start.
#[ntex::test]
async fn an_answer_that_trickles_is_given_up() {
    let exchange = Exchange::default();
    let call = async {
        exchange.record(400_000);
        arrive(&exchange, 600, 100, Millis(100)).await;
    };
    let limit = Limit::from(LIMIT);
    let started = clock::now();
    assert_eq!(limit.wait(&exchange, call).await, None);
    // Well below the time that the bytes of the fast start would take at the lowest rate.
    let took = clock::now().since(started);
    assert!(took < Millis(6_000), "{took}");
}
