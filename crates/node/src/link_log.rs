//! What the link of the VM carried for nothing, as one log line.

use base::clock::{self, Millis};
use store::call_account::{CallAccount, Outcome, Purpose};

use crate::cx::{self, Cx};

/// Interval between two lines.
const INTERVAL: Millis = Millis(5_000);
/// Bytes received for nothing from which on the line is written. A single answer that is no longer
/// needed stays below it.
const MIN_UNUSED: u64 = 64 << 10;

/// Received bytes since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    all: u64,
    /// Bytes of answers that did not get complete or were not waited for.
    unused: u64,
    /// Calls with such an answer, whether any of it arrived or not.
    unused_calls: u64,
    /// The part of `unused` for the configuration, and for change feeds and other reads.
    config: u64,
    feeds: u64,
    reads: u64,
}

/// Writes the line whenever it is due, until the process ends.
pub(crate) async fn watch(cx: Cx) {
    let mut before = Received::of(&cx.calls);
    let mut since = clock::now();
    loop {
        cx::sleep(INTERVAL).await;
        let (now, received) = (clock::now(), Received::of(&cx.calls));
        let new = received.since(before);
        if new.unused >= MIN_UNUSED {
            log::info!(
                ms = now.since(since).0, received_bytes = new.all, unused_bytes = new.unused,
                unused_calls = new.unused_calls, unused_config = new.config,
                unused_feeds = new.feeds, unused_reads = new.reads,
                config_age_ms = cx.config_age().map(|a| a.0);
                "node: received bytes that were not used"
            );
        }
        (before, since) = (received, now);
    }
}

impl Received {
    fn of(account: &CallAccount) -> Self {
        let mut received = Self::default();
        for purpose in Purpose::ALL {
            for outcome in Outcome::ALL {
                let traffic = account.traffic(purpose, outcome);
                let bytes = traffic.received_bytes;
                received.all += bytes;
                if matches!(outcome, Outcome::Answered | Outcome::Refused) {
                    continue;
                }
                received.unused += bytes;
                received.unused_calls += traffic.calls;
                match purpose {
                    Purpose::Config => received.config += bytes,
                    Purpose::Feed => received.feeds += bytes,
                    Purpose::Read | Purpose::List => received.reads += bytes,
                    _ => {}
                }
            }
        }
        received
    }

    const fn since(self, before: Self) -> Self {
        Self {
            all: self.all - before.all,
            unused: self.unused - before.unused,
            unused_calls: self.unused_calls - before.unused_calls,
            config: self.config - before.config,
            feeds: self.feeds - before.feeds,
            reads: self.reads - before.reads,
        }
    }
}
