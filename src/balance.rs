//! Every decision of magpieline. A front makes one [`Balancer`] for each agent with [`Balancer::start`], tells
//! it the list, the platform's news, tallies and complaints, and calls [`Balancer::review`] when it asks to be
//! called. [`Balancer::take`] turns a hit into a [`HitHandle`]; all that happens to the hit later is a call on
//! that handle, and each call says what to do [`Next`]. These types are defined in `src/interface.rs`.
//!
//! The ordinary path is the paper's EUCBV on two arms, the earlier and the trial build ([`Duel`]): the larger
//! index takes a first forward while the cap allows it, eliminations vote. Six mechanisms stand beside it:
//! 1. health: silent, failing and slow nodes are left out or taken less ([`Balancer::fit`], [`Balancer::load`])
//! 2. cold ramp: a node that has just started gets a growing share ([`Balancer::ramp`])
//! 3. further forwards: time-outs and a retry budget ([`Balancer::again`])
//! 4. early bounces under overload, by benefit and time left ([`Balancer::too_busy`])
//! 5. the present against the seconds before the trial, with a pause to tell the cause ([`Balancer::compare`])
//! 6. evidence beyond the payoffs: faults, times, tallies, complaints ([`Evidence`])

use crate::interface::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn number(named: &Named, name: &str, otherwise: f64) -> f64 {
    match named.get(name) {
        Some(Value::Number(n)) if n.is_finite() => *n,
        _ => otherwise,
    }
}

fn text<'a>(named: &'a Named, name: &str) -> &'a str {
    if let Some(Value::Text(t)) = named.get(name) {
        t
    } else {
        ""
    }
}

fn flag(named: &Named, name: &str) -> bool {
    matches!(named.get(name), Some(Value::Flag(true)))
}

/// Whether a hit of a path group may run again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Repeat {
    Repeatable,
    Tagged,
    Mutating,
}

/// Which nodes drop repeats of a tagged hit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    Zone,
    Cell,
}

struct PathGroup {
    repeat: Repeat,
    scope: Scope,
    window: f64,
    target: f64,
    late_share: f64,
    benefit: f64,
    /// Logarithm of time over work for calm seconds, by how loaded the node was.
    calm: [Count; LOADS],
}

/// Load steps of a node (hits in hand by size, doubling), so that times are compared at equal load.
const LOADS: usize = 6;

/// Counts, sums and squares: mean and variance of a payoff or a time.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Count {
    pub(crate) z: f64,
    sum: f64,
    squares: f64,
}

impl Count {
    pub(crate) fn add(&mut self, x: f64) {
        self.z += 1.0;
        self.sum += x;
        self.squares += x * x;
    }
    fn mean(&self) -> f64 {
        self.sum / self.z.max(1.0)
    }
    fn variance(&self) -> f64 {
        (self.squares / self.z.max(1.0) - self.mean() * self.mean()).max(0.0)
    }
    fn with(&self, other: &Count) -> Count {
        Count { z: self.z + other.z, sum: self.sum + other.sum, squares: self.squares + other.squares }
    }
    fn fade(&mut self, keep: f64) {
        (self.z, self.sum, self.squares) = (self.z * keep, self.sum * keep, self.squares * keep);
    }
}

pub(crate) const EARLIER: usize = 0;
pub(crate) const TRIAL: usize = 1;

/// The design's rule on two arms. Payoffs are kept by path group, so that the earlier arm is weighed with the
/// trial's mix of groups.
pub(crate) struct Duel {
    pub(crate) arms: [Vec<Count>; 2],
    pub(crate) round: i32,
    pub(crate) dropped: Option<usize>,
    pub(crate) outcomes: f64,
    horizon: f64,
}

impl Duel {
    pub(crate) fn new(groups: usize, rate: f64) -> Duel {
        // The design's horizon: own rate times 5 s, at least 200.
        let horizon = (rate * 5.0).max(200.0);
        Duel {
            arms: [vec![Count::default(); groups], vec![Count::default(); groups]],
            round: 0,
            dropped: None,
            outcomes: 0.0,
            horizon,
        }
    }
    /// log(psi T eps^power), with psi = T / K^2 and K = 2.
    fn log(&self, power: i32) -> f64 {
        (self.horizon * self.horizon / 4.0 * 0.5f64.powi(self.round * power)).ln().max(0.0)
    }
    pub(crate) fn pulls_of_round(&self) -> f64 {
        (self.log(2) / (2.0 * 0.5f64.powi(self.round))).ceil()
    }
    fn radius(&self, variance: f64, pulls: f64) -> f64 {
        const RHO: f64 = 0.5; // the paper's value, Theorem 1
        (RHO * (variance + 2.0) * self.log(1) / (4.0 * pulls.max(1e-9))).sqrt()
    }
    /// Pulls, mean and variance of an arm; the earlier one's in the trial's mix of path groups.
    pub(crate) fn moments(&self, arm: usize) -> (f64, f64, f64) {
        let (mut z, mut weight, mut mean, mut square) = (0.0, 0.0, 0.0, 0.0);
        for (own, trial) in self.arms[arm].iter().zip(&self.arms[TRIAL]) {
            z += own.z;
            if own.z > 0.0 {
                let share = if arm == TRIAL { own.z } else { trial.z + 1e-6 };
                weight += share;
                mean += share * own.mean();
                square += share * own.squares / own.z;
            }
        }
        if weight == 0.0 {
            return (0.0, 0.0, 0.0);
        }
        (z, mean / weight, (square / weight - (mean / weight).powi(2)).max(0.0))
    }
    pub(crate) fn index(&self, arm: usize) -> f64 {
        let (z, mean, variance) = self.moments(arm);
        if z == 0.0 {
            return f64::INFINITY;
        }
        mean + self.radius(variance, z)
    }
    /// The arm of the next first forward, if both are open to it.
    pub(crate) fn favours_trial(&self) -> bool {
        match self.dropped {
            Some(arm) => arm == EARLIER,
            None => self.index(TRIAL) >= self.index(EARLIER),
        }
    }
    /// Ends rounds and drops arms.
    pub(crate) fn judge(&mut self) {
        let (z0, r0, v0) = self.moments(EARLIER);
        let (z1, r1, v1) = self.moments(TRIAL);
        let n = self.pulls_of_round();
        if self.dropped.is_some() || z0 == 0.0 || z1 == 0.0 {
            return;
        }
        let (c0, c1) = (self.radius(v0, n.min(z0)), self.radius(v1, n.min(z1)));
        const LEAST: f64 = 10.0; // the design's: stage outcomes before the trial may drop
        if r1 + c1 < r0 - c0 && self.outcomes >= LEAST {
            self.dropped = Some(TRIAL);
        } else if r0 + c0 < r1 - c1 {
            self.dropped = Some(EARLIER);
        }
        let last = (0.5 * (self.horizon / std::f64::consts::E).log2()).floor() as i32;
        if self.round < last && z0 >= n && z1 >= n {
            self.round += 1;
        }
    }
}

/// What speaks against a build beyond its payoffs. Each score is a sum of log likelihood ratios, held above
/// zero, of a bad rate against a usual one. Covers builds that fail outright, in one path group, late or when
/// busy, and wrong answers. May hurt where earlier nodes never fail and a dependency fails only for new ones.
#[derive(Default)]
pub(crate) struct Evidence {
    /// Errors by path group, then all together.
    pub(crate) faults: Vec<f64>,
    pub(crate) tallied: Vec<f64>,
    pub(crate) complaints: f64,
    /// How much slower the trial's nodes are than the others, 1 being too much.
    pub(crate) slower: f64,
    /// How often a pause of the trial made a slowdown go.
    pub(crate) abated: u32,
}

impl Evidence {
    pub(crate) fn lean(score: &mut f64, faults: f64, passes: f64, usual: f64, bad: f64) {
        let step = (faults * (bad / usual).ln() + passes * ((1.0 - bad) / (1.0 - usual)).ln()).min(2.4); // one tally is one stall at most
        *score = (*score + step).max(0.0);
    }
    /// The strongest of all scores, 1 being enough to send the build back.
    pub(crate) fn weight(&self) -> f64 {
        // About three errors among thirty answers: a chance of e^-6 at the usual rate, for each run of answers.
        const ENOUGH: f64 = 6.0;
        let strongest =
            self.faults.iter().chain(&self.tallied).fold(self.complaints, |a, b| a.max(*b)) / ENOUGH;
        // Two pauses that each made a slowdown go are no chance; one may be.
        strongest.max(self.slower).max(if self.abated >= 2 { 1.0 } else { 0.0 })
    }
}

#[derive(Clone, Copy, Default)]
struct Node {
    listed: Option<Listed>,
    flying: u32,
    /// Hits of other agents, by the node's reports.
    others: f64,
    /// Logarithm of its times over the fleet's.
    slow: f64,
    /// Since when it owes an answer.
    owes_since: f64,
    shunned_until: f64,
    strikes: i32,
    ramp: f64,
    ramp_at: f64,
    /// Its times against the calm seconds at equal load, this stage.
    times: Count,
}

#[derive(Clone, Copy)]
struct Flying {
    node: usize,
    build: u32,
    sent: f64,
    step: usize,
    load: f64,
    cold: bool,
    first: bool,
}

#[derive(Clone, Copy, Default)]
struct Hit {
    turn: u32,
    owed: bool,
    arrival: Arrival,
    taken: f64,
    due: f64,
    forwards: u32,
    flying: Option<Flying>,
    /// When and where it first may have run.
    risk: Option<(f64, usize, i64)>,
}

/// How a node may be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Standing {
    Open,
    OnTrial,
    Barred,
}

#[derive(Clone, Copy, PartialEq)]
enum Doubt {
    None,
    Paused { until: f64, level: f64 },
}

/// One agent's decisions.
pub struct Balancer {
    named: Named,
    chance: ChaCha8Rng,
    now: f64,
    started: f64,
    groups: Vec<PathGroup>,
    zone: Option<usize>,
    nodes: Vec<Node>,
    hits: Vec<Hit>,
    free_places: Vec<usize>,
    fit: Vec<usize>,
    // Rates.
    rate: f64,
    taken_lately: f64,
    done_rate: f64,
    done_lately: f64,
    /// Lately's mean time of a forward and load of its node: their ratio tells the time at any load.
    spent: f64,
    loads: f64,

    flying: u32,
    accounts: Vec<(f64, f64)>,
    retries: f64,
    // The build in question.
    news: Option<News>,
    told_at: f64,
    tokens: f64,
    void: Vec<u32>,
    duel: Duel,
    evidence: Evidence,
    usual_faults: f64,
    tallied_faults: f64,
    present: Count,
    doubt: Doubt,
    doubt_again: f64,
    slow_ticks: u32,
    keys: Vec<(u32, u32)>,
    keyed_hits: f64,
    held_share: f64,
    // Votes and the list.
    vote: Option<Vote>,
    vote_until: f64,
    vote_again: f64,
    vote_misses: i32,
    following: bool,
    follow_at: f64,
    follow_wait: f64,
}

impl Balancer {
    /// Starts with nothing but the settings. `zone` is this agent's, as an index. Settings that leave nothing
    /// to decide on are an error, which says what is missing.
    pub fn start(seed: u64, now: f64, zone: Option<usize>, named: Named) -> Result<Balancer, String> {
        let mut groups = Vec::new();
        while named.contains_key(&format!("classes.{}.name", groups.len())) {
            let at = |name: &str| format!("classes.{}.{name}", groups.len());
            let client_timeout = number(&named, &at("hard_limit_s"), 0.0);
            if client_timeout <= 0.0 {
                return Err(format!("{}: expected a time above 0", at("hard_limit_s")));
            }
            let repeat = match text(&named, &at("repeat")) {
                "retryable" => Repeat::Repeatable,
                "dedup" => Repeat::Tagged,
                "fragile" => Repeat::Mutating,
                other => return Err(format!("{}: unknown value '{other}'", at("repeat"))),
            };
            let scope = match text(&named, &at("dedup_scope")) {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                _ => Scope::Cell,
            };
            let target = number(&named, &at("goal_time_s"), 0.0);
            groups.push(PathGroup {
                repeat,
                scope,
                window: number(&named, &at("dedup_window_s"), 0.0),
                target: if target > 0.0 { target.min(client_timeout) } else { client_timeout },
                late_share: number(&named, &at("late_share"), 0.0),
                benefit: number(&named, &at("credit"), 1.0).max(0.0),
                calm: Default::default(),
            });
        }
        if groups.is_empty() {
            return Err("classes: expected at least one".into());
        }
        let mut accounts = Vec::new();
        while let Some(Value::Number(n)) = named.get(&format!("accounts.{}.allowance_per_s", accounts.len()))
        {
            accounts.push((n / number(&named, "peers_total", 1.0).max(1.0), 0.0));
        }
        let count = groups.len();
        Ok(Balancer {
            chance: ChaCha8Rng::seed_from_u64(seed),
            now,
            started: now,
            groups,
            zone,
            nodes: Vec::new(),
            hits: Vec::new(),
            free_places: Vec::new(),
            fit: Vec::new(),
            rate: 0.0,
            taken_lately: 0.0,
            done_rate: 0.0,
            done_lately: 0.0,
            spent: 0.0,
            loads: 1.0,

            flying: 0,
            accounts,
            retries: 3.0,
            news: None,
            told_at: now,
            tokens: 0.0,
            void: Vec::new(),
            duel: Duel::new(count, 0.0),
            evidence: Evidence::fresh(count),
            usual_faults: 0.0,
            tallied_faults: 0.0,
            present: Count::default(),
            doubt: Doubt::None,
            doubt_again: now,
            slow_ticks: 0,

            keys: Vec::new(),
            keyed_hits: 0.0,
            held_share: 0.0,
            vote: None,
            vote_until: now,
            vote_again: now,
            vote_misses: 0,
            following: text(&named, "discovery") != "on_request",
            follow_at: now,
            follow_wait: 0.25,
            named,
        })
    }

    // ---- the list and the platform's news ----

    /// Takes in the list: all of it (`whole`: what is absent is gone) or changes. `fresh` unless remembered.
    pub fn listed(&mut self, now: f64, whole: bool, fresh: bool, lines: &[Listed]) {
        self.now = now.max(self.now);
        if fresh && !self.following {
            (self.following, self.follow_wait) = (true, 0.25);
        }
        if whole {
            self.nodes.iter_mut().for_each(|n| n.listed = n.listed.map(|l| Listed { open: false, ..l }));
        }
        for line in lines {
            if line.node >= self.nodes.len() {
                self.nodes.resize(line.node + 1, Node::default());
            }
            let node = &mut self.nodes[line.node];
            // An id that comes back with another build or start is another process: nothing learnt holds.
            if node.listed.is_none_or(|l| l.build != line.build || l.up_since != line.up_since) {
                *node = Node {
                    flying: node.flying,
                    owes_since: self.now,
                    ramp: 1.0,
                    ramp_at: self.now,
                    ..Node::default()
                };
            }
            node.listed = Some(*line);
        }
    }

    /// A call to the list failed or its pushes ended: asks again at growing, spread-out intervals.
    pub fn list_failed(&mut self, now: f64) {
        self.now = now.max(self.now);
        self.following = false;
        self.follow_at = self.now + self.follow_wait * self.chance.gen_range(0.5..1.5);
        self.follow_wait = (self.follow_wait * 2.0).min(4.0); // well inside the usual time to count as told
    }

    /// The platform's news. What was last told binds, in whatever order it comes.
    pub fn heard(&mut self, now: f64, news: News) {
        self.now = now.max(self.now);
        let old = self.news.replace(news);
        if old.is_none_or(|o| (o.build, o.stage, o.phase) != (news.build, news.stage, news.phase)) {
            self.told_at = self.now;
            self.duel = Duel::new(self.groups.len(), self.rate);
            self.nodes.iter_mut().for_each(|n| n.times = Count::default());
            self.vote_again = self.now;
        }
        if old.is_none_or(|o| o.build != news.build) {
            self.evidence = Evidence::fresh(self.groups.len());
            (self.doubt, self.doubt_again) = (Doubt::None, self.now);
            // Nothing has gone to a build that comes while this agent runs; after a restart something may have.
            self.tokens =
                if old.is_some() { number(&self.named, "family_info.spare_tries", 0.0) } else { 0.0 };
        }
        let back = matches!(news.phase, Phase::GoingBack | Phase::Withdrawn);
        if back && !self.void.contains(&news.build) {
            self.void.push(news.build);
        }
    }

    fn standing(&self, build: u32) -> Standing {
        let Some(news) = self.news else {
            let lowest = self.nodes.iter().filter_map(|n| n.listed).filter(|l| l.open).map(|l| l.build).min();
            return if lowest == Some(build) { Standing::Open } else { Standing::Barred };
        };
        if build > news.build || (build != news.build && self.void.contains(&build)) {
            return Standing::Barred; // not yet announced, or sent back: nothing is within every cap
        }
        match news.phase {
            _ if build < news.build => Standing::Open,
            Phase::Released => Standing::Open,
            Phase::Trial if news.cap > 0.0 => Standing::OnTrial,
            _ => Standing::Barred,
        }
    }

    /// A tally from the platform.
    pub fn tallied(&mut self, now: f64, tally: Tally) {
        self.now = now.max(self.now);
        let Some(news) = self.news.filter(|n| n.phase == Phase::Trial && tally.group < self.groups.len())
        else {
            return;
        };
        if tally.build == news.build {
            // A tally counts overload as failure too: the trial has to be far worse than the others in it.
            let usual = (2.0 * self.tallied_faults).clamp(0.01, 0.25);
            let passes = (tally.many - tally.failed).max(0.0);
            Evidence::lean(&mut self.evidence.tallied[tally.group], tally.failed, passes, usual, 4.0 * usual);
        } else if tally.build < news.build && tally.many > 0.0 {
            self.tallied_faults += 0.2 * (tally.failed / tally.many - self.tallied_faults);
        }
    }

    /// A client has found an answer wrong that `node` gave.
    pub fn complained(&mut self, now: f64, node: usize) {
        self.now = now.max(self.now);
        let build = self.nodes.get(node).and_then(|n| n.listed).map(|l| l.build);
        if build.is_some() && build == self.news.map(|n| n.build) {
            Evidence::lean(&mut self.evidence.complaints, 1.0, 0.0, WRONG.0, WRONG.1);
        }
    }

    /// Usual and bad error rates: a build that fails one in twenty is bad where others hardly fail; where all
    /// fail, it has to be several times worse than they are.
    fn rates(&self) -> (f64, f64) {
        let usual = (1.5 * self.usual_faults).clamp(0.005, 0.2);
        (usual, (4.0 * usual).max(0.05))
    }

    // ---- hits ----

    /// Takes a hit: its handle, and what to do with it.
    pub fn take(&mut self, now: f64, arrival: Arrival) -> (HitHandle, Next) {
        self.now = now.max(self.now);
        let group = arrival.group.min(self.groups.len() - 1);
        let arrival = Arrival { group, ..arrival };
        let place = self.free_places.pop().unwrap_or_else(|| {
            self.hits.push(Hit::default());
            self.hits.len() - 1
        });
        let turn = self.hits[place].turn;
        let due = self.now + arrival.remaining.max(0.0);
        self.hits[place] = Hit { turn, owed: true, arrival, taken: self.now, due, ..Hit::default() };
        self.taken_lately += 1.0;
        // One further forward for each ten hits, ten saved up at most: enough for a dead node, too few to feed a jam.
        self.retries = (self.retries + 0.1).min(10.0);
        if let Some(account) = self.accounts.get_mut(arrival.account) {
            account.1 += 1.0;
        }
        if let Some(news) = self.news {
            let free = number(&self.named, "family_info.spare_tries", 0.0);
            self.tokens = (self.tokens + news.cap.clamp(0.0, 1.0)).min(free);
        }
        let mut held = false;
        if let Some(key) = arrival.key {
            if key >= self.keys.len() {
                self.keys.resize(key + 1, (0, 0));
            }
            self.keys[key].0 += 1;
            self.keyed_hits += 1.0;
            held = self.holding(key).is_some_and(|b| self.news.is_some_and(|n| n.build == b));
        }
        self.held_share += 0.02 * (f64::from(u8::from(held)) - self.held_share);
        let next = self.route(place);
        (HitHandle { place: place as u32, turn }, next)
    }

    /// The build that must go on serving this key, under one way.
    fn holding(&self, key: usize) -> Option<u32> {
        let build = self.keys.get(key).map_or(0, |k| k.1);
        let stands = build > 0 && flag(&self.named, "family_info.one_way") && !self.void.contains(&build);
        stands.then_some(build)
    }

    /// Answers for a hit that is given up: a bounce where nothing can have run twice, else an error page.
    fn finish(&mut self, place: usize) -> Next {
        let hit = &mut self.hits[place];
        hit.owed = false;
        let harmless = hit.risk.is_none() || self.groups[hit.arrival.group].repeat == Repeat::Repeatable;
        self.tidy(place);
        if !harmless {
            return Next::GiveUp;
        }
        // Come back when what is in hand now has been worked off.
        let most = number(&self.named, "limits.max_retry_after_s", 0.0);
        let told = flag(&self.named, "limits.retry_after");
        Next::Bounce { again_after: if told { self.pressure().clamp(0.05, 1.0).min(most) } else { 0.0 } }
    }

    fn tidy(&mut self, place: usize) {
        let hit = &mut self.hits[place];
        if !hit.owed && hit.flying.is_none() {
            hit.turn = hit.turn.wrapping_add(1);
            self.free_places.push(place);
        }
    }

    /// Mean time in hand by Little's law: hits in flight over answers a second.
    fn pressure(&self) -> f64 {
        f64::from(self.flying) / self.done_rate.max(1.0)
    }

    /// Mechanism 4. Bounces early when the chosen node would take longer than a part of the target latency: a small part for
    /// the least benefit, all of it for the most. Holds against bursts, lost nodes, shared slowdowns. May hurt
    /// when a few silent nodes hold many hits.
    fn too_busy(&mut self, place: usize, node: usize) -> bool {
        let hit = &self.hits[place];
        let group = &self.groups[hit.arrival.group];
        if hit.forwards > 0 || self.now - self.started < 1.0 {
            return false;
        }
        let over = self.accounts.get(hit.arrival.account).is_some_and(|a| a.1 > a.0 * RATE_SPAN * 1.1);
        let most = self.groups.iter().map(|g| g.benefit).fold(1e-9, f64::max);
        let mut part = 0.6 + 0.4 * group.benefit / most;
        if over {
            part *= number(&self.named, "over_share_worth", 1.0).max(0.4);
        }
        let busy = self.load(node) * self.spent / self.loads > part * group.target.min(hit.due - self.now);
        if busy {
            // A bounce teaches nothing: the expectation falls a little, or a bad moment would last for ever.
            self.spent *= 1.0 - 0.1 * self.weight();
        }
        busy
    }

    /// What one answer counts among lately's: the last half second or ten answers.
    fn weight(&self) -> f64 {
        1.0 / (0.5 * self.done_rate).clamp(10.0, 200.0)
    }

    /// Hits in hand for its power: what two choices are compared by.
    fn load(&self, node: usize) -> f64 {
        let n = &self.nodes[node];
        let power = n.listed.map_or(1.0, |l| l.rating.max(0.1) * self.warmth(&l)) * (-n.slow).exp();
        (f64::from(n.flying) + n.others + 1.0) / power
    }

    /// The part of its power that a node has at least, by its age.
    fn warmth(&self, line: &Listed) -> f64 {
        let full = number(&self.named, "obligations.cold_s", 0.0);
        let from = number(&self.named, "obligations.cold_share", 1.0);
        if line.up_since <= 0.0 || full <= 0.0 {
            return 1.0;
        }
        (from + (1.0 - from) * ((self.now - line.up_since) / full)).clamp(from.min(1.0), 1.0).max(0.05)
    }

    /// Mechanism 2. Fills the allowance of a cold node: this agent's own rate, shared out by size, times its
    /// warmth. All agents doing so send it its part of all traffic, which its power can take when warm.
    fn ramp(&mut self, node: usize, total: f64) -> bool {
        let Some(line) = self.nodes[node].listed else { return false };
        let warmth = self.warmth(&line);
        if warmth >= 1.0 {
            return true;
        }

        let rate = warmth * self.rate * line.rating.max(0.1) / total.max(0.1);
        let n = &mut self.nodes[node];
        n.ramp = (n.ramp + rate * (self.now - n.ramp_at)).min(1.0 + 0.2 * rate);
        n.ramp_at = self.now;
        n.ramp >= 1.0
    }

    /// Mechanism 1. Whether a node is fit for a hit. Covers silence, stalls, death, full tables: whatever leaves
    /// it owing answers or refusing. A node out of favour is tried by one repeatable hit at a time.
    fn fit(&self, node: usize, repeat: Repeat) -> bool {
        let n = &self.nodes[node];
        if self.now < n.shunned_until {
            return false;
        }
        // Three mean times without any answer while some are owed; a stall shorter than 0.1 s is no matter.
        let patience = (3.0 * self.pressure()).clamp(0.1, 2.0);
        if n.flying > 0 && self.now - n.owes_since > patience {
            return false;
        }
        n.strikes == 0 || (n.flying == 0 && repeat == Repeat::Repeatable)
    }

    /// Two random choices among the fit nodes of a standing that the hit may go to, by fewer in flight.
    fn choose(&mut self, place: usize, standing: Standing, least_build: u32) -> Option<usize> {
        let hit = self.hits[place];
        let group = &self.groups[hit.arrival.group];
        let (repeat, scope) = (group.repeat, group.scope);
        let mut total = 0.0;
        let mut newest = 0;
        for n in &self.nodes {
            if let Some(l) = n.listed.filter(|l| l.open && self.standing(l.build) != Standing::Barred) {
                total += l.rating.max(0.1);
                if self.standing(l.build) == standing {
                    newest = newest.max(l.build);
                }
            }
        }
        // Fit nodes of the newest build come first, then any build, then (never for mutating) unfit ones.
        for (any_build, unfit) in [(false, false), (true, false), (true, true)] {
            let mut fit = std::mem::take(&mut self.fit);
            fit.clear();
            for i in 0..self.nodes.len() {
                let Some(line) = self.nodes[i].listed else { continue };
                if !line.open || line.build < least_build || self.standing(line.build) != standing {
                    continue;
                }
                let same = match (hit.risk, scope) {
                    (Some((_, zone, _)), Scope::Zone) => zone == line.zone,
                    (Some((_, _, cell)), Scope::Cell) => cell == line.cell,
                    _ => true,
                };
                let wanted = any_build || line.build == newest;
                let able = if unfit { repeat != Repeat::Mutating } else { self.fit(i, repeat) };
                if (same || repeat == Repeat::Repeatable) && wanted && able && self.ramp(i, total) {
                    fit.push(i);
                }
            }
            let pick = self.two(&fit);
            self.fit = fit;
            if pick.is_some() {
                return pick;
            }
        }
        None
    }

    fn two(&mut self, fit: &[usize]) -> Option<usize> {
        let cost = number(&self.named, "costs.cross_zone", 0.0);
        let home = |b: &Balancer, i: usize| b.zone.is_none() || b.nodes[i].listed.map(|l| l.zone) == b.zone;
        // Crossing has a price: where one is set, a far node must be half as loaded to be chosen.
        let load = |b: &Balancer, i: usize| b.load(i) * if cost > 0.0 && !home(b, i) { 2.0 } else { 1.0 };
        let first = *fit.get(self.chance.gen_range(0..fit.len().max(1)))?;
        let near = if cost > 0.0 { fit.iter().filter(|i| home(self, **i)).count() } else { 0 };
        let second = if near > 0 {
            let skip = self.chance.gen_range(0..near);
            *fit.iter().filter(|i| home(self, **i)).nth(skip)?
        } else {
            fit[self.chance.gen_range(0..fit.len())]
        };
        Some(if load(self, second) < load(self, first) { second } else { first })
    }

    /// Chooses the arm by the design's index and the node by two choices.
    fn route(&mut self, place: usize) -> Next {
        let hit = self.hits[place];
        let (repeat, target) = (self.groups[hit.arrival.group].repeat, self.groups[hit.arrival.group].target);
        let least = 0.001; // one millisecond: less cannot reach a node and return
        if hit.due - self.now < least
            || hit.forwards >= number(&self.named, "limits.max_attempts", 3.0).max(1.0) as u32
        {
            return self.finish(place);
        }
        let held = hit.arrival.key.and_then(|k| self.holding(k));
        let trial_build = self.news.filter(|n| n.phase == Phase::Trial).map(|n| n.build);
        let must_trial = held.is_some() && held == trial_build;
        let closed = self
            .news
            .is_some_and(|n| (n.stage as f64) < number(&self.named, "family_info.closed_stages", 0.0));
        let open = trial_build.is_some() && self.tokens >= 1.0 && (repeat == Repeat::Repeatable || !closed);
        if must_trial {
            if open {
                if let Some(node) = self.choose(place, Standing::OnTrial, held.unwrap_or(0)) {
                    return self.send(place, node, true);
                }
            }
            // The key may go nowhere else: it waits a little for its turn, while in time.
            let wait_until = hit.taken + 0.5 * target;
            if (repeat == Repeat::Repeatable || !closed) && self.now < wait_until {
                return Next::Wait { pause: 0.01 };
            }
            return self.finish(place);
        }
        let earlier = self.choose(place, Standing::Open, held.unwrap_or(0));
        let paused = matches!(self.doubt, Doubt::Paused { .. });
        if hit.forwards == 0 && open && !paused && self.welcome(&hit) && self.duel.favours_trial() {
            if let Some(node) = self.choose(place, Standing::OnTrial, 0) {
                // Arms are compared at like load: a trial node far busier than the alternative is no fair pull.
                let even = earlier.is_none_or(|e| self.load(node) <= 1.25 * self.load(e));
                if even {
                    return self.send(place, node, true);
                }
            }
        }
        match earlier {
            Some(node) => self.send(place, node, false),
            None => self.finish(place),
        }
    }

    /// Under one way a key that goes to the trial stays there. Rare keys go first, and few enough that the held
    /// ones stay within the cap.
    fn welcome(&self, hit: &Hit) -> bool {
        let (Some(key), true) = (hit.arrival.key, flag(&self.named, "family_info.one_way")) else {
            return true;
        };
        let cap = self.news.map_or(0.0, |n| n.cap);
        if cap >= 1.0 {
            return true;
        }
        let usual = self.keyed_hits / self.keys.len().max(1) as f64;
        f64::from(self.keys[key].0) <= usual.max(1.0) && self.held_share < 0.7 * cap && self.tokens >= 1.5
    }

    fn send(&mut self, place: usize, node: usize, trial: bool) -> Next {
        if self.too_busy(place, node) {
            return self.finish(place);
        }
        let now = self.now;
        let (step, load) = (self.step(node), self.load(node));

        let n = &mut self.nodes[node];
        let Some(line) = n.listed else { return self.finish(place) };
        if n.flying == 0 {
            n.owes_since = now;
        }
        n.flying += 1;
        n.ramp -= 1.0;
        self.flying += 1;
        if trial {
            self.tokens -= 1.0;
        }
        // For the comparisons a node is cold a span longer: what piled up has to go first.
        let full = number(&self.named, "obligations.cold_s", 0.0);
        let cold = line.up_since > 0.0 && now < line.up_since + full + RATE_SPAN;
        let hit = &mut self.hits[place];
        hit.flying =
            Some(Flying { node, build: line.build, sent: now, step, load, cold, first: hit.forwards == 0 });
        hit.forwards += 1;
        let hit = *hit;
        Next::Forward { node, limit: self.limit(&hit) }
    }

    /// Mechanism 3, the time-out: while a further forward is allowed and paid for, half of the time left to the
    /// target, but no less than a heavy hit takes (it would be as heavy again); else the client's own.
    fn limit(&self, hit: &Hit) -> f64 {
        let group = &self.groups[hit.arrival.group];
        let left = (hit.due - self.now).max(0.0);
        let on_time = hit.taken + group.target - self.now;
        let more =
            hit.forwards < number(&self.named, "limits.max_attempts", 3.0) as u32 && self.retries >= 1.0;
        if group.repeat == Repeat::Mutating || !more || on_time <= 0.0 {
            return left;
        }
        let calm = group.calm.iter().fold(Count::default(), |a, c| a.with(c));
        let usual = if hit.arrival.hint > 0.0 { hit.arrival.hint } else { 1.0 } * calm.mean().exp();
        let half = (0.5 * on_time).max(5.0 * usual).max(2.0 * self.pressure());
        if calm.z < 20.0 || half > 0.8 * on_time {
            return left;
        }
        half.min(left)
    }

    /// Mechanism 3. Whether a hit whose forward failed gets another: only where nothing runs twice, in time to be
    /// of use, and within the budget. Covers dead, silent, full and failing nodes without feeding a jam.
    fn again(&mut self, place: usize) -> bool {
        let hit = &self.hits[place];
        let group = &self.groups[hit.arrival.group];
        let allowed = match (group.repeat, hit.risk) {
            (Repeat::Repeatable, _) | (_, None) => true,
            // The margin covers the way to the node.
            (Repeat::Tagged, Some((sent, ..))) => self.now < sent + group.window - 0.05,
            (Repeat::Mutating, Some(_)) => false,
        };
        let end = if group.late_share > 0.0 { hit.due } else { hit.due.min(hit.taken + group.target) };
        if !allowed || end - self.now < 0.2 * self.pressure() || self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    /// The load step of a node, for comparing times at equal load.
    fn step(&self, node: usize) -> usize {
        let n = &self.nodes[node];
        let size = n.listed.map_or(1.0, |l| l.rating.max(0.1));
        let load = (f64::from(n.flying) + n.others) / size;
        ((1.0 + load).log2().round() as usize).min(LOADS - 1)
    }

    /// Learns from a forward's end: the node's health, the arms' payoffs, the evidence.
    fn learn(&mut self, hit: &Hit, flying: &Flying, end: &Return) {
        let now = self.now;
        let served = end.ending == Ending::Delivered;
        let group = hit.arrival.group;
        self.flying = self.flying.saturating_sub(1);
        self.done_lately += 1.0;
        let answered = matches!(end.ending, Ending::Delivered | Ending::Errored);
        if matches!(end.ending, Ending::Delivered | Ending::NoAnswer) {
            let weight = self.weight();
            self.spent += weight * (end.spent - self.spent);
            self.loads += weight * (flying.load - self.loads);
        }
        let slow = self.time(hit, flying, end);
        let jitter = self.chance.gen_range(0.8..1.2);
        let quick = 0.5 * self.pressure();
        let n = &mut self.nodes[flying.node];
        n.flying = n.flying.saturating_sub(1);
        if let Some(held) = end.load.filter(|h| h.is_finite()) {
            n.others += 0.5 * ((held - f64::from(n.flying)).max(0.0) - n.others);
        }
        if let Some(x) = slow.filter(|_| !flying.cold) {
            // An eighth of each answer: a node ten times slower shows within three, chance hardly does.
            n.slow = (n.slow + 0.125 * (x - n.slow)).clamp(-0.7, 2.5);
        }
        let silent = end.ending == Ending::NoAnswer && n.owes_since <= flying.sent;
        if answered {
            (n.owes_since, n.strikes, n.shunned_until) = (now, 0, 0.0);
        } else if end.ending == Ending::TurnedAway {
            n.shunned_until = now + quick.clamp(0.02, 0.2);
        } else if silent || matches!(end.ending, Ending::NoConnection | Ending::Broken) {
            // Left out for 0.5 s, doubling to 4 s: long enough to spare hits, short enough to see it return.
            n.shunned_until = now + 0.5 * 2f64.powi(n.strikes.min(3)) * jitter;
            n.strikes += 1;
        }
        let Some(news) = self.news else { return };
        let on_trial = flying.build == news.build;
        if flying.build > news.build || !(answered || end.ending == Ending::NoAnswer) {
            return;
        }
        let arm = if on_trial { TRIAL } else { EARLIER };
        let in_time = served && end.spent <= self.groups[group].target;
        if flying.first && news.phase == Phase::Trial && flying.sent >= self.told_at {
            // Cold nodes show their age, not their build: such pulls count as outcomes only.
            if arm == TRIAL {
                self.duel.outcomes += 1.0;
            }
            if !flying.cold {
                self.duel.arms[arm][group].add(f64::from(u8::from(in_time)));
                self.duel.judge();
            }
        }
        if !answered {
            return;
        }
        let fault = f64::from(u8::from(!served));
        if arm == EARLIER {
            self.usual_faults += 0.01 * (fault - self.usual_faults);
            return;
        }
        let (usual, bad) = self.rates();
        let all = self.groups.len();
        for score in [group, all] {
            Evidence::lean(&mut self.evidence.faults[score], fault, 1.0 - fault, usual, bad);
        }
        Evidence::lean(&mut self.evidence.complaints, 0.0, 1.0, WRONG.0, WRONG.1);
    }

    /// The logarithm of a forward's time over the calm seconds' at equal load, and what the comparisons keep
    /// of it. A time-out counts as the time it took at least.
    fn time(&mut self, hit: &Hit, flying: &Flying, end: &Return) -> Option<f64> {
        if !matches!(end.ending, Ending::Delivered | Ending::NoAnswer) {
            return None;
        }
        let work = if hit.arrival.hint > 0.0 { hit.arrival.hint } else { 1.0 };
        let x = (end.spent.max(1e-4) / work).ln();
        let trial_on = self.news.is_some_and(|n| n.phase == Phase::Trial);
        let on_trial = self.news.is_some_and(|n| flying.build >= n.build && n.phase != Phase::Released);
        let calm = &mut self.groups[hit.arrival.group].calm[flying.step];
        let few = calm.z < 15.0;
        if end.ending == Ending::Delivered && !flying.cold && !on_trial && (few || !trial_on) {
            if calm.z >= 400.0 {
                calm.fade(0.5); // keeps the last few hundred
            }
            calm.add(x);
        }
        if calm.z < 5.0 {
            return None;
        }
        let x = (x - calm.mean()).clamp(-2.5, 2.5);
        if !flying.cold {
            self.nodes[flying.node].times.add(x);
            if !on_trial {
                self.present.add(x);
            }
        }
        Some(x)
    }

    // ---- the regular review ----

    /// Ages rates, compares, votes. To be called when the last review asked for it.
    pub fn review(&mut self, now: f64) -> Review {
        self.now = now.max(self.now);
        let keep = (-TICK / RATE_SPAN).exp();
        // Until a whole span has been seen, sums are scaled up to it.
        let seen = (self.now - self.started).max(TICK);
        let span = RATE_SPAN * (1.0 - (-seen / RATE_SPAN).exp());
        self.rate = self.taken_lately / span;
        self.done_rate = self.done_lately / span;
        self.taken_lately *= keep;
        self.done_lately *= keep;
        self.accounts.iter_mut().for_each(|a| a.1 *= keep);
        self.present.fade(keep);
        // What is not heard again is forgotten: reports within a span or so (other agents are taken to hold
        // as much as this one), slowness within ten.
        let agents = number(&self.named, "peers_total", 1.0).max(1.0);
        let usual = (agents - 1.0) * f64::from(self.flying) / self.nodes.len().max(1) as f64;
        for n in &mut self.nodes {
            n.others += (1.0 - keep) * (usual - n.others);
            n.slow *= 1.0 - 0.1 * (1.0 - keep);
        }
        self.slow_ticks = if self.slowed() { self.slow_ticks + 1 } else { 0 };

        self.compare();
        if let Some(news) = self.news.filter(|n| n.phase == Phase::Trial) {
            self.evidence.slower = self.slower(news.build);
        }
        let follow = !self.following && self.now >= self.follow_at;
        if follow {
            // An answer always comes; should it not, the question is put again.
            self.follow_at = self.now + 5.0;
        }
        Review { vote: self.ballot(), follow, again_in: TICK }
    }

    fn slowed(&self) -> bool {
        // Four tenths slower than before the trial, beyond two standard errors.
        self.present.z >= 15.0
            && self.present.mean() > 0.35 + 2.0 * (self.present.variance() / self.present.z).sqrt()
    }

    /// Mechanism 5. Earlier nodes slower than before the trial, at equal load: is it the build? The agent pauses
    /// its trial traffic; a slowdown that goes in the pause, twice, came with that traffic. One that stays is
    /// not held against the build for some seconds. Covers any harm that new traffic does to old nodes; may
    /// hurt a good build when slowdowns of another cause come and go in step with the pauses.
    fn compare(&mut self) {
        let on_trial = self.news.is_some_and(|n| n.phase == Phase::Trial);
        match self.doubt {
            _ if !on_trial => self.doubt = Doubt::None,
            Doubt::None => {
                if self.now >= self.doubt_again && self.duel.outcomes >= 3.0 && self.slow_ticks >= 10 {
                    // Long enough for hits in hand to end and the present to fill with new ones.
                    let until = self.now + 1.5 + 2.0 * self.pressure().min(1.0);
                    self.doubt = Doubt::Paused { until, level: self.present.mean() };
                }
            }
            Doubt::Paused { until, level } if self.now >= until => {
                let gone = self.present.mean() < 0.4 * level;
                self.evidence.abated += u32::from(gone);
                self.doubt = Doubt::None;
                self.doubt_again = self.now + if gone { 0.5 } else { 5.0 };
            }
            Doubt::Paused { .. } => {}
        }
    }

    /// Mechanism 6, more work: whether the trial's nodes are slower than the others at equal load. Nodes are
    /// compared, not answers: one slow or backed-up node is no build, and its answers are not independent.
    fn slower(&self, build: u32) -> f64 {
        let (mut sides, mut noise) = ([Count::default(); 2], [0.0; 2]);
        for n in &self.nodes {
            if let Some(l) = n.listed.filter(|l| l.open && l.build <= build && n.times.z >= 4.0) {
                let side = usize::from(l.build == build);
                sides[side].add(n.times.mean());
                noise[side] += n.times.variance() / n.times.z;
            }
        }
        let [earlier, trial] = sides;
        if earlier.z < 3.0 || trial.z < 3.0 {
            return 0.0;
        }
        // A good build may be slower by a fifth; beyond three tenths, four standard errors of like nodes convince.
        let like = earlier.variance();
        let error = (like / earlier.z + like.max(noise[1] / trial.z) / trial.z).sqrt().max(0.05);
        (trial.mean() - earlier.mean() - 0.3) / error / 4.0
    }

    /// What this agent's vote should be.
    fn wish(&self) -> Verdict {
        let Some(news) = self.news else { return Verdict::Clear };
        let weight = self.evidence.weight();
        let trial = news.phase == Phase::Trial;
        if (trial || news.phase == Phase::Released) && (weight >= 1.0 || self.duel.dropped == Some(TRIAL)) {
            return Verdict::Back;
        }
        if !trial || weight >= 0.5 || matches!(self.doubt, Doubt::Paused { .. }) {
            return Verdict::Clear;
        }
        // The stage's least time runs from its machines' listed start. The least count is the design's 10, or
        // what the cap lets through in that time if that is less.
        let soak = number(&self.named, "family_info.soak_s", 0.0);
        let up = |n: &Node| n.listed.filter(|l| l.open && l.build == news.build).map(|l| l.up_since);
        let newest = self.nodes.iter().filter_map(up).fold(self.told_at - news.since, f64::max);
        let least = (news.cap * self.rate * (soak + 1.0)).clamp(2.0, 10.0);
        let ripe = self.duel.outcomes >= least || self.duel.dropped == Some(EARLIER);
        if ripe && self.now >= newest + soak {
            Verdict::On
        } else {
            Verdict::Clear
        }
    }

    /// Casts, renews and repeats the vote.
    fn ballot(&mut self) -> Option<Vote> {
        let news = self.news?;
        let mut verdict = self.wish();
        if text(&self.named, "family_info.vote_mode") == "clocked" && verdict != Verdict::Back {
            // Under a clock stages move by themselves: what can be said is to hold on.
            let doubtful = self.evidence.weight() >= 0.5 || self.doubt != Doubt::None;
            verdict = if doubtful && news.phase == Phase::Trial { Verdict::Hold } else { Verdict::Clear };
        }
        let vote = Vote { verdict, build: news.build, stage: news.stage };
        let standing = self.vote.filter(|_| self.now < self.vote_until);
        let settled = match standing {
            Some(s) => {
                s == vote || (s.verdict == Verdict::Back && verdict == Verdict::Back && s.build == vote.build)
            }
            None => verdict == Verdict::Clear,
        };
        // A vote for a past stage counts for nothing: there is nothing to take back.
        let past = verdict == Verdict::Clear
            && standing.is_some_and(|s| (s.build, s.stage) != (vote.build, vote.stage));
        if settled || past || self.now < self.vote_again {
            return None;
        }
        // Until it is answered the vote counts as unsettled; then again, spread out over agents.
        let wait = number(&self.named, "family_info.call_timeout_s", 1.0);
        self.vote_again = self.now + wait * 1.2;
        self.vote = Some(vote);
        self.vote_until = self.now;
        Some(vote)
    }

    /// How the last vote was received.
    pub fn vote_received(&mut self, now: f64, receipt: Receipt) {
        self.now = now.max(self.now);
        if receipt == Receipt::Counted {
            // Renewed when three quarters of its life have passed.
            let life = number(&self.named, "family_info.vote_stands_s", 5.0);
            (self.vote_until, self.vote_misses, self.vote_again) = (self.now + 0.75 * life, 0, self.now);
            return;
        }
        self.vote_misses = (self.vote_misses + 1).min(4);
        let wait = 0.1 * 2f64.powi(self.vote_misses) * self.chance.gen_range(0.5..1.5);
        self.vote_again = self.now + wait;
    }

    fn held(&self, handle: HitHandle) -> Option<usize> {
        let place = handle.place as usize;
        self.hits
            .get(place)
            .filter(|h| h.turn == handle.turn && (h.owed || h.flying.is_some()))
            .map(|_| place)
    }
}

/// Rates are means over about this long, reviews come this often: a few times faster than stages and bursts.
const RATE_SPAN: f64 = 1.0;
const TICK: f64 = 0.1;
/// Complaints per answer, usual and bad: right answers are hardly ever complained of, and most wrong ones not.
const WRONG: (f64, f64) = (0.003, 0.03);

impl Evidence {
    pub(crate) fn fresh(groups: usize) -> Evidence {
        Evidence { faults: vec![0.0; groups + 1], tallied: vec![0.0; groups], ..Evidence::default() }
    }
}

impl HitHandle {
    /// Its forward has ended.
    pub fn returned(self, balancer: &mut Balancer, now: f64, end: Return) -> Next {
        balancer.now = now.max(balancer.now);
        let Some(place) = balancer.held(self) else { return Next::Nothing };
        let Some(flying) = balancer.hits[place].flying.take() else { return Next::Nothing };
        let hit = balancer.hits[place];
        balancer.learn(&hit, &flying, &end);
        let hit = &mut balancer.hits[place];
        if end.ending == Ending::Delivered {
            if let Some(key) = hit.arrival.key.and_then(|k| balancer.keys.get_mut(k)) {
                key.1 = key.1.max(flying.build);
            }
        }
        if end.over || end.ending == Ending::Delivered || !hit.owed {
            hit.owed = false;
            balancer.tidy(place);
            return Next::Nothing;
        }
        let ran = !matches!(end.ending, Ending::TurnedAway | Ending::NoConnection | Ending::NeverSent);
        if ran && hit.risk.is_none() {
            let line = balancer.nodes[flying.node].listed;
            hit.risk = line.map(|l| (flying.sent, l.zone, l.cell));
        }
        if balancer.again(place) {
            balancer.route(place)
        } else {
            balancer.finish(place)
        }
    }

    /// A wait that was asked for is over.
    pub fn resume(self, balancer: &mut Balancer, now: f64) -> Next {
        balancer.now = now.max(balancer.now);
        match balancer.held(self) {
            Some(place) if balancer.hits[place].owed && balancer.hits[place].flying.is_none() => {
                balancer.route(place)
            }
            _ => Next::Nothing,
        }
    }

    /// The client has left: nothing is owed any more.
    pub fn left(self, balancer: &mut Balancer, now: f64) {
        balancer.now = now.max(balancer.now);
        if let Some(place) = balancer.held(self) {
            balancer.hits[place].owed = false;
            balancer.tidy(place);
        }
    }

    /// Whether anything is still to come for it.
    pub fn pending(self, balancer: &Balancer) -> bool {
        balancer.held(self).is_some()
    }
}

#[cfg(test)]
mod tests;
