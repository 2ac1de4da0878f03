//! Error replies that several controllers use.

use wire::message::{self, Effect, Reply};

/// Returns the reply to a request that failed.
pub(crate) fn failed(code: &str, message: impl Into<String>, done: Effect) -> Reply {
    Reply::Failed {
        code: code.into(),
        message: message.into(),
        done,
    }
}

/// Returns the reply to a request that had no effect because a service is unavailable.
pub(crate) fn unavailable(reason: &str) -> Reply {
    failed(message::UNAVAILABLE, reason, Effect::None)
}
