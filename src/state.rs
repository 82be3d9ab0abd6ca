//! What an agent remembers: plain data with its arithmetic and its reading of the settings. No decision is
//! made here and no value is chosen here; both belong to `balance`.

use crate::interface::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A setting that is a number, or `otherwise` where it is absent.
pub(crate) fn number(named: &Named, name: &str, otherwise: f64) -> f64 {
    match named.get(name) {
        Some(Value::Number(n)) if n.is_finite() => *n,
        _ => otherwise,
    }
}

/// A setting that is a word, or nothing.
pub(crate) fn text<'a>(named: &'a Named, name: &str) -> &'a str {
    match named.get(name) {
        Some(Value::Text(t)) => t,
        _ => "",
    }
}

/// A setting that is a mark; absent is false.
pub(crate) fn flag(named: &Named, name: &str) -> bool {
    matches!(named.get(name), Some(Value::Flag(true)))
}

/// Whether a hit of a path group may run again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Repeat {
    Repeatable,
    Tagged,
    Mutating,
}

/// Which nodes drop repeats of a tagged hit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Scope {
    All,
    Zone,
    Cell,
}

/// Count, sum and squares: mean and variance of a payoff or a time.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Count {
    pub z: f64,
    pub sum: f64,
    pub squares: f64,
}

impl Count {
    pub fn add(&mut self, x: f64) {
        self.z += 1.0;
        self.sum += x;
        self.squares += x * x;
    }
    pub fn mean(&self) -> f64 {
        self.sum / self.z.max(f64::MIN_POSITIVE)
    }
    pub fn variance(&self) -> f64 {
        (self.squares / self.z.max(f64::MIN_POSITIVE) - self.mean() * self.mean()).max(0.0)
    }
    /// Variance of the mean.
    pub fn error(&self) -> f64 {
        self.variance() / self.z.max(f64::MIN_POSITIVE)
    }
    pub fn fade(&mut self, keep: f64) {
        (self.z, self.sum, self.squares) = (self.z * keep, self.sum * keep, self.squares * keep);
    }
    pub fn with(&self, other: &Count) -> Count {
        Count { z: self.z + other.z, sum: self.sum + other.sum, squares: self.squares + other.squares }
    }
}

/// Load steps of a node (hits in hand by size, doubling), so that times are compared at equal load.
pub(crate) const LOADS: usize = 6;

/// A path group: what the settings say of it, and what calm seconds have shown.
pub(crate) struct PathGroup {
    pub repeat: Repeat,
    pub scope: Scope,
    pub window: f64,
    pub target: f64,
    pub late_share: f64,
    pub benefit: f64,
    /// Logarithm of time over work in calm seconds, by the node's load step.
    pub calm: [Count; LOADS],
}

impl PathGroup {
    /// All path groups of the settings, in order, or what is wrong with them.
    pub fn read(named: &Named) -> Result<Vec<PathGroup>, String> {
        let mut groups = Vec::new();
        while named.contains_key(&format!("classes.{}.name", groups.len())) {
            let at = |name: &str| format!("classes.{}.{name}", groups.len());
            let client_timeout = number(named, &at("hard_limit_s"), 0.0);
            if client_timeout <= 0.0 {
                return Err(format!("{}: expected a time above 0", at("hard_limit_s")));
            }
            let target = number(named, &at("goal_time_s"), 0.0);
            groups.push(PathGroup {
                repeat: match text(named, &at("repeat")) {
                    "retryable" => Repeat::Repeatable,
                    "dedup" => Repeat::Tagged,
                    "fragile" => Repeat::Mutating,
                    _ => return Err(format!("{}: expected retryable, dedup or fragile", at("repeat"))),
                },
                scope: match text(named, &at("dedup_scope")) {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    _ => Scope::Cell,
                },
                window: number(named, &at("dedup_window_s"), 0.0),
                target: if target > 0.0 { target.min(client_timeout) } else { client_timeout },
                late_share: number(named, &at("late_share"), 0.0),
                benefit: number(named, &at("credit"), 1.0).max(0.0),
                calm: Default::default(),
            });
        }
        if groups.is_empty() {
            return Err("classes: expected at least one".into());
        }
        Ok(groups)
    }
}

/// A node, as listed and as met.
#[derive(Clone, Copy, Default)]
pub(crate) struct Node {
    pub listed: Option<Listed>,
    pub flying: u32,
    /// Hits of other agents, by the node's reports.
    pub others: f64,
    /// Logarithm of its times over the usual.
    pub slow: f64,
    /// Since when it owes an answer.
    pub owes_since: f64,
    pub shunned_until: f64,
    pub strikes: i32,
    /// Allowance while cold, and when it was last filled.
    pub ramp: f64,
    pub ramp_at: f64,
    /// Its times against the calm seconds at equal load, this stage.
    pub times: Count,
}

/// A forward on its way.
#[derive(Clone, Copy)]
pub(crate) struct Flying {
    pub node: usize,
    pub build: u32,
    pub sent: f64,
    pub step: usize,
    pub load: f64,
    pub cold: bool,
    pub first: bool,
}

/// A hit in hand.
#[derive(Clone, Copy, Default)]
pub(crate) struct Hit {
    pub turn: u32,
    pub owed: bool,
    pub arrival: Arrival,
    pub taken: f64,
    pub due: f64,
    pub forwards: u32,
    pub flying: Option<Flying>,
    /// When and where it first may have run.
    pub risk: Option<(f64, usize, i64)>,
}

/// Hits in hand, in places that are used again.
#[derive(Default)]
pub(crate) struct Slab {
    pub hits: Vec<Hit>,
    free: Vec<usize>,
}

impl Slab {
    pub fn put(&mut self, hit: Hit) -> HitHandle {
        let place = self.free.pop().unwrap_or(self.hits.len());
        if place == self.hits.len() {
            self.hits.push(Hit::default());
        }
        let turn = self.hits[place].turn;
        self.hits[place] = Hit { turn, ..hit };
        HitHandle { place: place as u32, turn }
    }
    /// The place of a handle that is still good.
    pub fn find(&self, handle: HitHandle) -> Option<usize> {
        let hit = self.hits.get(handle.place as usize)?;
        (hit.turn == handle.turn && (hit.owed || hit.flying.is_some())).then_some(handle.place as usize)
    }
    /// Nothing is owed any more; the place is free once nothing is on its way.
    pub fn end(&mut self, place: usize) {
        let hit = &mut self.hits[place];
        hit.owed = false;
        if hit.flying.is_none() {
            hit.turn = hit.turn.wrapping_add(1);
            self.free.push(place);
        }
    }
}

/// How a node of a build may be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Standing {
    Open,
    OnTrial,
    Barred,
}

/// A source of chance, to be seeded.
pub(crate) struct Chance(pub ChaCha8Rng);

impl Default for Chance {
    fn default() -> Chance {
        Chance(ChaCha8Rng::seed_from_u64(0))
    }
}

/// What counts came in lately, faded as they age.
#[derive(Default)]
pub(crate) struct Lately {
    pub taken: f64,
    pub done: f64,
    /// Hits by account, with what is within the account's share.
    pub accounts: Vec<(f64, f64)>,
    /// Mean time of a forward and load of its node: their ratio tells the time at any load.
    pub spent: f64,
    pub loads: f64,
    /// Times of the earlier build's nodes against the calm seconds at equal load.
    pub present: Count,
}

/// The vote last cast, and how it fared.
#[derive(Default)]
pub(crate) struct Cast {
    pub vote: Option<Vote>,
    pub good_until: f64,
    pub again_at: f64,
    pub misses: i32,
}

/// Whether the list's changes are being pushed, and when to ask for them.
#[derive(Default)]
pub(crate) struct Following {
    pub on: bool,
    pub ask_at: f64,
    pub failures: i32,
}

/// A slowdown under a trial, and the pauses that try its cause.
#[derive(Default)]
pub(crate) struct Doubt {
    /// For how many reviews the present has been slower.
    pub slow_for: u32,
    pub raised: bool,
    /// How slow it was when the pause began.
    pub paused_at: Option<f64>,
    pub not_before: f64,
}
