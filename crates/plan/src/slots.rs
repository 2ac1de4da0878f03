//! Guaranteed gangs and where their capacity is set aside.
//!
//! Each guaranteed gang is a slot with one box for each member. The boxes of all slots are
//! located on workers such that their sum never exceeds a worker's capacity. Claims run inside
//! the boxes of their slot; everything else runs on borrowed capacity and can be stopped. The
//! locations are therefore a proof that all unclaimed guarantees can be placed at once.

use base::name::Name;
use schema::shape::{Adjacency, Shape};

use crate::{amount::Amount, jobs::JobId, record::Claim, workers::WorkerId};

/// Position of a slot in the table.
pub type SlotId = usize;

/// Capacity set aside for one member.
#[derive(Clone, Copy, Debug)]
pub struct SlotBox {
    /// Worker on which it is set aside; none if there is no room.
    pub worker: Option<WorkerId>,
    /// Part that no claim uses.
    pub left: Amount,
}

/// One guaranteed gang, or the capacity of a job that lost its guarantee and can't be stopped.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Organisation of the guarantee.
    pub organisation: Name,
    /// The guaranteed gang; none for a job that lost its guarantee.
    pub claim: Option<Claim>,
    /// Shape of the gang.
    pub shape: Shape,
    /// One for each member.
    pub boxes: Vec<SlotBox>,
    /// Jobs that use the slot or wait for its capacity.
    pub jobs: Vec<JobId>,
}

impl Slot {
    pub fn new(organisation: Name, claim: Option<Claim>, shape: Shape) -> Self {
        let empty = SlotBox {
            worker: None,
            left: Amount::of(&shape),
        };
        Self {
            organisation,
            claim,
            shape,
            boxes: vec![empty; shape.members.into()],
            jobs: Vec::new(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn is_located(&self) -> bool {
        self.boxes.iter().all(|b| b.worker.is_some())
    }

    pub fn need(&self) -> Amount {
        Amount::of(&self.shape)
    }

    /// Returns the box of each member of a gang that fits into the unclaimed part.
    pub fn fit(&self, need: Amount, members: u16, adjacency: Adjacency) -> Option<Vec<usize>> {
        let whole = need.times(members);
        if let Some(i) = self.boxes.iter().position(|b| whole.fits_in(b.left)) {
            return Some(vec![i; members.into()]);
        }
        if self.shape.adjacency > adjacency {
            return None;
        }
        let mut chosen = Vec::new();
        for (i, b) in self.boxes.iter().enumerate() {
            let count = b.left.count_of(need, members - chosen.len() as u16);
            chosen.extend(std::iter::repeat_n(i, count.into()));
        }
        (chosen.len() == usize::from(members)).then_some(chosen)
    }
}

/// All slots.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    /// Slots by position, those of one organisation in a row.
    pub list: Vec<Slot>,
    /// Whether a slot may have boxes without a location that could be found now.
    pub unsettled: bool,
}

impl Slots {
    /// Returns the guaranteed gangs of an organisation.
    pub fn of<'a>(&'a self, organisation: &'a Name) -> impl Iterator<Item = (SlotId, &'a Slot)> {
        let own = move |(_, s): &(SlotId, &Slot)| s.organisation == *organisation;
        self.list
            .iter()
            .enumerate()
            .filter(own)
            .filter(|(_, s)| s.claim.is_some())
    }
}
