//! Feasibility check for the guarantees of a configuration.

use base::name::Name;
use derive_more::{Display, Error};
use schema::{config::Config, shape::Shape};

use crate::{
    candidates::{self, Candidate, Preference},
    event::WorkerInfo,
    resources::Resources,
    workers::{Worker, WorkerId, Workers},
};

/// Reason why the guarantees of a configuration can't all be satisfied at once.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum ConfigRefusal {
    /// The total of a resource is too small.
    #[display(
        "the guarantees need {wanted} {resource}, at most {available} are possible with the \
         largest worker lost"
    )]
    Total {
        /// Name and unit of the resource.
        resource: &'static str,
        /// Total of all guarantees.
        wanted: u64,
        /// Total of all workers except the largest.
        available: u64,
    },
    /// No packing of all guaranteed gangs was found.
    #[display(
        "guarantee {guarantee} of organisation {organisation} does not fit beside the others \
         when worker {lost} is lost; {placed} of its {gangs} gangs are possible"
    )]
    Packing {
        /// Organisation of the guarantee.
        organisation: Name,
        /// Index of the guarantee in the organisation's list.
        guarantee: usize,
        /// Number of gangs of the guarantee.
        gangs: u16,
        /// Number of these gangs that fit.
        placed: u16,
        /// Worker that is assumed lost.
        lost: Name,
    },
}

/// One guaranteed gang.
struct Gang<'a> {
    organisation: &'a Name,
    guarantee: usize,
    gangs: u16,
    shape: Shape,
}

/// Checks that all guarantees can be satisfied at once, with any single worker lost.
///
/// For each possible loss, an accepted configuration has a packing. The search is heuristic and may
/// refuse a configuration that only an unusual packing satisfies.
///
/// ```
/// use plan::check::check_config;
/// use schema::config::Config;
///
/// assert!(check_config(&Config::default(), &[]).is_ok());
/// ```
pub fn check_config(config: &Config, workers: &[WorkerInfo]) -> Result<(), ConfigRefusal> {
    let mut gangs = gangs(config);
    if gangs.is_empty() {
        return Ok(());
    }
    check_totals(&gangs, workers)?;
    let mut fleet = Workers::default();
    for worker in workers {
        fleet.mark_up(worker.clone());
    }
    let none_lost = fleet.list.len();
    let places = pack_in_some_order(&mut gangs, &fleet, none_lost)
        .map_err(|e| e.into_refusal(&fleet, none_lost))?;
    for lost in 0..fleet.list.len() {
        if !places.iter().flatten().any(|w| *w == lost) {
            continue;
        }
        if repack_affected(&gangs, &fleet, &places, lost) {
            continue;
        }
        pack_in_some_order(&mut self::gangs(config), &fleet, lost)
            .map_err(|e| e.into_refusal(&fleet, lost))?;
    }
    Ok(())
}

fn gangs(config: &Config) -> Vec<Gang<'_>> {
    let mut gangs = Vec::new();
    for organisation in config.organisations.values() {
        for (guarantee, g) in organisation.guarantees.iter().enumerate() {
            gangs.extend((0..g.gangs).map(|_| Gang {
                organisation: &organisation.name,
                guarantee,
                gangs: g.gangs,
                shape: g.shape,
            }));
        }
    }
    gangs
}

/// Checks a cheap necessary condition: the totals without the largest worker.
fn check_totals(gangs: &[Gang<'_>], workers: &[WorkerInfo]) -> Result<(), ConfigRefusal> {
    type ResourceColumn = (&'static str, fn(&Shape) -> u64, fn(&WorkerInfo) -> u64);
    let resources: [ResourceColumn; 3] = [
        (
            "accelerators",
            |s| s.accelerators.into(),
            |w| w.accelerators.into(),
        ),
        ("cores", |s| s.cores.into(), |w| w.cores.into()),
        (
            "MiB of memory",
            |s| s.memory_mb.into(),
            |w| w.memory_mb.into(),
        ),
    ];
    for (resource, of_shape, of_worker) in resources {
        let of_gang = |g: &Gang<'_>| u64::from(g.shape.members) * of_shape(&g.shape);
        let wanted: u64 = gangs.iter().map(of_gang).sum();
        let largest = workers.iter().map(of_worker).max().unwrap_or(0);
        let available = workers.iter().map(of_worker).sum::<u64>() - largest;
        if wanted > available {
            return Err(ConfigRefusal::Total {
                resource,
                wanted,
                available,
            });
        }
    }
    Ok(())
}

/// A guaranteed gang for which no place was found.
struct NoPlace {
    organisation: Name,
    guarantee: usize,
    gangs: u16,
    placed: u16,
}

impl NoPlace {
    fn into_refusal(self, fleet: &Workers, lost: WorkerId) -> ConfigRefusal {
        let lost = fleet.list.get(lost).map(|w| w.info.name.clone());
        ConfigRefusal::Packing {
            organisation: self.organisation,
            guarantee: self.guarantee,
            gangs: self.gangs,
            placed: self.placed,
            lost: lost.unwrap_or_else(|| "none".parse().expect("the text is a name")),
        }
    }
}

/// Tries several orders of the gangs and returns the first packing that contains all gangs.
fn pack_in_some_order(
    gangs: &mut [Gang<'_>],
    fleet: &Workers,
    lost: WorkerId,
) -> Result<Vec<Vec<WorkerId>>, NoPlace> {
    let size = |g: &Gang<'_>| std::cmp::Reverse((g.shape.accelerators, g.shape.members));
    let total = |g: &Gang<'_>| std::cmp::Reverse(g.shape.total_accelerators());
    let memory = |g: &Gang<'_>| std::cmp::Reverse((g.shape.memory_mb, g.shape.cores));
    gangs.sort_by_key(|g| (g.shape.adjacency, total(g)));
    if let Ok(places) = pack(gangs, fleet, lost) {
        return Ok(places);
    }
    gangs.sort_by_key(size);
    if let Ok(places) = pack(gangs, fleet, lost) {
        return Ok(places);
    }
    gangs.sort_by_key(memory);
    if let Ok(places) = pack(gangs, fleet, lost) {
        return Ok(places);
    }
    gangs.sort_by_key(total);
    pack(gangs, fleet, lost)
}

fn pack(
    gangs: &[Gang<'_>],
    fleet: &Workers,
    lost: WorkerId,
) -> Result<Vec<Vec<WorkerId>>, NoPlace> {
    let mut left = capacity_without(fleet, lost);
    let mut places: Vec<Vec<WorkerId>> = Vec::new();
    for (i, gang) in gangs.iter().enumerate() {
        let Some(place) = place(gang, fleet, &mut left) else {
            let same = |g: &&Gang<'_>| {
                g.organisation == gang.organisation && g.guarantee == gang.guarantee
            };
            return Err(NoPlace {
                organisation: gang.organisation.clone(),
                guarantee: gang.guarantee,
                gangs: gang.gangs,
                placed: gangs[..i].iter().filter(same).count() as u16,
            });
        };
        places.push(place);
    }
    Ok(places)
}

fn capacity_without(fleet: &Workers, lost: WorkerId) -> Vec<Resources> {
    let mut left: Vec<Resources> = fleet.list.iter().map(Worker::capacity).collect();
    if let Some(amount) = left.get_mut(lost) {
        *amount = Resources::default();
    }
    left
}

fn place(gang: &Gang<'_>, fleet: &Workers, left: &mut [Resources]) -> Option<Vec<WorkerId>> {
    let need = Resources::of(&gang.shape);
    let candidate = |(worker, amount): (WorkerId, &Resources)| Candidate {
        worker,
        rack: fleet.list[worker].rack,
        data_centre: fleet.data_centre_of(worker),
        room: amount.count_of(need, gang.shape.members),
        cost: amount.accelerators,
    };
    let candidates: Vec<Candidate> = left.iter().enumerate().map(candidate).collect();
    let shape = &gang.shape;
    let place = candidates::choose(
        &candidates,
        shape.members,
        shape.adjacency,
        Preference::Tightest,
    )?;
    for worker in &place {
        left[*worker] = left[*worker].saturating_sub(need);
    }
    Some(place)
}

/// Returns whether the gangs on a lost worker fit elsewhere while all other gangs stay in place.
fn repack_affected(
    gangs: &[Gang<'_>],
    fleet: &Workers,
    places: &[Vec<WorkerId>],
    lost: WorkerId,
) -> bool {
    let mut left = capacity_without(fleet, lost);
    let (moved, kept): (Vec<_>, Vec<_>) = gangs
        .iter()
        .zip(places)
        .partition(|(_, place)| place.contains(&lost));
    for (gang, place) in kept {
        for worker in place {
            left[*worker] = left[*worker].saturating_sub(Resources::of(&gang.shape));
        }
    }
    moved
        .iter()
        .all(|(gang, _)| place(gang, fleet, &mut left).is_some())
}
