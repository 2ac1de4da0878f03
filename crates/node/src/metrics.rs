//! Metrics of a node, listed in docs/metrics.md.

use base::clock::{self, Millis};
use batch::{
    preemption_log::PreemptionLog, progress::Phase, worker::Outcome, worker_end::WorkerEnd,
};
use meter::Exporter;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use serve::Connections;

use crate::{call_metrics, cx::Ctx, readiness::Readiness};

/// Instruments of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    submissions: Counter<u64>,
    shown_phases: Counter<u64>,
    stored_end_seconds: Histogram<f64>,
    commits: Counter<u64>,
    commit_seconds: Histogram<f64>,
    orders: Counter<u64>,
    intake_seconds: Histogram<f64>,
    start_seconds: Histogram<f64>,
    worker_outages: Counter<u64>,
    worker_ends: Counter<u64>,
    lost_runs: Counter<u64>,
    given_up_jobs: Counter<u64>,
    run_ends: Counter<u64>,
    run_time_errors: Histogram<f64>,
    preempted_runs: Counter<u64>,
    preempted_work: Counter<u64>,
    lapsed_claims: Counter<u64>,
    pass_seconds: Histogram<f64>,
    lease_gap_seconds: Histogram<f64>,
    takeovers: Counter<u64>,
    store_losses: Counter<u64>,
    store_loss_seconds: Histogram<f64>,
    config_changes: Counter<u64>,
    unstored: Counter<u64>,
    connections: Gauge<u64>,
    refused_connections: Gauge<u64>,
    displaced_connections: Gauge<u64>,
    body_bytes: Gauge<u64>,
    open_bodies: Gauge<u64>,
    refused_bodies: Gauge<u64>,
    open_requests: Gauge<u64>,
    ready: Gauge<u64>,
    config_version: Gauge<u64>,
    config_age: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    evacuated_runs: Gauge<u64>,
    starts_held: Gauge<u64>,
    leading: Gauge<u64>,
    acting: Gauge<u64>,
    lease_age: Gauge<u64>,
    feed_version: Gauge<u64>,
    feed_age: Gauge<u64>,
    open_jobs: Gauge<u64>,
    runs: Gauge<u64>,
    workers: Gauge<u64>,
    silent_workers: Gauge<u64>,
    slow_workers: Gauge<u64>,
    accelerators: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let exporter = Exporter::new("node");
        Self {
            requests: exporter.counter("node_requests"),
            request_seconds: exporter.latency_histogram("node_request_seconds"),
            submissions: exporter.counter("node_submissions"),
            shown_phases: exporter.counter("node_shown_phases"),
            stored_end_seconds: exporter.latency_histogram("node_stored_end_seconds"),
            commits: exporter.counter("node_commits"),
            commit_seconds: exporter.latency_histogram("node_commit_seconds"),
            orders: exporter.counter("node_orders"),
            intake_seconds: exporter.latency_histogram("node_intake_seconds"),
            start_seconds: exporter.latency_histogram("node_job_start_seconds"),
            worker_outages: exporter.counter("node_worker_outages"),
            worker_ends: exporter.counter("node_worker_ends"),
            lost_runs: exporter.counter("node_lost_runs"),
            given_up_jobs: exporter.counter("node_given_up_jobs"),
            run_ends: exporter.counter("node_run_ends"),
            run_time_errors: exporter.latency_histogram("node_run_time_error"),
            preempted_runs: exporter.counter("node_preempted_runs"),
            preempted_work: exporter.counter("node_preempted_core_seconds"),
            lapsed_claims: exporter.counter("node_lapsed_claims"),
            pass_seconds: exporter.latency_histogram("node_pass_seconds"),
            lease_gap_seconds: exporter.latency_histogram("node_lease_gap_seconds"),
            takeovers: exporter.counter("node_takeovers"),
            store_losses: exporter.counter("node_store_losses"),
            store_loss_seconds: exporter.latency_histogram("node_store_loss_seconds"),
            config_changes: exporter.counter("node_config_changes"),
            unstored: exporter.counter("node_unstored"),
            connections: exporter.gauge("node_connections"),
            refused_connections: exporter.gauge("node_refused_connections"),
            displaced_connections: exporter.gauge("node_displaced_connections"),
            body_bytes: exporter.gauge("node_body_bytes"),
            open_bodies: exporter.gauge("node_open_bodies"),
            refused_bodies: exporter.gauge("node_refused_bodies"),
            open_requests: exporter.gauge("node_open_requests"),
            ready: exporter.gauge("node_ready"),
            config_version: exporter.gauge("node_config_version"),
            config_age: exporter.gauge("node_config_age_ms"),
            evacuated_zones: exporter.gauge("node_evacuated_zones"),
            evacuated_runs: exporter.gauge("node_evacuated_runs"),
            starts_held: exporter.gauge("node_starts_held"),
            leading: exporter.gauge("node_leading"),
            acting: exporter.gauge("node_acting"),
            lease_age: exporter.gauge("node_lease_age_ms"),
            feed_version: exporter.gauge("node_feed_version"),
            feed_age: exporter.gauge("node_feed_age_ms"),
            open_jobs: exporter.gauge("node_open_jobs"),
            runs: exporter.gauge("node_runs"),
            workers: exporter.gauge("node_workers"),
            silent_workers: exporter.gauge("node_workers_silent"),
            slow_workers: exporter.gauge("node_workers_slow"),
            accelerators: exporter.gauge("node_accelerators"),
            exporter,
        }
    }
}

impl Metrics {
    /// Records a caller's request with its result and duration.
    pub(crate) fn record_request(&self, result: &'static str, took: Millis) {
        self.requests.add(1, &[KeyValue::new("result", result)]);
        self.request_seconds.record(seconds(took), &[]);
    }

    fn record_bodies(&self, connections: &Connections) {
        let displaced = connections.displaced();
        self.displaced_connections.record(displaced, &[]);
        let bodies = connections.bodies();
        self.body_bytes.record(bodies.used() as u64, &[]);
        self.open_bodies.record(bodies.under_way() as u64, &[]);
        for (cause, count) in bodies.refused() {
            let cause = [KeyValue::new("cause", cause.to_string())];
            self.refused_bodies.record(count, &cause);
        }
    }

    /// Counts an accepted submission by what it found.
    pub(crate) fn count_submission(&self, result: &'static str) {
        self.submissions.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a phase that a caller was told, by the kind of row that it was taken from.
    pub(crate) fn count_shown_phase(&self, phase: Phase, source: &'static str) {
        let labels = [
            KeyValue::new("phase", phase.to_string()),
            KeyValue::new("source", source),
        ];
        self.shown_phases.add(1, &labels);
    }

    /// Records an attempt of a commit with its outcome and duration.
    pub(crate) fn record_commit(&self, outcome: &'static str, took: Millis) {
        self.commits.add(1, &[KeyValue::new("outcome", outcome)]);
        self.commit_seconds.record(seconds(took), &[]);
    }

    /// Records the time from the end of a job to its commit.
    pub(crate) fn record_stored_end(&self, waited: Millis) {
        self.stored_end_seconds.record(seconds(waited), &[]);
    }

    /// Counts an order by kind and outcome.
    pub(crate) fn count_order(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.orders.add(1, &labels);
    }

    /// Records the time from the submission of a job until the leader has read it.
    pub(crate) fn record_intake(&self, waited: Millis) {
        self.intake_seconds.record(seconds(waited), &[]);
    }

    /// Records the time from the submission of a job to the first start of a subtask.
    pub(crate) fn record_job_start(&self, priority: u32, waited: Millis) {
        let label = [KeyValue::new("priority", i64::from(priority))];
        self.start_seconds.record(seconds(waited), &label);
    }

    /// Counts an outage of a worker that had runs, or another kind of the same outage.
    pub(crate) fn count_worker_outage(&self, kind: &'static str) {
        self.worker_outages.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts the end of a worker that had runs.
    pub(crate) fn count_worker_end(&self, end: WorkerEnd) {
        let label = [KeyValue::new("cause", end.cause.name())];
        self.worker_ends.add(1, &label);
        self.lost_runs.add(end.runs as u64, &label);
        self.given_up_jobs.add(u64::from(end.gave_up), &[]);
    }

    /// Counts the end of a run that its worker reported.
    pub(crate) fn count_run_end(&self, outcome: Outcome) {
        let label = [KeyValue::new("outcome", outcome.name())];
        self.run_ends.add(1, &label);
    }

    /// Records by how much a run time differed from the expected one, as the logarithm of their ratio.
    pub(crate) fn record_run_time_error(&self, log_ratio: f64) {
        self.run_time_errors.record(log_ratio.abs(), &[]);
    }

    /// Counts stops for other work.
    pub(crate) fn count_preemptions(&self, log: &PreemptionLog) {
        for stop in &log.stops {
            let labels = [
                KeyValue::new("reason", stop.reason.name()),
                KeyValue::new("repeated", stop.repeated),
            ];
            self.preempted_runs.add(stop.runs as u64, &labels);
            let core_seconds = stop.lost.div_ceil(1_000);
            self.preempted_work.add(core_seconds, &labels);
        }
        self.lapsed_claims.add(log.lapsed_claims, &[]);
    }

    /// Records the duration of a scheduling pass.
    pub(crate) fn record_pass(&self, took: Millis) {
        self.pass_seconds.record(seconds(took), &[]);
    }

    /// Records a time in which the leader had no valid lease.
    pub(crate) fn record_lease_gap(&self, gap: Millis) {
        self.lease_gap_seconds.record(seconds(gap), &[]);
    }

    /// Counts a takeover of the leadership.
    pub(crate) fn count_takeover(&self) {
        self.takeovers.add(1, &[]);
    }

    /// Counts a loss of the store.
    pub(crate) fn count_store_loss(&self) {
        self.store_losses.add(1, &[]);
    }

    /// Records the length of a time in which the store did not answer this node.
    pub(crate) fn record_store_loss(&self, lost: Millis) {
        self.store_loss_seconds.record(seconds(lost), &[]);
    }

    /// Counts a configuration that was read, by what became of it.
    pub(crate) fn count_config_change(&self, result: &'static str) {
        self.config_changes
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts something that can't be stored because of its size: checkpoints, or the progress of a job.
    pub(crate) fn count_unstored(&self, what: &'static str, count: usize) {
        self.unstored
            .add(count as u64, &[KeyValue::new("what", what)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self, cx: &Ctx) -> Vec<u8> {
        let age = cx.config_age().unwrap_or_default();
        let is_ready = Readiness::of(cx) == Readiness::Ready;
        self.ready.record(u64::from(is_ready), &[]);
        self.config_version.record(cx.config().version, &[]);
        self.config_age.record(age.0, &[]);
        let evacuated = cx.evacuations.borrow().zones().len();
        self.evacuated_zones.record(evacuated as u64, &[]);
        self.connections.record(cx.connections.open() as u64, &[]);
        self.refused_connections
            .record(cx.connections.refused(), &[]);
        self.record_bodies(&cx.connections);
        self.open_requests.record(cx.requests.count() as u64, &[]);
        let leader = cx.leader.borrow().clone();
        self.leading.record(u64::from(leader.is_some()), &[]);
        self.acting.record(u64::from(cx.acting().is_some()), &[]);
        let lease_age = cx.lease.borrow().age(clock::now());
        self.lease_age.record(lease_age.unwrap_or_default().0, &[]);
        let (feed_version, feed_at) = leader
            .as_ref()
            .map_or_else(Default::default, |l| l.feed.get());
        let feed_age = match feed_version {
            0 => Millis::ZERO,
            _ => clock::now().since(feed_at),
        };
        self.feed_version.record(feed_version, &[]);
        self.feed_age.record(feed_age.0, &[]);
        let holds_starts = leader.as_ref().is_some_and(|_| !cx.may_start());
        self.starts_held.record(u64::from(holds_starts), &[]);
        let of_leader = leader.map(|l| {
            let scheduler = l.scheduler.borrow();
            let left = scheduler.evacuated_zones().iter().map(|z| z.runs).sum();
            (
                scheduler.counts(),
                scheduler.usage(),
                scheduler.slow_workers(),
                left,
            )
        });
        let (counts, usage, slow, left): (_, _, _, usize) = of_leader.unwrap_or_default();
        self.evacuated_runs.record(left as u64, &[]);
        self.open_jobs.record(counts.open as u64, &[]);
        self.runs.record(counts.runs as u64, &[]);
        self.workers.record(counts.workers as u64, &[]);
        self.silent_workers.record(usage.silent, &[]);
        self.slow_workers.record(slow as u64, &[]);
        for (state, value) in [
            ("capacity", usage.capacity),
            ("used", usage.used),
            ("listed", usage.listed),
        ] {
            self.accelerators
                .record(value, &[KeyValue::new("state", state)]);
        }
        let mut text = self.exporter.encode();
        text.extend(call_metrics::text(&cx.calls).into_bytes());
        text
    }
}

fn seconds(duration: Millis) -> f64 {
    duration.to_duration().as_secs_f64()
}
