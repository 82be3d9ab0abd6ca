//! Operators who call the controllers while things break: several at once, repeating what got no clear response (or had one
//! already), at any controller, with responses lost on their way. What they saw is checked at the end as a history; what
//! the controllers did, after every step.

mod checks;
mod history;

use crate::operator_node::{Call, OperatorNode, OperatorRequest, OperatorResponse, RECEIPT};
use crate::{
    address, DiskFault, Fault, FaultInjector, Micros, NetworkProfile, Process, Simulator, MILLI,
    SECOND,
};
use checks::Checks;
use magpieline_control_plane::state_machine::{Command, Phase};
use magpieline_raft::RaftNode;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Calls in progress at once.
const MAX_CONCURRENT_CALLS: usize = 8;
/// An operator waits so long for a response, and follows so many redirects.
const RESPONSE_TIMEOUT: Micros = SECOND;
const MAX_REDIRECTS: u32 = 2;
/// A configuration is sent until it is accepted, for so long.
const MAX_RETRY_TIME: Micros = 40 * SECOND;
/// The longest way of a call or of a response. Calls that are held up longer are dropped with their connection.
const MAX_DELIVERY_DELAY: Micros = 300 * MILLI;
/// The same version is ordered anew only this long after it was last sent: that is no copy any more.
const REPEAT_ORDER_AFTER: Micros = RECEIPT + MILLI;
/// A wiped controller is back within three seconds, and has what it needs some seconds after.
const MIN_WIPE_INTERVAL: Micros = 8 * SECOND;
const SERVICES: [&str; 2] = ["alpha", "beta"];
/// The time that rollouts may take.
const WITHIN: u64 = 12 * SECOND;

/// What an operator asks for, in one call or several copies of it.
struct Order {
    request: OperatorRequest,
    first_sent: Micros,
    /// Nothing is sent after this.
    until: Micros,
    /// When it is sent next; None while a copy is in progress, or it is over.
    next_at: Option<Micros>,
    pause: Micros,
    /// Copies that are still to be sent after a clear answer.
    copies: u32,
}

/// One copy of an order, as it was sent.
struct SentCall {
    order: usize,
    sent: Micros,
    redirects: u32,
    /// The times of day at the controllers that it reached, when it did.
    times_of_day: Vec<Micros>,
    response: Option<(Micros, OperatorResponse)>,
    /// Whether a controller answered that it can't tell it from a copy, and did nothing.
    is_unclear: bool,
    /// Whether the operator still waits.
    open: bool,
}

enum Delivery {
    Request { id: u64, machine: usize },
    Response { id: u64, response: OperatorResponse },
    Timeout { id: u64 },
}

/// What happened in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkloadTotals {
    /// Steps of processes.
    pub steps: u64,
    /// Calls sent.
    pub calls: u64,
    /// Changes accepted.
    pub accepted: u64,
    /// Changes rejected.
    pub rejected: u64,
    /// Reads answered.
    pub reads: u64,
    /// Calls without a clear answer.
    pub unanswered: u64,
    /// Commands applied.
    pub entries: u64,
    /// Rollouts begun.
    pub rollouts: u64,
    /// Faults injected.
    pub faults: u64,
    /// Disks lost.
    pub wipes: u64,
}

impl WorkloadTotals {
    /// Adds another run's totals.
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

/// Controllers, operators, and what breaks.
pub struct OperatorWorkload {
    simulator: Simulator<OperatorNode>,
    checks: Checks,
    injector: FaultInjector,
    rng: ChaCha8Rng,
    machines: usize,
    orders: Vec<Order>,
    sent: BTreeMap<u64, SentCall>,
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
    /// Starts so many controllers for the first time.
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

    /// Lets operators call and things break for so many steps; then all is repaired, all is read back and the history is
    /// checked. Panics with what is wrong.
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
                .any(|s| s.order == order && s.response.is_some());
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

    /// Lets the next thing happen, at `end` at the latest.
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
            if response == OperatorResponse::NotKnownYet {
                self.sent.get_mut(&id).expect("sent").is_unclear = true;
            }
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

    /// Whether a disk may be lost: only while all machines run and vote by one list that is committed, by what they know and by what they would know
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

    /// Does what is due on the operators' side.
    fn act(&mut self) {
        let now = self.simulator.now();
        if now >= self.order_at {
            self.order_at = now + self.rng.gen_range(20 * MILLI..600 * MILLI);
            let active_calls = self.sent.values().filter(|s| s.open).count();
            if active_calls < MAX_CONCURRENT_CALLS {
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

    /// Draws a new version, or one whose last order has no copies any more.
    fn version(&mut self, service: &str) -> (String, u64) {
        let now = self.simulator.now();
        let mut last: BTreeMap<(&str, u64), Micros> = BTreeMap::new();
        for call in self.sent.values() {
            if let OperatorRequest::BeginRollout {
                service: s,
                target_version,
                within,
            } = &self.orders[call.order].request
            {
                if *s == service {
                    last.insert((target_version, *within), call.sent);
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
            SentCall {
                order,
                sent: now,
                redirects: 0,
                times_of_day: Vec::new(),
                response: None,
                is_unclear: false,
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
        let time_of_day = self.simulator.time_of_day(machine);
        let sent = self.sent.get_mut(&id).expect("sent");
        sent.times_of_day.push(time_of_day);
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
            OperatorResponse::Redirect(_)
            | OperatorResponse::Unavailable
            | OperatorResponse::NotKnownYet => {
                sent.open = false;
                return self.retry(order);
            }
            clear => {
                sent.response = Some((now, clear));
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

    /// Sends the same again after a pause that grows, as there was no clear response.
    fn retry(&mut self, order: usize) {
        let at = self.simulator.now() + self.rng.gen_range(MILLI..self.orders[order].pause);
        let order = &mut self.orders[order];
        order.pause = (2 * order.pause).min(SECOND);
        order.next_at = Some(at);
    }

    /// Decides on rollouts, as the rollout controller of a leader does.
    fn advance_rollouts(&mut self) {
        for machine in 0..self.machines {
            let Some(node) = self.simulator.node(machine) else {
                continue;
            };
            if node.raft().leader() != Some(node.raft().id().address) {
                continue;
            }
            let active_calls = SERVICES
                .iter()
                .filter_map(|s| Some((*s, node.state().active_rollout(s)?.clone())));
            for (service, rollout) in active_calls.collect::<Vec<_>>() {
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
}
