//! Prints the errors and the cost of forecasts on simulated deployments.
//!
//! `cargo run --release -p forecast --example accuracy`

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
            let (median, estimate, within) = sim.run_times(work);
            print!("  {median:.2} ({estimate:.2}) {within:.2}");
        }
        println!();
    }
    let (total, n) = sim.cost;
    let stored = sim.forecast.stored(base::clock::Millis(sim.now));
    println!(
        "  update: mean {:?}, worst {:?} of {n}; stored: {} bytes, {} workers",
        total / n.max(1),
        sim.worst,
        serde_json::to_string(&stored).map_or(0, |s| s.len()),
        stored.workers.len(),
    );
}

fn main() {
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
