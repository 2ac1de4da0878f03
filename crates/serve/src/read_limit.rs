//! Limit of the bytes that a connection keeps until the HTTP library has decoded them.

use std::{
    any, io,
    rc::Rc,
    task::{Context, Poll},
};

use ntex::io::{Filter, FilterCtx, Io, Readiness};

use crate::bodies::{Bodies, BodyError, READ_BUFFER};

/// Maximum size of the head of a request.
pub(crate) const MAX_HEAD: usize = 16 << 10;
/// Maximum number of bytes that are received and not decoded. The library refuses a head that is too
/// large itself, so this leaves room for one read more.
const MAX_UNDECODED: usize = MAX_HEAD + READ_BUFFER;

/// Filter of a connection that ends it when too many bytes wait to be decoded. The library keeps the
/// header of a chunk until its end, whatever its length, and looks for the end again after each read.
#[derive(Debug)]
pub struct ReadLimit<F> {
    inner: F,
    bodies: Rc<Bodies>,
}

/// Limits the bytes that a connection keeps until they are decoded. A connection that exceeds the limit
/// is closed and counted in `bodies`.
///
/// ```no_run
/// # fn f(io: ntex::io::Io, bodies: std::rc::Rc<serve::Bodies>) {
/// let io = serve::limit_reads(io, bodies);
/// # }
/// ```
pub fn limit_reads<F: Filter>(io: Io<F>, bodies: Rc<Bodies>) -> Io<ReadLimit<F>> {
    io.map_filter(|inner| ReadLimit { inner, bodies })
}

impl<F: Filter> Filter for ReadLimit<F> {
    fn query(&self, id: any::TypeId) -> Option<Box<dyn any::Any>> {
        self.inner.query(id)
    }

    fn process_read_buf(&self, cx: &mut FilterCtx<'_>) -> io::Result<()> {
        self.inner.process_read_buf(cx)?;
        let bytes = cx.read_dst_size();
        if bytes <= MAX_UNDECODED {
            return Ok(());
        }
        self.bodies.count_refusal(BodyError::Line, None);
        let problem = format!("{bytes} bytes without the end of a head or of a chunk's header");
        Err(io::Error::new(io::ErrorKind::InvalidData, problem))
    }

    fn process_write_buf(&self, cx: &mut FilterCtx<'_>) -> io::Result<()> {
        self.inner.process_write_buf(cx)
    }

    fn shutdown(&self, cx: &mut FilterCtx<'_>) -> io::Result<Poll<()>> {
        self.inner.shutdown(cx)
    }

    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<Readiness> {
        self.inner.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<Readiness> {
        self.inner.poll_write_ready(cx)
    }
}
