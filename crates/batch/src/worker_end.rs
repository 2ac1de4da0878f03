//! Ends of workers that had runs.

/// What ended a worker, or the trust in it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// It did not answer until its lease expired; it may have crashed or be unreachable.
    LeaseExpired,
    /// It answers as another incarnation.
    Restarted,
}

impl EndCause {
    /// Returns the name, a label of metrics.
    ///
    /// ```
    /// use batch::worker_end::EndCause;
    /// assert_eq!(EndCause::LeaseExpired.name(), "lease_expired");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_expired",
            Self::Restarted => "restarted",
        }
    }
}

/// End of a worker that had runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerEnd {
    /// What ended it.
    pub cause: EndCause,
    /// Number of its runs.
    pub runs: usize,
}
