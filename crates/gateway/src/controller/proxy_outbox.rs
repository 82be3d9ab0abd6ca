//! What counters that hold on to this machine are told, as frames that wait for their links.

use super::State;
use crate::clock::now;
use bytes::Bytes;
use jzon::JsonValue as Json;
use magpieline_control_plane::config_sender::{Action, Event};
use magpieline_control_plane::messages::{self, Down, Fenced};
use magpieline_control_plane::Micros;
use std::collections::HashMap;
use tokio::sync::{mpsc, oneshot};

/// Frames that may wait for one counter; one that takes no more is let go, and comes again.
const MOST_WAITING: usize = 512;

/// Counters' links, while this machine leads.
#[derive(Default)]
pub struct Mouth {
    links: HashMap<u64, Link>,
    next_link: u64,
    /// Bytes said to all counters together: parts of editions, and all else.
    editions: u64,
    words: u64,
}

struct Link {
    to: mpsc::Sender<Bytes>,
    /// Said once the counter has all that was agreed on before it came.
    welcome: Option<Bytes>,
    /// Dropped with the link.
    _held: oneshot::Sender<()>,
}

/// What waits to be written to a counter.
pub struct Queue {
    pub waiting: mpsc::Receiver<Bytes>,
    /// Comes when the link ends: what still waits then is not said any more.
    pub ended: oneshot::Receiver<()>,
}

impl State {
    /// A counter has come: its link, and the frames that wait for it.
    pub fn open(&mut self) -> (u64, Queue) {
        let (to, waiting) = mpsc::channel(MOST_WAITING);
        let (held, ended) = oneshot::channel();
        self.mouth.next_link += 1;
        let link = self.mouth.next_link;
        self.mouth.links.insert(
            link,
            Link {
                to,
                welcome: None,
                _held: held,
            },
        );
        (link, Queue { waiting, ended })
    }

    /// It has been told all but the edition, where it holds another one than the newest: that follows, and the welcome
    /// once it is in force.
    pub fn begin(&mut self, link: u64, held: u64, welcome: &Down) {
        let frame = self.fenced(welcome);
        if let Some(link) = self.mouth.links.get_mut(&link) {
            link.welcome = Some(frame);
        }
        self.feed(Event::Opened { link, held });
    }

    /// Tells one counter.
    pub fn tell(&mut self, link: u64, down: &Down) {
        let frame = self.fenced(down);
        self.mouth.words += self.say(link, frame);
    }

    /// A word of the leadership that holds all links.
    fn fenced(&self, word: &Down) -> Bytes {
        // Without one there is no link.
        let term = self.roster.term().unwrap_or(0);
        messages::frame(&Fenced { term, word }).into()
    }

    /// A sign of life to all counters.
    pub fn beat(&mut self) {
        let counters = self.roster.count(now());
        let edition = self.records.edition.as_ref().map_or(0, |k| k.number);
        let asked: Vec<(u64, Micros)> = self.roster.asked().collect();
        for (link, asked) in asked {
            self.tell(
                link,
                &Down::Beat {
                    counters,
                    asked,
                    edition,
                },
            );
        }
    }

    /// Tells all counters.
    pub fn tell_all(&mut self, down: &Down) {
        if self.mouth.links.is_empty() {
            return;
        }
        let frame = self.fenced(down);
        let links: Vec<u64> = self.mouth.links.keys().copied().collect();
        for link in links {
            self.mouth.words += self.say(link, frame.clone());
        }
    }

    /// Has a frame wait for one counter, which is let go if it takes no more; how many bytes wait now on top.
    fn say(&mut self, link: u64, frame: Bytes) -> u64 {
        let length = frame.len() as u64;
        match self.mouth.links.get(&link).map(|l| l.to.try_send(frame)) {
            Some(Ok(())) => return length,
            Some(Err(_)) => {
                tracing::debug!(target: "session", "A counter that takes nothing more is let go.");
                self.let_go(link);
            }
            None => {}
        }
        0
    }

    /// A link has ended, or is to end.
    pub fn let_go(&mut self, link: u64) {
        if self.mouth.links.remove(&link).is_some() {
            self.roster.closed(link);
            self.feed(Event::Closed { link });
        }
    }

    /// This machine leads in this term, or no longer: all links of before end.
    pub fn hang_up(&mut self, term: Option<u64>) {
        self.mouth.links.clear();
        self.feed(Event::Leads { term });
    }

    /// Counters are to have the newest edition.
    pub fn feed_newest(&mut self) {
        if let Some(kept) = self.records.edition.clone() {
            self.feed(Event::Edition(kept));
        }
    }

    /// Something has happened to the editions that are on their way.
    pub fn feed(&mut self, event: Event) {
        for action in self.feeds.step(now(), event) {
            match action {
                Action::Send { link, frame } => {
                    self.mouth.editions += self.say(link, frame);
                }
                Action::Current { link } => {
                    let welcome = self
                        .mouth
                        .links
                        .get_mut(&link)
                        .and_then(|l| l.welcome.take());
                    if let Some(frame) = welcome {
                        self.mouth.words += self.say(link, frame);
                    }
                }
                Action::InForce {
                    link,
                    number,
                    told,
                    after,
                } => {
                    tracing::debug!(
                        target: "edition",
                        "Edition {number} is in force at the counter of link {link}: {told} bytes, {} ms.",
                        after / 1000
                    );
                    if self.feeds.behind() == 0 {
                        tracing::info!(
                            target: "edition",
                            "Edition {number} is in force at all {} counters, after {} ms; {told} bytes to the last.",
                            self.mouth.links.len(),
                            after / 1000
                        );
                    }
                }
            }
        }
    }

    /// How editions go out, for operators.
    pub fn telling(&self) -> Json {
        jzon::object! {
            counters: self.mouth.links.len(), behind: self.feeds.behind(), bytes_on_their_way: self.feeds.flying(),
            bytes_of_editions: self.mouth.editions, bytes_of_all_else: self.mouth.words,
            editions_remembered_bytes: self.feeds.kept_bytes()
        }
    }
}
