//! A cluster of Raft nodes on the simulator, with clients and random faults; checked after every step.

use crate::cluster_checks::ClusterChecks;
use crate::fault_injection::RECOVERY;
use crate::simulated_node::{Call, SimulatedNode};
use crate::{
    address, DiskFault, Fault, FaultInjector, Micros, NetworkProfile, Process, Simulator, MILLI,
    SECOND,
};
use magpieline_raft::{Message, NodeId, Outcome, Payload, Role};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// How a cluster is set up.
#[derive(Clone, Copy, Debug)]
pub struct ClusterConfig {
    /// What everything random is drawn from.
    pub seed: u64,
    /// Machines at the first start; the first three are the seeds and founders.
    pub machines: usize,
    /// The network.
    pub net: NetworkProfile,
}

/// What happened in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTotals {
    /// Steps of processes.
    pub steps: u64,
    /// Simulated time.
    pub seconds: u64,
    /// Messages sent.
    pub messages: u64,
    /// Commands acknowledged, or before one that is.
    pub acknowledged: u64,
    /// Reads confirmed.
    pub reads: u64,
    /// Terms in which somebody led.
    pub terms: u64,
    /// Faults injected.
    pub faults: u64,
    /// Disks lost.
    pub wipes: u64,
}

impl RunTotals {
    /// Adds another run's totals.
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

/// Machines that run consensus, with clients and checks.
pub struct Cluster {
    /// What they run on.
    pub simulator: Simulator<SimulatedNode>,
    checks: ClusterChecks,
    rng: ChaCha8Rng,
    request_ids: u64,
    machines: usize,
    /// The faults so far.
    fault_log: Vec<(Micros, Fault)>,
    /// All are killed right after the next acknowledgement.
    kill_all_next: bool,
    /// Machines that are gone for good.
    removed: BTreeSet<usize>,
    /// Machines whose links are cut, by the account of losses.
    pub(crate) cut_off: BTreeSet<usize>,
}

/// Machines that are named to all at the first start.
const SEEDS: usize = 3;
/// How long a process may take to end after SIGTERM.
pub(crate) const GRACE: Micros = 6 * SECOND;
/// Machines added in a run at most.
const MAX_ADDED: usize = 2;

impl Cluster {
    /// Starts all machines for the first time; fewer than half may be lost at once, and catch up in four seconds.
    pub fn new(config: ClusterConfig) -> Cluster {
        let tolerated_failures = (config.machines - 1) / 2;
        Cluster::with_tolerance(config, tolerated_failures, 4 * SECOND)
    }

    /// Starts all machines for the first time. So many may be lost at once, and the next so long after they are back.
    pub fn with_tolerance(
        config: ClusterConfig,
        tolerated_failures: usize,
        recovery_interval: Micros,
    ) -> Cluster {
        let ClusterConfig {
            seed,
            machines,
            net,
        } = config;
        let mut cluster = Cluster {
            simulator: Simulator::new(seed, net),
            checks: ClusterChecks::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x960e),
            request_ids: 0,
            machines,
            fault_log: Vec::new(),
            kill_all_next: false,
            removed: BTreeSet::new(),
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

    /// Starts a machine's process if it does not run.
    pub fn start(&mut self, machine: usize) {
        self.simulator.start(machine, &mut self.checks);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&mut self, machine: usize) {
        self.simulator.thaw(machine, &mut self.checks);
    }

    /// Wipes a machine: it loses its disk, and its power. Its settings name machines that may be gone.
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
                .any(|other| other != machine && self.knows_cluster(other))
        };
        let names_one = self.simulator.boot(machine).seeds.iter().any(serves);
        if self.rng.gen() || !names_one {
            let seeds = self.stale_seeds(machine);
            self.simulator.set_seeds(machine, seeds);
        }
    }

    /// Adds and starts an empty machine, with stale seeds.
    pub fn add(&mut self) -> usize {
        let seeds = self.stale_seeds(self.simulator.machines());
        self.add_with(seeds)
    }

    /// Adds and starts an empty machine.
    pub fn add_with(&mut self, seeds: Vec<SocketAddrV4>) -> usize {
        let machine = self.simulator.add(seeds, false);
        self.start(machine);
        machine
    }

    /// One that is there, two that are not. The operator's list has machines that serve: one that knows no core yet
    /// stands on it only if there is no other.
    fn stale_seeds(&mut self, machine: usize) -> Vec<SocketAddrV4> {
        let known: Vec<usize> = (0..self.simulator.machines())
            .filter(|other| *other != machine && self.knows_cluster(*other))
            .collect();
        let there = match known.len() {
            0 => (machine + self.rng.gen_range(1..self.machines.max(2))) % self.machines,
            count => known[self.rng.gen_range(0..count)],
        };
        vec![address(100), address(there), address(101)]
    }

    fn knows_cluster(&self, machine: usize) -> bool {
        self.node(machine)
            .is_some_and(|node| !node.raft().voters().is_empty())
    }

    /// Returns the process of a machine, if it runs.
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

    /// Returns the machine that holds the lease now.
    pub fn leader(&self) -> Option<usize> {
        (0..self.simulator.machines()).find(|machine| {
            let leads =
                |node: &SimulatedNode| node.raft().holds_lease(self.simulator.clock(*machine));
            !self.simulator.is_frozen(*machine) && self.node(*machine).is_some_and(leads)
        })
    }

    /// As many machines vote as bear the losses promised, an odd number of them; all others that run wait to vote, and
    /// all have applied all. Where machines are missing, all that run vote, but one of an even number.
    pub fn has_recovered(&self) -> bool {
        let Some(leader) = self.leader().and_then(|leader| self.node(leader)) else {
            return false;
        };
        let (voters, learners) = (leader.raft().voters(), leader.raft().learners());
        let nodes: Vec<&SimulatedNode> = (0..self.simulator.machines())
            .filter_map(|machine| self.node(machine))
            .collect();
        let waiting = nodes
            .iter()
            .filter(|node| learners.contains(&node.raft().id()))
            .count();
        let votes = nodes
            .iter()
            .filter(|node| voters.contains(&node.raft().id()))
            .count();
        let wanted = 2 * self.simulator.tolerated_failures + 1;
        let enough = if nodes.len() >= wanted {
            wanted
        } else {
            (nodes.len() - 1) / 2 * 2 + 1
        };
        leader.raft().previous_voters().is_none()
            && voters.len() % 2 == 1
            && voters.len() <= wanted
            && votes >= enough
            && votes + waiting == nodes.len()
            && nodes
                .iter()
                .all(|node| node.applied().len() == leader.applied().len())
    }

    /// Returns how many commands are acknowledged, or come before one that is.
    pub fn acknowledged(&self) -> usize {
        self.checks.acknowledged
    }

    /// Returns how a request ended.
    pub fn outcome(&self, request_id: u64) -> Option<Outcome> {
        self.checks.outcomes.get(&request_id).copied()
    }

    /// Returns the number of terms in which somebody led.
    pub fn terms(&self) -> usize {
        self.checks.leaders.len()
    }

    /// Proposes a command of `size` bytes at a machine. Returns the request's id.
    pub fn propose(&mut self, machine: usize, size: usize) -> u64 {
        self.request_ids += 1;
        let call = Call::Propose {
            request_id: self.request_ids,
            size,
        };
        self.simulator.call(machine, call, &mut self.checks);
        self.request_ids
    }

    /// Asks a machine to confirm that it leads. Returns the request's id.
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

    /// Runs until the first leader stands.
    ///
    /// # Panics
    ///
    /// If there is none within a second.
    pub fn run_until_first_leader(&mut self) {
        assert!(
            self.run_until(SECOND, |cluster| cluster.leader().is_some()),
            "a first leader within a second"
        );
    }

    /// Asks a machine to hand its leadership on.
    pub fn step_down(&mut self, machine: usize) {
        self.simulator
            .call(machine, Call::StepDown, &mut self.checks);
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

    pub(crate) fn record_fault(&mut self, fault: Fault) {
        self.fault_log.push((self.simulator.now(), fault));
    }

    /// Removes a machine for good; its disk stays as it is.
    pub fn remove(&mut self, machine: usize) {
        self.simulator.kill(machine);
        self.removed.insert(machine);
    }

    /// Starts one that was removed, with the disk that it has.
    pub fn revive(&mut self, machine: usize) {
        self.removed.remove(&machine);
        self.start(machine);
    }

    /// Sends SIGTERM: the machine hands on what it has and ends, or is ended after `GRACE`. It is then gone, and its disk stays
    /// as it is.
    pub fn leave(&mut self, machine: usize) {
        self.simulator.call(machine, Call::Leave, &mut self.checks);
        let end = self.simulator.now() + GRACE;
        self.run_until(end, |cluster| {
            cluster
                .node(machine)
                .is_none_or(|node| node.raft().has_left())
        });
        self.remove(machine);
    }

    /// Runs for a span of time.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.simulator.now() + span;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds, which is checked after every step. Returns false if it has not by `end`.
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
        let in_flight_allows = self
            .simulator
            .in_flight()
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
        in_flight_allows
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
                        let voters = node.raft().voters();
                        let soon = node
                            .raft()
                            .learners()
                            .into_iter()
                            .map(|node_id| [voters, &[node_id]].concat());
                        let before = node.raft().previous_voters();
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
                self.kill_all_if_due(&mut injector);
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
                self.call_randomly();
            }
        }
        injector.end(&mut self.simulator, &mut self.checks);
        self.recover();
    }

    /// What waits for an acknowledgement to come right after it: one disk is lost, if the rules allow it, and all processes
    /// end or all power goes.
    fn kill_all_if_due(&mut self, injector: &mut FaultInjector) {
        if std::mem::take(&mut self.kill_all_next) {
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
                self.kill_all_next = true;
                return;
            }
            Fault::AddNode if self.simulator.machines() >= self.machines + MAX_ADDED => return,
            Fault::AddNode => {
                self.add();
            }
            _ => {}
        }
        self.fault_log.push((self.simulator.now(), fault));
        injector.inject(&mut self.simulator, fault);
    }

    pub(crate) fn call_randomly(&mut self) {
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
                let leads = |node: &SimulatedNode| node.raft().role() == Role::Leader;
                let asked: Vec<usize> = (0..self.simulator.machines())
                    .filter(|other| *other == machine || self.node(*other).is_some_and(leads))
                    .collect();
                for machine in asked {
                    self.read(machine);
                }
            }
            _ => self.step_down(machine),
        }
    }

    /// After all is repaired: a leader, every machine a voter, everything acknowledged read back, and then quiet.
    pub(crate) fn recover(&mut self) {
        for machine in (0..self.simulator.machines())
            .filter(|machine| !self.removed.contains(machine))
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

    /// Returns what happened so far.
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

    /// Describes the machines and the latest faults, for the message of a failed check.
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
                    let raft = node.raft();
                    let incarnations: Vec<_> = raft.voters().iter().map(|node_id| (node_id.address.ip().octets()[3], node_id.incarnation % 1000)).collect();
                    format!(
                        "{machine}: {:?} term {} last {} commit {} incarnation {} voters {incarnations:?} learners {:?} before {:?} contacts {:?}",
                        raft.role(), raft.term(), raft.last_index(), raft.commit_index(), raft.id().incarnation % 1000,
                        raft.learners().len(), raft.previous_voters().map(<[NodeId]>::len), raft.peers()
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
