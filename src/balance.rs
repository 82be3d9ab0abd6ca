//! Every decision of magpieline. A front makes one [`Balancer`] for each agent, tells it the list and the
//! news, and calls [`Balancer::review`] when that says so. [`Balancer::take`] turns a hit into a handle; what
//! happens to it later is a call on that, which returns what to do [`Next`]. Plain data: `src/state.rs`.
//! Where agents may talk, [`Balancer::tidings`] and [`Balancer::told`] pool outcomes at a few judges.
//!
//! The ordinary path is the paper's EUCBV on two arms, the earlier and the trial build ([`Duel`]): the larger
//! index takes a first forward while the cap allows, eliminations vote. Six mechanisms stand beside it:
//! 1. health: silent, failing and slow nodes are left out or taken less (`fit`, `load`)
//! 2. cold ramp: a node that has just started gets a growing share (`ramp`)
//! 3. further forwards: time-outs and a retry budget (`limit`, `again`)
//! 4. early bounces under overload, by benefit and time left (`too_busy`)
//! 5. the present against the seconds before the trial, with pauses that tell the cause (`compare`)
//! 6. evidence beyond the payoffs: faults, times, complaints (`Evidence`, `slower`); where rates are stated
//!    the package `verdict` holds it instead, with 5's pauses on its coin (`witness`, `wish`)

use crate::interface::*;
use crate::state::*;
use magpieline_verdict::{Case, End, Opinion};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use crate::state::Balancer;

/// The design's rule.
impl Duel {
    pub(crate) fn new(groups: usize, rate: f64) -> Duel {
        let arms = [vec![Count::default(); groups], vec![Count::default(); groups]];
        Duel { arms, horizon: (rate * 5.0).max(200.0), ..Duel::default() } // the design's horizon
    }
    /// log(psi T eps^power), with psi = T / K^2 and K = 2.
    fn log(&self, power: i32) -> f64 {
        (self.horizon * self.horizon / 4.0 * 0.5f64.powi(self.round * power)).ln().max(0.0)
    }
    /// n of the round.
    pub(crate) fn pulls(&self) -> f64 {
        (self.log(2) / (2.0 * 0.5f64.powi(self.round))).ceil()
    }
    pub(crate) fn radius(&self, variance: f64, pulls: f64) -> f64 {
        (0.5 * (variance + 2.0) * self.log(1) / (4.0 * pulls)).sqrt() // rho is the paper's, Theorem 1
    }
    pub(crate) fn index(&self, arm: usize) -> f64 {
        let (z, mean, variance) = self.moments(arm);
        mean + self.radius(variance, z) // without pulls infinite: each arm is pulled once
    }
    pub(crate) fn favours_trial(&self) -> bool {
        self.dropped.map_or_else(|| self.index(TRIAL) >= self.index(EARLIER), |arm| arm == EARLIER)
    }
    /// Whether the trial's index lies below the earlier mean: it is starved before the width can drop it.
    pub(crate) fn sunk(&self) -> bool {
        let first = Duel { round: 0, horizon: self.horizon, ..Duel::default() }.pulls();
        self.moments(TRIAL).0 >= first && self.index(TRIAL) < self.moments(EARLIER).1
    }
    pub(crate) fn shuns_trial(&self) -> bool {
        self.index(TRIAL) < self.index(EARLIER) - 0.05 // arms in turn stay within a few hundredths
    }
    /// Drops an arm, ends a round. An arm with fewer pulls than the round's n has the width of its own.
    pub(crate) fn judge(&mut self) {
        let ((z0, r0, v0), (z1, r1, v1)) = (self.moments(EARLIER), self.moments(TRIAL));
        if self.dropped.is_some() || z0 == 0.0 || z1 == 0.0 {
            return;
        }
        let n = self.pulls();
        let (c0, c1) = (self.radius(v0, n.min(z0)), self.radius(v1, n.min(z1)));
        // Ten are the design's stage outcomes before the trial may drop.
        if r1 + c1 < r0 - c0 && self.outcomes >= 10.0 {
            self.dropped = Some(TRIAL);
        } else if r0 + c0 < r1 - c1 {
            self.dropped = Some(EARLIER);
        }
        let last = (0.5 * (self.horizon / std::f64::consts::E).log2()).floor() as i32;
        self.round += i32::from(self.round < last && z0 >= n && z1 >= n);
        // A horizon that has run out starts the next: a trial crowded once must not be starved for ever.
        if z0 + z1 >= self.horizon && self.dropped.is_none() {
            (self.arms, self.round) = (self.arms.each_ref().map(|a| vec![Count::default(); a.len()]), 0);
        }
    }
}

/// What speaks against a build beyond its payoffs. Covers builds that fail outright, in one path group, late
/// or when busy, and wrong answers. May hurt where something fails only for nodes that happen to be new.
impl Evidence {
    /// The strongest of all, 1 being enough to send the build back; of its errors the part `own` is its own.
    pub(crate) fn weight(&self, enough: f64, own: f64) -> f64 {
        let scores = self.faults.iter().fold(self.complaints, |a, b| a.max(own * *b));
        // A slowdown may go by chance in one pause, hardly in two in a row.
        (scores / enough).max(self.slower).max(self.stays).max(if self.abated >= 2 { 1.0 } else { 0.0 })
    }
}

impl Doubt {
    pub(crate) fn raised(&self) -> bool {
        self.paused_at.is_some() || self.slow_for >= 5 // half a second of it is no burst's edge
    }
}

/// What an agent needs against a build if it is alone: a log likelihood ratio.
const ENOUGH: f64 = 6.0;
/// Rates are means over a span, reviews come every tick: a few times faster than stages and bursts.
const SPAN: f64 = 1.0;
const TICK: f64 = 0.1;
/// Where agents may talk so many judge for all, since one may be away, or as many as have to vote.
pub(crate) const JUDGES: f64 = 3.0;
/// Judges speak once a second, agents tell them twice as often: a stage lasts a few.
const WORD: f64 = 1.0;
/// A released build is compared with the seconds before its trial for twice the time that condemns it.
const WATCH: f64 = 30.0;
/// Complaints per answer: usual until more is known, and the least wrong share that is held to be bad.
const WRONG: (f64, f64) = (0.003, 0.03);

impl Balancer {
    /// Starts with nothing but the settings; an error says what is expected of them. `zone` is its own.
    pub fn start(seed: u64, now: f64, zone: Option<usize>, named: Named) -> Result<Balancer, String> {
        let mut b = Balancer { now, started: now, zone, retries: 3.0, ..Balancer::default() };
        b.chance = Chance(ChaCha8Rng::seed_from_u64(seed));
        b.settle(now, named)?;
        (b.duel, b.long_faults) = (Duel::new(b.groups.len(), 0.0), Count { z: 2.0, sum: 0.2, squares: 0.2 });
        b.wrong = Count { z: 1000.0, sum: 1000.0 * WRONG.0, squares: 0.0 };
        b.terms = crate::names::stated(&b.named)?;
        (b.evidence, b.idle) = (Evidence::new(b.groups.len()), b.set("limits.conn_idle_s", 10.0));
        b.pool.start = (now * 10.0) as u64 as u32;
        b.following.on = b.pushed();
        Ok(b)
    }

    /// When to try again: a time doubled with each failure, up to the longest, spread over agents.
    fn later(&mut self, first: f64, failures: i32, longest: f64) -> f64 {
        self.now + (first * 2f64.powi(failures.min(9))).min(longest) * self.chance.0.gen_range(0.5..1.5)
    }

    /// A call to the list failed or its pushes ended. Pushed ones lie at the own machine, as told: asked for soon,
    /// against the grace for drains. Else all ask one discovery, at intervals that grow with failures and agents.
    pub fn list_failed(&mut self, now: f64) {
        self.at(now);
        let soon = 0.1 * self.set("obligations.drain_grace_s", 2.0);
        let shared = (0.02 * self.set("peers_total", 1.0)).clamp(0.25, 2.0);
        let (first, longest) = if self.pushed() { (soon, soon) } else { (shared, 8.0) };
        self.following.ask_at = self.later(first, self.following.failures, longest);
        (self.following.on, self.following.failures) = (false, self.following.failures + 1);
    }

    /// The platform's news. What was last told binds, in whatever order it comes.
    pub fn heard(&mut self, now: f64, news: News) {
        self.at(now);
        let old = self.news.replace(news);
        if old.is_none_or(|o| (o.build, o.stage, o.phase) != (news.build, news.stage, news.phase)) {
            self.stage_began = self.now - news.since.max(0.0);
            self.duel = Duel::new(self.groups.len(), (self.lately.taken + self.pool.answers) / SPAN);
            (self.pool.totals, self.pool.changed) = Default::default();
            self.cast.again_at = self.now;
        }
        // A pause lasts as long as the slowest group's answers may take.
        let pause = self.groups.iter().map(|g| g.target).fold(0.0, f64::max).clamp(0.5, 2.0);
        self.open_case(old, news, pause);
        if old.is_none_or(|o| o.build != news.build) {
            (self.evidence, self.tallies) = (Evidence::new(self.groups.len()), Tallies::default());
            self.nodes.iter_mut().for_each(|n| n.times = Count::default());
            (self.doubt, self.informed) = (Doubt::default(), old.is_some());
            // After a restart it may be used up; all agents' free forwards at once would crowd cold nodes.
            let free = self.set("family_info.spare_tries", 0.0).min(1.0);
            self.tokens = if old.is_some() { free * self.chance.0.gen_range(0.0..1.0) } else { 0.0 };
        }
        self.remember(news);
    }

    pub(crate) fn standing(&self, build: u32) -> Standing {
        let Some(news) = self.news else {
            let lowest = self.open().map(|l| l.build).min();
            return if lowest == Some(build) { Standing::Open } else { Standing::Barred };
        };
        match news.phase {
            _ if build < news.build && !self.void.contains(&build) => Standing::Open,
            _ if build != news.build => Standing::Barred, // not yet announced, or sent back
            Phase::Trial | Phase::GoingBack if news.cap > 0.0 => Standing::OnTrial,
            Phase::Released => Standing::Open,
            _ => Standing::Barred,
        }
    }

    /// The platform's sampled counts, where they hold more than this agent meets: they tell what many agents with two
    /// errors each can't. Covers sick nodes and lost zones. May hurt when a bad build is tried only while others err.
    pub fn tallied(&mut self, now: f64, tally: Tally) {
        self.at(now);
        let fuller = self.set("family_info.sample", 0.0) * self.set("peers_total", 1.0) > 1.0;
        let Some(news) = self.news.filter(|_| fuller && self.pool.judges.is_empty()) else { return };
        if tally.build <= news.build && !self.void.contains(&tally.build) {
            self.tallies.add(now, 0.3, usize::from(tally.build == news.build), &tally);
        }
    }

    /// A client has found an answer wrong that `node` gave.
    pub fn complained(&mut self, now: f64, node: usize) {
        self.at(now);
        let build = self.nodes.get(node).and_then(|n| n.listed).map(|l| l.build);
        let trial = build.is_some() && build == self.news.map(|n| n.build);
        build.into_iter().for_each(|b| self.wrong(b, 1.0));
        if build.is_some() && !self.pool.judges.is_empty() {
            self.pool.count(node * self.groups.len()).complaints += 1;
        }
        let told = self.case.iter_mut().filter(|_| build.is_some());
        told.for_each(|c| c.complained(now, usize::from(trial), node));
    }

    /// An answer was found wrong, or just given. Usual is what the earlier builds' answers get.
    pub(crate) fn wrong(&mut self, build: u32, found: f64) {
        if self.news.is_some_and(|n| n.build == build) {
            let usual = self.wrong.mean();
            let bad = usual + WRONG.1 * self.set("family_info.complaint_share", 1.0);
            Evidence::lean(&mut self.evidence.complaints, found, 1.0 - found, usual, bad);
        } else {
            self.wrong.follow(0.9998, found); // of five thousand answers, as complaints are few
        }
    }

    /// Takes a hit: its handle, and what to do with it.
    pub fn take(&mut self, now: f64, arrival: Arrival) -> (HitHandle, Next) {
        self.at(now);
        let arrival = Arrival { group: arrival.group.min(self.groups.len() - 1), ..arrival };
        let due = self.now + arrival.remaining.max(0.0);
        let handle = self.slab.put(Hit { owed: true, arrival, taken: self.now, due, ..Hit::default() });
        self.lately.taken += 1.0;
        // One further forward for each ten hits, ten saved up: enough for a dead node, too few to feed a jam.
        self.retries = (self.retries + 0.1).min(10.0);
        self.lately.accounts.get_mut(arrival.account).into_iter().for_each(|a| a.0 += 1.0);
        // A bucket no deeper than the free count keeps the cap in every window. It fills no faster than the
        // trial's part of the power, as arms at unequal load can't be compared; two saved up crowd no node.
        let cap = self.news.map_or(0.0, |n| n.cap.clamp(0.0, 1.0));
        let share = if cap < 1.0 { self.share.0 } else { self.share.1 };
        let most = self.set("family_info.spare_tries", 0.0).min(2.0);
        self.tokens = (self.tokens + 0.999 * cap.min(share)).min(most);
        self.note(arrival.key);
        let held =
            arrival.key.and_then(|k| self.holding(k)).is_some_and(|b| Some(b) == self.news.map(|n| n.build));
        self.held_share += 0.02 * (f64::from(u8::from(held)) - self.held_share); // the last fifty hits
        (handle, self.route(handle.place as usize))
    }

    /// Answers at once: a bounce where nothing can run twice, else an error page.
    pub(crate) fn finish(&mut self, place: usize) -> Next {
        let hit = &self.slab.hits[place];
        let harmless = hit.risk.is_none() || self.groups[hit.arrival.group].repeat == Repeat::Repeatable;
        self.slab.end(place);
        // Come back when what is in hand now has been worked off.
        let again_after = self.pressure().clamp(0.05, 1.0).min(self.longest_back());
        [Next::GiveUp, Next::Bounce { again_after }][usize::from(harmless)]
    }

    /// What one answer counts among lately's: the last half second or ten answers.
    fn weight(&self) -> f64 {
        1.0 / (0.5 * self.lately.done / SPAN).clamp(10.0, 200.0)
    }

    /// Mechanism 4. Bounces early when the node would take longer than a part of the target latency, the more
    /// the benefit. Holds against bursts, lost nodes and shared slowdowns. May hurt after heavy hits.
    fn too_busy(&mut self, place: usize, node: usize) -> bool {
        let hit = &self.slab.hits[place];
        let group = &self.groups[hit.arrival.group];
        let known = hit.forwards == 0 && self.now - self.started >= SPAN;
        let most = self.groups.iter().map(|g| g.benefit).fold(f64::MIN_POSITIVE, f64::max);
        // The best keep twice the room of the least and more; where few misses are allowed all bounce sooner.
        let strict = (self.set("scoring_mix.miss_allowed", 0.05) / 0.05).sqrt().min(1.0);
        let mut part = (0.45 + 0.55 * group.benefit / most) * strict;
        let over = self.lately.over(hit.arrival.account, self.set("peers_total", 1.0) / SPAN) > 3.0;
        part *= if over { self.set("over_share_worth", 1.0).max(0.4) } else { 1.0 }; // beyond chance
        let expected = self.load(node) * self.lately.spent / self.lately.loads;
        let busy = known && expected > (part * group.pace).min(2.0 * (hit.due - self.now));
        if known && self.ailing(hit) {
            let probe = self.now >= self.probe_at;
            self.probe_at = if probe { self.later(3.0, 0, 3.0) } else { self.probe_at };
            return !probe;
        }
        // A bounce teaches nothing: the expectation falls, or a bad moment would last for ever.
        self.lately.spent *= if busy { 1.0 - 0.1 * self.weight() } else { 1.0 };
        busy
    }

    /// Mechanism 4. Hits of an account or path group late at every node, while another is not, are bounced
    /// but for one in three seconds, and say nothing of nodes or builds. Hurts where late answers bring much.
    fn ailing(&self, hit: &Hit) -> bool {
        let account = self.groups.len().saturating_add(hit.arrival.account);
        [hit.arrival.group, account].iter().any(|i| self.lately.tardy.get(*i).is_some_and(|t| t.1))
    }

    fn tardy(&mut self, hit: &Hit, end: &Return) {
        let group = hit.arrival.group;
        let late = match end.ending {
            Ending::Delivered => end.spent > self.groups[group].target,
            Ending::NoAnswer => true,
            _ => return,
        };
        let (groups, accounts) = self.lately.tardy.split_at_mut(self.groups.len());
        for (kind, i) in [(groups, group), (accounts, hit.arrival.account)] {
            let other = (0..kind.len()).filter(|j| *j != i).map(|j| kind[j].0).fold(1.0, f64::min);
            let Some((part, ails)) = kind.get_mut(i) else { continue };
            // Above 0.6 some four in five are late, below 0.3 half. It ails until one comes in time again.
            *part += if late { 0.2 * (1.0 - *part) } else { -0.5 * *part };
            *ails = *part > 0.6 && (*ails || other < 0.3);
        }
    }

    /// Hits in hand for its power: what two choices are compared by.
    fn load(&self, node: usize) -> f64 {
        let n = &self.nodes[node];
        (f64::from(n.flying) + n.others) / self.power(node) + 1.0
    }

    /// Mechanism 2. Whether a cold node's allowance lets it take a hit. It fills with this agent's rate by
    /// size and warmth: all agents together send it its part. Covers crashes, restarts, new stages.
    fn ramp(&mut self, node: usize, total: f64) -> bool {
        let Some(line) = self.nodes[node].listed else { return false };
        let warmth = self.warmth(&line);
        let sent = self.lately.done.max(0.25 * self.lately.taken) / SPAN;
        let part = 0.6 * self.set("obligations.fall_multiple", 2.5); // random draws leave some of it unused
        let rate = part * warmth * sent * line.rating.max(0.1) / total;
        let n = &mut self.nodes[node];
        n.ramp = (n.ramp + rate * (self.now - n.ramp_at)).min(1.0 + 0.2 * rate); // saves a fifth of a second
        n.ramp_at = self.now;
        warmth >= 1.0 || n.ramp >= 1.0
    }

    /// Mechanism 1. Whether a node is fit for a hit. Covers silence, stalls, death, full tables, nodes bad
    /// for this agent alone. One out of favour is tried by one repeatable hit at a time. May hurt when all
    /// stall together; `choose` then takes unfit ones for what may run again.
    fn fit(&self, node: usize, repeat: Repeat) -> bool {
        let n = &self.nodes[node];
        // Three mean times without any answer while some are owed; a stall below 0.1 s is no matter.
        let silent = n.flying > 0 && self.now - n.owes_since > (3.0 * self.pressure()).clamp(0.1, 2.0);
        let tried = n.strikes == 0 || (n.flying == 0 && repeat == Repeat::Repeatable);
        self.now >= n.shunned_until && !silent && tried
    }

    /// Two random choices, by fewer in flight, among the nodes of a standing that the hit may go to: fit ones
    /// of the newest build first, then of any, then unfit ones (never for mutating).
    fn choose(&mut self, place: usize, standing: Standing, least_build: u32) -> Option<usize> {
        let hit = self.slab.hits[place];
        let PathGroup { repeat, scope, .. } = self.groups[hit.arrival.group];
        let (mut sides, mut newest) = ([0.0; 2], 0);
        for l in self.open() {
            let own = self.standing(l.build);
            sides[usize::from(self.news.is_some_and(|n| n.build == l.build))] +=
                if own == Standing::Barred { 0.0 } else { l.rating.max(0.1) };
            newest = if own == standing { l.build.max(newest) } else { newest };
        }
        // One build's machines are meant to carry all traffic: the larger side is the fleet.
        let total = sides[EARLIER].max(sides[TRIAL]);
        // The trial's bucket fills by the power of its cold nodes. An agent that meets a node less than once
        // while it is cold goes by that alone: a ramp beside it would dam hits up until it ends.
        let met = self.lately.taken / SPAN * self.set("obligations.cold_s", 0.0);
        let paid = standing == Standing::OnTrial && met < self.open().count() as f64;
        let (mut fit, mut pick) = (std::mem::take(&mut self.fit), None);
        for (any_build, unfit) in [(false, false), (true, false), (true, true)] {
            fit.clear();
            for i in 0..self.nodes.len() {
                let Some(line) = self.nodes[i].listed.filter(|l| l.open) else { continue };
                let same = hit.may_go(repeat, scope, &line);
                let able = if unfit { repeat != Repeat::Mutating } else { self.fit(i, repeat) };
                let wanted = self.standing(line.build) == standing && line.build >= least_build;
                if same
                    && wanted
                    && (any_build || line.build == newest)
                    && able
                    && (paid || self.ramp(i, total))
                {
                    fit.push(i);
                }
            }
            pick = self.two(&fit);
            let Some(any) = pick else { continue };
            // Where others fail more, one that answered lately unless it is twice as loaded.
            if self.lost[0] > 0.05 && self.lost[0] > 2.0 * self.lost[1] {
                fit.retain(|i| self.now < self.nodes[*i].open_until);
                pick = self.two(&fit).filter(|i| self.load(*i) <= 2.0 * self.load(any)).or(pick);
            }
            break;
        }
        self.fit = fit;
        pick
    }

    /// Draws are by power, since where an agent sees little of nodes' loads both are often even.
    fn two(&mut self, fit: &[usize]) -> Option<usize> {
        if fit.is_empty() {
            return None;
        }
        // Where crossing zones has a price a far node must be half as loaded. But where the own zone has less
        // than its part of the power, and for one hit in five, all are alike, or its nodes get too crowded.
        // Less so, too, the longer near ones take. Each agent goes by its own times: all of them by the same
        // ones would leave and come back together.
        let [near, far] = self.lately.sides;
        let price = self.set("costs.cross_zone", 0.0) * (far.mean() / near.mean().max(1e-6)).clamp(0.0, 1.0);
        let part = (10.0 * price).clamp(0.0, 0.8) * self.near_part(fit).clamp(0.0, 1.0);
        let local = part > 0.0 && self.chance.0.gen_bool(part);
        let [first, second] = self.draw(fit, [false, local]);
        // An erring node answers fast: its empty hands must not draw hits.
        let far = |i: usize| if local && !self.is_near(i) { 1.0 + 12.5 * price } else { 1.0 };
        let load = |i: usize| self.load(i) * far(i) / (1.0 - self.nodes[i].faults).max(0.1);
        Some(if load(second) < load(first) { second } else { first })
    }

    /// Chooses the arm by the design's index and the node by two choices.
    pub(crate) fn route(&mut self, place: usize) -> Next {
        let hit = self.slab.hits[place];
        let PathGroup { repeat, target, .. } = self.groups[hit.arrival.group];
        let spent =
            f64::from(hit.forwards) >= self.set("limits.max_attempts", 3.0).max(1.0).min(hit.bounds().0);
        if spent || hit.due - self.now < 0.001 {
            return self.finish(place); // within a millisecond nothing reaches a node and returns
        }
        let held = hit.arrival.key.and_then(|k| self.holding(k));
        let trial = self.news.filter(|n| matches!(n.phase, Phase::Trial | Phase::GoingBack));
        let first_open = self.set("family_info.closed_stages", 0.0);
        let allowed = trial.is_some_and(|n| repeat == Repeat::Repeatable || n.stage as f64 >= first_open);
        let open = allowed && self.tokens >= 1.0;
        if held.is_some() && held == trial.map(|n| n.build) {
            // One way: the key may go nowhere else. It waits a little for its turn, while in time.
            if let Some(node) = open.then(|| self.choose(place, Standing::OnTrial, 0)).flatten() {
                return self.send(place, node, true);
            }
            let wait = allowed && hit.risk.is_none() && self.now < hit.taken + 0.5 * target;
            return if wait { Next::Wait { pause: 0.01 } } else { self.finish(place) };
        }
        let earlier = self.choose(place, Standing::Open, held.unwrap_or(0));
        let first = hit.forwards == 0 && self.doubt.paused_at.is_none() && self.trial().is_some();
        // A stage without a cap is played as the release will be, while the earlier machines still stand.
        let whole = trial.is_some_and(|n| n.cap >= 1.0) && !self.duel.shuns_trial();
        if open && first && self.welcome(&hit) && (whole || self.duel.favours_trial()) {
            // Arms are compared at like load: a trial node busier than the alternative is no fair pull.
            let node = self.choose(place, Standing::OnTrial, 0);
            let most = if trial.is_some_and(|n| n.cap < 1.0) { 1.25 } else { 3.0 };
            if let Some(n) = node.filter(|n| earlier.is_none_or(|e| self.load(*n) <= most * self.load(e))) {
                return self.send(place, n, true);
            }
        }
        // Where the earlier build has no machine (left, or yet again), the trial takes what the cap allows.
        let last = if open && earlier.is_none() { self.choose(place, Standing::OnTrial, 0) } else { None };
        let Some(node) = earlier.or(last) else { return self.finish(place) };
        self.send(place, node, last.is_some())
    }

    /// Under one way a key that goes to the trial stays: rare keys go first, few enough for the cap.
    fn welcome(&self, hit: &Hit) -> bool {
        let cap = self.news.map_or(0.0, |n| n.cap);
        let bound = cap < 1.0 && flag(&self.named, "family_info.one_way");
        let Some(key) = hit.arrival.key.filter(|_| bound) else { return true };
        let usual = (self.keyed_hits / self.keys.len().max(1) as f64).max(1.0);
        f64::from(self.keys[key].hits) <= usual && self.held_share < 0.7 * cap && self.tokens >= 1.5
    }

    fn send(&mut self, place: usize, node: usize, trial: bool) -> Next {
        // A bounce is paid for like a forward, or the trial would get its share of what is bounced, too.
        self.tokens -= f64::from(u8::from(trial));
        let line = self.nodes[node].listed.filter(|_| !self.too_busy(place, node));
        let Some(line) = line else { return self.finish(place) };
        let (step, load, sent) = (self.step(node), self.load(node), self.now);
        // For the comparisons it is cold a span longer: what piled up has to go first.
        let cold = line.up_since > 0.0 && sent < line.up_since + self.set("obligations.cold_s", 0.0) + SPAN;
        self.case.iter_mut().filter(|_| trial).for_each(|c| c.trial_sent(sent));
        let first = self.slab.hits[place].forwards == 0;
        self.launch(place, Flying { node, build: line.build, sent, step, load, cold, first });
        Next::Forward { node, limit: self.limit(place) }
    }

    /// Mechanism 3, the time-out: while a further forward is allowed and paid for, half of the time left to
    /// the target, but no less than a heavy hit takes (it would be as heavy again); else the client's own.
    fn limit(&self, place: usize) -> f64 {
        let hit = &self.slab.hits[place];
        let group = &self.groups[hit.arrival.group];
        let (most, longest) = hit.bounds();
        let (left, on_time) = ((hit.due - self.now).min(longest), hit.taken + group.target - self.now);
        let more =
            f64::from(hit.forwards) < self.set("limits.max_attempts", 3.0).min(most) && self.retries >= 1.0;
        let half = (0.5 * on_time).max(5.0 * hit.work() * group.calm.mean().exp()).max(2.0 * self.pressure());
        let whole = group.repeat == Repeat::Mutating || !more || group.calm.z < 20.0 || half > 0.8 * on_time;
        half.min(left).max(if whole { left } else { 0.0 })
    }

    /// Mechanism 3. Whether a hit whose forward failed gets another: where nothing runs twice, in time and
    /// within the budget, of which quick failures cost half. Covers dead, silent and failing nodes; no jam.
    pub(crate) fn again(&mut self, place: usize, ending: Ending) -> bool {
        let hit = &self.slab.hits[place];
        let group = &self.groups[hit.arrival.group];
        let allowed = match (group.repeat, hit.risk) {
            (Repeat::Repeatable, _) | (_, None) => true,
            (Repeat::Tagged, Some((sent, ..))) => self.now < sent + group.window - 0.05, // the way there
            (Repeat::Mutating, Some(_)) => false,
        };
        let end = if group.late_share > 0.0 { hit.due } else { hit.due.min(hit.taken + group.target) };
        // A light hit needs a fifth of the mean time. Where most err again one in five is enough to see it.
        let part = if hit.erred.is_some() && self.echo > 0.5 { 0.2 } else { 1.0 };
        let useful = end - self.now > 0.2 * self.pressure();
        let again = allowed && useful && self.retries >= 1.0 && self.chance.0.gen_bool(part);
        let paid = f64::from(u8::from(again && ending != Ending::NoConnection));
        self.retries -= paid * [0.5, 1.0][usize::from(ending == Ending::NoAnswer)];
        again
    }

    /// Learns from a forward's end: the node's health, the arms' payoffs, the evidence.
    pub(crate) fn learn(&mut self, hit: &Hit, flying: &Flying, end: &Return) {
        let (now, group) = (self.now, hit.arrival.group);
        // Cut off by the operators' bound before a silent node would show: it tells nothing.
        if end.ending == Ending::NoAnswer && hit.bounds().1 < (3.0 * self.pressure()).clamp(0.1, 2.0) {
            return;
        }
        let served = end.ending == Ending::Delivered;
        let answered = served || end.ending == Ending::Errored;
        // Reviews come every tick: after a gap this agent itself stood still, what it finds tells nothing.
        let ailing = self.ailing(hit) || self.gap > 3.0 * TICK;
        let timed = (served || end.ending == Ending::NoAnswer) && !ailing;
        self.tardy(hit, end);
        self.lately.done += 1.0;
        if timed {
            let far = usize::from(!self.is_near(flying.node));
            self.lately.sides[far].follow(0.95, end.spent);
            let weight = self.weight();
            // One slow node says little of the others: a time counts as thrice the expected at most.
            let most = 3.0 * flying.load * self.lately.spent / self.lately.loads;
            let spent = if most > 0.0 { end.spent.min(most) } else { end.spent };
            self.lately.spent += weight * (spent - self.lately.spent);
            self.lately.loads += weight * (flying.load - self.lately.loads);
        }
        let slow = if timed { self.time(hit, flying, end) } else { None };
        let heard_as = if served { End::Passed } else { End::Unheard };
        if end.ending != Ending::Errored {
            self.witness(hit, flying, heard_as, slow.filter(|_| !flying.cold));
        }
        let (jitter, quick) = (self.chance.0.gen_range(0.8..1.2), (0.5 * self.pressure()).clamp(0.02, 0.2));
        // Hits that err wherever they are sent are no build's fault. The second forwards of those that erred
        // tell how much of the errors is theirs; half is enough to acquit.
        let (fault, heard) =
            (f64::from(u8::from(!served)), f64::from(u8::from(hit.erred.is_some() && answered)));
        self.echo += 0.3 * heard * (fault - self.echo);
        // Of the last fifty forwards to others and to nodes that had answered lately, where breaks tell how
        // long idle connections last. One break after an answer is no death.
        let n = &mut self.nodes[flying.node];
        let (met, broke) = (flying.sent < n.open_until, end.ending == Ending::Broken);
        let (lost, once) = (broke || end.ending == Ending::NoConnection, broke && n.open_until > 0.0);
        let share = &mut self.lost[usize::from(met)];
        *share += 0.02 * (f64::from(u8::from(lost)) - *share);
        self.idle = self.idle.min(if broke && met { flying.sent - n.met_at } else { self.idle }).max(0.2);
        (n.open_until, n.met_at) = if lost { (0.0, n.met_at) } else { (now + self.idle, now) };
        let silent = end.ending == Ending::NoAnswer && n.owes_since <= flying.sent;
        let own_fault = fault * (1.0 - 2.0 * self.echo).max(0.0);
        let heard = answered || end.ending == Ending::Spoilt;
        if heard {
            (n.owes_since, n.strikes, n.shunned_until) = (now, n.strikes / 2, 0.0);
        } else if end.ending == Ending::TurnedAway {
            n.shunned_until = now + quick; // its queue is full: until about half of it is done
        } else if silent || (lost && !once) {
            // Left out for 0.5 s, doubling to 4 s: long enough to spare hits, short enough to see it return.
            n.shunned_until = now + 0.5 * 2f64.powi(n.strikes.min(3)) * jitter;
            n.strikes = (n.strikes + 1).min(4);
        }
        let outcome = flying.first && (answered || timed) && flying.sent >= self.stage_began;
        // A cold node shows its age, a slowdown of all its own cause: such a pull is an outcome only.
        let fair = !flying.cold && !ailing && own_fault >= 0.5 * fault && self.doubt.slow_for == 0;
        // A hit that errs twice takes back what it said of the build.
        let back = if hit.erred.is_some_and(|b| Some(b) == self.news.map(|n| n.build)) { fault } else { 0.0 };
        let in_time = served && end.spent <= self.groups[group].target;
        let slow = slow.filter(|_| !flying.cold);
        let pull = Some(in_time).filter(|_| outcome && fair && self.trial().is_some());
        let seen = Seen { heard, answered, outcome, pull, fault, own_fault, back, slow };
        self.weigh(flying.node, group, flying.build, &seen);
        self.pool.note(flying.node * self.groups.len() + group, &seen);
    }

    /// Weighs an outcome, this agent's or another's: the node's health, the arms' payoffs, the evidence.
    pub(crate) fn weigh(&mut self, node: usize, group: usize, build: u32, seen: &Seen) {
        let Seen { heard, answered, outcome, pull, fault, own_fault, back, slow } = *seen;
        // A node that errs again and again speaks for itself, unless a third of its build's others err too.
        let power = if fault == 0.0 || self.erring(node, 0.02) > 0.33 { 0 } else { 4 };
        let n = &mut self.nodes[node];
        // An eighth of each answer: ten times slower shows within three, chance hardly does.
        n.slow = (n.slow + 0.125 * (slow.unwrap_or(n.slow) - n.slow)).clamp(-0.7, 2.5);
        let said = (1.0 - n.faults).powi(power);
        n.faults += if heard { 0.25 * (own_fault - n.faults) } else { 0.0 }; // two in a row show
        let Some(news) = self.news.filter(|n| build <= n.build) else { return };
        let arm = if build == news.build { TRIAL } else { EARLIER };
        if outcome && news.phase == Phase::Trial {
            self.duel.outcomes += arm as f64;
            if let Some(in_time) = pull {
                self.duel.arms[arm][group].add(f64::from(u8::from(in_time)));
                self.duel.judge();
                // Where rates are stated a trial does not go by this alone: its horizon starts anew.
                let early = self.case.is_some() && self.look.is_none_or(|l| l.opinion != Opinion::Back);
                if early && self.duel.dropped == Some(TRIAL) {
                    let Duel { outcomes, horizon, .. } = self.duel;
                    self.duel = Duel { outcomes, horizon, ..Duel::new(self.groups.len(), 0.0) };
                }
            }
        }

        if !answered {
            return;
        }
        // Usual is what erred more, the last fifty or five hundred answers; at the start one in ten. One in
        // twenty is bad where others hardly fail.
        let usual = (1.5 * self.usual_faults.max(self.long_faults.mean())).clamp(0.005, 0.2);
        let bad = (4.0 * usual).max(0.05);
        // Sick nodes are met in both builds: to a judge errors speak in so far as more of the trial's err.
        let more = if fault > 0.0 && self.pool.judges() { self.erring_more(news.build) } else { 1.0 };
        let (faults, passes) = if arm == TRIAL { (more * said * own_fault, 1.0 - fault) } else { (0.0, 0.0) };
        for score in [group, self.groups.len()] {
            Evidence::lean(&mut self.evidence.faults[score], faults - back, passes, usual, bad);
        }
        if arm == EARLIER {
            self.usual_faults += 0.02 * (said * fault - self.usual_faults);
            self.long_faults.follow(0.998, said * fault);
        }
        self.wrong(build, 0.0);
    }

    /// The logarithm of a forward's time, at least, over that of calm seconds at equal load.
    fn time(&mut self, hit: &Hit, flying: &Flying, end: &Return) -> Option<f64> {
        // In a stage without a cap the trial's nodes are the present, as after the release.
        let on_trial = self.trial().is_some_and(|n| n.cap < 1.0 && flying.build >= n.build);
        let calm_now = !self.watched(WATCH);
        let learn = end.ending == Ending::Delivered && !flying.cold && !on_trial;
        let past = |calm: &mut Count, ln: f64| {
            if learn && (calm_now || calm.z < 15.0) {
                calm.add(ln);
            }
            Some((ln - calm.mean()).clamp(-2.5, 2.5)).filter(|_| calm.z >= 5.0)
        };
        // By group and, apart from that, by load: cells of both would be empty where hits are few.
        let seen = |s: &f64| *s > 0.0 && s.is_finite();
        let (calm, step) = (&mut self.groups[hit.arrival.group].calm, &mut self.steps[flying.step]);
        let own = Some(end.spent / hit.work()).filter(seen).map(f64::ln).and_then(|ln| {
            past(step, ln - calm.mean());
            past(calm, ln - step.mean())
        });
        let warm = own.filter(|_| !flying.cold);
        warm.into_iter().for_each(|x| self.nodes[flying.node].times.add(x));
        if let Some(x) = warm.filter(|_| !on_trial) {
            self.lately.present.add(x);
            let earlier = self.news.is_some_and(|n| flying.build < n.build);
            let plain = (end.spent / hit.work()).ln() - self.groups[hit.arrival.group].calm.mean();
            self.case.iter_mut().filter(|_| earlier).for_each(|c| c.earlier_time(flying.sent, plain, x));
        }
        own
    }

    /// Whether the judges' word stands for what this agent makes of its own few outcomes: until none of them
    /// has been heard for three of their words.
    fn follows(&self) -> bool {
        let judged = self.pool.judges.is_empty() || self.pool.judges();
        !judged && self.now < self.pool.heard_at.max(self.started) + 3.0 * WORD
    }

    /// What other agents (`None`: all) are to be told: own totals to the judges, their word to all.
    pub fn tidings(&mut self) -> Vec<(Option<usize>, Tidings)> {
        let mut all = Vec::new();
        let Some(news) = self.news.filter(|_| !self.pool.judges.is_empty()) else { return all };
        let (start, informed) = (self.pool.start, self.informed);
        let plain = Tidings { start, build: news.build, stage: news.stage, informed, ..Tidings::default() };
        if self.now >= self.pool.tell_at && !self.pool.changed.is_empty() {
            self.pool.tell_at = self.now + 0.5 * WORD;
            let told = Tidings { totals: self.pool.changes(self.groups.len()), ..plain.clone() };
            let others = self.pool.judges.iter().filter(|j| **j != self.pool.own);
            all.extend(others.map(|j| (Some(*j), told.clone())));
        }
        if self.pool.judges() && self.now >= self.pool.word_at {
            self.pool.word_at = self.now + WORD;
            all.push((None, Tidings { doubt: Some(self.doubt.raised()), ..plain }));
        }
        all
    }

    /// Ages what was counted, compares, votes. To be called when the last review asked for it.
    pub fn review(&mut self, now: f64) -> Review {
        self.at(now);
        let keep = (-TICK / SPAN).exp();
        // Where answers are few the present reaches back further.
        let reach = if self.lately.present.z > 20.0 { keep } else { keep.powf(0.33) };
        self.lately.fade(keep, reach);
        self.pool.answers *= keep;
        // Others are taken to hold as much as this agent.
        let usual = (self.set("peers_total", 1.0) - 1.0).max(0.0) * f64::from(self.flying)
            / self.nodes.len().max(1) as f64;
        for n in &mut self.nodes {
            let size = n.listed.map_or(1.0, |l| l.rating.max(0.1));
            n.others += (1.0 - keep) * (usual * size - n.others);
            n.slow *= 1.0 - 0.1 * (1.0 - keep);
        }
        // The seconds before the trial are the last ten or so; what speaks against a build fades as fast.
        self.fade_calm(if self.watched(WATCH) { 1.0 } else { keep.powf(0.1) });
        self.evidence.fade(keep.powf(0.1));
        self.tallies.fade(keep.powf(0.33), keep.powf(0.1)); // three of their periods, and as evidence
        self.share = self.trial_share();
        self.idle = (1.01 * self.idle).min(self.set("limits.conn_idle_s", 10.0)); // twice in seven seconds
        self.compare();
        let now = self.now;
        self.look = self.case.as_mut().map(|case| case.look(now));
        let slower = self.trial().map_or(self.evidence.slower, |n| self.slower(n.build));
        self.evidence.slower = if self.blind() { 0.0 } else { slower };
        let follow = !self.following.on && self.now >= self.following.ask_at;
        self.following.ask_at = if follow { self.now + 5.0 } else { self.following.ask_at }; // or asks again
        Review { vote: self.ballot(), follow, again_in: TICK }
    }

    /// Mechanism 5. Earlier nodes (from the last stage on all) slower than before the trial: is it the
    /// build? While in doubt votes wait, and the trial's traffic pauses in every other two seconds of
    /// the stage, at all agents together. What goes in two pauses in a row came with that traffic; what stays
    /// goes back as well, unless pooled: then the pauses tell. May hurt when another slowdown lasts as long.
    fn compare(&mut self) {
        const PAUSE: f64 = 2.0; // twice the span over which the present is seen
        let present = self.lately.present;
        // A quarter slower, beyond a standard error; less where many agents have to say so.
        let beyond = self.enough() / ENOUGH * present.error().sqrt();
        let slowed = present.z >= 5.0 && present.mean() > 0.25 + beyond;
        let slowed = if self.follows() { self.pool.doubt } else { slowed };
        let before = self.doubt.slow_for;
        self.doubt.slow_for = if slowed { before + 1 } else { before.saturating_sub(3) };
        let phase = (self.now - self.stage_began).rem_euclid(2.0 * PAUSE);
        let trial = self.trial().is_some();
        if !self.watched(WATCH) || (trial && self.share.0 < 0.1) {
            (self.doubt.paused_at, self.doubt.slow_for) = (None, 0); // a tenth can hardly slow the rest
            return;
        }
        if let Some(case) = &mut self.case {
            self.doubt.slow_for = self.doubt.slow_for.min(20); // what has ended is forgotten within a second
            self.doubt.until =
                if self.doubt.slow_for >= 5 { self.now + 2.0 * PAUSE } else { self.doubt.until };
            let rests = case.rest(self.now, trial && self.now < self.doubt.until);
            self.doubt.paused_at = rests.then_some(present.mean());
            return;
        }
        let ready = trial && phase < 2.0 * TICK && self.now >= self.doubt.not_before;
        match self.doubt.paused_at {
            None if ready && self.doubt.raised() => self.doubt.paused_at = Some(present.mean()),
            Some(level) if phase >= PAUSE => {
                self.doubt.paused_at = None;
                let gone = present.mean() < 0.5 * level;
                self.evidence.abated = if gone { self.evidence.abated + 1 } else { 0 };
                self.doubt.not_before = self.now + if gone { 0.0 } else { 3.0 * PAUSE };
            }
            None if self.doubt.slow_for == 0 && phase < TICK => self.evidence.abated = 0,
            _ => {}
        }
        // A doubt outlasts a round of pauses: in another agent's pause the slowdown goes for this one too.
        self.doubt.until = if self.doubt.raised() { self.now + 2.0 * PAUSE } else { self.doubt.until };
        let stays = self.doubt.slow_for as f64 * TICK / 15.0; // other slowdowns mostly pass sooner
        self.evidence.stays = if self.pool.judges.is_empty() { stays } else { 0.0 };
    }

    /// Mechanism 6, more work: how far the trial's nodes are slower than the others at equal load. Nodes are
    /// compared, not answers: one slow or backed-up node is no build.
    fn slower(&self, build: u32) -> f64 {
        // A good build may be a fifth slower, and where keys are remembered its new nodes know none yet.
        let margin = if flag(&self.named, "family_info.warm_keys") { 0.6 } else { 0.3 };
        let ([earlier, trial], noise, beyond) = self.sides(build, 0.2, margin); // kin: a tenth or so apart
        if earlier.z < 3.0 || trial.z < 3.0 || beyond < 0.7 * trial.z {
            return 0.0; // a build is slow on all its nodes, with some room for chance
        }
        // Four standard errors of like nodes convince, fewer where many agents have to say so.
        let like = earlier.variance();
        let error = (like / earlier.z + like.max(noise / trial.z) / trial.z).sqrt().max(0.05);
        (trial.mean() - earlier.mean() - margin) / error / (4.0 * (self.enough() / ENOUGH).sqrt())
    }

    /// The evidence that one agent needs: three errors among thirty answers where its vote is enough. Where k
    /// of n must say so, wrong votes by chance get there once in e^6 times if E = ln(n / k) + 1 + 6 / k, by
    /// the bound on a Poisson count's tail. Hurts where one cause meets all agents.
    fn enough(&self) -> f64 {
        let needed = self.set("family_info.noes_needed", 1.0).max(1.0);
        ((self.set("peers_total", 1.0) / needed).max(1.0).ln() + 1.0 + ENOUGH / needed).min(ENOUGH)
    }

    /// In a stage without a cap the trial is the busier one, which agents that meet few hits can't see: times
    /// of nodes and payoffs say nothing then where they are pooled.
    fn blind(&self) -> bool {
        !self.pool.judges.is_empty() && self.trial().is_some_and(|n| n.cap >= 1.0)
    }

    /// What this agent's vote should be.
    fn wish(&self) -> Verdict {
        let Some(news) = self.news.filter(|_| !self.follows()) else { return Verdict::Clear };
        let own = self.evidence.weight(self.enough(), self.tallies.more(10.0));
        // Refused connections of cold nodes count in what all are told: all wait, who has met an error votes back.
        let met = self.evidence.faults.last().is_some_and(|all| *all > 0.5);
        let told = self.tallies.against() / ENOUGH;
        let (weight, trial) = (own.max(told), news.phase == Phase::Trial);
        // Late answers alone may be one crowded machine's fault: its fellows have to be slow as well.
        let sunk = self.duel.sunk() && self.evidence.slower > 0.5;
        let convinced = own >= 1.0 || met && told >= 1.0;
        let plain = convinced || !self.blind() && (sunk || self.duel.dropped == Some(TRIAL));
        let guilty = self.look.map_or(plain, |l| l.opinion == Opinion::Back);
        let weight = self.look.map_or(weight, |l| l.back);
        // Where rates are stated only evidence against a bad build releases one, or the stated fallback.
        let unsure = self.look.map_or(told > 0.25, |l| l.opinion != Opinion::On);
        let waits = news.cap >= 1.0 && unsure && !self.case.as_ref().is_some_and(Case::falls_back);
        let doubtful = trial && (weight >= 0.5 || self.now < self.doubt.until || waits);
        if guilty {
            return Verdict::Back;
        } else if text(&self.named, "family_info.vote_mode") == "clocked" {
            return [Verdict::Clear, Verdict::Hold][usize::from(doubtful)]; // stages move by themselves
        }
        // The stage's least time runs from its machines' listed start. The least count is the design's 10
        // over all whose votes it takes, or what the cap lets through in that time if that is less.
        let soak = self.set("family_info.soak_s", 0.0);
        let own = self.open().filter(|l| l.build == news.build);
        let start = own.map(|l| l.up_since).fold(self.stage_began, f64::max);
        let votes = self.set("family_info.on_votes", 1.0).max(1.0);
        let least = (news.cap * (self.lately.taken + self.pool.answers) / SPAN * (soak + 1.0))
            .clamp(1.0, (10.0 / votes).max(1.0));
        let ripe = self.duel.outcomes >= least && !self.duel.shuns_trial();
        // A vote given for a stage stands, whatever machines are listed after it.
        let given = Vote { verdict: Verdict::On, build: news.build, stage: news.stage };
        // Before the release the machines have to be warm to show what they do; pooled, older ones are met.
        let full = self.set("obligations.cold_s", 0.0) + 2.0 * SPAN;
        let warm = if news.cap < 1.0 || self.blind() { 0.0 } else { full };
        let due = self.now >= start + soak.max(warm) || self.cast.vote == Some(given);
        // An agent that started under the trial has no seconds before it: the others vote first.
        let alone = self.started + if self.pool.judges.is_empty() { 10.0 } else { 3.0 * WORD };
        let due = due && (self.informed || self.now >= alone);
        [Verdict::Clear, Verdict::On][usize::from(trial && !doubtful && ripe && due)]
    }

    /// Casts, renews and repeats the vote.
    fn ballot(&mut self) -> Option<Vote> {
        let news = self.news.filter(|n| matches!(n.phase, Phase::Trial | Phase::Released))?;
        let vote = Vote { verdict: self.wish(), build: news.build, stage: news.stage };
        // Where all agents' renewals alone exceed what the platform takes, a vote taken back keeps others out: it lapses.
        let life = 0.75 * self.set("family_info.vote_stands_s", 5.0);
        let lapses = self.set("peers_total", 1.0) > life * self.set("family_info.api_rate", f64::MAX);
        let settled = match self.cast.vote.filter(|_| self.now < self.cast.good_until) {
            None => vote.verdict == Verdict::Clear,
            Some(old) if vote.verdict == Verdict::Clear && lapses && old.verdict == Verdict::On => true,
            Some(old) if vote.verdict == Verdict::Back => old == Vote { stage: old.stage, ..vote },
            // A vote for a past stage counts for nothing: there is nothing to take back.
            Some(old) if vote.verdict == Verdict::Clear && old.stage != vote.stage => true,
            Some(old) => old == vote,
        };
        if settled || self.now < self.cast.again_at {
            return None;
        }
        self.cast.again_at = self.now + 1.2 * self.set("family_info.call_timeout_s", 1.0);
        (self.cast.vote, self.cast.good_until) = (Some(vote), self.now); // unsettled until it is answered
        Some(vote)
    }

    /// How the last vote was received. One that does not count is cast again, later each time.
    pub fn vote_received(&mut self, now: f64, receipt: Receipt) {
        self.at(now);
        if receipt == Receipt::Counted {
            // Renewed when three quarters of its life have passed.
            self.cast.good_until = self.now + 0.75 * self.set("family_info.vote_stands_s", 5.0);
            (self.cast.again_at, self.cast.misses) = (self.now, 0);
        } else {
            self.cast.misses += 1;
            self.cast.again_at = self.later(0.1, self.cast.misses, 1.6); // a stage waits little for it
        }
    }
}

#[cfg(test)]
mod tests;
