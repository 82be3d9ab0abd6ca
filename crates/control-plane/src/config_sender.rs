//! How editions go out to counters: for each counter a state of what it holds and what is on its way to it.
//!
//! - *Coalescing.* At most one edition is on its way to a counter. Once that is in force there, the newest one is told as
//!   what has changed since; those in between are passed over.
//! - *Pieces and back-pressure.* An edition goes out in pieces, a few unacknowledged ones at a time, so that whatever
//!   else is said on the link (signs of life, appliances that leave, standings) waits behind a few pieces at most.
//! - *Pacing.* Of all pieces together only so many bytes are on their way, by turns: this machine's own link carries the
//!   agreement too, and followers that don't hear of their leader in time elect another one.
//! - What is said alike to many counters is made once, and shared.
//!
//! No I/O: events and the time go in, actions come out.

use crate::delta;
use crate::messages::{self, Down, Fenced, Piece};
use crate::state_machine::Kept;
use crate::Micros;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Bytes of an edition in one piece: a thirtieth of a second on 2 Mbit/s.
const PIECE: usize = 8 << 10;
/// Bytes of pieces on their way to one counter, unacknowledged. On 2 Mbit/s what is more urgent waits a tenth of a
/// second behind them, and with a round trip of 40 ms between regions 600 KB/s get through.
pub const WINDOW: usize = 3 * PIECE;
/// Bytes of pieces on their way to all counters: 80 ms on a link of 51 Mbit/s, which leaves room for a sign of life
/// every 100 ms to followers that wait 400 ms; enough for twenty counters at a time, which take it as fast as that.
pub const WINDOW_OF_ALL: usize = 512 << 10;
/// A counter that has not acknowledged a piece for so long no longer takes room from the others: it is cut off, frozen
/// or far slower than they are.
const STALLED: Micros = 500_000;
/// Editions that are remembered, besides the newest, so that a counter that holds one is told of changes only.
const MOST_REMEMBERED: usize = 8;
/// Bytes of them; the last one is kept whatever its length.
const MOST_REMEMBERED_BYTES: usize = 8 << 20;

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An edition has been agreed on, or read from the store.
    Edition(Kept),
    /// A counter holds on to this machine by this link, and has that edition in force (0: none).
    Opened {
        link: u64,
        held: u64,
    },
    /// A counter has got so many bytes of what is on its way.
    Got {
        link: u64,
        number: u64,
        upto: u32,
    },
    /// A counter has this edition in force (0: none that goes with what it was told); what was on its way is done with.
    Holds {
        link: u64,
        edition: u64,
    },
    Closed {
        link: u64,
    },
    /// This machine leads in this term from now on, or no longer: all links of before have ended.
    Leads {
        term: Option<u64>,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say this to a counter.
    Send { link: u64, frame: Bytes },
    /// The counter has in force what was newest when its link opened, or something newer.
    Current { link: u64 },
    /// An edition is in force there: bytes that were told, microseconds since it was agreed on here.
    InForce {
        link: u64,
        number: u64,
        told: u32,
        after: Micros,
    },
}

/// An edition as told to counters that hold a certain other one, in frames.
struct Telling {
    number: u64,
    length: u32,
    /// Where each piece ends, and its frame.
    frames: Vec<(u32, Bytes)>,
}

/// One counter.
struct Feed {
    held: u64,
    /// What was newest when its link opened; nothing once it has that.
    awaits: Option<u64>,
    coming: Option<Coming>,
    /// It could not take this edition in: not told again.
    refused: u64,
    /// Whether it is in the queue of those that wait for their turn.
    queued: bool,
}

/// What is on its way to a counter.
struct Coming {
    telling: Arc<Telling>,
    from: u64,
    /// Pieces that were sent.
    pieces: usize,
    /// Bytes that were sent, and those that were acknowledged.
    sent: u32,
    got: u32,
    /// When the last piece was sent or acknowledged.
    moved_at: Micros,
    /// Whether what is unacknowledged still counts among the bytes on their way to all.
    counted: bool,
}

impl Coming {
    fn flying(&self) -> usize {
        (self.sent - self.got) as usize
    }
    fn is_sent(&self) -> bool {
        self.sent == self.telling.length
    }
}

/// All counters' feeds, and the editions that they are told of.
#[derive(Default)]
pub struct Feeds {
    /// The term that all is said in.
    term: u64,
    newest: Option<Kept>,
    newest_at: Micros,
    /// Editions before the newest, the last one at the end.
    earlier: VecDeque<Kept>,
    feeds: BTreeMap<u64, Feed>,
    /// The newest as told to who holds another (0: none).
    tellings: BTreeMap<u64, Arc<Telling>>,
    /// Links that wait for their turn.
    turns: VecDeque<u64>,
    /// Bytes on their way to all counters that aren't stalled.
    flying: usize,
    actions: Vec<Action>,
}

impl Feeds {
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match event {
            Event::Edition(kept) => self.edition(now, kept),
            Event::Opened { link, held } => {
                self.drop(link);
                let awaits = self.newest.as_ref().map(|n| n.number).filter(|n| *n > held);
                self.feeds.insert(
                    link,
                    Feed {
                        held,
                        awaits,
                        coming: None,
                        refused: 0,
                        queued: false,
                    },
                );
                match awaits {
                    Some(_) => self.queue(link),
                    None => self.actions.push(Action::Current { link }),
                }
            }
            Event::Got { link, number, upto } => self.got(now, link, number, upto),
            Event::Holds { link, edition } => self.holds(now, link, edition),
            Event::Closed { link } => self.drop(link),
            Event::Leads { term } => {
                self.term = term.unwrap_or(0);
                self.tellings.clear();
                self.feeds.clear();
                self.turns.clear();
                self.flying = 0;
            }
            Event::Tick => self.stalled(now),
        }
        self.pump(now);
        std::mem::take(&mut self.actions)
    }

    /// Bytes on their way to counters that take them.
    pub fn flying(&self) -> usize {
        self.flying
    }

    /// Bytes that are kept: texts, and what is made of them to be told.
    pub fn kept_bytes(&self) -> usize {
        let texts = self
            .earlier
            .iter()
            .chain(&self.newest)
            .map(|k| k.text.len());
        texts.sum::<usize>()
            + self
                .tellings
                .values()
                .map(|t| t.length as usize)
                .sum::<usize>()
    }

    /// Counters that don't have the newest edition in force.
    pub fn behind(&self) -> usize {
        let newest = self.newest.as_ref().map_or(0, |n| n.number);
        self.feeds.values().filter(|f| f.held < newest).count()
    }

    fn edition(&mut self, now: Micros, kept: Kept) {
        if self
            .newest
            .as_ref()
            .is_some_and(|n| n.number >= kept.number)
        {
            return;
        }
        self.earlier.extend(self.newest.replace(kept));
        self.newest_at = now;
        self.tellings.clear();
        let beyond = |earlier: &VecDeque<Kept>| {
            let bytes: usize = earlier.iter().map(|k| k.text.len()).sum();
            earlier.len() > MOST_REMEMBERED || (earlier.len() > 1 && bytes > MOST_REMEMBERED_BYTES)
        };
        while beyond(&self.earlier) {
            self.earlier.pop_front();
        }
        let links: Vec<u64> = self.feeds.keys().copied().collect();
        links.into_iter().for_each(|link| self.queue(link));
    }

    /// Puts a link into the queue, at its end.
    fn queue(&mut self, link: u64) {
        if let Some(feed) = self.feeds.get_mut(&link).filter(|f| !f.queued) {
            feed.queued = true;
            self.turns.push_back(link);
        }
    }

    fn drop(&mut self, link: u64) {
        if let Some(Feed {
            coming: Some(coming),
            ..
        }) = self.feeds.remove(&link)
        {
            self.flying -= if coming.counted { coming.flying() } else { 0 };
        }
    }

    fn got(&mut self, now: Micros, link: u64, number: u64, upto: u32) {
        let Some(coming) = self.feeds.get_mut(&link).and_then(|f| f.coming.as_mut()) else {
            return;
        };
        if coming.telling.number != number || upto <= coming.got || upto > coming.sent {
            return;
        }
        self.flying -= if coming.counted {
            (upto - coming.got) as usize
        } else {
            0
        };
        (coming.got, coming.moved_at) = (upto, now);
        if !coming.counted {
            coming.counted = true;
            self.flying += coming.flying();
        }
        self.queue(link);
    }

    fn holds(&mut self, now: Micros, link: u64, edition: u64) {
        let Some(feed) = self.feeds.get_mut(&link) else {
            return;
        };
        if let Some(coming) = feed.coming.take() {
            self.flying -= if coming.counted { coming.flying() } else { 0 };
            let number = coming.telling.number;
            if edition == number {
                let after = now.saturating_sub(self.newest_at);
                self.actions.push(Action::InForce {
                    link,
                    number,
                    told: coming.telling.length,
                    after,
                });
            } else if edition < number && (coming.from == 0 || edition != 0) {
                feed.refused = number;
            }
        }
        feed.held = edition;
        if feed
            .awaits
            .is_some_and(|awaited| edition.max(feed.refused) >= awaited)
        {
            feed.awaits = None;
            self.actions.push(Action::Current { link });
        }
        self.queue(link);
    }

    /// What stalled counters don't acknowledge takes no room from the others any more.
    fn stalled(&mut self, now: Micros) {
        for feed in self.feeds.values_mut() {
            let Some(coming) = &mut feed.coming else {
                continue;
            };
            if coming.counted && coming.flying() > 0 && now >= coming.moved_at + STALLED {
                coming.counted = false;
                self.flying -= coming.flying();
            }
        }
    }

    /// Sends what may be sent, by turns.
    fn pump(&mut self, now: Micros) {
        while self.flying < WINDOW_OF_ALL {
            let Some(link) = self.turns.pop_front() else {
                return;
            };
            if self.piece(now, link) {
                self.turns.push_back(link);
            } else if let Some(feed) = self.feeds.get_mut(&link) {
                feed.queued = false;
            }
        }
    }

    /// Sends the next piece to a counter; whether another one may follow.
    fn piece(&mut self, now: Micros, link: u64) -> bool {
        let Some(newest) = self.newest.as_ref().map(|n| n.number) else {
            return false;
        };
        let Some(feed) = self.feeds.get(&link) else {
            return false;
        };
        let begins = feed.coming.is_none();
        if begins && (feed.held >= newest || feed.refused >= newest) {
            return false;
        }
        if begins {
            let from = feed.held;
            let (from, telling) = self.telling(from);
            let coming = Coming {
                telling,
                from,
                pieces: 0,
                sent: 0,
                got: 0,
                moved_at: now,
                counted: true,
            };
            self.feeds.get_mut(&link).expect("just seen").coming = Some(coming);
        }
        let coming = self
            .feeds
            .get_mut(&link)
            .and_then(|f| f.coming.as_mut())
            .expect("just begun");
        if coming.is_sent() || coming.flying() >= WINDOW || !coming.counted {
            return false;
        }
        let (end, frame) = &coming.telling.frames[coming.pieces];
        self.flying += (end - coming.sent) as usize;
        coming.pieces += 1;
        (coming.sent, coming.moved_at) = (*end, now);
        self.actions.push(Action::Send {
            link,
            frame: frame.clone(),
        });
        !coming.is_sent() && coming.flying() < WINDOW
    }

    /// The newest edition as told to who holds `from`; from which it is told: 0 where that one isn't remembered.
    fn telling(&mut self, from: u64) -> (u64, Arc<Telling>) {
        let newest = self.newest.as_ref().expect("asked for where there is one");
        let old = self.earlier.iter().find(|k| k.number == from);
        let (from, text) = old.map_or((0, ""), |k| (k.number, &*k.text));
        let term = self.term;
        let made = self.tellings.entry(from).or_insert_with(|| {
            let told = delta::diff(text, &newest.text);
            Arc::new(Telling::new(term, newest.number, from, &told))
        });
        (from, made.clone())
    }
}

impl Telling {
    fn new(term: u64, number: u64, from: u64, told: &[u8]) -> Telling {
        let length = told.len() as u32;
        let frames = told.chunks(PIECE).enumerate().map(|(i, bytes)| {
            let at = (i * PIECE) as u32;
            let word = Down::Piece(Piece {
                number,
                from,
                length,
                at,
                bytes: bytes.to_vec(),
            });
            (
                at + bytes.len() as u32,
                Bytes::from(messages::frame(&Fenced { term, word })),
            )
        });
        Telling {
            number,
            length,
            frames: frames.collect(),
        }
    }
}
