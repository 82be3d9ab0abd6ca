//! Hundreds of changes, one after the other, while controllers are restarted, wiped, frozen, partitioned, and their disks are
//! slow, hang, are full or corrupt: one disruption at a time, and each has to be over within a bound though the changes go on.
//!
//! What runs is all of a controller but its sockets: the Raft node, the state agreed on and the store, which lies in memory
//! here and is opened again at each start without having been closed.

use crate::store_node::{hash, Call, StoreChecks, StoreNode};
use crate::{address, DiskFault, Micros, NetworkProfile, Simulator, MILLI, SECOND};
use magpieline_control_plane::state_machine::{Command, StoredConfig};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// How a run is set up.
#[derive(Clone, Copy, Debug)]
pub struct LongRunConfig {
    /// What everything random is drawn from.
    pub seed: u64,
    /// How many controllers.
    pub machines: usize,
    /// The network.
    pub net: NetworkProfile,
    /// Bytes a second that a machine sends.
    pub rate: Option<u64>,
    /// How many changes are made.
    pub changes: u64,
    /// Bytes of a configuration.
    pub size: usize,
    /// The time between two changes, at least.
    pub pause: Micros,
    /// A machine is up again within this time after its disruption, though the changes go on.
    pub recovery_interval: Micros,
}

/// What a machine goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// It restarts.
    Restart,
    /// Its disk is empty.
    Wipe,
    /// Bits flipped in its store while it was down.
    Corrupt,
    /// It stops for a while.
    Freeze,
    /// It is partitioned, at least one way.
    Cut,
    /// Its disk is in trouble.
    Disk(DiskFault),
    /// The leader steps down while a machine that lost its disk is being filled.
    LeaderWhileFilled,
    /// Nothing reaches it for a moment while it is being filled: all that is on its way is lost.
    CutWhileFilled,
}

const DISRUPTIONS: [Disruption; 10] = [
    Disruption::Restart,
    Disruption::Wipe,
    Disruption::Corrupt,
    Disruption::Freeze,
    Disruption::Cut,
    Disruption::Disk(DiskFault::Slow),
    Disruption::Disk(DiskFault::Hung),
    Disruption::Disk(DiskFault::Full),
    Disruption::LeaderWhileFilled,
    Disruption::CutWhileFilled,
];

/// How a run went.
#[derive(Clone, Debug, Default)]
pub struct LongRunSummary {
    /// The highest version that was acknowledged.
    pub acknowledged: u64,
    /// How many disruptions there were.
    pub disruptions: u64,
    /// How many corrupt stores were quarantined.
    pub quarantined: u64,
    /// How long machines took to be up again, by disruption, in microseconds.
    pub recovery_times: Vec<(Disruption, Micros)>,
    /// The most bytes that one machine's files took.
    pub max_disk_bytes: u64,
    /// Terms in which somebody led.
    pub terms: u64,
    /// The longest time that a change took until it was acknowledged.
    pub longest_change: Micros,
}

/// A run: controllers, and changes that are sent to them.
pub struct LongRun {
    /// What the controllers run on.
    pub simulator: Simulator<StoreNode>,
    config: LongRunConfig,
    checks: StoreChecks,
    rng: ChaCha8Rng,
    /// The change in progress: its request, when it was first sent, and when last.
    pending: Option<(u64, Micros, Micros)>,
    request_ids: u64,
    next_at: Micros,
    longest_change: Micros,
    /// The routes of the newest configuration.
    routes: Vec<String>,
}

/// Draws a route as operators send it.
fn route(rng: &mut ChaCha8Rng) -> String {
    let mut name = || -> String {
        (0..7)
            .map(|_| char::from(rng.gen_range(b'a'..=b'z')))
            .collect()
    };
    let (route, prefix, service) = (name(), name(), name());
    format!(
        "{{\"name\":\"r-{route}\",\"sort\":\"safe\",\"target\":\"600ms\",\"precedence\":2,\
        \"sorting\":{{\"lane_prefix\":\"/{prefix}/\"}},\"dispatch\":{{\"service\":\"{service}\",\
        \"give_up\":\"1500ms\",\"tries\":2}}}}"
    )
}

/// Machines that are named to all at the first start.
const SEEDS: usize = 3;
/// Operators repeat a change after a second without a response.
const RETRY_INTERVAL: Micros = SECOND;

impl LongRun {
    /// Starts all controllers for the first time. Panics if they do not come up.
    pub fn new(config: LongRunConfig) -> LongRun {
        let mut simulator = Simulator::new(config.seed, config.net);
        simulator.rate = config.rate;
        let mut checks = StoreChecks::default();
        let seeds: Vec<_> = (0..config.machines.min(SEEDS)).map(address).collect();
        for _ in 0..config.machines {
            let machine = simulator.add(seeds.clone(), true);
            simulator.start(machine, &mut checks);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ 0x5ea50);
        let routes = (0..config.size / 180 + 1)
            .map(|_| route(&mut rng))
            .collect();
        let mut run = LongRun {
            simulator,
            config,
            checks,
            rng,
            pending: None,
            request_ids: 0,
            next_at: SECOND,
            longest_change: 0,
            routes,
        };
        let whole = |run: &LongRun| (0..config.machines).all(|machine| run.is_up(machine));
        assert!(run.run_until(10 * SECOND, whole), "no beginning");
        run
    }

    /// Returns the machine that holds the lease now.
    pub fn leader(&self) -> Option<usize> {
        (0..self.simulator.machines()).find(|machine| {
            let leads = |node: &StoreNode| node.raft().holds_lease(self.simulator.clock(*machine));
            !self.simulator.is_frozen(*machine) && self.simulator.node(*machine).is_some_and(leads)
        })
    }

    /// Whether it votes, and has applied at least the change before the newest.
    fn is_up(&self, machine: usize) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let (Some(node), Some(led)) = (self.simulator.node(machine), self.simulator.node(leader))
        else {
            return false;
        };
        let held = |node: &StoreNode| {
            node.state()
                .config
                .as_ref()
                .map_or(0, |config| config.version)
        };
        // A voter counts once the list that has it is committed: until then the machine is one of those that are lost.
        let votes = led.raft().voters().contains(&node.raft().id())
            && led.raft().previous_voters().is_none();
        votes && !self.simulator.is_frozen(machine) && held(node) + 1 >= held(led)
    }

    fn next_config(&mut self) -> Command {
        let number = self
            .checks
            .requested
            .values()
            .max()
            .map_or(1, |highest| highest + 1);
        for _ in 0..self.rng.gen_range(1..20) {
            let at = self.rng.gen_range(0..self.routes.len());
            self.routes[at] = route(&mut self.rng);
        }
        let text = format!(
            "{{\"edition\":{number},\"regulations\":[{}]}}",
            self.routes.join(",")
        );
        Command::ReplaceConfig(StoredConfig {
            version: number,
            text: text.into(),
        })
    }

    /// Sends the next change, or the one in progress again, if it is time.
    fn send_change(&mut self) {
        let now = self.simulator.now();
        let begun = match self.pending {
            Some((request_id, begun, _)) if self.checks.completed.contains(&request_id) => {
                self.pending = None;
                self.longest_change = self.longest_change.max(now - begun);
                self.next_at = now
                    + self
                        .rng
                        .gen_range(self.config.pause..=2 * self.config.pause);
                return;
            }
            Some((_, begun, at)) if now >= at + RETRY_INTERVAL => begun,
            Some(_) => return,
            None if now >= self.next_at => now,
            None => return,
        };
        let Some(leader) = self.leader() else { return };
        let command = self.next_config();
        let Command::ReplaceConfig(config) = &command else {
            return;
        };
        self.request_ids += 1;
        self.checks
            .requested
            .insert(self.request_ids, config.version);
        self.pending = Some((self.request_ids, begun, now));
        let call = Call::Propose {
            request_id: self.request_ids,
            command: command.encode(),
        };
        self.simulator.call(leader, call, &mut self.checks);
    }

    fn run_until(&mut self, span: Micros, holds: impl Fn(&LongRun) -> bool) -> bool {
        let end = self.simulator.now() + span;
        loop {
            if holds(self) {
                return true;
            }
            if self.simulator.now() >= end {
                return false;
            }
            // Changes are looked after each few milliseconds.
            let look = self.simulator.now() + 5 * MILLI;
            while self.simulator.next_at().is_some_and(|at| at <= look) {
                self.simulator.step(&mut self.checks);
            }
            self.simulator.pass(look);
            self.send_change();
        }
    }

    /// Puts a machine through a disruption. Returns how long it took to be up again.
    fn disrupt(&mut self, disruption: Disruption, machine: usize) -> Micros {
        let down = self.rng.gen_range(50 * MILLI..2 * SECOND);
        match disruption {
            Disruption::Restart
            | Disruption::Wipe
            | Disruption::Corrupt
            | Disruption::LeaderWhileFilled
            | Disruption::CutWhileFilled => self.restart(disruption, machine, down),
            Disruption::Freeze => {
                self.simulator.freeze(machine);
                self.run_until(down, |_| false);
                self.simulator.thaw(machine, &mut self.checks);
            }
            Disruption::Cut => self.partition(machine, down),
            Disruption::Disk(disk_fault) => {
                self.simulator.set_disk_fault(machine, disk_fault);
                self.run_until(down, |_| false);
                self.simulator.set_disk_fault(machine, DiskFault::None);
            }
        }
        self.wait_until_up(disruption, machine)
    }

    fn wait_until_up(&mut self, disruption: Disruption, machine: usize) -> Micros {
        let repaired = self.simulator.now();
        let (seed, bound) = (self.config.seed, self.config.recovery_interval);
        let up = self.run_until(bound, |run| run.is_up(machine));
        assert!(
            up,
            "seed {seed}: machine {machine} is not up {bound} us after {disruption:?}: {}",
            self.report()
        );
        self.simulator.now() - repaired
    }

    /// Ends a machine's process and starts it again, on what the disruption leaves of its disk.
    fn restart(&mut self, disruption: Disruption, machine: usize, down: Micros) {
        if matches!(disruption, Disruption::Restart | Disruption::Corrupt) {
            self.simulator.kill(machine);
        } else {
            self.simulator.wipe(machine);
        }
        if disruption == Disruption::Corrupt {
            self.simulator.disk(machine).corrupt(&mut self.rng);
        }
        self.run_until(down, |_| false);
        self.simulator.start(machine, &mut self.checks);
        match disruption {
            Disruption::CutWhileFilled => self.cut_while_filled(machine),
            Disruption::LeaderWhileFilled => self.step_down_while_filled(),
            _ => {}
        }
    }

    /// Drops for a moment all that is sent to a machine that is being filled.
    fn cut_while_filled(&mut self, machine: usize) {
        let soon = self.rng.gen_range(MILLI..100 * MILLI);
        self.run_until(soon, |_| false);
        for other in self.others(machine) {
            self.simulator.cut(other, machine);
        }
        self.run_until(300 * MILLI, |_| false);
        for other in self.others(machine) {
            self.simulator.join(other, machine);
        }
    }

    /// Makes the filling of a machine start over with another leader. Nobody is lost: leadership is handed on.
    fn step_down_while_filled(&mut self) {
        let soon = self.rng.gen_range(MILLI..500 * MILLI);
        self.run_until(soon, |_| false);
        if let Some(leader) = self.leader() {
            self.simulator
                .call(leader, Call::StepDown, &mut self.checks);
        }
    }

    /// Partitions a machine off, at random both ways or one way only.
    fn partition(&mut self, machine: usize, down: Micros) {
        let direction = self.rng.gen_range(0..3);
        for other in self.others(machine) {
            if direction != 1 {
                self.simulator.cut(machine, other);
            }
            if direction != 2 {
                self.simulator.cut(other, machine);
            }
        }
        self.run_until(down, |_| false);
        for other in self.others(machine) {
            self.simulator.join(machine, other);
            self.simulator.join(other, machine);
        }
    }

    fn others(&self, machine: usize) -> Vec<usize> {
        let machines = 0..self.simulator.machines();
        machines.filter(|other| *other != machine).collect()
    }

    /// Makes all changes, with one disruption after the other.
    pub fn run(mut self) -> LongRunSummary {
        let mut run = LongRunSummary::default();
        let number = |run: &LongRun| run.checks.acknowledged_version;
        while number(&self) < self.config.changes {
            let disruption = DISRUPTIONS[run.disruptions as usize % DISRUPTIONS.len()];
            let machine = self.rng.gen_range(0..self.simulator.machines());
            let recovery_time = self.disrupt(disruption, machine);
            run.recovery_times.push((disruption, recovery_time));
            run.disruptions += 1;
            let calm = self.rng.gen_range(0..2 * SECOND);
            self.run_until(calm, |_| false);
        }
        let machines = 0..self.simulator.machines();
        let even = |run: &LongRun| {
            let states = machines
                .clone()
                .map(|m| run.simulator.node(m).map(|k| k.raft().applied_index()));
            states.collect::<BTreeSet<_>>().len() == 1 && run.pending.is_none()
        };
        self.next_at = Micros::MAX;
        assert!(
            self.run_until(10 * SECOND, even),
            "not even: {}",
            self.report()
        );
        let states: BTreeSet<u64> = machines
            .clone()
            .filter_map(|m| self.simulator.node(m))
            .map(|k| hash(&k.state().encode()))
            .collect();
        assert_eq!(states.len(), 1, "states differ");
        let held = machines
            .clone()
            .filter_map(|m| self.simulator.node(m)?.state().config.clone());
        let numbers: BTreeSet<u64> = held.map(|config| config.version).collect();
        assert!(
            numbers.first() >= Some(&self.checks.acknowledged_version),
            "{numbers:?}, {} acknowledged",
            self.checks.acknowledged_version
        );
        run.acknowledged = self.checks.acknowledged_version;
        run.quarantined = self.checks.quarantined;
        run.max_disk_bytes = machines
            .map(|m| self.simulator.disk(m).max_bytes)
            .max()
            .unwrap_or(0);
        run.terms = self.checks.leaders.len() as u64;
        run.longest_change = self.longest_change;
        run
    }

    fn report(&self) -> String {
        let line = |machine: usize| {
            match self.simulator.node(machine) {
            None => format!("{machine}: down"),
            Some(node) => format!(
                "{machine}: backlog {} us, {:?} term {} last {} commit {} applied {} durable {} edition {:?} voters {:?} \
                contacts {:?}",
                self.simulator.backlog(machine),
                node.raft().role(),
                node.raft().term(),
                node.raft().last_index(),
                node.raft().commit_index(),
                node.raft().applied_index(),
                node.raft().durable_index(),
                node.state().config.as_ref().map(|config| config.version),
                node.raft().voters(),
                node.raft().peers()
            ),
        }
        };
        (0..self.simulator.machines())
            .map(line)
            .collect::<Vec<_>>()
            .join("\n")
    }
}
