//! Socket of a server's connection, which is closed without loss of what was sent last.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP stream whose shutdown ends when the peer has closed its side.
///
/// A socket that is closed while the peer still sends frames, such as window updates, resets the
/// connection, and the peer loses what it has not read.
#[derive(Debug)]
pub(crate) struct Socket {
    tcp: TcpStream,
    is_shut_down: bool,
}

impl Socket {
    pub(crate) fn new(tcp: TcpStream) -> Self {
        let is_shut_down = false;
        Self { tcp, is_shut_down }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_shut_down {
            ready!(Pin::new(&mut self.tcp).poll_shutdown(cx))?;
            self.is_shut_down = true;
        }
        let mut discarded = [0; 1 << 10];
        loop {
            let mut buf = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut self.tcp).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
