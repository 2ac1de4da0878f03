//! Settlement of unknown claims by an operator.

use base::{clock, name::Name};
use store::table::{Commit, StoreError, Txn};

use crate::{
    record::{self, Record, State},
    store::Store,
    ticket::Settled,
};

/// Result of a settlement by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// The claim now has the given outcome.
    Done,
    /// There is no such claim.
    NotFound,
    /// Only unknown claims can be settled; the claim has this state.
    NotUnknown(State),
    /// The claim changed at the same time; look at it again.
    Changed,
}

/// Settles an unknown claim with what the operator found out.
///
/// A claim in progress can be settled only when its owner's member row is gone: before that, the
/// owner may still send the request.
///
/// A lost answer is an error; the call can be repeated, and then finds its own outcome.
pub async fn settle<S: Store>(
    store: &S,
    organisation: &Name,
    key: &str,
    settled: Settled,
) -> Result<Settlement, StoreError> {
    let key = record::row_key(organisation, key);
    let Some(row) = store.get(&key).await? else {
        return Ok(Settlement::NotFound);
    };
    let Some(found) = record::parse(&row.value) else {
        return Ok(Settlement::NotFound);
    };
    let state = settled.into_state();
    if found.state == state {
        return Ok(Settlement::Done);
    }
    let owner_gone = found.state == State::InProgress
        && store.get(&record::member_key(found.owner)).await?.is_none();
    if found.state != State::Unknown && !owner_gone {
        return Ok(Settlement::NotUnknown(found.state));
    }
    let record = Record {
        state,
        written_ms: clock::wall(),
        ..found
    };
    let mut txn = Txn::default()
        .check(key.clone(), row.version)
        .put(key, record::to_json(&record));
    if owner_gone {
        // The read may be stale, the check is not.
        txn = txn.check(record::member_key(record.owner), 0);
    }
    match store.commit(&txn).await? {
        Commit::Done { .. } => Ok(Settlement::Done),
        Commit::Conflict { .. } => Ok(Settlement::Changed),
    }
}
