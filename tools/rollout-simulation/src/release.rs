//! One simulated release, from the seconds before it to half a minute after it has been released.

use crate::judge::{Judge, Seen};
use crate::world::*;
use magpieline::interface::*;
use magpieline::Balancer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    pub kind: &'a str,
    pub trouble: &'a str,
    pub judge: Judge,
    pub agents: usize,
    /// Hits a second, over all agents.
    pub rate: f64,
    pub seed: u64,
}

/// How it went.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Course {
    pub good: bool,
    /// Seconds from the release's start until it was sent back and until it was released.
    pub back: Option<f64>,
    pub released: Option<f64>,
    /// Part of the benefit lost, of all that was asked for while it lasted.
    pub lost: f64,
}

/// When the release begins: the module needs some seconds to know what is usual.
const BEGINS: f64 = 15.0;
/// After this the release is left where it stands.
const MOST: f64 = 90.0;
/// For how long it is watched once it is released.
const WATCHED: f64 = 30.0;
const STAGES: [(f64, usize); 4] = [(0.065, 1), (0.25, 3), (0.65, 8), (1.0, 15)];
const LEAST: f64 = 1.5;
const NEWS_LATE: f64 = 0.3;
const TICK: f64 = 0.1;

/// Microseconds, so that events have an order.
type Time = u64;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Review(usize),
    Resume(usize),
    /// A hit's forward is done at a node (error or not is settled when it began).
    Done {
        node: usize,
        hit: usize,
        forward: u32,
        errs: bool,
    },
    Timeout {
        hit: usize,
        forward: u32,
    },
    News(usize),
    Complain {
        node: usize,
        agent: usize,
    },
    Move,
}

struct Hit {
    agent: usize,
    handle: HitHandle,
    group: usize,
    key: usize,
    taken: f64,
    sent: f64,
    forward: u32,
    node: usize,
    out: bool,
    over: bool,
}

struct Agent {
    balancer: Balancer,
    vote: Option<(Verdict, usize, f64)>,
    seen: Seen,
}

struct Play<'a> {
    plan: &'a Plan<'a>,
    truth: Truth,
    trouble: Trouble,
    chance: ChaCha8Rng,
    now: f64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    fleet: Fleet,
    agents: Vec<Agent>,
    hits: Vec<Hit>,
    stage: usize,
    stage_began: f64,
    phase: Option<Phase>,
    /// Part of the last forwards that went to the trial, for the build that slows all.
    trial_part: f64,
    asked: f64,
    gained: f64,
    course: Course,
}

/// The settings that the module is handed.
pub fn settings(agents: usize, judge: Judge, one_way: bool) -> Named {
    let mut named = Named::new();
    let mut number = |name: String, value: f64| {
        named.insert(name, Value::Number(value));
    };
    for g in 0..GROUPS {
        number(format!("classes.{g}.hard_limit_s"), TIMEOUT[g]);
        number(format!("classes.{g}.goal_time_s"), TARGET[g]);
        number(format!("classes.{g}.credit"), BENEFIT[g]);
        number(format!("classes.{g}.dedup_window_s"), 0.75);
    }
    // A third of the agents moves a release on, a tenth sends it back; one at least.
    let part = |of: f64| (agents as f64 * of).ceil().max(1.0);
    for (name, value) in [
        ("limits.max_attempts", 3.0),
        ("limits.conn_idle_s", 10.0),
        ("peers_total", agents as f64),
        ("obligations.cold_s", COLD),
        ("obligations.cold_share", COLD_SHARE),
        ("family_info.spare_tries", 2.0),
        ("family_info.soak_s", LEAST),
        ("family_info.on_votes", part(0.33)),
        ("family_info.noes_needed", part(0.1)),
        ("family_info.vote_stands_s", 6.0),
        ("family_info.call_timeout_s", 0.8),
    ] {
        number(name.into(), value);
    }
    for (g, repeat) in REPEAT.iter().enumerate() {
        named.insert(
            format!("classes.{g}.name"),
            Value::Text(format!("group-{g}")),
        );
        named.insert(format!("classes.{g}.repeat"), Value::Text((*repeat).into()));
        named.insert(
            format!("classes.{g}.dedup_scope"),
            Value::Text("all".into()),
        );
    }
    named.insert("family_info.one_way".into(), Value::Flag(one_way));
    judge.terms(&mut named);
    named
}

/// Plays a release.
pub fn play(plan: &Plan) -> Course {
    let mut chance = ChaCha8Rng::seed_from_u64(plan.seed);
    let truth = Truth::draw(plan.kind, &mut chance);
    let trouble = Trouble::draw(plan.trouble, &mut chance);
    let fleet = Fleet::new(&mut chance);
    let course = Course {
        good: truth.good(),
        back: None,
        released: None,
        lost: 0.0,
    };
    let mut play = Play {
        plan,
        truth,
        trouble,
        chance,
        fleet,
        course,
        now: 0.0,
        events: BinaryHeap::new(),
        count: 0,
        agents: Vec::new(),
        hits: Vec::new(),
        stage: 0,
        stage_began: 0.0,
        phase: None,
        trial_part: 0.0,
        asked: 0.0,
        gained: 0.0,
    };
    for i in 0..plan.agents {
        let balancer = play.agent(i);
        play.agents.push(Agent {
            balancer,
            vote: None,
            seen: Seen::default(),
        });
        let first = play.chance.gen_range(0.0..TICK);
        play.at(first, Event::Review(i));
    }
    play.at(0.0, Event::Arrive);
    play.at(BEGINS, Event::Move);
    play.run();
    play.course.lost = 1.0 - play.gained / play.asked.max(1.0);
    play.course
}

impl Play<'_> {
    /// An agent that has just started, told the list and the news.
    fn agent(&self, i: usize) -> Balancer {
        let named = settings(self.plan.agents, self.plan.judge, self.trouble.one_way());
        let seed = self.plan.seed.wrapping_mul(1000).wrapping_add(i as u64 + 1);
        self.fleet.agent(seed, self.now, named, self.news())
    }

    fn at(&mut self, when: f64, event: Event) {
        self.count += 1;
        self.events
            .push(Reverse(((when.max(0.0) * 1e6) as Time, self.count, event)));
    }

    fn news(&self) -> Option<News> {
        let (cap, phase) = (STAGES[self.stage].0, self.phase?);
        let cap = if phase == Phase::GoingBack { 0.0 } else { cap };
        Some(News {
            build: 2,
            stage: self.stage,
            phase,
            since: self.now - self.stage_began,
            cap,
        })
    }

    /// All agents are told, a little later.
    fn tell(&mut self) {
        for i in 0..self.agents.len() {
            let late = self.chance.gen_range(0.1..NEWS_LATE);
            self.at(self.now + late, Event::News(i));
        }
    }

    fn run(&mut self) {
        let mut restarted = false;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            if let (Trouble::Restarts(when), false) = (self.trouble, restarted) {
                if self.now >= when {
                    restarted = true;
                    self.restart();
                }
            }
            if self.ended() {
                break;
            }
            match event {
                Event::Arrive => self.arrive(),
                Event::Review(i) => self.review(i),
                Event::Resume(hit) => self.resume(hit),
                Event::Done {
                    node,
                    hit,
                    forward,
                    errs,
                } => self.done(node, hit, forward, errs),
                Event::Timeout { hit, forward } => {
                    if self.hits[hit].out && self.hits[hit].forward == forward {
                        self.returned(hit, Ending::NoAnswer);
                    }
                }
                Event::News(i) => {
                    let (now, list, news) = (self.now, self.fleet.list(self.now), self.news());
                    self.agents[i].balancer.listed(now, true, true, &list);
                    if let Some(news) = news {
                        self.agents[i].balancer.heard(now, news);
                    }
                }
                Event::Complain { node, agent } => {
                    self.agents[agent].balancer.complained(self.now, node)
                }
                Event::Move => self.advance(),
            }
        }
    }

    fn ended(&self) -> bool {
        let watched = self
            .course
            .released
            .is_some_and(|r| self.now > BEGINS + r + WATCHED);
        let back = self
            .course
            .back
            .is_some_and(|b| self.now > BEGINS + b + 2.0);
        watched || back || self.now > BEGINS + MOST
    }

    /// All agents start anew; what they held is over.
    fn restart(&mut self) {
        for hit in &mut self.hits {
            (hit.over, hit.out) = (true, false);
        }
        for i in 0..self.agents.len() {
            let balancer = self.agent(i);
            self.agents[i] = Agent {
                balancer,
                vote: None,
                seen: Seen::default(),
            };
        }
    }

    fn arrive(&mut self) {
        let rate = self.plan.rate * self.trouble.traffic(self.now);
        let gap = -(1.0 - self.chance.gen_range(0.0..1.0f64)).ln() / rate;
        self.at(self.now + gap, Event::Arrive);
        let draw: f64 = self.chance.gen();
        let group = MIX.iter().position(|m| draw < *m).unwrap_or(GROUPS - 1);
        let heavy = self.trouble == Trouble::HeavyKeys && self.chance.gen_bool(0.15);
        // Few keys are popular: the square of an even draw leans to the small ones.
        let even: f64 = self.chance.gen();
        let key = if heavy {
            self.chance.gen_range(0..4)
        } else {
            4 + (even * even * (KEYS - 4) as f64) as usize
        };
        let agent = self.chance.gen_range(0..self.agents.len());
        self.asked += BENEFIT[group];
        let arrival = Arrival {
            group,
            key: Some(key),
            account: usize::MAX,
            remaining: TIMEOUT[group],
            hint: 0.0,
            ..Arrival::default()
        };
        let (handle, next) = self.agents[agent].balancer.take(self.now, arrival);
        let (taken, sent) = (self.now, self.now);
        let hit = Hit {
            agent,
            handle,
            group,
            key,
            taken,
            sent,
            forward: 0,
            node: 0,
            out: false,
            over: false,
        };
        self.hits.push(hit);
        self.carry_out(self.hits.len() - 1, next);
    }

    fn carry_out(&mut self, i: usize, next: Next) {
        match next {
            Next::Forward { node, limit } => self.send(i, node, limit),
            Next::Wait { pause } => self.at(self.now + pause.max(0.001), Event::Resume(i)),
            Next::Bounce { .. } | Next::GiveUp => self.hits[i].over = true,
            Next::Nothing => {}
        }
    }

    fn send(&mut self, i: usize, node: usize, limit: f64) {
        let hit = &mut self.hits[i];
        (hit.sent, hit.node, hit.out, hit.forward) = (self.now, node, true, hit.forward + 1);
        let (group, key, forward) = (hit.group, hit.key, hit.forward);
        let trial = self.fleet.nodes[node].build == 2;
        self.trial_part += 0.005 * (f64::from(u8::from(trial)) - self.trial_part);
        self.at(self.now + limit, Event::Timeout { hit: i, forward });
        if !self.fleet.nodes[node].open || self.fleet.nodes[node].is_full() {
            self.returned(i, Ending::TurnedAway);
            return;
        }
        let heavy = if self.trouble == Trouble::HeavyKeys && key < 4 {
            2.5
        } else {
            1.0
        };
        let spread = self.chance.gen_range(0.4..1.6);
        let work = WORK[group] * heavy * spread;
        self.fleet.nodes[node].queue.push_back(Job {
            hit: i,
            forward,
            work,
        });
        self.work(node);
    }

    /// Begins what a node has room for.
    fn work(&mut self, node: usize) {
        while self.fleet.nodes[node].has_room() {
            let n = &mut self.fleet.nodes[node];
            let Some(job) = n.queue.pop_front() else {
                return;
            };
            n.busy += 1;
            let (trial, age, load) = (n.build == 2, self.now - n.up_since, n.load());
            let mut takes = job.work / n.power(self.now) * self.trouble.slows(self.now);
            let (group, key) = (self.hits[job.hit].group, self.hits[job.hit].key);
            let mut fails = 0.0;
            if let Truth::SlowsAll(by) = self.truth {
                takes *= 1.0 + by * self.trial_part;
            }
            if trial {
                match self.truth {
                    Truth::Good(speed) => takes /= speed,
                    Truth::Errors(share) => fails = share,
                    Truth::Group(g, share) if g == group => fails = share,
                    Truth::Work(by) => takes *= by,
                    Truth::Late(after, share) if age > after => {
                        (takes, fails) = (takes * 2.0, share)
                    }
                    Truth::Busy(above, share) if load > above => fails = share,
                    Truth::Wrong(share) if self.chance.gen_bool(share / 3.0) => {
                        let (agent, late) =
                            (self.hits[job.hit].agent, self.chance.gen_range(0.5..4.0));
                        self.at(self.now + takes + late, Event::Complain { node, agent });
                    }
                    _ => {}
                }
            }
            let shared = self.trouble.errs(self.now, key, node);
            let errs = self.chance.gen_bool(1.0 - (1.0 - shared) * (1.0 - fails));
            // An error comes sooner than an answer.
            let takes = takes * if errs { 0.5 } else { 1.0 };
            self.at(
                self.now + takes,
                Event::Done {
                    node,
                    hit: job.hit,
                    forward: job.forward,
                    errs,
                },
            );
        }
    }

    fn done(&mut self, node: usize, i: usize, forward: u32, errs: bool) {
        self.fleet.nodes[node].busy -= 1;
        self.work(node);
        if self.hits[i].out && self.hits[i].forward == forward {
            self.returned(
                i,
                if errs {
                    Ending::Errored
                } else {
                    Ending::Delivered
                },
            );
        }
    }

    fn returned(&mut self, i: usize, ending: Ending) {
        let hit = &mut self.hits[i];
        hit.out = false;
        if hit.over {
            return;
        }
        let spent = self.now - hit.sent;
        let (agent, handle, group, taken) = (hit.agent, hit.handle, hit.group, hit.taken);
        let trial = self.fleet.nodes[hit.node].build == 2;
        if ending == Ending::Delivered {
            hit.over = true;
            let wrong = matches!(self.truth, Truth::Wrong(_)) && trial;
            let in_time = self.now - taken <= TARGET[group];
            self.gained += if in_time && !wrong {
                BENEFIT[group]
            } else {
                0.0
            };
        }
        if hit.forward == 1
            && matches!(ending, Ending::Delivered | Ending::Errored)
            && self.phase.is_some()
        {
            self.agents[agent].seen.add(trial, ending);
        }
        let end = Return {
            ending,
            spent,
            over: false,
        };
        let next = handle.returned(&mut self.agents[agent].balancer, self.now, end);
        self.carry_out(i, next);
    }

    fn resume(&mut self, i: usize) {
        if !self.hits[i].over {
            let (agent, handle) = (self.hits[i].agent, self.hits[i].handle);
            let next = handle.resume(&mut self.agents[agent].balancer, self.now);
            self.carry_out(i, next);
        }
    }

    fn review(&mut self, i: usize) {
        let review = self.agents[i].balancer.review(self.now);
        self.at(self.now + review.again_in, Event::Review(i));
        let agent = &mut self.agents[i];
        if let Some(vote) = review.vote {
            agent.balancer.vote_received(self.now, Receipt::Counted);
            agent.vote = Some((vote.verdict, vote.stage, self.now));
        }
        if !matches!(self.plan.judge, Judge::Earlier | Judge::Stated) {
            let ripe =
                self.phase == Some(Phase::Trial) && self.now > self.stage_began + START + LEAST;
            agent.vote = Some((agent.seen.vote(self.plan.judge, ripe), self.stage, self.now));
        }
        self.tally();
    }

    /// Counts the votes that stand, and moves the release.
    fn tally(&mut self) {
        let stands = |a: &&Agent, what: Verdict| {
            a.vote.is_some_and(|(v, stage, when)| {
                v == what && self.now < when + 6.0 && (v == Verdict::Back || stage == self.stage)
            })
        };
        let many = |what: Verdict| self.agents.iter().filter(|a| stands(a, what)).count() as f64;
        let part = |of: f64| (self.plan.agents as f64 * of).ceil().max(1.0);
        let at_stake = matches!(self.phase, Some(Phase::Trial | Phase::Released));
        if at_stake && many(Verdict::Back) >= part(0.1) {
            self.phase = Some(Phase::GoingBack);
            self.stage_began = self.now;
            self.course.back = Some(self.now - BEGINS);
            self.fleet
                .nodes
                .iter_mut()
                .filter(|n| n.build == 1)
                .for_each(|n| n.open = true);
            self.tell();
        } else if self.phase == Some(Phase::Trial) {
            let least = self.now >= self.stage_began + LEAST;
            if least && many(Verdict::On) >= part(0.33) {
                self.advance();
            }
        }
    }

    /// The next stage, or the release.
    fn advance(&mut self) {
        match self.phase {
            None => self.phase = Some(Phase::Trial),
            Some(Phase::Trial) if self.stage + 1 < STAGES.len() => self.stage += 1,
            Some(Phase::Trial) => {
                self.phase = Some(Phase::Released);
                self.course.released = Some(self.now - BEGINS);
                self.fleet
                    .nodes
                    .iter_mut()
                    .filter(|n| n.build == 1)
                    .for_each(|n| n.open = false);
            }
            _ => return,
        }
        self.stage_began = self.now;
        let up = self.fleet.nodes.len() - Fleet::SIZE;
        for _ in up..STAGES[self.stage].1 {
            let starts = self.now + START + self.chance.gen_range(0.0..0.5);
            self.fleet.start(2, starts, &mut self.chance);
        }
        self.agents
            .iter_mut()
            .for_each(|a| a.seen = Seen::default());
        self.tell();
        // Once its nodes are up the list says so.
        for i in 0..self.agents.len() {
            self.at(self.now + START + 0.6, Event::News(i));
        }
    }
}

#[cfg(test)]
mod tests;
