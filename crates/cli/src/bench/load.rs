//! Open-loop load generator: requests start at fixed times, whether or not earlier ones have ended.

use std::{cell::RefCell, future::Future, rc::Rc, time};

use base::clock::Millis;
use hdrhistogram::Histogram;
use ntex::rt;

/// Maximum latency that the histogram holds, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Time limit for the remaining answers once all requests are sent.
const DRAIN_TIMEOUT: Millis = Millis::from_secs(15);

/// Load of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests per second.
    pub rate: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
}

/// Result of one measurement.
#[derive(Debug)]
pub struct Measurement {
    /// Latencies of successful requests, from their scheduled start, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that got no answer before the end of the measurement.
    pub unanswered: u64,
    /// Processor time that this process used during the measurement.
    pub cpu: time::Duration,
}

/// Runs `request` at the rate of `load`. Latency counts from the scheduled start of a request, which
/// avoids coordinated omission: a request that starts late because of a slow one counts its delay.
pub async fn run<F, R>(load: Load, request: F) -> eyre::Result<Measurement>
where
    F: Fn(u64) -> R,
    R: Future<Output = bool> + 'static,
{
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    let results = Rc::new(RefCell::new((histogram, 0_u64)));
    let cpu_before = cpu_time();
    let start = time::Instant::now();
    let total = load.rate * load.seconds;
    for i in 0..total {
        let scheduled = start + time::Duration::from_micros(i * 1_000_000 / load.rate);
        tokio::time::sleep_until(scheduled.into()).await;
        let (pending, results) = (request(i), results.clone());
        rt::spawn(async move {
            let ok = pending.await;
            let latency = scheduled.elapsed().as_micros() as u64;
            let mut results = results.borrow_mut();
            if ok {
                results.0.saturating_record(latency);
            } else {
                results.1 += 1;
            }
        })
        .detach();
    }
    let answered = || {
        let results = results.borrow();
        results.0.len() + results.1
    };
    let all_sent = time::Instant::now();
    while answered() < total && all_sent.elapsed() < DRAIN_TIMEOUT.to_duration() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let unanswered = total - answered();
    let cpu = cpu_time().saturating_sub(cpu_before);
    let (latency, failed) = results.replace((Histogram::new(3)?, 0));
    Ok(Measurement {
        latency,
        failed,
        unanswered,
        cpu,
    })
}

/// Returns the processor time that this process has used.
fn cpu_time() -> time::Duration {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time::Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}
