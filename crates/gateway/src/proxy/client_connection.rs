//! Clients' connections: http1's doorway between a stream and hyper, which sees no byte before it was checked.
//!
//! The task of a connection reads its stream whether hyper wants to read or not, shows hyper one request at a time,
//! takes all that hyper writes, and has requests started early. What hyper must not answer is answered here, after
//! hyper has answered all that came before.

use super::request_handler::Reply;
use crate::clock::{now, span, Micros};
use crate::net::poll_some;
use hyper::body::Body;
use magpieline_http1::framing::request_framing::{Bounds, Doorway, Early, Stand};
use magpieline_http1::framing::Wrong;
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// A client that leaves is told so by an answer; one that sends nothing keeps the process no longer than this.
pub const LAST_IDLE: Micros = 500_000;
/// After the last answer a connection is read until its client ends it or sends nothing for so long: bytes left unread
/// would reset it, and the answer might be lost with it. A client in the middle of a body may send on for a while.
const LAST_READ: Micros = 500_000;
/// But for so long at most.
const LAST_READ_MOST: Micros = 3_000_000;
/// New bounds are looked at this often at least.
const LOOK_AGAIN: Micros = 5_000_000;
/// Shown to hyper at once; it doubles its buffer whenever 8 KiB are filled.
const MOST_SHOWN: usize = (8 << 10) - 1;
/// No more requests are started early while answers of so many bytes wait on a connection.
const MOST_WAITING: usize = 256 << 10;

/// A request that was started early. Dropped, it is given up; what an appliance works on goes on.
pub struct Started {
    task: JoinHandle<Reply>,
    /// Its answer, once it was looked at.
    reply: Option<Reply>,
}

impl Started {
    pub fn new(task: JoinHandle<Reply>) -> Started {
        Started { task, reply: None }
    }

    /// Its answer; none if it broke.
    pub async fn answer(mut self) -> Option<Reply> {
        match self.reply.take() {
            Some(reply) => Some(reply),
            None => (&mut self.task).await.ok(),
        }
    }

    /// Bytes of its answer if it waits already.
    fn waiting(&mut self, cx: &mut Context<'_>) -> usize {
        if self.reply.is_none() && self.task.is_finished() {
            if let Poll::Ready(Ok(reply)) = Pin::new(&mut self.task).poll(cx) {
                self.reply = Some(reply);
            }
        }
        self.reply
            .as_ref()
            .map_or(0, |r| r.body().size_hint().lower() as usize)
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How the serving of a connection ended.
enum End {
    /// hyper is done with it, or it broke.
    Served,
    Stood(Stand),
}

/// A client's connection, shared by its task, hyper's reading and writing, and the request in work.
pub struct Visit<S> {
    inner: Mutex<Inner<S>>,
}

struct Inner<S> {
    stream: S,
    door: Doorway,
    bounds: Bounds,
    now: Micros,
    /// What hyper has written and the stream has not taken yet, from `sent`.
    out: Vec<u8>,
    sent: usize,
    ended: bool,
    broken: Option<io::ErrorKind>,
    /// Nothing is there to be read for now; the stream tells when there is.
    dry: bool,
    /// hyper wanted to read when there was nothing for it.
    hungry: bool,
    /// Requests started early, in their order.
    early: VecDeque<(u64, Started)>,
}

/// What hyper reads and writes.
pub struct Side<S>(pub Arc<Visit<S>>);

impl<S: AsyncRead + AsyncWrite + Unpin> Visit<S> {
    pub fn new(stream: S, bounds: Bounds) -> Arc<Visit<S>> {
        let now = now();
        let inner = Inner {
            stream,
            door: Doorway::new(now),
            bounds,
            now,
            out: Vec::new(),
            sent: 0,
            ended: false,
            broken: None,
            dry: false,
            hungry: false,
            early: VecDeque::new(),
        };
        Arc::new(Visit {
            inner: Mutex::new(inner),
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner<S>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// hyper comes to a request: when it was taken, and its answer if it was started early.
    pub fn begin(&self) -> (Micros, Option<Started>) {
        let mut inner = self.inner();
        let Some((number, taken)) = inner.door.work() else {
            return (now(), None);
        };
        while inner.early.front().is_some_and(|(n, _)| *n < number) {
            inner.early.pop_front();
        }
        let early = match inner.early.front() {
            Some((n, _)) if *n == number => inner.early.pop_front().map(|(_, started)| started),
            _ => None,
        };
        (taken, early)
    }

    /// The request in work is safe: those behind it may be started early.
    pub fn safe(&self) {
        let mut inner = self.inner();
        if let Some((number, _)) = inner.door.work() {
            inner.door.safe(number);
        }
    }

    /// The request in work has its answer. Says whether requests behind it are on their way already.
    pub fn answered(&self) -> bool {
        let mut inner = self.inner();
        inner.door.answered();
        !inner.early.is_empty()
    }

    /// Why the body of the request in work did not come.
    pub fn fault(&self) -> Option<Wrong> {
        self.inner().door.fault()
    }

    /// Serves the connection to its end. `left` is done when the process leaves; `start` starts a request early if
    /// it may be.
    pub async fn run(
        &self,
        serving: impl Future,
        bounds: impl Fn() -> Bounds,
        left: impl Future<Output = ()>,
        mut start: impl FnMut(Early<'_>) -> Option<Started>,
    ) {
        let (mut serving, mut left, mut leaving) = (pin!(serving), pin!(left), false);
        let (mut clock, mut armed) = (pin!(sleep(span(LOOK_AGAIN))), now() + LOOK_AGAIN);
        let end = poll_fn(|cx| loop {
            let mut inner = self.inner();
            (inner.now, inner.bounds) = (now(), bounds());
            if !leaving && left.as_mut().poll(cx).is_ready() {
                leaving = true;
                let by = inner.now + LAST_IDLE;
                inner.door.leave(by);
            }
            if let Some(end) = inner.turn(cx) {
                return Poll::Ready(end);
            }
            drop(inner);
            if serving.as_mut().poll(cx).is_ready() {
                return Poll::Ready(End::Served);
            }
            let inner = &mut *self.inner();
            if !leaving {
                inner.start_early(cx, &mut start);
            }
            inner.settle();
            if inner.end().is_some() || (inner.hungry && inner.has_more()) {
                continue;
            }
            let wake = inner.door.wake(&inner.bounds).min(inner.now + LOOK_AGAIN);
            if wake < armed || armed <= inner.now {
                armed = wake;
                clock
                    .as_mut()
                    .reset(Instant::now() + span(wake.saturating_sub(inner.now)));
            }
            ready!(clock.as_mut().poll(cx));
        })
        .await;
        self.close(end).await;
    }

    /// Writes what is still to be said and ends the connection in order.
    async fn close(&self, end: End) {
        let quiet = matches!(end, End::Stood(Stand::Idle));
        let idle = {
            let mut inner = self.inner();
            inner.early.clear();
            if let End::Stood(Stand::Answer(wrong)) = end {
                inner.out.extend_from_slice(&own_answer(wrong));
            }
            span(inner.bounds.idle)
        };
        while self.inner().owes() {
            match timeout(idle, poll_fn(|cx| self.inner().pump(cx))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
        let shut = poll_fn(|cx| Pin::new(&mut self.inner().stream).poll_shutdown(cx)).await;
        if shut.is_err() || quiet || self.inner().ended {
            return;
        }
        let most = now() + LAST_READ_MOST;
        let mut ended = false;
        while !ended {
            let quiet = most.saturating_sub(now()).min(LAST_READ);
            let read = poll_fn(|cx| poll_some(&mut self.inner().stream, cx, usize::MAX, |_| {}));
            ended = !matches!(timeout(span(quiet), read).await, Ok(Ok(1..)));
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Inner<S> {
    /// Reads and writes what can be, lets time pass, and goes on where an answer is written.
    fn turn(&mut self, cx: &mut Context<'_>) -> Option<End> {
        self.dry = false;
        self.fill(cx);
        if let Poll::Ready(Err(_)) = self.pump(cx) {
            return Some(End::Served);
        }
        let Inner {
            door, now, bounds, ..
        } = self;
        door.tick(*now, bounds);
        self.settle();
        self.hungry = false;
        self.end()
    }

    fn end(&self) -> Option<End> {
        match self.door.stand() {
            Stand::Open => None,
            stand => Some(End::Stood(stand)),
        }
    }

    /// Reads all that is there and may be held.
    fn fill(&mut self, cx: &mut Context<'_>) {
        while !self.ended && !self.dry && self.broken.is_none() {
            let Inner {
                stream,
                door,
                bounds,
                now,
                ..
            } = self;
            let room = door.room(bounds);
            if room == 0 {
                return;
            }
            match poll_some(stream, cx, room, |bytes| door.feed(*now, bounds, bytes)) {
                Poll::Pending => self.dry = true,
                Poll::Ready(Ok(0)) => self.ended = true,
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(e)) => self.broken = Some(e.kind()),
            }
        }
    }

    /// Goes on to the next request if the answer to this one is written.
    fn settle(&mut self) {
        if !self.owes() {
            self.door.settle(self.now, &self.bounds);
        }
    }

    fn start_early(
        &mut self,
        cx: &mut Context<'_>,
        start: &mut impl FnMut(Early<'_>) -> Option<Started>,
    ) {
        while self
            .early
            .iter_mut()
            .map(|(_, s)| s.waiting(cx))
            .sum::<usize>()
            < MOST_WAITING
        {
            let Some(early) = self.door.early() else {
                return;
            };
            let number = early.number;
            let Some(started) = start(early) else { return };
            self.early.push_back((number, started));
            self.door.safe(number);
        }
    }

    fn has_more(&self) -> bool {
        !self.door.shown().is_empty()
            || self.door.fault().is_some()
            || self.ended
            || self.broken.is_some()
    }

    fn owes(&self) -> bool {
        self.sent < self.out.len()
    }

    /// Writes what is owed, as far as the stream takes it. Ready once some was written or none is owed.
    fn pump(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let before = self.sent;
        while self.sent < self.out.len() {
            match Pin::new(&mut self.stream).poll_write(cx, &self.out[self.sent..]) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(some)) => self.sent += some,
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending if self.sent == before => return Poll::Pending,
                Poll::Pending => return Poll::Ready(Ok(())),
            }
        }
        (self.out, self.sent) = (Vec::new(), 0);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> hyper::rt::Read for Side<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.inner();
        if inner.door.shown().is_empty() {
            inner.settle();
            inner.fill(cx);
        }
        let shown = inner.door.shown();
        if !shown.is_empty() {
            let some = shown.len().min(into.remaining()).min(MOST_SHOWN);
            into.put_slice(&shown[..some]);
            inner.door.took(inner.now, some);
            return Poll::Ready(Ok(()));
        }
        if inner.door.fault().is_some() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        match (inner.broken, inner.ended) {
            (Some(kind), _) => Poll::Ready(Err(kind.into())),
            (None, true) => Poll::Ready(Ok(())),
            (None, false) => {
                inner.hungry = true;
                Poll::Pending
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> hyper::rt::Write for Side<S> {
    /// Takes all of it: so it is known that hyper is done with a request once it was answered and nothing is owed.
    /// No more than one answer is owed at a time.
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let inner = &mut *self.0.inner();
        let mut rest = bytes;
        while !rest.is_empty() && !inner.owes() {
            match Pin::new(&mut inner.stream).poll_write(cx, rest)? {
                Poll::Ready(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(some) => rest = &rest[some..],
                Poll::Pending => break,
            }
        }
        inner.out.extend_from_slice(rest);
        Poll::Ready(Ok(bytes.len()))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    /// The connection is ended by its task.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// The answer to what can't be taken, and the last on its connection.
fn own_answer(wrong: Wrong) -> Vec<u8> {
    let (status, text) = (wrong.status(), wrong.text());
    let reason = match status {
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        _ => "Bad Request",
    };
    let length = text.len() + 1;
    format!(
        "HTTP/1.1 {status} {reason}\r\ncontent-type: text/plain\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{text}\n"
    )
    .into()
}
