//! Refusals and their form on the wire.

use std::borrow::Cow;

use derive_more::Display;
use ntex::{http::StatusCode, web::HttpResponse};
use serde::Serialize;

/// Header that marks an answer as a refusal by the entry and carries its code.
pub const REFUSED: &str = "x-refused";

/// Whether the work of a refused request was run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was certainly not run.
    #[display("not_run")]
    NotRun,
    /// It may have been run.
    #[display("unknown")]
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Code {
    /// The path names nothing that an entry serves.
    #[display("not_found")]
    NotFound,
    /// The method is not served on this path.
    #[display("method_not_allowed")]
    Method,
    /// The request is no valid HTTP.
    #[display("bad_request")]
    BadRequest,
    /// A header can't be read.
    #[display("bad_header")]
    BadHeader,
    /// The header block is too large.
    #[display("headers_too_large")]
    HeadersTooLarge,
    /// The body is too large.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not arrive whole.
    #[display("body_incomplete")]
    BodyIncomplete,
    /// The request did not arrive in time.
    #[display("too_slow")]
    TooSlow,
    /// The record in the body can't be used.
    #[display("bad_record")]
    BadRecord,
    /// The body is not the JSON that is expected.
    #[display("bad_json")]
    BadJson,
    /// A change has too many records.
    #[display("too_many_records")]
    TooManyRecords,
    /// There are too many connections.
    #[display("too_many_connections")]
    TooManyConnections,
    /// The entry holds too many bytes of request bodies.
    #[display("body_memory_full")]
    BodyMemoryFull,
    /// The access token is missing or unknown.
    #[display("unauthorised")]
    Unauthorised,
    /// The access token does not allow this.
    #[display("forbidden")]
    Forbidden,
    /// The service does not exist.
    #[display("unknown_service")]
    UnknownService,
    /// The service has no such operation.
    #[display("unknown_operation")]
    UnknownOperation,
    /// The operation may not be repeated and the request has no key.
    #[display("key_required")]
    KeyRequired,
    /// The idempotency key has no usable form.
    #[display("bad_key")]
    BadKey,
    /// The key was used with another request.
    #[display("key_conflict")]
    KeyConflict,
    /// A request with this key is under way on another entry.
    #[display("in_progress")]
    InProgress,
    /// The request with this key ran and its answer was too large to be kept.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The outcome of an earlier request with this key is not known.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline can't be met.
    #[display("deadline")]
    Deadline,
    /// No backend server of the service takes work.
    #[display("no_server")]
    NoServer,
    /// The chosen backend servers could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The backend servers refused to run the request.
    #[display("server_refused")]
    ServerRefused,
    /// The table service does not answer.
    #[display("store_down")]
    StoreDown,
    /// The entry is stopping.
    #[display("stopping")]
    Stopping,
    /// The entry's configuration is not confirmed.
    #[display("config_unconfirmed")]
    ConfigUnconfirmed,
    /// No scheduler leads.
    #[display("no_leader")]
    NoLeader,
    /// A scheduler got the request and its decision is not known.
    #[display("decision_unknown")]
    DecisionUnknown,
}

impl Code {
    /// Returns the HTTP status that goes with the code when the work was not run.
    fn status(self) -> StatusCode {
        match self {
            Self::NotFound | Self::UnknownService | Self::UnknownOperation => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadRequest
            | Self::BadHeader
            | Self::BodyIncomplete
            | Self::BadRecord
            | Self::BadJson
            | Self::KeyRequired
            | Self::BadKey => StatusCode::BAD_REQUEST,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge | Self::TooManyRecords => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::KeyConflict | Self::InProgress | Self::AnswerNotKept => StatusCode::CONFLICT,
            Self::TooManyConnections | Self::QueueFull | Self::BodyMemoryFull => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Self::OutcomeUnknown | Self::DecisionUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Deadline
            | Self::NoServer
            | Self::Unreachable
            | Self::ServerRefused
            | Self::StoreDown
            | Self::Stopping
            | Self::ConfigUnconfirmed
            | Self::NoLeader => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A refusal: no whole answer to the request exists.
///
/// ```
/// use entry::refusal::{Code, Refusal};
/// let r = Refusal::not_run(Code::QueueFull, "the queue of rain-cover is full");
/// assert_eq!(r.status.as_u16(), 429);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Machine-readable code.
    pub code: Cow<'static, str>,
    /// Whether the work was run.
    pub outcome: Outcome,
    /// Message for people.
    pub message: String,
}

#[derive(Serialize)]
struct Body<'a> {
    code: &'a str,
    outcome: Outcome,
    message: &'a str,
}

impl Refusal {
    /// Creates a refusal of work that was certainly not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            status: code.status(),
            code: Cow::Owned(code.to_string()),
            outcome: Outcome::NotRun,
            message: message.into(),
        }
    }

    /// Creates a refusal of work that may have been run.
    ///
    /// ```
    /// use entry::refusal::{Code, Refusal};
    /// assert_eq!(Refusal::unknown(Code::OutcomeUnknown, "cut off").status.as_u16(), 504);
    /// ```
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            outcome: Outcome::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Changes the outcome and keeps the status.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Returns the body of the answer as JSON text.
    pub fn body(&self) -> String {
        let body = Body {
            code: &self.code,
            outcome: self.outcome,
            message: &self.message,
        };
        serde_json::to_string(&body).expect("a refusal is valid JSON")
    }

    /// Returns the HTTP answer.
    pub fn response(&self) -> HttpResponse {
        HttpResponse::build(self.status)
            .set_header(REFUSED, &*self.code)
            .content_type("application/json")
            .body(self.body())
    }
}
