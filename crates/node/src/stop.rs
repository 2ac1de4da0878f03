//! Planned stop of a node: it drains its listeners and ends once all requests are answered.

use base::clock::{self, Millis};
use ntex::rt::JoinHandle;
use serve::Connections;

use crate::cx::{self, Cx};

/// Time after the signal in which new connections are accepted. The balancer checks once a second
/// and removes an entry after two failures.
const DRAIN_TIME: Millis = Millis(2_600);
/// Time by which the process exits before the end of the grace period, at the latest.
const EXIT_MARGIN: Millis = Millis(700);
/// Time before the exit by which each request is answered, if only with a refusal.
const ANSWER_TIME: Millis = Millis(300);

/// Times of the parts of a planned stop.
#[derive(Clone, Copy, Debug)]
struct Times {
    /// When the listener and idle connections are closed.
    close_at: Millis,
    /// When the requests under way are refused.
    answer_by: Millis,
    exit_by: Millis,
}

impl Times {
    /// A third of the time at least is left to the requests under way.
    fn new(signalled: Millis, grace: Millis) -> Self {
        let exit = grace.since(EXIT_MARGIN);
        let answer = exit.since(ANSWER_TIME);
        let close = DRAIN_TIME.min(Millis(answer.0 / 3 * 2));
        Self {
            close_at: signalled + close,
            answer_by: signalled + answer,
            exit_by: signalled + exit,
        }
    }
}

/// A listener whose connections can be closed.
#[derive(Debug)]
pub(crate) struct Listener {
    pub(crate) connections: Connections,
    /// Task that ends when all connections have ended.
    pub(crate) served: JoinHandle<()>,
}

impl Listener {
    /// Closes the connections and waits until they have ended or `until` has come; returns whether
    /// they have.
    async fn close(&mut self, until: Millis) -> bool {
        self.connections.close();
        within(until, &mut self.served).await
    }
}

/// Stops a node that got its signal at `signalled`. Callers are drained first; the operators'
/// listeners and the readiness check are served until the callers have their answers.
pub(crate) async fn stop(
    cx: &Cx,
    signalled: Millis,
    mut callers: Listener,
    mut others: [Listener; 2],
    mut lease: JoinHandle<()>,
) {
    cx.stopping.set(true);
    let arrived = cx.requests.arrived();
    log::info!(requests = cx.requests.count(), connections = cx.connections.open(); "node: stopping");
    cx.lease.borrow_mut().stop();
    cx.wake_lease_task.notify_one();
    let Times {
        close_at,
        answer_by,
        exit_by,
    } = Times::new(signalled, cx.cfg.grace_ms);
    cx::sleep(close_at.since(clock::now())).await;
    log::info!(requests = cx.requests.count(), connections = cx.connections.open(); "node: closing connections");
    if !callers.close(answer_by).await {
        log::warn!(requests = cx.requests.count(); "node: requests under way are refused");
        cx.answers_due.send_replace(true);
        callers.close(exit_by).await;
    }
    let now = clock::now();
    let oldest = cx.requests.oldest().map_or(0, |at| now.since(at).0);
    log::info!(
        requests = cx.requests.count(), oldest_ms = oldest, connections = cx.connections.open(),
        arrived = cx.requests.arrived() - arrived, ms = now.since(signalled).0;
        "node: callers drained"
    );
    if !within(exit_by, &mut lease).await {
        log::warn!("node: the lease was not released in time");
    }
    let [a, b] = &mut others;
    tokio::join!(a.close(exit_by), b.close(exit_by));
    log::info!(ms = clock::now().since(signalled).0; "node: stopped");
}

/// Returns whether a future ends before `until`.
async fn within(until: Millis, f: impl Future) -> bool {
    let remaining = until.since(clock::now()).to_duration();
    tokio::time::timeout(remaining, f).await.is_ok()
}
