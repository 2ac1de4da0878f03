//! Limits of calls whose answers may be long for the link.
//!
//! How long an answer takes depends on its size and on the link, which the caller does not know. So a
//! call is given up for lack of progress: a silent connection is noticed after a fixed time, one on
//! which bytes trickle after a time that is bounded by the bytes, and an answer that arrives is waited
//! for.

use std::pin;

use base::clock::{self, Millis};
use tokio::{task, time};

use crate::exchange::Exchange;

/// Turns of the runtime in which bytes that have arrived are read before a call is given up: one each
/// for the socket, the reader and the parser.
const READ_TURNS: usize = 3;

/// Time without progress after which a call is given up.
///
/// ```
/// use base::clock::Millis;
/// use transfer::limit::Limit;
///
/// let limit = Limit::from(Millis(500));
/// assert_eq!((limit.answer, limit.pause), (Millis(500), Millis(500)));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Maximum time from sending the call to the first byte of its answer.
    pub answer: Millis,
    /// Maximum time without a further byte after the first one.
    pub pause: Millis,
}

impl From<Millis> for Limit {
    fn from(time: Millis) -> Self {
        Self {
            answer: time,
            pause: time,
        }
    }
}

impl Limit {
    /// Allows `time` for the request before that for the answer begins.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use transfer::limit::Limit;
    ///
    /// let limit = Limit::from(Millis(500)).after(Millis(300));
    /// assert_eq!((limit.answer, limit.pause), (Millis(800), Millis(500)));
    /// ```
    #[must_use]
    pub fn after(self, time: Millis) -> Self {
        Self {
            answer: self.answer + time,
            ..self
        }
    }

    /// Returns the time when a call is given up whose answer has arrived as far as `exchange` says.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use transfer::{exchange::Exchange, limit::Limit};
    ///
    /// let exchange = Exchange::default();
    /// let end = Limit::from(Millis(500)).end(&exchange);
    /// assert_eq!(end, exchange.started() + Millis(500));
    /// ```
    pub fn end(self, exchange: &Exchange) -> Millis {
        let stalled_at = exchange.stalled_at(self.pause);
        stalled_at.unwrap_or_else(|| exchange.started() + self.answer)
    }

    /// Waits for `call`, which records in `exchange` what arrives. Returns `None` if it makes no
    /// progress for too long.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use transfer::{exchange::Exchange, limit::Limit};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let (exchange, limit) = (Exchange::default(), Limit::from(Millis(10)));
    /// assert_eq!(limit.wait(&exchange, async { 1 }).await, Some(1));
    /// assert_eq!(limit.wait(&exchange, std::future::pending::<()>()).await, None);
    /// # });
    /// ```
    pub async fn wait<T>(self, exchange: &Exchange, call: impl Future<Output = T>) -> Option<T> {
        let mut call = pin::pin!(call);
        loop {
            // The first byte may bring the end forward.
            let left = self.end(exchange).since(clock::now()).min(self.pause);
            tokio::select! {
                biased;
                result = &mut call => return Some(result),
                () = time::sleep(left.to_duration()) => {}
            }
            // After a suspension of the process, what has arrived meanwhile is still unread.
            for _ in 0..READ_TURNS {
                tokio::select! {
                    biased;
                    result = &mut call => return Some(result),
                    () = task::yield_now() => {}
                }
            }
            if clock::now() >= self.end(exchange) {
                return None;
            }
        }
    }
}
