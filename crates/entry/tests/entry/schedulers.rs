//! Requests that the entry forwards to the leading scheduler.

use std::net;

use base::clock::Millis;
use entry::{refusal::Outcome, schedulers::Schedulers};
use wire::{
    message::{self, Effect, Reply, Request},
    server::{self, Server},
};

fn listener() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Starts a scheduler that rebuilds its state.
fn start_unavailable() -> Server {
    let unavailable = || Reply::Failed {
        code: message::UNAVAILABLE.into(),
        message: "the state is being rebuilt".into(),
        done: Effect::None,
    };
    server::serve(listener(), move |_| async move { unavailable() }).unwrap()
}

fn cancel() -> Request {
    Request::Cancel {
        organisation: "org".parse().unwrap(),
        job: "job".parse().unwrap(),
    }
}

/// Guards against "not run" for a request that the former leader received and may have decided.
#[ntex::test]
async fn a_lost_answer_is_not_hidden_by_an_unavailable_successor() {
    let (killed, successor) = (listener(), start_unavailable());
    let schedulers = Schedulers::new(vec![killed.local_addr().unwrap(), successor.addr()]);
    let (tx, received) = tokio::sync::oneshot::channel();
    let tx = std::rc::Rc::new(std::cell::Cell::new(Some(tx)));
    let killed = server::serve(killed, move |_| {
        let _ = tx.take().map(|tx| tx.send(()));
        std::future::pending()
    })
    .unwrap();
    let kill = async {
        received.await.unwrap();
        drop(killed);
    };
    let req = cancel();
    let (reply, ()) = tokio::join!(schedulers.call(&req, Millis(400)), kill);
    assert_eq!(reply.unwrap_err().outcome, Outcome::Unknown);
}

/// Guards against "unknown" for a request that no scheduler has decided.
#[ntex::test]
async fn an_unavailable_leader_has_not_run_the_request() {
    let leader = start_unavailable();
    let schedulers = Schedulers::new(vec![leader.addr()]);
    let reply = schedulers.call(&cancel(), Millis(400)).await;
    assert!(reply.unwrap().is_unavailable());
}
