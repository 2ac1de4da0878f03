//! Limits on input.

use crate::clock::Millis;

/// Largest request body that an entry takes, in bytes.
pub const BODY_BYTES: usize = 1 << 20;
/// Largest answer of a backend server, in bytes.
pub const ANSWER_BYTES: usize = 4 << 20;
/// Largest answer that is stored with an idempotency key, in bytes.
pub const STORED_ANSWER_BYTES: usize = 64 << 10;
/// Largest header block of a request, in bytes.
pub const HEADER_BYTES: usize = 16 << 10;
/// Longest wait for the header block of a request.
pub const HEADER_TIMEOUT: Millis = Millis::from_secs(5);
/// Most connections that an entry keeps open for callers.
pub const CONNECTIONS: usize = 1_024;
/// Most members of a gang.
pub const GANG_MEMBERS: u16 = 64;
/// Longest name, in bytes.
pub const NAME_BYTES: usize = 63;
/// Longest idempotency key, in bytes.
pub const KEY_BYTES: usize = 128;
/// Most records in one change of configuration.
pub const APPLY_RECORDS: usize = 1_000;
/// Largest message between two processes, in bytes.
pub const MESSAGE_BYTES: usize = 1 << 20;
