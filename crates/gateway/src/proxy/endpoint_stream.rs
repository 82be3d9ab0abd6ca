//! A connection to an endpoint, which may read a long request slowly.

use crate::net;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A request of more bytes may find the endpoint's window closed.
const LONG_REQUEST_BYTES: usize = 4 << 10;

/// The system gives up an endpoint that acknowledges nothing for a while, so that what it has not answered can go elsewhere. It also
/// counts the time for which the endpoint's window is closed, so it does not while a long request is unanswered: the attempt's
/// deadline bounds that.
pub(super) struct EndpointStream {
    stream: TcpStream,
    /// Bytes written since something was read.
    unanswered_bytes: usize,
}

impl EndpointStream {
    pub(super) fn new(stream: TcpStream) -> EndpointStream {
        EndpointStream {
            stream,
            unanswered_bytes: 0,
        }
    }

    fn is_long(&self) -> bool {
        self.unanswered_bytes > LONG_REQUEST_BYTES
    }

    fn on_written(&mut self, bytes: usize) -> io::Result<()> {
        let was_long = self.is_long();
        self.unanswered_bytes += bytes;
        if self.is_long() && !was_long {
            net::allow_silence(&self.stream)?;
        }
        Ok(())
    }

    fn on_read(&mut self) -> io::Result<()> {
        let was_long = self.is_long();
        self.unanswered_bytes = 0;
        if was_long {
            net::limit_silence(&self.stream)?;
        }
        Ok(())
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, into))?;
        if into.filled().len() > before {
            self.on_read()?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.on_written(written)?;
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts))?;
        self.on_written(written)?;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
