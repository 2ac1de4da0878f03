//! Settlement by an operator of claims whose outcome is unknown.

use base::{clock, name::Name};
use store::table::{Commit, StoreError, Txn};

use crate::{
    record::{self, Record, State},
    store::Store,
    ticket::ExecutionOutcome,
};

/// Result of a settlement by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// The claim has the given outcome.
    Done,
    /// There is no claim on the key.
    NotFound,
    /// The claim can't be settled because it is in this state.
    NotUnknown(State),
    /// The claim changed concurrently; read it again before another try.
    Changed,
}

/// Settles an unknown claim with the outcome that the operator determined.
///
/// A claim in progress can be settled only when its owner's member row is gone: until then, the
/// owner may still send the request.
///
/// A lost answer from the store is returned as an error. Repeating the call is safe: it returns
/// [`Settlement::Done`] if the claim already has the outcome.
pub async fn settle<S: Store>(
    store: &S,
    organisation: &Name,
    key: &str,
    outcome: ExecutionOutcome,
) -> Result<Settlement, StoreError> {
    let key = record::claim_key(organisation, key);
    let Some(row) = store.get(&key).await? else {
        return Ok(Settlement::NotFound);
    };
    let Some(found) = record::parse(&row.value) else {
        return Ok(Settlement::NotFound);
    };
    let state = outcome.into_state();
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
        // The read above may be stale, so the transaction checks that the member row is absent.
        txn = txn.check(record::member_key(record.owner), 0);
    }
    match store.commit(&txn).await? {
        Commit::Done { .. } => Ok(Settlement::Done),
        Commit::Conflict { .. } => Ok(Settlement::Changed),
    }
}
