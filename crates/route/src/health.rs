//! Health of one backend server: score, ejection and probing.

use base::clock::Millis;

use crate::{health_cfg::HealthCfg, outcome::Outcome};

/// Weight of the newest sample in the moving average of service times, as a divisor.
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
    failures_in_row: u32,
    ejected: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    backoff: Millis,
    probe_at: Millis,
    probing: bool,
}

impl Health {
    /// Returns whether the server may get a request: it is not ejected, or a probe is due.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.ejected.is_none_or(|e| !e.probing && now >= e.probe_at)
    }

    /// Returns whether the server is ejected, including while it is probed.
    pub fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Records that a request was sent; on an ejected server this is the one probe.
    pub fn started(&mut self) {
        if let Some(e) = &mut self.ejected {
            e.probing = true;
        }
    }

    /// Records the end of a request.
    ///
    /// A failure counts as a slow answer, so that a server that fails at once looks slow.
    pub fn record(&mut self, cfg: &HealthCfg, now: Millis, outcome: Outcome, took: Millis) {
        if outcome == Outcome::Cancelled {
            self.probe_undecided();
            return;
        }
        if !outcome.is_failure() {
            self.failures_in_row = 0;
            self.ejected = None;
            self.sample(now, took);
            return;
        }
        self.sample(now, took.max(cfg.failure_counts_as_ms));
        self.failures_in_row += 1;
        self.eject_if_due(cfg, now);
    }

    /// Average service time in milliseconds, with failures as slow answers.
    ///
    /// A server without recent answers is taken to be near `typical_ms`.
    pub fn average_ms(&self, cfg: &HealthCfg, now: Millis, typical_ms: f64) -> f64 {
        let Some(average) = self.average_ms else {
            return typical_ms;
        };
        let idle = now.since(self.sampled_at).0 as f64;
        let kept = (-idle / cfg.forget_half_ms.0.max(1) as f64).exp2();
        typical_ms + (average - typical_ms) * kept
    }

    fn probe_undecided(&mut self) {
        if let Some(e) = &mut self.ejected {
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
        if self.failures_in_row < cfg.eject_after {
            return;
        }
        let backoff = match self.ejected {
            None => cfg.probe_first_ms,
            // Answers of requests sent before the ejection don't lengthen the backoff.
            Some(e) if !e.probing => return,
            Some(e) => (e.backoff + e.backoff).min(cfg.probe_max_ms),
        };
        self.ejected = Some(Ejection {
            backoff,
            probe_at: now + backoff,
            probing: false,
        });
    }
}
