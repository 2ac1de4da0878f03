//! HTTP client of the table service.

use std::fmt::Write;

use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::Deserialize;

use crate::{
    http_cfg::HttpCfg,
    http_client::{Answer, CallError, HttpClient},
    table::{Commit, Key, Row, StoreError, Txn},
};

/// Client of the table service; clones share its connections.
///
/// A client can't be sent to another thread.
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
    client: HttpClient,
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
    /// Creates a client of the table service at `base_url` without opening a connection.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let client = HttpClient::new(base_url, cfg).await?;
        Ok(Self { client })
    }

    /// Applies all writes of `txn` if every check holds.
    ///
    /// Returns [`StoreError::NotDone`] only if no write is applied, and [`StoreError::Unknown`] if
    /// the writes may be applied.
    pub async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        let body = serde_json::to_vec(txn).map_err(|e| StoreError::NotDone {
            reason: e.to_string(),
        })?;
        let req = self
            .client
            .request(Method::POST, "/tables/commit")
            .content_type("application/json");
        let answer = self.client.call(req, Bytes::from(body)).await;
        parse_commit(&answer.map_err(CallError::into_write_error)?)
    }

    /// Reads one row, which may be stale.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let path = format!("/tables/row?key={}", encode(key));
        let answer = self.read(&path).await?;
        match answer.status {
            StatusCode::OK => parse(&answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(not_done(&answer)),
        }
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    ///
    /// Returns at most [`MAX_SCAN_ROWS`](crate::table::MAX_SCAN_ROWS) rows.
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
            _ => Err(not_done(&answer)),
        }
    }

    async fn read(&self, path: &str) -> Result<Answer, StoreError> {
        let req = self.client.request(Method::GET, path);
        let answer = self.client.call(req, Bytes::new()).await;
        answer.map_err(CallError::into_read_error)
    }
}

fn parse_commit(answer: &Answer) -> Result<Commit, StoreError> {
    let unknown = |e: serde_json::Error| StoreError::Unknown {
        reason: format!("status {} with an invalid body: {e}", answer.status),
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
        | StatusCode::PAYLOAD_TOO_LARGE => Err(not_done(answer)),
        status => Err(StoreError::Unknown {
            reason: format!("status {status}"),
        }),
    }
}

pub(crate) fn parse<'a, T: Deserialize<'a>>(answer: &'a Answer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|e| StoreError::NotDone {
        reason: format!("invalid body of the answer: {e}"),
    })
}

pub(crate) fn not_done(answer: &Answer) -> StoreError {
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
