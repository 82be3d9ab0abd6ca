//! A connection that notes how far things went, for those who have to prove it.

use crate::memory::signal::Signal;
use actix_service::ServiceExt;
use actix_tls::connect::{Connection, Connector, Resolver};
use awc::Client;
use http::Uri;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a forward's connection has seen of it.
#[derive(Default)]
pub struct Trace {
    /// Whether anything was offered for writing.
    pub begun: Cell<bool>,
    /// Whether the last write took less than it was offered: then the last byte was never written.
    pub short: Cell<bool>,
    /// Whether the other side's sending has ended since the last write.
    pub ended: Cell<bool>,
}

impl Trace {
    /// Whether all that was to be sent may have gone; else the other side provably never had the whole of it.
    pub fn carried(&self) -> bool {
        self.begun.get() && !self.short.get()
    }
}

tokio::task_local! {
    /// The trace of the forward being polled. The client library does not say which connection it uses.
    pub static TRACE: Rc<Trace>;
}

/// A TCP connection of either side.
pub struct Line {
    stream: TcpStream,
    /// Given once the other side has ended its sending.
    pub departure: Rc<Signal>,
}

impl Line {
    pub fn new(stream: TcpStream) -> Line {
        // A head or body must not wait for the other side's acknowledgement. If this fails it is only slower.
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("no delay: {e}");
        }
        Line { stream, departure: Rc::default() }
    }
}

impl std::fmt::Debug for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let ended = match &read {
            Poll::Ready(Ok(())) => buf.filled().len() == before && buf.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if ended {
            self.departure.give();
            let _ = TRACE.try_with(|t| t.ended.set(true)); // none on the clients' side
        }
        read
    }
}

impl Line {
    fn note_write(written: &Poll<io::Result<usize>>, offered: usize) {
        // The clients' side has no trace.
        let _ = TRACE.try_with(|t| {
            t.begun.set(true);
            // An idle connection that was found closed, and left alone, has set it: this is another one.
            t.ended.set(false);
            t.short.set(!matches!(written, Poll::Ready(Ok(n)) if *n == offered));
        });
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        Line::note_write(&written, buf.len());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl actix_rt::net::ActixStream for Line {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<actix_rt::net::Ready>> {
        actix_rt::net::ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<actix_rt::net::Ready>> {
        actix_rt::net::ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// The client library with this project's connections under it: it follows no redirects, resends nothing,
/// adds no headers, sets no time-outs of its own but for the connect, and drops connections that have been
/// idle too long when it would next use them.
pub fn client(connect: Duration, idle: Duration) -> Client {
    let lines = Connector::new(Resolver::default()).service().map(|made: Connection<Uri, TcpStream>| {
        let (stream, uri) = made.into_parts();
        Connection::new(uri, Line::new(stream))
    });
    let connector = awc::Connector::new()
        .connector(lines)
        .limit(0) // what is forwarded is the decisions' choice
        .timeout(connect)
        .conn_keep_alive(idle)
        .conn_lifetime(Duration::MAX); // a connection in use does not age
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// Whether anything of the call being polled was offered for writing.
pub fn begun() -> bool {
    TRACE.try_with(|t| t.begun.get()).unwrap_or(false)
}

/// Whether the other side's sending ended while its answer was read: one in pieces is whole before that.
pub fn ended() -> bool {
    TRACE.try_with(|t| t.ended.get()).unwrap_or(false)
}

/// Follows a call from outside, noting how far its connection got.
pub async fn traced<F: Future>(call: F) -> (F::Output, Rc<Trace>) {
    let trace = Rc::<Trace>::default();
    (TRACE.scope(trace.clone(), call).await, trace)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{run, server};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    /// A node that resets a connection as it is written to: what the write did not take never arrived.
    #[test]
    fn a_write_that_fails_is_noted_as_short_and_one_that_is_taken_as_whole() {
        run(async {
            let address = server(|stream| async move { drop(stream) }).await;
            let (_, trace) = traced(async {
                let mut line = Line::new(TcpStream::connect(address).await.expect("connected"));
                assert!(line.write_all(b"GET").await.is_ok());
                assert!(TRACE.with(|t| t.begun.get() && !t.short.get()));
                let _ = line.read(&mut [0; 8]).await; // the end, or the reset
                assert!(TRACE.with(|t| t.ended.get()));
                while line.write_all(b"GET").await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            })
            .await;
            assert!(trace.short.get());
        });
    }
}
