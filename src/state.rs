//! What an agent remembers: plain data with its arithmetic and its reading of the settings. No decision is
//! made here and no value is chosen here; both belong to `policy`.

use crate::arms::{Count, Duel, Evidence, EARLIER, TRIAL};
use crate::interface::*;
use crate::names::{flag, number, text};
use magpieline_sequential_test::{Case, End, Entry, Look, Outcome, Terms, Voters};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Ordering;
use std::collections::HashMap;

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
    /// The shortest target latency of all groups that bring as much or more.
    pub pace: f64,
    /// Logarithm of time over work in calm seconds, at a node's usual load.
    pub calm: Count,
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
                pace: f64::INFINITY,
                calm: Count::default(),
            });
        }
        if groups.is_empty() {
            return Err("classes: expected at least one".into());
        }
        for i in 0..groups.len() {
            let as_much = groups.iter().filter(|g: &&PathGroup| g.benefit >= groups[i].benefit);
            groups[i].pace = as_much.map(|g| g.target).fold(f64::INFINITY, f64::min);
        }
        Ok(groups)
    }
}

/// A node, as listed and as met.
#[derive(Clone, Copy, Default)]
pub(crate) struct Node {
    pub listed: Option<Listed>,
    pub flying: u32,
    /// Hits of other agents, taken to be like its own.
    pub others: f64,
    /// Logarithm of its times over the usual.
    pub slow: f64,
    /// Since when it owes an answer.
    pub owes_since: f64,
    pub shunned_until: f64,
    pub strikes: i32,
    /// Until when a connection that served last is taken to stand.
    pub open_until: f64,
    pub met_at: f64,
    /// When another agent last told of an answer.
    pub told_at: f64,
    /// Share of its last few answers that were errors.
    pub faults: f64,
    /// Allowance while cold, and when it was last filled.
    pub ramp: f64,
    pub ramp_at: f64,
    /// Its times against the calm seconds at equal load, this stage.
    pub times: Count,
}

impl Node {
    /// Hits in hand there, its own and other agents'.
    pub fn held(&self) -> f64 {
        f64::from(self.flying) + self.others
    }
    /// Its rating, as listed.
    pub fn size(&self) -> f64 {
        self.listed.map_or(1.0, |l| l.rating.max(0.1))
    }
    /// Whether this agent or another has heard of it since then, or knows faults of it.
    pub fn heard_since(&self, then: f64) -> bool {
        self.met_at.max(self.told_at) > then || self.faults > 0.0
    }
}

/// A key, as far as one way asks.
#[derive(Clone, Copy, Default)]
pub(crate) struct Key {
    pub hits: u32,
    /// The newest build that may have answered it.
    pub answered: u32,
    /// The newest build that a hit of it is on its way to, and how many are.
    pub toward: u32,
    pub flying: u32,
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
    /// The first build that answered it with an error.
    pub erred: Option<u32>,
    /// Its first forward, while a further one has to tell whether the build or the hit is to blame.
    pub accused: Option<Flying>,
    /// When and where it first may have run.
    pub risk: Option<(f64, usize, i64)>,
}

impl Hit {
    /// Its work by the hint; without one all hits count alike.
    pub fn work(&self) -> f64 {
        if self.arrival.hint > 0.0 {
            self.arrival.hint
        } else {
            1.0
        }
    }
    /// Logarithm of a time over its work.
    pub fn pace(&self, spent: f64) -> Option<f64> {
        Some(spent / self.work()).filter(|s| *s > 0.0 && s.is_finite()).map(f64::ln)
    }
    /// The operators' bounds on its forwards: how many, how long.
    pub fn bounds(&self) -> (f64, f64) {
        let Arrival { most, longest, .. } = self.arrival;
        let most = if most > 0 { f64::from(most) } else { f64::INFINITY };
        (most, if longest > 0.0 { longest } else { f64::INFINITY })
    }
    /// Whether a node speaks this hit's protocol, is not spared it and, if it may have run and is not repeatable, drops its
    /// repeats.
    pub fn may_go(&self, repeat: Repeat, scope: Scope, line: &Listed) -> bool {
        let Arrival { speaks, spares, .. } = self.arrival;
        let meant = speaks == line.speaks && spares.is_none_or(|build| line.build < build);
        meant && (repeat == Repeat::Repeatable || self.within(scope, line))
    }
    fn within(&self, scope: Scope, line: &Listed) -> bool {
        match (self.risk, scope) {
            (Some((_, zone, _)), Scope::Zone) => zone == line.zone,
            (Some((_, _, cell)), Scope::Cell) => cell == line.cell,
            _ => true,
        }
    }
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
        let risk = hit.risk.or(hit.arrival.risk);
        self.hits[place] = Hit { turn, risk, ..hit };
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

impl Chance {
    pub fn seeded(seed: u64) -> Chance {
        Chance(ChaCha8Rng::seed_from_u64(seed))
    }
    /// A number from the first to below the second.
    pub fn within(&mut self, from: f64, to: f64) -> f64 {
        self.0.gen_range(from..to)
    }
    /// Whether what comes in this part of all cases comes now.
    pub fn comes(&mut self, part: f64) -> bool {
        self.0.gen_bool(part)
    }
}

impl Default for Chance {
    fn default() -> Chance {
        Chance::seeded(0)
    }
}

/// What counts came in lately, faded as they age.
#[derive(Default)]
pub(crate) struct Lately {
    pub taken: f64,
    pub done: f64,
    /// Hits by account, with what is within the account's share.
    pub accounts: Vec<(f64, f64)>,
    /// Part of late answers among the last and whether it ails, by path group and then by account.
    pub tardy: Vec<(f64, bool)>,
    /// Mean time of a forward and load of its node: their ratio tells the time at any load.
    pub spent: f64,
    pub loads: f64,
    /// Times of the last forwards to the own zone and to others.
    pub sides: [Count; 2],
    /// Times of the earlier build's nodes against the calm seconds at equal load.
    pub present: Count,
}

impl Lately {
    /// What an account has sent over its share among so many agents, in standard errors of its count.
    pub fn over(&self, account: usize, agents: f64) -> f64 {
        let beyond = |(sent, share): &(f64, f64)| (sent - share / agents) / (share / agents).sqrt();
        self.accounts.get(account).map_or(0.0, beyond)
    }
    pub fn fade(&mut self, keep: f64, reach: f64) {
        self.taken *= keep;
        self.done *= keep;
        self.accounts.iter_mut().for_each(|a| a.0 *= keep);
        self.present.fade(reach);
    }
    /// Reads the accounts and their shares.
    pub fn read(&mut self, named: &Named, groups: usize) {
        let name = |i: usize| format!("accounts.{i}.allowance_per_s");
        while named.contains_key(&name(self.accounts.len())) {
            self.accounts.push((0.0, number(named, &name(self.accounts.len()), f64::INFINITY)));
        }
        self.tardy = vec![(0.0, false); groups + self.accounts.len()];
        self.loads = 1.0;
    }
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
    /// How slow it was when the pause began.
    pub paused_at: Option<f64>,
    pub not_before: f64,
    pub until: f64,
}

/// An outcome to be weighed: whether the node was heard and answered, whether it counts as an outcome of the
/// stage and as a pull in time or not, the fault, the part of it that is the node's own, what it takes back of
/// what was said before, and the logarithm of its time over calm seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Seen {
    pub heard: bool,
    pub answered: bool,
    pub outcome: bool,
    pub pull: Option<bool>,
    pub fault: f64,
    pub own_fault: f64,
    pub back: f64,
    pub slow: Option<f64>,
}

/// What is known from and told to other agents.
#[derive(Default)]
pub(crate) struct Pool {
    pub start: u32,
    pub own: usize,
    /// Numbers of the agents that judge for all; empty where agents may not talk.
    pub judges: Vec<usize>,
    /// When a judge was heard last, and when to tell next.
    pub heard_at: f64,
    pub tell_at: f64,
    pub word_at: f64,
    /// Own totals by node and path group, and which of them have changed since they were told.
    pub totals: Vec<Totals>,
    pub changed: Vec<usize>,
    /// What each agent told last, by node and path group, with its start, build and stage.
    pub told: HashMap<usize, Told>,
    /// Answers of others that were heard of lately.
    pub answers: f64,
    /// Whether a judge holds a slowdown to be in doubt.
    pub doubt: bool,
}

/// What one agent has told.
#[derive(Default)]
pub(crate) struct Told {
    pub of: (u32, u32, usize),
    pub totals: HashMap<usize, Totals>,
}

impl Pool {
    /// Names the judges, spread over the numbers of all agents; 0: none. What was told to others is forgotten.
    pub fn seat(&mut self, judges: f64, all: f64, own: f64) {
        let judges = judges.min(all).clamp(0.0, 1000.0);
        let named: Vec<usize> = (0..judges as usize).map(|j| (j as f64 * all / judges) as usize).collect();
        if (&named, own as usize) != (&self.judges, self.own) {
            *self = Pool { judges: named, own: own as usize, start: self.start, ..Pool::default() };
        }
    }
    pub fn judges(&self) -> bool {
        self.judges.contains(&self.own)
    }
    /// The own totals of a place, to be changed.
    pub fn count(&mut self, place: usize) -> &mut Totals {
        if place >= self.totals.len() {
            self.totals.resize(place + 1, Totals::default());
        }
        if !self.changed.contains(&place) {
            self.changed.push(place);
        }
        &mut self.totals[place]
    }
    /// Counts an outcome of the own into the totals, where anyone is to be told.
    pub fn note(&mut self, place: usize, seen: &Seen) {
        if self.judges.is_empty() {
            return;
        }
        let t = self.count(place);
        t.answers += u32::from(seen.answered);
        t.faults += u32::from(seen.answered && seen.own_fault >= 0.5);
        t.outcomes += u32::from(seen.outcome);
        t.pulls += u32::from(seen.pull.is_some());
        t.in_time += u32::from(seen.pull == Some(true));
        t.times += u32::from(seen.slow.is_some());
        t.slow += seen.slow.unwrap_or(0.0);
    }
    /// Counts an answer that was found wrong, where anyone is to be told.
    pub fn complained(&mut self, place: usize) {
        if !self.judges.is_empty() {
            self.count(place).complaints += 1;
        }
    }
    /// What has changed, for each judge but itself.
    pub fn tell(&mut self, plain: &Tidings, groups: usize) -> Vec<(Option<usize>, Tidings)> {
        let told = Tidings { totals: self.changes(groups), ..plain.clone() };
        let others = self.judges.iter().filter(|j| **j != self.own);
        others.map(|j| (Some(*j), told.clone())).collect()
    }
    /// What has changed since this was last asked for, by node and path group.
    fn changes(&mut self, groups: usize) -> Vec<(usize, usize, Totals)> {
        let totals = &self.totals;
        self.changed.drain(..).map(|p| (p / groups, p % groups, totals[p])).collect()
    }
    /// What is new in an agent's totals of a place; those of another start, build or stage are all new.
    pub fn news(&mut self, from: usize, of: (u32, u32, usize), place: usize, now: Totals) -> Totals {
        let told = self.told.entry(from).or_default();
        if of > told.of {
            *told = Told { of, ..Told::default() };
        } else if of < told.of {
            return Totals::default(); // from before its last news, come late
        }
        let old = told.totals.insert(place, now).unwrap_or_default();
        let counts = |t: &Totals| [t.answers, t.outcomes, t.times, t.complaints];
        if counts(&now).into_iter().zip(counts(&old)).any(|(now, old)| now < old) {
            told.totals.insert(place, old); // an older message that came late
            return Totals::default();
        }
        Totals {
            answers: now.answers - old.answers,
            faults: now.faults.saturating_sub(old.faults),
            outcomes: now.outcomes - old.outcomes,
            pulls: now.pulls.saturating_sub(old.pulls),
            in_time: now.in_time.saturating_sub(old.in_time),
            complaints: now.complaints - old.complaints,
            times: now.times - old.times,
            slow: now.slow - old.slow,
        }
    }
}

/// The platform's sampled counts of all agents' forwards, of the earlier builds and of the newest: forwards, and how
/// many of them failed.
#[derive(Default)]
pub struct Tallies {
    /// Of a few periods.
    lately: [Count; 2],
    /// Of the period that is being told, and since when.
    period: [Count; 2],
    told_at: f64,
    /// Failures of past periods, as they were and as they would be if all builds failed alike in each.
    failed: [f64; 2],
    alike: [f64; 2],
}

impl Tallies {
    /// Adds a count. Those of one period come within so many seconds.
    pub(crate) fn add(&mut self, now: f64, within: f64, arm: usize, tally: &Tally) {
        if now > self.told_at + within {
            let [earlier, trial] = std::mem::take(&mut self.period);
            let (z, failed) = (earlier.z + trial.z, earlier.sum + trial.sum);
            if earlier.z > 0.0 && trial.z > 0.0 {
                for (i, count) in [earlier, trial].into_iter().enumerate() {
                    self.failed[i] += count.sum;
                    self.alike[i] += failed * count.z / z;
                }
            }
            self.told_at = now;
        }
        let (z, sum) = (f64::from(tally.forwards), f64::from(tally.failed.min(tally.forwards)));
        for arms in [&mut self.lately, &mut self.period] {
            arms[arm] = arms[arm].with(&Count { z, sum, squares: sum });
        }
    }
    pub(crate) fn fade(&mut self, lately: f64, long: f64) {
        self.lately.iter_mut().for_each(|a| a.fade(lately));
        self.failed.iter_mut().chain(&mut self.alike).for_each(|f| *f *= long);
    }
    /// The part of the newest build's failures that the earlier ones' don't explain; all of them where nothing is
    /// told. One failure among so many forwards is counted in besides, as few forwards may hold none by chance.
    pub(crate) fn more(&self, among: f64) -> f64 {
        let own = (self.lately[TRIAL].sum + 1.0) / (self.lately[TRIAL].z + among);
        (1.0 - self.lately[EARLIER].mean() / own).max(0.0)
    }
    /// The log likelihood ratio of failures as they fell on the builds against as if all failed alike in each period
    /// (the same moments: what meets both at once is no difference); 0 where the newest build had no more than that.
    pub(crate) fn against(&self) -> f64 {
        let term = |i: usize| {
            if self.failed[i] > 0.0 {
                self.failed[i] * (self.failed[i] / self.alike[i]).ln()
            } else {
                0.0
            }
        };
        if self.failed[TRIAL] > self.alike[TRIAL] {
            term(EARLIER) + term(TRIAL)
        } else {
            0.0
        }
    }
}

/// One agent: what it was told and what it has seen. Its decisions are in `policy`.
#[derive(Default)]
pub struct Balancer {
    pub(crate) named: Named,
    pub(crate) chance: Chance,
    pub(crate) now: f64,
    pub(crate) started: f64,
    /// Between the last two moments at which anything came.
    pub(crate) gap: f64,
    pub(crate) zone: Option<usize>,
    pub(crate) groups: Vec<PathGroup>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) fit: Vec<usize>,
    pub(crate) slab: Slab,
    pub(crate) flying: u32,
    pub(crate) lately: Lately,
    pub(crate) retries: f64,
    pub(crate) tallies: Tallies,
    /// Share of forwards that found no connection or a dead one, and the same of those to nodes that had
    /// answered lately; how long an idle connection is taken to last.
    pub(crate) lost: [f64; 2],
    pub(crate) idle: f64,
    pub(crate) probe_at: f64,
    /// How times in calm seconds differ by a node's load step.
    pub(crate) steps: [Count; LOADS],
    pub(crate) news: Option<News>,
    pub(crate) stage_began: f64,
    /// The last build seen on trial, and whether this agent ran before that.
    pub(crate) seen: u32,
    pub(crate) informed: bool,
    pub(crate) tokens: f64,
    pub(crate) share: (f64, f64),
    pub(crate) void: Vec<u32>,
    pub(crate) duel: Duel,
    pub(crate) evidence: Evidence,
    /// The stated rates, the evidence they ask for on the present release, and what it came to last.
    pub(crate) terms: Option<Terms>,
    pub(crate) case: Option<Case>,
    pub(crate) look: Option<Look>,
    /// Share of the earlier build's answers that were errors, of late and over ten times as many.
    pub(crate) usual_faults: f64,
    pub(crate) long_faults: Count,
    /// Share of the earlier builds' answers that clients found wrong.
    pub(crate) wrong: Count,
    /// How many of the hits that erred err again at another node.
    pub(crate) echo: f64,
    pub(crate) doubt: Doubt,
    pub(crate) keys: Vec<Key>,
    pub(crate) keyed_hits: f64,
    pub(crate) held_share: f64,
    pub(crate) cast: Cast,
    pub(crate) following: Following,
    pub(crate) pool: Pool,
}

impl Balancer {
    /// Of the other nodes of a node's build that have answered in this stage, the share with more faults than
    /// this; all of them where none has.
    pub(crate) fn erring(&self, node: usize, faults: f64) -> f64 {
        let build = |n: &Node| n.listed.map(|l| l.build);
        let own = build(&self.nodes[node]);
        let (mut met, mut erring) = (0.0, 0.0);
        for (_, n) in self.nodes.iter().enumerate().filter(|(i, n)| *i != node && build(n) == own) {
            met += f64::from(n.heard_since(self.stage_began));
            erring += f64::from(n.faults > faults);
        }
        if met > 0.0 {
            erring / met
        } else {
            1.0
        }
    }

    /// A release, and each time it is tried anew, is a case of its own; its stages are parts of one.
    pub(crate) fn open_case(&mut self, old: Option<News>, news: News, window: f64) {
        let on = |n: &News| n.phase == Phase::Trial;
        let Some(terms) = self.terms.clone() else { return };
        if on(&news) && !old.is_some_and(|o| o.build == news.build && on(&o)) {
            let [all, back, on] = ["peers_total", "family_info.noes_needed", "family_info.on_votes"]
                .map(|name| self.set(name, 1.0).max(1.0));
            let voters = Voters { all: all.max(back).max(on), back, on };
            self.case = Some(Case::new(terms, voters, self.groups.len(), u64::from(news.build), window));
            self.look = None;
        } else if old.is_none_or(|o| o.build != news.build) {
            (self.case, self.look) = (None, None);
        }
        let (now, usual) = (self.now, self.long_faults.mean());
        let Some(case) = &mut self.case else { return };
        match news.phase {
            Phase::Trial
                if !old.is_some_and(|o| (o.build, o.stage) == (news.build, news.stage) && on(&o)) =>
            {
                case.stage(now, news.since);
            }
            Phase::Released => case.released(now, usual),
            _ => {}
        }
    }

    /// Hands the outcome of a first forward to the stated evidence.
    pub(crate) fn witness(&mut self, hit: &Hit, flying: &Flying, end: End, time: Option<f64>) {
        let (now, Some(news)) = (self.now, self.news) else { return };
        let Some(case) = self.case.as_mut().filter(|_| flying.first && flying.build <= news.build) else {
            return;
        };
        let side = if flying.build == news.build { TRIAL } else { EARLIER };
        let up_since = self.nodes[flying.node].listed.map_or(0.0, |l| l.up_since);
        let (group, node, key, age) = (hit.arrival.group, flying.node, hit.arrival.key, now - up_since);
        case.outcome(now, &Outcome { side, group, node, key, age, end, time });
    }

    /// Begins with nothing but the settings; `zone` is its own.
    pub(crate) fn begin(seed: u64, now: f64, zone: Option<usize>, named: Named) -> Result<Balancer, String> {
        let chance = Chance::seeded(seed);
        let mut b = Balancer { now, started: now, zone, chance, ..Balancer::default() };
        b.adopt(now, named)?;
        b.terms = crate::names::stated(&b.named)?;
        b.evidence = Evidence::new(b.groups.len());
        b.pool.start = (now * 10.0) as u64 as u32;
        b.following.on = b.pushed();
        Ok(b)
    }

    /// The operators have chosen anew. A release under way goes on by the terms under which it began.
    pub fn choose_terms(&mut self, terms: Option<Terms>) {
        self.terms = terms;
    }

    /// Whether settings can be taken: sound in themselves and, once it runs, with the path groups (and how they
    /// may be repeated) and accounts that hits in hand and counts go by.
    pub fn fits(&self, named: &Named) -> Result<(), String> {
        crate::names::sound(named)?;
        let groups = PathGroup::read(named)?;
        let (old, new) = (text(&self.named, "discovery"), text(named, "discovery"));
        if !self.groups.is_empty() && old != new {
            return Err(format!("discovery: found '{new}', expected '{old}' as at the start"));
        }
        for i in 0..groups.len().max(self.groups.len()) {
            for part in ["name", "repeat", "dedup_scope"] {
                let name = format!("classes.{i}.{part}");
                let (old, new) = (text(&self.named, &name), text(named, &name));
                if !self.groups.is_empty() && old != new {
                    return Err(format!("{name}: found '{new}', expected '{old}' as at the start"));
                }
            }
        }
        let mut accounts = Lately::default();
        accounts.read(named, 0);
        let (old, new) = (self.lately.accounts.len(), accounts.accounts.len());
        if !self.groups.is_empty() && old != new {
            return Err(format!("accounts: found {new}, expected {old} as at the start"));
        }
        Ok(())
    }

    /// Puts settings, if they fit, in place of the present ones. What operators stated stays theirs.
    pub(crate) fn adopt(&mut self, now: f64, named: Named) -> Result<(), String> {
        self.fits(&named)?;
        self.at(now);
        let mut groups = PathGroup::read(&named)?;
        groups.iter_mut().zip(&self.groups).for_each(|(new, old)| new.calm = old.calm);
        let (first, stated) = (self.groups.is_empty(), std::mem::replace(&mut self.named, named));
        self.named.extend(stated.into_iter().filter(|(name, _)| name.starts_with("verdict.")));
        self.groups = groups;
        let mut lately = Lately::default();
        lately.read(&self.named, self.groups.len());
        if first {
            self.lately = lately;
        } else {
            let shares = lately.accounts.iter().map(|a| a.1);
            self.lately.accounts.iter_mut().zip(shares).for_each(|(old, share)| old.1 = share);
        }
        Ok(())
    }

    /// Of the share of this build's nodes that err, the part beyond that of the earlier builds' nodes; of those
    /// heard in this stage.
    pub(crate) fn erring_more(&self, build: u32) -> f64 {
        let mut shares = [Count::default(); 2];
        let met = self.nodes.iter().filter(|n| n.heard_since(self.stage_began));
        for (n, line) in met.filter_map(|n| Some((n, n.listed?))) {
            shares[usize::from(line.build == build)].add(f64::from(n.faults > 0.02));
        }
        let [earlier, own] = shares.map(|s| s.mean());
        (1.0 - earlier / own.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// What speaks against the newest build, in a line for the log.
    pub fn against(&self) -> String {
        let (e, index) = (&self.evidence, [EARLIER, TRIAL].map(|arm| self.duel.moments(arm)));
        let [earlier, trial] = index.map(|(pulls, mean, _)| format!("{mean:.2} of {pulls:.0}"));
        let most = e.faults.iter().fold(0.0, |a: f64, b| a.max(*b));
        if let Some(Look { back, on, remaining, .. }) = self.look {
            let remaining = remaining.map_or("no end".into(), |s| format!("{s:.0} s"));
            return format!(
                "evidence to go back {back:.2}, to go on {on:.2} of what is stated, {remaining} more at this rate, \
                 payoffs {earlier} to {trial}"
            );
        }
        format!(
            "errors {most:.1}, again elsewhere {:.2}, complaints {:.1}, slower {:.2}, stays {:.2}, abated {}, \
             payoffs {earlier} to {trial}",
            self.echo, e.complaints, e.slower, e.stays, e.abated
        )
    }

    /// All comparisons that speak for or against the newest build; none where no rates are stated.
    pub fn account(&self) -> Vec<Entry> {
        self.case.as_ref().map(Case::account).unwrap_or_default()
    }

    /// What they came to at the last review.
    pub fn look(&self) -> Option<Look> {
        self.look
    }

    pub(crate) fn set(&self, name: &str, otherwise: f64) -> f64 {
        number(&self.named, name, otherwise)
    }

    pub(crate) fn flag(&self, name: &str) -> bool {
        flag(&self.named, name)
    }

    pub(crate) fn text(&self, name: &str) -> &str {
        text(&self.named, name)
    }

    /// A hit in hand, and its path group.
    pub(crate) fn hit(&self, place: usize) -> (&Hit, &PathGroup) {
        let hit = &self.slab.hits[place];
        (hit, &self.groups[hit.arrival.group])
    }

    /// Whether a hit's path group or account ails.
    pub(crate) fn ailing(&self, hit: &Hit) -> bool {
        let account = self.groups.len().saturating_add(hit.arrival.account);
        [hit.arrival.group, account].iter().any(|i| self.lately.tardy.get(*i).is_some_and(|t| t.1))
    }

    /// What all that it tells says, under this news.
    pub(crate) fn plain(&self, news: &News) -> Tidings {
        let (start, informed) = (self.pool.start, self.informed);
        Tidings { start, build: news.build, stage: news.stage, informed, ..Tidings::default() }
    }

    /// A stage begins, as told; what is told to others counts from here.
    pub(crate) fn begin_stage(&mut self, news: &News) {
        self.stage_began = self.now - news.since.max(0.0);
        (self.pool.totals, self.pool.changed) = Default::default();
    }

    /// Forgets what was seen of the last build.
    pub(crate) fn forget(&mut self) {
        (self.evidence, self.tallies) = (Evidence::new(self.groups.len()), Tallies::default());
        self.nodes.iter_mut().for_each(|n| n.times = Count::default());
        self.doubt = Doubt::default();
    }

    /// How many agents there are, this one included.
    pub(crate) fn agents(&self) -> f64 {
        self.set("peers_total", 1.0)
    }

    /// The newest build that there is news of.
    pub(crate) fn newest(&self) -> Option<u32> {
        self.news.map(|n| n.build)
    }

    /// Time never runs backwards here, whatever a caller says.
    pub(crate) fn at(&mut self, now: f64) {
        self.gap = if now > self.now { now - self.now } else { self.gap };
        self.now = now.max(self.now);
    }

    pub(crate) fn trial(&self) -> Option<News> {
        self.news.filter(|n| n.phase == Phase::Trial)
    }

    /// Mean time in hand by Little's law: hits in flight over answers a second (sums of about one second).
    pub(crate) fn pressure(&self) -> f64 {
        f64::from(self.flying) / self.lately.done.max(1.0)
    }

    /// The load step of a node, for comparing times at equal load.
    pub(crate) fn step(&self, node: usize) -> usize {
        let load = self.nodes[node].held() / self.nodes[node].size();
        ((1.0 + load).log2().round() as usize).min(LOADS - 1)
    }

    /// The part of its power that a node has at least, by its age.
    pub(crate) fn warmth(&self, line: &Listed) -> f64 {
        let (full, from) = (self.set("obligations.cold_s", 0.0), self.set("obligations.cold_share", 1.0));
        if line.up_since <= 0.0 || full <= 0.0 {
            return 1.0;
        }
        (from + (1.0 - from) * (self.now - line.up_since) / full).clamp(from.clamp(0.05, 1.0), 1.0)
    }

    /// What a node can take now: its size by warmth and speed.
    pub(crate) fn power(&self, node: usize) -> f64 {
        let n = &self.nodes[node];
        n.listed.map_or(1.0, |l| l.rating.max(0.1) * self.warmth(&l)) * (-n.slow).exp()
    }

    pub(crate) fn is_near(&self, node: usize) -> bool {
        self.nodes[node].listed.map(|l| l.zone) == self.zone
    }

    /// The own zone's part of the power of these nodes, over its part of their zones.
    pub(crate) fn near_part(&self, among: &[usize]) -> f64 {
        let (mut near, mut all, mut zones) = (0.0, f64::MIN_POSITIVE, 0);
        for i in among {
            all += self.power(*i);
            near += if self.is_near(*i) { self.power(*i) } else { 0.0 };
            zones = zones.max(self.nodes[*i].listed.map_or(0, |l| l.zone + 1));
        }
        near / all * zones as f64
    }

    /// Draws two nodes by power, each a near one if that is asked for and found in a few tries.
    pub(crate) fn draw(&mut self, among: &[usize], near: [bool; 2]) -> Option<[usize; 2]> {
        if among.is_empty() {
            return None;
        }
        let most = among.iter().map(|i| self.power(*i)).fold(f64::MIN_POSITIVE, f64::max);
        let two = near.map(|near| {
            let mut pick = among[self.chance.0.gen_range(0..among.len())];
            for _ in 0..20 {
                if self.chance.0.gen_range(0.0..most) < self.power(pick) && (!near || self.is_near(pick)) {
                    break;
                }
                pick = among[self.chance.0.gen_range(0..among.len())];
            }
            pick
        });
        Some(two)
    }

    /// The build that must go on serving this key, under one way: the newest that may have answered it. One
    /// that a hit is on its way to may have, unheard, on a connection that has fallen silent.
    pub(crate) fn holding(&self, key: usize) -> Option<u32> {
        let key = self.keys.get(key).filter(|_| self.one_way())?;
        let builds = [if key.flying > 0 { key.toward } else { 0 }, key.answered];
        builds.into_iter().filter(|b| *b > 0 && !self.void.contains(b)).max()
    }

    /// The mean times of the earlier builds' nodes and of this build's, each against the earlier nodes whose
    /// ratings round alike by `width`; the sum of the trial's errors and how many of its nodes may be beyond
    /// a margin. Where a node has given an answer or two, they are taken to vary as all earlier ones do.
    pub(crate) fn sides(&self, build: u32, width: f64, margin: f64) -> ([Count; 2], f64, f64) {
        let size = |l: &Listed| (l.rating.max(0.1).ln() / width).round() as i32;
        let met = || self.nodes.iter().filter_map(|n| Some((n.times, n.listed?))).filter(|(t, _)| t.z > 0.5);
        let known = || met().filter(|(_, l)| l.open && l.build <= build);
        let (mut kin, mut all) = (std::collections::BTreeMap::<i32, Count>::new(), Count::default());
        for (times, l) in known().filter(|(_, l)| l.build < build) {
            kin.entry(size(&l)).or_default().add(times.mean());
            all = all.with(&times);
        }
        let (mut sides, mut noise, mut beyond) = ([Count::default(); 2], 0.0, 0.0);
        for (times, l) in known() {
            let x = times.mean() - kin.get(&size(&l)).map_or(0.0, Count::mean);
            sides[usize::from(l.build == build)].add(x);
            if l.build == build {
                let error = times.error().max(all.variance() / times.z);
                noise += error;
                beyond += f64::from(x + error.sqrt() > margin);
            }
        }
        (sides, noise, beyond)
    }

    /// Whether a build is on trial, or released so lately after a trial that this agent saw.
    pub(crate) fn watched(&self, lately: f64) -> bool {
        let fresh = |n: &News| n.phase == Phase::Released && self.now < self.stage_began + lately;
        self.news.is_some_and(|n| n.phase == Phase::Trial || (self.seen == n.build && fresh(&n)))
    }

    /// The lines of nodes that are open.
    pub(crate) fn open(&self) -> impl Iterator<Item = Listed> + '_ {
        self.nodes.iter().filter_map(|n| n.listed).filter(|l| l.open)
    }

    /// What a hit of each path group brings.
    pub fn benefits(&self) -> Vec<f64> {
        self.groups.iter().map(|g| g.benefit).collect()
    }

    /// How long nodes know a tagged hit's repeats, in seconds.
    pub fn window(&self, group: usize) -> f64 {
        self.groups.get(group).map_or(0.0, |g| g.window)
    }

    /// A node's zone and cell.
    pub fn place_of(&self, node: usize) -> Option<(usize, i64)> {
        self.nodes.get(node)?.listed.map(|l| (l.zone, l.cell))
    }

    /// Whether the list's changes are pushed, to the own machine; else they come on request only.
    pub fn pushed(&self) -> bool {
        self.text("discovery") != "on_request"
    }

    /// Whether a key that went to the trial build stays there.
    pub fn one_way(&self) -> bool {
        self.flag("family_info.one_way")
    }

    /// The longest time to come back that clients may be told, in seconds; 0 where they are told none.
    pub fn longest_back(&self) -> f64 {
        if self.flag("limits.retry_after") {
            self.set("limits.max_retry_after_s", 0.0)
        } else {
            0.0
        }
    }

    /// The build on trial, if a node of an earlier one is open: hits can be kept from it.
    pub fn can_be_spared(&self) -> Option<u32> {
        let trial = self.trial()?.build;
        self.open().any(|l| self.standing(l.build) == Standing::Open).then_some(trial)
    }

    /// From now on other hits come than before: what is compared block by block begins a block here.
    pub fn other_hits(&mut self, now: f64) {
        self.case.iter_mut().for_each(|c| c.cut(now));
    }

    /// Fades what calm seconds have shown.
    pub(crate) fn fade_calm(&mut self, keep: f64) {
        self.groups.iter_mut().map(|g| &mut g.calm).chain(&mut self.steps).for_each(|c| c.fade(keep));
    }

    /// Remembers a build seen on trial, and one that goes back.
    pub(crate) fn remember(&mut self, news: News) {
        self.seen = if news.phase == Phase::Trial { news.build } else { self.seen };
        let back = matches!(news.phase, Phase::GoingBack | Phase::Withdrawn);
        if back && !self.void.contains(&news.build) {
            self.void.push(news.build);
        }
    }

    /// The present power of the build on trial, over all power and over the earlier builds' alone; 1 without.
    pub(crate) fn trial_share(&self) -> (f64, f64) {
        let Some(news) = self.trial() else { return (1.0, 1.0) };
        let (mut own, mut all) = (0.0, f64::MIN_POSITIVE);
        for l in self.open().filter(|l| l.build <= news.build) {
            let power = l.rating.max(0.1) * self.warmth(&l);
            all += power;
            own += if l.build == news.build { power } else { 0.0 };
        }
        (own / all, own / (all - own).max(f64::MIN_POSITIVE))
    }

    /// Takes in the list: all of it (`whole`: what is absent is gone) or changes. `fresh` unless remembered.
    pub fn listed(&mut self, now: f64, whole: bool, fresh: bool, lines: &[Listed]) {
        self.at(now);
        self.list(whole, fresh, lines);
    }

    /// Keeps the list: all of it (`whole`: what is absent is gone) or changes; `fresh` unless remembered.
    pub(crate) fn list(&mut self, whole: bool, fresh: bool, lines: &[Listed]) {
        if fresh {
            (self.following.on, self.following.failures) = (true, 0);
        }
        if whole {
            self.nodes.iter_mut().filter_map(|n| n.listed.as_mut()).for_each(|l| l.open = false);
        }
        for line in lines {
            if line.node >= self.nodes.len() {
                self.nodes.resize(line.node + 1, Node::default());
            }
            let node = &mut self.nodes[line.node];
            // An id that comes back with another build or start is another process: nothing learnt holds.
            if node.listed.is_none_or(|l| l.build != line.build || l.up_since != line.up_since) {
                // What agents have saved up for it differs, or all would send to it at once.
                let (flying, owes_since, ramp) = (node.flying, self.now, self.chance.0.gen_range(0.0..1.0));
                *node = Node { flying, owes_since, ramp, ramp_at: self.now, ..Node::default() };
            }
            node.listed = Some(*line);
        }
    }

    /// Takes a hit in, and counts it by account and key.
    pub(crate) fn admit(&mut self, now: f64, arrival: Arrival) -> HitHandle {
        self.at(now);
        let arrival = Arrival { group: arrival.group.min(self.groups.len() - 1), ..arrival };
        let due = self.now + arrival.remaining.max(0.0);
        self.lately.taken += 1.0;
        self.lately.accounts.get_mut(arrival.account).into_iter().for_each(|a| a.0 += 1.0);
        self.note(arrival.key);
        self.slab.put(Hit { owed: true, arrival, taken: self.now, due, ..Hit::default() })
    }

    /// Counts a hit's key in; `None` where it has none.
    fn note(&mut self, key: Option<usize>) {
        let Some(key) = key else { return };
        if key >= self.keys.len() {
            self.keys.resize(key + 1, Key::default());
        }
        self.keys[key].hits += 1;
        self.keyed_hits += 1.0;
    }

    /// Puts a forward on its way.
    pub(crate) fn launch(&mut self, place: usize, flying: Flying) {
        self.flying += 1;
        let node = &mut self.nodes[flying.node];
        if node.flying == 0 {
            node.owes_since = flying.sent;
        }
        node.flying += 1;
        node.ramp -= 1.0;
        let hit = &mut self.slab.hits[place];
        if let Some(key) = hit.arrival.key.and_then(|k| self.keys.get_mut(k)) {
            // Towards an older build as well it is kept to the newer one.
            (key.toward, key.flying) = match flying.build.cmp(&key.toward) {
                Ordering::Greater => (flying.build, 1),
                Ordering::Equal => (key.toward, key.flying + 1),
                Ordering::Less => (key.toward, key.flying),
            };
        }
        hit.flying = Some(flying);
        hit.forwards += 1;
    }

    /// Takes the forward of a hit back in. Remembers where the hit may have run, and which build may have
    /// served its key.
    pub(crate) fn land(&mut self, place: usize, ending: Ending) -> Option<Flying> {
        let hit = &mut self.slab.hits[place];
        let flying = hit.flying.take()?;
        if ending == Ending::Errored {
            hit.erred = hit.erred.or(Some(flying.build));
        }
        let node = &mut self.nodes[flying.node];
        let unseen = matches!(ending, Ending::TurnedAway | Ending::NoConnection | Ending::NeverSent);
        if !unseen && hit.risk.is_none() {
            let at = node.listed.map_or((usize::MAX, -1), |l| (l.zone, l.cell));
            hit.risk = Some((flying.sent, at.0, at.1));
        }
        // An answer that came late, broke off or was spoilt may have been a good one: it binds the key too.
        if let Some(key) = hit.arrival.key.and_then(|k| self.keys.get_mut(k)) {
            key.flying = key.flying.saturating_sub(u32::from(key.toward == flying.build));
            let bound = !unseen && ending != Ending::Errored;
            key.answered = key.answered.max(if bound { flying.build } else { 0 });
        }
        self.flying = self.flying.saturating_sub(1);
        node.flying = node.flying.saturating_sub(1);
        Some(flying)
    }
}
