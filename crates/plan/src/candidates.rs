//! Choice of workers for a gang among candidates within one topology domain.

use schema::shape::Adjacency;

use crate::workers::WorkerId;

/// A worker with room for members of a gang.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: usize,
    /// Its data centre.
    pub data_centre: usize,
    /// Number of members that fit.
    pub room: u16,
    /// Cost of using the worker; lower is better.
    pub cost: u32,
}

/// Preference among the workers, racks or data centres in which a gang fits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preference {
    /// The first one.
    First,
    /// The one with the least room, then the lowest cost.
    Tightest,
    /// The one with the lowest cost.
    Cheapest,
}

/// Returns the worker of each member, or `None` if no domain of this adjacency has enough room.
///
/// A gang that fits into a narrower domain than it asks for is placed there.
pub fn choose(
    candidates: &[Candidate],
    members: u16,
    adjacency: Adjacency,
    preference: Preference,
) -> Option<Vec<WorkerId>> {
    if let Some(worker) = choose_worker(candidates, members, preference) {
        return Some(vec![worker; members.into()]);
    }
    if adjacency == Adjacency::Worker {
        return None;
    }
    let found = choose_group(candidates, members, preference, |c| c.rack);
    if found.is_some() || adjacency == Adjacency::Rack {
        return found;
    }
    choose_group(candidates, members, preference, |c| c.data_centre)
}

fn choose_worker(
    candidates: &[Candidate],
    members: u16,
    preference: Preference,
) -> Option<WorkerId> {
    let mut fits = candidates.iter().filter(|c| c.room >= members);
    let candidate = match preference {
        Preference::First => fits.next(),
        Preference::Tightest | Preference::Cheapest => fits.min_by_key(|c| c.cost),
    };
    candidate.map(|c| c.worker)
}

fn choose_group(
    candidates: &[Candidate],
    members: u16,
    preference: Preference,
    group: fn(&Candidate) -> usize,
) -> Option<Vec<WorkerId>> {
    let groups = candidates.iter().map(group).max()? + 1;
    let mut room = vec![0_u32; groups];
    for candidate in candidates {
        room[group(candidate)] += u32::from(candidate.room);
    }
    let needed = u32::from(members);
    let fits = (0..groups).filter(|g| room[*g] >= needed);
    let in_group = |g: usize| candidates.iter().filter(move |c| group(c) == g);
    let best = match preference {
        Preference::First => {
            return fits
                .map(|g| assign_members(in_group(g), members, preference).1)
                .next();
        }
        Preference::Tightest => {
            let least = fits.clone().map(|g| room[g]).min()?;
            let tight = fits.filter(|g| room[*g] == least);
            tight
                .map(|g| assign_members(in_group(g), members, preference))
                .min()
        }
        Preference::Cheapest => fits
            .map(|g| assign_members(in_group(g), members, preference))
            .min(),
    };
    best.map(|(_, workers)| workers)
}

/// Assigns the members to the candidates of one group, cheapest first. Returns the total cost and
/// the worker of each member.
fn assign_members<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    members: u16,
    preference: Preference,
) -> (u64, Vec<WorkerId>) {
    let mut candidates: Vec<&Candidate> = candidates.filter(|c| c.room > 0).collect();
    if preference != Preference::First {
        candidates.sort_by_key(|c| c.cost);
    }
    let (mut cost, mut workers) = (0, Vec::new());
    for candidate in candidates {
        let left = usize::from(members) - workers.len();
        if left == 0 {
            break;
        }
        cost += u64::from(candidate.cost);
        workers.extend(std::iter::repeat_n(
            candidate.worker,
            left.min(candidate.room.into()),
        ));
    }
    (cost, workers)
}
