//! Request bodies: reading within limits of size, memory, time and processor time.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use derive_more::Display;
use ntex::{
    http::{HeaderMap, Payload, header},
    util::Bytes,
};
use tokio::{sync::Notify, time};

use crate::{
    budget::{Budget, Decision},
    chunk_pace::ChunkPace,
    log_limit::LogLimit,
    turns::Turns,
};

/// Maximum number of chunks of one body: 256 KiB in chunks of 16 bytes.
const MAX_CHUNKS: u64 = 16 << 10;
/// Number of chunks that a reader takes in a row before others have their turn.
const CHUNKS_IN_A_ROW: u64 = 64;
/// Mean size below which chunks in a row count as tiny: they are read at the pace of the process. The
/// segments of a network are larger.
const TINY_CHUNK: usize = 64;
/// Memory of the HTTP library for the chunks of one read: 341 chunks of one byte fit into
/// [`READ_BUFFER`], each takes 32 bytes in its queue, which grows by doubling.
const TINY_CHUNK_QUEUE: usize = 16 << 10;
/// Size of the HTTP library's read buffer of each connection. It parses all chunks in it at once: with
/// 4 KiB, 600 connections with tiny chunks still put a lease at risk.
pub(crate) const READ_BUFFER: usize = 2 << 10;
/// Size up to which a body is decoded in the turn of the runtime in which it was read whole. Decoding a
/// larger one takes some ms.
const SMALL_BODY: usize = 16 << 10;
/// Time in which a body that is refused by its declared length may still arrive.
const SKIP_TIME: Millis = Millis(500);
/// Size up to which it may, as a multiple of the limit.
const SKIPPED_PART: usize = 4;
/// Interval at which refused bodies are logged, by cause.
const LOG_INTERVAL: Millis = Millis(5_000);

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[display("too_large")]
    TooLarge,
    /// The connection was closed before the end of the body, or the body is malformed.
    #[display("broken")]
    Broken,
    /// The body did not arrive within its time limit.
    #[display("too_slow")]
    TooSlow,
    /// The memory or the processor time for bodies is used up, and this body gave way.
    #[display("full")]
    Full,
    /// The body has too many chunks.
    #[display("chunks")]
    Chunks,
    /// The header of a chunk, or a head, has no end within the limit.
    #[display("line")]
    Line,
}

impl BodyError {
    /// All causes.
    const ALL: [Self; 6] = [
        Self::TooLarge,
        Self::Broken,
        Self::TooSlow,
        Self::Full,
        Self::Chunks,
        Self::Line,
    ];
}

/// What is known about a body before it is read.
#[derive(Clone, Debug)]
pub struct BodySpec {
    /// Organisation of the caller, which has a share of the memory.
    pub organisation: Option<Arc<str>>,
    /// Length that the caller declares.
    pub declared: Option<usize>,
    /// Maximum size.
    pub max_bytes: usize,
    /// Time limit.
    pub timeout: Millis,
}

/// Bodies under way in one process; all its readers share the budget.
///
/// ```
/// assert_eq!(serve::Bodies::new(1 << 20, 1).used(), 0);
/// ```
#[derive(Debug)]
pub struct Bodies {
    budget: RefCell<Budget>,
    /// Copies that are counted for each byte.
    copies: usize,
    pace: RefCell<ChunkPace>,
    readers: RefCell<SortedMap<u64, Rc<Notify>>>,
    /// Notified when memory was freed.
    freed: Notify,
    /// Order in which large bodies are decoded.
    decoding: Rc<Turns>,
    refused: RefCell<SortedMap<BodyError, Refused>>,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    count: u64,
    log_limit: LogLimit,
}

impl Default for Refused {
    fn default() -> Self {
        Self {
            count: 0,
            log_limit: LogLimit::new(1, LOG_INTERVAL),
        }
    }
}

/// A body that was read whole. Its memory counts as used until this is dropped.
#[derive(Debug)]
pub struct Body {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Their memory in the budget.
    pub memory: Memory,
}

/// Memory of a body in the budget, which is freed when this is dropped.
#[derive(Debug)]
pub struct Memory {
    bodies: Rc<Bodies>,
    id: u64,
}

impl Body {
    /// Waits until the body may be decoded: one large body in each turn of the runtime, in the order in which
    /// they were read.
    ///
    /// ```no_run
    /// # async fn f(body: serve::Body) {
    /// body.decoding().await;
    /// let text = std::str::from_utf8(&body.bytes);
    /// # }
    /// ```
    pub async fn decoding(&self) {
        if self.bytes.len() > SMALL_BODY {
            let decoding = self.memory.bodies.decoding.clone();
            decoding.take(decoding.latest()).await;
        }
    }

    /// Frees the bytes, and returns their memory in the budget, which still counts.
    pub fn into_memory(self) -> Memory {
        self.memory
    }
}

impl Memory {
    /// Changes the number of bytes that count, such as when a body has been decoded. More bytes may have to
    /// wait for the end of other bodies.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Full`] if the memory is full and this body gives way.
    ///
    /// ```
    /// # use std::rc::Rc;
    /// # use base::clock::Millis;
    /// # use serve::{Bodies, BodySpec};
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let bodies = Rc::new(Bodies::new(1 << 20, 2));
    /// let spec = BodySpec {
    ///     organisation: None, declared: None, max_bytes: 100, timeout: Millis(3_000),
    /// };
    /// let body = bodies.read(ntex::http::Payload::None, spec).await.unwrap();
    /// let memory = body.into_memory();
    /// memory.resize(5_000).await.unwrap();
    /// assert_eq!(bodies.used(), 5_000);
    /// # });
    /// ```
    pub async fn resize(&self, bytes: usize) -> Result<(), BodyError> {
        let kept = self.bodies.budget.borrow_mut().shrink(self.id, bytes);
        if bytes <= kept {
            self.bodies.freed.notify_waiters();
            return Ok(());
        }
        let reserved = self.bodies.reserve(self.id, bytes - kept).await;
        reserved.inspect_err(|e| self.bodies.count_refusal(*e, None))
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.bodies.budget.borrow_mut().end(self.id);
        self.bodies.readers.borrow_mut().remove(&self.id);
        self.bodies.freed.notify_waiters();
    }
}

/// Returns the declared length of a body, if there is a valid one.
///
/// ```
/// let headers = ntex::http::HeaderMap::new();
/// assert_eq!(serve::declared_length(&headers), None);
/// ```
pub fn declared_length(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

impl Bodies {
    /// Creates a budget of `limit` bytes, in which each byte of a body counts `copies` times.
    pub fn new(limit: usize, copies: usize) -> Self {
        Self {
            budget: RefCell::new(Budget::new(limit)),
            copies,
            pace: RefCell::default(),
            readers: RefCell::default(),
            freed: Notify::new(),
            decoding: Rc::new(Turns::new(1)),
            refused: RefCell::default(),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.budget.borrow().used()
    }

    /// Returns the number of bodies under way.
    pub fn under_way(&self) -> usize {
        self.budget.borrow().bodies()
    }

    /// Returns how many bodies were refused so far, for each cause.
    pub fn refused(&self) -> Vec<(BodyError, u64)> {
        let refused = self.refused.borrow();
        let count = |e| refused.get(&e).map_or(0, |r: &Refused| r.count);
        BodyError::ALL.into_iter().map(|e| (e, count(e))).collect()
    }

    /// Makes the largest and slowest body give way in favour of another connection. Returns whether there
    /// is one.
    pub fn shed_one(&self) -> bool {
        let shed = self.budget.borrow_mut().shed_one(clock::now());
        self.notify(shed.as_slice());
        shed.is_some()
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds a limit, gives way to others, or is incomplete or malformed.
    pub async fn read(
        self: &Rc<Self>,
        payload: Payload,
        spec: BodySpec,
    ) -> Result<Body, BodyError> {
        let (organisation, declared) = (spec.organisation.clone(), spec.declared);
        let now = clock::now();
        let id = self.budget.borrow_mut().begin(organisation, declared, now);
        let told = Rc::new(Notify::new());
        self.readers.borrow_mut().insert(id, told.clone());
        let memory = Memory {
            bodies: self.clone(),
            id,
        };
        let reader = Reader {
            bodies: self,
            spec: &spec,
            kept: Some(id),
        };
        let result = tokio::select! {
            result = reader.read_in_time(payload) => result,
            () = told.notified() => Err(BodyError::Full),
        };
        // The body may have given way in the turn of the runtime in which its end arrived.
        let result = result.and_then(|bytes| {
            let stays = self.budget.borrow_mut().complete(id);
            stays.then_some(bytes).ok_or(BodyError::Full)
        });
        let bytes = result.inspect_err(|e| self.count_refusal(*e, spec.organisation.as_deref()))?;
        Ok(Body { bytes, memory })
    }

    /// Reads a body and drops its bytes as they arrive, so that the connection can go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds a limit, or is incomplete or malformed.
    pub async fn discard(&self, payload: Payload, spec: BodySpec) -> Result<(), BodyError> {
        let reader = Reader {
            bodies: self,
            spec: &spec,
            kept: None,
        };
        let result = reader.read_in_time(payload).await;
        result
            .inspect_err(|e| self.count_refusal(*e, spec.organisation.as_deref()))
            .map(drop)
    }

    async fn reserve(&self, id: u64, bytes: usize) -> Result<(), BodyError> {
        loop {
            let freed = self.freed.notified();
            let now = clock::now();
            let decision = self.budget.borrow_mut().reserve(id, bytes, now);
            match decision {
                Decision::Granted(shed) => {
                    self.notify(&shed);
                    return Ok(());
                }
                Decision::Shed => return Err(BodyError::Full),
                Decision::Wait => {}
            }
            freed.await;
        }
    }

    fn notify(&self, ids: &[u64]) {
        let readers = self.readers.borrow();
        for told in ids.iter().filter_map(|id| readers.get(id)) {
            told.notify_one();
        }
    }

    pub(crate) fn count_refusal(&self, error: BodyError, organisation: Option<&str>) {
        let mut refused = self.refused.borrow_mut();
        let refused = refused.get_or_default(error);
        refused.count += 1;
        let Some(suppressed) = refused.log_limit.take(clock::now()) else {
            return;
        };
        let count = suppressed + 1;
        let (bytes, bodies) = (self.used(), self.under_way());
        log::info!(
            cause:% = error, count, total = refused.count, organisation, bytes, bodies;
            "bodies: refused"
        );
    }
}

/// Reader of one body.
struct Reader<'a> {
    bodies: &'a Bodies,
    spec: &'a BodySpec,
    /// Id of the body in the budget; `None` if its bytes are dropped.
    kept: Option<u64>,
}

impl Reader<'_> {
    async fn read_in_time(&self, payload: Payload) -> Result<Vec<u8>, BodyError> {
        let is_too_large = self.spec.declared.is_some_and(|d| d > self.spec.max_bytes);
        if is_too_large {
            return self.skip(payload).await;
        }
        let read = self.read(payload);
        let read = time::timeout(self.spec.timeout.to_duration(), read).await;
        read.unwrap_or(Err(BodyError::TooSlow))
    }

    /// Drops the begin of a body whose declared length is too large, and refuses it. A connection that
    /// is closed with unread bytes is reset, which can lose the answer.
    async fn skip(&self, payload: Payload) -> Result<Vec<u8>, BodyError> {
        let max_bytes = self.spec.max_bytes.saturating_mul(SKIPPED_PART);
        let spec = BodySpec {
            max_bytes,
            ..self.spec.clone()
        };
        let reader = Reader {
            bodies: self.bodies,
            spec: &spec,
            kept: None,
        };
        let timeout = self.spec.timeout.min(SKIP_TIME);
        let _ = time::timeout(timeout.to_duration(), reader.read(payload)).await;
        Err(BodyError::TooLarge)
    }

    async fn read(&self, mut payload: Payload) -> Result<Vec<u8>, BodyError> {
        if let Payload::H1(payload) = &payload {
            // The library reads on only when its queue is empty.
            payload.max_buffer_size(1);
        }
        let mut body = Vec::new();
        let (mut len, mut chunks, mut len_before, mut has_queue) = (0, 0, 0, false);
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|_| BodyError::Broken)?;
            len += chunk.len();
            chunks += 1;
            if len > self.spec.max_bytes {
                return Err(BodyError::TooLarge);
            }
            if let Some(id) = self.kept {
                self.bodies
                    .reserve(id, chunk.len() * self.bodies.copies)
                    .await?;
                self.append(&mut body, &chunk);
            }
            drop(chunk);
            if chunks % CHUNKS_IN_A_ROW != 0 {
                continue;
            }
            let is_tiny = len - len_before < CHUNKS_IN_A_ROW as usize * TINY_CHUNK;
            if let (Some(id), true, false) = (self.kept, is_tiny, has_queue) {
                self.bodies.reserve(id, TINY_CHUNK_QUEUE).await?;
                has_queue = true;
            }
            len_before = len;
            self.take_turn(chunks, is_tiny).await?;
        }
        Ok(body)
    }

    /// Appends a chunk. Capacity beyond the bytes received is not touched, so it takes no memory.
    fn append(&self, body: &mut Vec<u8>, chunk: &Bytes) {
        let len = body.len() + chunk.len();
        if len > body.capacity() {
            let max = self.spec.declared.unwrap_or(self.spec.max_bytes);
            let capacity = (2 * body.capacity()).min(max).max(len);
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(chunk);
    }

    /// Lets others run, and keeps tiny chunks to the pace of the process.
    async fn take_turn(&self, chunks: u64, is_tiny: bool) -> Result<(), BodyError> {
        if chunks >= MAX_CHUNKS {
            return Err(BodyError::Chunks);
        }
        if !is_tiny {
            tokio::task::yield_now().await;
            return Ok(());
        }
        let wait = self
            .bodies
            .pace
            .borrow_mut()
            .take(CHUNKS_IN_A_ROW, clock::now());
        match wait {
            None => Err(BodyError::Full),
            Some(Millis::ZERO) => {
                tokio::task::yield_now().await;
                Ok(())
            }
            Some(wait) => {
                time::sleep(wait.to_duration()).await;
                Ok(())
            }
        }
    }
}
