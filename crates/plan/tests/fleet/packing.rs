//! Exhaustive search for places of all unclaimed guarantees, independent of the plan's own.

use base::name::Name;
use plan::event::WorkerInfo;
use schema::shape::{Adjacency, Shape};

/// Free resources of a worker.
#[derive(Clone, Debug)]
pub struct Left {
    rack: Name,
    accelerators: u32,
    cores: u32,
    memory_mb: u32,
}

impl Left {
    pub fn of(worker: &WorkerInfo) -> Self {
        Self {
            rack: worker.rack.clone(),
            accelerators: worker.accelerators.into(),
            cores: worker.cores.into(),
            memory_mb: worker.memory_mb,
        }
    }

    fn fits(&self, shape: &Shape) -> bool {
        self.accelerators >= shape.accelerators.into()
            && self.cores >= shape.cores.into()
            && self.memory_mb >= shape.memory_mb
    }

    pub fn take(&mut self, shape: &Shape) {
        self.accelerators = self.accelerators.saturating_sub(shape.accelerators.into());
        self.cores = self.cores.saturating_sub(shape.cores.into());
        self.memory_mb = self.memory_mb.saturating_sub(shape.memory_mb);
    }

    fn give(&mut self, shape: &Shape) {
        self.accelerators += u32::from(shape.accelerators);
        self.cores += u32::from(shape.cores);
        self.memory_mb += shape.memory_mb;
    }
}

/// Exhaustive search for places of all gangs at once.
pub fn fits_all(gangs: &[Shape], sites: &mut [Left]) -> bool {
    let Some((first, rest)) = gangs.split_first() else {
        return true;
    };
    fits_gang(first, rest, sites, first.members, None)
}

fn fits_gang(
    shape: &Shape,
    rest: &[Shape],
    sites: &mut [Left],
    members: u16,
    last: Option<usize>,
) -> bool {
    if members == 0 {
        return fits_all(rest, sites);
    }
    for i in last.unwrap_or(0)..sites.len() {
        let near = last.is_none_or(|l| match shape.adjacency {
            Adjacency::Worker => l == i,
            Adjacency::Rack => sites[l].rack == sites[i].rack,
            Adjacency::DataCentre => true,
        });
        if !near || !sites[i].fits(shape) {
            continue;
        }
        sites[i].take(shape);
        let found = fits_gang(shape, rest, sites, members - 1, Some(i));
        sites[i].give(shape);
        if found {
            return true;
        }
    }
    false
}
