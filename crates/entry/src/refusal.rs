//! Error answers of the entry and their HTTP form.

use std::borrow::Cow;

use derive_more::Display;
use ntex::{http::StatusCode, web::HttpResponse};
use serde::Serialize;

/// Header that marks an answer as an error of the entry itself and contains its code.
pub const REFUSED: &str = "x-refused";

/// Value of `retry-after` in seconds: a queue or the budget for bodies is full for about that long.
const RETRY_S: &str = "1";

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was certainly not run.
    #[display("not_run")]
    NotRun,
    /// The request may have been run.
    #[display("unknown")]
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Code {
    /// The path does not exist.
    #[display("not_found")]
    NotFound,
    /// The path does not support the method.
    #[display("method_not_allowed")]
    Method,
    /// The request is not valid HTTP.
    #[display("bad_request")]
    BadRequest,
    /// A header has an invalid value.
    #[display("bad_header")]
    BadHeader,
    /// The header block is too large.
    #[display("headers_too_large")]
    HeadersTooLarge,
    /// The body is too large.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not arrive completely.
    #[display("body_incomplete")]
    BodyIncomplete,
    /// The request did not arrive in time.
    #[display("too_slow")]
    TooSlow,
    /// The body is not a valid record.
    #[display("bad_record")]
    BadRecord,
    /// The body is not JSON of the expected form.
    #[display("bad_json")]
    BadJson,
    /// A change has too many records.
    #[display("too_many_records")]
    TooManyRecords,
    /// The entry has too many open connections.
    #[display("too_many_connections")]
    TooManyConnections,
    /// The memory for request bodies is full.
    #[display("body_memory_full")]
    BodyMemoryFull,
    /// The access token is missing or unknown.
    #[display("unauthorised")]
    Unauthorised,
    /// The holder of the access token is not permitted to send this request.
    #[display("forbidden")]
    Forbidden,
    /// The service does not exist.
    #[display("unknown_service")]
    UnknownService,
    /// The operation does not exist in the service.
    #[display("unknown_operation")]
    UnknownOperation,
    /// The operation is not repeatable and the request has no idempotency key.
    #[display("key_required")]
    KeyRequired,
    /// The idempotency key has an invalid form.
    #[display("bad_key")]
    BadKey,
    /// The idempotency key was used with another request.
    #[display("key_conflict")]
    KeyConflict,
    /// A request with this idempotency key is running on another entry.
    #[display("in_progress")]
    InProgress,
    /// The request with this idempotency key ran, but its answer was too large to be stored.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The outcome of this request, or of an earlier one with the same key, is unknown.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The queue of the service is full.
    #[display("queue_full")]
    QueueFull,
    /// The deadline can't be met.
    #[display("deadline")]
    Deadline,
    /// No backend server of the service accepts new requests.
    #[display("no_server")]
    NoServer,
    /// No connection to the selected backend servers was possible.
    #[display("unreachable")]
    Unreachable,
    /// The backend servers answered that they did not run the request.
    #[display("server_refused")]
    ServerRefused,
    /// The table service does not answer.
    #[display("store_down")]
    StoreDown,
    /// The entry is stopping.
    #[display("stopping")]
    Stopping,
    /// The entry has no configuration that is confirmed as the newest.
    #[display("config_unconfirmed")]
    ConfigUnconfirmed,
    /// No leading scheduler was found.
    #[display("no_leader")]
    NoLeader,
    /// A scheduler received the request, but its decision is unknown.
    #[display("decision_unknown")]
    DecisionUnknown,
}

impl Code {
    /// Returns the HTTP status of the code for a request that was not run.
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

/// An error answer, sent when there is no complete answer to the request.
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
    /// Whether the request was run.
    pub outcome: Outcome,
    /// Human-readable message.
    pub message: String,
}

#[derive(Serialize)]
struct Body<'a> {
    code: &'a str,
    outcome: Outcome,
    message: &'a str,
}

impl Refusal {
    /// Creates a refusal of a request that was certainly not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            status: code.status(),
            code: Cow::Owned(code.to_string()),
            outcome: Outcome::NotRun,
            message: message.into(),
        }
    }

    /// Creates a refusal of a request that may have been run.
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

    /// Returns the body of the answer as JSON.
    pub fn body(&self) -> String {
        let body = Body {
            code: &self.code,
            outcome: self.outcome,
            message: &self.message,
        };
        serde_json::to_string(&body).expect("a refusal is valid JSON")
    }

    /// Returns the time in seconds after which the sender may try again, if the request was refused
    /// because there was too little room.
    pub fn retry_after(&self) -> Option<&'static str> {
        let is_full = self.status == StatusCode::TOO_MANY_REQUESTS;
        (is_full && self.outcome == Outcome::NotRun).then_some(RETRY_S)
    }

    /// Returns the HTTP answer.
    pub fn response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        if let Some(seconds) = self.retry_after() {
            response.set_header("retry-after", seconds);
        }
        response
            .set_header(REFUSED, &*self.code)
            .content_type("application/json")
            .body(self.body())
    }
}
