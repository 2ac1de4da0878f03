//! Exhaustive packing search for unclaimed guarantees, independent of the plan's own search.

use base::name::Name;
use plan::event::WorkerInfo;
use schema::shape::{Adjacency, Shape};

/// Free resources of a worker.
#[derive(Clone, Debug)]
pub struct FreeResources {
    rack: Name,
    accelerators: u32,
    cores: u32,
    memory_mb: u32,
}

impl FreeResources {
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

    pub fn allocate(&mut self, shape: &Shape) {
        self.accelerators = self.accelerators.saturating_sub(shape.accelerators.into());
        self.cores = self.cores.saturating_sub(shape.cores.into());
        self.memory_mb = self.memory_mb.saturating_sub(shape.memory_mb);
    }

    fn release(&mut self, shape: &Shape) {
        self.accelerators += u32::from(shape.accelerators);
        self.cores += u32::from(shape.cores);
        self.memory_mb += shape.memory_mb;
    }
}

/// Returns whether all gangs can be placed at the same time, by exhaustive search.
pub fn all_fit(gangs: &[Shape], workers: &mut [FreeResources]) -> bool {
    let Some((first, rest)) = gangs.split_first() else {
        return true;
    };
    fits_gang(first, rest, workers, first.members, None)
}

fn fits_gang(
    shape: &Shape,
    rest: &[Shape],
    workers: &mut [FreeResources],
    members: u16,
    last: Option<usize>,
) -> bool {
    if members == 0 {
        return all_fit(rest, workers);
    }
    for i in last.unwrap_or(0)..workers.len() {
        let in_domain = last.is_none_or(|l| match shape.adjacency {
            Adjacency::Worker => l == i,
            Adjacency::Rack => workers[l].rack == workers[i].rack,
            Adjacency::DataCentre => true,
        });
        if !in_domain || !workers[i].fits(shape) {
            continue;
        }
        workers[i].allocate(shape);
        let found = fits_gang(shape, rest, workers, members - 1, Some(i));
        workers[i].release(shape);
        if found {
            return true;
        }
    }
    false
}
