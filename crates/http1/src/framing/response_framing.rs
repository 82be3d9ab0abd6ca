//! A connection to an appliance: which of the bytes that come are the answer that is due.
//!
//! An appliance in trouble sends a second whole answer behind the first, or late, in the place of the next one, or
//! bytes that are no answer. Each answer carries its request's `Try-Id` back: what has another one is read to its end
//! and dropped. What comes while nothing is asked ends the connection.

use super::body::Body;
use super::head::{AnswerHead, Ends};
use super::lines::Wrong;

/// A head is no longer than this.
const LONGEST_HEAD: usize = 64 << 10;
/// Answers to other requests that are dropped before the one that is due, and their bytes.
const MOST_DROPPED: usize = 4;
const DROPPED_BYTES: usize = 256 << 10;
/// An empty buffer larger than this is not kept.
const KEPT: usize = 2 << 10;

/// Why a connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Bytes came while nothing was asked.
    Unasked,
    /// What came is no answer, or one whose end can't be told.
    Unreadable(Wrong),
    /// An answer without the id that is due.
    Nameless,
    /// An answer to another request whose end can't be told, as a HEAD was sent here.
    Foreign,
    /// Too many answers to other requests, or too long ones.
    Flood,
    /// The request that was announced is not to be written any more.
    CalledOff,
}

#[derive(Clone, Debug)]
enum State {
    /// Nothing is asked.
    Quiet,
    /// A request was announced; nothing of it was written yet.
    Announced,
    Head(AnswerHead),
    /// The body of an answer; whether it is the one that is due.
    Body(Body, bool),
}

/// One connection.
#[derive(Clone, Debug)]
pub struct Echo {
    state: State,
    /// What has come and was not taken yet, from `start`: the reader may take it up to `open`.
    held: Vec<u8>,
    start: usize,
    open: usize,
    /// The id that is due; empty: the request has none.
    id: Vec<u8>,
    /// A request without an id was sent here: what comes late can't be told from what is due.
    nameless: bool,
    /// The request is a HEAD; one was sent here before.
    bodiless: bool,
    mixed: bool,
    dropped: usize,
    dropped_bytes: usize,
    fault: Option<Fault>,
}

impl Default for Echo {
    fn default() -> Echo {
        Echo {
            state: State::Quiet,
            held: Vec::new(),
            start: 0,
            open: 0,
            id: Vec::new(),
            nameless: false,
            bodiless: false,
            mixed: false,
            dropped: 0,
            dropped_bytes: 0,
            fault: None,
        }
    }
}

impl Echo {
    /// A request is about to be written. False: the connection is of no more use, and it must not be.
    pub fn ask(&mut self, id: &[u8], bodiless: bool) -> bool {
        if self.fault.is_some() || !matches!(self.state, State::Quiet | State::Announced) {
            return false;
        }
        self.state = State::Announced;
        self.id.clear();
        self.id.extend_from_slice(id);
        (self.bodiless, self.dropped, self.dropped_bytes) = (bodiless, 0, 0);
        self.mixed |= bodiless;
        self.nameless |= id.is_empty();
        true
    }

    /// The request that was announced is given up. True: no byte of it was written, and none will be, as nothing may be
    /// written here any more. False: it may have arrived.
    pub fn call_off(&mut self) -> bool {
        let unwritten = matches!(self.state, State::Announced);
        if unwritten {
            self.fault.get_or_insert(Fault::CalledOff);
        }
        unwritten
    }

    /// Bytes of the request are written.
    pub fn written(&mut self) {
        if matches!(self.state, State::Announced) {
            self.state = State::Head(AnswerHead::default());
        }
    }

    /// Bytes that have come. Where `shown` is empty and there is no fault, more are needed.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.fault.is_some() {
            return;
        }
        if self.start > 0 && self.start == self.open {
            self.held.drain(..self.start);
            (self.start, self.open) = (0, 0);
        }
        self.held.extend_from_slice(bytes);
        if let Err(fault) = self.read_on() {
            self.fault = Some(fault);
            self.held.truncate(self.open);
        }
    }

    fn read_on(&mut self) -> Result<(), Fault> {
        while self.open < self.held.len() {
            let next = match &mut self.state {
                State::Quiet | State::Announced => return Err(Fault::Unasked),
                State::Head(head) => {
                    let told = head
                        .read(&self.held[self.open..], LONGEST_HEAD, self.bodiless)
                        .map_err(Fault::Unreadable)?;
                    let Some(told) = told else { return Ok(()) };
                    let id = told
                        .id
                        .map(|(from, to)| &self.held[self.open + from..self.open + to]);
                    let due = id.unwrap_or_default() == self.id;
                    let nameless = id.is_none();
                    if told.interim() {
                        self.drop(told.len);
                        State::Head(AnswerHead::default())
                    } else if due {
                        self.open += told.len;
                        body_of(told.ends, true)
                    } else if nameless || self.mixed {
                        return Err(if nameless {
                            Fault::Nameless
                        } else {
                            Fault::Foreign
                        });
                    } else {
                        self.dropped += 1;
                        self.drop(told.len);
                        body_of(told.ends, false)
                    }
                }
                State::Body(body, due) => {
                    let due = *due;
                    let (passed, whole) = body
                        .read(&self.held[self.open..])
                        .map_err(Fault::Unreadable)?;
                    if due {
                        self.open += passed;
                    } else {
                        self.drop(passed);
                    }
                    if !whole {
                        self.flooded()?;
                        continue;
                    }
                    after(due)
                }
            };
            self.state = next;
            self.flooded()?;
        }
        Ok(())
    }

    fn flooded(&self) -> Result<(), Fault> {
        match self.dropped > MOST_DROPPED || self.dropped_bytes > DROPPED_BYTES {
            true => Err(Fault::Flood),
            false => Ok(()),
        }
    }

    fn drop(&mut self, bytes: usize) {
        self.dropped_bytes += bytes;
        self.held.drain(self.open..self.open + bytes);
    }

    /// What the reader may take now.
    pub fn shown(&self) -> &[u8] {
        &self.held[self.start..self.open]
    }

    /// The reader has taken so much of it.
    pub fn took(&mut self, bytes: usize) {
        self.start += bytes;
        if self.start == self.held.len() {
            (self.start, self.open) = (0, 0);
            self.held.clear();
            if self.held.capacity() > KEPT {
                self.held = Vec::new();
            }
        }
    }

    /// Why nothing more can be had from it; what is shown before is good.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Whether another request may be sent on it.
    pub fn usable(&self) -> bool {
        self.fault.is_none() && matches!(self.state, State::Quiet) && !self.nameless
    }
}

/// What comes behind the head of an answer.
fn body_of(ends: Ends, due: bool) -> State {
    match ends {
        Ends::With(body) => State::Body(body, due),
        Ends::AtOnce => after(due),
    }
}

/// What comes behind an answer: nothing, or the one that is due.
fn after(due: bool) -> State {
    match due {
        true => State::Quiet,
        false => State::Head(AnswerHead::default()),
    }
}
