//! The leadership: what the holder of the lease knows, and the loop that plans.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::{job::Text, progress::Phase, scheduler::JobScheduler};
use lease::machine::Held;
use ntex::rt;
use tokio::sync::Notify;

use crate::{
    advice, commit,
    contact::{self, Contact},
    cx::{self, Cx},
    forget, intake, load, worker_list,
};

/// Longest time between two passes; repeats of orders and patience are decided in passes.
const TICK: Millis = Millis(250);
/// Time in which events collect before a pass, so that a wave of ends is planned once.
const GATHER: Millis = Millis(4);
/// Pause before a failed load is repeated.
const LOAD_RETRY: Millis = Millis(100);

/// What the holder of the lease knows.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) held: Held,
    /// When the leadership began.
    pub(crate) since: Millis,
    pub(crate) book: RefCell<JobScheduler>,
    pub(crate) contacts: RefCell<SortedMap<Text, Contact>>,
    /// Phases as stored.
    pub(crate) phases: RefCell<SortedMap<Text, Phase>>,
    /// Jobs whose other rows are deleted and whose rows of the leader may go.
    pub(crate) forgotten: RefCell<Vec<Text>>,
    /// Version and number of the last commit.
    pub(crate) chain: Cell<(u64, u64)>,
    /// Something changed that a pass has to look at.
    pub(crate) changed: Notify,
    /// There is something to commit.
    pub(crate) dirty: Notify,
    /// A commit was done.
    pub(crate) committed: Notify,
    pub(crate) ended: Cell<bool>,
    pub(crate) loaded: Cell<bool>,
}

impl Leader {
    pub(crate) fn new(held: Held) -> Self {
        Self {
            held,
            since: clock::now(),
            book: RefCell::default(),
            contacts: RefCell::default(),
            phases: RefCell::default(),
            forgotten: RefCell::default(),
            chain: Cell::default(),
            changed: Notify::new(),
            dirty: Notify::new(),
            committed: Notify::new(),
            ended: Cell::new(false),
            loaded: Cell::new(false),
        }
    }

    /// Ends the leadership; all its tasks end at their next step.
    pub(crate) fn end(&self, reason: &str) {
        log::warn!(fence = self.held.fence, reason; "leader: ended");
        self.ended.set(true);
        self.changed.notify_waiters();
        self.dirty.notify_waiters();
        self.committed.notify_waiters();
    }
}

/// Runs the leadership until it ends.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    log::info!(fence = leader.held.fence; "leader: begins");
    let version = loop {
        match load::load(&cx, &leader).await {
            Ok(version) => break version,
            Err(e) => log::warn!(reason:% = e; "leader: cannot load"),
        }
        if leader.ended.get() {
            return;
        }
        cx::sleep(LOAD_RETRY).await;
    };
    worker_list::read(&cx, &leader).await;
    leader.loaded.set(true);
    rt::spawn(intake::follow(cx.clone(), leader.clone(), version)).detach();
    rt::spawn(worker_list::poll(cx.clone(), leader.clone())).detach();
    rt::spawn(commit::run(cx.clone(), leader.clone())).detach();
    rt::spawn(forget::run(cx.clone(), leader.clone())).detach();
    while !leader.ended.get() {
        let wait = pass(&cx, &leader);
        tokio::select! {
            () = leader.changed.notified() => cx::sleep(GATHER).await,
            () = cx::sleep(wait) => {}
        }
    }
}

/// Plans once and returns the time until the next pass is due.
fn pass(cx: &Cx, leader: &Rc<Leader>) -> Millis {
    let (now, wall) = (clock::now(), clock::wall());
    let mut book = leader.book.borrow_mut();
    book.configure(&cx.rules());
    let next = book.open_due_occurrences(wall);
    // Without a valid lease nothing new is decided: it could not be committed.
    if cx.acting().is_some() {
        book.evacuate(now);
        book.place(now, wall);
    }
    let has_changes = book.has_changes();
    drop(book);
    if has_changes {
        leader.dirty.notify_one();
    }
    advice::send(cx, leader);
    contact::keep(cx, leader);
    next.map_or(TICK, |due| TICK.min(due.since(wall)).max(Millis(1)))
}
