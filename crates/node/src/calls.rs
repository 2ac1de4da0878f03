//! Calls to one worker beside the sequential renewal of its lease, in the order of a [`CallQueue`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::{
    call_queue::{CallQueue, Place, Turn},
    call_window::Class,
};
use ntex::rt;
use tokio::sync::{self, oneshot};

use crate::{
    turns,
    window::{Slot, Window},
};

/// Calls to one worker; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    queue: RefCell<CallQueue>,
    waiting: RefCell<SortedMap<u64, oneshot::Sender<Permit>>>,
    /// Notified when the time of the next turn may have changed.
    changed: sync::Notify,
    has_timer: Cell<bool>,
    /// Whether a report is requested whose call waits for its turn.
    is_report_due: Cell<bool>,
}

/// Right to send a call; the call ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    calls: Calls,
    id: u64,
    /// Time limit for the answer.
    pub(crate) limit: Millis,
    answered: bool,
    /// Place among the calls to all workers.
    slot: Option<Slot>,
}

impl Permit {
    /// Records that the worker has answered the call.
    pub(crate) fn set_answered(&mut self) {
        self.answered = true;
        if let Some(slot) = &mut self.slot {
            slot.set_answered();
        }
    }

    /// Gives the turn back without a call.
    pub(crate) fn cancel(self) {
        self.calls.0.queue.borrow_mut().hold(self.id);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut queue = self.calls.0.queue.borrow_mut();
        queue.end(self.id, self.answered, clock::now());
        drop(queue);
        self.calls.advance();
    }
}

impl Calls {
    /// Waits for the turn of a call, at the worker and then among those to all workers. Returns
    /// `None` if it is not to be sent, because the worker answers no call.
    pub(crate) async fn acquire(
        &self,
        place: Place,
        window: &Window,
        (class, position): (Class, u64),
    ) -> Option<Permit> {
        let (id, rx) = self.add(place, window.call_limit());
        let mut permit = rx.await.ok()?;
        self.0.queue.borrow_mut().hold(id);
        permit.slot = Some(window.acquire(class, position).await?);
        self.0.queue.borrow_mut().mark_sent(id, clock::now());
        self.advance();
        Some(permit)
    }

    /// Adds a call whose answer has the time limit `limit`.
    fn add(&self, place: Place, limit: Millis) -> (u64, oneshot::Receiver<Permit>) {
        let (tx, rx) = oneshot::channel();
        let mut queue = self.0.queue.borrow_mut();
        queue.set_limit(limit);
        let id = queue.add(place, clock::now());
        drop(queue);
        self.0.waiting.borrow_mut().insert(id, tx);
        self.advance();
        (id, rx)
    }

    /// Waits for the turn of a request for a report. Returns `None` also if another one waits,
    /// which will be sent later than now.
    pub(crate) async fn acquire_for_report(&self, window: &Window) -> Option<Permit> {
        if self.0.is_report_due.replace(true) {
            return None;
        }
        let permit = self.acquire(Place::Last, window, (Class::Report, 0)).await;
        self.0.is_report_due.set(false);
        permit
    }

    fn advance(&self) {
        let turns = self.0.queue.borrow_mut().advance(clock::now());
        for (id, turn) in turns {
            let tx = self.0.waiting.borrow_mut().remove(&id);
            if let Turn::Send(limit) = turn {
                let permit = Permit {
                    calls: self.clone(),
                    id,
                    limit,
                    answered: false,
                    slot: None,
                };
                // If nobody waits any more, the permit comes back and the call ends.
                drop(tx.map(|tx| tx.send(permit)));
            }
        }
        self.0.changed.notify_one();
        if self.0.queue.borrow().next_at().is_some() && !self.0.has_timer.replace(true) {
            let calls = self.clone();
            rt::spawn(async move {
                let next_at = || calls.0.queue.borrow().next_at();
                turns::run_timer(&calls.0.changed, next_at, || calls.advance()).await;
                calls.0.has_timer.set(false);
            })
            .detach();
        }
    }
}
