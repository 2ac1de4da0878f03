//! Client of the table service over HTTP.

use std::fmt::Write;

use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{
    caller::{Answer, Caller, Failure},
    http_cfg::HttpCfg,
    table::{Commit, Key, Row, StoreError, Txn},
};

/// Client of the table service; clones share its connections. It stays on the thread that made it.
///
/// ```no_run
/// use store::{http::HttpTable, http_cfg::HttpCfg, table::Txn};
///
/// # async fn run() -> Result<(), store::table::StoreError> {
/// let table = HttpTable::new("http://127.0.0.1:7000", HttpCfg::default()).await?;
/// table.commit(&Txn::default().put("a", "1".into())).await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct HttpTable {
    caller: Caller,
}

#[derive(Deserialize)]
struct DoneBody {
    version: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    conflict: Vec<Key>,
}

#[derive(Deserialize)]
struct RowsBody {
    rows: Vec<Row>,
}

impl HttpTable {
    /// Makes a client of the table service at `base_url`; no connection is opened yet.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let caller = Caller::new(base_url, cfg).await?;
        Ok(Self { caller })
    }

    /// Applies all writes of `txn` if every check holds.
    ///
    /// Returns `NotDone` only if nothing is applied, and `Unknown` if the writes may be applied.
    pub async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        let body = serde_json::to_vec(txn).map_err(|e| StoreError::NotDone {
            reason: e.to_string(),
        })?;
        let req = self
            .caller
            .request(Method::POST, "/tables/commit")
            .content_type("application/json");
        let answer = self.caller.call(req, Bytes::from(body)).await;
        read_commit(&answer.map_err(Failure::of_write)?)
    }

    /// Reads one row; the row may be stale.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let path = format!("/tables/row?key={}", encode(key));
        let answer = self.read(&path).await?;
        match answer.status {
            StatusCode::OK => parse(&answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(refused(&answer)),
        }
    }

    /// Reads up to `limit` rows, and at most [`SCAN_ROWS`](crate::table::SCAN_ROWS), whose keys start with `prefix` and follow `after`, in key order.
    pub async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, StoreError> {
        let path = format!(
            "/tables/rows?prefix={}&after={}&limit={limit}",
            encode(prefix),
            encode(after)
        );
        let answer = self.read(&path).await?;
        match answer.status {
            StatusCode::OK => parse::<RowsBody>(&answer).map(|b| b.rows),
            _ => Err(refused(&answer)),
        }
    }

    async fn read(&self, path: &str) -> Result<Answer, StoreError> {
        let req = self.caller.request(Method::GET, path);
        let answer = self.caller.call(req, Bytes::new()).await;
        answer.map_err(Failure::of_read)
    }
}

fn read_commit(answer: &Answer) -> Result<Commit, StoreError> {
    let unknown = |e: serde_json::Error| StoreError::Unknown {
        reason: format!("status {} with an unreadable body: {e}", answer.status),
    };
    match answer.status {
        StatusCode::OK => serde_json::from_slice::<DoneBody>(&answer.body)
            .map(|b| Commit::Done { version: b.version })
            .map_err(unknown),
        StatusCode::CONFLICT => serde_json::from_slice::<ConflictBody>(&answer.body)
            .map(|b| Commit::Conflict { keys: b.conflict })
            .map_err(unknown),
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE => Err(refused(answer)),
        status => Err(StoreError::Unknown {
            reason: format!("status {status}"),
        }),
    }
}

pub(crate) fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|e| StoreError::NotDone {
        reason: format!("unreadable answer: {e}"),
    })
}

pub(crate) fn refused(answer: &Answer) -> StoreError {
    StoreError::NotDone {
        reason: format!("status {}", answer.status),
    }
}

/// Percent-encodes a key for use in a query or a path segment.
///
/// ```
/// assert_eq!(store::http::encode("a b"), "a%20b");
/// ```
pub fn encode(s: &str) -> String {
    let mut out = String::with_capacity(s.len());
    for b in s.bytes() {
        if b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~' | b'/') {
            out.push(char::from(b));
        } else {
            let _ = write!(out, "%{b:02X}");
        }
    }
    out
}
