//! Request bodies: reading within limits of size, memory and time, and parsing as JSON.

use std::{cell::Cell, rc::Rc};

use base::{clock::Millis, limits};
use bytes::{Bytes, BytesMut};
use ntex::{http::HeaderMap, web::types::Payload};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::refusal::{Code, Refusal};

/// Memory budget for request bodies, shared by all requests of one entry.
#[derive(Debug)]
pub struct BodyMemory {
    used: Cell<usize>,
    limit: usize,
}

/// Body memory reserved by one request; dropping it frees the memory.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

/// Body of a request with its reservation of body memory.
#[derive(Debug)]
pub struct Body {
    /// The complete body.
    pub bytes: Bytes,
    _reservation: MemoryReservation,
}

impl BodyMemory {
    /// Creates a budget of `limit` bytes.
    ///
    /// ```
    /// assert_eq!(entry::body::BodyMemory::new(10).used(), 0);
    /// ```
    pub const fn new(limit: usize) -> Self {
        Self {
            used: Cell::new(0),
            limit,
        }
    }

    /// Returns the number of bytes in use.
    pub const fn used(&self) -> usize {
        self.used.get()
    }

    /// Reads a body within the size limit, the memory budget and `timeout`.
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
                format!("the body was not received within {timeout}"),
            )),
        }
    }

    async fn collect(self: &Rc<Self>, mut payload: Payload) -> Result<Body, Refusal> {
        let mut reservation = MemoryReservation {
            memory: self.clone(),
            bytes: 0,
        };
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|e| {
                Refusal::not_run(
                    Code::BodyIncomplete,
                    format!("the body could not be read: {e}"),
                )
            })?;
            if body.len() + chunk.len() > limits::BODY_BYTES {
                return Err(too_large());
            }
            reservation.reserve(chunk.len())?;
            body.extend_from_slice(&chunk);
        }
        Ok(Body {
            bytes: body.freeze(),
            _reservation: reservation,
        })
    }
}

impl MemoryReservation {
    fn reserve(&mut self, bytes: usize) -> Result<(), Refusal> {
        let used = self.memory.used.get() + bytes;
        if used > self.memory.limit {
            return Err(Refusal::not_run(
                Code::BodyMemoryFull,
                "the memory for request bodies is full, try again later",
            ));
        }
        self.memory.used.set(used);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.bytes);
    }
}

/// Parses a JSON body as `T`.
pub fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|e| Refusal::not_run(Code::BadJson, format!("the body is not valid: {e}")))
}

fn declared_length(headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(header) = headers.get("content-length") else {
        return Ok(0);
    };
    let length = header.to_str().ok().and_then(|s| s.parse().ok());
    length.ok_or_else(|| Refusal::not_run(Code::BadHeader, "content-length is not a whole number"))
}

fn too_large() -> Refusal {
    let message = format!("the body is larger than {} bytes", limits::BODY_BYTES);
    Refusal::not_run(Code::BodyTooLarge, message)
}
