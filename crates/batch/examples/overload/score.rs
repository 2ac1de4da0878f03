//! What a played load has earned and lost.

use std::collections::BTreeMap;

use crate::{
    load::{Job, KINDS, RECLAIM, WINDOW},
    site::Site,
};

/// Result of one played load.
#[derive(Default)]
pub(crate) struct Score {
    /// Value that was earned and that was asked for, by kind, size class and organisation.
    kinds: [(f64, f64); 3],
    sizes: [(f64, f64); 3],
    on_time: [(f64, f64); 3],
    organisations: BTreeMap<u32, (f64, f64)>,
    windows: Vec<f64>,
    unfinished: u32,
    reclaims: (u32, u32),
    stops: u64,
    stopped_again: u32,
    lost: f64,
    lapsed_claims: u64,
}

fn ratio((part, all): (f64, f64)) -> f64 {
    if all > 0.0 { part / all } else { 1.0 }
}

impl Score {
    pub(crate) fn print(&mut self, name: &str, seeds: u64) {
        let sum = |values: &[(f64, f64)]| {
            let add = |a: (f64, f64), b: &(f64, f64)| (a.0 + b.0, a.1 + b.1);
            ratio(values.iter().fold((0.0, 0.0), add))
        };
        let three = |v: &[(f64, f64); 3]| {
            let shown: Vec<String> = v.iter().map(|p| format!("{:.3}", ratio(*p))).collect();
            shown.join(" ")
        };
        self.windows.sort_by(f64::total_cmp);
        let tenth = self.windows.len() / 10;
        let worst = self.windows[..tenth.max(1)].iter().sum::<f64>() / tenth.max(1) as f64;
        let worst_org = self.organisations.values().map(|p| ratio(*p));
        let n = seeds as f64;
        println!(
            "{name:<22} {:.3} | {} | {} | {} | {:.3} {:.3} {:.3} | {:>6.0} {:>5.0} {:>8.0} | {:>3}/{:<4} {:>6} {:>6}",
            sum(&self.kinds),
            three(&self.kinds),
            three(&self.on_time),
            three(&self.sizes),
            worst_org.fold(1.0, f64::min),
            worst,
            self.windows[0],
            self.stops as f64 / n,
            f64::from(self.stopped_again) / n,
            self.lost / n,
            self.reclaims.0,
            self.reclaims.1,
            self.unfinished,
            self.lapsed_claims as f64 / n
        );
    }
}

impl Site {
    pub(crate) fn score(&self, total: &mut Score) {
        let mut work = [(0.0, 0.0); 3];
        for job in self.jobs.values() {
            work[job.kind].0 += job.work;
            work[job.kind].1 += 1.0;
        }
        let mean = work.map(ratio);
        let mut windows: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        let add = |sum: &mut (f64, f64), part: f64, all: f64| {
            sum.0 += part;
            sum.1 += all;
        };
        for (kind, _) in KINDS.iter().enumerate() {
            let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| j.kind == kind).collect();
            jobs.sort_by(|a, b| b.work.total_cmp(&a.work));
            for (i, job) in jobs.iter().enumerate() {
                let value = (0.3 + 0.7 * job.work / mean[kind]).min(4.0);
                let took = job.ended.map(|t| t.since(job.submitted));
                // The callers' value of late jobs isn't known; it is taken to fall linearly.
                let share = took.map_or(0.0, |t| {
                    let over = t.0 as f64 / job.objective.0 as f64;
                    ((3.0 - over) / 2.0).clamp(0.0, 1.0)
                });
                let class = match i * 10 / jobs.len() {
                    0 => 0,
                    1 | 2 => 1,
                    _ => 2,
                };
                let in_time = took.is_some_and(|t| t <= job.objective);
                add(&mut total.kinds[kind], value * share, value);
                add(&mut total.on_time[kind], f64::from(u8::from(in_time)), 1.0);
                add(&mut total.sizes[class], share, 1.0);
                let of_org = total.organisations.entry(job.organisation).or_default();
                add(of_org, value * share, value);
                let window = windows.entry(job.submitted.0 / WINDOW.0).or_default();
                add(window, value * share, value);
                total.unfinished += u32::from(job.ended.is_none());
                if job.guaranteed {
                    let late = job.started.is_none_or(|t| t.since(job.submitted) > RECLAIM);
                    total.reclaims.0 += u32::from(late);
                    total.reclaims.1 += 1;
                }
            }
        }
        total.windows.extend(windows.values().map(|w| ratio(*w)));
        total.stops += self.stops;
        total.lost += self.lost;
        total.lapsed_claims += self.lapsed_claims;
        let again = self.stops_by_task.values().filter(|n| **n > 1);
        total.stopped_again += again.count() as u32;
    }
}
