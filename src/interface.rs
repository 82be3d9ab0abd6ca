//! The types by which callers reach the decisions in `policy`.
//!
//! Times are seconds. Nodes, keys, path groups, zones and accounts are small indices that the front gives
//! out: path groups and accounts in the order of the settings, the others as they first appear.

use std::collections::BTreeMap;

/// One value of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// The settings: a plain map from dotted names (`classes.0.credit`, `limits.max_attempts`) to values. Names
/// are the wire's; durations are in seconds, their names ending in `_s`.
pub type Named = BTreeMap<String, Value>;

/// A hit in hand. Everything that happens to it later is a call on this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HitHandle {
    /// Its place in the slab.
    pub place: u32,
    /// How often the place had been used before: an old handle finds nothing.
    pub turn: u32,
}

/// What is known of a hit when it is taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub group: usize,
    pub key: Option<usize>,
    pub account: usize,
    /// Time until the client gives up.
    pub remaining: f64,
    /// Estimated work; 0 when there is none.
    pub hint: f64,
    /// The operators' bounds on it: how often it is forwarded at most and how long a forward takes at most; 0
    /// where they state none. They only narrow what the settings allow.
    pub most: u32,
    pub longest: f64,
    /// The protocol that it came in.
    pub speaks: u8,
    /// Nodes of this build or a newer one get nothing of it; none where all may.
    pub spares: Option<u32>,
    /// When and where (zone, cell) an earlier one of the same id first may have run.
    pub risk: Option<(f64, usize, i64)>,
}

/// What is to be done with a hit now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Send it to this node, with this time-out.
    Forward { node: usize, limit: f64 },
    /// Call `resume` on the handle after this time.
    Wait { pause: f64 },
    /// Final: nothing ran; the client may come back after this time (0: no advice).
    Bounce { again_after: f64 },
    /// Final: it failed, and may have run.
    GiveUp,
    /// Nothing: it is on its way, or over.
    Nothing,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Delivered,
    /// The node answered with an error.
    Errored,
    /// What came as an answer could not be read.
    Spoilt,
    /// Turned away unseen.
    TurnedAway,
    NoAnswer,
    NoConnection,
    /// The connection broke.
    Broken,
    CalledOff,
    NeverSent,
}

impl Ending {
    /// Whether the node answered, with an error or without.
    pub fn answered(self) -> bool {
        matches!(self, Ending::Delivered | Ending::Errored)
    }
    /// Whether anything came from the node, readable or not.
    pub fn heard(self) -> bool {
        self.answered() || self == Ending::Spoilt
    }
}

/// A forward's end.
#[derive(Clone, Copy, Debug)]
pub struct Return {
    pub ending: Ending,
    pub spent: f64,
    /// Whether the hit is over, by this or earlier.
    pub over: bool,
}

/// One line of the node list.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub node: usize,
    /// Running and open to new hits; else it drains or is gone.
    pub open: bool,
    pub build: u32,
    pub zone: usize,
    pub cell: i64,
    pub rating: f64,
    /// When it last started; 0: long ago.
    pub up_since: f64,
    /// The protocol it speaks, as the front counts them; a hit goes only where its own is spoken.
    pub speaks: u8,
}

/// How a build stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Trial,
    GoingBack,
    Released,
    Withdrawn,
}

/// The platform's word on the newest build.
#[derive(Clone, Copy, Debug, Default)]
pub struct News {
    pub build: u32,
    pub stage: usize,
    pub phase: Phase,
    /// Time since this state began.
    pub since: f64,
    pub cap: f64,
}

/// The platform's count of one build's forwards in one path group over a past period, sampled over all agents.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub build: u32,
    /// Forwards in the sample, and those of them that did not end with an answer.
    pub forwards: u32,
    pub failed: u32,
}

/// How a vote was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    Counted,
    /// Not the present build or stage.
    Moot,
    /// Turned away or failed: does not count.
    Refused,
    /// No answer: it may count.
    Unknown,
}

/// What a vote says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clear,
    On,
    Hold,
    Back,
}

/// A vote to cast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    pub verdict: Verdict,
    pub build: u32,
    pub stage: usize,
}

/// Running totals of an agent's answers from one node in one path group since its news last changed. Totals,
/// not steps: what is lost, doubled or late does no harm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Answers, and how many of them were errors of the node's own.
    pub answers: u32,
    pub faults: u32,
    /// First forwards with an outcome, those of them that were fair pulls, and of these the ones in time.
    pub outcomes: u32,
    pub pulls: u32,
    pub in_time: u32,
    /// Answers found wrong.
    pub complaints: u32,
    /// Times that can be compared: how many, and the sum of their logarithms over the sender's calm seconds.
    pub times: u32,
    pub slow: f64,
}

/// What one agent tells others, where the settings allow it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tidings {
    /// A number that differs between starts of the sender.
    pub start: u32,
    pub build: u32,
    pub stage: usize,
    /// Whether the sender has seconds before the trial to compare with.
    pub informed: bool,
    /// Whether a slowdown is in doubt; told by judges.
    pub doubt: Option<bool>,
    /// Node, path group and totals, those that have changed.
    pub totals: Vec<(usize, usize, Totals)>,
}

/// What a regular review asks for, and when the next one is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Review {
    pub vote: Option<Vote>,
    /// Ask the node list to push its changes (again).
    pub follow: bool,
    pub again_in: f64,
}
