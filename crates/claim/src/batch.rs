//! Work of one transaction.

use base::clock;
use store::table::Key;

use crate::{
    claims::{Ask, Settle},
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
    Ask(Ask),
    Settle(Settle),
}

/// What was read back after the answer to a transaction was lost.
#[derive(Debug)]
pub(crate) enum Found {
    /// The transaction took effect with this version.
    Applied(u64),
    /// The transaction did not take effect yet, or the read was stale.
    NotSeen,
}

impl Batch {
    /// Removes and returns the items with these keys.
    pub(crate) fn split(&mut self, keys: &[Key]) -> Vec<Item> {
        let items = std::mem::take(&mut self.items);
        let (out, kept) = items.into_iter().partition(|i| keys.contains(i.key()));
        self.items = kept;
        out
    }

    /// Notes that the writes may take effect although no answer arrived.
    pub(crate) fn mark_uncertain(&mut self) {
        for item in &mut self.items {
            if let Item::Ask(ask) = item {
                ask.uncertain = true;
            }
        }
    }

    /// The first claim that was not part of an earlier batch.
    pub(crate) fn first_new_ask(&self) -> Option<&Ask> {
        self.items.iter().find_map(|item| match item {
            Item::Ask(ask) if ask.tries == 0 => Some(ask),
            _ => None,
        })
    }
}

impl Item {
    pub(crate) fn key(&self) -> &Key {
        match self {
            Self::Ask(ask) => &ask.key,
            Self::Settle(settle) => &settle.key,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        match self {
            Self::Ask(ask) => ask.version,
            Self::Settle(settle) => settle.version,
        }
    }

    pub(crate) fn record(&self, owner: u64) -> Record {
        let (fingerprint, nonce, state) = match self {
            Self::Ask(ask) => (&ask.fingerprint, ask.nonce, State::InProgress),
            Self::Settle(settle) => {
                let state = settle.settled.clone().into_state();
                (&settle.fingerprint, settle.nonce, state)
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
