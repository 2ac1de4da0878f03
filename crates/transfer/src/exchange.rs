//! Progress of a call and its answer.

use std::cell::Cell;

use base::clock::{self, Millis};

/// Rate, in bytes per ms, at which an answer should arrive at least. A link of 2 Mbit/s carries 15
/// answers at once at this rate.
const MIN_RATE: u64 = 16;
/// Maximum time by which an answer may fall behind that rate while bytes arrive.
const MAX_BEHIND: Millis = Millis(4_000);
/// Bytes of other answers that may arrive between two pieces of one on the same link.
const MAX_QUEUED: u64 = 128 << 10;
/// Maximum of the pause that is taken for usual.
const MAX_USUAL_PAUSE: Millis = Millis(2_000);

/// When a call was sent, and what has arrived of its answer so far.
///
/// ```
/// use transfer::exchange::Exchange;
///
/// let exchange = Exchange::default();
/// exchange.record(1_000);
/// assert_eq!(exchange.bytes(), 1_000);
/// ```
#[derive(Debug)]
pub struct Exchange {
    started: Cell<Millis>,
    bytes: Cell<usize>,
    first: Cell<Option<Millis>>,
    last: Cell<Option<Millis>>,
    /// Time until which the bytes so far suffice at [`MIN_RATE`], at most that of the last byte.
    on_time: Cell<Millis>,
}

impl Default for Exchange {
    fn default() -> Self {
        Self {
            started: Cell::new(clock::now()),
            bytes: Cell::default(),
            first: Cell::default(),
            last: Cell::default(),
            on_time: Cell::default(),
        }
    }
}

impl Exchange {
    /// Records that the call is sent now rather than when this value was created.
    ///
    /// ```
    /// transfer::exchange::Exchange::default().start();
    /// ```
    pub fn start(&self) {
        self.started.set(clock::now());
    }

    /// Records that `bytes` bytes have arrived now. The head of an answer counts as 0.
    ///
    /// ```
    /// transfer::exchange::Exchange::default().record(1_000);
    /// ```
    pub fn record(&self, bytes: usize) {
        let now = clock::now();
        self.bytes.set(self.bytes.get() + bytes);
        let covered = Millis(bytes as u64 / MIN_RATE);
        let on_time = self
            .last
            .get()
            .map_or(now, |_| self.on_time.get() + covered);
        self.on_time.set(on_time.min(now));
        self.first.set(self.first.get().or(Some(now)));
        self.last.set(Some(now));
    }

    /// Returns the time when the call was sent.
    ///
    /// ```
    /// assert!(transfer::exchange::Exchange::default().started() <= base::clock::now());
    /// ```
    pub const fn started(&self) -> Millis {
        self.started.get()
    }

    /// Returns the number of bytes that have arrived.
    ///
    /// ```
    /// assert_eq!(transfer::exchange::Exchange::default().bytes(), 0);
    /// ```
    pub const fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns the time of the first byte, or `None` before it.
    ///
    /// ```
    /// assert_eq!(transfer::exchange::Exchange::default().first(), None);
    /// ```
    pub const fn first(&self) -> Option<Millis> {
        self.first.get()
    }

    /// Returns the time of the last byte so far, or `None` before the first one.
    ///
    /// ```
    /// assert_eq!(transfer::exchange::Exchange::default().last(), None);
    /// ```
    pub const fn last(&self) -> Option<Millis> {
        self.last.get()
    }

    /// Returns the time from the first byte to the last one so far.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert_eq!(transfer::exchange::Exchange::default().duration(), Millis::ZERO);
    /// ```
    pub fn duration(&self) -> Millis {
        let times = self.first.get().zip(self.last.get());
        times.map_or(Millis::ZERO, |(first, last)| last.since(first))
    }

    /// Returns the time from which on the answer counts as stalled unless more of it arrives: `pause`
    /// after its last byte, later on a link that explains a longer pause, and earlier if its bytes
    /// trickle. Returns `None` before its first byte.
    ///
    /// ```
    /// use base::clock::Millis;
    ///
    /// let exchange = transfer::exchange::Exchange::default();
    /// assert_eq!(exchange.stalled_at(Millis(500)), None);
    /// exchange.record(100);
    /// assert_eq!(exchange.stalled_at(Millis(500)), exchange.last().map(|t| t + Millis(500)));
    /// ```
    pub fn stalled_at(&self, pause: Millis) -> Option<Millis> {
        let silent_at = self.last.get()? + pause.max(self.usual_pause());
        Some(silent_at.min(self.on_time.get() + MAX_BEHIND))
    }

    /// Returns the pause between two pieces that is usual on a link which this answer shares with
    /// others, by the rate at which it has arrived so far.
    fn usual_pause(&self) -> Millis {
        let pause = MAX_QUEUED * self.duration().0;
        let pause = pause.checked_div(self.bytes.get() as u64);
        pause.map_or(Millis::ZERO, Millis).min(MAX_USUAL_PAUSE)
    }
}
