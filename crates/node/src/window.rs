//! Calls to all workers beside the sequential renewals, in the order and number of a [`CallWindow`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::call_window::{CallWindow, Class};
use ntex::rt;
use tokio::sync::{self, oneshot};

use crate::{cx, leader::Leader, turns};

/// Interval at which the lag of this process is measured.
const LAG_INTERVAL: Millis = Millis(100);

/// Calls of a leader to all workers; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    window: RefCell<CallWindow>,
    waiting: RefCell<SortedMap<u64, oneshot::Sender<Slot>>>,
    /// Notified when the time of the next turn may have changed.
    changed: sync::Notify,
    has_timer: Cell<bool>,
}

/// Place of a call in the window, which it leaves when the slot is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    window: Window,
    id: u64,
    answered: bool,
}

impl Slot {
    /// Records that the call was answered.
    pub(crate) fn set_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut window = self.window.0.window.borrow_mut();
        window.end(self.id, self.answered, clock::now());
        drop(window);
        self.window.advance();
    }
}

/// Measures by how much this process handles events late, until the leadership ends.
pub(crate) async fn measure_lag(leader: Rc<Leader>) {
    while !leader.ended.get() {
        let due = clock::now() + LAG_INTERVAL;
        cx::sleep(LAG_INTERVAL).await;
        let lag = clock::now().since(due);
        leader.window.0.window.borrow_mut().record_lag(lag);
    }
}

impl Window {
    /// Waits for the turn of a call. Returns `None` if the leadership has ended.
    /// Calls of a class go in the order of their positions.
    pub(crate) async fn acquire(&self, class: Class, position: u64) -> Option<Slot> {
        let (tx, rx) = oneshot::channel();
        let id = self.0.window.borrow_mut().add(class, position);
        self.0.waiting.borrow_mut().insert(id, tx);
        self.advance();
        rx.await.ok()
    }

    /// Returns the time limit for the answer to a call.
    pub(crate) fn call_limit(&self) -> Millis {
        self.0.window.borrow().call_limit()
    }

    /// Returns how many starts may wait for their answers before further work is placed.
    pub(crate) fn max_starts(&self) -> usize {
        self.0.window.borrow().max_starts()
    }

    /// Returns for how long changes that nothing waits for are not stored.
    pub(crate) fn deferral(&self) -> Millis {
        self.0.window.borrow().deferral()
    }

    /// Returns the maximum number of calls under way.
    pub(crate) fn size(&self) -> usize {
        self.0.window.borrow().size()
    }

    /// Returns the number of calls that wait for their turn among those to all workers.
    pub(crate) fn waiting(&self) -> usize {
        self.0.window.borrow().waiting()
    }

    fn advance(&self) {
        let turns = self.0.window.borrow_mut().advance(clock::now());
        for id in turns {
            let tx = self.0.waiting.borrow_mut().remove(&id);
            let slot = Slot {
                window: self.clone(),
                id,
                answered: false,
            };
            // If nobody waits any more, the slot comes back and the call ends.
            drop(tx.map(|tx| tx.send(slot)));
        }
        self.0.changed.notify_one();
        if self.0.window.borrow().next_at().is_some() && !self.0.has_timer.replace(true) {
            let window = self.clone();
            rt::spawn(async move {
                let next_at = || window.0.window.borrow().next_at();
                turns::run_timer(&window.0.changed, next_at, || window.advance()).await;
                window.0.has_timer.set(false);
            })
            .detach();
        }
    }
}
