//! Retention rules of claim rows, and the sweep that applies them.

use base::clock::{self, Millis};
use store::table::{Commit, Key, Row, StoreError, Txn, Write};

use crate::{
    record::{self, Record, State},
    store::Store,
};

const HOUR: u64 = 3_600;
/// Age at which a completed or not-run claim is deleted.
pub const COMPLETED_RETENTION: Millis = Millis::from_secs(24 * HOUR);
/// Age at which an unknown claim is deleted.
pub const UNKNOWN_RETENTION: Millis = Millis::from_secs(30 * 24 * HOUR);

/// Action of the sweep on a claim row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The row is kept.
    Keep,
    /// The row is deleted.
    Delete,
    /// The row is set to `unknown`, because its owner is no longer a member.
    MarkUnknown,
}

/// Returns the action on a claim row that was last written at least `age` ago.
///
/// A claim in progress does not expire by age.
///
/// ```
/// use base::clock::Millis;
/// use claim::{fingerprint, record::{Record, State}, retention::{self, Action}};
///
/// let fingerprint = fingerprint::of(&"a".parse().unwrap(), &"b".parse().unwrap(), b"");
/// let written_ms = Millis(0);
/// let row = Record { fingerprint, owner: 1, nonce: 1, written_ms, state: State::InProgress };
/// let late = Millis::from_secs(1_000_000_000);
/// assert_eq!(retention::action(&row, late, true), Action::Keep);
/// assert_eq!(retention::action(&row, late, false), Action::MarkUnknown);
/// ```
pub fn action(row: &Record, age: Millis, owner_alive: bool) -> Action {
    match row.state {
        State::InProgress if owner_alive => Action::Keep,
        State::InProgress => Action::MarkUnknown,
        State::Completed(_) | State::NotRun if age >= COMPLETED_RETENTION => Action::Delete,
        State::Unknown if age >= UNKNOWN_RETENTION => Action::Delete,
        _ => Action::Keep,
    }
}

/// Result of one step of the sweep.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Key after which the next step continues; `None` when all rows have been read.
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
    /// Member row of the owner, which must be absent for the claim to be set to `unknown`.
    owner: Option<Key>,
}

/// Applies the retention rules to at most `limit` rows after the key `after`, in one transaction.
///
/// `age` returns the minimum age of a row. It must not be derived from wall clocks: a row that is
/// deleted too early lets a repeated request run again.
///
/// `members` are the ids of the members that have a row. The list may be older than the claims, so
/// the transaction checks that the owner of each claim that it sets to `unknown` has no member row.
/// Rows that changed after they were read are left to the next sweep. A failed step can be
/// repeated.
pub async fn sweep<S: Store>(
    store: &S,
    after: &str,
    limit: usize,
    age: impl Fn(&Row) -> Millis,
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
        .filter_map(|row| change(age(&row), row, members))
        .collect();
    while !changes.is_empty() {
        match store.commit(&transaction(&changes)).await? {
            Commit::Done { .. } => break,
            Commit::Conflict { keys } => changes.retain(|c| !c.depends_on(&keys)),
        }
    }
    step.deleted = changes.iter().filter(|c| c.value.is_none()).count();
    step.marked = changes.len() - step.deleted;
    Ok(step)
}

fn change(age: Millis, row: Row, members: &[u64]) -> Option<Change> {
    let Some(mut found) = record::parse(&row.value) else {
        log::error!("claim: row {} is not a valid claim record", row.key);
        return None;
    };
    let (key, version) = (row.key, row.version);
    match action(&found, age, members.contains(&found.owner)) {
        Action::Keep => None,
        Action::Delete => Some(Change {
            key,
            version,
            value: None,
            owner: None,
        }),
        Action::MarkUnknown => {
            found.state = State::Unknown;
            found.written_ms = clock::wall();
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
    /// Returns whether the change depends on one of `keys`.
    fn depends_on(&self, keys: &[Key]) -> bool {
        keys.contains(&self.key) || self.owner.as_ref().is_some_and(|o| keys.contains(o))
    }
}
