//! Reservations of worker capacity for guaranteed gangs.
//!
//! Each guaranteed gang has a reservation with one part for each member. The parts of all
//! reservations are located on workers such that their sum never exceeds the capacity of a worker.
//! Claims run inside the parts of their reservation; all other work runs on borrowed capacity and
//! can be stopped. The locations therefore prove that all unclaimed guarantees can be placed at the
//! same time.

use base::name::Name;
use schema::shape::{Adjacency, Shape};

use crate::{jobs::JobId, record::Claim, resources::Resources, workers::WorkerId};

/// Index of a reservation in the table.
pub type ReservationId = usize;

/// Capacity reserved for one member of a guaranteed gang.
#[derive(Clone, Copy, Debug)]
pub struct ReservationPart {
    /// Worker on which the capacity is reserved; `None` if there is no room.
    pub worker: Option<WorkerId>,
    /// Resources that no claim uses.
    pub unclaimed: Resources,
}

/// Reservation for a guaranteed gang, or for a job that lost its guarantee and can't be stopped.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Organisation of the guarantee.
    pub organisation: Name,
    /// The guaranteed gang; `None` for a job that lost its guarantee.
    pub claim: Option<Claim>,
    /// Shape of the gang.
    pub shape: Shape,
    /// Parts, one for each member.
    pub parts: Vec<ReservationPart>,
    /// Jobs that use the reservation or await its capacity.
    pub jobs: Vec<JobId>,
}

impl Reservation {
    pub fn new(organisation: Name, claim: Option<Claim>, shape: Shape) -> Self {
        let unassigned = ReservationPart {
            worker: None,
            unclaimed: Resources::of(&shape),
        };
        Self {
            organisation,
            claim,
            shape,
            parts: vec![unassigned; shape.members.into()],
            jobs: Vec::new(),
        }
    }

    pub fn is_unclaimed(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn is_located(&self) -> bool {
        self.parts.iter().all(|part| part.worker.is_some())
    }

    pub fn need(&self) -> Resources {
        Resources::of(&self.shape)
    }

    /// Returns the index of the part for each member of a gang, or `None` if the gang does not fit
    /// into the unclaimed resources.
    pub fn fit(&self, need: Resources, members: u16, adjacency: Adjacency) -> Option<Vec<usize>> {
        let total = need.saturating_mul(members);
        if let Some(i) = self
            .parts
            .iter()
            .position(|part| total.fits_in(part.unclaimed))
        {
            return Some(vec![i; members.into()]);
        }
        if self.shape.adjacency > adjacency {
            return None;
        }
        let mut chosen = Vec::new();
        for (i, part) in self.parts.iter().enumerate() {
            let count = part.unclaimed.count_of(need, members - chosen.len() as u16);
            chosen.extend(std::iter::repeat_n(i, count.into()));
        }
        (chosen.len() == usize::from(members)).then_some(chosen)
    }
}

/// All reservations.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    /// Reservations by index; those of one organisation are contiguous.
    pub list: Vec<Reservation>,
    /// Whether a new search may find locations for parts that have none.
    pub needs_locating: bool,
}

impl Reservations {
    /// Returns the reservations for guaranteed gangs of an organisation.
    pub fn of<'a>(
        &'a self,
        organisation: &'a Name,
    ) -> impl Iterator<Item = (ReservationId, &'a Reservation)> {
        let own = move |(_, r): &(ReservationId, &Reservation)| r.organisation == *organisation;
        self.list
            .iter()
            .enumerate()
            .filter(own)
            .filter(|(_, r)| r.claim.is_some())
    }
}
