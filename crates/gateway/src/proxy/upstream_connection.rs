//! Connections to appliances: http1's echo between a stream and hyper, which sees only the answer that is due.

use crate::net::poll_some;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderName;
use hyper::{Method, Request, Response};
use magpieline_http1::framing::response_framing::Echo;
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
        let (sender, rest) = http1::handshake(Side {
            stream,
            echo: echo.clone(),
        })
        .await
        .ok()?;
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

    /// By this a request that is sent here can be called off, wherever its sending stands.
    pub fn recall(&self) -> Recall {
        Recall(self.echo.clone())
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Unanswered> {
        let id = request
            .headers()
            .get(TRY_ID)
            .map_or(&b""[..], |id| id.as_bytes());
        if !open(&self.echo).ask(id, request.method() == Method::HEAD) {
            return Err(Unanswered::Unsent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            // hyper hands back what it has not begun with; what it has begun with may be unwritten all the same.
            Err(e) => {
                let mut echo = open(&self.echo);
                Err(match echo.call_off() {
                    true => Unanswered::Unsent,
                    false if e.error().is_parse() || echo.fault().is_some() => Unanswered::Spoilt,
                    false => Unanswered::Broken,
                })
            }
        }
    }
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// No byte of it was written, and none will be.
    Unsent,
    /// What was read was no answer to it.
    Spoilt,
    /// The connection broke.
    Broken,
}

/// A request that was handed to a line.
pub struct Recall(Shared);

impl Recall {
    /// Nobody waits for it any more. True: no byte of it was written, and none will be.
    pub fn call_off(self) -> bool {
        open(&self.0).call_off()
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
        let Side { stream, echo } = self.get_mut();
        let mut echo = open(echo);
        // Nothing is sent on a connection whose next bytes belong to nobody, and nothing that was called off.
        if echo.fault().is_some() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let some = ready!(Pin::new(stream).poll_write_vectored(cx, parts))?;
        echo.written();
        Poll::Ready(Ok(some))
    }
}
