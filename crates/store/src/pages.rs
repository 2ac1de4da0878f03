//! Reads of whole tables in pages, which share the link of the VM with shorter calls.
//!
//! The number of pages under way and their size follow the time that pages take, so that a
//! transaction on a narrow link waits for little. A page is given up for lack of progress rather
//! than after a fixed time.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::clock::{self, Millis};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::sync::{Mutex, Notify};
use transfer::exchange::Exchange;

use crate::{
    latency::{Latency, LatencyCfg},
    repeat::{self, Patience},
    table::StoreError,
};

/// Maximum number of rows of a page, and the number of the first page.
const MAX_ROWS: usize = 500;
const FIRST_ROWS: usize = 100;
/// Minimum number of rows of a page. Below it most of the time of a page is latency.
const MIN_ROWS: usize = 25;
/// Maximum number of pages under way, and the first limit. The first pages of a leader compete
/// with the renewals of its lease.
const MAX_UNDER_WAY: usize = 16;
const FIRST_UNDER_WAY: usize = 4;
/// Lowest limit of the pages under way. With a single one a silent connection would block all.
const MIN_UNDER_WAY: usize = 2;
/// Time below which a page leaves room for larger and further ones.
const FAST: Millis = Millis(100);
/// Time above which pages delay other calls too much.
const SLOW: Millis = Millis(300);
/// Time between the first and the last byte of a page above which the link is what makes it slow.
const SLOW_TRANSFER: Millis = Millis(50);
/// Size in bytes below which the time of a page says nothing about a larger one.
const MIN_EVIDENCE: usize = 16 << 10;
/// Time without a page after which the limits say nothing about the link any more.
const MAX_IDLE: Millis = Millis(5_000);
/// Minimum time without a byte after which a page is requested again on another connection.
const MIN_STALL: Millis = Millis(1_000);
/// Maximum of that time, for a store whose pages take long.
const MAX_STALL: Millis = Millis(4_000);
/// Maximum number of requests for one page. It is given up after as many of these times.
const MAX_ATTEMPTS: usize = 2;

/// Limits of the pages under way, shared by all reads of whole tables of a client.
///
/// ```
/// # use store::pages::Pages;
/// # async fn run() -> Result<(), store::table::StoreError> {
/// let pages = Pages::default();
/// let rows = pages.read(async |limit, _arrival| Ok(vec![0_u8; limit])).await?;
/// assert_eq!(rows.len(), 100);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Pages {
    rows: Cell<usize>,
    max_under_way: Cell<usize>,
    under_way: Cell<usize>,
    /// Time when the limits were last reduced.
    reduced_at: Cell<Option<Millis>>,
    took: RefCell<Latency>,
    /// Time when the last page ended.
    ended_at: Cell<Millis>,
    /// Held by the page that waits for its turn first.
    queue: Mutex<()>,
    freed: Notify,
}

impl Default for Pages {
    fn default() -> Self {
        let cfg = LatencyCfg {
            min_ms: MIN_STALL,
            max_ms: MAX_STALL,
        };
        Self {
            rows: Cell::new(FIRST_ROWS),
            max_under_way: Cell::new(FIRST_UNDER_WAY),
            under_way: Cell::default(),
            reduced_at: Cell::default(),
            took: RefCell::new(Latency::new(cfg)),
            ended_at: Cell::new(clock::now()),
            queue: Mutex::default(),
            freed: Notify::new(),
        }
    }
}

/// The right to have a page under way, until it is dropped.
#[derive(Debug)]
struct Turn<'a>(&'a Pages);

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
        self.0.ended_at.set(clock::now());
        self.0.freed.notify_one();
    }
}

impl Pages {
    /// Returns the number of rows to request in the next page.
    ///
    /// ```
    /// assert_eq!(store::pages::Pages::default().rows(), 100);
    /// ```
    pub fn rows(&self) -> usize {
        self.rows.get()
    }

    /// Returns the maximum number of pages under way.
    ///
    /// ```
    /// assert_eq!(store::pages::Pages::default().max_under_way(), 4);
    /// ```
    pub fn max_under_way(&self) -> usize {
        self.max_under_way.get()
    }

    /// Waits for its turn and reads a page with `attempt`, which gets the number of rows and records
    /// what arrives. If nothing arrives for long, `attempt` is called once more, and then the page is
    /// given up. Returns the first success, or the failure of the last attempt.
    pub async fn read<T, F: Future<Output = Result<T, StoreError>>>(
        &self,
        attempt: impl Fn(usize, Rc<Exchange>) -> F,
    ) -> Result<T, StoreError> {
        let _turn = self.turn().await;
        let rows = self.rows.get();
        let sent = clock::now();
        let patience = || Patience {
            again: self.stall(),
            limit: Millis(self.stall().0 * MAX_ATTEMPTS as u64),
            max_attempts: MAX_ATTEMPTS,
        };
        let read = repeat::repeat(patience, |_| {}, |exchange| attempt(rows, exchange));
        let (exchange, page) = read.await?;
        self.record(sent, &exchange);
        Ok(page)
    }

    /// Returns the time without a byte after which a page counts as lost.
    fn stall(&self) -> Millis {
        let took = self.took.borrow();
        took.mean().map_or(MIN_STALL, |_| took.limit())
    }

    async fn turn(&self) -> Turn<'_> {
        let _first = self.queue.lock().await;
        let idle = clock::now().since(self.ended_at.get());
        if self.under_way.get() == 0 && idle > MAX_IDLE {
            self.rows.set(self.rows.get().min(FIRST_ROWS));
            let limit = self.max_under_way.get();
            self.max_under_way.set(limit.min(FIRST_UNDER_WAY));
        }
        while self.under_way.get() >= self.max_under_way.get() {
            self.freed.notified().await;
        }
        self.under_way.set(self.under_way.get() + 1);
        Turn(self)
    }

    fn record(&self, sent: Millis, exchange: &Exchange) {
        let took = clock::now().since(sent);
        self.took.borrow_mut().record(took);
        if took < FAST {
            if exchange.bytes() >= MIN_EVIDENCE {
                self.rows.set((self.rows.get() * 2).min(MAX_ROWS));
            }
            let more = self.max_under_way.get() + 1;
            self.max_under_way.set(more.min(MAX_UNDER_WAY));
            self.freed.notify_one();
            return;
        }
        // Pages that were sent before the last reduction don't show its effect.
        let is_new = self.reduced_at.get().is_none_or(|at| sent >= at);
        if took > SLOW && exchange.duration() > SLOW_TRANSFER && is_new {
            self.reduced_at.set(Some(clock::now()));
            self.rows.set((self.rows.get() / 2).max(MIN_ROWS));
            let fewer = self.max_under_way.get() / 2;
            self.max_under_way.set(fewer.max(MIN_UNDER_WAY));
        }
    }
}

/// Completes all reads, or cancels the others when one fails.
///
/// ```
/// # use store::table::StoreError;
/// # async fn run() -> Result<(), StoreError> {
/// let reads = [1, 2].map(|_| async { Ok(()) });
/// store::pages::all(reads).await?;
/// # Ok(())
/// # }
/// ```
pub async fn all<F: Future<Output = Result<(), StoreError>>>(
    reads: impl IntoIterator<Item = F>,
) -> Result<(), StoreError> {
    let mut reads: FuturesUnordered<F> = reads.into_iter().collect();
    while let Some(result) = reads.next().await {
        result?;
    }
    Ok(())
}
