//! The platform's balancer: nodes in rotation, and connections that callers keep open.

use std::{
    iter, net,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    thread, time,
};

use super::{Addrs, DATA_CENTRES, judge};
use crate::common::{self, keep_alive::Connection};

/// Interval of the readiness checks, and number of misses after which a node is out of rotation.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
const MISSES: u8 = 2;
/// Maximum number of connections that are kept open, and share of the requests on new ones.
const KEPT: usize = 300;
const NEW: usize = 4;
const CONNECT_PAUSE: time::Duration = time::Duration::from_millis(20);
const CONNECT_TRIES: usize = 100;

pub struct Rotation {
    addrs: Addrs,
    misses: Vec<AtomicU8>,
    kept: Mutex<Vec<(usize, Connection)>>,
    refused: AtomicUsize,
}

impl Rotation {
    /// Starts the readiness checks, which go on until `stop` is set.
    pub fn start(addrs: Addrs, ready_addrs: &Addrs, stop: &Arc<AtomicBool>) -> Arc<Self> {
        let rotation = Arc::new(Self {
            misses: iter::repeat_with(AtomicU8::default)
                .take(addrs.len())
                .collect(),
            addrs,
            kept: Mutex::default(),
            refused: AtomicUsize::default(),
        });
        for (i, addr) in ready_addrs.iter().copied().enumerate() {
            let (rotation, stop) = (rotation.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    rotation.check(i, addr);
                    thread::sleep(CHECK_INTERVAL);
                }
            });
        }
        rotation
    }

    fn check(&self, i: usize, addr: net::SocketAddr) {
        let answer = common::get(addr, "/-/readiness");
        let misses = if answer.is_some_and(|a| a.status == 200) {
            0
        } else {
            self.misses[i].load(Ordering::Relaxed).saturating_add(1)
        };
        self.misses[i].store(misses, Ordering::Relaxed);
    }

    /// Returns a node of a random data centre that takes new connections.
    fn pick(&self) -> usize {
        let all = (fastrand::usize(..DATA_CENTRES)..self.addrs.len()).step_by(DATA_CENTRES);
        let all: Vec<usize> = all.collect();
        let is_in = |i: &usize| self.misses[*i].load(Ordering::Relaxed) < MISSES;
        let mut picked: Vec<usize> = all.iter().copied().filter(is_in).collect();
        if picked.len() * 2 < all.len() {
            picked = all;
        }
        picked[fastrand::usize(..picked.len())]
    }

    /// Returns a connection, its node, and whether it was kept open.
    pub fn take(&self) -> Option<(usize, Connection, bool)> {
        while fastrand::usize(..NEW) > 0 {
            let mut kept = self.kept.lock().unwrap();
            if kept.is_empty() {
                break;
            }
            let i = fastrand::usize(..kept.len());
            let (node, connection) = kept.swap_remove(i);
            if connection.is_open() {
                return Some((node, connection, true));
            }
        }
        for _ in 0..CONNECT_TRIES {
            let node = self.pick();
            if let Ok(connection) = Connection::open(self.addrs[node]) {
                connection.set_limit(judge::CALL_LIMIT).ok()?;
                return Some((node, connection, false));
            }
            self.refused.fetch_add(1, Ordering::Relaxed);
            thread::sleep(CONNECT_PAUSE);
        }
        None
    }

    /// Keeps a connection for further requests unless the server closes it.
    pub fn put_back(&self, node: usize, connection: Connection) {
        let mut kept = self.kept.lock().unwrap();
        if kept.len() < KEPT && connection.is_open() {
            kept.push((node, connection));
        }
    }

    /// Returns the number of connections that were refused.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::Relaxed)
    }
}
