//! Plays bursts of load against the scheduler and prints what each order of waiting units earns:
//!
//! `cargo run --release -p batch --example overload -- [SEEDS] [--corrected] [--load=FACTOR]`
//!
//! `--corrected` submits estimates as a forecast corrects them, `--load` multiplies the rate of jobs, and
//! `--only=ORDER-GAIN` (as in `--only=Mixed-true`) plays one line of the table.

mod load;
mod score;
mod site;

use std::env;

use batch::delay_cost::{OverloadRules, WaitingOrder};

use crate::{score::Score, site::Site};

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let seeds = args.iter().find_map(|a| a.parse().ok()).unwrap_or(4_u64);
    let corrected = args.iter().any(|a| a == "--corrected");
    let load = args
        .iter()
        .find_map(|a| a.strip_prefix("--load=")?.parse().ok());
    let load = load.unwrap_or(1.0);
    let only = args.iter().find_map(|a| a.strip_prefix("--only="));
    println!(
        "{:<22} {:>5} | {:>17} | {:>17} | {:>14} | {:>5} {:>5} {:>5} | {:>6} {:>5} {:>8} | {:>8} {:>6} {:>6}",
        "rules",
        "value",
        "value by kind",
        "on time by kind",
        "by size 10/20/70",
        "org",
        "w10%",
        "wmin",
        "stops",
        "again",
        "lost c-s",
        "late",
        "undone",
        "lapsed"
    );
    let orders = [
        WaitingOrder::Due,
        WaitingOrder::LeastLaxity,
        WaitingOrder::ShortestWork,
        WaitingOrder::Density,
        WaitingOrder::Mixed,
    ];
    for (stops_by_gain, order) in [false, true]
        .into_iter()
        .flat_map(|g| orders.map(|o| (g, o)))
    {
        if only.is_some_and(|o| o != format!("{order:?}-{stops_by_gain}")) {
            continue;
        }
        let rules = OverloadRules {
            order,
            stops_by_gain,
        };
        let mut total = Score::default();
        for seed in 0..seeds {
            let mut site = Site::new(seed, rules, corrected, load);
            site.play();
            site.score(&mut total);
        }
        let stops = if stops_by_gain { " gain" } else { "" };
        total.print(&format!("{order:?}{stops}"), seeds);
    }
}
