//! Deployments and their arrivals.

use base::{clock::Millis, name::Name};
use plan::event::WorkerInfo;
use schema::{
    config::Config,
    job::{Job, StopMode},
    organisation::{Guarantee, Organisation},
    shape::{Adjacency, Shape},
};

/// A deployment. Loads are shares of all accelerators.
pub struct Site {
    pub name: &'static str,
    pub workers: usize,
    pub per_rack: usize,
    pub data_centres: usize,
    pub cores: u16,
    pub fragmentation_percent: u8,
    pub live_load: f64,
    pub batch_load: f64,
    pub large_load: f64,
    pub arrivals_end: Millis,
}

pub const TULEGENOV: Site = Site {
    name: "Tulegenov",
    workers: 50,
    per_rack: 8,
    data_centres: 3,
    cores: 64,
    fragmentation_percent: 30,
    live_load: 0.20,
    batch_load: 0.35,
    large_load: 0.30,
    arrivals_end: Millis::from_secs(24 * 3_600),
};

pub const AKARIHON: Site = Site {
    name: "Akarihon",
    per_rack: 6,
    data_centres: 4,
    cores: 128,
    fragmentation_percent: 80,
    live_load: 0.15,
    batch_load: 0.30,
    large_load: 0.40,
    ..TULEGENOV
};

pub fn sized(workers: usize) -> Site {
    Site {
        name: "sized",
        workers,
        data_centres: 6,
        ..TULEGENOV
    }
}

pub fn name(text: &str) -> Name {
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

    pub fn config(&self) -> Config {
        let mut config = Config::default();
        config.placement.fragmentation_percent = self.fragmentation_percent;
        let gangs = (self.workers / 50) as u16;
        for (i, weight) in [4, 3, 2, 1].into_iter().enumerate() {
            let guarantees = vec![
                Guarantee {
                    gangs,
                    shape: shape(2, 8, Adjacency::Rack),
                },
                Guarantee {
                    gangs: gangs * 4,
                    shape: shape(1, 2, Adjacency::Worker),
                },
            ];
            let organisation = Organisation {
                name: name(&format!("org{i}")),
                token_hashes: Vec::new(),
                guarantees,
                weight,
            };
            config
                .organisations
                .insert(organisation.name.clone(), organisation);
        }
        config
    }

    /// Mean time between arrivals, in milliseconds, over all kinds.
    pub fn interval(&self) -> f64 {
        1.0 / self.rates().iter().sum::<f64>()
    }

    /// Arrivals of each kind in a millisecond: load over mean accelerator time.
    fn rates(&self) -> [f64; 3] {
        let all = self.workers as f64 * 8.0;
        [
            self.live_load * all / (1.2 * 165_000.0),
            self.batch_load * all / (2.2 * 2_700_000.0),
            self.large_load * all / (28.0 * 6_300_000.0),
        ]
    }

    /// Returns a job and its true run time.
    pub fn job(&self, rng: &mut fastrand::Rng, i: usize) -> (Job, Millis) {
        let rates = self.rates();
        let mut at = rng.f64() * rates.iter().sum::<f64>();
        let kind = rates.iter().position(|r| {
            at -= r;
            at < 0.0
        });
        let largest = self.per_rack.min(6) as u16;
        let (kind, shape, run_time) = match kind.unwrap_or(0) {
            0 => (
                "live",
                shape(1, [1, 1, 1, 1, 2][rng.usize(..5)], Adjacency::Worker),
                rng.u64(30..300),
            ),
            1 => (
                "batch",
                shape(1, [1, 1, 2, 2, 2, 4][rng.usize(..6)], Adjacency::Worker),
                rng.u64(600..4_800),
            ),
            _ => (
                "large",
                shape(rng.u16(2..largest), 8, Adjacency::Rack),
                rng.u64(1_800..10_800),
            ),
        };
        let organisation = [0, 0, 0, 0, 1, 1, 1, 2, 2, 3][rng.usize(..10)];
        let declared = run_time as f64 * (0.5 + 1.5 * rng.f64());
        let job = Job {
            organisation: name(&format!("org{organisation}")),
            team: name(&format!("team{}", rng.usize(..35))),
            name: name(&format!("j{i}")),
            kind: name(kind),
            shape,
            run_time_ms: Millis::from_secs(declared as u64),
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
