//! Health of one backend server: average service time, ejection and probing.

use base::clock::Millis;

use crate::{health_cfg::HealthCfg, outcome::Outcome};

/// Inverse weight of the newest sample in the moving average of service times.
const AVERAGE_DIVISOR: f64 = 8.0;

/// Health of one backend server as one entry sees it.
///
/// ```
/// use base::clock::Millis;
/// use route::{health::Health, health_cfg::HealthCfg, outcome::Outcome};
///
/// let cfg = HealthCfg { eject_after: 1, ..HealthCfg::default() };
/// let mut health = Health::default();
/// health.record(&cfg, Millis(0), Outcome::ServerError, Millis(1));
/// assert!(!health.is_usable(Millis(1)));
/// assert!(health.is_usable(Millis(0) + cfg.probe_first_ms));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Health {
    average_ms: Option<f64>,
    sampled_at: Millis,
    consecutive_failures: u32,
    ejection: Option<Ejection>,
}

/// State of an ejected server.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// Time between the last failure and the next probe.
    backoff: Millis,
    probe_at: Millis,
    /// Whether a probe is in flight.
    probing: bool,
}

impl Health {
    /// Returns whether the server may receive a request: it is not ejected, or a probe is due.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.ejection
            .is_none_or(|e| !e.probing && now >= e.probe_at)
    }

    /// Returns whether the server is ejected, including while it is probed.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Records that a request was sent; for an ejected server this is the probe.
    pub fn started(&mut self) {
        if let Some(e) = &mut self.ejection {
            e.probing = true;
        }
    }

    /// Records the end of a request.
    ///
    /// A failure counts as a slow answer, so that a server that fails immediately is not preferred.
    pub fn record(&mut self, cfg: &HealthCfg, now: Millis, outcome: Outcome, took: Millis) {
        if outcome == Outcome::Cancelled {
            self.end_probe_without_result();
            return;
        }
        if !outcome.is_failure() {
            self.consecutive_failures = 0;
            self.ejection = None;
            self.sample(now, took);
            return;
        }
        self.sample(now, took.max(cfg.failure_counts_as_ms));
        self.consecutive_failures += 1;
        self.eject_if_due(cfg, now);
    }

    /// Average service time in milliseconds, in which failures count as slow answers.
    ///
    /// Without new samples the average decays towards `typical_ms`, which is also the first value.
    pub fn average_ms(&self, cfg: &HealthCfg, now: Millis, typical_ms: f64) -> f64 {
        let Some(average) = self.average_ms else {
            return typical_ms;
        };
        let idle = now.since(self.sampled_at).0 as f64;
        let remaining = (-idle / cfg.forget_half_ms.0.max(1) as f64).exp2();
        typical_ms + (average - typical_ms) * remaining
    }

    /// Ends the probe, if one is in flight, so that another may be sent.
    fn end_probe_without_result(&mut self) {
        if let Some(e) = &mut self.ejection {
            e.probing = false;
        }
    }

    fn sample(&mut self, now: Millis, took: Millis) {
        self.sampled_at = now;
        let took = took.0 as f64;
        self.average_ms = Some(match self.average_ms {
            None => took,
            Some(avg) => avg + (took - avg) / AVERAGE_DIVISOR,
        });
    }

    fn eject_if_due(&mut self, cfg: &HealthCfg, now: Millis) {
        if self.consecutive_failures < cfg.eject_after {
            return;
        }
        let backoff = match self.ejection {
            None => cfg.probe_first_ms,
            // Failures of requests that were sent before the ejection don't extend the backoff.
            Some(e) if !e.probing => return,
            Some(e) => (e.backoff + e.backoff).min(cfg.probe_max_ms),
        };
        self.ejection = Some(Ejection {
            backoff,
            probe_at: now + backoff,
            probing: false,
        });
    }
}
