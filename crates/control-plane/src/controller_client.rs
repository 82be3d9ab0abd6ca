//! A counter's hold on the leading sorting machine.
//!
//! It starts from seeds that may be old, down or wrong, asks one after the other, follows the hint of who leads, and
//! lets go of who falls silent. One link at a time: what the leader says reaches every counter without relay, and a
//! link that only seems to stand is found out by the beats that do not come.
//!
//! It is also where words of the past are refused. Every word carries the term that it is said in; a counter keeps the
//! highest term that a leader has spoken to it in, takes nothing said in a lower one, and ends a link on which it hears
//! such. How old the evidence of a majority behind a leader's word can be is measured on the counter's own clock, by the
//! moment of its newest report that the leader names: clocks are never compared, and whatever a word has waited in on its
//! way is counted.

use crate::messages::{Down, Fenced};
use crate::Micros;
use std::net::SocketAddrV4;

/// Without a word for so long the leader is taken for lost: three of its beats and a slow moment.
const SILENT: Micros = 1_000_000;
/// A leader is taken at its word for so long after the counter's newest report that it has named: reports go up twice a
/// second and are named with the next beat, 0.8 s later; as much again for slow moments. Below the least `contact` of the
/// deployments known, 3 s.
const FRESH: Micros = 2_000_000;
/// On a link that is choked, beats come late and still come. It is let go of only when what comes is this old: a new link
/// to the same leader would be choked anew.
const STALE: Micros = 5_000_000;
/// A link that is not up after this is given up: connections within a region take a few milliseconds, across
/// regions some fifty.
const UP_WITHIN: Micros = 250_000;
/// A machine that knows no leader is asked again after this, and the next one meanwhile.
const ASK_AGAIN: Micros = 80_000;
/// A sign of life goes up this often: the leader counts who is there, and hears of evidence.
const REPORT_EVERY: Micros = 500_000;

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The link is up.
    Opened,
    /// It has ended, or did not come up.
    Closed,
    Heard(&'a Fenced<Down>),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a link to this machine; what is open ends.
    Dial(SocketAddrV4),
    /// End the link.
    HangUp,
    /// Say who this is.
    Hello,
    /// Tell what is in force, and what has been seen.
    Report,
    /// Take what was heard into force, before anything that follows: it is the word of a leader whom a majority has
    /// confirmed after this counter asked, and of no lower term than any heard before.
    Take,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Down,
    Dialled(SocketAddrV4),
    /// Up; not yet known who leads.
    Up(SocketAddrV4),
    /// The other side leads, in the term of the tendril.
    Held(SocketAddrV4),
}

/// A counter's hold on the leader.
#[derive(Debug)]
pub struct Tendril {
    seeds: Vec<SocketAddrV4>,
    /// All sorting machines, as last told; seeds where nothing was told.
    core: Vec<SocketAddrV4>,
    link: Link,
    /// Who is asked next, among `core` and then `seeds`.
    turn: usize,
    hint: Option<SocketAddrV4>,
    began: Micros,
    since: Micros,
    heard_at: Micros,
    dial_at: Micros,
    report_at: Micros,
    /// When the leader was last held; none: never.
    held_at: Option<Micros>,
    /// The highest term that a leader has spoken in; 0: none has.
    term: u64,
    /// The term of the link, once a leader has spoken on it.
    spoken: Option<u64>,
    /// The newest report that a leader has named: it led, and nobody else, at a moment after it.
    led_at: Option<Micros>,
    /// All that was acknowledged before this moment is known here; none: nothing is.
    confirmed_at: Option<Micros>,
    /// The edition in force here.
    edition: u64,
    counters: u32,
}

impl Tendril {
    /// `turn` says with whom it begins; counters should differ.
    pub fn new(now: Micros, seeds: Vec<SocketAddrV4>, turn: usize) -> Tendril {
        Tendril {
            core: seeds.clone(),
            seeds,
            link: Link::Down,
            turn,
            hint: None,
            began: now,
            since: now,
            heard_at: now,
            dial_at: now,
            report_at: now,
            held_at: None,
            term: 0,
            spoken: None,
            led_at: None,
            confirmed_at: None,
            edition: 0,
            counters: 0,
        }
    }

    /// Whether the leader has been heard of lately, and led lately when it spoke.
    pub fn holds(&self, now: Micros) -> bool {
        let fresh = self.led_at.is_some_and(|at| now < at + FRESH);
        matches!(self.link, Link::Held(_)) && now < self.heard_at + SILENT && fresh
    }

    /// A moment before which nothing was acknowledged that is not known here, on this counter's clock; none: no leader
    /// has confirmed anything in this life, and nothing is to be taken for being in force.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at
    }

    /// The highest term that a leader has spoken to this counter in; 0: none has.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// For how long no leader has been held.
    pub fn adrift(&self, now: Micros) -> Micros {
        if self.holds(now) {
            0
        } else {
            now.saturating_sub(self.held_at.unwrap_or(self.began))
        }
    }

    /// How many counters there are, as last told; 0 before.
    pub fn counters(&self) -> u32 {
        self.counters
    }

    /// Who is held, or being asked.
    pub fn target(&self) -> Option<SocketAddrV4> {
        match self.link {
            Link::Down => None,
            Link::Dialled(to) | Link::Up(to) | Link::Held(to) => Some(to),
        }
    }

    /// All sorting machines that are known of.
    pub fn core(&self) -> &[SocketAddrV4] {
        &self.core
    }

    /// This edition is in force here.
    pub fn in_force(&mut self, edition: u64) {
        self.edition = edition;
    }

    /// Other seeds are told. Who is held stays held; what was learnt is asked first, as before.
    pub fn reseed(&mut self, seeds: Vec<SocketAddrV4>) {
        if self.core == self.seeds {
            self.core = seeds.clone();
        }
        self.seeds = seeds;
    }

    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Opened => {
                if let Link::Dialled(to) = self.link {
                    (self.link, self.since, self.heard_at) = (Link::Up(to), now, now);
                    actions.push(Action::Hello);
                }
            }
            Event::Closed => {
                // A leader that was held is asked once more first: a connection may break for its own reasons.
                self.hint = self.hint.or(if let Link::Held(to) = self.link {
                    Some(to)
                } else {
                    None
                });
                self.let_go(
                    now,
                    if matches!(self.link, Link::Held(_)) {
                        0
                    } else {
                        ASK_AGAIN
                    },
                );
            }
            Event::Heard(told) => {
                self.heard_at = now;
                self.heard(now, told, &mut actions);
            }
            Event::Tick => {}
        }
        self.pass(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] is due next.
    pub fn next(&self) -> Micros {
        match self.link {
            Link::Down => self.dial_at,
            Link::Dialled(_) => self.since + UP_WITHIN,
            Link::Up(_) => self.heard_at + SILENT,
            Link::Held(_) => self.silent_at().min(self.report_at),
        }
    }

    /// When a leader that is held is let go of, unless more comes.
    fn silent_at(&self) -> Micros {
        let stale = self.led_at.map_or(Micros::MAX, |at| at + STALE);
        (self.heard_at + SILENT).min(stale)
    }

    /// What has been seen is to be told by then, not at the next regular time.
    pub fn hurry(&mut self, by: Micros) {
        self.report_at = self.report_at.min(by);
    }

    fn let_go(&mut self, now: Micros, pause: Micros) {
        if matches!(self.link, Link::Held(_)) {
            self.held_at = Some(self.heard_at);
        }
        (self.link, self.spoken, self.dial_at) = (Link::Down, None, now + pause);
    }

    fn heard(&mut self, now: Micros, told: &Fenced<Down>, actions: &mut Vec<Action>) {
        let (Link::Up(asked) | Link::Held(asked)) = self.link else {
            return;
        };
        let past = told.term < self.term;
        if let Down::Elsewhere { leader, core } = &told.word {
            // Places to ask at, from a machine that may be behind or ahead of all others: what it says moves no term, and
            // one that knows of no newer term than an older leader's knows nothing new.
            if !past {
                self.learn(core);
                self.hint = leader.filter(|l| *l != asked);
            }
            actions.push(Action::HangUp);
            return self.let_go(now, if self.hint.is_some() { 0 } else { ASK_AGAIN });
        }
        if past || self.spoken.is_some_and(|term| term != told.term) {
            // Said by a leader of the past, or of more than one term: this link says nothing more.
            actions.push(Action::HangUp);
            return self.let_go(now, ASK_AGAIN);
        }
        (self.term, self.spoken) = (told.term, Some(told.term));
        match &told.word {
            Down::Welcome {
                core,
                counters,
                asked: at,
            } => {
                self.learn(core);
                (self.link, self.hint, self.report_at) = (Link::Held(asked), None, now);
                self.led_at = self.led_at.max(Some((*at).min(now)));
                self.confirmed_at = self.confirmed_at.max(self.led_at);
                self.counters = (*counters).max(1);
            }
            Down::Beat {
                counters,
                asked: at,
                edition,
            } => {
                self.led_at = self.led_at.max(Some((*at).min(now)));
                self.counters = (*counters).max(1);
                // A beat goes before what is bulky: it confirms all only where nothing of that is still to come.
                if self.edition >= *edition {
                    self.confirmed_at = self.confirmed_at.max(self.led_at);
                }
            }
            Down::Elsewhere { .. }
            | Down::Piece(_)
            | Down::Services(_)
            | Down::Stage(..)
            | Down::Listing(_) => {}
        }
        actions.push(Action::Take);
    }

    fn learn(&mut self, core: &[SocketAddrV4]) {
        if !core.is_empty() {
            self.core = core.to_vec();
        }
    }

    fn pass(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let lost = match self.link {
            Link::Down => false,
            Link::Dialled(_) => now >= self.since + UP_WITHIN,
            Link::Up(_) => now >= self.heard_at + SILENT,
            Link::Held(_) => now >= self.silent_at(),
        };
        if lost {
            actions.push(Action::HangUp);
            self.let_go(now, 0);
        }
        if self.link == Link::Down && now >= self.dial_at {
            if let Some(to) = self.next_asked() {
                (self.link, self.since) = (Link::Dialled(to), now);
                actions.push(Action::Dial(to));
            } else {
                self.dial_at = now + ASK_AGAIN;
            }
        }
        if matches!(self.link, Link::Held(_)) && now >= self.report_at {
            self.report_at = now + REPORT_EVERY;
            actions.push(Action::Report);
        }
    }

    /// The one that is said to lead, else all known ones in turn, the seeds among them: what was learnt may be older.
    fn next_asked(&mut self) -> Option<SocketAddrV4> {
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        let mut all = self.core.clone();
        all.extend(self.seeds.iter().filter(|s| !self.core.contains(s)));
        self.turn = self.turn.wrapping_add(1);
        (!all.is_empty()).then(|| all[self.turn % all.len()])
    }
}
