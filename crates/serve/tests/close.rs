//! What clients see when the connections of a listener are closed.

use std::{
    io::{self, Read, Write},
    net, thread, time,
};

use ntex::http::{Request, Response};
use serve::{Connections, Limits};

/// Time that the handler takes for `/slow`.
const SLOW: time::Duration = time::Duration::from_millis(300);
/// Size of the answer to `/large`: more than the buffers of the sockets.
const LARGE: usize = 16 << 20;
/// Time after which the clients have sent their requests.
const SENT: time::Duration = time::Duration::from_millis(100);

async fn handle(req: Request) -> Response {
    match req.path() {
        "/slow" => {
            tokio::time::sleep(SLOW).await;
            Response::Ok().body("slow")
        }
        "/large" => Response::Ok().body(vec![b'x'; LARGE]),
        _ => Response::Ok().body("fast"),
    }
}

fn listener() -> (net::TcpListener, net::SocketAddr) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Sends a request without asking to close the connection and returns what arrives after `pause`,
/// until its end.
fn send(addr: net::SocketAddr, path: &str, pause: time::Duration) -> thread::JoinHandle<String> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    thread::spawn(move || {
        let mut tcp = net::TcpStream::connect(addr).unwrap();
        tcp.write_all(text.as_bytes()).unwrap();
        thread::sleep(pause);
        let mut answer = String::new();
        let result = tcp.read_to_string(&mut answer);
        assert!(result.is_ok(), "{result:?} after {} bytes", answer.len());
        answer
    })
}

/// Serves a listener whose connections are closed after `open`, until they have ended.
async fn serve_for(open: time::Duration, listener: net::TcpListener) -> io::Result<()> {
    serve_limited(Limits::default(), open, listener).await
}

async fn serve_limited(
    limits: Limits,
    open: time::Duration,
    listener: net::TcpListener,
) -> io::Result<()> {
    let connections = Connections::default();
    let closer = connections.clone();
    let served = serve::listen("test", listener, limits, connections, handle);
    let close = async {
        tokio::time::sleep(open).await;
        closer.close();
    };
    tokio::join!(served, close).0
}

/// Guards against a request that is cut because the listener is closed.
#[ntex::test]
async fn a_request_under_way_is_answered() {
    let (listener, addr) = listener();
    let client = send(addr, "/slow", time::Duration::ZERO);
    serve_for(SENT, listener).await.unwrap();
    assert!(client.join().unwrap().ends_with("\r\n\r\nslow"));
}

/// Guards against a process that ends before it has written its answers.
#[ntex::test]
async fn an_answer_is_written_to_its_end() {
    let (listener, addr) = listener();
    let client = send(addr, "/large", 25 * SENT);
    serve_for(SENT, listener).await.unwrap();
    let answer = client.join().unwrap();
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.len());
    assert_eq!(body, Some(LARGE));
}

/// Guards against an idle connection that keeps the listener from ending.
#[ntex::test]
async fn an_idle_connection_is_closed() {
    let (listener, addr) = listener();
    let client = send(addr, "/fast", time::Duration::ZERO);
    let began = time::Instant::now();
    serve_for(SENT, listener).await.unwrap();
    assert!(began.elapsed() < time::Duration::from_secs(2));
    assert!(client.join().unwrap().ends_with("\r\n\r\nfast"));
}

/// Guards against a connection that is reset because it waited to be accepted.
#[ntex::test]
async fn a_connection_in_the_queue_is_answered() {
    let (listener, addr) = listener();
    let clients: Vec<_> = (0..20)
        .map(|_| send(addr, "/fast", time::Duration::ZERO))
        .collect();
    thread::sleep(SENT);
    serve_for(time::Duration::ZERO, listener).await.unwrap();
    for client in clients {
        assert!(client.join().unwrap().ends_with("\r\n\r\nfast"));
    }
}

/// Guards against a connection over the limit that is closed without an answer.
#[ntex::test]
async fn a_request_over_the_limit_is_refused() {
    let (listener, addr) = listener();
    let limits = Limits {
        max_connections: 1,
        ..Limits::default()
    };
    let first = send(addr, "/slow", time::Duration::ZERO);
    let second = thread::spawn(move || {
        thread::sleep(SENT);
        send(addr, "/fast", time::Duration::ZERO).join().unwrap()
    });
    serve_limited(limits, 2 * SENT, listener).await.unwrap();
    assert!(first.join().unwrap().ends_with("\r\n\r\nslow"));
    let refused = second.join().unwrap().to_ascii_lowercase();
    assert!(refused.starts_with("http/1.1 503 "), "{refused:?}");
    assert!(refused.contains("\r\nretry-after: 0\r\n"), "{refused:?}");
}
