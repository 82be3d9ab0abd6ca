//! Connections to appliances: furrow's echo between a stream and hyper, which sees only the answer that is due.

use crate::net::poll_some;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::client::conn::TrySendError;
use hyper::header::HeaderName;
use hyper::{Method, Request, Response};
use magpieline_furrow::framing::echo::Echo;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite};

const TRY_ID: HeaderName = HeaderName::from_static("try-id");
/// Read at once.
const MOST_READ: usize = 8 << 10;

type Shared = Arc<Mutex<Echo>>;

fn open(echo: &Shared) -> MutexGuard<'_, Echo> {
    echo.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection on which requests are sent.
pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    echo: Shared,
}

impl Line {
    /// Puts a line on a stream that has just come up.
    pub async fn new<S>(stream: S) -> Option<Line>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let echo = Shared::default();
        let (sender, rest) = http1::handshake(Side { stream, echo: echo.clone() }).await.ok()?;
        tokio::spawn(rest);
        Some(Line { sender, echo })
    }

    /// Whether a request may be sent at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && open(&self.echo).usable()
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || !open(&self.echo).usable()
    }

    /// Waits until the next request may be sent. False: none may be, as the connection ended or more than the answer
    /// came on it.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok() && open(&self.echo).usable()
    }

    /// What was read was no answer to the request; not only the connection broke.
    pub fn spoilt(&self) -> bool {
        open(&self.echo).fault().is_some()
    }

    pub async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let id = request.headers().get(TRY_ID).map_or(&b""[..], |id| id.as_bytes());
        // Where it may not be asked the connection is at its end, and hands the request back.
        open(&self.echo).ask(id, request.method() == Method::HEAD);
        self.sender.try_send_request(request).await
    }
}

/// What hyper reads and writes.
struct Side<S> {
    stream: S,
    echo: Shared,
}

impl<S: AsyncRead + Unpin> hyper::rt::Read for Side<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Side { stream, echo } = self.get_mut();
        let mut echo = open(echo);
        loop {
            let shown = echo.shown();
            if !shown.is_empty() {
                let some = shown.len().min(into.remaining());
                into.put_slice(&shown[..some]);
                echo.took(some);
                return Poll::Ready(Ok(()));
            }
            if echo.fault().is_some() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            if ready!(poll_some(stream, cx, MOST_READ, |bytes| echo.feed(bytes)))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> hyper::rt::Write for Side<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        // Nothing is sent on a connection whose next bytes belong to nobody.
        if open(&self.echo).fault().is_some() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let some = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts))?;
        open(&self.echo).written();
        Poll::Ready(Ok(some))
    }
}
