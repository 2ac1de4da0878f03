//! Crowds of callers that send without end, hand in bodies that are large once decoded, leave their
//! answers unread, or close and come again. Checked are the life of the process, its memory, its
//! descriptors, and ordinary requests beside the crowd and after it; no times, and not which requests
//! of the crowd are refused.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    net,
    sync::{Mutex, MutexGuard, PoisonError},
    time,
};

use crate::common::{
    Process, crowd,
    flood::{Flood, Script, Then},
};

/// Number of callers in a crowd.
pub const CALLERS: usize = 64;
/// Number of callers that send many requests one after the other.
pub const REQUESTERS: usize = 200;
/// Number of callers whose bodies are whole.
pub const BODIES: usize = 100;
/// Setting `connections` of the processes: room for each crowd and for ordinary callers.
pub const CONNECTIONS: usize = 700;
/// Maximum size of a body in the configuration, as in the users' own.
pub const BODY_BYTES: usize = 256 << 10;
/// Bytes that each caller sends in a line that has no end.
pub const ENDLESS_BYTES: usize = 64 << 20;
/// Bound of the memory of a process: half of that of the smallest VM.
pub const MAX_MEMORY_KIB: u64 = 60 << 10;
/// Bound of the descriptors beside those before the crowd and the setting `connections`: 64
/// connections that get a refusal, and a few descriptors of the process's own.
pub const MORE_DESCRIPTORS: usize = 64 + 16;
/// Time after which ordinary requests are sent although the crowd still sends.
pub const SENDING: time::Duration = time::Duration::from_secs(2);
/// Number of ordinary requests beside a crowd.
pub const ORDINARY: usize = 5;

/// End of the head of a request with a body in chunks.
pub const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// Keeps the tests of this file from running at once.
static ALONE: Mutex<()> = Mutex::new(());

pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a crowd to `addr` and ordinary requests to `proc`.
pub fn check(
    proc: &mut Process,
    addr: net::SocketAddr,
    callers: usize,
    scripts: &[Script],
    ordinary: impl Fn(&str),
) {
    let pid = proc.pid();
    let before = crowd::descriptors(pid);
    let flood = Flood::start(addr, callers, scripts, SENDING);
    proc.assert_running();
    let descriptors = crowd::descriptors(pid);
    for _ in 0..ORDINARY {
        ordinary("beside the crowd");
    }
    proc.assert_running();
    drop(flood);
    ordinary("after the crowd");
    proc.assert_running();
    let memory = crowd::peak_memory_kib(pid);
    println!("{callers} callers: {memory} KiB, {before} descriptors, then {descriptors}");
    assert!(memory <= MAX_MEMORY_KIB, "{callers} callers: {memory} KiB");
    let most = before + CONNECTIONS + MORE_DESCRIPTORS;
    assert!(descriptors <= most, "{before}, then {descriptors}");
}

/// Returns a script that ends with a line of which only the begin is sent.
pub fn endless(start: String) -> Script {
    let start = start.into_bytes();
    Script {
        start,
        repeated: b"yyyyyyyyyyyyyyyy".to_vec(),
        times: ENDLESS_BYTES / 16,
        then: Then::Stay,
    }
}

pub fn once(request: String, then: Then) -> Script {
    Script {
        start: request.into_bytes(),
        repeated: Vec::new(),
        times: 0,
        then,
    }
}

pub fn many(request: String, then: Then) -> Script {
    Script {
        start: Vec::new(),
        repeated: request.into_bytes(),
        times: 1 << 20,
        then,
    }
}

pub fn authorization(key: Option<&str>) -> String {
    key.map_or_else(String::new, |k| format!("authorization: Bearer {k}\r\n"))
}

pub fn with_body(head: &str, body: &str) -> String {
    format!("{head}content-length: {}\r\n\r\n{body}", body.len())
}
