//! What a simulated release is made of: the build's truth, the day's trouble, and nodes that queue and serve.
//! Figures are drawn by seed from ranges that stand here; they are this rig's own choice of a small service.

use magpieline::interface::{Listed, Named, News, Phase};
use magpieline::Balancer;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

pub const GROUPS: usize = 4;
/// Work of a hit in seconds of a core of speed 1, target latency and client timeout, by path group.
pub const WORK: [f64; GROUPS] = [0.070, 0.070, 0.045, 0.045];
pub const TARGET: [f64; GROUPS] = [0.6, 0.5, 0.4, 0.3];
pub const TIMEOUT: [f64; GROUPS] = [2.0, 2.0, 1.2, 0.75];
pub const BENEFIT: [f64; GROUPS] = [2.0, 1.0, 3.0, 5.0];
pub const REPEAT: [&str; GROUPS] = ["retryable", "retryable", "dedup", "fragile"];
/// Shares of the hits, summed up.
pub const MIX: [f64; GROUPS] = [0.32, 0.62, 0.86, 1.0];
pub const KEYS: usize = 4000;

/// The share of each path group.
pub fn parts() -> [f64; GROUPS] {
    let mut last = 0.0;
    MIX.map(|m| m - std::mem::replace(&mut last, m))
}

/// A node's start: how long until it is up, how long cold, at what part of its power it begins.
pub const START: f64 = 1.2;
pub const COLD: f64 = 4.0;
pub const COLD_SHARE: f64 = 0.4;
pub const CORES: usize = 3;

/// What a build really is. Figures as drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Truth {
    /// Good, at this speed against the earlier one.
    Good(f64),
    /// Fails a share of all hits.
    Errors(f64),
    /// Fails a share of one path group.
    Group(usize, f64),
    /// Needs so many times the work.
    Work(f64),
    /// Turns slow and fails a share once a node has run so long.
    Late(f64, f64),
    /// Fails a share on nodes that are busier than this.
    Busy(f64, f64),
    /// Gives wrong answers, a third of which are complained of.
    Wrong(f64),
    /// Slows all nodes by its part of the traffic times this.
    SlowsAll(f64),
}

pub const BAD: [&str; 7] = [
    "errors",
    "group",
    "work",
    "late",
    "busy",
    "wrong",
    "slows all",
];

impl Truth {
    pub fn draw(kind: &str, chance: &mut ChaCha8Rng) -> Truth {
        match kind {
            "errors" => Truth::Errors(chance.gen_range(0.04..0.36)),
            "group" => Truth::Group(chance.gen_range(0..GROUPS), chance.gen_range(0.25..0.9)),
            "work" => Truth::Work(chance.gen_range(1.7..3.7)),
            "late" => Truth::Late(chance.gen_range(5.0..11.0), chance.gen_range(0.1..0.4)),
            "busy" => Truth::Busy(chance.gen_range(0.3..0.6), chance.gen_range(0.2..0.6)),
            "wrong" => Truth::Wrong(chance.gen_range(0.03..0.24)),
            "slows all" => Truth::SlowsAll(chance.gen_range(1.0..2.5)),
            _ => Truth::Good(chance.gen_range(0.88..1.15)),
        }
    }
    pub fn good(self) -> bool {
        matches!(self, Truth::Good(_))
    }
}

/// The day's trouble, beside the release.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    None,
    /// All nodes so many times slower, from, to.
    Slowdown(f64, f64, f64),
    /// All nodes err alike at a share, from, to.
    SharedErrors(f64, f64, f64),
    /// A few keys bring 15% of the hits with 2.5 times the work and are bound one way.
    HeavyKeys,
    /// One key in fifty always errs, and keys are bound one way.
    FailingKeys,
    /// This node errs at a share, whatever it runs.
    Sick(usize, f64),
    /// So many times the traffic, from, to.
    Burst(f64, f64, f64),
    /// Every agent starts anew at this time.
    Restarts(f64),
    /// This share of all hits errs, whatever build.
    Base(f64),
}

pub const TROUBLES: [&str; 12] = [
    "calm",
    "slowdown",
    "shared errors",
    "heavy keys",
    "failing keys",
    "sick trial node",
    "sick first node",
    "sick earlier node",
    "burst",
    "restarts",
    "base 1%",
    "base 5%",
];

impl Trouble {
    pub fn draw(kind: &str, chance: &mut ChaCha8Rng) -> Trouble {
        // The release begins at 15 s; the first stages take some ten seconds.
        let from = chance.gen_range(14.0..28.0);
        match kind {
            "slowdown" => Trouble::Slowdown(
                chance.gen_range(1.4..2.9),
                from,
                from + chance.gen_range(3.0..15.0),
            ),
            "shared errors" => Trouble::SharedErrors(0.2, from, from + chance.gen_range(3.0..10.0)),
            "heavy keys" => Trouble::HeavyKeys,
            "failing keys" => Trouble::FailingKeys,
            "sick trial node" => Trouble::Sick(Fleet::SIZE + chance.gen_range(1..Fleet::SIZE), 0.4),
            "sick first node" => Trouble::Sick(Fleet::SIZE, 0.4),
            "sick earlier node" => Trouble::Sick(0, 0.4),
            "burst" => Trouble::Burst(
                chance.gen_range(1.5..2.0),
                from,
                from + chance.gen_range(2.0..10.0),
            ),
            "restarts" => Trouble::Restarts(chance.gen_range(18.0..28.0)),
            "base 1%" => Trouble::Base(0.01),
            "base 5%" => Trouble::Base(0.05),
            _ => Trouble::None,
        }
    }
    pub fn one_way(self) -> bool {
        matches!(self, Trouble::HeavyKeys | Trouble::FailingKeys)
    }
    fn during(from: f64, to: f64, now: f64) -> bool {
        (from..to).contains(&now)
    }
    pub fn slows(self, now: f64) -> f64 {
        match self {
            Trouble::Slowdown(by, from, to) if Trouble::during(from, to, now) => by,
            _ => 1.0,
        }
    }
    pub fn traffic(self, now: f64) -> f64 {
        match self {
            Trouble::Burst(by, from, to) if Trouble::during(from, to, now) => by,
            _ => 1.0,
        }
    }
    /// The chance that a hit errs whatever build serves it; some errors are anybody's.
    pub fn errs(self, now: f64, key: usize, node: usize) -> f64 {
        match self {
            Trouble::SharedErrors(share, from, to) if Trouble::during(from, to, now) => share,
            Trouble::FailingKeys if key.is_multiple_of(50) => 1.0,
            Trouble::Sick(sick, share) if node == sick => share,
            Trouble::Base(share) => share,
            _ => 0.0005,
        }
    }
}

/// A hit at a node.
#[derive(Clone, Copy)]
pub struct Job {
    pub hit: usize,
    pub forward: u32,
    pub work: f64,
}

pub struct Node {
    pub build: u32,
    pub up_since: f64,
    pub speed: f64,
    pub open: bool,
    pub busy: usize,
    pub queue: VecDeque<Job>,
}

impl Node {
    pub fn load(&self) -> f64 {
        (self.busy + self.queue.len()) as f64 / CORES as f64
    }
    pub fn has_room(&self) -> bool {
        self.busy < CORES
    }
    pub fn is_full(&self) -> bool {
        self.queue.len() > 100
    }
    /// Its power now, by its age.
    pub fn power(&self, now: f64) -> f64 {
        let warm = COLD_SHARE + (1.0 - COLD_SHARE) * (now - self.up_since) / COLD;
        self.speed
            * if self.up_since <= 0.0 {
                1.0
            } else {
                warm.clamp(COLD_SHARE, 1.0)
            }
    }
}

/// The nodes: the earlier build's first, then the trial's as stages bring them.
pub struct Fleet {
    pub nodes: Vec<Node>,
}

impl Fleet {
    pub const SIZE: usize = 15;

    pub fn new(chance: &mut ChaCha8Rng) -> Fleet {
        let mut fleet = Fleet { nodes: Vec::new() };
        (0..Fleet::SIZE).for_each(|_| fleet.start(1, 0.0, chance));
        fleet
    }
    /// The node list, as agents are told it.
    pub fn list(&self, now: f64) -> Vec<Listed> {
        let line = |(node, n): (usize, &Node)| Listed {
            node,
            open: n.open && n.up_since <= now,
            build: n.build,
            zone: 0,
            cell: 0,
            rating: 1.0,
            up_since: n.up_since,
            speaks: 0,
        };
        self.nodes.iter().enumerate().map(line).collect()
    }
    /// An agent's decisions, just started and told the list; without news the earlier build is long released.
    pub fn agent(&self, seed: u64, now: f64, named: Named, news: Option<News>) -> Balancer {
        let mut balancer =
            Balancer::start(seed, now, None, named).expect("the rig's settings are whole");
        balancer.listed(now, true, true, &self.list(now));
        let released = News {
            build: 1,
            stage: 3,
            phase: Phase::Released,
            since: 100.0,
            cap: 1.0,
        };
        balancer.heard(now, news.unwrap_or(released));
        balancer
    }
    pub fn start(&mut self, build: u32, up_since: f64, chance: &mut ChaCha8Rng) {
        let speed = chance.gen_range(0.9..1.1);
        self.nodes.push(Node {
            build,
            up_since,
            speed,
            open: true,
            busy: 0,
            queue: VecDeque::new(),
        });
    }
}
