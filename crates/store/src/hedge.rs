//! Calls to the store whose answers may be lost or late.
//!
//! A connection may go silent for good, and a store may apply a transaction without answering. A
//! call that takes unusually long is therefore not only waited for: a read is sent again on another
//! connection, and for a transaction a row that it writes is read back.

use std::{pin, rc::Rc};

use base::clock::{self, Millis};
use tokio::time;
use transfer::exchange::Exchange;

use crate::{
    pace::Pace,
    repeat::{self, Patience},
    table::{Commit, Row, StoreError, Txn, Write},
};

/// Maximum number of requests of one read.
const MAX_READS: usize = 4;

/// Single calls to the store, each with a timeout of its own.
pub trait Calls {
    /// Sends a transaction once and waits for the answer up to `limit`.
    fn commit_once(
        &self,
        txn: &Txn,
        limit: Millis,
    ) -> impl Future<Output = Result<Commit, StoreError>>;

    /// Reads one row.
    fn row(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>>;
}

/// Commits `txn` and waits for its answer up to `max`. If the answer is late, reads back the row
/// that the transaction writes last, whose content must differ from that of all other transactions.
pub async fn commit<C: Calls>(
    calls: &C,
    txn: &Txn,
    pace: &Pace,
    max: Millis,
) -> Result<Commit, StoreError> {
    let sent = clock::now();
    let mut call = pin::pin!(calls.commit_once(txn, pace.write_limit(max)));
    let mut wait = pace.read_back_after();
    loop {
        tokio::select! {
            result = &mut call => {
                record(pace, sent, &result);
                return result;
            }
            () = time::sleep(wait.to_duration()) => {}
        }
        let Some(proof) = last_put(txn) else {
            let result = call.await;
            record(pace, sent, &result);
            return result;
        };
        tokio::select! {
            result = &mut call => {
                record(pace, sent, &result);
                return result;
            }
            row = calls.row(&proof.key) => match row {
                Ok(Some(row)) if Some(&row.value) == proof.value.as_ref() => {
                    let ms = clock::now().since(sent).0;
                    log::debug!(ms; "store: a transaction without an answer was applied");
                    return Ok(Commit::Done { version: row.version });
                }
                Ok(_) => {}
                Err(e) => log::debug!(reason:% = e; "store: failed to read a transaction back"),
            }
        }
        wait = wait + wait;
    }
}

fn last_put(txn: &Txn) -> Option<&Write> {
    txn.writes.iter().rev().find(|w| w.value.is_some())
}

fn record(pace: &Pace, sent: Millis, result: &Result<Commit, StoreError>) {
    match result {
        Ok(_) => pace.record_write(clock::now().since(sent)),
        Err(StoreError::Unknown { .. }) => pace.record_lost_write(),
        // A refusal does not show how long a transaction takes.
        Err(StoreError::NotDone { .. } | StoreError::Rejected { .. }) => {}
    }
}

/// Reads with `attempt`, which records what arrives of the answer. It is called again after each
/// [`Pace::second_read_after`] without progress, and the read is given up after [`Pace::read_limit`]
/// without any. Returns the first success, or the failure of the last attempt.
pub async fn read<T, F: Future<Output = Result<T, StoreError>>>(
    pace: &Pace,
    attempt: impl Fn(Rc<Exchange>) -> F,
) -> Result<T, StoreError> {
    let limit = pace.read_limit();
    let patience = || Patience {
        again: pace.second_read_after(),
        limit,
        max_attempts: MAX_READS,
    };
    let record_late = |calls| {
        if calls == 1 {
            pace.record_late_read();
        }
    };
    let (exchange, value) = repeat::repeat(patience, record_late, attempt).await?;
    // The time that the rest of an answer takes follows its size.
    let answered = exchange.first().unwrap_or_else(clock::now);
    pace.record_read(answered.since(exchange.started()));
    Ok(value)
}
