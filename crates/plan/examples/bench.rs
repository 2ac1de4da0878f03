//! Benchmark of the plan: seeded arrivals, a fake clock and fake workers that only answer orders.
//!
//! `bench today SEEDS` compares the policies at both deployments; `bench size` measures the
//! decision time at up to 890 workers and 5,000 waiting jobs.

#[path = "bench/fakes.rs"]
mod fakes;
#[path = "bench/site.rs"]
mod site;

use std::{env, time::Instant};

use base::clock::Millis;
use fakes::{Figure, Simulation, percentile};
use plan::{check::check_config, plan_cfg::Policy};
use site::{AKARIHON, Site, TULEGENOV, site_with_workers};

fn main() {
    let args: Vec<String> = env::args().collect();
    if args.get(1).is_some_and(|a| a == "size") {
        return measure_decision_times();
    }
    let seeds = args.get(2).and_then(|s| s.parse().ok()).unwrap_or(5);
    compare_policies(&TULEGENOV, seeds);
    compare_policies(&AKARIHON, seeds);
}

fn compare_policies(site: &Site, seeds: u64) {
    println!("## {}: {seeds} seeds, min median max", site.name);
    let policies = [Policy::FirstFit, Policy::BestFit, Policy::Full];
    let all = policies.map(|policy| {
        let runs: Vec<Vec<Figure>> = (1..=seeds).map(|seed| run(site, policy, seed)).collect();
        for (i, figure) in runs[0].iter().enumerate() {
            let spread = spread(runs.iter().map(|r| r[i].value));
            println!("{policy:?} {:32} {spread}", figure.name);
        }
        runs
    });
    for (i, figure) in all[0][0].iter().enumerate().take(5) {
        let ratios = all[2].iter().zip(&all[0]);
        let spread = spread(ratios.map(|(full, first)| full[i].value / first[i].value));
        println!("Full/FirstFit {:26} {spread}", figure.name);
    }
}

fn spread(values: impl Iterator<Item = f64>) -> String {
    let values: Vec<f64> = values.collect();
    let q = |q| percentile(&values, q);
    format!("{:10.3} {:10.3} {:10.3}", q(0.0), q(0.5), q(1.0))
}

fn run(site: &Site, policy: Policy, seed: u64) -> Vec<Figure> {
    let mut simulation = Simulation::new(site, policy, seed);
    while simulation.now < site.arrivals_end {
        simulation.step();
    }
    simulation.arriving = false;
    let drain_end = site.arrivals_end + Millis::from_secs(48 * 3_600);
    while simulation.open > 0 && simulation.now < drain_end {
        simulation.step();
    }
    simulation.figures()
}

fn measure_decision_times() {
    println!("workers waiting tasks | all p50 p99 max | ticks p99, us");
    let mut p99 = Vec::new();
    for (workers, waiting) in [(50, 500), (200, 500), (445, 500), (890, 500), (890, 5_000)] {
        let site = site_with_workers(workers);
        let start = Instant::now();
        check_config(&site.config(), &site.fleet()).expect("the guarantees fit");
        println!(
            "check of the configuration: {} ms",
            start.elapsed().as_millis()
        );
        let mut simulation = Simulation::new(&site, Policy::Full, 1);
        while simulation.waiting.len() < waiting {
            simulation.arrive();
            simulation.step();
        }
        simulation.times.clear();
        let end = simulation.now + Millis::from_secs(300);
        while simulation.now < end {
            if simulation.waiting.len() < waiting {
                simulation.arrive();
            }
            simulation.step();
        }
        let times = |tick: bool| simulation.times.iter().filter(move |t| t.0 || !tick);
        let p = |tick, q| percentile(&times(tick).map(|t| t.1).collect::<Vec<f64>>(), q);
        println!(
            "{workers:7} {waiting:7} {:5} | {:6.1} {:6.1} {:6.1} | {:6.1}",
            simulation.tasks(),
            p(false, 0.5),
            p(false, 0.99),
            p(false, 1.0),
            p(true, 0.99)
        );
        p99.push(p(true, 0.99));
    }
    println!(
        "slope of the tick p99: {:.2} us a worker",
        (p99[3] - p99[0]) / 840.0
    );
    println!(
        "slope of the tick p99: {:.2} us a waiting job",
        (p99[4] - p99[3]) / 4_500.0
    );
}
