//! Reads that are sent again on another connection when they make no progress.

use std::{pin::Pin, rc::Rc};

use base::clock::{self, Millis};
use futures_util::future;
use tokio::time;
use transfer::exchange::Exchange;

use crate::table::StoreError;

/// Maximum number of requests for one answer of which some has arrived. Each of them asks for all of
/// it, on the same link.
const MAX_LONG_ATTEMPTS: usize = 2;
/// Interval at which it is checked which of several requests is answered.
const CHECK_INTERVAL: Millis = Millis(25);

/// When a read is sent again and when it is given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    /// Time without progress after which the read is sent again.
    pub(crate) again: Millis,
    /// Time without progress after which it is given up.
    pub(crate) limit: Millis,
    /// Maximum number of requests, answered or not.
    pub(crate) max_attempts: usize,
}

/// A request and its call.
struct Attempt<F> {
    exchange: Rc<Exchange>,
    call: Pin<Box<F>>,
}

/// The requests for one answer.
struct Attempts<F> {
    started: Millis,
    /// Number of requests so far, and the time of the last one.
    count: usize,
    last_at: Millis,
    under_way: Vec<Attempt<F>>,
}

impl<F> Attempts<F> {
    fn push(&mut self, attempt: Attempt<F>) {
        self.count += 1;
        self.last_at = attempt.exchange.started();
        self.under_way.push(attempt);
    }

    fn exchanges(&self) -> impl Iterator<Item = &Exchange> {
        self.under_way.iter().map(|a| &*a.exchange)
    }

    /// Returns the time when all requests have made no progress for `time`.
    fn stalled_at(&self, time: Millis) -> Millis {
        let first = self.exchanges().map(Exchange::started).min();
        let answered = self.exchanges().filter_map(|a| a.stalled_at(time)).max();
        answered.unwrap_or_else(|| first.unwrap_or_default() + time)
    }

    /// Returns the time when the read is sent again, or `None` if it is not.
    fn again_at(&self, patience: Patience) -> Option<Millis> {
        let has_begun = self.exchanges().any(|a| a.bytes() > 0);
        let is_full = has_begun && self.under_way.len() >= MAX_LONG_ATTEMPTS;
        if is_full || self.count >= patience.max_attempts {
            return None;
        }
        Some(
            self.stalled_at(patience.again)
                .max(self.last_at + patience.again),
        )
    }

    /// Returns the time when the read is given up. An answer that trickles counts as stalled at once, and
    /// the request that is sent then gets its time.
    fn end(&self, patience: Patience) -> Millis {
        let end = self.stalled_at(patience.limit);
        if self.exchanges().all(|a| a.first().is_none()) {
            return end;
        }
        end.max(self.stalled_at(patience.again) + patience.again)
    }

    /// Drops the requests that are not answered yet and that another one has made unnecessary by
    /// arriving. They would ask for all of it once more on the same link.
    fn drop_unnecessary(&mut self) {
        let Some(last) = self.exchanges().filter_map(Exchange::last).max() else {
            return;
        };
        let is_needed = |a: &Exchange| a.first().is_some() || a.started() >= last;
        self.under_way.retain(|a| is_needed(&a.exchange));
    }

    /// Describes why the read is given up.
    fn no_progress(&self) -> StoreError {
        let now = clock::now();
        let bytes: usize = self.exchanges().map(Exchange::bytes).sum();
        let (took, count) = (now.since(self.started), self.count);
        let last = self.exchanges().filter_map(Exchange::last).max();
        let idle = last.map_or(took, |last| now.since(last));
        let reason = format!(
            "no complete answer in {took}: {bytes} bytes arrived, the last {idle} ago, {count} requests"
        );
        StoreError::NotDone { reason }
    }
}

/// Reads with `attempt`, which records what arrives and is called again for lack of progress, each time
/// after `record_late` was called with the number of requests so far. Returns the first success with
/// its exchange, or the failure of the last attempt.
pub(crate) async fn repeat<T, F: Future<Output = Result<T, StoreError>>>(
    patience: impl Fn() -> Patience,
    record_late: impl Fn(usize),
    attempt: impl Fn(Rc<Exchange>) -> F,
) -> Result<(Rc<Exchange>, T), StoreError> {
    let start = || {
        let exchange: Rc<Exchange> = Rc::default();
        let call = Box::pin(attempt(exchange.clone()));
        Attempt { exchange, call }
    };
    let started = clock::now();
    let mut attempts = Attempts {
        started,
        count: 0,
        last_at: started,
        under_way: Vec::new(),
    };
    attempts.push(start());
    let mut is_overdue = false;
    loop {
        let end = attempts.end(patience());
        let again_at = attempts.again_at(patience()).unwrap_or(end);
        let mut wait = again_at.min(end).since(clock::now());
        if is_overdue || attempts.under_way.len() > 1 {
            wait = wait.clamp(Millis(1), CHECK_INTERVAL);
        }
        let calls = attempts.under_way.iter_mut().map(|a| a.call.as_mut());
        let answered = tokio::select! {
            (result, i, _) = future::select_all(calls) => Some((result, i)),
            () = time::sleep(wait.to_duration()) => None,
        };
        if let Some((result, i)) = answered {
            let attempt = attempts.under_way.swap_remove(i);
            match result {
                Err(e) if !attempts.under_way.is_empty() => {
                    log::debug!(reason:% = e; "store: one of several reads failed");
                }
                result => return result.map(|value| (attempt.exchange, value)),
            }
        }
        attempts.drop_unnecessary();
        let now = clock::now();
        if now >= attempts.end(patience()) {
            if is_overdue {
                return Err(attempts.no_progress());
            }
            // After a suspension of the process, what has arrived meanwhile is still unread.
            is_overdue = true;
            continue;
        }
        is_overdue = false;
        if attempts.again_at(patience()).is_some_and(|at| now >= at) {
            record_late(attempts.count);
            attempts.push(start());
        }
    }
}
