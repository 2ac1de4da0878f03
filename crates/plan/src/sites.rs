//! Choice among sites: workers with room for some members of a gang.

use schema::shape::Adjacency;

use crate::workers::WorkerId;

/// A worker with room for members of a gang.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: usize,
    /// Its data centre.
    pub data_centre: usize,
    /// Members that fit.
    pub room: u16,
    /// Cost of using the site; lower is better.
    pub cost: u32,
}

/// What decides between racks or data centres that fit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prefer {
    /// The first one.
    First,
    /// The one with the least room left, then the lowest cost.
    Tightest,
    /// The one with the lowest cost.
    Cheapest,
}

/// Returns the worker of each member, or none if no domain of this adjacency has the room.
///
/// A gang that fits into a tighter domain than it asks for is placed there.
pub fn choose(
    sites: &[Site],
    members: u16,
    adjacency: Adjacency,
    prefer: Prefer,
) -> Option<Vec<WorkerId>> {
    if let Some(worker) = one_worker(sites, members, prefer) {
        return Some(vec![worker; members.into()]);
    }
    if adjacency == Adjacency::Worker {
        return None;
    }
    let found = one_group(sites, members, prefer, |s| s.rack);
    if found.is_some() || adjacency == Adjacency::Rack {
        return found;
    }
    one_group(sites, members, prefer, |s| s.data_centre)
}

fn one_worker(sites: &[Site], members: u16, prefer: Prefer) -> Option<WorkerId> {
    let mut fits = sites.iter().filter(|s| s.room >= members);
    let site = match prefer {
        Prefer::First => fits.next(),
        Prefer::Tightest | Prefer::Cheapest => fits.min_by_key(|s| s.cost),
    };
    site.map(|s| s.worker)
}

fn one_group(
    sites: &[Site],
    members: u16,
    prefer: Prefer,
    group: fn(&Site) -> usize,
) -> Option<Vec<WorkerId>> {
    let groups = sites.iter().map(group).max()? + 1;
    let mut room = vec![0_u32; groups];
    for site in sites {
        room[group(site)] += u32::from(site.room);
    }
    let needed = u32::from(members);
    let fits = (0..groups).filter(|g| room[*g] >= needed);
    let in_group = |g: usize| sites.iter().filter(move |s| group(s) == g);
    let best = match prefer {
        Prefer::First => return fits.map(|g| fill(in_group(g), members, prefer).1).next(),
        Prefer::Tightest => {
            let least = fits.clone().map(|g| room[g]).min()?;
            let tight = fits.filter(|g| room[*g] == least);
            tight.map(|g| fill(in_group(g), members, prefer)).min()
        }
        Prefer::Cheapest => fits.map(|g| fill(in_group(g), members, prefer)).min(),
    };
    best.map(|(_, workers)| workers)
}

/// Fills the sites of a group that fits, cheapest first; returns the cost and the workers.
fn fill<'a>(
    sites: impl Iterator<Item = &'a Site>,
    members: u16,
    prefer: Prefer,
) -> (u64, Vec<WorkerId>) {
    let mut sites: Vec<&Site> = sites.filter(|s| s.room > 0).collect();
    if prefer != Prefer::First {
        sites.sort_by_key(|s| s.cost);
    }
    let (mut cost, mut workers) = (0, Vec::new());
    for site in sites {
        let left = usize::from(members) - workers.len();
        if left == 0 {
            break;
        }
        cost += u64::from(site.cost);
        workers.extend(std::iter::repeat_n(site.worker, left.min(site.room.into())));
    }
    (cost, workers)
}
