//! A connection to an endpoint: which of the bytes that come are the response that is due.
//!
//! An endpoint in trouble sends a second whole response behind the first, or late, in the place of the next one, or bytes
//! that are no response. Each response carries its request's `Try-Id` back: what has another one is read to its end and
//! dropped. What comes while no request is outstanding ends the connection.

use super::body::BodyParser;
use super::head::{ResponseEnd, ResponseHead, ResponseHeadParser};
use super::lines::FramingError;

/// The longest head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Responses to other requests that are dropped before the one that is due, and their bytes.
const MAX_STALE_RESPONSES: usize = 4;
const MAX_STALE_BYTES: usize = 256 << 10;
/// An empty buffer larger than this is not kept.
const MAX_EMPTY_BUFFER: usize = 2 << 10;

/// Why a connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// Bytes came while no request was outstanding.
    Unsolicited,
    /// What came is no response, or one whose end can't be told.
    Unreadable(FramingError),
    /// A response without an id.
    MissingId,
    /// A response to another request whose end can't be told, as a HEAD was sent here.
    WrongId,
    /// Too many responses to other requests, or too long ones.
    TooManyStale,
    /// The request that was announced is not to be written any more.
    Cancelled,
}

#[derive(Clone, Debug)]
enum State {
    /// No request is outstanding.
    Idle,
    /// A request was announced; nothing of it was written yet.
    Announced,
    Head(ResponseHeadParser),
    /// The body of a response.
    Body {
        parser: BodyParser,
        is_due: bool,
    },
}

impl State {
    /// Returns what comes behind the head of a response.
    fn behind_head(end: ResponseEnd, is_due: bool) -> State {
        match end {
            ResponseEnd::WithBody(parser) => State::Body { parser, is_due },
            ResponseEnd::WithHead => State::behind_response(is_due),
        }
    }

    /// Returns what comes behind a response: nothing, or the one that is due.
    fn behind_response(was_due: bool) -> State {
        match was_due {
            true => State::Idle,
            false => State::Head(ResponseHeadParser::default()),
        }
    }
}

/// One connection.
#[derive(Clone, Debug)]
pub struct ResponseFraming {
    state: State,
    /// What has come and was not consumed yet, from `start`: the reader may see it up to `visible_end`.
    held: Vec<u8>,
    start: usize,
    visible_end: usize,
    /// The id that is due; empty: the request has none.
    due_id: Vec<u8>,
    /// A request without an id was sent here: what comes late can't be told from what is due.
    had_request_without_id: bool,
    /// The request is a HEAD; one was sent here before.
    is_head_request: bool,
    had_head_request: bool,
    stale_responses: usize,
    stale_bytes: usize,
    fault: Option<ResponseFault>,
}

impl Default for ResponseFraming {
    fn default() -> ResponseFraming {
        ResponseFraming {
            state: State::Idle,
            held: Vec::new(),
            start: 0,
            visible_end: 0,
            due_id: Vec::new(),
            had_request_without_id: false,
            is_head_request: false,
            had_head_request: false,
            stale_responses: 0,
            stale_bytes: 0,
            fault: None,
        }
    }
}

impl ResponseFraming {
    /// Announces a request that is about to be written. Returns false if it must not be: the connection is of no more use.
    pub fn announce(&mut self, id: &[u8], is_head_request: bool) -> bool {
        if self.fault.is_some() || !matches!(self.state, State::Idle | State::Announced) {
            return false;
        }
        self.state = State::Announced;
        self.due_id.clear();
        self.due_id.extend_from_slice(id);
        self.is_head_request = is_head_request;
        self.had_head_request |= is_head_request;
        self.had_request_without_id |= id.is_empty();
        (self.stale_responses, self.stale_bytes) = (0, 0);
        true
    }

    /// Cancels the request that was announced. Returns true if no byte of it was written, and none will be, as nothing may be
    /// written here any more; false if it may have arrived.
    pub fn cancel(&mut self) -> bool {
        let is_unwritten = matches!(self.state, State::Announced);
        if is_unwritten {
            self.fault.get_or_insert(ResponseFault::Cancelled);
        }
        is_unwritten
    }

    /// Takes note that bytes of the request are written.
    pub fn on_written(&mut self) {
        if matches!(self.state, State::Announced) {
            self.state = State::Head(ResponseHeadParser::default());
        }
    }

    /// Takes bytes that have come. Where nothing is visible and there is no fault, more are needed.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.fault.is_some() {
            return;
        }
        if self.start > 0 && self.start == self.visible_end {
            self.held.drain(..self.start);
            (self.start, self.visible_end) = (0, 0);
        }
        self.held.extend_from_slice(bytes);
        if let Err(fault) = self.parse() {
            self.fault = Some(fault);
            self.held.truncate(self.visible_end);
        }
    }

    fn parse(&mut self) -> Result<(), ResponseFault> {
        while self.visible_end < self.held.len() {
            let unread = &self.held[self.visible_end..];
            match &mut self.state {
                State::Idle | State::Announced => return Err(ResponseFault::Unsolicited),
                State::Head(parser) => {
                    let head = parser
                        .parse(unread, MAX_HEAD_BYTES, self.is_head_request)
                        .map_err(ResponseFault::Unreadable)?;
                    let Some(head) = head else { return Ok(()) };
                    self.state = self.on_head(head)?;
                }
                State::Body { parser, is_due } => {
                    let is_due = *is_due;
                    let (len, is_end) = parser.parse(unread).map_err(ResponseFault::Unreadable)?;
                    if is_due {
                        self.visible_end += len;
                    } else {
                        self.drop_stale(len);
                    }
                    if is_end {
                        self.state = State::behind_response(is_due);
                    }
                }
            }
            self.check_stale()?;
        }
        Ok(())
    }

    /// Passes a head on or drops it, by whose response it begins.
    fn on_head(&mut self, head: ResponseHead) -> Result<State, ResponseFault> {
        if head.is_interim() {
            self.drop_stale(head.len);
            return Ok(State::Head(ResponseHeadParser::default()));
        }
        let unread = &self.held[self.visible_end..];
        let id = head.id.clone().map(|range| &unread[range]);
        if id.unwrap_or_default() == self.due_id {
            self.visible_end += head.len;
            return Ok(State::behind_head(head.end, true));
        }
        if id.is_none() {
            return Err(ResponseFault::MissingId);
        }
        if self.had_head_request {
            return Err(ResponseFault::WrongId);
        }
        self.stale_responses += 1;
        self.drop_stale(head.len);
        Ok(State::behind_head(head.end, false))
    }

    fn check_stale(&self) -> Result<(), ResponseFault> {
        match self.stale_responses > MAX_STALE_RESPONSES || self.stale_bytes > MAX_STALE_BYTES {
            true => Err(ResponseFault::TooManyStale),
            false => Ok(()),
        }
    }

    fn drop_stale(&mut self, bytes: usize) {
        self.stale_bytes += bytes;
        self.held.drain(self.visible_end..self.visible_end + bytes);
    }

    /// Returns what the reader may see now.
    pub fn visible(&self) -> &[u8] {
        &self.held[self.start..self.visible_end]
    }

    /// Takes note that the reader has taken so much of it.
    pub fn consume(&mut self, bytes: usize) {
        self.start += bytes;
        if self.start == self.held.len() {
            (self.start, self.visible_end) = (0, 0);
            self.held.clear();
            if self.held.capacity() > MAX_EMPTY_BUFFER {
                self.held = Vec::new();
            }
        }
    }

    /// Returns why nothing more can be had from it; what is visible before is good.
    pub fn fault(&self) -> Option<ResponseFault> {
        self.fault
    }

    /// Whether another request may be sent on it.
    pub fn is_reusable(&self) -> bool {
        self.fault.is_none() && matches!(self.state, State::Idle) && !self.had_request_without_id
    }
}
