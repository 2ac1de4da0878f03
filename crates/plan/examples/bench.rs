//! Benchmark of the plan: seeded arrivals, a fake clock and fake workers that only answer orders.
//!
//! `bench today [seeds]` compares the policies at both deployments; `bench size` measures the
//! decision time at up to 890 workers and 5,000 waiting jobs.

mod bench {
    pub mod fakes;
    pub mod measure;
    pub mod site;
}

use std::{env, time::Instant};

use base::clock::Millis;
use bench::{
    fakes::Fakes,
    measure::{Result, percentile, spread},
    site::{AKARIHON, Site, TULEGENOV, sized},
};
use plan::plan_cfg::Policy;

fn main() {
    let args: Vec<String> = env::args().collect();
    let seeds = args.get(2).and_then(|s| s.parse().ok()).unwrap_or(5);
    if args.get(1).is_some_and(|a| a == "size") {
        return size();
    }
    today(&TULEGENOV, seeds);
    today(&AKARIHON, seeds);
}

fn today(site: &Site, seeds: u64) {
    println!("## {}", site.name);
    let first = compare(site, Policy::FirstFit, seeds);
    compare(site, Policy::BestFit, seeds);
    let full = compare(site, Policy::Full, seeds);
    let ratio = |of: fn(&Result) -> f64| {
        let pairs = full.iter().zip(&first);
        spread(&pairs.map(|(a, b)| of(a) / of(b)).collect::<Vec<_>>())
    };
    println!("full/first fit, per seed, min median max:");
    println!("  p95 wait of large gangs  {}", ratio(|r| r.large_wait_p95));
    println!("  share of time fragmented {}", ratio(|r| r.fragmented));
    println!("  largest adjacent gang    {}", ratio(|r| r.largest));
    println!("  mean completion of live  {}", ratio(|r| r.live_mean));
    println!("  mean completion of all   {}", ratio(|r| r.all_mean));
}

fn compare(site: &Site, policy: Policy, seeds: u64) -> Vec<Result> {
    let results: Vec<Result> = (1..=seeds).map(|seed| run(site, policy, seed)).collect();
    let column = |of: fn(&Result) -> f64| spread(&results.iter().map(of).collect::<Vec<_>>());
    println!("{policy:?}, {seeds} seeds, min median max:");
    println!(
        "  wait of large gangs, s, mean  {}",
        column(|r| r.large_wait_mean)
    );
    println!(
        "  wait of large gangs, s, p95   {}",
        column(|r| r.large_wait_p95)
    );
    println!(
        "  share of time fragmented      {}",
        column(|r| r.fragmented)
    );
    println!("  largest adjacent gang, mean   {}", column(|r| r.largest));
    println!(
        "  mean completion of live, s    {}",
        column(|r| r.live_mean)
    );
    println!(
        "  urgent start p99, s           {}",
        column(|r| r.urgent_p99)
    );
    println!(
        "  utilisation                   {}",
        column(|r| r.utilisation)
    );
    println!("  stops of running jobs         {}", column(|r| r.stops));
    println!(
        "  decision p99, us              {}",
        column(|r| r.decision_p99)
    );
    for line in &results[0].table {
        println!("  seed 1: {line}");
    }
    results
}

fn run(site: &Site, policy: Policy, seed: u64) -> Result {
    let mut fakes = Fakes::new(site, policy, seed);
    while fakes.now < site.arrivals_end {
        fakes.step();
    }
    fakes.stop_arrivals();
    let drain_end = site.arrivals_end + Millis::from_secs(48 * 3_600);
    while fakes.open() > 0 && fakes.now < drain_end {
        fakes.step();
    }
    fakes.result()
}

fn size() {
    println!("workers waiting running | p50 us p99 us max us | submit p99, tick p99");
    for (workers, waiting) in [
        (50, 500),
        (200, 500),
        (445, 500),
        (890, 500),
        (890, 1_500),
        (890, 5_000),
    ] {
        let site = sized(workers);
        let mut fakes = Fakes::new(&site, Policy::Full, 1);
        let start = Instant::now();
        while fakes.waiting() < waiting {
            fakes.arrive();
            fakes.step();
        }
        fakes.decisions.clear();
        fakes.ticks.clear();
        fakes.submits.clear();
        let end = fakes.now + Millis::from_secs(300);
        while fakes.now < end {
            if fakes.waiting() < waiting {
                fakes.arrive();
            }
            fakes.step();
        }
        let p = |list: &[u64], q| percentile(list.iter().map(|n| *n as f64).collect(), q) / 1e3;
        println!(
            "{workers:7} {:7} {:7} | {:6.1} {:6.1} {:6.1} | {:6.1} {:6.1}  ({} s)",
            fakes.waiting(),
            fakes.running_tasks(),
            p(&fakes.decisions, 0.5),
            p(&fakes.decisions, 0.99),
            p(&fakes.decisions, 1.0),
            p(&fakes.submits, 0.99),
            p(&fakes.ticks, 0.99),
            start.elapsed().as_secs(),
        );
    }
}
