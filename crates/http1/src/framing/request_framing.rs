//! A client's connection: what may be seen of it, in which order, and how it ends.
//!
//! Bytes are fed in as they come. The server behind sees one request at a time, and nothing of a request whose head is not
//! whole and valid. Requests behind the current one are parsed ahead, so that idempotent ones can be started early. A
//! request that can't be taken is answered in place of the server, once all before it have been answered; nothing
//! behind it is read.

use super::body::BodyParser;
use super::head::{RequestHead, RequestHeadParser};
use super::lines::FramingError;
use crate::Micros;
use std::collections::VecDeque;

/// Requests that are parsed ahead of the current one.
pub const MAX_QUEUED_REQUESTS: usize = 16;
/// Bytes that are held at most, unless a head may be longer; then the client is held up.
const MAX_HELD_BYTES: usize = 64 << 10;
/// Bytes behind the last request that are read and dropped, so that the end of the connection is seen behind them.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// An empty buffer larger than this is not kept.
const MAX_EMPTY_BUFFER: usize = 2 << 10;

/// What clients may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// From the first byte of a head to its last.
    pub head_timeout: Micros,
    /// Without a byte of a body that has begun.
    pub body_idle_timeout: Micros,
    /// Without a request. A client may go by any that held since its connection came to rest.
    pub keep_alive_timeout: Micros,
}

/// The status of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStatus {
    /// It serves, or may serve.
    Open,
    /// All before it is answered: this is the answer to what came next, and the last.
    Rejected(FramingError),
    /// No more requests will be served on it, and none is in progress.
    Finished,
    /// It was without a request for too long.
    IdleTimeout,
}

/// What the bytes that come next are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseStep {
    /// More are needed.
    NeedMore,
    /// So many bytes of empty lines before a request.
    BlankLines(usize),
    /// A whole head.
    Head(RequestHead),
    /// So many bytes of a body.
    Body {
        /// How many bytes.
        len: usize,
        /// Whether the body ends with them.
        is_end: bool,
    },
    /// They are no request.
    Invalid(FramingError),
}

/// Finds requests, one behind the other. It holds no bytes: what it has passed is not given again.
#[derive(Clone, Debug, Default)]
pub struct RequestParser {
    head: RequestHeadParser,
    body: Option<BodyParser>,
}

impl RequestParser {
    /// Parses what comes next. Heads take `max_head_bytes` at most.
    pub fn next(&mut self, bytes: &[u8], max_head_bytes: usize) -> ParseStep {
        if bytes.is_empty() {
            return ParseStep::NeedMore;
        }
        if self.body.is_some() {
            return self.next_of_body(bytes);
        }
        let blank_lines = bytes.chunks_exact(2).take_while(|pair| *pair == b"\r\n");
        let blank = blank_lines.count() * 2;
        if blank > 0 {
            return ParseStep::BlankLines(blank);
        }
        if bytes == b"\r" {
            return ParseStep::NeedMore;
        }
        match self.head.parse(bytes, max_head_bytes) {
            Ok(None) => ParseStep::NeedMore,
            Ok(Some(head)) => {
                self.head = RequestHeadParser::default();
                self.body.clone_from(&head.body);
                ParseStep::Head(head)
            }
            Err(error) => ParseStep::Invalid(error),
        }
    }

    fn next_of_body(&mut self, bytes: &[u8]) -> ParseStep {
        let Some(body) = &mut self.body else {
            return ParseStep::NeedMore;
        };
        match body.parse(bytes) {
            Ok((len, is_end)) => {
                if is_end {
                    self.body = None;
                }
                ParseStep::Body { len, is_end }
            }
            Err(error) => ParseStep::Invalid(error),
        }
    }

    /// Whether a body is being parsed.
    fn is_in_body(&self) -> bool {
        self.body.is_some()
    }
}

/// A request that was parsed ahead.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    number: u64,
    /// Bytes of its head, and all that is held of it.
    head_len: usize,
    len: usize,
    is_whole: bool,
    has_body: bool,
    received_at: Micros,
    /// Whether it was offered to be started early.
    was_offered: bool,
}

/// The request that the server has.
#[derive(Clone, Copy, Debug)]
struct CurrentRequest {
    number: u64,
    received_at: Micros,
    is_whole: bool,
    is_answered: bool,
}

/// A request that may be started before its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlyRequest<'a> {
    /// Its number on its connection.
    pub number: u64,
    /// When its head was whole.
    pub received_at: Micros,
    /// Its head.
    pub head: &'a [u8],
}

/// One connection. Requests on it are numbered from 1.
#[derive(Clone, Debug)]
pub struct RequestFraming {
    parser: RequestParser,
    /// What has come and was not consumed yet, from `start`: the server may see it up to `visible_end`, it was parsed up to
    /// `parsed_end`.
    held: Vec<u8>,
    start: usize,
    visible_end: usize,
    parsed_end: usize,
    queue: VecDeque<QueuedRequest>,
    current: Option<CurrentRequest>,
    /// The number of the newest request found.
    newest: u64,
    /// All requests not answered yet up to this number are known to be idempotent.
    idempotent_up_to: u64,
    /// Whether the newest request is the last.
    is_last: bool,
    /// What is wrong with what came behind the newest request, or with its body.
    error: Option<FramingError>,
    /// What is wrong with the body of the current request.
    body_error: Option<FramingError>,
    is_finished: bool,
    is_idle: bool,
    /// When the first byte of a head came that is not whole.
    head_since: Option<Micros>,
    /// When the newest byte of a body came, or its request's turn.
    body_since: Micros,
    /// Since when there is no current request.
    idle_since: Micros,
    /// The longest keep-alive time that was allowed since then.
    keep_alive: Micros,
    /// Without a request it ends by then.
    shutdown_at: Micros,
    discarded: usize,
}

impl RequestFraming {
    /// Creates the state of a new connection.
    pub fn new(now: Micros) -> RequestFraming {
        RequestFraming {
            parser: RequestParser::default(),
            held: Vec::new(),
            start: 0,
            visible_end: 0,
            parsed_end: 0,
            queue: VecDeque::new(),
            current: None,
            newest: 0,
            idempotent_up_to: 0,
            is_last: false,
            error: None,
            body_error: None,
            is_finished: false,
            is_idle: false,
            head_since: None,
            body_since: now,
            idle_since: now,
            keep_alive: 0,
            shutdown_at: Micros::MAX,
            discarded: 0,
        }
    }

    /// Returns how many bytes may come now; none: the client is held up.
    pub fn capacity(&self, limits: &RequestLimits) -> usize {
        if self.is_discarding() {
            return MAX_DISCARDED_BYTES.saturating_sub(self.discarded);
        }
        let max = MAX_HELD_BYTES.max(limits.head_bytes.saturating_add(MAX_EMPTY_BUFFER));
        max.saturating_sub(self.held.len() - self.start)
    }

    /// Returns how many bytes are held that the server does not see yet: a head that is not whole, and requests behind the current
    /// one.
    pub fn unseen_bytes(&self) -> usize {
        self.held.len() - self.visible_end
    }

    /// Whether what comes next is of no lasting size: the server sees it at once, as it belongs to the body of the current request,
    /// or it is dropped.
    pub fn is_passing_on(&self) -> bool {
        let is_in_body = self.parser.is_in_body() && self.queue.is_empty();
        is_in_body || self.is_discarding()
    }

    /// Takes bytes that have come, at most as many as there is capacity for.
    pub fn feed(&mut self, now: Micros, limits: &RequestLimits, bytes: &[u8]) {
        if self.is_discarding() {
            self.discarded += bytes.len();
            return;
        }
        if self.start > MAX_EMPTY_BUFFER && self.start * 2 > self.held.len() {
            self.compact();
        }
        self.held.extend_from_slice(bytes);
        self.parse_ahead(now, limits);
    }

    /// Drops what was consumed.
    fn compact(&mut self) {
        self.held.drain(..self.start);
        self.visible_end -= self.start;
        self.parsed_end -= self.start;
        self.start = 0;
    }

    /// Whether nothing that comes matters any more.
    fn is_discarding(&self) -> bool {
        self.is_finished
            || self.error.is_some()
            || self.body_error.is_some()
            || (self.is_last && !self.parser.is_in_body())
    }

    fn parse_ahead(&mut self, now: Micros, limits: &RequestLimits) {
        while !self.is_discarding()
            && (self.queue.len() < MAX_QUEUED_REQUESTS || self.parser.is_in_body())
        {
            match self
                .parser
                .next(&self.held[self.parsed_end..], limits.head_bytes)
            {
                ParseStep::NeedMore => {
                    self.wait_for_more(now, limits);
                    return;
                }
                ParseStep::BlankLines(len) => {
                    self.held.drain(self.parsed_end..self.parsed_end + len);
                }
                ParseStep::Head(head) => self.on_head(now, &head),
                ParseStep::Body { len, is_end } => self.on_body(now, len, is_end),
                ParseStep::Invalid(error) => self.on_error(error),
            }
        }
        self.head_since = None;
    }

    /// A head that has begun runs against its timeout. What stands still because the client is held up does not.
    fn wait_for_more(&mut self, now: Micros, limits: &RequestLimits) {
        let has_begun = self.parsed_end < self.held.len() && self.capacity(limits) > 0;
        self.head_since = match has_begun {
            true => self.head_since.or(Some(now)),
            false => None,
        };
    }

    fn on_head(&mut self, now: Micros, head: &RequestHead) {
        self.parsed_end += head.len;
        self.newest += 1;
        self.is_last = head.is_last;
        self.queue.push_back(QueuedRequest {
            number: self.newest,
            head_len: head.len,
            len: head.len,
            is_whole: head.body.is_none(),
            has_body: head.body.is_some(),
            received_at: now,
            was_offered: false,
        });
        self.head_since = None;
        if self.current.is_none() {
            self.start_next(now);
        }
    }

    fn on_body(&mut self, now: Micros, len: usize, is_end: bool) {
        self.parsed_end += len;
        match (self.queue.back_mut(), &mut self.current) {
            (Some(queued), _) => {
                queued.len += len;
                queued.is_whole = is_end;
            }
            (None, Some(current)) => {
                self.visible_end += len;
                current.is_whole = is_end;
                self.body_since = now;
            }
            (None, None) => debug_assert!(false, "a body belongs to a request"),
        }
    }

    /// What comes next can't be taken.
    fn on_error(&mut self, error: FramingError) {
        self.head_since = None;
        // Of a request in the queue nobody has seen anything.
        if !self.parser.is_in_body() || self.queue.pop_back().is_some() {
            self.error = Some(error);
        } else {
            self.body_error = Some(error);
        }
    }

    fn start_next(&mut self, now: Micros) {
        if let Some(next) = self.queue.pop_front() {
            self.visible_end += next.len;
            self.body_since = now;
            self.current = Some(CurrentRequest {
                number: next.number,
                received_at: next.received_at,
                is_whole: next.is_whole,
                is_answered: false,
            });
        }
    }

    /// Returns what the server may see now.
    pub fn visible(&self) -> &[u8] {
        &self.held[self.start..self.visible_end]
    }

    /// Takes note that the server has read so much of it.
    pub fn consume(&mut self, now: Micros, bytes: usize) {
        self.start += bytes;
        self.body_since = now;
        if self.start == self.held.len() {
            (self.start, self.visible_end, self.parsed_end) = (0, 0, 0);
            if self.held.capacity() > MAX_EMPTY_BUFFER {
                self.held = Vec::new();
            }
            self.held.clear();
        }
    }

    /// Returns what is wrong with the body of the current request, if it can't be read on.
    pub fn body_error(&self) -> Option<FramingError> {
        self.body_error
    }

    /// Returns the number of the current request, and when its head was whole.
    pub fn current(&self) -> Option<(u64, Micros)> {
        self.current
            .map(|current| (current.number, current.received_at))
    }

    /// Whether the current request has no answer yet.
    pub fn has_unanswered(&self) -> bool {
        self.current.is_some_and(|current| !current.is_answered)
    }

    /// Takes note that the current request has its answer.
    pub fn on_answered(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_answered = true;
        }
    }

    /// Goes on to the next request once the answer is written; to be called whenever it may be.
    pub fn advance(&mut self, now: Micros, limits: &RequestLimits) {
        let Some(current) = self.current.filter(|current| current.is_answered) else {
            return;
        };
        self.current = None;
        (self.idle_since, self.keep_alive) = (now, limits.keep_alive_timeout);
        // What is left of an answered request's body stands in the way of the next.
        let has_rest = !current.is_whole || self.start < self.visible_end;
        let was_last = self.is_last && current.number == self.newest;
        if has_rest || self.body_error.is_some() || was_last {
            self.is_finished = true;
            return;
        }
        self.start_next(now);
        self.parse_ahead(now, limits);
    }

    /// Takes note that a request is known to be idempotent, and those before it.
    pub fn mark_idempotent(&mut self, number: u64) {
        self.idempotent_up_to = self.idempotent_up_to.max(number);
    }

    /// Returns the next request that may be started early: whole, without a body, behind idempotent ones only. Each is offered
    /// once.
    pub fn next_early(&mut self) -> Option<EarlyRequest<'_>> {
        let mut begin = self.visible_end;
        for queued in &mut self.queue {
            if queued.was_offered {
                begin += queued.len;
                continue;
            }
            if queued.has_body || queued.number != self.idempotent_up_to + 1 {
                return None;
            }
            queued.was_offered = true;
            return Some(EarlyRequest {
                number: queued.number,
                received_at: queued.received_at,
                head: &self.held[begin..begin + queued.head_len],
            });
        }
        None
    }

    /// Its process shuts down: without a request it ends by then.
    pub fn shut_down_by(&mut self, by: Micros) {
        self.shutdown_at = self.shutdown_at.min(by);
    }

    /// Returns the status of the connection.
    pub fn status(&self) -> ConnectionStatus {
        match (self.current, self.error) {
            (Some(_), _) => ConnectionStatus::Open,
            _ if self.is_finished => ConnectionStatus::Finished,
            (None, Some(error)) => ConnectionStatus::Rejected(error),
            _ if self.is_idle => ConnectionStatus::IdleTimeout,
            _ => ConnectionStatus::Open,
        }
    }

    /// Returns when time runs out for what is waited for.
    pub fn next_timeout(&self, limits: &RequestLimits) -> Micros {
        if self.is_discarding() {
            return Micros::MAX;
        }
        let head = self.head_since.map_or(Micros::MAX, |since| {
            since.saturating_add(limits.head_timeout)
        });
        let body = match self.current {
            Some(current)
                if !current.is_whole && !current.is_answered && self.visible().is_empty() =>
            {
                self.body_since.saturating_add(limits.body_idle_timeout)
            }
            None if self.head_since.is_none() => self.idle_timeout(limits),
            _ => Micros::MAX,
        };
        head.min(body)
    }

    fn idle_timeout(&self, limits: &RequestLimits) -> Micros {
        let keep_alive = self.keep_alive.max(limits.keep_alive_timeout);
        let shutdown_at = self.shutdown_at.max(self.idle_since);
        self.idle_since.saturating_add(keep_alive).min(shutdown_at)
    }

    /// Lets time pass. What has come is fed before: nobody is blamed for what was not read.
    pub fn on_tick(&mut self, now: Micros, limits: &RequestLimits) {
        self.keep_alive = self.keep_alive.max(limits.keep_alive_timeout);
        if now < self.next_timeout(limits) {
            return;
        }
        let is_head_late = |since: Micros| since.saturating_add(limits.head_timeout) <= now;
        if self.head_since.is_some_and(is_head_late) {
            self.error = Some(FramingError::HeadTimeout);
        } else if self.current.is_some() {
            self.body_error = Some(FramingError::BodyTimeout);
        } else {
            self.is_idle = true;
        }
    }
}
