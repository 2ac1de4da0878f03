//! Memory of large answers on their way to callers.

use std::{
    cell::{Cell, RefCell},
    error,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use base::clock::{self, Millis};
use ntex::{
    http::body::{BodySize, MessageBody},
    io::IoRef,
    util::Bytes,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use crate::log_limit::LogLimits;

/// Size of the pieces in which an answer is written. The HTTP library takes the next one when it has room.
const PIECE: usize = 8 << 10;
/// Unit in which memory is taken.
const BLOCK: usize = 1 << 10;
/// Time without a piece taken after which a connection may be closed in favour of other answers.
const STALLED: Millis = Millis(100);
/// Interval at which stalled connections are looked for while an answer waits for memory.
const RETRY_INTERVAL: Millis = Millis(20);

/// Budget of the bytes of answers that callers have not taken yet.
///
/// ```
/// # use std::rc::Rc;
/// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
/// let answers = Rc::new(serve::Answers::new(1 << 20));
/// let memory = answers.reserve(1_000).await;
/// assert_eq!(answers.used(), 1_000);
/// drop(memory);
/// assert_eq!(answers.used(), 0);
/// # });
/// ```
#[derive(Debug)]
pub struct Answers {
    /// Number of blocks of the budget.
    blocks: u32,
    /// Blocks that are free; answers get theirs in the order in which they ask.
    free: Arc<Semaphore>,
    held: RefCell<Vec<Rc<Held>>>,
    stalled: Cell<u64>,
    log_limits: LogLimits,
}

/// Memory of one answer, which is freed when this is dropped.
#[derive(Debug)]
pub struct AnswerMemory {
    answers: Rc<Answers>,
    held: Rc<Held>,
    _blocks: OwnedSemaphorePermit,
}

#[derive(Debug)]
struct Held {
    bytes: usize,
    /// Connection of the caller, once the answer is written.
    io: RefCell<Option<IoRef>>,
    /// Time at which the last piece was taken.
    progress_at: Cell<Millis>,
}

impl Answers {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let blocks = limit.div_ceil(BLOCK);
        Self {
            blocks: blocks as u32,
            free: Arc::new(Semaphore::new(blocks)),
            held: RefCell::default(),
            stalled: Cell::default(),
            log_limits: LogLimits::default(),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.held.borrow().iter().map(|h| h.bytes).sum()
    }

    /// Returns how many connections were closed so far because their callers did not take their answers.
    pub const fn stalled(&self) -> u64 {
        self.stalled.get()
    }

    /// Waits for the memory of an answer; one that is larger than the budget gets all of it. While it is full,
    /// the connections close whose callers have taken nothing for 100 ms.
    pub async fn reserve(self: &Rc<Self>, bytes: usize) -> AnswerMemory {
        let blocks = (bytes.div_ceil(BLOCK) as u32).min(self.blocks);
        let acquire = self.free.clone().acquire_many_owned(blocks);
        tokio::pin!(acquire);
        let blocks = loop {
            match time::timeout(RETRY_INTERVAL.to_duration(), &mut acquire).await {
                Ok(blocks) => break blocks.expect("the semaphore is never closed"),
                Err(_) => self.close_stalled(clock::now()),
            }
        };
        let held = Rc::new(Held {
            bytes,
            io: RefCell::default(),
            progress_at: Cell::new(clock::now()),
        });
        self.held.borrow_mut().push(held.clone());
        AnswerMemory {
            answers: self.clone(),
            held,
            _blocks: blocks,
        }
    }

    /// Closes the connections whose callers have taken nothing for a while. Their memory is freed when the
    /// library drops the bodies.
    fn close_stalled(&self, now: Millis) {
        let held = self.held.borrow();
        let is_stalled = |h: &&Rc<Held>| now.since(h.progress_at.get()) >= STALLED;
        let stalled: Vec<IoRef> = held
            .iter()
            .filter(is_stalled)
            .filter_map(|h| h.io.take())
            .collect();
        drop(held);
        for io in stalled {
            io.terminate();
            self.stalled.set(self.stalled.get() + 1);
            if let Some(suppressed) = self.log_limits.take("stalled") {
                let (total, bytes) = (self.stalled(), self.used());
                log::info!(suppressed, total, bytes; "answers: connection closed, its caller takes nothing");
            }
        }
    }
}

impl Drop for AnswerMemory {
    fn drop(&mut self) {
        let mut held = self.answers.held.borrow_mut();
        held.retain(|h| !Rc::ptr_eq(h, &self.held));
    }
}

/// Body of an answer whose memory counts until the caller has taken it.
#[derive(Debug)]
pub struct AnswerBody {
    bytes: bytes::Bytes,
    memory: Rc<AnswerMemory>,
}

impl AnswerBody {
    /// Creates the body of an answer that is written to `io`.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use ntex::http::body::{BodySize, MessageBody};
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let answers = Rc::new(serve::Answers::new(1 << 20));
    /// let memory = Rc::new(answers.reserve(4).await);
    /// let body = serve::AnswerBody::new("text".into(), memory, None);
    /// assert_eq!(body.size(), BodySize::Sized(4));
    /// # });
    /// ```
    pub fn new(bytes: bytes::Bytes, memory: Rc<AnswerMemory>, io: Option<IoRef>) -> Self {
        memory.held.progress_at.set(clock::now());
        memory.held.io.replace(io);
        Self { bytes, memory }
    }
}

impl MessageBody for AnswerBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn error::Error>>>> {
        self.memory.held.progress_at.set(clock::now());
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let piece = self.bytes.split_to(PIECE.min(self.bytes.len()));
        Poll::Ready(Some(Ok(Bytes::copy_from_slice(&piece))))
    }
}
