//! Metrics of a scheduler, listed in docs/metrics.md.

use meter::Exporter;
use opentelemetry::{KeyValue, metrics::Gauge};
use schema::job::Phase;

use crate::http::Dump;

/// All phases, so that a phase without jobs is reported as 0 instead of its last value.
const PHASES: [Phase; 8] = [
    Phase::Waiting,
    Phase::Holding,
    Phase::Running,
    Phase::Stopping,
    Phase::Done,
    Phase::Failed,
    Phase::Refused,
    Phase::Cancelled,
];

/// Instruments of a scheduler.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    leading: Gauge<u64>,
    fence: Gauge<u64>,
    revision: Gauge<u64>,
    table_stuck: Gauge<u64>,
    table_age: Gauge<u64>,
    records_waiting: Gauge<u64>,
    workers: Gauge<u64>,
    workers_up: Gauge<u64>,
    workers_silent: Gauge<u64>,
    unlocated: Gauge<u64>,
    jobs: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let exporter = Exporter::new("sched");
        let gauge = |name| exporter.gauge(name);
        Self {
            leading: gauge("sched_leading"),
            fence: gauge("sched_fence"),
            revision: gauge("sched_revision"),
            table_stuck: gauge("sched_table_stuck"),
            table_age: gauge("sched_table_age_ms"),
            records_waiting: gauge("sched_records_waiting"),
            workers: gauge("sched_workers"),
            workers_up: gauge("sched_workers_up"),
            workers_silent: gauge("sched_workers_silent"),
            unlocated: gauge("sched_guarantees_unlocated"),
            jobs: gauge("sched_jobs"),
            exporter,
        }
    }
}

impl Metrics {
    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn text(&self, dump: &Dump) -> Vec<u8> {
        self.leading.record(u64::from(dump.leading), &[]);
        self.fence.record(dump.fence, &[]);
        self.revision.record(dump.revision, &[]);
        self.table_stuck.record(u64::from(dump.stuck), &[]);
        self.table_age.record(dump.table_age_ms.0, &[]);
        self.records_waiting
            .record(dump.records_waiting as u64, &[]);
        self.workers.record(dump.workers as u64, &[]);
        self.workers_up.record(dump.workers_up as u64, &[]);
        self.workers_silent.record(dump.workers_silent as u64, &[]);
        self.unlocated.record(dump.guarantees_unlocated as u64, &[]);
        for phase in PHASES {
            let count = dump
                .jobs
                .iter()
                .find(|c| c.phase == phase)
                .map_or(0, |c| c.jobs);
            let label = [KeyValue::new("phase", phase.to_string())];
            self.jobs.record(count as u64, &label);
        }
        self.exporter.encode()
    }
}
