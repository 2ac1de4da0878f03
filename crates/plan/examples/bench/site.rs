//! Deployments and their job arrivals.

use base::{clock::Millis, name::Name};
use plan::event::WorkerInfo;
use schema::{
    config::Config,
    job::{Job, StopMode},
    organisation::{Guarantee, Organisation},
    shape::{Adjacency, Shape},
};

/// A deployment. `loads` are the shares of all accelerators that live, batch and large work need.
pub struct Site {
    pub name: &'static str,
    pub workers: usize,
    pub per_rack: usize,
    pub data_centres: usize,
    pub cores: u16,
    pub fragmentation_percent: u8,
    pub loads: [f64; 3],
    pub arrivals_end: Millis,
}

pub const TULEGENOV: Site = Site {
    name: "Tulegenov",
    workers: 50,
    per_rack: 8,
    data_centres: 3,
    cores: 64,
    fragmentation_percent: 30,
    loads: [0.20, 0.35, 0.30],
    arrivals_end: Millis::from_secs(24 * 3_600),
};

pub const AKARIHON: Site = Site {
    name: "Akarihon",
    per_rack: 6,
    data_centres: 4,
    cores: 128,
    fragmentation_percent: 80,
    loads: [0.15, 0.30, 0.40],
    ..TULEGENOV
};

pub fn site_with_workers(workers: usize) -> Site {
    Site {
        workers,
        data_centres: 6,
        ..TULEGENOV
    }
}

fn name(text: &str) -> Name {
    text.parse().expect("the text is a name")
}

impl Site {
    pub fn fleet(&self) -> Vec<WorkerInfo> {
        let worker = |i| WorkerInfo {
            name: name(&format!("w{i}")),
            rack: name(&format!("r{}", i / self.per_rack)),
            data_centre: name(&format!("dc{}", i / self.per_rack % self.data_centres)),
            accelerators: 8,
            cores: self.cores,
            memory_mb: 256 << 10,
        };
        (0..self.workers).map(worker).collect()
    }

    /// Returns a configuration with four organisations. For every 50 workers, each of them has
    /// guarantees of one pair of workers and of four pairs of accelerators.
    pub fn config(&self) -> Config {
        let mut config = Config::default();
        config.placement.fragmentation_percent = self.fragmentation_percent;
        let gangs = (self.workers / 50) as u16;
        for (i, weight) in [4, 3, 2, 1].into_iter().enumerate() {
            let pair = shape(2, 8, Adjacency::Rack);
            let small = shape(1, 2, Adjacency::Worker);
            let guarantees = [(gangs, pair), (gangs * 4, small)];
            let organisation = Organisation {
                name: name(&format!("org{i}")),
                token_hashes: Vec::new(),
                guarantees: guarantees
                    .map(|(gangs, shape)| Guarantee { gangs, shape })
                    .into(),
                weight,
            };
            config
                .organisations
                .insert(organisation.name.clone(), organisation);
        }
        config
    }

    /// Returns the arrivals of each kind per millisecond: the load divided by the mean accelerator
    /// time of a job.
    pub fn rates(&self) -> [f64; 3] {
        let work = [1.2 * 165_000.0, 2.0 * 2_700_000.0, 28.0 * 6_300_000.0];
        [0, 1, 2].map(|i| self.loads[i] * self.workers as f64 * 8.0 / work[i])
    }

    /// Returns a job and its actual run time. The declared run time is off by a factor of 0.5 to 2.
    pub fn job(&self, rng: &mut fastrand::Rng, i: usize) -> (Job, Millis) {
        let rates = self.rates();
        let at = rng.f64() * rates.iter().sum::<f64>();
        let (kind, shape, run_time) = if at < rates[0] {
            let accelerators = [1, 1, 1, 1, 2][rng.usize(..5)];
            (
                "live",
                shape(1, accelerators, Adjacency::Worker),
                rng.u64(30..300),
            )
        } else if at < rates[0] + rates[1] {
            let accelerators = [1, 1, 2, 2, 2, 4][rng.usize(..6)];
            (
                "batch",
                shape(1, accelerators, Adjacency::Worker),
                rng.u64(600..4_800),
            )
        } else {
            (
                "large",
                shape(rng.u16(2..6), 8, Adjacency::Rack),
                rng.u64(1_800..10_800),
            )
        };
        let organisation = [0, 0, 0, 0, 1, 1, 1, 2, 2, 3][rng.usize(..10)];
        let job = Job {
            organisation: name(&format!("org{organisation}")),
            team: name(&format!("team{}", rng.usize(..35))),
            name: name(&format!("j{i}")),
            kind: name(kind),
            shape,
            run_time_ms: Millis((run_time as f64 * (500.0 + 1_500.0 * rng.f64())) as u64),
            urgent: kind == "live",
            stop: StopMode::Checkpoint,
        };
        (job, Millis::from_secs(run_time))
    }
}

fn shape(members: u16, accelerators: u16, adjacency: Adjacency) -> Shape {
    Shape {
        members,
        accelerators,
        cores: accelerators * 4,
        memory_mb: u32::from(accelerators) * 16_384,
        adjacency,
    }
}
