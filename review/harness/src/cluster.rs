//! A small deployment: the project's nodes as processes, on stand-ins for store, minions and clients.

use std::{
    env,
    fmt::Write as _,
    fs,
    io::{BufRead, BufReader},
    net, path, process,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU16, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use platform_standin::{http::Answer, http::Request, store::Store};
use serde_json::{Value, json};

use crate::{http, proxy, server, worker};

/// API key of the tenant `one`, and of the tenant `two`.
pub const KEY: &str = "key-one";
pub const KEY_TWO: &str = "key-two";
/// Time limit of a client's request, the longest of the sites.
pub const TIME_LIMIT: Duration = Duration::from_millis(3_000);
/// Silence after which the platform removes the entry of a minion: three heartbeats.
const MAX_SILENCE: Duration = Duration::from_millis(4_500);
const HOST: &str = "jobs.example";

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    text: Arc<Mutex<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            text: Arc::default(),
        }
    }

    pub fn add(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(text, "{at:9.3} {line}");
    }

    pub fn text(&self) -> String {
        let text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        text.clone()
    }
}

/// A start or an end of a run, as a minion tells it.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub worker: String,
    pub task: String,
    pub attempt: u32,
    /// How the run ended; `None` for a start.
    pub end: Option<String>,
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process that ends with the value.
struct Child(process::Child);

impl Child {
    fn new(child: process::Child) -> Self {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        running.push(child.id());
        Self(child)
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|pid| *pid != self.0.id());
    }
}

pub struct Node {
    child: Option<Child>,
    settings: path::PathBuf,
    pub front: net::SocketAddr,
    ready: net::SocketAddr,
    metrics: net::SocketAddr,
}

pub struct Minion {
    child: Option<Child>,
    cfg: Value,
    pub id: String,
    pub addr: net::SocketAddr,
    /// Cuts the minion off from the nodes.
    pub switch: proxy::Switch,
}

/// Decides about a write to the store before it is carried out.
pub type Filter = Arc<dyn Fn(&Value) -> Option<Duration> + Send + Sync>;

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub minions: Vec<Minion>,
    pub store: Store,
    pub record: Record,
    events: Arc<Mutex<Vec<Event>>>,
    dir: path::PathBuf,
    _stop: Arc<AtomicBool>,
}

/// Sizes of a deployment.
pub struct Plan {
    pub nodes: usize,
    pub minions: usize,
    /// GPUs of each minion.
    pub gpu: u64,
    pub config: Value,
    /// Writes for which it returns a time are carried out that much later and not answered.
    pub lost: Option<Filter>,
}

/// Routes `/batch/` (priority 2) and `/urgent/` (priority 0) to the service `svc`.
pub fn config(version: u64, guaranteed_gpu: u64) -> Value {
    let route = |name: &str, prefix: &str, priority: u32, attempts: u32| {
        json!({"name": name, "host": HOST, "path-prefix": prefix, "type": "non_idempotent",
            "timeout-ms": 3_000, "target-latency-ms": 1_000, "priority": priority,
            "service": "svc", "max-attempts": attempts, "slack-factor": 3.0, "public": false})
    };
    json!({"version": version,
        "routes": [route("batch", "/batch/", 2, 2), route("urgent", "/urgent/", 0, 4)],
        "services": [{"name": "svc", "health-path": "/health", "max-connections": 64,
            "protocol": "h1", "tls": false, "admission-check": true, "standby": false}],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
        "tenants": [
            {"name": "one", "api-keys": [KEY], "priority": 1, "guaranteed": {"gpu": guaranteed_gpu}},
            {"name": "two", "api-keys": [KEY_TWO], "priority": 1, "guaranteed": {"gpu": 0}}]})
}

/// Returns a loopback address that no other call returns. Outgoing connections use 127.0.0.1, so
/// that nothing takes the port before it is used.
fn free_addr() -> net::SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let [_, high, mid, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 64 | (high & 0x3f), mid, low.max(2));
    net::SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::Relaxed)))
}

pub fn wait_until<T>(limit: Duration, mut f: impl FnMut() -> Option<T>) -> Option<T> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Some(value) = f() {
            return Some(value);
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

impl Cluster {
    /// Starts a deployment and waits until all nodes are ready and one leads.
    pub fn start(plan: Plan, record: &Record) -> Result<Self, String> {
        let dir = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let stop: Arc<AtomicBool> = Arc::default();
        let store = Store::start(&stop).map_err(|e| e.to_string())?;
        store.put("op", "config", &plan.config);
        let mut cluster = Self {
            nodes: Vec::new(),
            minions: Vec::new(),
            store: store.clone(),
            record: record.clone(),
            events: Arc::default(),
            dir,
            _stop: stop.clone(),
        };
        let front = cluster.store_front(plan.lost)?;
        for i in 0..plan.minions {
            let (id, addr) = (format!("i-{:02}", i + 1), free_addr());
            let listener = net::TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
            let seen = listener.local_addr().map_err(|e| e.to_string())?;
            let switch = proxy::Switch::default();
            let served = switch.clone();
            thread::spawn(move || proxy::serve(&listener, addr, &served));
            let cfg = json!({"id": id, "addr": addr, "seen": seen, "store": store.addr(),
                "rack": format!("r1-{}", i / 6), "gpu": plan.gpu});
            cluster.minions.push(Minion {
                child: None,
                cfg,
                id,
                addr,
                switch,
            });
            cluster.start_minion(i)?;
        }
        let removing = store.clone();
        thread::spawn(move || remove_silent(&removing));
        for i in 0..plan.nodes {
            cluster.add_node(i, front)?;
        }
        let ready = wait_until(Duration::from_secs(15), || {
            let is_ready = |n: &Node| {
                let answer = get(n.ready, "/-/readiness");
                answer.is_some_and(|a| a.status == 200)
            };
            let leads = cluster.nodes.iter().any(Node::leads);
            (cluster.nodes.iter().all(is_ready) && leads).then_some(())
        });
        ready.ok_or("the nodes did not get ready")?;
        // All minions are in the list that the leader reads every 0.8 s.
        thread::sleep(Duration::from_secs(2));
        cluster.record.add("started");
        Ok(cluster)
    }

    /// Serves the store at a further address, where the answers of some writes are lost.
    fn store_front(&self, lost: Option<Filter>) -> Result<net::SocketAddr, String> {
        let Some(lost) = lost else {
            return Ok(self.store.addr());
        };
        let addr = self.store.addr();
        let listener = net::TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
        let front = listener.local_addr().map_err(|e| e.to_string())?;
        let record = self.record.clone();
        let handler = move |req: &Request| -> Answer {
            let (method, path) = req.target.split_once(' ')?;
            let delay = match path {
                "/-/rows-tx" => lost(&req.body),
                _ => None,
            };
            let Some(delay) = delay else {
                return forward(addr, method, path, req);
            };
            record.add(&format!("store: a write is lost, performed in {delay:?}"));
            thread::sleep(delay);
            let answer = forward(addr, method, path, req);
            let status = answer.map(|(status, _)| status);
            record.add(&format!(
                "store: the lost write is performed, status {status:?}"
            ));
            // The channel delivers nothing further.
            thread::sleep(Duration::from_secs(60));
            None
        };
        thread::spawn(move || server::serve(&listener, &handler));
        Ok(front)
    }

    fn add_node(&mut self, i: usize, store: net::SocketAddr) -> Result<(), String> {
        let (front, ready, metrics) = (free_addr(), free_addr(), free_addr());
        // As deploy/node.json is filled in for a machine of the site rpbc-naivasha.
        let settings = json!({"name": format!("edge-a-{}", i + 1), "zone": "a", "listen": front,
            "listen_ready": ready, "listen_metrics": metrics, "store": store,
            "row_bytes": 65_536, "worker_lease_ms": 6_000, "worker_heartbeat_ms": 1_500,
            "revoke_ms": 5_000, "keep_ms": 120_000, "restore_ms": 250, "cpu_share": 0.25,
            "cores": 1, "grace_ms": 6_000});
        let path = self.dir.join(format!("node-{}.json", i + 1));
        fs::write(&path, settings.to_string()).map_err(|e| e.to_string())?;
        self.nodes.push(Node {
            child: None,
            settings: path,
            front,
            ready,
            metrics,
        });
        self.start_node(i)
    }

    pub fn start_node(&mut self, i: usize) -> Result<(), String> {
        let node = &mut self.nodes[i];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(node.settings.with_extension("log"))
            .map_err(|e| e.to_string())?;
        let child = process::Command::new("target/release/buckthorncove")
            .arg("node")
            .env("BUCKTHORNCOVE_SETTINGS", &node.settings)
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("target/release/buckthorncove: {e}"))?;
        node.child = Some(Child::new(child));
        Ok(())
    }

    /// Starts a minion, also again after a crash: under the id and at the address that it had.
    pub fn start_minion(&mut self, i: usize) -> Result<(), String> {
        let minion = &mut self.minions[i];
        let me = env::current_exe().map_err(|e| e.to_string())?;
        let mut child = process::Command::new(me)
            .arg("minion")
            .arg(minion.cfg.to_string())
            .stdout(process::Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let out = child.stdout.take().ok_or("no output of the minion")?;
        minion.child = Some(Child::new(child));
        let (events, record) = (self.events.clone(), self.record.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                record.add(&format!("minion {line}"));
                if let Some(event) = parse(&line) {
                    let mut events = events.lock().unwrap_or_else(PoisonError::into_inner);
                    events.push(event);
                }
            }
        });
        Ok(())
    }

    /// Kills a minion with SIGKILL.
    pub fn crash_minion(&mut self, i: usize) {
        self.record
            .add(&format!("minion {} crashes", self.minions[i].id));
        self.minions[i].child = None;
    }

    /// Cuts a minion off from the nodes, or ends the cut. The store is reached as before.
    pub fn set_cut(&self, i: usize, is_cut: bool) {
        let minion = &self.minions[i];
        let what = if is_cut {
            "is cut off"
        } else {
            "is reached again"
        };
        self.record.add(&format!("minion {} {what}", minion.id));
        if is_cut {
            minion.switch.cut();
        } else {
            minion.switch.heal();
        }
    }

    pub fn events(&self) -> Vec<Event> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.clone()
    }

    /// Returns the starts of a job's subtasks so far.
    pub fn starts(&self, job: &str) -> Vec<Event> {
        let mut events = self.events();
        events.retain(|e| e.end.is_none() && e.task.starts_with(job));
        events
    }

    /// Returns the ends of a job's subtasks so far.
    pub fn ends(&self, job: &str) -> Vec<Event> {
        let mut events = self.events();
        events.retain(|e| e.end.is_some() && e.task.starts_with(job));
        events
    }

    /// Sends a client's request to a node and records it with its answer.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<http::Answer> {
        self.call_within(node, method, path, key, body, TIME_LIMIT)
    }

    pub fn call_within(
        &self,
        node: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
        limit: Duration,
    ) -> Option<http::Answer> {
        let bearer = format!("Bearer {key}");
        let deadline = TIME_LIMIT.as_millis().to_string();
        let headers = [
            ("host", HOST),
            ("authorization", bearer.as_str()),
            ("x-deadline-ms", deadline.as_str()),
        ];
        let shown: String = body.chars().take(160).collect();
        self.record.add(&format!(
            "client -> node {}: {method} {path} {shown}",
            node + 1
        ));
        let answer = http::send(self.nodes[node].front, method, path, &headers, body, limit).ok();
        let shown = match &answer {
            Some(a) => format!("{} {}", a.status, a.body),
            None => "no answer".into(),
        };
        self.record.add(&format!(
            "client <- node {}: {method} {path}: {shown}",
            node + 1
        ));
        answer
    }

    /// Returns the state of a job; empty without one.
    pub fn state(&self, node: usize, path: &str, key: &str) -> String {
        let answer = self.call(node, "GET", path, key, "");
        let state = answer.map(|a| a.body["state"].as_str().unwrap_or_default().to_owned());
        state.unwrap_or_default()
    }

    /// Ends all runs on a minion as `failed`, their own fault.
    pub fn fail_runs(&self, i: usize) {
        let limit = Duration::from_secs(1);
        let addr = self.minions[i].addr;
        self.record
            .add(&format!("the runs on minion {} fail", self.minions[i].id));
        let _ = http::send(addr, "POST", "/control/fail", &[], "", limit);
    }

    /// Lets a minion lose its next answer to a start, and shed further starts for a second.
    pub fn turn_grey(&self, i: usize) {
        let limit = Duration::from_secs(1);
        let addr = self.minions[i].addr;
        self.record
            .add(&format!("minion {} turns grey", self.minions[i].id));
        let _ = http::send(addr, "POST", "/control/grey", &[], "", limit);
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        self.minions.clear();
        if env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Node {
    pub fn leads(&self) -> bool {
        get(self.metrics, "/dump").is_some_and(|a| a.body["leading"]["loaded"] == true)
    }
}

fn get(addr: net::SocketAddr, path: &str) -> Option<http::Answer> {
    http::send(addr, "GET", path, &[], "", Duration::from_millis(500)).ok()
}

fn forward(addr: net::SocketAddr, method: &str, path: &str, req: &Request) -> Answer {
    let body = match &req.body {
        Value::Null => String::new(),
        body => body.to_string(),
    };
    let path = match req.query.as_str() {
        "" => path.to_owned(),
        query => format!("{path}?{query}"),
    };
    let limit = Duration::from_secs(31);
    let answer = http::send(addr, method, &path, &[], &body, limit).ok()?;
    Some((answer.status, answer.body))
}

/// Removes the entries of minions that are silent.
fn remove_silent(store: &Store) {
    let mut seen: Vec<(String, Value, Instant)> = Vec::new();
    loop {
        let keys = store.keys();
        for (_, key) in keys.iter().filter(|(table, _)| table == "servers") {
            let Some(entry) = store.get("servers", key) else {
                continue;
            };
            let i = seen.iter().position(|(k, _, _)| k == key);
            match i {
                Some(i) if seen[i].1 != entry => seen[i] = (key.clone(), entry, Instant::now()),
                Some(i) if seen[i].2.elapsed() > MAX_SILENCE => {
                    store.delete("servers", key);
                    seen.remove(i);
                }
                Some(_) => {}
                None => seen.push((key.clone(), entry, Instant::now())),
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Reads a line of a minion, such as `i-1 start ID.0.0.3 #2` or `i-1 end ID.0.0.3 #2 done`.
fn parse(line: &str) -> Option<Event> {
    let mut words = line.split(' ');
    let worker = words.next()?.to_owned();
    let kind = words.next()?;
    let task = words.next()?.to_owned();
    let attempt = words.next()?.strip_prefix('#')?.parse().ok()?;
    let end = match kind {
        "start" => None,
        "end" => Some(words.next()?.to_owned()),
        _ => return None,
    };
    Some(Event {
        at: Instant::now(),
        worker,
        task,
        attempt,
        end,
    })
}

/// Ends the program with `code` if it still runs after `limit`; dropped when the case has ended.
pub fn watch(limit: Duration, code: i32) -> mpsc::Sender<()> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        if rx.recv_timeout(limit) == Err(mpsc::RecvTimeoutError::Timeout) {
            eprintln!("the case took too long");
            let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
            let pids = running.iter().map(u32::to_string);
            let _ = process::Command::new("kill").arg("-9").args(pids).status();
            process::exit(code);
        }
    });
    tx
}

/// Runs a minion; see [`worker::run`].
pub fn run_minion(cfg: &str) -> ! {
    let cfg = serde_json::from_str(cfg).expect("settings of the minion");
    worker::run(&cfg)
}
