//! How long claim rows are kept, and the sweep that applies it.

use base::clock::Millis;
use store::table::{Commit, Key, Row, StoreError, Txn, Write};

use crate::{
    record::{self, Record, State},
    store::Store,
};

const HOUR: u64 = 3_600;
/// Age at which a completed or not-run claim is deleted.
pub const COMPLETED_KEPT: Millis = Millis::from_secs(24 * HOUR);
/// Age at which an unknown claim is deleted.
pub const UNKNOWN_KEPT: Millis = Millis::from_secs(30 * 24 * HOUR);

/// What the sweep does with a claim row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// The row stays.
    Keep,
    /// The row is deleted.
    Delete,
    /// The owner is gone: the row is set to `unknown`.
    MarkUnknown,
}

/// Decides what happens to a claim row at wall-clock time `now`.
///
/// A row in progress never expires by age.
///
/// ```
/// use base::clock::Millis;
/// use claim::{fingerprint, record::{Record, State}, retention::{self, Fate}};
///
/// let fingerprint = fingerprint::of(&"a".parse().unwrap(), &"b".parse().unwrap(), b"");
/// let written_ms = Millis(0);
/// let row = Record { fingerprint, owner: 1, nonce: 1, written_ms, state: State::InProgress };
/// let late = Millis::from_secs(1_000_000_000);
/// assert_eq!(retention::fate(&row, late, true), Fate::Keep);
/// assert_eq!(retention::fate(&row, late, false), Fate::MarkUnknown);
/// ```
pub fn fate(row: &Record, now: Millis, owner_lives: bool) -> Fate {
    let age = now.since(row.written_ms);
    match row.state {
        State::InProgress if owner_lives => Fate::Keep,
        State::InProgress => Fate::MarkUnknown,
        State::Completed(_) | State::NotRun if age >= COMPLETED_KEPT => Fate::Delete,
        State::Unknown if age >= UNKNOWN_KEPT => Fate::Delete,
        _ => Fate::Keep,
    }
}

/// Result of one step of the sweep.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Key after which the next step goes on; `None` at the end of the rows.
    pub next: Option<String>,
    /// Rows deleted.
    pub deleted: usize,
    /// Rows set to `unknown`.
    pub marked: usize,
}

/// A change of one row.
#[derive(Debug)]
struct Change {
    key: Key,
    version: u64,
    /// New content; `None` deletes the row.
    value: Option<String>,
    /// Row of the owner, which must be absent when the claim is set to `unknown`.
    owner: Option<Key>,
}

/// Applies the retention rules to at most `limit` rows after the key `after`, in one transaction.
///
/// `members` are the owners whose member rows exist. The list may be older than the claims, so the
/// transaction checks that the owner of a claim that is set to `unknown` has no member row. Rows
/// that changed since they were read are left to the next sweep. A failed step can be repeated.
pub async fn sweep<S: Store>(
    store: &S,
    after: &str,
    limit: usize,
    now: Millis,
    members: &[u64],
) -> Result<Step, StoreError> {
    let rows = store.scan(record::PREFIX, after, limit).await?;
    let next = rows.last().filter(|_| rows.len() == limit);
    let mut step = Step {
        next: next.map(|row| row.key.to_string()),
        ..Step::default()
    };
    let mut changes: Vec<Change> = rows
        .into_iter()
        .filter_map(|row| change(row, now, members))
        .collect();
    while !changes.is_empty() {
        match store.commit(&transaction(&changes)).await? {
            Commit::Done { .. } => break,
            Commit::Conflict { keys } => changes.retain(|c| !c.is_in(&keys)),
        }
    }
    step.deleted = changes.iter().filter(|c| c.value.is_none()).count();
    step.marked = changes.len() - step.deleted;
    Ok(step)
}

fn change(row: Row, now: Millis, members: &[u64]) -> Option<Change> {
    let Some(mut found) = record::parse(&row.value) else {
        log::error!("claim: row {} is not a claim", row.key);
        return None;
    };
    let (key, version) = (row.key, row.version);
    match fate(&found, now, members.contains(&found.owner)) {
        Fate::Keep => None,
        Fate::Delete => Some(Change {
            key,
            version,
            value: None,
            owner: None,
        }),
        Fate::MarkUnknown => {
            found.state = State::Unknown;
            found.written_ms = now;
            let owner = Some(record::member_key(found.owner).into());
            Some(Change {
                key,
                version,
                value: Some(record::to_json(&found)),
                owner,
            })
        }
    }
}

fn transaction(changes: &[Change]) -> Txn {
    let mut txn = Txn::default();
    for change in changes {
        txn = txn.check(change.key.clone(), change.version);
        if let Some(owner) = &change.owner {
            txn = txn.check(owner.clone(), 0);
        }
        txn.writes.push(Write {
            key: change.key.clone(),
            value: change.value.clone(),
        });
    }
    txn
}

impl Change {
    fn is_in(&self, keys: &[Key]) -> bool {
        keys.contains(&self.key) || self.owner.as_ref().is_some_and(|o| keys.contains(o))
    }
}
