//! Limits on the body of a request.

use std::{cell::Cell, rc::Rc};

use base::{clock::Millis, limits};
use bytes::{Bytes, BytesMut};
use ntex::{http::HeaderMap, web::types::Payload};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::refusal::{Code, Refusal};

/// Memory for request bodies, shared by all requests of one entry.
#[derive(Debug)]
pub struct BodyMemory {
    used: Cell<usize>,
    limit: usize,
}

/// Part of the body memory that one request holds.
#[derive(Debug)]
pub struct Held {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

/// Body of a request, which holds its part of the body memory.
#[derive(Debug)]
pub struct Body {
    /// The whole body.
    pub bytes: Bytes,
    _held: Held,
}

impl BodyMemory {
    /// Creates a memory of `limit` bytes.
    ///
    /// ```
    /// assert_eq!(entry::input::BodyMemory::new(10).used(), 0);
    /// ```
    pub const fn new(limit: usize) -> Self {
        Self {
            used: Cell::new(0),
            limit,
        }
    }

    /// Returns the bytes in use.
    pub const fn used(&self) -> usize {
        self.used.get()
    }

    /// Reads a body within the size limit, the memory and `timeout`.
    pub async fn read(
        self: &Rc<Self>,
        headers: &HeaderMap,
        payload: Payload,
        timeout: Millis,
    ) -> Result<Body, Refusal> {
        let declared = declared_length(headers)?;
        if declared > limits::BODY_BYTES as u64 {
            return Err(too_large());
        }
        let collected = self.collect(payload);
        match time::timeout(timeout.to_duration(), collected).await {
            Ok(body) => body,
            Err(_) => Err(Refusal::not_run(
                Code::TooSlow,
                format!("the body did not arrive within {timeout}"),
            )),
        }
    }

    async fn collect(self: &Rc<Self>, mut payload: Payload) -> Result<Body, Refusal> {
        let mut held = Held {
            memory: self.clone(),
            bytes: 0,
        };
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|e| {
                Refusal::not_run(Code::BodyIncomplete, format!("the body can't be read: {e}"))
            })?;
            if body.len() + chunk.len() > limits::BODY_BYTES {
                return Err(too_large());
            }
            held.grow(chunk.len())?;
            body.extend_from_slice(&chunk);
        }
        Ok(Body {
            bytes: body.freeze(),
            _held: held,
        })
    }
}

impl Held {
    fn grow(&mut self, bytes: usize) -> Result<(), Refusal> {
        let used = self.memory.used.get() + bytes;
        if used > self.memory.limit {
            return Err(Refusal::not_run(
                Code::BodyMemoryFull,
                "this entry holds too many request bodies, try again later",
            ));
        }
        self.memory.used.set(used);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.bytes);
    }
}

/// Reads JSON of type `T` from a body.
pub fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|e| Refusal::not_run(Code::BadJson, format!("the body can't be used: {e}")))
}

fn declared_length(headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(header) = headers.get("content-length") else {
        return Ok(0);
    };
    let length = header.to_str().ok().and_then(|s| s.parse().ok());
    length.ok_or_else(|| Refusal::not_run(Code::BadHeader, "content-length is no number"))
}

fn too_large() -> Refusal {
    let message = format!("a body has at most {} bytes", limits::BODY_BYTES);
    Refusal::not_run(Code::BodyTooLarge, message)
}
