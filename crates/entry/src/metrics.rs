//! Metrics of an entry, listed in docs/metrics.md.

use base::clock::Millis;
use meter::Exporter;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use serve::BodyError;

/// Gauge values, which are read when the metrics are collected.
#[derive(Clone, Debug, Default)]
pub struct GaugeValues {
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Number of requests that wait for a slot.
    pub queued: u64,
    /// Number of connections from callers and operators.
    pub connections: u64,
    /// Number of requests in flight at backend servers.
    pub backend_busy: u64,
    /// Number of idle connections to backend servers.
    pub backend_idle: u64,
    /// Revision of the configuration in force.
    pub config_revision: u64,
    /// Age of the last confirmation of the configuration.
    pub config_age: Millis,
    /// Age of the VM list.
    pub vm_list_age: Millis,
    /// Total size in bytes of the request bodies in memory.
    pub body_bytes: u64,
    /// Total size in bytes of the large answers that callers have not taken yet.
    pub answer_bytes: u64,
    /// Number of connections that were closed because their callers did not take their answers.
    pub stalled_answers: u64,
    /// Number of refused request bodies by cause.
    pub refused_bodies: Vec<(BodyError, u64)>,
    /// Number of idle connections that were closed in favour of others.
    pub displaced_connections: u64,
    /// 1 if the entry is ready, else 0.
    pub ready: u64,
}

/// Metric instruments of an entry.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    seconds: Histogram<f64>,
    backend_seconds: Histogram<f64>,
    backend_answers: Counter<u64>,
    retries: Counter<u64>,
    claims: Counter<u64>,
    alarms: Counter<u64>,
    in_flight: Gauge<u64>,
    queued: Gauge<u64>,
    connections: Gauge<u64>,
    backend_busy: Gauge<u64>,
    backend_idle: Gauge<u64>,
    config_revision: Gauge<u64>,
    config_age: Gauge<u64>,
    vm_list_age: Gauge<u64>,
    body_bytes: Gauge<u64>,
    answer_bytes: Gauge<u64>,
    stalled_answers: Gauge<u64>,
    refused_bodies: Gauge<u64>,
    displaced_connections: Gauge<u64>,
    ready: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let exporter = Exporter::new("entry");
        let gauge = |name| exporter.gauge(name);
        let counter = |name| exporter.counter(name);
        Self {
            requests: counter("entry_requests"),
            seconds: exporter.latency_histogram("entry_request_seconds"),
            backend_seconds: exporter.latency_histogram("entry_backend_seconds"),
            backend_answers: counter("entry_backend_answers"),
            retries: counter("entry_retries"),
            claims: counter("entry_claims"),
            alarms: counter("entry_alarms"),
            in_flight: gauge("entry_in_flight"),
            queued: gauge("entry_queued"),
            connections: gauge("entry_connections"),
            backend_busy: gauge("entry_backend_busy"),
            backend_idle: gauge("entry_backend_idle"),
            config_revision: gauge("entry_config_revision"),
            config_age: gauge("entry_config_age_ms"),
            vm_list_age: gauge("entry_vm_list_age_ms"),
            body_bytes: gauge("entry_body_bytes"),
            answer_bytes: gauge("entry_answer_bytes"),
            stalled_answers: gauge("entry_stalled_answers"),
            refused_bodies: gauge("entry_refused_bodies"),
            displaced_connections: gauge("entry_displaced_connections"),
            ready: gauge("entry_ready"),
            exporter,
        }
    }
}

impl Metrics {
    /// Counts one request with its result: `answered`, `decided` or the code of a refusal.
    pub fn request(&self, result: &str, took: Millis) {
        let result = [KeyValue::new("result", result.to_owned())];
        self.requests.add(1, &result);
        self.seconds.record(seconds(took), &[]);
    }

    /// Counts one attempt at a backend server with its result: `whole` for a complete answer,
    /// `server_error`, `not_run` or the label of the failure.
    pub fn backend(&self, result: &'static str, took: Millis) {
        let result = [KeyValue::new("result", result)];
        self.backend_answers.add(1, &result);
        self.backend_seconds.record(seconds(took), &[]);
    }

    /// Counts one retry.
    pub fn retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts one claim of an idempotency key with its result.
    pub fn claim(&self, result: &'static str) {
        self.claims.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts one alarm about `part`.
    pub fn alarm(&self, part: &'static str) {
        self.alarms.add(1, &[KeyValue::new("part", part)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self, values: &GaugeValues) -> Vec<u8> {
        self.in_flight.record(values.in_flight, &[]);
        self.queued.record(values.queued, &[]);
        self.connections.record(values.connections, &[]);
        self.backend_busy.record(values.backend_busy, &[]);
        self.backend_idle.record(values.backend_idle, &[]);
        self.config_revision.record(values.config_revision, &[]);
        self.config_age.record(values.config_age.0, &[]);
        self.vm_list_age.record(values.vm_list_age.0, &[]);
        self.body_bytes.record(values.body_bytes, &[]);
        self.answer_bytes.record(values.answer_bytes, &[]);
        self.stalled_answers.record(values.stalled_answers, &[]);
        for (cause, count) in &values.refused_bodies {
            let cause = [KeyValue::new("cause", cause.to_string())];
            self.refused_bodies.record(*count, &cause);
        }
        let displaced = values.displaced_connections;
        self.displaced_connections.record(displaced, &[]);
        self.ready.record(values.ready, &[]);
        self.exporter.encode()
    }
}

fn seconds(span: Millis) -> f64 {
    span.to_duration().as_secs_f64()
}
