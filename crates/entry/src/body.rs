//! Request bodies: what an entry requires of them, and parsing as JSON. `serve` reads them.

use std::{rc::Rc, sync::Arc};

use base::clock::Millis;
use bytes::Bytes;
use ntex::{http::HeaderMap, web::types::Payload};
use serde::de::DeserializeOwned;
use serve::{Bodies, BodyError, BodySpec, Memory};

use crate::refusal::{Code, Refusal};

/// Body of a request with its memory in the budget.
#[derive(Debug)]
pub struct Body {
    /// The complete body.
    pub bytes: Bytes,
    _memory: Memory,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Time in which it has to arrive.
    pub timeout: Millis,
}

impl Body {
    /// Reads a body within the budget and its `limits`. The sender has a share of the budget.
    pub async fn read(
        bodies: &Rc<Bodies>,
        sender: Option<Arc<str>>,
        headers: &HeaderMap,
        payload: Payload,
        limits: BodyLimits,
    ) -> Result<Self, Refusal> {
        let spec = BodySpec {
            organisation: sender,
            declared: declared_length(headers)?,
            max_bytes: limits.bytes,
            timeout: limits.timeout,
        };
        let body = bodies.read(payload.into_inner(), spec).await;
        let body = body.map_err(|e| refusal(e, limits))?;
        Ok(Self {
            bytes: body.bytes.into(),
            _memory: body.memory,
        })
    }
}

fn refusal(error: BodyError, limits: BodyLimits) -> Refusal {
    let BodyLimits { bytes, timeout } = limits;
    match error {
        BodyError::TooLarge => Refusal::not_run(
            Code::BodyTooLarge,
            format!("the body is larger than {bytes} bytes"),
        ),
        BodyError::Chunks => Refusal::not_run(Code::BodyTooLarge, "the body has too many chunks"),
        BodyError::Broken | BodyError::Line => Refusal::not_run(
            Code::BodyIncomplete,
            "the body could not be read: it is incomplete or malformed",
        ),
        BodyError::TooSlow => Refusal::not_run(
            Code::TooSlow,
            format!("the body was not received within {timeout}"),
        ),
        BodyError::Full => Refusal::not_run(
            Code::BodyMemoryFull,
            "the memory for request bodies is full, try again later",
        ),
    }
}

/// Parses a JSON body as `T`.
pub fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|e| Refusal::not_run(Code::BadJson, format!("the body is not valid: {e}")))
}

fn declared_length(headers: &HeaderMap) -> Result<Option<usize>, Refusal> {
    let Some(header) = headers.get("content-length") else {
        return Ok(None);
    };
    let length = header.to_str().ok().and_then(|s| s.parse().ok());
    let bad = || Refusal::not_run(Code::BadHeader, "content-length is not a whole number");
    length.map(Some).ok_or_else(bad)
}
