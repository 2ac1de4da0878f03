//! Answers that several controllers give.

use wire::message::{self, Effect, Reply};

/// Returns the answer to a request that failed.
pub(crate) fn failed(code: &str, message: impl Into<String>, done: Effect) -> Reply {
    Reply::Failed {
        code: code.into(),
        message: message.into(),
        done,
    }
}

/// Returns the answer to a request that was not begun because something is down.
pub(crate) fn unavailable(reason: &str) -> Reply {
    failed(message::UNAVAILABLE, reason, Effect::None)
}
