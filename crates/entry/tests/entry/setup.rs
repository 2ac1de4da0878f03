//! Builder of entries with their stand-ins, and a small blocking HTTP client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use base::clock::Millis;
use entry::{Handle, auth::TokenHash, entry_cfg::EntryCfg};
use serde_json::{Value, json};
use standin::{
    backend,
    backend_cfg::{BackendCfg, BackendFaults, ServiceTime},
    faults::Faults,
    narrow_link::NarrowLink,
    platform,
    platform_cfg::PlatformCfg,
};
use store::vm::{Vm, VmRole, VmState};
use wire::message::{Reply, Request};

/// Timeout of socket reads and of [`eventually`].
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// Rate of a link at first, in bytes a second.
const WIDE: u32 = 10 << 20;
pub const ORG: &str = "rain-cover";
pub const TOKEN: &str = "rain-cover-token";
pub const OTHER_TOKEN: &str = "lamp-loans-token";
pub const OPERATOR_TOKEN: &str = "operator-token";

/// HTTP response as the caller received it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a string field of the JSON body.
    pub fn field(&self, name: &str) -> String {
        self.json()[name].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the code and the outcome of a refusal.
    pub fn refusal(&self) -> (String, String) {
        (self.field("code"), self.field("outcome"))
    }

    pub fn header(&self, name: &str) -> Option<String> {
        let lines = self.head.lines().filter_map(|l| l.split_once(':'));
        let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.trim().to_owned())
    }
}

/// Sends raw bytes and reads the response; returns `None` if the connection ends before its end.
pub fn send_raw(addr: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let mut tcp = TcpStream::connect(addr).ok()?;
    tcp.set_read_timeout(Some(TIMEOUT)).unwrap();
    // The entry may refuse the request and close the connection before it has read all bytes.
    let _ = tcp.write_all(bytes);
    receive(&mut tcp)
}

pub fn receive(tcp: &mut TcpStream) -> Option<Response> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16_384];
    loop {
        if let Some(response) = parse(&bytes) {
            return Some(response);
        }
        match tcp.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Response> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut response = Response {
        status,
        head,
        body: bytes[end + 4..].to_vec(),
    };
    let length: usize = response
        .header("content-length")
        .map_or(0, |v| v.parse().unwrap());
    if response.body.len() < length {
        return None;
    }
    response.body.truncate(length);
    Some(response)
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut lines = vec![format!("{method} {path} HTTP/1.1"), "host: entry".into()];
    lines.extend(
        headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}")),
    );
    lines.push(format!("content-length: {}\r\n\r\n", body.len()));
    let text = lines.join("\r\n");
    [text.as_bytes(), body].concat()
}

pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Response {
    send_raw(addr, &request(method, path, headers, body)).expect("a complete response")
}

/// Polls until `done` returns true; fails the test after [`TIMEOUT`].
pub fn eventually(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !done() {
        assert!(
            Instant::now() < end,
            "condition not reached in time: {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the faults of a server with one change to the defaults.
pub fn server_faults(change: impl FnOnce(&mut BackendFaults)) -> BackendFaults {
    let mut faults = BackendFaults::default();
    change(&mut faults);
    faults
}

/// Returns the faults of the platform with one change to the defaults.
pub fn platform_faults(change: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    change(&mut faults);
    faults
}

/// One or more entries with their stand-ins.
pub struct System {
    pub platform: platform::Handle,
    /// Link between the entries and the platform.
    pub link: NarrowLink,
    pub backends: backend::Handle,
    pub entries: Vec<Handle>,
    pub vms: Vec<Vm>,
    pub scheduler: Scheduler,
}

/// Builder of a [`System`].
pub struct Builder {
    servers: u16,
    entries: usize,
    raw_servers: Vec<SocketAddr>,
    cfg: Value,
    backend: BackendCfg,
    replies: Vec<Reply>,
    on_link: bool,
}

pub fn system() -> Builder {
    let time = ServiceTime {
        min_ms: Millis(1),
        mean_ms: Millis(0),
        max_ms: Millis(1),
    };
    Builder {
        servers: 1,
        entries: 1,
        raw_servers: Vec::new(),
        cfg: json!({ "config_poll_ms": 50, "vm_poll_ms": 50, "stop_notice_ms": 50 }),
        backend: BackendCfg {
            default_time: time,
            ..BackendCfg::default()
        },
        replies: Vec::new(),
        on_link: false,
    }
}

impl Builder {
    pub fn servers(mut self, servers: u16) -> Self {
        self.servers = servers;
        self
    }

    pub fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets a setting of the entries.
    pub fn set(mut self, name: &str, value: Value) -> Self {
        self.cfg[name] = value;
        self
    }

    /// Uses `addr` as a backend server in place of the stand-ins.
    pub fn raw_server(mut self, addr: SocketAddr) -> Self {
        self.raw_servers.push(addr);
        self
    }

    /// Sets the service time of the backend stand-ins.
    pub fn service_ms(mut self, ms: u64) -> Self {
        self.backend.default_time.min_ms = Millis(ms);
        self.backend.default_time.max_ms = Millis(ms);
        self
    }

    /// Sets the number of padding bytes in the answers of the backend stand-ins.
    pub fn answer_bytes(mut self, bytes: usize) -> Self {
        self.backend.answer_bytes = bytes;
        self
    }

    /// Sets the replies that the scheduler gives in turn; the last one is repeated.
    pub fn replies(mut self, replies: Vec<Reply>) -> Self {
        self.replies = replies;
        self
    }

    /// Connects the entries to the platform over a link, which is wide at first.
    pub fn on_link(mut self) -> Self {
        self.on_link = true;
        self
    }

    pub fn start(mut self) -> System {
        self.backend.servers = self.servers;
        let backends = backend::start(self.backend).unwrap();
        let addrs = match self.raw_servers.as_slice() {
            [] => backends.addrs().to_vec(),
            raw_servers => raw_servers.to_vec(),
        };
        let vms: Vec<Vm> = addrs.iter().enumerate().map(|(i, a)| vm(i, *a)).collect();
        let platform = platform::start(PlatformCfg {
            vms: vms.clone(),
            ..PlatformCfg::default()
        })
        .unwrap();
        let link = NarrowLink::start(platform.addr(), WIDE).unwrap();
        let platform_addr = if self.on_link {
            link.addr()
        } else {
            platform.addr()
        };
        let scheduler = Scheduler::start(self.replies);
        put_config(platform.addr(), 1, &[]);
        let mut cfg = self.cfg;
        cfg["table"] = json!(platform_addr);
        cfg["vm_list"] = json!(platform_addr);
        if cfg.get("schedulers").is_none() {
            cfg["schedulers"] = json!([scheduler.addr]);
        }
        let hash = TokenHash::of(OPERATOR_TOKEN).to_string();
        cfg["operators"] = json!([{ "name": "aigerim", "token_hash": hash }]);
        let mut system = System {
            platform,
            link,
            backends,
            entries: Vec::new(),
            vms,
            scheduler,
        };
        for _ in 0..self.entries {
            let cfg = EntryCfg::from_value(cfg.clone()).unwrap();
            system.entries.push(entry::start(cfg).unwrap());
        }
        for i in 0..self.entries {
            eventually("every entry is ready", || {
                system.get(i, "/ready").status == 200
            });
        }
        system
    }
}

pub fn vm(index: usize, address: SocketAddr) -> Vm {
    Vm {
        name: format!("s{index}").parse().unwrap(),
        address,
        data_centre: "a".parse().unwrap(),
        role: VmRole::Backend {
            service: "refund".parse().unwrap(),
        },
        state: VmState::Live,
    }
}

/// Writes the test configuration as revision `revision`, with additional organisations.
pub fn put_config(platform: SocketAddr, revision: u64, additional: &[&str]) {
    let operation = |name: &str, repeatable: bool, class: &str| json!({ "name": name, "class": class, "repeatable": repeatable, "deadline_ms": 5000 });
    let organisation = |name: &str, token: &str| {
        let hash = TokenHash::of(token).to_string();
        json!({ "name": name, "token_hashes": [hash], "guarantees": [], "weight": 1 })
    };
    let operations = json!([
        operation("score", true, "live"),
        operation("pay", false, "live"),
        operation("check", true, "deferrable"),
    ]);
    let mut rows = vec![
        ("rev".to_owned(), json!({ "revision": revision })),
        (
            "service/refund".to_owned(),
            json!({ "name": "refund", "operations": operations }),
        ),
        (format!("org/{ORG}"), organisation(ORG, TOKEN)),
        (
            "org/lamp-loans".to_owned(),
            organisation("lamp-loans", OTHER_TOKEN),
        ),
    ];
    for name in additional {
        rows.push((format!("org/{name}"), organisation(name, name)));
    }
    put_rows(platform, &rows);
}

pub fn put_rows(platform: SocketAddr, rows: &[(String, Value)]) {
    let write = |(key, value): &(String, Value)| json!({ "key": key, "value": value.to_string() });
    let writes: Vec<Value> = rows.iter().map(write).collect();
    let txn = json!({ "checks": [], "writes": writes }).to_string();
    let got = send(platform, "POST", "/tables/commit", &[], txn.as_bytes());
    assert_eq!(got.status, 200, "{got:?}");
}

impl System {
    pub fn addr(&self) -> SocketAddr {
        self.entries[0].addr()
    }

    pub fn get(&self, entry: usize, path: &str) -> Response {
        send(self.entries[entry].addr(), "GET", path, &[], b"")
    }

    pub fn dump(&self) -> Value {
        self.get(0, "/dump").json()
    }

    /// Calls a repeatable operation.
    pub fn call_repeatable(&self) -> Response {
        call(self.addr(), "score", &[], b"{}")
    }

    /// Calls an operation that is not repeatable.
    pub fn pay(&self, key: &str) -> Response {
        pay(self.addr(), key)
    }

    /// Sends a request to the control plane; a null body is sent as an empty one.
    pub fn control(&self, method: &str, path: &str, token: &str, body: &Value) -> Response {
        let bearer = format!("Bearer {token}");
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let headers = [("authorization", &*bearer)];
        send(self.addr(), method, path, &headers, body.as_bytes())
    }

    pub fn set_faults(&self, faults: &BackendFaults) {
        for server in self.backends.servers() {
            server.set_faults(faults.clone());
        }
    }

    /// Returns the number of executions on all servers.
    pub fn runs(&self) -> usize {
        self.backends
            .servers()
            .iter()
            .map(|s| s.history().len())
            .sum()
    }

    /// Returns the number of executions of requests with this key in their body.
    pub fn runs_of(&self, key: &str) -> usize {
        let servers = self.backends.servers().iter();
        let all = servers.flat_map(standin::backend::Server::history);
        all.filter(|e| e.key.as_deref() == Some(key)).count()
    }
}

pub fn call(
    addr: SocketAddr,
    operation: &str,
    additional: &[(&str, &str)],
    body: &[u8],
) -> Response {
    let bearer = format!("Bearer {TOKEN}");
    let mut headers = vec![("authorization", &*bearer)];
    headers.extend_from_slice(additional);
    send(
        addr,
        "POST",
        &format!("/call/refund/{operation}"),
        &headers,
        body,
    )
}

pub fn pay(addr: SocketAddr, key: &str) -> Response {
    let body = json!({ "key": key }).to_string();
    call(addr, "pay", &[("idempotency-key", key)], body.as_bytes())
}

/// Scheduler that gives scripted replies and records all requests except polls by entries.
pub struct Scheduler {
    pub addr: SocketAddr,
    pub requests: Arc<Mutex<Vec<Request>>>,
    _stop: mpsc::Sender<()>,
}

impl Scheduler {
    pub fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (stop, stopped) = mpsc::channel::<()>();
        let recorded = requests.clone();
        thread::spawn(move || {
            let system = ntex::rt::System::new("scheduler", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let next = Arc::new(Mutex::new(replies.into_iter()));
                let last = Arc::new(Mutex::new(None));
                let _server = wire::server::serve(listener, move |req| {
                    let is_poll = matches!(&req, Request::Current { member, .. } if *member != 0);
                    if !is_poll {
                        recorded.lock().unwrap().push(req);
                        if let Some(reply) = next.lock().unwrap().next() {
                            *last.lock().unwrap() = Some(reply);
                        }
                    }
                    let scripted = last.lock().unwrap().clone().filter(|_| !is_poll);
                    let reply = scripted.unwrap_or(Reply::NotLeader { leader: None });
                    async move { reply }
                })
                .unwrap();
                while stopped.try_recv() == Err(mpsc::TryRecvError::Empty) {
                    ntex::time::sleep(ntex::time::Millis(20)).await;
                }
            });
        });
        Self {
            addr,
            requests,
            _stop: stop,
        }
    }
}
