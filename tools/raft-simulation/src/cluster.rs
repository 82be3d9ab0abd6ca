//! The agreement of the sorting machines in a simulated world, with clients, and checked after every step.

use crate::fault_injection::RECOVERY;
use crate::{
    address, BootOptions, DiskFault, Effect, Fault, FaultInjector, Input, Micros, NetworkProfile,
    Observer, Process, Simulator, MILLI, SECOND,
};
use magpieline_raft::{
    Action, Config, Envelope, Event, Index, Message, NodeId, Outcome, Payload, PersistentState,
    RaftNode, Role, Term, WriteBatch,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// A core with its state machine, which keeps the numbers of all commands applied.
pub struct SimulatedNode {
    core: RaftNode,
    applied: Vec<u64>,
    /// The last command's place in the log, and the commands since the last snapshot.
    index: Index,
    since: u64,
}

/// What is asked of a tree.
pub enum Call {
    /// The command's number is its request_id; `size` bytes are added.
    Propose {
        request_id: u64,
        size: usize,
    },
    Read {
        request_id: u64,
    },
    GiveWay,
    /// SIGTERM.
    Leave,
}

/// What a tree did.
pub enum Observation {
    /// The command applied, as the how-many-eth.
    Applied {
        place: usize,
        command: u64,
    },
    Restored {
        commands: Vec<u64>,
    },
    /// After so many commands were applied.
    Done {
        request_id: u64,
        outcome: Outcome,
        applied: usize,
    },
}

/// A snapshot after so many commands, and so many bytes in it beside: small logs and large states try more.
const COMPACT_AFTER: u64 = 40;
const BALLAST: usize = 150_000;

impl SimulatedNode {
    pub fn core(&self) -> &RaftNode {
        &self.core
    }

    /// The numbers of all commands applied.
    pub fn applied(&self) -> &[u64] {
        &self.applied
    }

    fn carry_out(&mut self, actions: Vec<Action>, effects: &mut Vec<Effect<SimulatedNode>>) {
        for action in actions {
            effects.push(match action {
                Action::Send(envelope) => Effect::Send {
                    to: envelope.to.address,
                    message: envelope,
                },
                Action::Write { serial, batch } => Effect::Write {
                    serial,
                    write: batch,
                },
                Action::Apply { index, command } => {
                    let number = command
                        .first_chunk()
                        .copied()
                        .map(u64::from_le_bytes)
                        .expect("a number");
                    self.applied.push(number);
                    self.index = index;
                    self.since += 1;
                    Effect::Observation(Observation::Applied {
                        place: self.applied.len() - 1,
                        command: number,
                    })
                }
                Action::Restore { index, state } => {
                    let (count, state) = state.split_first_chunk().expect("a count");
                    let count = u64::from_le_bytes(*count) as usize;
                    let (numbers, _ballast) = state.split_at(8 * count);
                    self.applied = numbers
                        .chunks_exact(8)
                        .map(|number| u64::from_le_bytes(number.try_into().expect("eight")))
                        .collect();
                    self.index = index;
                    self.since = 0;
                    Effect::Observation(Observation::Restored {
                        commands: self.applied.clone(),
                    })
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => Effect::Observation(Observation::Done {
                    request_id,
                    outcome,
                    applied: self.applied.len(),
                }),
            });
        }
    }

    fn state(&self) -> Vec<u8> {
        let mut state = (self.applied.len() as u64).to_le_bytes().to_vec();
        state.extend(self.applied.iter().flat_map(|number| number.to_le_bytes()));
        // By its count, so that some are long and some short.
        state.resize(
            state.len()
                + if self.applied.len().is_multiple_of(3) {
                    BALLAST
                } else {
                    0
                },
            7,
        );
        state
    }
}

impl Process for SimulatedNode {
    type Message = Envelope;
    type Write = WriteBatch;
    type Disk = PersistentState;
    type Call = Call;
    type Observation = Observation;

    fn start(
        boot: &BootOptions,
        now: Micros,
        disk: &PersistentState,
    ) -> (SimulatedNode, Vec<Effect<SimulatedNode>>) {
        let BootOptions {
            address,
            seeds,
            first_run,
            seed,
            tolerated_failures,
            recovery_interval,
            ..
        } = boot.clone();
        let start = Config {
            address,
            seeds,
            first_run,
            seed,
            tolerated_failures,
            recovery_interval,
        };
        let (core, actions) = RaftNode::start(now, start, disk.clone());
        let mut node = SimulatedNode {
            core,
            applied: Vec::new(),
            index: 0,
            since: 0,
        };
        let mut effects = Vec::new();
        node.carry_out(actions, &mut effects);
        (node, effects)
    }

    fn step(&mut self, now: Micros, input: Input<SimulatedNode>) -> Vec<Effect<SimulatedNode>> {
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(envelope) => Event::Receive(envelope),
            Input::Synced(serial) => Event::Persisted { serial },
            Input::Refused(serial) => Event::WriteFailed { serial },
            Input::Call(Call::Propose { request_id, size }) => {
                let mut command = request_id.to_le_bytes().to_vec();
                command.resize(8 + size, 0);
                Event::Propose {
                    request_id,
                    command,
                }
            }
            Input::Call(Call::Read { request_id }) => Event::Read { request_id },
            Input::Call(Call::GiveWay) => Event::StepDown,
            Input::Call(Call::Leave) => Event::Leave,
        };
        let mut effects = Vec::new();
        let actions = self.core.step(now, event);
        self.carry_out(actions, &mut effects);
        if self.since >= COMPACT_AFTER || self.core.should_compact() {
            self.since = 0;
            let event = Event::Compact {
                index: self.index,
                state: self.state(),
            };
            let actions = self.core.step(now, event);
            self.carry_out(actions, &mut effects);
        }
        effects
    }

    fn next_wake(&self) -> Option<Micros> {
        Some(self.core.next_wake())
    }

    fn put(disk: &mut PersistentState, write: WriteBatch) {
        write.apply(disk);
    }
}

/// What must hold whatever breaks.
#[derive(Default)]
struct Checks {
    leaders: BTreeMap<Term, NodeId>,
    /// All commands in force, in order: every machine applies a beginning of it.
    commands: Vec<u64>,
    places: HashMap<u64, usize>,
    /// So many of them are acknowledged, or before one that is.
    acknowledged: usize,
    /// By request_id, what was acknowledged when the read was asked.
    reads: HashMap<u64, usize>,
    votes: HashMap<(NodeId, Term), NodeId>,
    /// Seats that stood on a list of voters some machine had.
    listed: BTreeSet<NodeId>,
    /// Seats whose disk is gone.
    retired: BTreeSet<NodeId>,
    outcomes: BTreeMap<u64, Outcome>,
}

impl Observer<SimulatedNode> for Checks {
    fn sent(&mut self, machine: usize, disk: &PersistentState, envelope: &Envelope) {
        let Envelope {
            from,
            to,
            term,
            message,
        } = envelope;
        assert!(
            !self.retired.contains(from),
            "machine {machine} speaks as {from:?}, whose disk is gone"
        );
        let hard_state = disk
            .hard_state
            .unwrap_or_else(|| panic!("machine {machine} spoke before it wrote: {message:?}"));
        assert!(
            hard_state.incarnation == from.incarnation && hard_state.term >= *term,
            "machine {machine} sent {message:?} in term {term}, its disk has {hard_state:?}"
        );
        let vote = match message {
            Message::VoteRequest { .. } => Some(from),
            Message::VoteResponse { granted: true } => Some(to),
            _ => None,
        };
        if let Some(vote) = vote {
            let kept = hard_state.term > *term || hard_state.vote == Some(*vote);
            assert!(
                kept,
                "machine {machine} voted {vote:?} in {term}, its disk has {hard_state:?}"
            );
            let first = *self.votes.entry((*from, *term)).or_insert(*vote);
            assert_eq!(first, *vote, "{from:?} voted twice in term {term}");
            assert!(self.listed.contains(from), "{from:?} votes and is no voter");
        }
        if let Message::AppendResponse { match_index, .. } = message {
            let covered = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let last = disk.entries.last().map_or(covered, |entry| entry.index);
            assert!(
                last >= *match_index,
                "machine {machine} says it has {match_index}, its disk ends at {last}"
            );
        }
    }

    fn observed(&mut self, machine: usize, note: Observation) {
        match note {
            Observation::Applied { place, command } => self.check_command(machine, place, command),
            Observation::Restored { commands } => {
                for (place, command) in commands.into_iter().enumerate() {
                    self.check_command(machine, place, command);
                }
            }
            Observation::Done {
                request_id,
                outcome,
                applied,
            } => {
                self.outcomes.insert(request_id, outcome);
                if !matches!(outcome, Outcome::Committed { .. }) {
                    return;
                }
                if let Some(floor) = self.reads.get(&request_id) {
                    assert!(
                        applied >= *floor,
                        "read {request_id} at machine {machine}: {applied} of {floor}"
                    );
                } else {
                    let place = self.places.get(&request_id);
                    let place = place
                        .unwrap_or_else(|| panic!("{request_id} acknowledged and not applied"));
                    self.acknowledged = self.acknowledged.max(place + 1);
                }
            }
        }
    }

    fn after_step(&mut self, machine: usize, node: &SimulatedNode) {
        let core = node.core();
        if core.role() == Role::Leader {
            let first = *self.leaders.entry(core.term()).or_insert(core.id());
            assert_eq!(
                first,
                core.id(),
                "two leaders in term {}, one is machine {machine}",
                core.term()
            );
        }
        for voter in core.voters() {
            if !self.listed.contains(voter) {
                self.listed.insert(*voter);
            }
        }
    }
}

impl Checks {
    fn check_command(&mut self, machine: usize, place: usize, command: u64) {
        match self.commands.get(place) {
            Some(known) => assert_eq!(
                command, *known,
                "machine {machine} differs at command {place}"
            ),
            None => {
                assert_eq!(
                    place,
                    self.commands.len(),
                    "machine {machine} applies out of order"
                );
                assert!(
                    self.places.insert(command, place).is_none(),
                    "{command} applied twice"
                );
                self.commands.push(command);
            }
        }
    }
}

/// How a grove is set up.
#[derive(Clone, Copy, Debug)]
pub struct ClusterConfig {
    pub seed: u64,
    /// Machines at the first start; the first three are the seeds and founders.
    pub machines: usize,
    pub net: NetworkProfile,
}

/// What happened in a run, for who wants to see that it was one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTotals {
    pub steps: u64,
    pub seconds: u64,
    pub messages: u64,
    pub acknowledged: u64,
    pub reads: u64,
    pub terms: u64,
    pub faults: u64,
    pub wipes: u64,
}

impl RunTotals {
    pub fn add(&mut self, other: &RunTotals) {
        self.steps += other.steps;
        self.seconds += other.seconds;
        self.messages += other.messages;
        self.acknowledged += other.acknowledged;
        self.reads += other.reads;
        self.terms += other.terms;
        self.faults += other.faults;
        self.wipes += other.wipes;
    }
}

/// Machines that agree, and what they have agreed on.
pub struct Cluster {
    pub simulator: Simulator<SimulatedNode>,
    checks: Checks,
    rng: ChaCha8Rng,
    request_ids: u64,
    machines: usize,
    /// The faults so far, for who reads a failure.
    fault_log: Vec<(Micros, Fault)>,
    /// All are killed right after the next acknowledgement.
    armed: bool,
    /// Machines that are gone for good.
    gone: BTreeSet<usize>,
    /// Machines whose links are cut, by the account of losses.
    pub(crate) cut_off: BTreeSet<usize>,
}

/// Founders named to all at the first start.
const SEEDS: usize = 3;
/// How long a process may take to end after SIGTERM.
pub const GRACE: Micros = 6 * SECOND;
/// Machines added in a run at most.
const MOST_ADDED: usize = 2;

impl Cluster {
    /// Starts all machines for the first time; fewer than half may be lost at once, and catch up in four seconds.
    pub fn new(planting: ClusterConfig) -> Cluster {
        let tolerated_failures = (planting.machines - 1) / 2;
        Cluster::with_tolerance(planting, tolerated_failures, 4 * SECOND)
    }

    /// Starts all machines for the first time. So many may be lost at once, and the next so long after they are back.
    pub fn with_tolerance(
        planting: ClusterConfig,
        tolerated_failures: usize,
        recovery_interval: Micros,
    ) -> Cluster {
        let ClusterConfig {
            seed,
            machines,
            net,
        } = planting;
        let mut cluster = Cluster {
            simulator: Simulator::new(seed, net),
            checks: Checks::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x960e),
            request_ids: 0,
            machines,
            fault_log: Vec::new(),
            armed: false,
            gone: BTreeSet::new(),
            cut_off: BTreeSet::new(),
        };
        cluster.simulator.tolerated_failures = tolerated_failures;
        cluster.simulator.recovery_interval = recovery_interval;
        let seeds: Vec<_> = (0..machines.min(SEEDS)).map(address).collect();
        for _ in 0..machines {
            let machine = cluster.simulator.add(seeds.clone(), true);
            cluster.start(machine);
        }
        cluster
    }

    pub fn start(&mut self, machine: usize) {
        self.simulator.start(machine, &mut self.checks);
    }

    pub fn thaw(&mut self, machine: usize) {
        self.simulator.thaw(machine, &mut self.checks);
    }

    /// The machine loses its disk, and its power. Its settings name machines that may be gone.
    pub fn wipe(&mut self, machine: usize) {
        if let Some(node_id) = self.node_id(machine) {
            self.checks.retired.insert(node_id);
        }
        self.simulator.wipe(machine);
        // As at the first start, its own address among them, or old ones.
        let serves = |seed: &SocketAddrV4| {
            let machines = (0..self.simulator.machines()).filter(|other| address(*other) == *seed);
            machines
                .into_iter()
                .any(|other| other != machine && self.knows_core(other))
        };
        let names_one = self.simulator.boot(machine).seeds.iter().any(serves);
        if self.rng.gen() || !names_one {
            let seeds = self.stale_seeds(machine);
            self.simulator.set_seeds(machine, seeds);
        }
    }

    /// An empty machine is added and started, with old seeds.
    pub fn add(&mut self) -> usize {
        let seeds = self.stale_seeds(self.simulator.machines());
        self.add_with(seeds)
    }

    /// An empty machine is added and started.
    pub fn add_with(&mut self, seeds: Vec<SocketAddrV4>) -> usize {
        let machine = self.simulator.add(seeds, false);
        self.start(machine);
        machine
    }

    /// One that is there, two that are not. The operator's list has machines that serve: one that knows no core yet
    /// stands on it only if there is no other.
    fn stale_seeds(&mut self, machine: usize) -> Vec<SocketAddrV4> {
        let known: Vec<usize> = (0..self.simulator.machines())
            .filter(|other| *other != machine && self.knows_core(*other))
            .collect();
        let there = match known.len() {
            0 => (machine + self.rng.gen_range(1..self.machines.max(2))) % self.machines,
            count => known[self.rng.gen_range(0..count)],
        };
        vec![address(100), address(there), address(101)]
    }

    fn knows_core(&self, machine: usize) -> bool {
        self.node(machine)
            .is_some_and(|node| !node.core.voters().is_empty())
    }

    pub fn node(&self, machine: usize) -> Option<&SimulatedNode> {
        self.simulator.node(machine)
    }

    fn node_id(&self, machine: usize) -> Option<NodeId> {
        let incarnation = self.simulator.disk(machine).hard_state?.incarnation;
        Some(NodeId {
            address: address(machine),
            incarnation,
        })
    }

    /// The machine that leads now by its own word, with a majority behind it.
    pub fn leader(&self) -> Option<usize> {
        (0..self.simulator.machines()).find(|machine| {
            let leads =
                |node: &SimulatedNode| node.core().holds_lease(self.simulator.clock(*machine));
            !self.simulator.is_frozen(*machine) && self.node(*machine).is_some_and(leads)
        })
    }

    /// As many machines vote as bear the losses promised, an odd number of them; all others that run wait for a node_id, and
    /// all have applied all. Where machines are missing, all that run vote, but one of an even number.
    pub fn has_recovered(&self) -> bool {
        let Some(leader) = self.leader().and_then(|leader| self.node(leader)) else {
            return false;
        };
        let (voters, learners) = (leader.core.voters(), leader.core.learners());
        let nodes: Vec<&SimulatedNode> = (0..self.simulator.machines())
            .filter_map(|machine| self.node(machine))
            .collect();
        let waiting = nodes
            .iter()
            .filter(|node| learners.contains(&node.core.id()))
            .count();
        let votes = nodes
            .iter()
            .filter(|node| voters.contains(&node.core.id()))
            .count();
        let wanted = 2 * self.simulator.tolerated_failures + 1;
        let enough = if nodes.len() >= wanted {
            wanted
        } else {
            (nodes.len() - 1) / 2 * 2 + 1
        };
        leader.core.previous_voters().is_none()
            && voters.len() % 2 == 1
            && voters.len() <= wanted
            && votes >= enough
            && votes + waiting == nodes.len()
            && nodes
                .iter()
                .all(|node| node.applied.len() == leader.applied.len())
    }

    /// How many commands are acknowledged, or before one that is.
    pub fn acknowledged(&self) -> usize {
        self.checks.acknowledged
    }

    /// What came of a call.
    pub fn outcome(&self, request_id: u64) -> Option<Outcome> {
        self.checks.outcomes.get(&request_id).copied()
    }

    /// Terms in which somebody led.
    pub fn terms(&self) -> usize {
        self.checks.leaders.len()
    }

    pub fn propose(&mut self, machine: usize, size: usize) -> u64 {
        self.request_ids += 1;
        let call = Call::Propose {
            request_id: self.request_ids,
            size,
        };
        self.simulator.call(machine, call, &mut self.checks);
        self.request_ids
    }

    pub fn read(&mut self, machine: usize) -> u64 {
        self.request_ids += 1;
        self.checks
            .reads
            .insert(self.request_ids, self.checks.acknowledged);
        self.simulator.call(
            machine,
            Call::Read {
                request_id: self.request_ids,
            },
            &mut self.checks,
        );
        self.request_ids
    }

    pub fn give_way(&mut self, machine: usize) {
        self.simulator
            .call(machine, Call::GiveWay, &mut self.checks);
    }

    pub(crate) fn step(&mut self) {
        self.simulator.step(&mut self.checks);
    }

    pub(crate) fn call(&mut self, machine: usize, call: Call) {
        self.simulator.call(machine, call, &mut self.checks);
    }

    pub(crate) fn first_machines(&self) -> usize {
        self.machines
    }

    pub(crate) fn tell(&mut self, fault: Fault) {
        self.fault_log.push((self.simulator.now(), fault));
    }

    /// The machine is gone for good; its disk stays as it is.
    pub fn end(&mut self, machine: usize) {
        self.simulator.kill(machine);
        self.gone.insert(machine);
    }

    /// One that was gone starts, with the disk that it has.
    pub fn revive(&mut self, machine: usize) {
        self.gone.remove(&machine);
        self.start(machine);
    }

    /// SIGTERM: the machine hands on what it has and ends, or is ended after [`GRACE`]. It is then gone, and its disk stays
    /// as it is.
    pub fn leave(&mut self, machine: usize) {
        self.simulator.call(machine, Call::Leave, &mut self.checks);
        let end = self.simulator.now() + GRACE;
        self.run_until(end, |cluster| {
            cluster
                .node(machine)
                .is_none_or(|node| node.core.has_left())
        });
        self.end(machine);
    }

    pub fn run_for(&mut self, span: Micros) {
        let end = self.simulator.now() + span;
        self.run_until(end, |_| false);
    }

    /// Until the condition holds, looked at after every step; false if it has not by `end`.
    pub fn run_until(&mut self, end: Micros, holds: impl Fn(&Cluster) -> bool) -> bool {
        loop {
            if holds(self) {
                return true;
            }
            match self.simulator.next_at() {
                Some(at) if at <= end => self.simulator.step(&mut self.checks),
                _ => {
                    self.simulator.pass(end);
                    return holds(self);
                }
            }
        }
    }

    /// Whether the rules of losses allow that this machine's disk goes, too: of no list of voters that any other machine
    /// goes by, or that is on its way to one, is half or more gone, nor more than `tolerated_failures`.
    fn may_wipe(&self, machine: usize) -> bool {
        let Some(node_id) = self.node_id(machine) else {
            return false;
        };
        let enough = |voters: &[NodeId]| {
            let gone = voters
                .iter()
                .filter(|voter| **voter == node_id || self.checks.retired.contains(*voter));
            let gone: BTreeSet<_> = gone.map(|voter| voter.address).collect();
            let all: BTreeSet<_> = voters.iter().map(|voter| voter.address).collect();
            // More than is to be borne at once is so much less to be borne by the list that is left.
            2 * gone.len()
                < all
                    .len()
                    .min(2 * self.simulator.tolerated_failures + 1)
                    .max(1)
        };
        let on_the_way = self
            .simulator
            .under_way()
            .all(|envelope| match &envelope.message {
                Message::AppendEntries { entries, .. } => {
                    entries.iter().all(|entry| match &entry.payload {
                        Payload::Voters(voters) => enough(&voters.voters),
                        Payload::Noop | Payload::Command { .. } | Payload::LeaveJoint => true,
                    })
                }
                Message::InstallSnapshot { voters, .. } => enough(&voters.voters),
                _ => true,
            });
        on_the_way
            && (0..self.simulator.machines())
                .filter(|other| *other != machine)
                .all(|other| {
                    // By what it knows, and by what it would know after a loss of power.
                    let rebooted = SimulatedNode::start(
                        self.simulator.boot(other),
                        0,
                        self.simulator.disk(other),
                    )
                    .0;
                    let fits = |node: &SimulatedNode| {
                        // Any of those being filled may be on the list before its loss is noticed.
                        let voters = node.core.voters();
                        let soon = node
                            .core
                            .learners()
                            .into_iter()
                            .map(|node_id| [voters, &[node_id]].concat());
                        let before = node.core.previous_voters();
                        enough(voters)
                            && soon.into_iter().all(|list| enough(&list))
                            && before.is_none_or(enough)
                    };
                    self.node(other).is_none_or(fits) && fits(&rebooted)
                })
    }

    /// Breaks and mends things for so many steps, with clients calling, then mends all and looks whether everything that
    /// was acknowledged is there and the machines are whole again. Panics if not.
    pub fn run_with_random_faults(&mut self, seed: u64, steps: u64) {
        let calm = self.simulator.net;
        let pause = [500 * MILLI, 2 * SECOND, 8 * SECOND][(seed % 3) as usize];
        let mut injector = FaultInjector::new(seed, SECOND / 2, pause, calm);
        let mut call_at = 0;
        let mut seen = 0;
        while self.simulator.steps() < steps {
            if self.acknowledged() > seen {
                seen = self.acknowledged();
                self.strike(&mut injector);
            }
            let next = injector.next_at().min(call_at);
            if self.simulator.next_at().is_some_and(|at| at <= next) {
                self.simulator.step(&mut self.checks);
                continue;
            }
            self.simulator.pass(next);
            if let Some(fault) = injector.act(&mut self.simulator, &mut self.checks) {
                self.apply_fault(&mut injector, fault);
            }
            if self.simulator.now() >= call_at {
                call_at = self.simulator.now() + self.rng.gen_range(MILLI..100 * MILLI);
                self.call_by_chance();
            }
        }
        injector.end(&mut self.simulator, &mut self.checks);
        self.recover();
    }

    /// What waits for an acknowledgement to come right after it: one disk is lost, if the rules allow it, and all processes
    /// end or all power goes.
    fn strike(&mut self, injector: &mut FaultInjector) {
        if std::mem::take(&mut self.armed) {
            let machine = self.rng.gen_range(0..self.simulator.machines());
            self.apply_fault(injector, Fault::Wipe(machine));
            self.fault_log.push((self.simulator.now(), Fault::KillAll));
            injector.inject(&mut self.simulator, Fault::KillAll);
        }
    }

    fn apply_fault(&mut self, injector: &mut FaultInjector, fault: Fault) {
        match fault {
            Fault::Wipe(machine) if !self.may_wipe(machine) => return,
            Fault::Wipe(machine) => self.wipe(machine),
            Fault::KillAll => {
                self.armed = true;
                return;
            }
            Fault::AddNode if self.simulator.machines() >= self.machines + MOST_ADDED => return,
            Fault::AddNode => {
                self.add();
            }
            _ => {}
        }
        self.fault_log.push((self.simulator.now(), fault));
        injector.inject(&mut self.simulator, fault);
    }

    pub(crate) fn call_by_chance(&mut self) {
        let anyone = self.rng.gen_range(0..self.simulator.machines());
        let machine = if self.rng.gen_ratio(1, 5) {
            anyone
        } else {
            self.leader().unwrap_or(anyone)
        };
        match self.rng.gen_range(0..100) {
            0..=69 => {
                let size = if self.rng.gen_ratio(1, 30) {
                    100_000
                } else {
                    self.rng.gen_range(0..300)
                };
                self.propose(machine, size);
            }
            70..=98 => {
                // All that think they lead are asked: one of them may be of the past.
                let leads = |node: &SimulatedNode| node.core().role() == Role::Leader;
                let asked: Vec<usize> = (0..self.simulator.machines())
                    .filter(|other| *other == machine || self.node(*other).is_some_and(leads))
                    .collect();
                for machine in asked {
                    self.read(machine);
                }
            }
            _ => self.give_way(machine),
        }
    }

    /// After all is mended: a leader, every machine a voter, everything acknowledged read back, and then quiet.
    pub(crate) fn recover(&mut self) {
        for machine in (0..self.simulator.machines())
            .filter(|machine| !self.gone.contains(machine))
            .collect::<Vec<_>>()
        {
            self.start(machine);
            self.thaw(machine);
            self.simulator.set_disk_fault(machine, DiskFault::None);
        }
        let end = self.simulator.now() + RECOVERY;
        assert!(
            self.run_until(end, Cluster::has_recovered),
            "not whole again: {}",
            self.report()
        );
        // An election begun before may still be under way: the call then goes to the next leader.
        let done = (0..3).any(|_| {
            let Some(leader) = self.leader() else {
                return false;
            };
            let request_ids = [self.propose(leader, 0), self.read(leader)];
            let caught_up = |cluster: &Cluster| {
                let committed = |request_id| {
                    matches!(cluster.outcome(request_id), Some(Outcome::Committed { .. }))
                };
                let nodes =
                    (0..cluster.simulator.machines()).filter_map(|machine| cluster.node(machine));
                let count = cluster.checks.commands.len();
                request_ids.into_iter().all(committed)
                    && nodes.into_iter().all(|node| node.applied().len() == count)
            };
            self.run_until(self.simulator.now() + 2 * SECOND, caught_up)
        });
        assert!(done, "not all have all: {}", self.report());
        let leader = self.leader();
        let terms = self.terms();
        self.run_for(3 * SECOND);
        assert_eq!(
            (self.leader(), self.terms()),
            (leader, terms),
            "no quiet: {}",
            self.report()
        );
    }

    pub fn totals(&self) -> RunTotals {
        let committed = |request_id: &&u64| {
            matches!(self.outcome(**request_id), Some(Outcome::Committed { .. }))
        };
        RunTotals {
            steps: self.simulator.steps(),
            seconds: self.simulator.now() / SECOND,
            messages: self.simulator.messages(),
            acknowledged: self.acknowledged() as u64,
            reads: self.checks.reads.keys().filter(committed).count() as u64,
            terms: self.terms() as u64,
            faults: self.fault_log.len() as u64,
            wipes: self
                .fault_log
                .iter()
                .filter(|(_, fault)| matches!(fault, Fault::Wipe(_)))
                .count() as u64,
        }
    }

    /// What broke and how the machines stand, for who reads a failure.
    pub fn report(&self) -> String {
        let mut lines = vec![format!(
            "at {} ms after {} steps",
            self.simulator.now() / MILLI,
            self.simulator.steps()
        )];
        for machine in 0..self.simulator.machines() {
            lines.push(match self.node(machine) {
                None => format!("{machine}: down"),
                Some(node) => {
                    let core = node.core();
                    let lives: Vec<_> = core.voters().iter().map(|node_id| (node_id.address.ip().octets()[3], node_id.incarnation % 1000)).collect();
                    format!(
                        "{machine}: {:?} term {} last {} commit {} life {} voters {lives:?} learners {:?} before {:?} contacts {:?}",
                        core.role(), core.term(), core.last_index(), core.commit_index(), core.id().incarnation % 1000,
                        core.learners().len(), core.previous_voters().map(<[NodeId]>::len), core.peers()
                    )
                }
            });
        }
        let from = self.fault_log.len().saturating_sub(25);
        let told = |(at, (_, fault)): &(usize, &(Micros, Fault))| {
            *at >= from
                || matches!(
                    fault,
                    Fault::Wipe(_)
                        | Fault::AddNode
                        | Fault::Lost(_)
                        | Fault::Decommission(_)
                        | Fault::Replace { .. }
                )
        };
        let fault_log = self.fault_log.iter().enumerate().filter(told);
        lines.extend(fault_log.map(|(_, (at, fault))| format!("{} ms {fault:?}", at / MILLI)));
        lines.join("\n")
    }
}
