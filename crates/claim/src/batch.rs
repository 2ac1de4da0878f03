//! Claims and settlements that share one transaction.

use base::clock;
use store::table::Key;

use crate::{
    claims::{PendingClaim, PendingSettlement},
    record::{Record, State},
};

/// Claims and settlements that are committed together.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) items: Vec<Item>,
}

/// One claim or settlement.
#[derive(Debug)]
pub(crate) enum Item {
    Claim(PendingClaim),
    Settlement(PendingSettlement),
}

/// Result of reading a row back after the answer to its transaction was lost.
#[derive(Debug)]
pub(crate) enum ReadBack {
    /// The transaction took effect, with this version.
    Applied(u64),
    /// The transaction has not taken effect yet, or the read was stale.
    NotFound,
}

impl Batch {
    /// Removes and returns the items with these keys.
    pub(crate) fn remove(&mut self, keys: &[Key]) -> Vec<Item> {
        let items = std::mem::take(&mut self.items);
        let (removed, kept) = items.into_iter().partition(|i| keys.contains(i.key()));
        self.items = kept;
        removed
    }

    /// Marks the claims as possibly written, because no answer arrived.
    pub(crate) fn mark_uncertain(&mut self) {
        for item in &mut self.items {
            if let Item::Claim(claim) = item {
                claim.uncertain = true;
            }
        }
    }

    /// The first claim that was not part of an earlier batch.
    pub(crate) fn first_new_claim(&self) -> Option<&PendingClaim> {
        self.items.iter().find_map(|item| match item {
            Item::Claim(claim) if claim.tries == 0 => Some(claim),
            _ => None,
        })
    }
}

impl Item {
    pub(crate) fn key(&self) -> &Key {
        match self {
            Self::Claim(claim) => &claim.key,
            Self::Settlement(settlement) => &settlement.key,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        match self {
            Self::Claim(claim) => claim.version,
            Self::Settlement(settlement) => settlement.version,
        }
    }

    pub(crate) fn record(&self, owner: u64) -> Record {
        let (fingerprint, nonce, state) = match self {
            Self::Claim(claim) => (&claim.fingerprint, claim.nonce, State::InProgress),
            Self::Settlement(settlement) => {
                let state = settlement.outcome.clone().into_state();
                (&settlement.fingerprint, settlement.nonce, state)
            }
        };
        Record {
            fingerprint: fingerprint.clone(),
            owner,
            nonce,
            written_ms: clock::wall(),
            state,
        }
    }
}
