//! Exchanges between a client and a server over loopback.

use std::{cell::Cell, io::Write, net, rc::Rc, thread, time};

use base::clock::Millis;
use standin::narrow_link::NarrowLink;
use tokio::sync::{mpsc, oneshot};
use wire::{
    client::{Client, WireError},
    message::{Effect, Reply, Request},
    server::{self, Server},
};

/// Time limit of a shutdown.
const LIMIT: Millis = Millis(5_000);

fn listener() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Answers `Ping` at once and `QuorumRead` after a delay of `known_revision` milliseconds.
async fn handle(req: Request) -> Reply {
    match req {
        Request::Ping => Reply::Pong,
        Request::QuorumRead { known_revision, .. } => {
            tokio::time::sleep(time::Duration::from_millis(known_revision)).await;
            Reply::QuorumRead {
                revision: known_revision,
                table_reached: true,
            }
        }
        _ => Reply::Failed {
            code: "unused".into(),
            message: String::new(),
            done: Effect::None,
        },
    }
}

fn start() -> (Server, Client) {
    let server = server::serve(listener(), handle).unwrap();
    let client = Client::new(server.addr());
    (server, client)
}

/// Guards against an answer that is returned to another call when answers arrive out of order.
#[ntex::test]
async fn answers_out_of_order_reach_their_calls() {
    let (_server, client) = start();
    let slow = Request::QuorumRead {
        member: 1,
        known_revision: 60,
    };
    let fast = Request::QuorumRead {
        member: 1,
        known_revision: 1,
    };
    let (slow, fast) = tokio::join!(client.call(&slow), client.call(&fast));
    assert_eq!(
        slow,
        Ok(Reply::QuorumRead {
            revision: 60,
            table_reached: true
        })
    );
    assert_eq!(
        fast,
        Ok(Reply::QuorumRead {
            revision: 1,
            table_reached: true
        })
    );
}

/// Guards against a call that is reported as lost although it never left the process.
#[ntex::test]
async fn a_refused_connection_means_not_sent() {
    let closed = listener().local_addr().unwrap();
    let reply = Client::new(closed).call(&Request::Ping).await;
    assert!(matches!(reply, Err(WireError::NotSent { .. })), "{reply:?}");
}

/// Guards against a call without an answer that is reported as not sent.
#[ntex::test]
async fn a_missing_answer_means_lost() {
    let (_server, client) = start();
    let client = client.with_timeout(Millis(50));
    let reply = client
        .call(&Request::QuorumRead {
            member: 1,
            known_revision: 60_000,
        })
        .await;
    assert!(matches!(reply, Err(WireError::Lost { .. })), "{reply:?}");
}

/// Guards against a client that keeps using a connection after its server has stopped.
#[ntex::test]
async fn the_client_reconnects_after_a_server_restart() {
    let (server, client) = start();
    assert_eq!(client.call(&Request::Ping).await, Ok(Reply::Pong));
    let addr = server.addr();
    assert!(server.shutdown(LIMIT).await);
    let _restarted = server::serve(net::TcpListener::bind(addr).unwrap(), handle).unwrap();
    assert_eq!(client.call(&Request::Ping).await, Ok(Reply::Pong));
}

/// Guards against a shutdown that aborts an exchange in progress.
#[ntex::test]
async fn shutdown_waits_for_exchanges() {
    let (began, begun) = oneshot::channel();
    let began = Rc::new(Cell::new(Some(began)));
    let server = server::serve(listener(), move |req| {
        if let Some(began) = began.take() {
            began.send(()).unwrap();
        }
        handle(req)
    });
    let server = server.unwrap();
    let client = Client::new(server.addr());
    let call = client.call(&Request::QuorumRead {
        member: 1,
        known_revision: 80,
    });
    let stop = async {
        begun.await.unwrap();
        assert!(server.shutdown(LIMIT).await);
    };
    let (reply, ()) = tokio::join!(call, stop);
    assert_eq!(
        reply,
        Ok(Reply::QuorumRead {
            revision: 80,
            table_reached: true
        })
    );
}

/// Guards against a call that is reported as lost although the server, which was shut down at any
/// step of the call, has not run it.
#[ntex::test]
async fn a_call_beside_a_shutdown_is_answered_or_not_sent() {
    let mut answered = 0;
    for turns in 0..20 {
        let runs = Rc::new(Cell::new(0));
        let counted = runs.clone();
        let server = server::serve(listener(), move |req| {
            counted.set(counted.get() + 1);
            handle(req)
        });
        let server = server.unwrap();
        let client = Client::new(server.addr());
        let stop = async {
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            server.shutdown(LIMIT).await
        };
        let (reply, ended) = tokio::join!(client.call(&Request::Ping), stop);
        assert!(ended, "turn {turns}: the server goes on");
        match reply {
            Ok(_) => answered += 1,
            Err(WireError::NotSent { .. }) => assert_eq!(runs.get(), 0, "turn {turns}"),
            Err(e) => panic!("turn {turns}: {} runs, {e}", runs.get()),
        }
    }
    assert!(answered > 0);
}

/// Guards against a shutdown that closes a connection before the peer has received its answers.
#[ntex::test]
async fn shutdown_delivers_large_answers() {
    for round in 0..8 {
        let listener = listener();
        let client = Client::new(listener.local_addr().unwrap());
        let (stop, stopped) = oneshot::channel();
        let (began, mut begun) = mpsc::unbounded_channel();
        let server = thread::spawn(move || {
            ntex::rt::System::new("wire", ntex::rt::DefaultRuntime).block_on(async move {
                let server = server::serve(listener, move |_| {
                    began.send(()).unwrap();
                    answer_large()
                });
                let server = server.unwrap();
                stopped.await.unwrap();
                server.shutdown(LIMIT).await
            })
        });
        let calls: Vec<_> = (0..6)
            .map(|_| {
                let client = client.clone();
                ntex::rt::spawn(async move { client.call(&Request::Ping).await })
            })
            .collect();
        for _ in &calls {
            begun.recv().await.unwrap();
        }
        stop.send(()).unwrap();
        // The client reads nothing while the server sends.
        thread::sleep(time::Duration::from_millis(100));
        for call in calls {
            let reply = call.await.unwrap().map(drop);
            assert_eq!(reply, Ok(()), "round {round}");
        }
        let ended = ntex::rt::spawn_blocking(move || server.join().unwrap());
        assert!(ended.await.unwrap(), "the server goes on");
    }
}

async fn answer_large() -> Reply {
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    Reply::Failed {
        code: "large".into(),
        message: "x".repeat(1_000_000),
        done: Effect::None,
    }
}

/// A link of 2 Mbit/s, which carries the large answer in 4 s.
const NARROW: u32 = 250_000;

/// Guards against a configuration that a peer on a narrow link never gets, because the call and its
/// connection are given up while the answer arrives.
#[ntex::test]
async fn an_answer_that_is_long_for_the_link_is_received() {
    let server = server::serve(listener(), |_| answer_large()).unwrap();
    let link = NarrowLink::start(server.addr(), NARROW).unwrap();
    let client = Client::new(link.addr()).with_timeout(Millis(1_000));
    let reply = client.call(&Request::Ping).await;
    let Ok(Reply::Failed { message, .. }) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(message.len(), 1_000_000);
}

/// Guards against a request that is given up while it is sent.
#[ntex::test]
async fn a_request_that_is_long_for_the_link_is_received() {
    let (server, _) = start();
    let link = NarrowLink::start(server.addr(), NARROW).unwrap();
    let client = Client::new(link.addr()).with_timeout(Millis(1_000));
    let req = Request::Apply {
        change: 1,
        operator: "ops".parse().unwrap(),
        records: vec!["x".repeat(500); 1_000],
        expected_revision: None,
    };
    let reply = client.call(&req).await;
    assert!(matches!(reply, Ok(Reply::Failed { .. })), "{reply:?}");
}

/// Guards against a shutdown that waits for a peer that has not opened its connection, and against
/// one without end beside a peer that does not read.
#[ntex::test]
async fn shutdown_ends_beside_silent_peers() {
    let (server, client) = start();
    let _unopened = net::TcpStream::connect(server.addr()).unwrap();
    assert_eq!(client.call(&Request::Ping).await, Ok(Reply::Pong));
    assert!(server.shutdown(LIMIT).await);

    let (server, _) = start();
    let mut frozen = net::TcpStream::connect(server.addr()).unwrap();
    frozen
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .unwrap();
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert!(!server.shutdown(Millis(100)).await);
}

/// Guards against accepting a peer that speaks another version of the protocol.
#[ntex::test]
async fn an_unknown_protocol_is_refused() {
    let (_server, client) = start();
    let reply = client.call(&Request::Hello { protocol: 9 }).await.unwrap();
    let Reply::Failed { code, done, .. } = reply else {
        panic!("{reply:?}")
    };
    assert_eq!((code.as_str(), done), ("unknown_protocol", Effect::None));
}
