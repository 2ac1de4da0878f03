//! Bytes of an answer as they arrive.

use std::cell::Cell;

use base::clock::{self, Millis};

/// Bytes of the answer to a call that have arrived so far.
///
/// ```
/// use transfer::arrival::Arrival;
///
/// let arrival = Arrival::default();
/// arrival.record(1_000);
/// assert_eq!(arrival.bytes(), 1_000);
/// ```
#[derive(Debug, Default)]
pub struct Arrival {
    bytes: Cell<usize>,
    first: Cell<Option<Millis>>,
    last: Cell<Option<Millis>>,
}

impl Arrival {
    /// Records that `bytes` bytes have arrived now. The head of an answer counts as 0.
    ///
    /// ```
    /// transfer::arrival::Arrival::default().record(1_000);
    /// ```
    pub fn record(&self, bytes: usize) {
        let now = clock::now();
        self.bytes.set(self.bytes.get() + bytes);
        self.first.set(self.first.get().or(Some(now)));
        self.last.set(Some(now));
    }

    /// Returns the number of bytes that have arrived.
    ///
    /// ```
    /// assert_eq!(transfer::arrival::Arrival::default().bytes(), 0);
    /// ```
    pub const fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns the time of the first byte, or `None` before it.
    ///
    /// ```
    /// assert_eq!(transfer::arrival::Arrival::default().first(), None);
    /// ```
    pub const fn first(&self) -> Option<Millis> {
        self.first.get()
    }

    /// Returns the time of the last byte so far, or `None` before the first one.
    ///
    /// ```
    /// assert_eq!(transfer::arrival::Arrival::default().last(), None);
    /// ```
    pub const fn last(&self) -> Option<Millis> {
        self.last.get()
    }

    /// Returns the time from the first byte to the last one so far.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert_eq!(transfer::arrival::Arrival::default().duration(), Millis::ZERO);
    /// ```
    pub fn duration(&self) -> Millis {
        let times = self.first.get().zip(self.last.get());
        times.map_or(Millis::ZERO, |(first, last)| last.since(first))
    }
}
