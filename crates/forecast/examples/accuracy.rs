//! Prints the errors and the cost of forecasts on simulated deployments.
//!
//! `cargo run --release -p forecast --example accuracy`

use std::time::{Duration, Instant};

use base::clock::Millis;
use forecast::{
    observation::{Kind, Observation},
    predictor::Forecast,
};
use sim::{Choice, Sim, Work, mean_abs};

#[path = "sim/mod.rs"]
mod sim;

fn kinds() -> Vec<Work> {
    let mut kinds = vec![
        Work::new("urgent", true, 5, 2_500.0),
        Work::new("normal", true, 13, 8_500.0),
        Work::new("wide", false, 39, 6_100.0),
    ];
    kinds[2].error = 0.18;
    kinds
}

fn two_classes(n: usize) -> Vec<f64> {
    (0..n).map(|i| if i % 3 == 0 { 1.7 } else { 0.7 }).collect()
}

fn report(name: &str, sim: &mut Sim) {
    println!("{name}");
    println!(
        "  s   known  error  conf>=0.5 error  worst  >15% off  run times: error (of estimates) within likely, per kind"
    );
    for seconds in [1, 2, 3, 5, 8, 12, 20, 30, 50] {
        sim.predictions.clear();
        let until = seconds * 1_000;
        sim.run(until - sim.now);
        let (known, sure) = (sim.errors(0.01), sim.errors(0.5));
        let worst = sure.iter().fold(0.0, |a: f64, b| a.max(b.abs()));
        let off = sure.iter().filter(|e| e.abs() > 0.14).count();
        print!(
            "{seconds:3}  {:5}  {:.3}  {:9} {:.3}  {worst:.3}  {off:8} ",
            known.len(),
            mean_abs(known),
            sure.len(),
            mean_abs(sure),
        );
        for work in 0..sim.work.len() {
            if sim.predictions.iter().any(|p| p.work == work) {
                let (median, estimate, within) = sim.run_times(work);
                print!("  {median:.2} ({estimate:.2}) {within:.2}");
            } else {
                print!("  -");
            }
        }
        println!();
    }
    let stored = sim.forecast.stored(Millis(sim.now));
    println!(
        "  update: {}; stored: {} bytes, {} workers",
        times(&mut sim.costs),
        serde_json::to_string(&stored).map_or(0, |s| s.len()),
        stored.workers.len(),
    );
}

fn times(costs: &mut [Duration]) -> String {
    costs.sort();
    let n = costs.len();
    let mean = costs.iter().sum::<Duration>() / n.max(1) as u32;
    let at = |q: usize| costs[(n * q / 100).min(n - 1)];
    format!(
        "mean {mean:?}, median {:?}, 95 of 100 within {:?}",
        at(50),
        at(95)
    )
}

/// Resident memory of the process in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// Time and memory with the most that is kept of each worker: 8 steps.
fn full(workers: u64, runs: usize) {
    let before = resident();
    let mut forecast = Forecast::default();
    let kind = Kind::default();
    let mut now = 0;
    let mut costs = Vec::new();
    for round in 0..100 {
        now += 1_000;
        for worker in 0..workers {
            let name = format!("worker-{worker:04}").into();
            for step in 0..8 {
                for index in 0..runs {
                    let obs = Observation {
                        step: (worker + step * 41) % (workers / 2),
                        index: index + worker as usize * 8,
                        kind: &kind,
                        worker: &name,
                        service: &"batch".into(),
                        estimate: Millis(100_000),
                        elapsed: Millis(20_000 + now + worker * 7 % 1_000 * (step + 1)),
                        progress: 0.11 + f64::from(round) * 0.005,
                    };
                    forecast.observe(&obs, Millis(now));
                }
            }
        }
        let begin = Instant::now();
        forecast.update(Millis(now));
        costs.push(begin.elapsed());
    }
    println!(
        "{workers} workers with 8 steps of {runs} runs: update {}; {} KiB",
        times(&mut costs),
        resident().saturating_sub(before),
    );
}

fn main() {
    // The largest comes first, because memory that is free again doesn't count.
    full(1_100, 8);
    full(1_100, 1);
    full(350, 1);
    for choice in [Choice::Random, Choice::Alike] {
        let mut sim = Sim::new(two_classes(350), kinds(), 1);
        sim.choice = choice;
        let name = match choice {
            Choice::Random => "two classes, 350 workers, any workers",
            Choice::Alike => "two classes, 350 workers, gangs on workers of like speed",
        };
        report(name, &mut sim);
    }
    let mut sim = Sim::new(vec![1.0; 350], kinds(), 2);
    report("all equal, 350 workers", &mut sim);
    let five = (0..350).map(|i| [0.6, 0.8, 1.0, 1.4, 2.0][i % 5]).collect();
    report("five classes, 350 workers", &mut Sim::new(five, kinds(), 3));
    let mut rng = fastrand::Rng::with_seed(4);
    let any = (0..350).map(|_| 0.5 * 4.0_f64.powf(rng.f64())).collect();
    report(
        "continuous speeds, 350 workers",
        &mut Sim::new(any, kinds(), 4),
    );
    let wide = vec![kinds().remove(2)];
    report(
        "two classes, no gangs",
        &mut Sim::new(two_classes(350), wide, 5),
    );
    report(
        "two classes, 1,100 workers",
        &mut Sim::new(two_classes(1_100), kinds(), 6),
    );
}
