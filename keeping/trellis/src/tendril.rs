//! A counter's hold on the leading sorting machine.
//!
//! It starts from seeds that may be old, down or wrong, asks one after the other, follows the hint of who leads, and
//! lets go of who falls silent. One link at a time: what the leader says reaches every counter without relay, and a
//! link that only seems to stand is found out by the beats that do not come.

use crate::words::{Down, Up};
use crate::Micros;
use std::net::SocketAddrV4;

/// Without a word for so long the leader is taken for lost: three of its beats and a slow moment.
const SILENT: Micros = 1_000_000;
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
    Heard(&'a Down),
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
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Down,
    Dialled(SocketAddrV4),
    /// Up; not yet known who leads.
    Up(SocketAddrV4),
    /// The other side leads.
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
            counters: 0,
        }
    }

    /// Whether the leader has been heard of lately.
    pub fn holds(&self, now: Micros) -> bool {
        matches!(self.link, Link::Held(_)) && now < self.heard_at + SILENT
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
                self.hint = self.hint.or(if let Link::Held(to) = self.link { Some(to) } else { None });
                self.let_go(now, if matches!(self.link, Link::Held(_)) { 0 } else { ASK_AGAIN });
            }
            Event::Heard(down) => {
                self.heard_at = now;
                self.heard(now, down, &mut actions);
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
            Link::Held(_) => (self.heard_at + SILENT).min(self.report_at),
        }
    }

    /// What has been seen is to be told by then, not at the next regular time.
    pub fn hurry(&mut self, by: Micros) {
        self.report_at = self.report_at.min(by);
    }

    fn let_go(&mut self, now: Micros, pause: Micros) {
        if matches!(self.link, Link::Held(_)) {
            self.held_at = Some(self.heard_at);
        }
        (self.link, self.dial_at) = (Link::Down, now + pause);
    }

    fn heard(&mut self, now: Micros, down: &Down, actions: &mut Vec<Action>) {
        match down {
            Down::Elsewhere { leader, core, .. } => {
                self.learn(core);
                let (Link::Up(asked) | Link::Held(asked)) = self.link else { return };
                self.hint = leader.filter(|l| *l != asked);
                actions.push(Action::HangUp);
                self.let_go(now, if self.hint.is_some() { 0 } else { ASK_AGAIN });
            }
            Down::Welcome { core, counters, .. } => {
                self.learn(core);
                if let Link::Up(to) | Link::Held(to) = self.link {
                    (self.link, self.hint, self.report_at) = (Link::Held(to), None, now);
                }
                self.counters = (*counters).max(1);
            }
            Down::Beat { counters } => self.counters = (*counters).max(1),
            Down::Piece(_) | Down::Services(_) | Down::Stage(..) | Down::Listing(_) => {}
        }
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
            Link::Up(_) | Link::Held(_) => now >= self.heard_at + SILENT,
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

/// The first thing said on a link.
pub fn hello(node: &str, zone: &str, life: u64, edition: u64) -> Up {
    Up::Hello { node: node.into(), zone: zone.into(), life, edition }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(n: u8) -> SocketAddrV4 {
        SocketAddrV4::new([10, 0, 0, n].into(), 7720)
    }

    fn elsewhere(leader: Option<SocketAddrV4>, core: &[SocketAddrV4]) -> Down {
        Down::Elsewhere { leader, core: core.to_vec(), edition: None, services: Vec::new(), listing: None }
    }

    fn welcome() -> Down {
        Down::Welcome { term: 1, core: vec![at(1), at(2), at(3)], counters: 9 }
    }

    /// Guards against a counter that holds on to a dead seed, or that does not find a leader who is no seed.
    #[test]
    fn it_goes_from_dead_seeds_to_the_leader_that_a_live_one_names() {
        let mut t = Tendril::new(0, vec![at(1), at(2)], 1);
        assert_eq!(t.step(0, Event::Tick), [Action::Dial(at(1))]);
        // The first says nothing: it is given up in time, the second asked.
        assert_eq!(t.step(UP_WITHIN, Event::Tick), [Action::HangUp, Action::Dial(at(2))]);
        assert_eq!(t.step(UP_WITHIN + 1, Event::Opened), [Action::Hello]);
        let down = elsewhere(Some(at(5)), &[at(2), at(5)]);
        assert_eq!(t.step(UP_WITHIN + 2, Event::Heard(&down)), [Action::HangUp, Action::Dial(at(5))]);
        t.step(UP_WITHIN + 3, Event::Opened);
        assert_eq!(t.step(UP_WITHIN + 4, Event::Heard(&welcome())), [Action::Report]);
        assert!(t.holds(UP_WITHIN + 5) && t.counters() == 9);
    }

    /// Guards against a counter that goes on asking seeds that are said to be gone.
    #[test]
    fn other_seeds_take_the_place_of_those_before() {
        let mut t = Tendril::new(0, vec![at(1)], 0);
        assert_eq!(t.step(0, Event::Tick), [Action::Dial(at(1))]);
        t.reseed(vec![at(2)]);
        assert_eq!(t.step(UP_WITHIN, Event::Tick), [Action::HangUp, Action::Dial(at(2))]);
    }

    /// Guards against a counter that goes on as if in touch behind a cut that nothing reports.
    #[test]
    fn a_silent_leader_is_let_go_of_and_the_others_are_asked() {
        let mut t = Tendril::new(0, vec![at(1), at(2), at(3)], 0);
        t.step(0, Event::Tick);
        t.step(1, Event::Opened);
        t.step(2, Event::Heard(&welcome()));
        let mut asked = Vec::new();
        let mut now = 2;
        while now < 4_000_000 {
            now = t.next().max(now + 1);
            asked.extend(t.step(now, Event::Tick).into_iter().filter(|a| matches!(a, Action::Dial(_))));
        }
        assert!(!t.holds(now) && t.adrift(now) > 2_500_000);
        for n in 1..=3 {
            assert!(asked.contains(&Action::Dial(at(n))), "{n} was never asked: {asked:?}");
        }
    }
}
