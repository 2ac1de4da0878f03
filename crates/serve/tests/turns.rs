//! Order in which requests begin.

use std::{cell::RefCell, rc::Rc};

use ntex::rt;
use serve::Turns;
use tokio::task;

/// Runs a test on the runtime of the processes.
fn run(test: impl Future<Output = ()> + 'static) {
    rt::System::new("test", rt::DefaultRuntime).block_on(test);
}

/// Takes a turn for each connection, given by the number of its last request, and returns the order in
/// which they begin.
async fn order(turns: &Rc<Turns>, lasts: &[u64]) -> Vec<u64> {
    let begun = Rc::new(RefCell::new(Vec::new()));
    let tasks = lasts.iter().map(|last| {
        let (turns, begun, last) = (turns.clone(), begun.clone(), *last);
        rt::spawn(async move {
            turns.take(last).await;
            begun.borrow_mut().push(last);
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.unwrap();
    }
    begun.take()
}

/// Guards against a caller that is served again while others wait.
#[test]
fn the_connection_served_least_recently_goes_first() {
    run(async {
        let turns = Rc::new(Turns::new(1));
        // The first finds the turn free.
        assert_eq!(order(&turns, &[9, 7, 3, 8, 3]).await, [9, 3, 3, 7, 8]);
        assert_eq!(turns.latest(), 5);
    });
}

/// Guards against turns that are kept by callers that have left, and against waiters that none serves.
#[test]
fn a_caller_that_leaves_takes_no_turn() {
    run(async {
        let turns = Rc::new(Turns::new(2));
        let first = (turns.take(0).await, turns.take(0).await);
        assert_eq!(first, (1, 2));
        {
            let leaving = turns.take(0);
            tokio::pin!(leaving);
            assert!(futures_util::poll!(leaving).is_pending());
        }
        assert_eq!(turns.take(0).await, 3);
        assert_eq!(order(&turns, &[5, 4, 6]).await, [5, 4, 6]);
    });
}

/// Guards against requests that begin one after the other without a turn for anything else.
#[test]
fn other_tasks_run_between_requests() {
    run(async {
        let turns = Rc::new(Turns::new(1));
        let other = Rc::new(RefCell::new(0));
        let counter = other.clone();
        let counting = rt::spawn(async move {
            for _ in 0..1_000 {
                *counter.borrow_mut() += 1;
                task::yield_now().await;
            }
        });
        for _ in 0..100 {
            turns.take(0).await;
        }
        assert!(*other.borrow() >= 90, "{}", other.borrow());
        counting.await.unwrap();
    });
}
