//! Timer of a queue whose turns depend on the time.

use base::clock::{self, Millis};
use tokio::sync::Notify;

use crate::cx;

/// Advances a queue at the times of its next turns while `next_at` returns one. `changed` is notified
/// when that time may have changed.
pub(crate) async fn run_timer(
    changed: &Notify,
    next_at: impl Fn() -> Option<Millis>,
    advance: impl Fn(),
) {
    while let Some(at) = next_at() {
        tokio::select! {
            () = cx::sleep(at.since(clock::now())) => advance(),
            () = changed.notified() => {}
        }
    }
}
