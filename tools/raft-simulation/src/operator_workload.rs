//! Operators who call the sorting machines while things break: several at once, sending again what got no clear answer
//! (or was answered already), to any machine, with answers lost on their way. What they saw is checked at the end as a
//! history; what the machines did, after every step.

use crate::linearizability::{
    self, ConfigModel, ConfigRequest, ConfigResponse, RecordedCall, RolloutModel, RolloutRequest,
    RolloutResponse, RolloutStatus,
};
use crate::operator_node::{
    Call, Observation, OperatorNode, OperatorRequest, OperatorResponse, RECEIPT,
};
use crate::{
    address, DiskFault, Fault, FaultInjector, Micros, NetworkProfile, Observer, Process, Simulator,
    MILLI, SECOND,
};
use magpieline_control_plane::deduplication::Digest;
use magpieline_control_plane::state_machine::{Command, ControlState, Effect, Phase};
use magpieline_raft::{Index, RaftNode};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Orders under way at once.
const MAX_CONCURRENT_CALLS: usize = 8;
/// An operator waits so long for an answer, and follows so many redirects.
const RESPONSE_TIMEOUT: Micros = SECOND;
const MAX_REDIRECTS: u32 = 2;
/// A configuration is sent until it is taken, for so long.
const MAX_RETRY_TIME: Micros = 40 * SECOND;
/// A way of a call or of an answer. Calls that are held up longer are dropped with their connection.
const MAX_DELIVERY_DELAY: Micros = 300 * MILLI;
/// The same version is ordered anew only this long after the last time: every machine's clock then agrees that it is new.
const REPEAT_ORDER_AFTER: Micros = 25 * SECOND;
/// A wiped machine is back within three seconds, and has what it needs some seconds after.
const MIN_WIPE_INTERVAL: Micros = 8 * SECOND;
const SERVICES: [&str; 2] = ["alpha", "beta"];
/// A term of no particular length.
const WITHIN: u64 = 12 * SECOND;

/// What the machines did, checked as they do it.
#[derive(Default)]
struct Checks {
    now: Micros,
    /// By place in the log: command, effect, when it was first applied.
    log: BTreeMap<Index, (Command, Effect, Micros)>,
    reference: ControlState,
    /// The reference's digest after each place.
    states: BTreeMap<Index, Digest>,
    responses: Vec<(u64, OperatorResponse)>,
}

fn digest(state: &ControlState) -> Digest {
    Digest::of(&format!("{state:?}"))
}

impl Observer<OperatorNode> for Checks {
    fn observed(&mut self, machine: usize, note: Observation) {
        match note {
            Observation::Responded { id, response } => self.responses.push((id, response)),
            Observation::Applied {
                index,
                command,
                effect,
            } => match self.log.get(&index) {
                Some((c, e, _)) => {
                    assert_eq!(
                        (c, e),
                        (&command, &effect),
                        "machine {machine} differs at {index}"
                    );
                }
                None => {
                    let last = self.log.last_key_value().map_or(0, |(last, _)| *last);
                    assert!(
                        last < index,
                        "machine {machine} applies {index} after {last}"
                    );
                    let expected = self.reference.apply(index, &command);
                    assert_eq!(effect, expected, "machine {machine} at {index}");
                    self.states.insert(index, digest(&self.reference));
                    self.log.insert(index, (command, effect, self.now));
                }
            },
            Observation::Restored { index, state } => {
                let known = self
                    .states
                    .get(&index)
                    .unwrap_or_else(|| panic!("{index} was never applied"));
                assert_eq!(
                    *known,
                    digest(&state),
                    "machine {machine}'s snapshot at {index}"
                );
            }
        }
    }
}

/// What an operator wants done, in one call or several copies of it.
struct Order {
    request: OperatorRequest,
    first_sent: Micros,
    /// Nothing is sent after this.
    until: Micros,
    /// When it is sent next; None while a copy is under way, or it is over.
    next_at: Option<Micros>,
    pause: Micros,
    /// Copies that are still to be sent after a clear answer.
    copies: u32,
}

/// One copy of an order.
struct Sent {
    order: usize,
    sent: Micros,
    redirects: u32,
    back: Option<(Micros, OperatorResponse)>,
    /// The operator still waits.
    open: bool,
}

enum Delivery {
    Request { id: u64, machine: usize },
    Response { id: u64, response: OperatorResponse },
    Timeout { id: u64 },
}

/// What happened in a run, for who wants to see that it was one.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkloadTotals {
    pub steps: u64,
    pub calls: u64,
    pub accepted: u64,
    pub rejected: u64,
    pub reads: u64,
    pub unanswered: u64,
    pub entries: u64,
    pub rollouts: u64,
    pub faults: u64,
    pub wipes: u64,
}

impl WorkloadTotals {
    pub fn add(&mut self, other: &WorkloadTotals) {
        self.steps += other.steps;
        self.calls += other.calls;
        self.accepted += other.accepted;
        self.rejected += other.rejected;
        self.reads += other.reads;
        self.unanswered += other.unanswered;
        self.entries += other.entries;
        self.rollouts += other.rollouts;
        self.faults += other.faults;
        self.wipes += other.wipes;
    }
}

/// Sorting machines, operators, and what breaks.
pub struct OperatorWorkload {
    simulator: Simulator<OperatorNode>,
    checks: Checks,
    injector: FaultInjector,
    rng: ChaCha8Rng,
    machines: usize,
    orders: Vec<Order>,
    sent: BTreeMap<u64, Sent>,
    deliveries: BTreeMap<(Micros, u64), Delivery>,
    serial: u64,
    order_at: Micros,
    advance_rollouts_at: Micros,
    highest: u64,
    versions: u64,
    /// No disk is lost before.
    wipe_from: Micros,
    faults: Vec<(Micros, Fault)>,
}

impl OperatorWorkload {
    /// Starts so many machines for the first time.
    pub fn new(seed: u64, machines: usize) -> OperatorWorkload {
        let mut simulator = Simulator::new(seed, NetworkProfile::RELIABLE);
        let mut checks = Checks::default();
        let seeds: Vec<_> = (0..machines.min(3)).map(address).collect();
        for _ in 0..machines {
            let machine = simulator.add(seeds.clone(), true);
            simulator.start(machine, &mut checks);
        }
        let pause = [SECOND, 3 * SECOND, 8 * SECOND][(seed % 3) as usize];
        OperatorWorkload {
            simulator,
            checks,
            injector: FaultInjector::new(seed, SECOND, pause, NetworkProfile::RELIABLE),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x0ff1ce),
            machines,
            orders: Vec::new(),
            sent: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            serial: 0,
            order_at: SECOND / 2,
            advance_rollouts_at: SECOND,
            highest: 0,
            versions: 0,
            wipe_from: 0,
            faults: Vec::new(),
        }
    }

    /// Operators call and things break for so many steps; then all is mended, all is read back and the history is looked
    /// at. Panics with what is wrong.
    pub fn run(&mut self, steps: u64) -> WorkloadTotals {
        while self.simulator.steps() < steps {
            self.step(Micros::MAX);
        }
        self.order_at = Micros::MAX;
        self.injector.end(&mut self.simulator, &mut self.checks);
        for machine in 0..self.machines {
            self.simulator.start(machine, &mut self.checks);
            self.simulator.thaw(machine, &mut self.checks);
            self.simulator.set_disk_fault(machine, DiskFault::None);
        }
        self.run_for(12 * SECOND);
        let first = self.orders.len();
        let reads = SERVICES
            .iter()
            .map(|service| OperatorRequest::ReadRollout { service });
        for request in reads
            .chain([OperatorRequest::ReadConfig])
            .collect::<Vec<_>>()
        {
            self.place_order(request, 10 * SECOND, 0);
        }
        self.run_for(12 * SECOND);
        for order in first..self.orders.len() {
            let clear = self
                .sent
                .values()
                .any(|s| s.order == order && s.back.is_some());
            assert!(
                clear,
                "{:?} got no answer at the end\n{}",
                self.orders[order].request,
                self.report()
            );
        }
        self.check_history();
        self.totals()
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.simulator.now() + span;
        while self.simulator.now() < end {
            self.step(end);
        }
    }

    /// The next thing happens, at `end` at the latest.
    fn step(&mut self, end: Micros) {
        let due = self
            .orders
            .iter()
            .filter_map(|order| order.next_at)
            .min()
            .unwrap_or(Micros::MAX);
        let way = self
            .deliveries
            .first_key_value()
            .map_or(Micros::MAX, |((at, _), _)| *at);
        let own = due
            .min(way)
            .min(self.order_at)
            .min(self.advance_rollouts_at)
            .min(self.injector.next_at())
            .min(end);
        if self.simulator.next_at().is_some_and(|at| at <= own) {
            self.checks.now = self.simulator.next_at().expect("looked at");
            self.simulator.step(&mut self.checks);
        } else {
            let own = own.max(self.simulator.now());
            self.checks.now = own;
            self.simulator.pass(own);
            if let Some(fault) = self.injector.act(&mut self.simulator, &mut self.checks) {
                self.apply_fault(fault);
            }
            self.act();
        }
        for (id, response) in std::mem::take(&mut self.checks.responses) {
            // Some answers are lost on their way.
            if !self.rng.gen_ratio(1, 6) {
                self.deliver(MAX_DELIVERY_DELAY, Delivery::Response { id, response });
            }
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::AddNode => return,
            Fault::Wipe(machine) if !self.may_wipe(machine) => return,
            Fault::Wipe(_) => self.wipe_from = self.simulator.now() + MIN_WIPE_INTERVAL,
            _ => {}
        }
        self.faults.push((self.simulator.now(), fault));
        self.injector.inject(&mut self.simulator, fault);
    }

    /// Only while all machines run and vote by one list that is in force, by what they know and by what they would know
    /// after a loss of power, and have the same log: so that one lost disk is all that is lost.
    fn may_wipe(&self, machine: usize) -> bool {
        let nodes: Vec<&OperatorNode> = (0..self.machines)
            .filter_map(|m| self.simulator.node(m))
            .collect();
        let Some(known) = self.simulator.node(machine).map(OperatorNode::raft) else {
            return false;
        };
        let is_whole = |raft: &RaftNode| {
            raft.previous_voters().is_none()
                && raft.voters() == known.voters()
                && nodes
                    .iter()
                    .all(|node| raft.voters().contains(&node.raft().id()))
        };
        self.simulator.now() >= self.wipe_from
            && nodes.len() == self.machines
            && known.voters().len() == self.machines
            && (0..self.machines).all(|m| {
                is_whole(
                    OperatorNode::start(self.simulator.boot(m), 0, self.simulator.disk(m))
                        .0
                        .raft(),
                )
            })
            && nodes.iter().all(|node| {
                let raft = node.raft();
                is_whole(raft)
                    && (raft.term(), raft.commit_index()) == (known.term(), known.commit_index())
            })
    }

    fn deliver(&mut self, longest: Micros, delivery: Delivery) {
        self.serial += 1;
        let at = self.simulator.now() + self.rng.gen_range(MILLI..longest);
        self.deliveries.insert((at, self.serial), delivery);
    }

    /// Operators' turn.
    fn act(&mut self) {
        let now = self.simulator.now();
        if now >= self.order_at {
            self.order_at = now + self.rng.gen_range(20 * MILLI..600 * MILLI);
            let under_way = self.sent.values().filter(|s| s.open).count();
            if under_way < MAX_CONCURRENT_CALLS {
                self.draw_order();
            }
        }
        if now >= self.advance_rollouts_at {
            self.advance_rollouts_at = now + self.rng.gen_range(100 * MILLI..3 * SECOND);
            self.advance_rollouts();
        }
        for order in 0..self.orders.len() {
            if self.orders[order].next_at.is_some_and(|at| at <= now) {
                self.send(order);
            }
        }
        while self
            .deliveries
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= now)
        {
            let (_, delivery) = self.deliveries.pop_first().expect("looked at");
            match delivery {
                Delivery::Request { id, machine } => self.on_request(id, machine),
                Delivery::Response { id, response } => self.on_response(id, response),
                Delivery::Timeout { id } => {
                    if let Some(sent) = self.sent.get_mut(&id).filter(|s| s.open) {
                        sent.open = false;
                        let order = sent.order;
                        self.retry(order);
                    }
                }
            }
        }
    }

    fn draw_order(&mut self) {
        let service = SERVICES[self.rng.gen_range(0..SERVICES.len())];
        match self.rng.gen_range(0..100) {
            0..=39 => {
                // A new number, one that another operator has just used, or an old one.
                let number = match self.rng.gen_range(0..10) {
                    0..=3 => self.highest + self.rng.gen_range(1..4),
                    4..=7 => self.highest.max(1),
                    _ => self.rng.gen_range(1..self.highest.max(2)),
                };
                self.highest = self.highest.max(number);
                let size = if self.rng.gen_ratio(1, 20) {
                    70_000
                } else {
                    self.rng.gen_range(1..100)
                };
                let text = format!("{number} by {} {}", self.orders.len(), "x".repeat(size));
                let copies = self.rng.gen_range(0..3);
                self.place_order(
                    OperatorRequest::ReplaceConfig {
                        version: number,
                        text: text.into(),
                    },
                    MAX_RETRY_TIME,
                    copies,
                );
            }
            40..=59 => {
                let (target_version, within) = self.version(service);
                let copies = self.rng.gen_range(0..4);
                self.place_order(
                    OperatorRequest::BeginRollout {
                        service,
                        target_version,
                        within,
                    },
                    RECEIPT,
                    copies,
                );
            }
            60..=84 => self.place_order(OperatorRequest::ReadConfig, 3 * SECOND, 0),
            _ => self.place_order(OperatorRequest::ReadRollout { service }, 3 * SECOND, 0),
        }
    }

    /// A new version, or one that was ordered long ago, perhaps within another term.
    fn version(&mut self, service: &str) -> (String, u64) {
        let now = self.simulator.now();
        let mut last: BTreeMap<(&str, u64), Micros> = BTreeMap::new();
        for order in &self.orders {
            if let OperatorRequest::BeginRollout {
                service: s,
                target_version,
                within,
            } = &order.request
            {
                if *s == service {
                    last.insert((target_version, *within), order.first_sent);
                }
            }
        }
        let old = last
            .into_iter()
            .filter(|(_, at)| now >= at + REPEAT_ORDER_AFTER)
            .map(|(content, _)| content);
        let old: Vec<(String, u64)> = old.map(|(to, within)| (to.to_owned(), within)).collect();
        match old.choose(&mut self.rng) {
            Some(content) if self.rng.gen_ratio(1, 3) => content.clone(),
            _ => {
                self.versions += 1;
                (format!("v{}", self.versions), WITHIN)
            }
        }
    }

    fn place_order(&mut self, request: OperatorRequest, span: Micros, copies: u32) {
        let now = self.simulator.now();
        self.orders.push(Order {
            request,
            first_sent: now,
            until: now + span,
            next_at: Some(now),
            pause: 100 * MILLI,
            copies,
        });
    }

    fn send(&mut self, order: usize) {
        let now = self.simulator.now();
        self.orders[order].next_at = None;
        if now > self.orders[order].until {
            return;
        }
        let id = self.sent.len() as u64;
        self.sent.insert(
            id,
            Sent {
                order,
                sent: now,
                redirects: 0,
                back: None,
                open: true,
            },
        );
        let machine = self.rng.gen_range(0..self.machines);
        self.deliver(MAX_DELIVERY_DELAY, Delivery::Request { id, machine });
        self.serial += 1;
        self.deliveries.insert(
            (now + RESPONSE_TIMEOUT, self.serial),
            Delivery::Timeout { id },
        );
    }

    fn on_request(&mut self, id: u64, machine: usize) {
        let request = self.orders[self.sent[&id].order].request.clone();
        let time_of_day = self.simulator.day(machine);
        self.simulator.call(
            machine,
            Call::Request {
                id,
                request,
                time_of_day,
            },
            &mut self.checks,
        );
    }

    fn on_response(&mut self, id: u64, answer: OperatorResponse) {
        let now = self.simulator.now();
        let Some(sent) = self.sent.get_mut(&id).filter(|s| s.open) else {
            return;
        };
        let order = sent.order;
        match answer {
            OperatorResponse::Redirect(to) if sent.redirects < MAX_REDIRECTS => {
                sent.redirects += 1;
                let machine = (0..self.machines)
                    .find(|m| address(*m) == to)
                    .expect("one of them");
                self.deliver(MAX_DELIVERY_DELAY, Delivery::Request { id, machine });
                return;
            }
            OperatorResponse::Redirect(_) | OperatorResponse::Unavailable => {
                sent.open = false;
                return self.retry(order);
            }
            clear => {
                sent.back = Some((now, clear));
                sent.open = false;
            }
        }
        // It comes again although it was answered: a copy that was held up, or another operator's.
        let at = now + self.rng.gen_range(MILLI..4 * SECOND);
        let order = &mut self.orders[order];
        if order.copies > 0 {
            order.copies -= 1;
            order.next_at = Some(at);
        }
    }

    /// No clear answer: the same is sent again after a pause that grows.
    fn retry(&mut self, order: usize) {
        let at = self.simulator.now() + self.rng.gen_range(MILLI..self.orders[order].pause);
        let order = &mut self.orders[order];
        order.pause = (2 * order.pause).min(SECOND);
        order.next_at = Some(at);
    }

    /// A leader's steward decides on rollouts.
    fn advance_rollouts(&mut self) {
        for machine in 0..self.machines {
            let Some(node) = self.simulator.node(machine) else {
                continue;
            };
            if node.raft().leader() != Some(node.raft().id().address) {
                continue;
            }
            let under_way = SERVICES
                .iter()
                .filter_map(|s| Some((*s, node.state().active_rollout(s)?.clone())));
            for (service, rollout) in under_way.collect::<Vec<_>>() {
                let phase = match rollout.phase {
                    _ if self.rng.gen_ratio(2, 5) => Phase::RolledBack,
                    Phase::Promoting => Phase::Completed,
                    _ => Phase::Promoting,
                };
                let command = Command::AdvanceRollout {
                    service: service.into(),
                    id: rollout.id,
                    phase,
                };
                self.simulator
                    .call(machine, Call::Propose(command), &mut self.checks);
            }
        }
    }

    /// Looks at the whole history.
    fn check_history(&self) {
        if let Err(wrong) = linearizability::check(&ConfigModel, &self.config_calls()) {
            panic!("configurations: {wrong}\n{}", self.report());
        }
        for service in SERVICES {
            if let Err(wrong) = linearizability::check(&RolloutModel, &self.rollout_calls(service))
            {
                panic!("rollouts of {service}: {wrong}\n{}", self.report());
            }
            self.check_one_rollout_at_a_time(service);
            self.check_executions(service);
        }
    }

    /// How the machines stand, and what broke last, for who reads a failure.
    fn report(&self) -> String {
        let mut lines = vec![format!("at {} ms", self.simulator.now() / MILLI)];
        for machine in 0..self.machines {
            lines.push(match self.simulator.node(machine) {
                None => format!("{machine}: down"),
                Some(node) => {
                    let raft = node.raft();
                    let (own, voters) = (raft.id().incarnation % 1000, raft.voters());
                    let incarnations: Vec<u64> = voters.iter().map(|node_id| node_id.incarnation % 1000).collect();
                    format!(
                        "{machine}: {:?} term {} last {} commit {} incarnation {own} voters {incarnations:?}",
                        raft.role(),
                        raft.term(),
                        raft.last_index(),
                        raft.commit_index()
                    )
                }
            });
        }
        let from = self.faults.len().saturating_sub(30);
        lines.extend(
            self.faults[from..]
                .iter()
                .map(|(at, fault)| format!("{} ms {fault:?}", at / MILLI)),
        );
        lines.join("\n")
    }

    fn config_calls(&self) -> Vec<RecordedCall<ConfigRequest, ConfigResponse>> {
        let mut names: HashMap<Arc<str>, u64> = HashMap::new();
        let mut name = |text: &Arc<str>| {
            let next = names.len() as u64;
            *names.entry(text.clone()).or_insert(next)
        };
        let mut calls = Vec::new();
        for sent in self.sent.values() {
            let request = match &self.orders[sent.order].request {
                OperatorRequest::ReplaceConfig { version, text } => ConfigRequest::Replace {
                    version: *version,
                    document: name(text),
                },
                OperatorRequest::ReadConfig => ConfigRequest::Read,
                OperatorRequest::BeginRollout { .. } | OperatorRequest::ReadRollout { .. } => {
                    continue
                }
            };
            let response = sent.back.as_ref().map(|(at, answer)| {
                let answer = match answer {
                    OperatorResponse::Accepted => ConfigResponse::Accepted,
                    OperatorResponse::Conflict => ConfigResponse::Conflict,
                    OperatorResponse::Config(held) => {
                        ConfigResponse::Current(held.as_ref().map(|(n, text)| (*n, name(text))))
                    }
                    other => panic!("{request:?} was answered {other:?}"),
                };
                (*at, answer)
            });
            if response.is_some() || request != ConfigRequest::Read {
                calls.push(RecordedCall {
                    request,
                    sent: sent.sent,
                    response,
                });
            }
        }
        calls
    }

    fn rollout_calls(&self, of: &str) -> Vec<RecordedCall<RolloutRequest, RolloutResponse>> {
        let mut names: HashMap<(String, u64), u64> = HashMap::new();
        let mut name = |to: &str, within: u64| {
            let next = names.len() as u64;
            *names.entry((to.to_owned(), within)).or_insert(next)
        };
        let mut calls = Vec::new();
        for sent in self.sent.values() {
            let request = match &self.orders[sent.order].request {
                OperatorRequest::BeginRollout {
                    service,
                    target_version,
                    within,
                } if *service == of => RolloutRequest::Begin {
                    order: sent.order as u64,
                    content: name(target_version, *within),
                },
                OperatorRequest::ReadRollout { service } if *service == of => RolloutRequest::Read,
                _ => continue,
            };
            let response = sent.back.as_ref().map(|(at, answer)| {
                let answer = match answer {
                    OperatorResponse::Accepted => RolloutResponse::Accepted,
                    OperatorResponse::Conflict => RolloutResponse::Conflict,
                    OperatorResponse::Rollout(newest) => RolloutResponse::Newest(
                        newest.as_ref().map(|(target_version, within, phase)| {
                            let status = match phase {
                                Phase::Trial | Phase::Promoting => RolloutStatus::Active,
                                Phase::Completed => RolloutStatus::Completed,
                                Phase::RolledBack => RolloutStatus::RolledBack,
                            };
                            (name(target_version, *within), status)
                        }),
                    ),
                    other => panic!("{request:?} was answered {other:?}"),
                };
                (*at, answer)
            });
            if response.is_some() || request != RolloutRequest::Read {
                calls.push(RecordedCall {
                    request,
                    sent: sent.sent,
                    response,
                });
            }
        }
        calls
    }

    /// One rollout of a service at a time, and each ends before the next begins.
    fn check_one_rollout_at_a_time(&self, of: &str) {
        let mut under_way = None;
        for (index, (command, effect, _)) in &self.checks.log {
            match command {
                Command::BeginRollout { service, .. }
                    if service == of && *effect == Effect::ServiceChanged =>
                {
                    assert_eq!(
                        under_way,
                        None,
                        "{of}: another rollout began at {index}\n{}",
                        self.report()
                    );
                    under_way = Some(*index);
                }
                Command::AdvanceRollout {
                    service,
                    id,
                    phase: Phase::Completed | Phase::RolledBack,
                } if service == of && *effect == Effect::ServiceChanged => {
                    assert_eq!(
                        under_way,
                        Some(*id),
                        "{of}: the step at {index}\n{}",
                        self.report()
                    );
                    under_way = None;
                }
                _ => {}
            }
        }
    }

    /// No order ran twice, and none that was acknowledged was passed over: of each content, as many rollouts began by any
    /// moment as orders were sent by then at most; and for each acknowledged order there is an entry of its own time that
    /// took it.
    fn check_executions(&self, service: &str) {
        let entries = self
            .checks
            .log
            .values()
            .filter_map(|(command, effect, at)| match command {
                Command::BeginRollout {
                    service: s,
                    target_version,
                    within,
                    ..
                } if s == service => Some(((target_version.as_str(), *within), effect, *at)),
                _ => None,
            });
        let entries: Vec<_> = entries.collect();
        let orders = self
            .orders
            .iter()
            .enumerate()
            .filter_map(|(i, order)| match &order.request {
                OperatorRequest::BeginRollout {
                    service: s,
                    target_version,
                    within,
                } if *s == service => {
                    Some((i, (target_version.as_str(), *within), order.first_sent))
                }
                _ => None,
            });
        let orders: Vec<_> = orders.collect();
        for (content, _, at) in &entries {
            let ran = |(c, e, a): &&((&str, u64), &Effect, Micros)| {
                c == content && **e == Effect::ServiceChanged && a <= at
            };
            let ran = entries.iter().filter(ran).count();
            let sent = orders
                .iter()
                .filter(|(_, c, sent)| c == content && sent <= at)
                .count();
            assert!(
                ran <= sent,
                "{service} {content:?}: {ran} rollouts for {sent} orders, {:?}",
                self.faults
            );
        }
        for (order, content, first_sent) in &orders {
            let of = |s: &&Sent| s.order == *order;
            let taken = |s: &&Sent| {
                s.back
                    .as_ref()
                    .is_some_and(|(_, answer)| *answer == OperatorResponse::Accepted)
            };
            let Some(first) = self.sent.values().filter(of).find(taken) else {
                continue;
            };
            let acknowledged = first.back.as_ref().map_or(0, |(at, _)| *at);
            let its = |(c, e, at): &&((&str, u64), &Effect, Micros)| {
                c == content && e.is_accepted() && (first_sent..=&acknowledged).contains(&at)
            };
            let taken = entries.iter().find(its);
            assert!(
                taken.is_some(),
                "{service} {content:?}, sent at {first_sent}, was acknowledged and not taken"
            );
        }
    }

    fn totals(&self) -> WorkloadTotals {
        let answered = |wanted: fn(&OperatorResponse) -> bool| {
            let answers = self.sent.values().filter_map(|s| s.back.as_ref());
            answers.filter(|(_, answer)| wanted(answer)).count() as u64
        };
        let effects = self.checks.log.values();
        WorkloadTotals {
            steps: self.simulator.steps(),
            calls: self.sent.len() as u64,
            accepted: answered(|a| *a == OperatorResponse::Accepted),
            rejected: answered(|a| *a == OperatorResponse::Conflict),
            reads: answered(|a| {
                matches!(
                    a,
                    OperatorResponse::Config(_) | OperatorResponse::Rollout(_)
                )
            }),
            unanswered: self.sent.values().filter(|s| s.back.is_none()).count() as u64,
            entries: self.checks.log.len() as u64,
            rollouts: effects
                .filter(|(c, e, _)| {
                    matches!(c, Command::BeginRollout { .. }) && *e == Effect::ServiceChanged
                })
                .count() as u64,
            faults: self.faults.len() as u64,
            wipes: self
                .faults
                .iter()
                .filter(|(_, f)| matches!(f, Fault::Wipe(_)))
                .count() as u64,
        }
    }
}
