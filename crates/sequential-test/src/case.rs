//! What there is to say of one release: all its comparisons, block by block, and what they come to.

use crate::jury::{Block, Jury, PLACES};
use crate::keys::Keys;
use crate::pair::{Sides, Tally};
use crate::past::Past;
use crate::pauses::Pauses;
use crate::terms::{self, Terms, Voters};
use crate::wealth::Bets;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

pub const EARLIER: usize = 0;
pub const TRIAL: usize = 1;

/// The length of a block. What meets both builds alike has to change little within it; shorter blocks would leave
/// the rarer side without outcomes, where nothing can be compared.
const BLOCK: f64 = 0.5;

/// How an outcome ended, as far as errors go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Passed,
    Erred,
    /// It erred, and so did the hit's next forward elsewhere: nothing is held against the build for it.
    ErredAgain,
    /// It tells nothing of errors (no answer in time, say), only its time.
    Unheard,
}

/// One forward's outcome.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// [`EARLIER`] or [`TRIAL`].
    pub side: usize,
    /// Path group, a small index.
    pub group: usize,
    /// Node, a small index.
    pub node: usize,
    /// The hit's key, a small index.
    pub key: Option<usize>,
    /// For how long its node has run, in seconds.
    pub age: f64,
    pub end: End,
    /// The logarithm of its time over the usual at equal load, where it tells anything.
    pub time: Option<f64>,
}

/// Which vote a comparison is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Vote {
    Back,
    On,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Opinion {
    /// The stated evidence to go back is there.
    Back,
    /// The stated evidence to go on is there.
    On,
    NotYet,
}

/// What it comes to at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Look {
    pub opinion: Opinion,
    /// The strongest evidence to go back, 1 being enough.
    pub back: f64,
    /// The weakest evidence to go on, 1 being enough.
    pub on: f64,
    /// How much longer until either is enough, in seconds, at the rate of the last few; none where neither grows.
    pub remaining: Option<f64>,
}

/// One comparison, for those who ask why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub vote: Vote,
    /// What was compared: errors, work, complaints, past, pauses, and those of nodes that have run for long.
    pub what: String,
    /// The path group, where it is about one.
    pub group: Option<usize>,
    /// The logarithm of the evidence and what is needed.
    pub log: f64,
    pub needed: f64,
    /// Outcomes and how many were marked: earlier, trial.
    pub earlier: (f64, f64),
    pub trial: (f64, f64),
    /// The node whose absence makes the evidence least.
    pub without: Option<usize>,
}

/// A comparison: its jury, what the block now open has brought, and its part of the rate.
struct Stream {
    vote: Vote,
    what: &'static str,
    group: Option<usize>,
    rate: f64,
    jury: Jury,
    block: Block,
}

/// How often a node's mean time in a block lies above the mark, and how far a bad build moves that, as odds.
const ABOVE: [f64; 3] = [0.25, 0.5, 0.75];
const ODDS: [f64; 3] = [2.0, 5.0, 20.0];

/// Bets that marks are more likely at the trial by these odds, or less.
fn shifts(less: bool) -> Bets {
    let moved = |p: f64, odds: f64| {
        let o = p / (1.0 - p) * if less { 1.0 / odds } else { odds };
        [p, o / (1.0 + o)]
    };
    let points = ABOVE
        .iter()
        .flat_map(|p| ODDS.iter().map(move |o| moved(*p, *o)))
        .collect();
    Bets {
        points,
        beyond: 0.0,
    }
}

impl Stream {
    fn new(vote: Vote, what: &'static str, group: Option<usize>, rate: f64, bets: Bets) -> Stream {
        // A vote back leaves out the trial's nodes in turn, a vote on the earlier ones.
        let side = if vote == Vote::Back { TRIAL } else { EARLIER };
        Stream {
            vote,
            what,
            group,
            rate,
            jury: Jury::new(bets, side),
            block: Block::default(),
        }
    }

    fn add(&mut self, side: usize, place: usize, tally: Tally) {
        self.block.sides[side].add(tally);
        let left_out = if self.vote == Vote::Back {
            TRIAL
        } else {
            EARLIER
        };
        if side == left_out {
            if place >= self.block.parts.len() {
                self.block.parts.resize(place + 1, Tally::default());
            }
            self.block.parts[place].add(tally);
        }
    }

    fn close(&mut self) {
        self.jury.take(&self.block);
        self.block.sides = Sides::default();
        self.block.parts.fill(Tally::default());
    }

    fn log(&self, terms: &Terms) -> (f64, Option<usize>) {
        self.jury.log(self.vote == Vote::On || terms.lone_condemns)
    }

    fn needed(&self) -> f64 {
        -self.rate.ln()
    }
}

/// Nodes of a side, in the order in which they came.
#[derive(Default)]
struct Places {
    nodes: Vec<usize>,
    /// Errors of each place in this stage; a mean time for each, above the mark.
    errors: Vec<Tally>,
    slow: Vec<Tally>,
    /// Times of the block now open: how many, their sum.
    times: Vec<(f64, f64, bool)>,
}

impl Places {
    fn of(&mut self, node: usize) -> usize {
        let at = self
            .nodes
            .iter()
            .position(|n| *n == node)
            .unwrap_or_else(|| {
                if self.nodes.len() < 4 * PLACES {
                    self.nodes.push(node);
                    return self.nodes.len() - 1;
                }
                node
            });
        let place = at % PLACES;
        if place >= self.errors.len() {
            self.errors.resize(place + 1, Tally::default());
            self.slow.resize(place + 1, Tally::default());
            self.times.resize(place + 1, (0.0, 0.0, false));
        }
        place
    }

    fn node(&self, place: usize) -> Option<usize> {
        self.nodes.get(place).copied()
    }

    /// The place that did worst so far, once there are three.
    fn worst(tallies: &[Tally]) -> Option<usize> {
        let met = || tallies.iter().enumerate().filter(|(_, t)| t.n > 0.0);
        let worst = met().max_by(|a, b| a.1.share().total_cmp(&b.1.share()))?;
        (met().count() >= 3 && worst.1.marked > 0.0).then_some(worst.0)
    }
}

/// The evidence on one release.
pub struct Case {
    terms: Terms,
    voters: Voters,
    groups: usize,
    now: f64,
    block: u32,
    block_ends: f64,
    stage: u16,
    stage_began: f64,
    streams: Vec<Stream>,
    places: [Places; 2],
    /// Trial places that the comparisons for a vote on leave out in this block: by errors, by time.
    left_out: [Option<usize>; 2],
    keys: Keys,
    /// The mean time of the earlier nodes in the last blocks, the mark that times are held against.
    mark: Option<f64>,
    /// Answers and complaints of the block now open, by side and place, and the answers of those before it, as far
    /// back as complaints come.
    answered: [Vec<Tally>; 2],
    earlier_answers: VecDeque<[Vec<Tally>; 2]>,
    past: Option<Past>,
    past_block: Tally,
    pauses: Pauses,
    /// Since when all have been slower than before the trial, without an end.
    slow_since: Option<f64>,
    /// The two figures of the last blocks, oldest first, to tell how fast they grow.
    trail: Vec<(f64, f64, f64)>,
}

/// The most blocks for which answers are kept until their complaints have come: four minutes.
const LATEST: f64 = 480.0;
/// What a trouble of all leaves behind takes half its time to be worked off, at most.
const AFTERMATH: f64 = 1.5;
/// What takes longer than a day is no time to wait for.
const LONGEST: f64 = 86_400.0;
/// Over how many blocks growth is measured.
const TRAIL: usize = 10;

impl Case {
    /// A release with nothing said of it. `seed`: the same at all agents; `window`: see [`Case::rest`], seconds.
    pub fn new(terms: Terms, voters: Voters, groups: usize, seed: u64, window: f64) -> Case {
        let mut case = Case {
            groups,
            now: f64::NEG_INFINITY,
            block: 1,
            block_ends: f64::NEG_INFINITY,
            stage: 1,
            stage_began: f64::NEG_INFINITY,
            streams: Vec::new(),
            places: Default::default(),
            left_out: [None; 2],
            keys: Keys::default(),
            mark: None,
            answered: Default::default(),
            earlier_answers: VecDeque::new(),
            past: None,
            past_block: Tally::default(),
            pauses: Pauses::new(seed, window),
            slow_since: None,
            trail: Vec::new(),
            terms,
            voters,
        };
        let rate = case.terms.back_rate(voters);
        let each = rate * terms::ERRORS / (groups + 1) as f64;
        let good = case.terms.good_errors;
        for group in (0..groups).map(Some).chain([None]) {
            case.streams.push(Stream::new(
                Vote::Back,
                "errors",
                group,
                each,
                Bets::fails(good),
            ));
        }
        case.streams.push(Stream::new(
            Vote::Back,
            "work",
            None,
            rate * terms::WORK,
            shifts(false),
        ));
        let complained = Bets::fails(case.terms.good_complaints);
        case.streams.push(Stream::new(
            Vote::Back,
            "complaints",
            None,
            rate * terms::COMPLAINTS,
            complained,
        ));
        case.open_stage();
        case
    }

    /// Comparisons for a vote on begin anew in each stage: a build that fails only when busy has passed all
    /// before the last one.
    fn open_stage(&mut self) {
        self.streams.retain(|s| s.vote == Vote::Back);
        let (rate, t) = (self.terms.on_rate(self.voters), &self.terms);
        let mut on = |what, group, bets| {
            self.streams
                .push(Stream::new(Vote::On, what, group, rate, bets))
        };
        for group in 0..self.groups {
            on("errors", Some(group), Bets::holds(t.bad_group));
        }
        on("errors", None, Bets::holds(t.bad_errors));
        on("work", None, shifts(true));
        if t.bad_complaints > 0.0 {
            on("complaints", None, Bets::holds(t.bad_complaints));
        }
        if t.shows_after > 0.0 {
            on("later errors", None, Bets::holds(t.bad_errors));
            on("later work", None, shifts(true));
        }
        self.trail.clear();
        self.pauses.acquits = 0.0;
        for side in &mut self.places {
            side.errors.fill(Tally::default());
            side.slow.fill(Tally::default());
        }
    }

    /// A stage has begun (its first, or the next), `since` seconds ago.
    pub fn stage(&mut self, now: f64, since: f64) {
        self.advance(now);
        self.close();
        (self.stage, self.stage_began) = (self.stage.wrapping_add(1), self.now - since.max(0.0));
        self.open_stage();
    }

    /// The build is released: what comes now is held against the past alone. `usual`: the share of errors that
    /// was usual before it.
    pub fn released(&mut self, now: f64, usual: f64) {
        self.advance(now);
        if self.past.is_none() {
            let usual = (1.5 * usual).max(0.005) + self.terms.good_errors;
            self.past = Some(Past::new(self.now, usual, self.terms.shared_lasts));
        }
    }

    /// Takes in an outcome. While the build is on trial both sides count, later the build itself.
    pub fn outcome(&mut self, now: f64, o: &Outcome) {
        self.advance(now);
        let side = o.side.min(TRIAL);
        let heard = o.end != End::Unheard;
        let admitted = o
            .key
            .is_none_or(|k| !heard || self.keys.admit(k, self.block, self.stage));
        if let (Some(key), End::Erred | End::ErredAgain) = (o.key, o.end) {
            self.keys.erred(key);
        }
        if self.past.is_some() {
            if side == TRIAL && heard && admitted && o.end != End::ErredAgain {
                self.past_block
                    .add(Tally::new(1.0, f64::from(u8::from(o.end == End::Erred))));
            }
            return;
        }
        let place = self.places[side].of(o.node);
        if o.end == End::Passed {
            self.answered(side, place, Tally::new(1.0, 0.0));
        }
        if let Some(time) = o.time.filter(|t| t.is_finite()) {
            let times = &mut self.places[side].times[place];
            *times = (
                times.0 + 1.0,
                times.1 + time,
                times.2 || o.age >= self.terms.shows_after,
            );
        }
        if !heard || !admitted {
            return;
        }
        let marked = f64::from(u8::from(o.end != End::Passed));
        let tally = Tally::new(1.0, marked);
        self.places[side].errors[place].add(tally);
        for s in &mut self.streams {
            let about = s.group.is_none_or(|g| g == o.group);
            let counts = match s.vote {
                Vote::Back => s.what == "errors" && o.end != End::ErredAgain,
                // Bad on all its nodes, it is bad without the worst, if that was picked before.
                Vote::On if side == TRIAL && self.left_out[0] == Some(place) => false,
                Vote::On => {
                    let late = s.what == "later errors"
                        && (side == EARLIER || o.age >= self.terms.shows_after);
                    s.what == "errors" || late
                }
            };
            if about && counts {
                s.add(side, place, tally);
            }
        }
    }

    /// The time of an earlier node's answer sent at `sent`, for the pauses: a logarithm as in [`Outcome`], and
    /// the same at equal load.
    pub fn earlier_time(&mut self, sent: f64, log_time: f64, at_load: f64) {
        self.pauses.time(sent - self.stage_began, log_time, at_load);
    }

    /// A forward goes to the trial.
    pub fn trial_sent(&mut self, now: f64) {
        self.pauses.sent(now - self.stage_began);
    }

    /// Whether the pauses of this stage make it likely that the trial's traffic has no part in a slowdown of all. It
    /// takes the sting out of how long that lasts; it lets nothing on, since another slowdown on top of the build's
    /// own can hide that (18 of 100 such builds were let on when it did).
    fn acquits(&self) -> bool {
        self.pauses.acquits >= -self.terms.on_rate(self.voters).ln()
    }

    /// A client has found an answer of this node wrong.
    pub fn complained(&mut self, now: f64, side: usize, node: usize) {
        self.advance(now);
        let side = side.min(TRIAL);
        let place = self.places[side].of(node);
        self.answered(side, place, Tally::new(0.0, 1.0));
    }

    /// Answers of a place and complaints of them, as they come.
    fn answered(&mut self, side: usize, place: usize, tally: Tally) {
        let answered = &mut self.answered[side];
        if place >= answered.len() {
            answered.resize(place + 1, Tally::default());
        }
        answered[place].add(tally);
    }

    /// What comes from here on is not to be compared with what came before: the block ends here.
    pub fn cut(&mut self, now: f64) {
        self.advance(now);
        if self.block_ends.is_finite() {
            self.close();
        }
    }

    /// Whether the trial's traffic should rest just now, to see if a slowdown of all nodes goes with it. To be
    /// called at each review; `slowed`: whether all are, or have just been, slower than before the trial.
    pub fn rest(&mut self, now: f64, slowed: bool) -> bool {
        self.advance(now);
        self.slow_since = if slowed {
            self.slow_since.or(Some(self.now))
        } else {
            None
        };
        self.pauses.step(self.now - self.stage_began, slowed)
    }

    /// How long all have been slower, 1 being longer than any trouble of all lasts, with half as much again for what
    /// piled up to be worked off. A slowdown that the pauses have shown to be another's counts for nothing.
    fn stays(&self) -> f64 {
        let most = AFTERMATH * self.terms.shared_lasts;
        self.slow_since
            .filter(|_| most > 0.0 && !self.acquits())
            .map_or(0.0, |since| (self.now - since) / most)
    }

    /// What it comes to now.
    pub fn look(&mut self, now: f64) -> Look {
        self.advance(now);
        let mut back = (self.pauses.log() / self.pauses_needed()).max(self.stays());
        let mut on = f64::INFINITY;
        if let Some(past) = &self.past {
            back = back.max(past.log() / self.past_needed());
        }
        for s in &self.streams {
            let part = s.log(&self.terms).0 / s.needed();
            match s.vote {
                Vote::Back => back = back.max(part),
                Vote::On if self.too_rare(s) => {}
                Vote::On => on = on.min(part),
            }
        }
        let opinion = match () {
            _ if back >= 1.0 => Opinion::Back,
            _ if on >= 1.0 && self.past.is_none() => Opinion::On,
            _ => Opinion::NotYet,
        };
        // What nothing speaks for yet is no figure: JSON knows no infinity.
        let on = if on.is_finite() { on } else { 0.0 };
        let remaining = self
            .trail
            .first()
            .map_or(f64::INFINITY, |(then, old_back, old_on)| {
                let spent = self.now - then;
                let until = |now: f64, old: f64| match now - old {
                    _ if now >= 1.0 => 0.0,
                    grown if grown > 0.0 && spent > 0.0 => (1.0 - now) / grown * spent,
                    _ => f64::INFINITY,
                };
                until(back, *old_back).min(until(on, *old_on))
            });
        Look {
            opinion,
            back,
            on,
            remaining: Some(remaining).filter(|r| *r < LONGEST),
        }
    }

    /// Whether a stage has lasted so long without enough evidence that the fallback holds, and says on.
    pub fn falls_back(&self) -> bool {
        self.terms.fallback_on && self.now - self.stage_began >= self.terms.patience
    }

    /// All comparisons, for those who ask why.
    pub fn account(&self) -> Vec<Entry> {
        let pair = |t: Tally| (t.n, t.marked);
        let mut entries: Vec<Entry> = self
            .streams
            .iter()
            .map(|s| {
                let (log, place) = s.log(&self.terms);
                let side = if s.vote == Vote::Back { TRIAL } else { EARLIER };
                let without = place.and_then(|p| self.places[side].node(p));
                let [earlier, trial] = s.jury.seen.map(pair);
                let needed = if self.too_rare(s) { 0.0 } else { s.needed() };
                Entry {
                    vote: s.vote,
                    what: s.what.into(),
                    group: s.group,
                    log,
                    needed,
                    earlier,
                    trial,
                    without,
                }
            })
            .collect();
        let more = |what: &str, log, needed, earlier, trial| Entry {
            vote: Vote::Back,
            what: what.into(),
            group: None,
            log,
            needed,
            earlier,
            trial,
            without: None,
        };
        let (pairs, faster) = self.pauses.pairs;
        let pairs = (f64::from(pairs), f64::from(faster));
        entries.push(more(
            "pauses",
            self.pauses.log(),
            self.pauses_needed(),
            pairs,
            (0.0, 0.0),
        ));
        if self.slow_since.is_some() {
            // Not a logarithm: how long it has lasted, and how long none does.
            let since = self.stays() * AFTERMATH * self.terms.shared_lasts;
            entries.push(more(
                "slow for, s",
                since,
                AFTERMATH * self.terms.shared_lasts,
                (0.0, 0.0),
                (0.0, 0.0),
            ));
        }
        if let Some(p) = &self.past {
            entries.push(more(
                "past",
                p.log(),
                self.past_needed(),
                (0.0, 0.0),
                pair(p.seen),
            ));
        }
        entries
    }

    fn pauses_needed(&self) -> f64 {
        -(self.terms.back_rate(self.voters) * terms::PAUSES).ln()
    }

    fn past_needed(&self) -> f64 {
        -(self.terms.back_rate(self.voters) * terms::PAST).ln()
    }

    /// A path group with less than one outcome in a hundred is not waited for: it is named as not judged.
    fn too_rare(&self, s: &Stream) -> bool {
        let brought = |s: &Stream| s.jury.seen[EARLIER].n + s.jury.seen[TRIAL].n;
        let of_all =
            |other: &&Stream| other.vote == s.vote && other.what == s.what && other.group.is_none();
        let all = self.streams.iter().find(of_all).map_or(0.0, brought);
        s.group.is_some() && all >= 100.0 && brought(s) < 0.01 * all
    }

    /// Time goes on, never back; blocks that have ended are closed.
    fn advance(&mut self, now: f64) {
        if !now.is_finite() || now <= self.now {
            return;
        }
        if self.stage_began == f64::NEG_INFINITY {
            (self.stage_began, self.block_ends) = (now, now + BLOCK);
        }
        self.now = now;
        if now >= self.block_ends {
            self.close();
        }
    }

    /// Complaints come after their answers. For a vote on they are held against the answers of a while ago, for
    /// one back against the more of now and then.
    fn close_complaints(&mut self) {
        let now = std::mem::take(&mut self.answered);
        self.earlier_answers.push_back(now.clone());
        let blocks = (self.terms.complaints_late / BLOCK).min(LATEST) as usize;
        let then = if self.earlier_answers.len() > blocks {
            self.earlier_answers.pop_front()
        } else {
            None
        };
        let then = then.unwrap_or_default();
        for side in [EARLIER, TRIAL] {
            for place in 0..now[side].len().max(then[side].len()) {
                let at =
                    |list: &[Vec<Tally>; 2]| list[side].get(place).copied().unwrap_or_default();
                let (now, then) = (at(&now), at(&then));
                for s in self.streams.iter_mut().filter(|s| s.what == "complaints") {
                    let n = if s.vote == Vote::Back {
                        now.n.max(then.n)
                    } else {
                        then.n
                    };
                    s.add(side, place, Tally::new(n, now.marked.min(n)));
                }
            }
        }
    }

    fn close(&mut self) {
        self.close_times();
        self.close_complaints();
        self.streams.iter_mut().for_each(Stream::close);
        if let Some(past) = &mut self.past {
            past.take(self.now, std::mem::take(&mut self.past_block));
        }
        let trial = &self.places[TRIAL];
        self.left_out = [Places::worst(&trial.errors), Places::worst(&trial.slow)];
        (self.block, self.block_ends) = (self.block.wrapping_add(1).max(1), self.now + BLOCK);
        let look = self.look(self.now);
        if self.trail.len() >= TRAIL {
            self.trail.remove(0);
        }
        self.trail.push((self.now, look.back, look.on));
    }

    /// Times that follow one another at a node hang together: a node speaks once in a block, by its mean.
    fn close_times(&mut self) {
        let mark = self.mark;
        let (mut met, mut sum) = (0.0, 0.0);
        let (good, bad) = (self.terms.good_slower.ln(), self.terms.bad_slower.ln());
        for side in [EARLIER, TRIAL] {
            for place in 0..self.places[side].times.len() {
                let (n, total, late) = std::mem::take(&mut self.places[side].times[place]);
                if n <= 0.0 {
                    continue;
                }
                let mean = total / n;
                if side == EARLIER {
                    (met, sum) = (met + 1.0, sum + mean);
                }
                let Some(mark) = mark else { continue };
                let above = |margin: f64| {
                    let margin = if side == TRIAL { margin } else { 0.0 };
                    Tally::new(1.0, f64::from(u8::from(mean - margin > mark)))
                };
                self.places[side].slow[place].add(above(good));
                let left_out = side == TRIAL && self.left_out[1] == Some(place);
                for s in &mut self.streams {
                    match (s.vote, s.what) {
                        (Vote::Back, "work") => s.add(side, place, above(good)),
                        (Vote::On, "work") if !left_out => s.add(side, place, above(bad)),
                        (Vote::On, "later work") if !left_out && (late || side == EARLIER) => {
                            s.add(side, place, above(bad));
                        }
                        _ => {}
                    }
                }
            }
        }
        if met > 0.0 {
            let mean = sum / met;
            // Follows within a second or two; it has to be known before the block that it is used for.
            self.mark = Some(self.mark.map_or(mean, |m| m + 0.3 * (mean - m)));
        }
    }
}
