//! Fencing tokens that a member has heard of, without I/O.
//!
//! A leader that can't renew its lease renews task leases only while a majority of the members has
//! not heard of a higher fencing token. What a member has heard it never forgets: a process that
//! was restarted is another member.

use base::{name::Name, sorted::SortedMap};

/// Highest fencing token of each shard that this member has heard of.
///
/// ```
/// use member::fences::Fences;
///
/// let (mut fences, shard) = (Fences::default(), "main".parse().unwrap());
/// assert_eq!(fences.raise(&shard, 2), 2);
/// assert_eq!(fences.raise(&shard, 1), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Fences {
    highest: SortedMap<Name, u64>,
}

impl Fences {
    /// Records a fencing token and returns the highest one of the shard.
    pub fn raise(&mut self, shard: &Name, fence: u64) -> u64 {
        let highest = self.highest.get(shard).copied().unwrap_or_default();
        if highest >= fence {
            return highest;
        }
        log::info!(shard:% = shard, fence, before = highest; "lease: a higher fencing token is known");
        self.highest.insert(shard.clone(), fence);
        fence
    }
}
