//! Format of claim rows.

use base::{clock::Millis, limits, name::Name};
use serde::{Deserialize, Serialize};
use store::table::Key;

use crate::fingerprint::Fingerprint;

/// Prefix of the keys of claim rows.
pub const PREFIX: &str = "claim/";

/// Content of the row `claim/{organisation}/{key}`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Fingerprint of the request that the key is bound to.
    pub fingerprint: Fingerprint,
    /// Id of the entry process that claimed the key; an entry gets a new id each time it starts.
    pub owner: u64,
    /// Number that the owner assigned to this claim, by which it recognises its own write.
    pub nonce: u64,
    /// Wall-clock time of the last write, for operators; retention does not depend on it.
    pub written_ms: Millis,
    /// What is known about the execution.
    pub state: State,
}

impl Record {
    /// Returns whether `owner` wrote the row for its claim with this nonce.
    pub(crate) fn was_written_by(&self, owner: u64, nonce: u64) -> bool {
        self.owner == owner && self.nonce == nonce
    }
}

/// What is known about the execution that a claim covers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The owner is running the request.
    InProgress,
    /// The request ran and returned this answer.
    Completed(Answer),
    /// The request was not run; the key may be claimed again.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

/// Answer of a backend server, as stored in a claim row.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body; `None` if it was too large to be stored.
    pub body: Option<Body>,
}

/// Body of a stored answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Body that is valid UTF-8.
    Text(String),
    /// Any other body.
    Bytes(Vec<u8>),
}

impl Body {
    /// Returns the bytes.
    ///
    /// ```
    /// assert_eq!(claim::record::Body::Text("a".into()).as_bytes(), b"a");
    /// ```
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            Self::Text(text) => text.as_bytes(),
            Self::Bytes(bytes) => bytes,
        }
    }
}

impl Answer {
    /// Creates an answer; omits the body if it is larger than [`limits::STORED_ANSWER_BYTES`].
    ///
    /// ```
    /// use claim::record::Answer;
    /// assert!(Answer::new(200, "text/plain", b"paid".to_vec()).body.is_some());
    /// assert!(Answer::new(200, "text/plain", vec![b'a'; 1 << 20]).body.is_none());
    /// ```
    pub fn new(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        let fits = body.len() <= limits::STORED_ANSWER_BYTES;
        let body = fits.then(|| match String::from_utf8(body) {
            Ok(text) => Body::Text(text),
            Err(e) => Body::Bytes(e.into_bytes()),
        });
        Self {
            status,
            content_type: content_type.to_owned(),
            body,
        }
    }
}

/// Returns the key of the claim row for `key`, an idempotency key of the organisation.
///
/// ```
/// let key = claim::record::claim_key(&"tulegenov".parse().unwrap(), "k1");
/// assert_eq!(&*key, "claim/tulegenov/k1");
/// ```
pub fn claim_key(organisation: &Name, key: &str) -> Key {
    format!("{PREFIX}{organisation}/{key}").into()
}

/// Returns the key of the member row of an entry: the row by which the entry with this id registers
/// itself. It is deleted when the entry stops or no longer renews it.
///
/// ```
/// assert_eq!(claim::record::member_key(255), "member/00000000000000ff");
/// ```
pub fn member_key(id: u64) -> String {
    format!("member/{id:016x}")
}

/// Parses the value of a claim row; `None` if it is not a valid record.
pub(crate) fn parse(value: &str) -> Option<Record> {
    serde_json::from_str(value).ok()
}

pub(crate) fn to_json(record: &Record) -> String {
    serde_json::to_string(record).expect("a claim record can always be serialised")
}
