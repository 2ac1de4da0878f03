//! Check that the guarantees of a configuration can all hold together.

use base::name::Name;
use derive_more::{Display, Error};
use schema::{config::Config, shape::Shape};

use crate::{
    amount::Amount,
    event::WorkerInfo,
    sites::{self, Prefer, Site},
    workers::{Worker, WorkerId, Workers},
};

/// Why the guarantees of a configuration can't all hold together.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum ConfigRefusal {
    /// The sum of a resource is too small.
    #[display(
        "the guarantees need {wanted} {resource}, at most {available} are possible with the \
         largest worker lost"
    )]
    Total {
        /// Name and unit of the resource.
        resource: &'static str,
        /// Sum of the guarantees.
        wanted: u64,
        /// Sum of all workers but the largest.
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
        /// Position of the guarantee in the organisation's list.
        guarantee: usize,
        /// Gangs of the guarantee.
        gangs: u16,
        /// Gangs of it that fit.
        placed: u16,
        /// Worker that is taken as lost.
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

/// Checks that all guarantees hold together with any one worker lost.
///
/// An accepted configuration has a packing for each loss. The search is a heuristic: it may
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
        fleet.up(worker.clone());
    }
    let nobody = fleet.list.len();
    let places = pack_any(&mut gangs, &fleet, nobody).map_err(|e| e.with(&fleet, nobody))?;
    for lost in 0..fleet.list.len() {
        if !places.iter().flatten().any(|w| *w == lost) {
            continue;
        }
        if move_off(&gangs, &fleet, &places, lost) {
            continue;
        }
        pack_any(&mut self::gangs(config), &fleet, lost).map_err(|e| e.with(&fleet, lost))?;
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

/// Cheap necessary condition: the sums without the largest worker.
fn check_totals(gangs: &[Gang<'_>], workers: &[WorkerInfo]) -> Result<(), ConfigRefusal> {
    type Pick = (&'static str, fn(&Shape) -> u64, fn(&WorkerInfo) -> u64);
    let resources: [Pick; 3] = [
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

/// A gang that found no place.
struct NoPlace {
    organisation: Name,
    guarantee: usize,
    gangs: u16,
    placed: u16,
}

impl NoPlace {
    fn with(self, fleet: &Workers, lost: WorkerId) -> ConfigRefusal {
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

/// Tries several orders of the gangs; the first packing of all gangs wins.
fn pack_any(
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
    let mut left = room_without(fleet, lost);
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

fn room_without(fleet: &Workers, lost: WorkerId) -> Vec<Amount> {
    let mut left: Vec<Amount> = fleet.list.iter().map(Worker::capacity).collect();
    if let Some(amount) = left.get_mut(lost) {
        *amount = Amount::default();
    }
    left
}

fn place(gang: &Gang<'_>, fleet: &Workers, left: &mut [Amount]) -> Option<Vec<WorkerId>> {
    let need = Amount::of(&gang.shape);
    let site = |(worker, amount): (WorkerId, &Amount)| Site {
        worker,
        rack: fleet.list[worker].rack,
        data_centre: fleet.data_centre_of(worker),
        room: amount.count_of(need, gang.shape.members),
        cost: amount.accelerators,
    };
    let sites: Vec<Site> = left.iter().enumerate().map(site).collect();
    let shape = &gang.shape;
    let place = sites::choose(&sites, shape.members, shape.adjacency, Prefer::Tightest)?;
    for worker in &place {
        left[*worker] = left[*worker].minus(need);
    }
    Some(place)
}

/// Returns whether the gangs on a lost worker fit elsewhere while all others stay.
fn move_off(gangs: &[Gang<'_>], fleet: &Workers, places: &[Vec<WorkerId>], lost: WorkerId) -> bool {
    let mut left = room_without(fleet, lost);
    let (moved, kept): (Vec<_>, Vec<_>) = gangs
        .iter()
        .zip(places)
        .partition(|(_, place)| place.contains(&lost));
    for (gang, place) in kept {
        for worker in place {
            left[*worker] = left[*worker].minus(Amount::of(&gang.shape));
        }
    }
    moved
        .iter()
        .all(|(gang, _)| place(gang, fleet, &mut left).is_some())
}
