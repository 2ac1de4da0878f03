//! Pace at which a process reads tiny chunks, without I/O and clock.

use base::clock::Millis;

/// Number of chunks per ms. A chunk takes a few tenths of a microsecond on a whole core, so this leaves
/// most of the 0.09 of a core of the smallest VM.
const CHUNKS_PER_MS: u64 = 20;
/// Maximum time that a reader waits for its turn.
const MAX_WAIT: Millis = Millis(1_000);

/// Turns of the readers whose bodies have tiny chunks.
///
/// ```
/// use base::clock::Millis;
/// let mut pace = serve::chunk_pace::ChunkPace::default();
/// assert_eq!(pace.take(200, Millis(50)), Some(Millis(0)));
/// assert_eq!(pace.take(200, Millis(50)), Some(Millis(10)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ChunkPace {
    /// Time at which the next chunk may be read, in units of one chunk.
    next: u64,
}

impl ChunkPace {
    /// Returns the time after which `chunks` may be read, or `None` if too many readers wait.
    pub fn take(&mut self, chunks: u64, now: Millis) -> Option<Millis> {
        let now = now.0 * CHUNKS_PER_MS;
        let next = self.next.max(now);
        let wait = Millis((next - now) / CHUNKS_PER_MS);
        if wait > MAX_WAIT {
            return None;
        }
        self.next = next + chunks;
        Some(wait)
    }
}
