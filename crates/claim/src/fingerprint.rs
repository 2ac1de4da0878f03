//! Fingerprint that binds an idempotency key to one logical operation.

use std::fmt::Write;

use base::name::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::Digest;

use crate::canonical;

/// SHA-256 over service, operation and body, as hexadecimal digits.
#[derive(Clone, Debug, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

/// Computes the fingerprint of a request.
///
/// A JSON body counts in canonical form (keys in order, no white space), so that a caller that
/// serialises the same request differently on a retry has the same fingerprint. Any other body
/// counts by its bytes.
///
/// ```
/// use claim::fingerprint;
///
/// let service = "refund".parse().unwrap();
/// let pay = "pay".parse().unwrap();
/// let a = fingerprint::of(&service, &pay, br#"{"sum": 1, "to": "x"}"#);
/// let b = fingerprint::of(&service, &pay, br#"{"to":"x","sum":1}"#);
/// assert_eq!(a, b);
/// assert_ne!(a, fingerprint::of(&service, &pay, br#"{"to":"x","sum":2}"#));
/// ```
pub fn of(service: &Name, operation: &Name, body: &[u8]) -> Fingerprint {
    let mut hash = sha2::Sha256::new();
    // Names can't hold a line feed, so the parts can't run into one another.
    hash.update(service.as_str());
    hash.update("\n");
    hash.update(operation.as_str());
    hash.update("\n");
    if let Some(text) = canonical::canonical(body) {
        hash.update("json\n");
        hash.update(text);
    } else {
        hash.update("bytes\n");
        hash.update(body);
    }
    let mut text = String::with_capacity(64);
    for byte in hash.finalize() {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    Fingerprint(text)
}
