//! Load beyond what nodes can take, played against levels, the module's own bounces, and nothing: a calm half minute,
//! a minute at so many times what nodes can take, and a calm minute and a half.

use crate::judge::Judge;
use crate::release;
use crate::world::*;
use magpieline::interface::*;
use magpieline::Balancer;
use magpieline_degradation::{Door, Ended, Fate, Installation, Ladder, Levels};
use magpieline_operator_config::Schema;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// When the load steps up and down, and when it is over.
pub const STEP: (f64, f64) = (30.0, 90.0);
pub const END: f64 = 180.0;
/// From here on the step is counted: levels have had their time to enter.
const COUNTED: f64 = STEP.0 + 15.0;
/// Load at rest, in parts of what nodes can take.
const REST: f64 = 0.5;
const TICK: f64 = 0.1;
/// Accounts, alike but for the first, which brings a third of all.
const ACCOUNTS: usize = 8;

/// The levels that are played, as operators would write them.
pub const LEVELS: &str = "<magpieline><levels spacing-s='30' spread-s='3'>
  <level name='busy' enter='late above 5% for 1s or bounced above 8% for 1s'
      leave='late below 3% for 3s and bounced below 4% for 3s and shortage below 3%' least-stay-s='30'>
    <group name='group-0' least='0.05'/><group name='group-1' least='0.05'/>
    <group name='group-2' least='0.2'/><group name='group-3' least='0.2'/></level>
  </levels></magpieline>";

/// Who decides what is let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Control {
    /// Two choices, and no hit is turned away but by a full node.
    Nothing,
    /// The module's own bounces.
    Bounces,
    /// The module behind levels.
    Levels,
    /// The module behind a fixed admission of so much of what nodes can take, by benefit for work.
    Fixed(f64),
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub control: Control,
    pub agents: usize,
    /// In parts of what nodes can take.
    pub load: f64,
    /// All nodes so many times slower while the load steps up.
    pub slows: f64,
    /// The part of those turned away that come back once more.
    pub returns: f64,
    /// All agents start anew at this time.
    pub restarts: Option<f64>,
    pub seed: u64,
}

/// How it went while the load was up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Course {
    /// Of each path group's hits, the part answered in time at rest, and while the load was up.
    pub at_rest: [f64; GROUPS],
    pub in_time: [f64; GROUPS],
    /// Benefit a second while the load was up.
    pub benefit: f64,
    /// Seconds after the step until half of the agents were in a level, and after its end until nine in ten were out.
    pub entered: f64,
    pub left: f64,
    /// The most changes that any agent made, and the least time between two of one agent's.
    pub changes: usize,
    pub closest: f64,
    /// Of the heaviest account and of the others, the part answered in time.
    pub heavy: f64,
    pub others: f64,
}

type Time = u64;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// One that was turned away comes back: path group and account.
    Again(usize, usize),
    Review(usize),
    Look(usize),
    Resume(usize),
    Done {
        node: usize,
        hit: usize,
        forward: u32,
    },
    Timeout {
        hit: usize,
        forward: u32,
    },
    WaitOver {
        agent: usize,
        number: u64,
    },
    Restart,
}

struct Hit {
    agent: usize,
    handle: Option<HitHandle>,
    group: usize,
    account: usize,
    taken: f64,
    sent: f64,
    first: Option<f64>,
    forward: u32,
    node: usize,
    out: bool,
    over: bool,
    /// It went past the levels' door.
    counted: bool,
    /// It has come back already.
    again: bool,
}

struct Agent {
    balancer: Balancer,
    levels: Option<Levels>,
    /// By node, for two choices.
    flying: Vec<u32>,
    waiting: std::collections::BTreeMap<u64, usize>,
    changes: Vec<f64>,
    entered: Option<f64>,
    left: Option<f64>,
}

#[derive(Default)]
struct Counts {
    asked: [f64; GROUPS],
    in_time: [f64; GROUPS],
    benefit: f64,
    accounts: [[f64; 2]; 2],
}

struct Play<'a> {
    plan: &'a Plan,
    chance: ChaCha8Rng,
    now: f64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    fleet: Fleet,
    agents: Vec<Agent>,
    hits: Vec<Hit>,
    rest: Counts,
    up: Counts,
}

/// Hits a second that all nodes can take, by their mean work.
pub fn capacity() -> f64 {
    let work: f64 = parts()
        .iter()
        .zip(WORK)
        .map(|(part, work)| part * work)
        .sum();
    (Fleet::SIZE * CORES) as f64 / work
}

/// The part of each path group that is let in when so much of what nodes can take is spent by benefit for work.
fn shares(plan: &Plan, of: f64) -> [f64; GROUPS] {
    let offered = parts();
    let mean: f64 = (0..GROUPS).map(|g| offered[g] * WORK[g]).sum();
    let mut left = of / plan.load / plan.slows * mean;
    let mut by_density: Vec<usize> = (0..GROUPS).collect();
    by_density.sort_by(|a, b| (BENEFIT[*b] / WORK[*b]).total_cmp(&(BENEFIT[*a] / WORK[*a])));
    let mut shares = [0.0; GROUPS];
    for g in by_density {
        let work = offered[g] * WORK[g];
        shares[g] = (left.max(0.0) / work).min(1.0);
        left -= work;
    }
    shares
}

/// Plays it.
pub fn play(plan: &Plan) -> Course {
    let mut chance = ChaCha8Rng::seed_from_u64(plan.seed);
    let fleet = Fleet::new(&mut chance);
    let (events, count, agents, hits, rest, up) = Default::default();
    let mut play = Play {
        plan,
        chance,
        now: 0.0,
        events,
        count,
        fleet,
        agents,
        hits,
        rest,
        up,
    };
    for i in 0..plan.agents {
        let agent = play.agent(i);
        play.agents.push(agent);
        let (review, look) = (
            play.chance.gen_range(0.0..TICK),
            play.chance.gen_range(0.0..magpieline_degradation::LOOK),
        );
        play.at(review, Event::Review(i));
        play.at(look, Event::Look(i));
    }
    play.at(0.0, Event::Arrive);
    plan.restarts
        .into_iter()
        .for_each(|when| play.at(when, Event::Restart));
    play.run();
    play.course()
}

impl Play<'_> {
    fn agent(&self, i: usize) -> Agent {
        let seed = self.plan.seed.wrapping_mul(1000).wrapping_add(i as u64 + 1);
        let mut named = release::settings(self.plan.agents, Judge::Earlier, false);
        named.insert("limits.retry_after".into(), Value::Flag(true));
        named.insert("limits.max_retry_after_s".into(), Value::Number(30.0));
        let balancer = self.fleet.agent(seed, self.now, named, None);
        let levels = (self.plan.control == Control::Levels).then(|| {
            let groups: Vec<String> = (0..GROUPS).map(|g| format!("group-{g}")).collect();
            let values = Schema::bundled()
                .check(LEVELS)
                .expect("the rig's levels are whole");
            let ladder = Ladder::read(&values, &groups, false)
                .expect("and make sense")
                .expect("levels");
            let here = Installation {
                groups,
                benefits: BENEFIT.to_vec(),
                accounts: ACCOUNTS,
                longest_back: 30.0,
            };
            Levels::start(ladder, here, self.now, seed, None)
        });
        let (flying, waiting, changes) = (
            vec![0; self.fleet.nodes.len()],
            Default::default(),
            Vec::new(),
        );
        Agent {
            balancer,
            levels,
            flying,
            waiting,
            changes,
            entered: None,
            left: None,
        }
    }

    fn at(&mut self, when: f64, event: Event) {
        self.count += 1;
        self.events
            .push(Reverse(((when.max(0.0) * 1e6) as Time, self.count, event)));
    }

    fn is_up(&self) -> bool {
        (STEP.0..STEP.1).contains(&self.now)
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            if self.now > END {
                return;
            }
            match event {
                Event::Arrive => {
                    let load = if self.is_up() { self.plan.load } else { REST };
                    let gap =
                        -(1.0 - self.chance.gen_range(0.0..1.0f64)).ln() / (load * capacity());
                    self.at(self.now + gap, Event::Arrive);
                    let draw: f64 = self.chance.gen();
                    let group = MIX.iter().position(|m| draw < *m).unwrap_or(GROUPS - 1);
                    let heavy = self.chance.gen_bool(1.0 / 3.0);
                    let account = if heavy {
                        0
                    } else {
                        self.chance.gen_range(1..ACCOUNTS)
                    };
                    self.arrive(group, account, false);
                }
                Event::Again(group, account) => self.arrive(group, account, true),
                Event::Review(i) => {
                    let review = self.agents[i].balancer.review(self.now);
                    self.at(self.now + review.again_in.max(0.01), Event::Review(i));
                }
                Event::Look(i) => self.look(i),
                Event::Resume(hit) => self.resume(hit),
                Event::Done { node, hit, forward } => {
                    self.fleet.nodes[node].busy -= 1;
                    self.work(node);
                    if self.hits[hit].out && self.hits[hit].forward == forward {
                        self.returned(hit, Ending::Delivered);
                    }
                }
                Event::Timeout { hit, forward } => {
                    if self.hits[hit].out && self.hits[hit].forward == forward {
                        self.returned(hit, Ending::NoAnswer);
                    }
                }
                Event::WaitOver { agent, number } => {
                    if let Some(hit) = self.agents[agent].waiting.remove(&number) {
                        self.agents[agent]
                            .levels
                            .iter_mut()
                            .for_each(|l| l.gone(number));
                        self.turned(hit, 5.0);
                    }
                }
                Event::Restart => {
                    for hit in &mut self.hits {
                        (hit.over, hit.out) = (true, false);
                    }
                    for i in 0..self.agents.len() {
                        let agent = self.agent(i);
                        let old = std::mem::replace(&mut self.agents[i], agent);
                        (self.agents[i].entered, self.agents[i].left) = (old.entered, old.left);
                    }
                }
            }
        }
    }

    fn counts(&mut self, taken: f64) -> Option<&mut Counts> {
        match taken {
            t if (10.0..STEP.0).contains(&t) => Some(&mut self.rest),
            t if (COUNTED..STEP.1).contains(&t) => Some(&mut self.up),
            _ => None,
        }
    }

    fn arrive(&mut self, group: usize, account: usize, again: bool) {
        let agent = self.chance.gen_range(0..self.agents.len());
        let now = self.now;
        // One that comes back is no other hit: it was counted when it came first.
        if let Some(counts) = self.counts(now).filter(|_| !again) {
            counts.asked[group] += 1.0;
            counts.accounts[usize::from(account > 0)][0] += 1.0;
        }
        let hit = Hit {
            agent,
            handle: None,
            group,
            account,
            taken: now,
            sent: now,
            first: None,
            forward: 0,
            node: 0,
            out: false,
            over: false,
            counted: false,
            again,
        };
        self.hits.push(hit);
        let i = self.hits.len() - 1;
        if let Control::Fixed(of) = self.plan.control {
            let up = self.is_up();
            let share = if up {
                shares(self.plan, of)[group]
            } else {
                1.0
            };
            if !self.chance.gen_bool(share) {
                return self.turned(i, 5.0);
            }
        }
        let door = match &mut self.agents[agent].levels {
            Some(levels) => levels.take(now, group, account, TIMEOUT[group]),
            None => Door::Go,
        };
        match door {
            Door::Go => self.hand_on(i),
            Door::Wait { number, at_most } => {
                self.agents[agent].waiting.insert(number, i);
                self.at(now + at_most, Event::WaitOver { agent, number });
            }
            Door::Turned { again_after } => self.turned(i, again_after),
        }
    }

    /// Turned away: some come back once, when they were told.
    fn turned(&mut self, i: usize, again_after: f64) {
        self.hits[i].over = true;
        let (group, account, again) =
            (self.hits[i].group, self.hits[i].account, self.hits[i].again);
        if !again && self.chance.gen_bool(self.plan.returns) {
            self.at(self.now + again_after, Event::Again(group, account));
        }
    }

    fn hand_on(&mut self, i: usize) {
        self.hits[i].counted = true;
        let Hit {
            agent,
            group,
            account,
            taken,
            ..
        } = self.hits[i];
        if self.plan.control == Control::Nothing {
            return self.two_choices(i);
        }
        let remaining = TIMEOUT[group] - (self.now - taken);
        let arrival = Arrival {
            group,
            account,
            remaining,
            ..Arrival::default()
        };
        let (handle, next) = self.agents[agent].balancer.take(self.now, arrival);
        self.hits[i].handle = Some(handle);
        self.carry_out(i, next);
    }

    fn two_choices(&mut self, i: usize) {
        let agent = self.hits[i].agent;
        let nodes = self.fleet.nodes.len();
        let (a, b) = (
            self.chance.gen_range(0..nodes),
            self.chance.gen_range(0..nodes),
        );
        let flying = &self.agents[agent].flying;
        let node = if flying[a] <= flying[b] { a } else { b };
        self.send(i, node, TIMEOUT[self.hits[i].group]);
    }

    fn carry_out(&mut self, i: usize, next: Next) {
        match next {
            Next::Forward { node, limit } => self.send(i, node, limit),
            Next::Wait { pause } => self.at(self.now + pause.max(0.001), Event::Resume(i)),
            Next::Bounce { again_after } => {
                self.ended(i, Fate::Bounced);
                self.turned(i, if again_after > 0.0 { again_after } else { 1.0 });
            }
            Next::GiveUp => {
                self.ended(i, Fate::Failed);
                self.hits[i].over = true;
            }
            Next::Nothing => {}
        }
    }

    /// The final answer, as far as the levels see it.
    fn ended(&mut self, i: usize, fate: Fate) {
        let Hit {
            agent,
            group,
            taken,
            first,
            over,
            ..
        } = self.hits[i];
        if over {
            return;
        }
        let spent = self.now - taken;
        let ended = Ended {
            group,
            fate: Some(fate),
            spent,
            part: spent / TARGET[group],
            waited: first.map(|f| f - taken),
        };
        let now = self.now;
        self.agents[agent]
            .levels
            .iter_mut()
            .for_each(|l| l.ended(now, ended));
        self.let_in(agent);
    }

    fn let_in(&mut self, agent: usize) {
        while let Some(number) = self.agents[agent]
            .levels
            .as_mut()
            .and_then(Levels::released)
        {
            match self.agents[agent].waiting.remove(&number) {
                Some(hit) => self.hand_on(hit),
                None => return,
            }
        }
    }

    fn send(&mut self, i: usize, node: usize, limit: f64) {
        let now = self.now;
        let hit = &mut self.hits[i];
        (hit.sent, hit.node, hit.out, hit.forward) = (now, node, true, hit.forward + 1);
        hit.first.get_or_insert(now);
        let (group, forward, agent) = (hit.group, hit.forward, hit.agent);
        self.agents[agent].flying[node] += 1;
        self.at(now + limit, Event::Timeout { hit: i, forward });
        if self.fleet.nodes[node].is_full() {
            return self.returned(i, Ending::TurnedAway);
        }
        let work = WORK[group] * self.chance.gen_range(0.4..1.6);
        self.fleet.nodes[node].queue.push_back(Job {
            hit: i,
            forward,
            work,
        });
        self.work(node);
    }

    fn work(&mut self, node: usize) {
        let slows = if self.is_up() { self.plan.slows } else { 1.0 };
        while self.fleet.nodes[node].has_room() {
            let n = &mut self.fleet.nodes[node];
            let Some(job) = n.queue.pop_front() else {
                return;
            };
            n.busy += 1;
            let takes = job.work / n.power(self.now) * slows;
            self.at(
                self.now + takes,
                Event::Done {
                    node,
                    hit: job.hit,
                    forward: job.forward,
                },
            );
        }
    }

    fn returned(&mut self, i: usize, ending: Ending) {
        let now = self.now;
        let hit = &mut self.hits[i];
        hit.out = false;
        let Hit {
            agent,
            handle,
            group,
            account,
            taken,
            sent,
            node,
            over,
            ..
        } = *hit;
        self.agents[agent].flying[node] -= 1;
        if over {
            return;
        }
        if ending == Ending::Delivered {
            let in_time = now - taken <= TARGET[group];
            if let Some(counts) = self.counts(taken).filter(|_| in_time) {
                counts.in_time[group] += 1.0;
                counts.benefit += BENEFIT[group];
                counts.accounts[usize::from(account > 0)][1] += 1.0;
            }
            self.ended(i, if in_time { Fate::InTime } else { Fate::Late });
            self.hits[i].over = true;
        }
        match handle {
            Some(handle) => {
                let end = Return {
                    ending,
                    spent: now - sent,
                    over: false,
                };
                let next = handle.returned(&mut self.agents[agent].balancer, now, end);
                self.carry_out(i, next);
            }
            None if ending != Ending::Delivered => {
                self.ended(i, Fate::Failed);
                self.hits[i].over = true;
            }
            None => {}
        }
    }

    fn resume(&mut self, i: usize) {
        if let Some(handle) = self.hits[i].handle.filter(|_| !self.hits[i].over) {
            let next = handle.resume(&mut self.agents[self.hits[i].agent].balancer, self.now);
            self.carry_out(i, next);
        }
    }

    fn look(&mut self, i: usize) {
        let now = self.now;
        self.at(now + magpieline_degradation::LOOK, Event::Look(i));
        let agent = &mut self.agents[i];
        let Some(levels) = &mut agent.levels else {
            return;
        };
        if let Some(change) = levels.look(now) {
            agent.changes.push(now);
            if change.to == "full" {
                agent.left = Some(now);
            } else {
                agent.entered = agent.entered.or(Some(now));
                agent.left = None;
            }
        }
        self.let_in(i);
    }

    fn course(&self) -> Course {
        let part = |c: &Counts| {
            let mut parts = [0.0; GROUPS];
            (0..GROUPS).for_each(|g| parts[g] = c.in_time[g] / c.asked[g].max(1.0));
            parts
        };
        let nth = |mut all: Vec<f64>, part: f64| {
            all.sort_by(f64::total_cmp);
            all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1)))
                .copied()
        };
        let times = |of: fn(&Agent) -> Option<f64>| -> Vec<f64> {
            self.agents
                .iter()
                .map(|a| of(a).unwrap_or(f64::INFINITY))
                .collect()
        };
        let gaps = self
            .agents
            .iter()
            .flat_map(|a| a.changes.windows(2).map(|w| w[1] - w[0]));
        let [heavy, others] = self
            .up
            .accounts
            .map(|[asked, in_time]| in_time / f64::max(asked, 1.0));
        Course {
            at_rest: part(&self.rest),
            in_time: part(&self.up),
            benefit: self.up.benefit / (STEP.1 - COUNTED),
            entered: nth(times(|a| a.entered), 0.5).map_or(f64::INFINITY, |t| t - STEP.0),
            left: nth(times(|a| a.left), 0.9).map_or(f64::INFINITY, |t| t - STEP.1),
            changes: self
                .agents
                .iter()
                .map(|a| a.changes.len())
                .max()
                .unwrap_or(0),
            closest: gaps.fold(f64::INFINITY, f64::min),
            heavy,
            others,
        }
    }
}

#[cfg(test)]
mod tests;
