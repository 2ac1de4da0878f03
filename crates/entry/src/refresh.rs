//! Reads that a task repeats and that requests may ask for and wait for.

use base::{clock, clock::Millis};
use tokio::{sync::Notify, time};

/// Number of reads that a request waits for. The first one may have begun before it asked.
const MAX_READS: usize = 2;

/// Connects the task that repeats a read with the requests that wait for it. A read goes on when they
/// stop waiting: its answer may be long for the link, and the next read would begin anew.
///
/// ```
/// use base::clock::Millis;
///
/// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
/// let refresh = entry::refresh::Refresh::default();
/// refresh.wait(Millis(10), || false).await;
/// // The request is gone, and the read that it has asked for is due.
/// refresh.due(base::clock::now(), Millis::from_secs(60)).await;
/// # });
/// ```
#[derive(Debug, Default)]
pub struct Refresh {
    wanted: Notify,
    done: Notify,
}

impl Refresh {
    /// Asks for a read and waits until `is_current` holds, a read that began since then has ended, or
    /// `limit` has passed.
    pub async fn wait(&self, limit: Millis, is_current: impl Fn() -> bool) {
        let reads = async {
            for _ in 0..MAX_READS {
                let done = self.done.notified();
                if is_current() {
                    return;
                }
                self.wanted.notify_one();
                done.await;
            }
        };
        // Without an answer in time, what is known stays in use.
        let _ = time::timeout(limit.to_duration(), reads).await;
    }

    /// Waits until `period` has passed since `start`, or until a read is wanted.
    pub async fn due(&self, start: Millis, period: Millis) {
        let left = period.since(clock::now().since(start)).max(Millis(1));
        tokio::select! {
            () = self.wanted.notified() => {}
            () = time::sleep(left.to_duration()) => {}
        }
    }

    /// Records that a read has ended.
    ///
    /// ```
    /// entry::refresh::Refresh::default().record_done();
    /// ```
    pub fn record_done(&self) {
        self.done.notify_waiters();
    }
}
