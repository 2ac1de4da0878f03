//! Figures of one run.

/// Figures of one run; times are in seconds.
pub struct Result {
    pub large_wait_mean: f64,
    pub large_wait_p95: f64,
    pub fragmented: f64,
    pub largest: f64,
    pub live_mean: f64,
    pub all_mean: f64,
    pub urgent_p99: f64,
    pub utilisation: f64,
    pub stops: f64,
    pub decision_p99: f64,
    pub table: Vec<String>,
}

pub fn mean(list: &[f64]) -> f64 {
    list.iter().sum::<f64>() / (list.len() as f64).max(1.0)
}

pub fn percentile(mut list: Vec<f64>, q: f64) -> f64 {
    list.sort_unstable_by(f64::total_cmp);
    let i = ((list.len() as f64 * q) as usize).min(list.len().saturating_sub(1));
    list.get(i).copied().unwrap_or(0.0)
}

pub fn spread(list: &[f64]) -> String {
    let q = |q| percentile(list.to_vec(), q);
    format!("{:10.3} {:10.3} {:10.3}", q(0.0), q(0.5), q(1.0))
}
