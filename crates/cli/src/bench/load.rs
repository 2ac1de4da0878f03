//! Open-loop load: requests start at fixed times, whether or not earlier ones have ended.

use std::{cell::RefCell, future::Future, rc::Rc, time};

use base::clock::Millis;
use hdrhistogram::Histogram;
use ntex::rt;

/// Largest latency that the histogram holds, in microseconds.
const LARGEST_US: u64 = 60_000_000;
/// Longest wait for the last answers.
const DRAIN: Millis = Millis::from_secs(15);

/// Load of one case.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second.
    pub rate: u64,
    /// Length of the case, in seconds.
    pub seconds: u64,
}

/// Result of one case.
#[derive(Debug)]
pub struct Measured {
    /// Latencies of successful requests from their planned start, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that got no answer before the end of the measurement.
    pub unanswered: u64,
    /// Processor time of this process during the case.
    pub cpu: time::Duration,
}

/// Runs `request` at the rate of `load`; the latency counts from the planned start of a request,
/// so that a slow answer is not hidden by a late next request.
pub async fn run<F, R>(load: Load, request: F) -> eyre::Result<Measured>
where
    F: Fn(u64) -> R,
    R: Future<Output = bool> + 'static,
{
    let histogram = Histogram::new_with_bounds(1, LARGEST_US, 3)?;
    let results = Rc::new(RefCell::new((histogram, 0_u64)));
    let cpu = cpu_time();
    let start = time::Instant::now();
    let total = load.rate * load.seconds;
    for i in 0..total {
        let planned = start + time::Duration::from_micros(i * 1_000_000 / load.rate);
        tokio::time::sleep_until(planned.into()).await;
        let (work, results) = (request(i), results.clone());
        rt::spawn(async move {
            let ok = work.await;
            let latency = planned.elapsed().as_micros() as u64;
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
    let last = time::Instant::now();
    while answered() < total && last.elapsed() < DRAIN.to_duration() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let unanswered = total - answered();
    let cpu = cpu_time().saturating_sub(cpu);
    let (latency, failed) = results.replace((Histogram::new(3)?, 0));
    Ok(Measured {
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
