//! Answers to requests that are not carried out.

use ntex::http::{Response, StatusCode};
use platform::paths;

/// Why a request is not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No queue has this host and path.
    NoQueue,
    /// The key is not known.
    Key,
    /// The body is no job.
    Invalid,
    /// The body is too large.
    TooLarge,
    /// The method is not served here.
    Method,
    /// The configuration is missing or too old.
    ConfigAge,
    /// The store does not serve this VM now; nothing was stored.
    Store,
    /// There is no such job.
    NoJob,
    /// The outcome is not known: the request may have been carried out.
    Unknown,
}

impl Refusal {
    /// Returns the answer; `retry_after` tells in seconds when the caller may come back.
    pub(crate) fn response(self, retry_after: u16) -> Response {
        let mut builder = Response::build(self.status());
        if matches!(self, Self::ConfigAge | Self::Store) {
            builder.header(paths::RETRY_AFTER, retry_after.to_string());
        }
        builder.finish()
    }

    /// Returns the name under which refusals are counted.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoQueue => "no_queue",
            Self::Key => "key",
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::Method => "method",
            Self::ConfigAge => "config_age",
            Self::Store => "store",
            Self::NoJob => "no_job",
            Self::Unknown => "unknown",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::NoQueue => StatusCode::NOT_FOUND,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::ConfigAge | Self::Store => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoJob => StatusCode::GONE,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
