//! Watches the operator's configuration.

use std::rc::Rc;

use base::clock::{self, Millis};
use platform::{config, evacuation, table::Changes};
use store::table::{Row, StoreError};
use transfer::{exchange::Exchange, limit::Limit};

use crate::{
    config_diff::ConfigDiff,
    cx::{self, Cx},
    peers,
};

/// Time for which the store delays its answer while nothing changes. Each answer confirms the
/// configuration, so its age stays below twice this time.
const FEED_WAIT: Millis = Millis(800);
/// Limit of a read: the wait and time for a slow answer.
const FEED_LIMIT: Limit = Limit {
    answer: Millis(1_700),
    pause: Millis(900),
};
/// Age from which on the configuration is confirmed without a wait, as after a long answer.
const OLD: Millis = Millis(2 * FEED_WAIT.0);
/// Time that an answer takes to arrive from which on it is long for the link.
const LONG_READ: Millis = Millis(500);
/// Delay after a failed read.
const RETRY_DELAY: Millis = Millis(150);

/// What a read of the configuration or its changes has found.
#[derive(Clone, Copy, Debug)]
struct Found {
    /// Version to continue from; `None` if the configuration is to be read.
    version: Option<u64>,
    /// Number of configurations that were stored since the one that was active.
    configs: usize,
    /// Whether the row was read, which has the newest of them only.
    whole: bool,
}

impl Found {
    /// Returns whether further changes have probably been stored while the answer arrived, which took
    /// `took`. The changes would include each of these configurations, the row only has the last one.
    fn is_behind(self, took: Millis) -> bool {
        let enough = if self.whole { 1 } else { 2 };
        took >= LONG_READ && self.configs >= enough
    }
}

/// Keeps the configuration up to date until the process ends. While the store is lost, its reads
/// also find out when it answers again.
pub(crate) async fn watch(cx: Cx) {
    let mut version = None;
    loop {
        let was_lost = cx.peers.reach().is_lost();
        let (started, exchange) = (clock::now(), Rc::default());
        let result = match version {
            // The whole configuration is only read if the store can't tell the changes, or too many.
            None => read(&cx).await,
            Some(version) if was_lost => {
                let feed = cx.feed_table.changes_now(config::TABLE, version);
                apply_changes(&cx, started, version, feed.await)
            }
            Some(version) => {
                let feed = feed(&cx, version, &exchange);
                let changed = async || cx.peers.changed().await;
                let Some(feed) = peers::wait_unless(changed, &exchange, feed).await else {
                    continue;
                };
                apply_changes(&cx, started, version, feed)
            }
        };
        match result {
            Ok(found) => {
                peers::record_answer(&cx);
                let began = exchange.first().unwrap_or(started);
                let is_behind = found.is_behind(clock::now().since(began));
                version = found.version.filter(|_| !is_behind);
            }
            Err(e) => {
                let age = cx.config_age().map(|a| a.0);
                log::info!(age_ms = age, reason:% = e; "config: failed to read from the store");
                if was_lost && !cx.store_served_after(started) {
                    peers::confirm_loss(&cx);
                }
                peers::record_loss(&cx, "config", started);
                cx::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the configuration and the requests to evacuate data centres, without waiting for a change.
async fn read(cx: &Cx) -> Result<Found, StoreError> {
    let started = clock::now();
    let (rows, version) = read_rows(cx).await?;
    let active = cx.active_config.borrow().row_version;
    let configs = || rows.iter().filter(|r| &*r.key == config::KEY);
    let newer = configs().filter(|r| active > 0 && r.version > active);
    let newer = newer.count();
    for row in configs() {
        apply(cx, row);
    }
    let age = cx.config_age();
    if cx.evacuations.borrow_mut().replace(&rows, age) {
        cx.config_changed.notify_waiters();
    }
    confirm(cx, started);
    Ok(Found {
        version: Some(version),
        configs: newer,
        whole: true,
    })
}

/// Reads the rows from that of the configuration to the last request. Returns them with the version of
/// the first page, after which the changes continue.
async fn read_rows(cx: &Cx) -> Result<(Vec<Row>, u64), StoreError> {
    let rest = |key: &str| key.split_once('/').map_or("", |(_, rest)| rest).to_owned();
    let (mut rows, mut version, mut from) = (Vec::new(), None, rest(config::KEY));
    loop {
        let to = evacuation::KEYS_END;
        let page = cx.table.read(config::TABLE, &from, to).await?;
        let version = *version.get_or_insert(page.version);
        rows.extend(page.rows);
        match rows.last().filter(|_| page.has_more) {
            // A space is the lowest byte in keys.
            Some(last) => from = rest(&last.key) + " ",
            None => return Ok((rows, version)),
        }
    }
}

/// Waits for a change of the configuration.
async fn feed(cx: &Cx, version: u64, exchange: &Rc<Exchange>) -> Result<Changes, StoreError> {
    let is_old = cx.config_age().is_some_and(|age| age > OLD);
    let wait = if is_old { Millis::ZERO } else { FEED_WAIT };
    let feed = cx
        .feed_table
        .changes(config::TABLE, version, wait, FEED_LIMIT, exchange);
    feed.await
}

/// Applies the changes after `version`, which were asked for at `started`.
fn apply_changes(
    cx: &Cx,
    started: Millis,
    version: u64,
    changes: Result<Changes, StoreError>,
) -> Result<Found, StoreError> {
    let (version, configs) = match changes? {
        Changes::Rows { rows, version } => {
            let configs = rows.iter().map(|(row, _)| row);
            let configs: Vec<&Row> = configs.filter(|r| &*r.key == config::KEY).collect();
            // The newest one that is valid.
            configs.iter().rev().any(|row| apply(cx, row));
            apply_requests(cx, &rows);
            confirm(cx, started);
            (Some(version), configs.len())
        }
        Changes::HistoryGone => {
            log::warn!(version; "config: the store has no history since this version, reading again");
            (None, 0)
        }
    };
    Ok(Found {
        version,
        configs,
        whole: false,
    })
}

/// Applies the changes of requests to evacuate data centres, each row with whether it was deleted.
fn apply_requests(cx: &Cx, rows: &[(Row, bool)]) {
    let mut requests = cx.evacuations.borrow_mut();
    let (mut has_changed, age) = (false, cx.config_age());
    for (row, deleted) in rows {
        has_changed |= requests.apply(row, *deleted, age);
    }
    if has_changed {
        cx.config_changed.notify_waiters();
    }
}

/// Records that the active configuration was the newest one at `started`.
fn confirm(cx: &Cx, started: Millis) {
    let mut active_config = cx.active_config.borrow_mut();
    if active_config.row_version > 0 {
        active_config.confirmed_at = active_config.confirmed_at.max(Some(started));
    }
}

/// Applies a configuration unless it or a newer one is active. Returns whether one of these is active
/// now.
fn apply(cx: &Cx, row: &Row) -> bool {
    let mut active_config = cx.active_config.borrow_mut();
    if row.version <= active_config.row_version {
        return true;
    }
    match config::decode(&row.value) {
        Ok(config) => {
            let diff = ConfigDiff::new(&active_config.config, &config);
            let confirmed_at = active_config.confirmed_at;
            log::info!(
                version = config.version, row = row.version, bytes = row.value.len(), before = active_config.config.version,
                before_age_ms = confirmed_at.map(|at| clock::now().since(at).0),
                queues = config.queues.len(), organisations = config.organisations.len(),
                added_queues = diff.added_queues, removed_queues = diff.removed_queues,
                changed_queues = diff.changed_queues, names = diff.names,
                added_keys = diff.added_keys, removed_keys = diff.removed_keys, other = diff.other;
                "config: applied"
            );
            cx.metrics.count_config_change("applied");
            active_config.config = Rc::new(config);
            active_config.row_version = row.version;
            drop(active_config);
            cx.config_changed.notify_waiters();
            true
        }
        Err(e) => {
            log::error!(row = row.version, reason:% = e; "config: refused, the one before stays in force");
            cx.metrics.count_config_change("refused");
            false
        }
    }
}
