//! Refusals of callers' requests and the answers to them.

use ntex::http::{Response, StatusCode};
use platform::paths;
use serve::BodyError;

/// Reason why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No queue matches the host and path.
    NoQueue,
    /// The API key is missing or unknown.
    Key,
    /// The id or the body of the request is invalid.
    Invalid,
    /// The body is too large.
    TooLarge,
    /// The body has too many chunks.
    Chunks,
    /// The body did not arrive within the time of its request; nothing was stored.
    SlowBody,
    /// The memory or the processor time for bodies is used up; nothing was stored.
    BodiesFull,
    /// The path does not support the method.
    Method,
    /// The configuration is missing or too old.
    ConfigAge,
    /// The store does not serve this node, or a row of the job is malformed; nothing was stored.
    Store,
    /// The number of pending jobs is not known: no leader has counted them recently.
    Count,
    /// The process ends before the request could be carried out; nothing was stored.
    Stopping,
    /// The job does not exist or belongs to another organisation.
    NoJob,
    /// The caller's organisation has cancelled the id before; no job with it runs.
    Cancelled,
    /// Another job has the id.
    IdInUse,
    /// The outcome is unknown: the request may have been carried out.
    Unknown,
}

impl Refusal {
    /// Returns the refusal of a request whose body could not be read or kept.
    pub(crate) const fn of_body(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::TooLarge,
            BodyError::Broken | BodyError::Line => Self::Invalid,
            BodyError::TooSlow => Self::SlowBody,
            BodyError::Full => Self::BodiesFull,
            BodyError::Chunks => Self::Chunks,
        }
    }

    /// Returns the answer; `retry_after` is the time in seconds after which the caller may retry.
    pub(crate) fn response(self, retry_after: u16) -> Response {
        let mut builder = Response::build(self.status());
        if matches!(
            self,
            Self::ConfigAge
                | Self::Store
                | Self::Count
                | Self::Stopping
                | Self::SlowBody
                | Self::BodiesFull
        ) {
            builder.header(paths::RETRY_AFTER, retry_after.to_string());
        }
        builder.finish()
    }

    /// Returns the name of the refusal in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoQueue => "no_queue",
            Self::Key => "key",
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::Chunks => "chunks",
            Self::SlowBody => "slow_body",
            Self::BodiesFull => "bodies_full",
            Self::Method => "method",
            Self::ConfigAge => "config_age",
            Self::Store => "store",
            Self::Count => "count",
            Self::Stopping => "stopping",
            Self::NoJob => "no_job",
            Self::Cancelled => "cancelled",
            Self::IdInUse => "id_in_use",
            Self::Unknown => "unknown",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::NoQueue => StatusCode::NOT_FOUND,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::TooLarge | Self::Chunks => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::ConfigAge
            | Self::Store
            | Self::Count
            | Self::Stopping
            | Self::SlowBody
            | Self::BodiesFull => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoJob | Self::Cancelled => StatusCode::GONE,
            Self::IdInUse => StatusCode::CONFLICT,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
