//! Limits on input and messages.

use crate::clock::Millis;

/// Maximum size of a request body that an entry accepts, in bytes.
pub const BODY_BYTES: usize = 1 << 20;
/// Maximum size of the record of a job that a caller submits, in bytes.
pub const JOB_RECORD_BYTES: usize = 64 << 10;
/// Maximum size of the answer of a backend server, in bytes.
pub const ANSWER_BYTES: usize = 4 << 20;
/// Maximum size of an answer that is stored with an idempotency key, in bytes.
pub const STORED_ANSWER_BYTES: usize = 64 << 10;
/// Maximum size of the header block of a request, in bytes.
pub const HEADER_BYTES: usize = 16 << 10;
/// Time limit for receiving the header block of a request.
pub const HEADER_TIMEOUT: Millis = Millis::from_secs(5);
/// Maximum number of open connections from callers to an entry.
pub const CONNECTIONS: usize = 1_024;
/// Maximum number of members of a gang.
pub const GANG_MEMBERS: u16 = 64;
/// Maximum length of a name, in bytes.
pub const NAME_BYTES: usize = 63;
/// Maximum length of an idempotency key, in bytes.
pub const KEY_BYTES: usize = 128;
/// Maximum number of records in one configuration change.
pub const APPLY_RECORDS: usize = 1_000;
/// Maximum size of a message between two processes, in bytes.
pub const MESSAGE_BYTES: usize = 1 << 20;
