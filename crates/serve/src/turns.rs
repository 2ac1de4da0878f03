//! Order in which the requests of a listener are begun.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use ntex::rt;
use tokio::{sync::oneshot, task};

/// Begins a limited number of requests in a turn of the runtime, so that other tasks run in between, and
/// first those of the connections that were served least recently.
///
/// ```
/// # use std::rc::Rc;
/// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
/// let turns = Rc::new(serve::Turns::new(1));
/// let first = turns.take(turns.latest()).await;
/// assert!(turns.take(first).await > first);
/// # });
/// ```
#[derive(Debug)]
pub struct Turns {
    /// Number of requests that may begin in a turn of the runtime.
    per_turn: usize,
    /// Number of requests that have begun in the current turn.
    taken: Cell<usize>,
    /// Number of requests that have begun.
    begun: Cell<u64>,
    waiting: RefCell<Vec<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    /// Number of the request that its connection began last, or of the last one before it was opened.
    last: u64,
    granted: oneshot::Sender<()>,
}

impl Turns {
    /// Creates an order in which `per_turn` requests may begin in a turn of the runtime.
    pub const fn new(per_turn: usize) -> Self {
        Self {
            per_turn,
            taken: Cell::new(0),
            begun: Cell::new(0),
            waiting: RefCell::new(Vec::new()),
        }
    }

    /// Returns the number of the request that has begun last.
    pub const fn latest(&self) -> u64 {
        self.begun.get()
    }

    /// Waits until a request may begin and returns its number. `last` is the number of its connection's
    /// last request, or [`Self::latest`] when the connection was opened.
    pub async fn take(self: &Rc<Self>, last: u64) -> u64 {
        let taken = self.taken.get();
        if taken < self.per_turn {
            self.taken.set(taken + 1);
        } else {
            let (granted, rx) = oneshot::channel();
            self.wait(Waiter { last, granted });
            // The sender is kept until it grants the turn.
            let _ = rx.await;
        }
        if taken == 0 {
            rt::spawn(self.clone().grant()).detach();
        }
        self.begun.set(self.begun.get() + 1);
        self.begun.get()
    }

    /// Adds a waiter behind those whose connections were served before its own.
    fn wait(&self, waiter: Waiter) {
        let mut waiting = self.waiting.borrow_mut();
        let i = waiting.partition_point(|w| w.last <= waiter.last);
        waiting.insert(i, waiter);
    }

    /// Lets waiters begin in the next turns, until one has none.
    async fn grant(self: Rc<Self>) {
        loop {
            task::yield_now().await;
            let granted = (0..self.per_turn).take_while(|_| self.grant_next());
            self.taken.set(granted.count());
            if self.taken.get() == 0 {
                return;
            }
        }
    }

    /// Grants a turn to the first waiter that has not left; returns whether there is one.
    fn grant_next(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        while !waiting.is_empty() {
            if waiting.remove(0).granted.send(()).is_ok() {
                return true;
            }
        }
        false
    }
}
