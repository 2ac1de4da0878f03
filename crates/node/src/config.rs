//! Follows the operator's configuration.

use std::rc::Rc;

use base::clock::{self, Millis};
use platform::{config, table::Changes};
use store::table::{Row, StoreError};

use crate::cx::{self, Cx};

/// How long the store holds a read back while nothing changes. Each answer confirms the
/// configuration, so its age stays below twice this time.
const WAIT: Millis = Millis(800);
/// Longest read: the wait and a slow answer.
const READ: Millis = Millis(1_700);
/// Pause after a failed read.
const RETRY: Millis = Millis(150);

/// Follows the configuration for the life of the process.
pub(crate) async fn follow(cx: Cx) {
    let mut version = None;
    loop {
        let result = match version {
            None => read(&cx).await,
            Some(version) => wait(&cx, version).await,
        };
        match result {
            Ok(next) => {
                if cx.peers.store_answers(true) {
                    log::info!(store = "regained"; "config: the store answers again");
                }
                version = next;
            }
            Err(e) => {
                if cx.peers.store_answers(false) {
                    cx.metrics.store_lost();
                    let age = cx.config_age().map(|a| a.0);
                    log::warn!(store = "lost", age_ms:? = age, reason:% = e; "config: no answer from the store");
                }
                cx::sleep(RETRY).await;
            }
        }
    }
}

/// Reads the configuration now.
pub(crate) async fn read(cx: &Cx) -> Result<Option<u64>, StoreError> {
    let started = clock::now();
    let (_, key) = config::KEY.split_once('/').unwrap_or_default();
    let page = cx
        .table
        .read(config::TABLE, key, &format!("{key} "))
        .await?;
    for row in &page.rows {
        take(cx, row);
    }
    confirm(cx, started);
    Ok(Some(page.version))
}

async fn wait(cx: &Cx, version: u64) -> Result<Option<u64>, StoreError> {
    let started = clock::now();
    let feed = cx.feed_table.changes(config::TABLE, version, WAIT, READ);
    match feed.await? {
        Changes::Rows { rows, version } => {
            for (row, _) in rows.iter().filter(|(r, _)| &*r.key == config::KEY) {
                take(cx, row);
            }
            confirm(cx, started);
            Ok(Some(version))
        }
        Changes::Forgotten => {
            log::warn!(version; "config: the store has no history from this version, reading again");
            Ok(None)
        }
    }
}

fn confirm(cx: &Cx, started: Millis) {
    let mut in_force = cx.in_force.borrow_mut();
    if in_force.row > 0 {
        in_force.confirmed = in_force.confirmed.max(Some(started));
    }
}

/// Puts a configuration in force unless a newer one is.
fn take(cx: &Cx, row: &Row) {
    let mut in_force = cx.in_force.borrow_mut();
    if row.version <= in_force.row {
        return;
    }
    match config::decode(&row.value) {
        Ok(rules) => {
            log::info!(version = rules.version, row = row.version, before = in_force.rules.version; "config: in force");
            in_force.rules = Rc::new(rules);
            in_force.row = row.version;
            drop(in_force);
            cx.config_changed.notify_waiters();
        }
        Err(e) => {
            log::error!(row = row.version, reason:% = e; "config: refused, the one before stays in force");
        }
    }
}
