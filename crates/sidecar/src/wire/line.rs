//! A connection that notes how far things went, for those who have to prove it.

use crate::wire::framing::{measure, Come, Spoilt};
use actix_service::ServiceExt;
use actix_tls::connect::{Connection, Connector, Resolver};
use awc::Client;
use bytes::{Buf, BytesMut};
use http::Uri;
use magpieline_dispatch::Signal;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a forward's connection has seen of it.
#[derive(Default)]
pub struct Trace {
    /// Whether anything was offered for writing.
    pub begun: Cell<bool>,
    /// Whether the last write took less than it was offered: then the last byte was never written.
    pub short: Cell<bool>,
    /// Why what came was no answer.
    spoilt: Cell<Option<Spoilt>>,
}

impl Trace {
    /// Why what came was no answer to it. What had come on an idle connection, before anything was written,
    /// says nothing.
    pub fn spoilt(&self) -> Option<Spoilt> {
        self.spoilt.get().filter(|_| self.begun.get())
    }

    /// Whether all that was to be sent may have gone; else the other side provably never had the whole of it.
    pub fn carried(&self) -> bool {
        self.begun.get() && !self.short.get()
    }
}

tokio::task_local! {
    /// The trace of the forward being polled. The client library does not say which connection it uses.
    pub static TRACE: Rc<Trace>;
}

/// How long the rest of an answer may take once its first byte has come: longer than TCP takes to send a lost
/// packet again (0.2 s), short against the times in which others answer. A part only would never be whole.
const REST: Duration = Duration::from_millis(300);
/// The first room for an answer; most fit.
const ANSWER_ROOM: usize = 2 << 10;

/// What comes on a connection that is asked one thing at a time. It hands on whole answers only, and ends when
/// anything has come that belongs to none.
struct Answers {
    most: usize,
    bytes: BytesMut,
    /// How many of the bytes are a whole answer, on their way to the reader.
    whole: usize,
    /// Whether something was asked that is not answered yet.
    asked: bool,
    over: bool,
    patience: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Answers {
    fn new(most: usize) -> Answers {
        Answers {
            most,
            bytes: BytesMut::new(),
            whole: 0,
            asked: false,
            over: false,
            patience: None,
        }
    }

    /// Looks at what has come; an interim answer is dropped.
    fn weigh(&mut self) -> Result<(), Spoilt> {
        loop {
            match measure(&self.bytes, self.most)? {
                Come::Part => return Ok(()),
                Come::Interim(length) => self.bytes.advance(length),
                Come::Whole(length) => {
                    // Bytes behind it may be the beginning of anything: the connection has done its service.
                    self.over = self.bytes.len() > length;
                    (self.whole, self.asked, self.patience) = (length, false, None);
                    return Ok(());
                }
            }
        }
    }

    fn spoilt(&mut self, why: Spoilt) -> Poll<io::Result<()>> {
        (self.over, self.bytes) = (true, BytesMut::new());
        let _ = TRACE.try_with(|t| t.spoilt.set(Some(why))); // list and platform have none
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("an answer that is {why:?}"),
        )))
    }

    fn poll(
        &mut self,
        mut stream: Pin<&mut TcpStream>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.whole > 0 {
                let part = self.whole.min(buf.remaining());
                buf.put_slice(&self.bytes.split_to(part));
                self.whole -= part;
                if self.whole == 0 {
                    self.bytes = BytesMut::new(); // nothing is kept for an idle connection
                }
                return Poll::Ready(Ok(()));
            }
            if self.over {
                return Poll::Ready(Ok(())); // its end
            }
            self.bytes.reserve(ANSWER_ROOM);
            match tokio_util::io::poll_read_buf(stream.as_mut(), cx, &mut self.bytes) {
                Poll::Ready(Ok(0)) if self.bytes.is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
                Poll::Ready(Ok(_)) if !self.asked => return self.spoilt(Spoilt::Unreadable),
                Poll::Ready(Ok(_)) => {
                    if let Err(why) = self.weigh() {
                        return self.spoilt(why);
                    }
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending if self.bytes.is_empty() => return Poll::Pending,
                Poll::Pending => {
                    let patience = self
                        .patience
                        .get_or_insert_with(|| Box::pin(tokio::time::sleep(REST)));
                    if patience.as_mut().poll(cx).is_ready() {
                        return self.spoilt(Spoilt::Unreadable);
                    }
                    return Poll::Pending;
                }
            }
        }
    }
}

/// A TCP connection of either side.
pub struct Line {
    stream: TcpStream,
    /// Given once the other side has ended its sending.
    pub departure: Rc<Signal>,
    /// When the first byte came since this was last emptied.
    pub heard: Rc<Cell<Option<Instant>>>,
    /// What is read of it: whole answers, or else whatever comes.
    answers: Option<Answers>,
}

impl Line {
    pub fn new(stream: TcpStream) -> Line {
        // A head or body must not wait for the other side's acknowledgement. If this fails it is only slower.
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("no delay: {e}");
        }
        Line {
            stream,
            departure: Rc::default(),
            heard: Rc::default(),
            answers: None,
        }
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
        let (before, line) = (buf.filled().len(), &mut *self);
        let stream = Pin::new(&mut line.stream);
        let read = match &mut line.answers {
            Some(answers) => answers.poll(stream, cx, buf),
            None => stream.poll_read(cx, buf),
        };
        let ended = match &read {
            Poll::Ready(Ok(())) => buf.filled().len() == before && buf.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if buf.filled().len() > before && self.heard.get().is_none() {
            self.heard.set(Some(Instant::now()));
        }
        if ended {
            self.departure.give();
        }
        read
    }
}

impl Line {
    fn note_write(written: &Poll<io::Result<usize>>, offered: usize) {
        // The clients' side has no trace.
        let _ = TRACE.try_with(|t| {
            t.begun.set(true);
            // An idle connection on which something had come, and that was left alone, has set it.
            t.spoilt.set(None);
            t.short
                .set(!matches!(written, Poll::Ready(Ok(n)) if *n == offered));
        });
    }
}

impl AsyncWrite for Line {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.answers.iter_mut().for_each(|a| a.asked = true);
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

/// The client library with this project's connections under it. Each brings whole answers of at most so many
/// bytes, or a stream without end where there is no such bound. The library follows no redirects, resends nothing,
/// adds no headers, sets no time-outs of its own but for the connect, and drops connections that have been
/// idle too long when it would next use them.
pub fn client(connect: Duration, idle: Duration, most: Option<usize>) -> Client {
    let lines = Connector::new(Resolver::default()).service().map(
        move |made: Connection<Uri, TcpStream>| {
            let (stream, uri) = made.into_parts();
            Connection::new(
                uri,
                Line {
                    answers: most.map(Answers::new),
                    ..Line::new(stream)
                },
            )
        },
    );
    let connector = awc::Connector::new()
        .connector(lines)
        .limit(0) // what is forwarded is the decisions' choice
        .timeout(connect)
        .conn_keep_alive(idle)
        .conn_lifetime(Duration::MAX); // a connection in use does not age
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Whether anything of the call being polled was offered for writing.
pub fn begun() -> bool {
    TRACE.try_with(|t| t.begun.get()).unwrap_or(false)
}

/// Follows a call from outside, noting how far its connection got.
pub async fn traced<F: Future>(call: F) -> (F::Output, Rc<Trace>) {
    let trace = Rc::<Trace>::default();
    (TRACE.scope(trace.clone(), call).await, trace)
}

#[cfg(test)]
mod tests;
