//! Order in which requests begin.

use std::{
    cell::{Cell, RefCell},
    future,
    io::Write,
    net,
    rc::Rc,
};

use ntex::{
    http::{Request, Response},
    rt,
};
use serve::{Connections, Limits, Turns};
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

/// Number of callers that have sent requests before the listener starts.
const CALLERS: usize = 200;
/// Number of requests of each.
const REQUESTS: usize = 100;

/// Guards against a listener that serves a caller's requests one after the other while others wait. What is
/// counted depends on the listener alone: all requests have arrived before it starts.
#[test]
fn a_listener_serves_callers_in_turn() {
    let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let send = |text: String| {
        let mut tcp = net::TcpStream::connect(addr).unwrap();
        tcp.write_all(text.as_bytes()).unwrap();
        tcp
    };
    let crowd = "GET /crowd HTTP/1.1\r\nhost: x\r\n\r\n".repeat(REQUESTS);
    let mut callers: Vec<net::TcpStream> = (0..CALLERS).map(|_| send(crowd.clone())).collect();
    callers.push(send("GET /ordinary HTTP/1.1\r\nhost: x\r\n\r\n".into()));
    run(async move {
        let connections = Connections::default();
        let (closer, served) = (connections.clone(), Rc::new(Cell::new(0)));
        let before = Rc::new(Cell::new(None));
        let handler = {
            let before = before.clone();
            move |req: Request| {
                served.set(served.get() + 1);
                if req.path() == "/ordinary" {
                    before.set(Some(served.get() - 1));
                    closer.close();
                }
                future::ready(Response::Ok().finish())
            }
        };
        let listened = serve::listen("test", listener, Limits::default(), connections, handler);
        listened.await.unwrap();
        let before = before.get().expect("the ordinary request is served");
        assert!(before <= 2 * CALLERS, "{before} others were served first");
    });
    drop(callers);
}
