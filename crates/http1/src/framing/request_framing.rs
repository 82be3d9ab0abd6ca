//! A client's connection: what may be seen of it, in which order, and how it ends.
//!
//! Bytes are fed in as they come. The server behind is shown one request at a time, and nothing of a request whose
//! head is not whole and sound. Requests behind the one in work are read ahead, so that those which may be answered
//! early can be started. A request that can't be taken is answered in the place of the server, once all before it
//! have been answered; nothing behind it is read.

use super::body::Body;
use super::head::{Asked, RequestHead};
use super::lines::Wrong;
use crate::Micros;
use std::collections::VecDeque;

/// Requests that are read ahead of the one in work.
pub const MOST_AHEAD: usize = 16;
/// Bytes held at most, unless a head may be longer; then the client is held up.
const MOST_HELD: usize = 64 << 10;
/// Bytes behind the last request that are read and dropped, so that the end of the connection is seen behind them.
const MOST_SUNK: usize = 64 << 10;
/// An empty buffer larger than this is not kept.
const KEPT: usize = 2 << 10;

/// What clients may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub head_bytes: usize,
    /// From the first byte of a head to its last.
    pub head: Micros,
    /// Without a byte of a body that has begun.
    pub idle: Micros,
    /// Without a request. A client may go by any that held since its connection came to rest.
    pub rest: Micros,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    Open,
    /// All before it is answered: this is the answer to what came next, and the last.
    Answer(Wrong),
    /// No more requests will be served on it, and none is in work.
    Over,
    /// It was without a request for too long.
    Idle,
}

/// What the bytes that come next are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// More are needed.
    More,
    /// Empty lines before a request.
    Blank(usize),
    Head(Asked),
    Body {
        passed: usize,
        whole: bool,
    },
    Wrong(Wrong),
}

/// Finds requests, one behind the other. It holds no bytes: what it has passed is not given again.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    head: RequestHead,
    body: Option<Body>,
}

impl Requests {
    /// Heads take `most` bytes at most.
    pub fn next(&mut self, bytes: &[u8], most: usize) -> Step {
        if bytes.is_empty() {
            return Step::More;
        }
        if let Some(body) = &mut self.body {
            return match body.read(bytes) {
                Ok((passed, whole)) => {
                    if whole {
                        self.body = None;
                    }
                    Step::Body { passed, whole }
                }
                Err(wrong) => Step::Wrong(wrong),
            };
        }
        let blank = bytes
            .chunks_exact(2)
            .take_while(|pair| *pair == b"\r\n")
            .count()
            * 2;
        match (blank, bytes) {
            (1.., _) => return Step::Blank(blank),
            (_, b"\r") => return Step::More,
            _ => {}
        }
        match self.head.read(bytes, most) {
            Ok(None) => Step::More,
            Ok(Some(asked)) => {
                self.head = RequestHead::default();
                self.body.clone_from(&asked.body);
                Step::Head(asked)
            }
            Err(wrong) => Step::Wrong(wrong),
        }
    }

    /// Whether a body is being read.
    fn in_body(&self) -> bool {
        self.body.is_some()
    }
}

/// A request that is read ahead.
#[derive(Clone, Copy, Debug)]
struct Behind {
    number: u64,
    /// Bytes of its head, and all that is held of it.
    head: usize,
    len: usize,
    whole: bool,
    bodiless: bool,
    taken: Micros,
    /// It was offered to be started early.
    offered: bool,
}

/// The request that the server has.
#[derive(Clone, Copy, Debug)]
struct Work {
    number: u64,
    taken: Micros,
    whole: bool,
    answered: bool,
}

/// A request that may be started before its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Early<'a> {
    pub number: u64,
    /// When its head was whole.
    pub taken: Micros,
    pub head: &'a [u8],
}

/// One connection. Requests on it are numbered from 1.
#[derive(Clone, Debug)]
pub struct Doorway {
    requests: Requests,
    /// What has come and was not taken yet, from `start`: up to `open` the server may take it, up to `read` it was
    /// found sound.
    held: Vec<u8>,
    start: usize,
    open: usize,
    read: usize,
    behind: VecDeque<Behind>,
    work: Option<Work>,
    /// Number of the newest request found.
    newest: u64,
    /// All requests not answered yet up to this one are known to be safe.
    safe: u64,
    /// The newest request is the last.
    last: bool,
    /// What is wrong with what came behind the newest request, or with its body.
    wrong: Option<Wrong>,
    /// What is wrong with the body of the request in work.
    fault: Option<Wrong>,
    over: bool,
    idle: bool,
    /// The first byte of a head that is not whole.
    head_since: Option<Micros>,
    /// The newest byte of a body, or when its request's turn came.
    body_since: Micros,
    /// Since when nothing is in work.
    free_since: Micros,
    /// The longest rest that was allowed since then.
    rest: Micros,
    /// Without a request it ends by then.
    leaves: Micros,
    sunk: usize,
}

impl Doorway {
    pub fn new(now: Micros) -> Doorway {
        Doorway {
            requests: Requests::default(),
            held: Vec::new(),
            start: 0,
            open: 0,
            read: 0,
            behind: VecDeque::new(),
            work: None,
            newest: 0,
            safe: 0,
            last: false,
            wrong: None,
            fault: None,
            over: false,
            idle: false,
            head_since: None,
            body_since: now,
            free_since: now,
            rest: 0,
            leaves: Micros::MAX,
            sunk: 0,
        }
    }

    /// So many bytes may come now; none: the client is held up.
    pub fn room(&self, bounds: &Bounds) -> usize {
        if self.deaf() {
            return MOST_SUNK.saturating_sub(self.sunk);
        }
        let most = MOST_HELD.max(bounds.head_bytes.saturating_add(KEPT));
        most.saturating_sub(self.held.len() - self.start)
    }

    /// Bytes that have come, at most as many as there is room for.
    pub fn feed(&mut self, now: Micros, bounds: &Bounds, bytes: &[u8]) {
        if self.deaf() {
            self.sunk += bytes.len();
            return;
        }
        if self.start > KEPT && self.start * 2 > self.held.len() {
            self.held.drain(..self.start);
            (self.open, self.read) = (self.open - self.start, self.read - self.start);
            self.start = 0;
        }
        self.held.extend_from_slice(bytes);
        self.read_on(now, bounds);
    }

    /// Whether nothing that comes matters any more.
    fn deaf(&self) -> bool {
        self.over
            || self.wrong.is_some()
            || self.fault.is_some()
            || (self.last && !self.requests.in_body())
    }

    fn read_on(&mut self, now: Micros, bounds: &Bounds) {
        while !self.deaf() && (self.behind.len() < MOST_AHEAD || self.requests.in_body()) {
            match self
                .requests
                .next(&self.held[self.read..], bounds.head_bytes)
            {
                Step::More => {
                    // What stands still because the client is held up does not count.
                    let begun = self.read < self.held.len() && self.room(bounds) > 0;
                    self.head_since = if begun {
                        self.head_since.or(Some(now))
                    } else {
                        None
                    };
                    return;
                }
                Step::Blank(passed) => {
                    self.held.drain(self.read..self.read + passed);
                }
                Step::Head(asked) => {
                    self.read += asked.len;
                    self.newest += 1;
                    self.last = asked.last;
                    let whole = asked.body.is_none();
                    self.behind.push_back(Behind {
                        number: self.newest,
                        head: asked.len,
                        len: asked.len,
                        whole,
                        bodiless: whole,
                        taken: now,
                        offered: false,
                    });
                    self.head_since = None;
                    if self.work.is_none() {
                        self.open_next(now);
                    }
                }
                Step::Body { passed, whole } => {
                    self.read += passed;
                    match (self.behind.back_mut(), &mut self.work) {
                        (Some(behind), _) => {
                            behind.len += passed;
                            behind.whole = whole;
                        }
                        (None, Some(work)) => {
                            self.open += passed;
                            work.whole = whole;
                            self.body_since = now;
                        }
                        (None, None) => debug_assert!(false, "a body belongs to a request"),
                    }
                }
                Step::Wrong(wrong) => self.stop(wrong),
            }
        }
        self.head_since = None;
    }

    /// What comes next can't be taken.
    fn stop(&mut self, wrong: Wrong) {
        self.head_since = None;
        if !self.requests.in_body() {
            self.wrong = Some(wrong);
        } else if self.behind.pop_back().is_some() {
            self.wrong = Some(wrong); // nobody has seen anything of it
        } else {
            self.fault = Some(wrong);
        }
    }

    fn open_next(&mut self, now: Micros) {
        if let Some(next) = self.behind.pop_front() {
            self.open += next.len;
            self.body_since = now;
            self.work = Some(Work {
                number: next.number,
                taken: next.taken,
                whole: next.whole,
                answered: false,
            });
        }
    }

    /// What the server may take now.
    pub fn shown(&self) -> &[u8] {
        &self.held[self.start..self.open]
    }

    /// The server has taken so much of it.
    pub fn took(&mut self, now: Micros, bytes: usize) {
        self.start += bytes;
        self.body_since = now;
        if self.start == self.held.len() {
            (self.start, self.open, self.read) = (0, 0, 0);
            if self.held.capacity() > KEPT {
                self.held = Vec::new();
            }
            self.held.clear();
        }
    }

    /// The body of the request in work can't be read on: what is wrong with it.
    pub fn fault(&self) -> Option<Wrong> {
        self.fault
    }

    /// Number of the request in work, and when its head was whole.
    pub fn work(&self) -> Option<(u64, Micros)> {
        self.work.map(|w| (w.number, w.taken))
    }

    /// The request in work has its answer.
    pub fn answered(&mut self) {
        if let Some(work) = &mut self.work {
            work.answered = true;
        }
    }

    /// Goes on to the next request once the answer is written; to be called whenever it may be.
    pub fn settle(&mut self, now: Micros, bounds: &Bounds) {
        let Some(work) = self.work.filter(|w| w.answered) else {
            return;
        };
        self.work = None;
        (self.free_since, self.rest) = (now, bounds.rest);
        // What is left of an answered request's body stands in the way of the next.
        let rest = !work.whole || self.start < self.open;
        if rest || self.fault.is_some() || (self.last && work.number == self.newest) {
            self.over = true;
            return;
        }
        self.open_next(now);
        self.read_on(now, bounds);
    }

    /// The request is known to be safe; with those before it.
    pub fn safe(&mut self, number: u64) {
        self.safe = self.safe.max(number);
    }

    /// The next request that may be started early: whole, without a body, behind safe ones only. Each is offered once.
    pub fn early(&mut self) -> Option<Early<'_>> {
        let mut begin = self.open;
        for behind in &mut self.behind {
            if !behind.offered {
                if !behind.bodiless || behind.number != self.safe + 1 {
                    return None;
                }
                behind.offered = true;
                return Some(Early {
                    number: behind.number,
                    taken: behind.taken,
                    head: &self.held[begin..begin + behind.head],
                });
            }
            begin += behind.len;
        }
        None
    }

    /// Its process leaves: without a request it ends by then.
    pub fn leave(&mut self, by: Micros) {
        self.leaves = self.leaves.min(by);
    }

    pub fn stand(&self) -> Stand {
        match (self.work, self.wrong) {
            (Some(_), _) => Stand::Open,
            _ if self.over => Stand::Over,
            (None, Some(wrong)) => Stand::Answer(wrong),
            _ if self.idle => Stand::Idle,
            _ => Stand::Open,
        }
    }

    /// When time runs out for what is waited for.
    pub fn wake(&self, bounds: &Bounds) -> Micros {
        if self.deaf() {
            return Micros::MAX;
        }
        let head = self
            .head_since
            .map_or(Micros::MAX, |since| since.saturating_add(bounds.head));
        let body = match self.work {
            Some(work) if !work.whole && !work.answered && self.start == self.open => {
                self.body_since.saturating_add(bounds.idle)
            }
            None if self.head_since.is_none() => {
                let rest = self.rest.max(bounds.rest);
                self.free_since
                    .saturating_add(rest)
                    .min(self.leaves.max(self.free_since))
            }
            _ => Micros::MAX,
        };
        head.min(body)
    }

    /// Time passes. What has come is fed before: nobody is blamed for what was not read.
    pub fn tick(&mut self, now: Micros, bounds: &Bounds) {
        self.rest = self.rest.max(bounds.rest);
        if now < self.wake(bounds) {
            return;
        }
        if self
            .head_since
            .is_some_and(|since| since.saturating_add(bounds.head) <= now)
        {
            self.wrong = Some(Wrong::SlowHead);
        } else if self.work.is_some() {
            self.fault = Some(Wrong::SlowBody);
        } else {
            self.idle = true;
        }
    }
}
