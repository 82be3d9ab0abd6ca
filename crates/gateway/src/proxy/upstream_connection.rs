//! Connections to endpoints: [`ResponseFraming`] between a stream and hyper, which sees only the response that is due.

use super::upstream_request::TRY_ID;
use crate::body_pieces::PiecesBody;
use crate::net::poll_read_some;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response};
use magpieline_http1::framing::response_framing::ResponseFraming;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite};

/// Bytes that are read at once.
const MAX_READ: usize = 8 << 10;

type SharedFraming = Arc<Mutex<ResponseFraming>>;

fn lock(framing: &SharedFraming) -> MutexGuard<'_, ResponseFraming> {
    framing.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendError {
    /// No byte of it was written, and none will be.
    NotSent,
    /// What was read was no response to it.
    InvalidResponse,
    /// The connection was lost.
    ConnectionLost,
}

/// A connection on which requests are sent.
pub(super) struct UpstreamConnection {
    sender: SendRequest<PiecesBody>,
    framing: SharedFraming,
}

impl UpstreamConnection {
    /// Begins to speak HTTP on a stream that has just come up.
    pub(super) async fn handshake<S>(stream: S) -> Option<UpstreamConnection>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let framing = SharedFraming::default();
        let io = FramedIo {
            stream,
            framing: framing.clone(),
        };
        let (sender, connection) = http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        Some(UpstreamConnection { sender, framing })
    }

    /// Whether a request may be sent at once.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready() && lock(&self.framing).is_reusable()
    }

    /// Whether no request may be sent any more.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed() || !lock(&self.framing).is_reusable()
    }

    /// Waits until the next request may be sent. Returns false if none may be, as the connection ended or more than the
    /// response came on it.
    pub(super) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok() && lock(&self.framing).is_reusable()
    }

    /// Returns a handle by which a request that is sent here can be cancelled, wherever its sending stands.
    pub(super) fn cancel_handle(&self) -> CancelHandle {
        CancelHandle(self.framing.clone())
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// If there is none; the error says whether the request may have run.
    pub(super) async fn send(
        &mut self,
        request: Request<PiecesBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let id = request
            .headers()
            .get(TRY_ID)
            .map_or(&b""[..], |id| id.as_bytes());
        let is_head_request = request.method() == Method::HEAD;
        if !lock(&self.framing).announce(id, is_head_request) {
            return Err(SendError::NotSent);
        }
        let error = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        // hyper hands back what it has not begun with; what it has begun with may be unwritten all the same.
        let mut framing = lock(&self.framing);
        if framing.cancel() {
            return Err(SendError::NotSent);
        }
        match error.error().is_parse() || framing.fault().is_some() {
            true => Err(SendError::InvalidResponse),
            false => Err(SendError::ConnectionLost),
        }
    }
}

/// Cancels a request that was handed to a connection.
pub(super) struct CancelHandle(SharedFraming);

impl CancelHandle {
    /// Cancels the request, as nobody waits for it any more. Returns true if no byte of it was written, and none will be.
    pub(super) fn cancel(self) -> bool {
        lock(&self.0).cancel()
    }
}

/// What hyper reads and writes.
struct FramedIo<S> {
    stream: S,
    framing: SharedFraming,
}

impl<S: AsyncRead + Unpin> hyper::rt::Read for FramedIo<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let FramedIo { stream, framing } = self.get_mut();
        let mut framing = lock(framing);
        loop {
            let visible = framing.visible();
            if !visible.is_empty() {
                let len = visible.len().min(into.remaining());
                into.put_slice(&visible[..len]);
                framing.consume(len);
                return Poll::Ready(Ok(()));
            }
            if framing.fault().is_some() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            let read = ready!(poll_read_some(stream, cx, MAX_READ, |bytes| framing.feed(bytes)))?;
            if read == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> hyper::rt::Write for FramedIo<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let FramedIo { stream, framing } = self.get_mut();
        let mut framing = lock(framing);
        // Nothing is sent on a connection whose next bytes belong to nobody, and nothing that was cancelled.
        if framing.fault().is_some() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let written = ready!(Pin::new(stream).poll_write_vectored(cx, parts))?;
        framing.on_written();
        Poll::Ready(Ok(written))
    }
}
