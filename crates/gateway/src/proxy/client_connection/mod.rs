//! Clients' connections: [`RequestFraming`] between a stream and hyper, which sees no byte before it was checked.
//!
//! The task of a connection reads its stream whether hyper wants to read or not, shows hyper one request at a time, once it has
//! written the response to the one before, and has requests started early. What hyper must not answer is answered here, after hyper has
//! answered all that came before.

mod client_io;

use super::client_stream::ClientStream;
use super::early_response::EarlyResponse;
use crate::clock::{duration, now, Micros};
use crate::memory::Reservation;
use crate::net::poll_read_some;
use magpieline_http1::framing::request_framing::{
    ConnectionStatus, EarlyRequest, RequestFraming, RequestLimits,
};
use magpieline_http1::framing::FramingError;
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::time::{sleep, timeout, Instant};
use tokio_util::sync::CancellationToken;

pub(super) use client_io::ClientIo;

/// At shutdown a client is told so by a response; one that sends nothing keeps the process no longer than this.
const IDLE_AT_SHUTDOWN: Micros = 500_000;
/// After the last response a connection is read until its client ends it or sends nothing for so long: bytes left unread
/// would reset it, and the response might be lost with it. A client in the middle of a body may send on for a while,
const LINGER_IDLE: Micros = 500_000;
/// but for so long at most: one that sends all of a body that was refused reads the answer only then.
const MAX_LINGER: Micros = 10_000_000;
/// New limits are looked at this often at least.
const REFRESH_INTERVAL: Micros = 5_000_000;
/// A connection whose head or next requests find no memory reads on after this.
const MEMORY_RETRY_INTERVAL: Micros = 50_000;
/// Whether its client has left is asked so often while a connection is held up, as its end stands behind bytes that are not
/// read.
const HELD_UP_CHECK_INTERVAL: Micros = 100_000;
/// Bytes that each connection may hold without a reservation: most requests are shorter.
const UNRESERVED_BYTES: usize = 4 << 10;
/// Shown to hyper at once; it doubles its buffer whenever 8 KiB are filled.
const MAX_SHOWN: usize = (8 << 10) - 1;
/// No more requests are started early while responses of so many bytes wait on a connection.
const MAX_WAITING_BYTES: usize = 256 << 10;

/// How the serving of a connection ended.
enum ServeEnd {
    /// hyper has ended it, or it was lost.
    Served,
    /// The framing has ended it.
    Framing(ConnectionStatus),
    /// Its client takes nothing of a response for too long.
    Stalled,
}

/// A client's connection, shared by its task, hyper's reading and writing, and the current request.
pub(super) struct ClientConnection<S> {
    inner: Mutex<Inner<S>>,
    /// Cancelled when the connection is over on both sides, or its client is waited for no longer.
    client_left: CancellationToken,
}

struct Inner<S> {
    stream: S,
    framing: RequestFraming,
    limits: RequestLimits,
    now: Micros,
    /// Since when the stream takes nothing of what hyper writes; none while it does, or hyper has nothing to write.
    writer_waiting_since: Option<Micros>,
    /// Of the body of the response that is being written.
    output_reservation: Option<Reservation>,
    /// Of heads and requests that hyper does not see yet, beyond [`UNRESERVED_BYTES`].
    input_reservation: Reservation,
    /// There was no memory to read on.
    is_short_of_memory: bool,
    /// What has come is not read for now, as enough is held.
    is_held_up: bool,
    is_at_end: bool,
    read_error: Option<io::ErrorKind>,
    /// When the end of the stream, or an error, was read.
    ended_at: Option<Micros>,
    /// Nothing can be read for now; the stream wakes the task when there is.
    is_drained: bool,
    /// hyper wanted to read when there was nothing for it.
    is_reader_waiting: bool,
    /// Requests started early, by their numbers, in their order.
    early: VecDeque<(u64, EarlyResponse)>,
}

impl<S: ClientStream> ClientConnection<S> {
    /// Creates a connection. `input_reservation` grows with what hyper does not see yet.
    pub(super) fn new(
        stream: S,
        limits: RequestLimits,
        input_reservation: Reservation,
    ) -> Arc<ClientConnection<S>> {
        let now = now();
        let inner = Inner {
            stream,
            framing: RequestFraming::new(now),
            limits,
            now,
            writer_waiting_since: None,
            output_reservation: None,
            input_reservation,
            is_short_of_memory: false,
            is_held_up: false,
            is_at_end: false,
            read_error: None,
            ended_at: None,
            is_drained: false,
            is_reader_waiting: false,
            early: VecDeque::new(),
        };
        Arc::new(ClientConnection {
            inner: Mutex::new(inner),
            client_left: CancellationToken::new(),
        })
    }

    /// Returns what is cancelled once the client has left, whether its requests were answered or not.
    pub(super) fn client_left(&self) -> CancellationToken {
        self.client_left.clone()
    }

    fn inner(&self) -> MutexGuard<'_, Inner<S>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the current request. Returns when it was received, and its response if it was started early.
    pub(super) fn begin_request(&self) -> (Micros, Option<EarlyResponse>) {
        let mut inner = self.inner();
        let Some((number, received_at)) = inner.framing.current() else {
            return (now(), None);
        };
        while inner
            .early
            .front()
            .is_some_and(|(early, _)| *early < number)
        {
            inner.early.pop_front();
        }
        if inner
            .early
            .front()
            .is_none_or(|(early, _)| *early != number)
        {
            return (received_at, None);
        }
        let early = inner.early.pop_front();
        (received_at, early.map(|(_, response)| response))
    }

    /// Takes note that the current request is idempotent: those behind it may be started early.
    pub(super) fn mark_idempotent(&self) {
        let mut inner = self.inner();
        if let Some((number, _)) = inner.framing.current() {
            inner.framing.mark_idempotent(number);
        }
    }

    /// Takes note that the current request has its response, whose bytes are reserved until they are written. Returns whether
    /// requests behind it are in progress already.
    pub(super) fn finish_request(&self, reservation: Option<Reservation>) -> bool {
        let mut inner = self.inner();
        inner.output_reservation = reservation;
        inner.framing.on_answered();
        !inner.early.is_empty()
    }

    /// Returns why the body of the current request did not come.
    pub(super) fn body_error(&self) -> Option<FramingError> {
        self.inner().framing.body_error()
    }

    /// Serves the connection to its end. `shutdown` is done when the proxy shuts down; `start` starts a request early if it may
    /// be. Returns, if the client left with requests in progress, how long after the end of its stream was read these were
    /// given up.
    pub(super) async fn run(
        &self,
        serving: impl Future,
        limits: impl Fn() -> RequestLimits,
        shutdown: impl Future<Output = ()>,
        mut start: impl FnMut(EarlyRequest<'_>) -> Option<EarlyResponse>,
    ) -> Option<Micros> {
        let _client_left = self.client_left().drop_guard();
        let (mut serving, mut shutdown) = (pin!(serving), pin!(shutdown));
        let mut is_shutting_down = false;
        let mut timer = pin!(sleep(duration(REFRESH_INTERVAL)));
        let mut timer_at = now() + REFRESH_INTERVAL;
        let end = poll_fn(|cx| loop {
            let mut inner = self.inner();
            (inner.now, inner.limits) = (now(), limits());
            if !is_shutting_down && shutdown.as_mut().poll(cx).is_ready() {
                is_shutting_down = true;
                let by = inner.now + IDLE_AT_SHUTDOWN;
                inner.framing.shut_down_by(by);
            }
            if let Some(end) = inner.read_and_advance(cx) {
                return Poll::Ready(end);
            }
            drop(inner);
            if serving.as_mut().poll(cx).is_ready() {
                return Poll::Ready(ServeEnd::Served);
            }
            let inner = &mut *self.inner();
            // Only now: what the stream takes again was written just before.
            if inner.write_deadline() <= inner.now {
                return Poll::Ready(ServeEnd::Stalled);
            }
            if !is_shutting_down {
                inner.start_early(cx, &mut start);
            }
            inner.advance();
            let may_read = inner.is_reader_waiting && inner.has_something_to_read();
            if inner.end().is_some() || may_read {
                continue;
            }
            let next_timeout = inner.framing.next_timeout(&inner.limits);
            let refresh_after = inner.refresh_interval();
            let wake_at = next_timeout
                .min(inner.write_deadline())
                .min(inner.now + refresh_after);
            if wake_at < timer_at || timer_at <= inner.now {
                timer_at = wake_at;
                let left = duration(wake_at.saturating_sub(inner.now));
                timer.as_mut().reset(Instant::now() + left);
            }
            ready!(timer.as_mut().poll(cx));
        })
        .await;
        let given_up_after = self.inner().given_up_after();
        self.close(end).await;
        given_up_after
    }

    /// Writes what is still to be said and ends the connection in order.
    async fn close(&self, end: ServeEnd) {
        let was_idle = matches!(end, ServeEnd::Framing(ConnectionStatus::IdleTimeout));
        self.inner().early.clear();
        let written = match end {
            ServeEnd::Framing(ConnectionStatus::Rejected(error)) => {
                self.write_all(&rejection(error)).await
            }
            ServeEnd::Stalled => Err(io::ErrorKind::TimedOut.into()),
            ServeEnd::Framing(_) | ServeEnd::Served => Ok(()),
        };
        if written.is_err() {
            return;
        }
        let shutdown = poll_fn(|cx| Pin::new(&mut self.inner().stream).poll_shutdown(cx)).await;
        if shutdown.is_ok() && !was_idle && !self.inner().is_at_end {
            self.linger().await;
        }
    }

    /// Writes bytes, unless the client takes nothing for too long.
    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        let idle_timeout = duration(self.inner().limits.body_idle_timeout);
        while !bytes.is_empty() {
            let write = poll_fn(|cx| Pin::new(&mut self.inner().stream).poll_write(cx, bytes));
            match timeout(idle_timeout, write).await?? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                written => bytes = &bytes[written..],
            }
        }
        Ok(())
    }

    /// Reads and drops what its client still sends.
    async fn linger(&self) {
        let deadline = now() + MAX_LINGER;
        loop {
            let left = deadline.saturating_sub(now()).min(LINGER_IDLE);
            let read =
                poll_fn(|cx| poll_read_some(&mut self.inner().stream, cx, usize::MAX, |_| {}));
            match timeout(duration(left), read).await {
                Ok(Ok(1..)) => {}
                _ => return,
            }
        }
    }
}

impl<S: ClientStream> Inner<S> {
    /// Reads what can be read, lets time pass, and goes on where a response is written.
    fn read_and_advance(&mut self, cx: &mut Context<'_>) -> Option<ServeEnd> {
        self.is_drained = false;
        self.fill(cx);
        self.framing.on_tick(self.now, &self.limits);
        self.advance();
        self.is_reader_waiting = false;
        self.end()
    }

    /// Returns the time since the end of the stream was read, if requests are in progress.
    fn given_up_after(&self) -> Option<Micros> {
        let is_in_progress = self.framing.has_unanswered() || !self.early.is_empty();
        let ended_at = self.ended_at.filter(|_| is_in_progress)?;
        Some(now().saturating_sub(ended_at))
    }

    fn end(&self) -> Option<ServeEnd> {
        match self.framing.status() {
            ConnectionStatus::Open => None,
            status => Some(ServeEnd::Framing(status)),
        }
    }

    /// Returns the longest time after which it is looked whether more may be read.
    fn refresh_interval(&self) -> Micros {
        if self.is_short_of_memory {
            MEMORY_RETRY_INTERVAL
        } else if self.is_held_up {
            HELD_UP_CHECK_INTERVAL
        } else {
            REFRESH_INTERVAL
        }
    }

    /// Reads all that has come and may be held.
    fn fill(&mut self, cx: &mut Context<'_>) {
        self.is_held_up = false;
        while !self.is_at_end && !self.is_drained && self.read_error.is_none() {
            let capacity = self.read_capacity();
            if capacity == 0 {
                self.is_held_up = true;
                self.look_for_end(cx);
                return;
            }
            let Inner {
                stream,
                framing,
                limits,
                now,
                ..
            } = self;
            match poll_read_some(stream, cx, capacity, |bytes| {
                framing.feed(*now, limits, bytes)
            }) {
                Poll::Pending => self.is_drained = true,
                Poll::Ready(Ok(0)) => {
                    self.is_at_end = true;
                    self.ended_at = Some(self.now);
                }
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => {
                    self.read_error = Some(error.kind());
                    self.ended_at = Some(self.now);
                }
            }
        }
    }

    /// A client that has left waits for nothing that stands before the end of its connection, read or not.
    fn look_for_end(&mut self, cx: &mut Context<'_>) {
        if self.stream.is_closed_by_client(cx) {
            self.is_at_end = true;
            self.ended_at = Some(self.now);
        }
    }

    /// Returns how many bytes may be read now: none while there is no memory for them, or enough are held.
    fn read_capacity(&mut self) -> usize {
        self.is_short_of_memory = false;
        let capacity = self.framing.capacity(&self.limits);
        let unseen = self.framing.unseen_bytes();
        let reserved = unseen.saturating_sub(UNRESERVED_BYTES) as u64;
        self.input_reservation.shrink(reserved);
        if self.framing.is_passing_on() {
            return capacity;
        }
        if unseen < UNRESERVED_BYTES {
            return capacity.min(UNRESERVED_BYTES - unseen);
        }
        let more = capacity.min(UNRESERVED_BYTES);
        match self.input_reservation.grow_to(reserved + more as u64) {
            Ok(()) => more,
            Err(_) => {
                self.is_short_of_memory = true;
                0
            }
        }
    }

    /// Goes on to the next request if the response to this one is written.
    fn advance(&mut self) {
        if !self.is_writer_waiting() {
            self.output_reservation = None;
            self.framing.advance(self.now, &self.limits);
        }
    }

    fn start_early(
        &mut self,
        cx: &mut Context<'_>,
        start: &mut impl FnMut(EarlyRequest<'_>) -> Option<EarlyResponse>,
    ) {
        while self.waiting_bytes(cx) < MAX_WAITING_BYTES {
            let Some(request) = self.framing.next_early() else {
                return;
            };
            let number = request.number;
            let Some(response) = start(request) else {
                return;
            };
            self.early.push_back((number, response));
            self.framing.mark_idempotent(number);
        }
    }

    fn waiting_bytes(&mut self, cx: &mut Context<'_>) -> usize {
        self.early
            .iter_mut()
            .map(|(_, response)| response.waiting_bytes(cx))
            .sum()
    }

    /// Whether hyper can read something, or that there is nothing more.
    fn has_something_to_read(&self) -> bool {
        let has_ended = self.is_at_end || self.read_error.is_some();
        !self.framing.visible().is_empty()
            || self.framing.body_error().is_some()
            || (has_ended && !self.is_writer_waiting())
    }

    /// Whether hyper has something to write that the stream doesn't take yet.
    fn is_writer_waiting(&self) -> bool {
        self.writer_waiting_since.is_some()
    }

    /// Takes note that hyper has written something, or has to wait.
    fn on_write(&mut self, has_to_wait: bool) {
        self.writer_waiting_since = match has_to_wait {
            true => self.writer_waiting_since.or(Some(self.now)),
            false => None,
        };
    }

    /// Returns when a client that takes nothing is given up.
    fn write_deadline(&self) -> Micros {
        self.writer_waiting_since.map_or(Micros::MAX, |since| {
            since.saturating_add(self.limits.body_idle_timeout)
        })
    }
}

/// Returns the response to what can't be taken, the last on its connection.
fn rejection(error: FramingError) -> Vec<u8> {
    let (status, text) = (error.status(), error.text());
    let reason = match status {
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        _ => "Bad Request",
    };
    let length = text.len() + 1;
    let response = format!(
        "HTTP/1.1 {status} {reason}\r\ncontent-type: text/plain\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{text}\n"
    );
    response.into()
}
