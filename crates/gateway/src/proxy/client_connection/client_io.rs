//! A client's connection as hyper reads and writes it.

use super::{ClientConnection, ClientStream, MAX_SHOWN};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// What hyper reads and writes.
pub(in crate::proxy) struct ClientIo<S>(pub(in crate::proxy) Arc<ClientConnection<S>>);

impl<S: ClientStream> hyper::rt::Read for ClientIo<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.inner();
        if inner.framing.visible().is_empty() {
            inner.advance();
            inner.fill(cx);
        }
        let visible = inner.framing.visible();
        if !visible.is_empty() {
            let len = visible.len().min(into.remaining()).min(MAX_SHOWN);
            into.put_slice(&visible[..len]);
            inner.framing.consume(inner.now, len);
            return Poll::Ready(Ok(()));
        }
        if inner.framing.body_error().is_some() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        // hyper would give up the response that it is writing; a client that sends no more may still read.
        if !inner.is_writer_waiting() {
            if let Some(kind) = inner.read_error {
                return Poll::Ready(Err(kind.into()));
            }
            if inner.is_at_end {
                return Poll::Ready(Ok(()));
            }
        }
        inner.is_reader_waiting = true;
        Poll::Pending
    }
}

impl<S: ClientStream> hyper::rt::Write for ClientIo<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    /// hyper would copy a response into a buffer of its own, whose capacity it keeps for as long as the connection lasts.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Holds no bytes back: hyper writes on until it has written all of a response or has to wait. So hyper is done with a request
    /// once that was answered and the writer isn't waiting.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let inner = &mut *self.0.inner();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(cx, parts);
        inner.on_write(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// The connection is ended by its task.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
