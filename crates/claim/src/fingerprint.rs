//! Fingerprint of a request, which binds an idempotency key to that request.

use std::fmt::Write;

use base::name::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::Digest;

use crate::canonical;

/// SHA-256 hash of service, operation and body, in hexadecimal digits.
#[derive(Clone, Debug, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

/// Computes the fingerprint of a request.
///
/// A JSON body is hashed in canonical form (sorted keys, no white space), so that a retry that
/// serialises the same request differently has the same fingerprint. Any other body is hashed as it
/// is.
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
    // Names can't contain a line feed, so it separates the parts unambiguously.
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
        // Writing to a `String` can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    Fingerprint(text)
}
