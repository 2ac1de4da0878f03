//! Account of calls whose answers stay incomplete.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::mpsc,
    thread,
};

use base::clock::Millis;
use ntex::{http::Method, rt, util::Bytes};
use store::{
    call_account::{CallAccount, Outcome, Purpose},
    http_cfg::HttpCfg,
    http_client::{CallError, HttpClient},
};

/// Bytes of the answer that arrive, and those that never do.
const ARRIVED: usize = 30_000;
const MISSING: usize = 1;

/// Answers one request and leaves out the end of the body. The connection stays open until the
/// returned sender is dropped.
fn serve_part() -> (SocketAddr, mpsc::Sender<()>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel::<()>();
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept().unwrap();
        let mut buf = [0; 4_096];
        let _ = tcp.read(&mut buf).unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            ARRIVED + MISSING
        );
        tcp.write_all(head.as_bytes()).unwrap();
        tcp.write_all(&vec![b'x'; ARRIVED]).unwrap();
        let _ = rx.recv();
    });
    (addr, tx)
}

/// Guards against a link that is full of answers which no counter shows: the bytes of a call that was
/// given up were not counted.
#[test]
fn the_bytes_of_an_incomplete_answer_are_counted() {
    rt::System::new("test", rt::DefaultRuntime).block_on(async {
        let (addr, _open) = serve_part();
        let account: Rc<CallAccount> = Rc::default();
        let url = format!("http://{addr}");
        let client = HttpClient::new(&url, HttpCfg::default());
        let client = client.await.unwrap().with_account(account.clone());
        let req = client.request(Method::GET, "/");
        let result = client
            .call_for(Purpose::Config, req, Bytes::new(), Millis(500))
            .await;
        let Err(CallError::NoAnswer(reason)) = result else {
            panic!("{result:?}");
        };
        assert!(
            reason.contains(&format!("{ARRIVED} bytes arrived")),
            "{reason}"
        );
        let traffic = account.traffic(Purpose::Config, Outcome::NoAnswer);
        assert_eq!(traffic.calls, 1);
        assert!(traffic.received_bytes >= ARRIVED as u64, "{traffic:?}");
    });
}
