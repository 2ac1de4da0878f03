//! Callers that use their connections until the process at the other end is gone.

use std::{
    net,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use super::keep_alive::{Connection, Outcome};

/// Pause between two requests of a caller, and before it connects again.
const PAUSE: time::Duration = time::Duration::from_millis(60);

/// A request whose connection ended without a whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Index of the address that was called.
    pub node: usize,
    pub sent: time::Instant,
    pub ended: time::Instant,
}

/// Running callers, which end when this is dropped.
#[derive(Debug)]
pub struct OpenCallers {
    cuts: Arc<Mutex<Vec<Cut>>>,
    over: Arc<AtomicBool>,
}

impl OpenCallers {
    /// Starts `count` callers for each address.
    pub fn start(addrs: &[net::SocketAddr], count: usize, path: &str, key: &str) -> Self {
        let callers = Self {
            cuts: Arc::default(),
            over: Arc::default(),
        };
        for (node, addr) in addrs.iter().copied().enumerate() {
            for _ in 0..count {
                let (cuts, over) = (callers.cuts.clone(), callers.over.clone());
                let (path, key) = (path.to_owned(), key.to_owned());
                thread::spawn(move || {
                    while !over.load(Ordering::Relaxed) {
                        use_connection(addr, &path, &key, &over, |sent, ended| {
                            cuts.lock().unwrap().push(Cut { node, sent, ended });
                        });
                        thread::sleep(PAUSE);
                    }
                });
            }
        }
        callers
    }

    /// Returns the requests that were cut later than `slack` after they were sent.
    pub fn cut_after(&self, slack: time::Duration) -> Vec<Cut> {
        let cuts = self.cuts.lock().unwrap();
        let late = cuts.iter().filter(|c| c.ended - c.sent > slack);
        late.copied().collect()
    }
}

impl Drop for OpenCallers {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn use_connection(
    addr: net::SocketAddr,
    path: &str,
    key: &str,
    over: &AtomicBool,
    on_cut: impl Fn(time::Instant, time::Instant),
) {
    let Ok(mut connection) = Connection::open(addr) else {
        return;
    };
    while !over.load(Ordering::Relaxed) {
        let sent = time::Instant::now();
        match connection.send("GET", path, key, "") {
            Outcome::Answered { .. } => thread::sleep(PAUSE),
            Outcome::Cut { .. } => return on_cut(sent, time::Instant::now()),
            Outcome::NotSent => return,
        }
    }
}
