//! What callers are told about the phase of a job, and the row that says so.

use base::clock::Millis;
use batch::progress::Phase;
use store::table::Row;

use crate::{cx::Cx, rows::PhaseRow};

/// Row that decides which phase is shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// The row of the phase.
    Phase,
    /// The row of the phase, after its retention time: the job is not removed yet.
    ExpiredPhase,
    /// The cancellation of a job that has no phase yet.
    Cancellation,
    /// The row of a job that has no phase yet.
    Job,
}

impl Source {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Phase => "phase",
            Self::ExpiredPhase => "expired_phase",
            Self::Cancellation => "cancellation",
            Self::Job => "job",
        }
    }
}

/// A phase that is shown to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShownPhase {
    pub(crate) phase: Phase,
    pub(crate) source: Source,
    /// Version of the row.
    pub(crate) version: u64,
    /// Age of the end, the cancellation or the job by the store's clock, if it is known.
    pub(crate) age: Option<Millis>,
}

impl ShownPhase {
    /// Returns the phase in a row of the table of phases.
    pub(crate) fn of_row(
        source: Source,
        phase: &PhaseRow,
        row: &Row,
        store_now: Option<Millis>,
    ) -> Self {
        let age = phase.ended_at.zip(store_now);
        Self {
            phase: phase.phase,
            source,
            version: row.version,
            age: age.map(|(at, now)| now.since(at)),
        }
    }

    /// Counts the answer. Those that tell the caller that the job was not done are logged.
    pub(crate) fn record(&self, cx: &Cx, id: &str) {
        let source = self.source.name();
        cx.metrics.count_shown_phase(self.phase, source);
        if matches!(self.phase, Phase::Failed | Phase::Cancelled) {
            log::info!(
                job = id, phase:% = self.phase, source, version = self.version,
                age_ms = self.age.map(|a| a.0);
                "accept: shown as ended"
            );
        }
    }
}
