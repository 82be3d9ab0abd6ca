//! Hundreds of changes, one after the other, while members are restarted, wiped, frozen, cut off, and their disks are slow,
//! hang, are full or spoilt: one trial at a time, and each has to be over within a bound though the changes go on.
//!
//! What runs is all of a sorting machine but its sockets: the agreement, the state that it agrees on and the store, which
//! lies in memory here and is opened again at each start without having been closed.

use crate::{
    address, BootOptions, DiskFault, Effect, Input, Micros, NetworkProfile, Observer, Process,
    Simulator, MILLI, SECOND,
};
use magpieline_control_plane::state_machine::{Command, ControlState, StoredConfig};
use magpieline_raft::{
    Action, Config, Envelope, Event, Index, NodeId, Outcome, PersistentState, RaftNode, Role, Term,
    WriteBatch,
};
use magpieline_raft_store::{
    builder, quarantine, Directory, Remedy, Store, StoreError, STORE_FILE,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::{Database, DatabaseError, StorageBackend};
use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::io;
use std::sync::{Arc, Mutex};

/// A file's bytes.
#[derive(Clone, Debug, Default)]
struct Bytes(Arc<Mutex<Vec<u8>>>);

impl Bytes {
    fn with<T>(&self, use_it: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        use_it(&mut self.0.lock().expect("nobody panics with it"))
    }

    fn copy(&self) -> Bytes {
        Bytes(Arc::new(Mutex::new(self.with(|bytes| bytes.clone()))))
    }
}

impl StorageBackend for Bytes {
    fn len(&self) -> io::Result<u64> {
        Ok(self.with(|bytes| bytes.len() as u64))
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.with(|bytes| {
            let part = bytes.get(offset as usize..offset as usize + length);
            part.map(<[u8]>::to_vec)
                .ok_or(io::ErrorKind::UnexpectedEof.into())
        })
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.with(|bytes| bytes.resize(length as usize, 0));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, part: &[u8]) -> io::Result<()> {
        self.with(|bytes| {
            let place = bytes.get_mut(offset as usize..offset as usize + part.len());
            place
                .map(|place| place.copy_from_slice(part))
                .ok_or(io::ErrorKind::InvalidInput.into())
        })
    }
}

/// A folder in memory.
#[derive(Clone, Default)]
struct MemoryDirectory(Arc<Mutex<BTreeMap<String, Bytes>>>);

impl MemoryDirectory {
    fn files<T>(&self, use_them: impl FnOnce(&mut BTreeMap<String, Bytes>) -> T) -> T {
        use_them(&mut self.0.lock().expect("nobody panics with it"))
    }

    fn bytes(&self) -> u64 {
        self.files(|files| {
            files
                .values()
                .map(|bytes| bytes.with(|bytes| bytes.len() as u64))
                .sum()
        })
    }
}

impl Directory for MemoryDirectory {
    fn contains(&self, name: &str) -> io::Result<bool> {
        Ok(self.files(|files| files.contains_key(name)))
    }

    fn open(&self, name: &str) -> Result<Database, DatabaseError> {
        builder().create_with_backend(self.files(|files| files[name].clone()))
    }

    fn create(&self, name: &str) -> Result<(), StoreError> {
        let bytes = Bytes::default();
        drop(
            builder()
                .create_with_backend(bytes.clone())
                .map_err(StoreError::from_redb)?,
        );
        self.files(|files| files.insert(name.into(), bytes));
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.files(|files| {
            let bytes = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
            files.insert(to.into(), bytes);
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files(|files| files.remove(name));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}

/// A machine's disk.
#[derive(Default)]
pub struct StoreDisk {
    directory: RefCell<MemoryDirectory>,
    open: RefCell<Option<Store>>,
    /// The most bytes that its files have taken, over all starts.
    most: u64,
}

impl StoreDisk {
    /// What a process finds that starts now, and whether a store had to be set aside for it.
    fn start(&self) -> (PersistentState, bool) {
        // Whoever had it open is gone, and closes nothing any more.
        let directory = MemoryDirectory::default();
        let files = self.directory.borrow().files(|files| files.clone());
        directory
            .files(|now| now.extend(files.into_iter().map(|(name, bytes)| (name, bytes.copy()))));
        *self.directory.borrow_mut() = directory.clone();
        let mut aside = false;
        loop {
            let opened = Store::open_in(directory.clone()).and_then(|mut store| {
                let stored = store.load()?;
                Ok((store, stored))
            });
            match opened {
                Ok((store, stored)) => {
                    *self.open.borrow_mut() = Some(store);
                    return (stored, aside);
                }
                Err(error) if error.remedy() == Remedy::Quarantine && !aside => {
                    quarantine(&directory).expect("memory takes everything");
                    aside = true;
                }
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// Bits of values flip, so that the checksums don't fit.
    fn spoil(&self, rng: &mut ChaCha8Rng) {
        let directory = self.directory.borrow();
        let Some(bytes) = directory.files(|files| files.get(STORE_FILE).cloned()) else {
            return;
        };
        bytes.with(|bytes| {
            for at in (4096..bytes.len()).step_by(rng.gen_range(50..200)) {
                bytes[at] ^= 1 << rng.gen_range(0..8);
            }
        });
    }
}

/// A sorting machine without its sockets.
pub struct StoreNode {
    core: RaftNode,
    records: ControlState,
    /// The state is that of this place in the log.
    index: Index,
    /// Compacts by chance, beside when it is wanted.
    rng: ChaCha8Rng,
}

pub enum Call {
    Propose { request_id: u64, command: Vec<u8> },
    GiveWay,
}

pub enum Observation {
    Applied {
        index: Index,
        command: u64,
    },
    /// The state at a place, as a hash of its bytes.
    State {
        index: Index,
        state: u64,
    },
    Done {
        request_id: u64,
        outcome: Outcome,
    },
    /// The store could not be read.
    SetAside,
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// A compaction beside those that are wanted, of so many steps one.
const COMPACT_BY_CHANCE: u32 = 200;

impl StoreNode {
    pub fn core(&self) -> &RaftNode {
        &self.core
    }

    pub fn records(&self) -> &ControlState {
        &self.records
    }

    fn carry_out(&mut self, actions: Vec<Action>, effects: &mut Vec<Effect<StoreNode>>) {
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
                    self.records
                        .apply(index, &Command::decode(&command).expect("readable"));
                    self.index = index;
                    Effect::Observation(Observation::Applied {
                        index,
                        command: hash(&command),
                    })
                }
                Action::Restore { index, state } => {
                    self.records = ControlState::decode(&state).expect("readable");
                    self.index = index;
                    Effect::Observation(Observation::State {
                        index,
                        state: hash(&self.records.encode()),
                    })
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => Effect::Observation(Observation::Done {
                    request_id,
                    outcome,
                }),
            });
        }
    }
}

impl Process for StoreNode {
    type Message = Envelope;
    type Write = WriteBatch;
    type Disk = StoreDisk;
    type Call = Call;
    type Observation = Observation;

    fn start(
        boot: &BootOptions,
        now: Micros,
        disk: &StoreDisk,
    ) -> (StoreNode, Vec<Effect<StoreNode>>) {
        let (stored, aside) = disk.start();
        let BootOptions {
            address,
            seeds,
            first_run,
            seed,
            tolerated_failures,
            recovery_interval,
            ..
        } = boot.clone();
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ea5);
        let (core, actions) = RaftNode::start(
            now,
            Config {
                address,
                seeds,
                first_run,
                seed,
                tolerated_failures,
                recovery_interval,
            },
            stored,
        );
        let mut node = StoreNode {
            core,
            records: ControlState::default(),
            index: 0,
            rng,
        };
        let mut effects = Vec::new();
        if aside {
            effects.push(Effect::Observation(Observation::SetAside));
        }
        node.carry_out(actions, &mut effects);
        (node, effects)
    }

    fn step(&mut self, now: Micros, input: Input<StoreNode>) -> Vec<Effect<StoreNode>> {
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(envelope) => Event::Receive(envelope),
            Input::Synced(serial) => Event::Persisted { serial },
            Input::Refused(serial) => Event::WriteFailed { serial },
            Input::Call(Call::Propose {
                request_id,
                command,
            }) => Event::Propose {
                request_id,
                command,
            },
            Input::Call(Call::GiveWay) => Event::StepDown,
        };
        let mut effects = Vec::new();
        let actions = self.core.step(now, event);
        self.carry_out(actions, &mut effects);
        let by_chance = self.rng.gen_ratio(1, COMPACT_BY_CHANCE);
        let mut compactions = 0;
        while self.core.should_compact() || (by_chance && compactions == 0 && self.index > 0) {
            compactions += 1;
            assert!(compactions < 3, "a compaction is wanted again and again");
            let state = self.records.encode();
            effects.push(Effect::Observation(Observation::State {
                index: self.index,
                state: hash(&state),
            }));
            let actions = self.core.step(
                now,
                Event::Compact {
                    index: self.core.applied_index(),
                    state,
                },
            );
            self.carry_out(actions, &mut effects);
        }
        effects
    }

    fn next_wake(&self) -> Option<Micros> {
        Some(self.core.next_wake())
    }

    fn put(disk: &mut StoreDisk, write: WriteBatch) {
        let mut open = disk.open.borrow_mut();
        open.as_mut()
            .expect("a process writes to it")
            .write(&write)
            .expect("memory takes everything");
        disk.most = disk.most.max(disk.directory.borrow().bytes());
    }

    fn weight(message: &Envelope) -> usize {
        message.message.payload_bytes() + HEAD
    }
}

/// Bytes of a message beside what it carries, with those of its packets.
const HEAD: usize = 120;

/// What must hold after every step.
#[derive(Default)]
struct Checks {
    leaders: BTreeMap<Term, NodeId>,
    commands: BTreeMap<Index, u64>,
    states: HashMap<Index, u64>,
    /// The last entry that was acknowledged, its number, and the highest number ever.
    acknowledged: Index,
    number: u64,
    asked: HashMap<u64, u64>,
    done: BTreeSet<u64>,
    quarantine: u64,
}

impl Observer<StoreNode> for Checks {
    fn observed(&mut self, machine: usize, note: Observation) {
        match note {
            Observation::Applied { index, command } => {
                let first = *self.commands.entry(index).or_insert(command);
                assert_eq!(
                    first, command,
                    "machine {machine} applies another command at {index}"
                );
            }
            Observation::State { index, state } => {
                let first = *self.states.entry(index).or_insert(state);
                assert_eq!(
                    first, state,
                    "machine {machine} has another state at {index}"
                );
            }
            Observation::Done {
                request_id,
                outcome,
            } => {
                self.done.insert(request_id);
                if let Outcome::Committed { index } = outcome {
                    self.acknowledged = self.acknowledged.max(index);
                    self.number = self.number.max(self.asked[&request_id]);
                }
            }
            Observation::SetAside => self.quarantine += 1,
        }
    }

    fn after_step(&mut self, machine: usize, node: &StoreNode) {
        let core = node.core();
        if core.role() != Role::Leader {
            return;
        }
        if !self.leaders.contains_key(&core.term()) {
            let (last, acknowledged) = (core.last_index(), self.acknowledged);
            assert!(
                last >= acknowledged,
                "machine {machine} leads, its log ends at {last} of {acknowledged}"
            );
        }
        let first = *self.leaders.entry(core.term()).or_insert(core.id());
        assert_eq!(
            first,
            core.id(),
            "two leaders in term {}, one is machine {machine}",
            core.term()
        );
    }
}

/// How a season is set up.
#[derive(Clone, Copy, Debug)]
pub struct LongRunConfig {
    pub seed: u64,
    pub machines: usize,
    pub net: NetworkProfile,
    /// Bytes a second that a machine sends.
    pub rate: Option<u64>,
    pub changes: u64,
    /// Of a configuration, in bytes.
    pub size: usize,
    /// Between two changes, at least.
    pub pause: Micros,
    /// A machine is up again within this time after its trouble, though the changes go on.
    pub recovery_interval: Micros,
}

/// What a machine goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    Restart,
    /// Its disk is empty.
    Wipe,
    /// Bits flipped in its store while it was down.
    Spoil,
    Freeze,
    Cut,
    Disk(DiskFault),
    /// The leader, while a machine that lost its disk is being filled.
    LeaderWhileFilled,
    /// Nothing reaches it for a moment while it is being filled: all that is on its way is lost.
    CutWhileFilled,
}

const DISRUPTIONS: [Disruption; 10] = [
    Disruption::Restart,
    Disruption::Wipe,
    Disruption::Spoil,
    Disruption::Freeze,
    Disruption::Cut,
    Disruption::Disk(DiskFault::Slow),
    Disruption::Disk(DiskFault::Hung),
    Disruption::Disk(DiskFault::Full),
    Disruption::LeaderWhileFilled,
    Disruption::CutWhileFilled,
];

/// What came of a season.
#[derive(Clone, Debug, Default)]
pub struct LongRunSummary {
    pub acknowledged: u64,
    pub disruptions: u64,
    pub quarantine: u64,
    /// How long machines took to be up again, by trial: each in microseconds.
    pub took: Vec<(Disruption, Micros)>,
    /// The most bytes that one machine's files took.
    pub most_on_disk: u64,
    pub terms: u64,
    /// The longest time that a change took until it was acknowledged.
    pub longest_change: Micros,
}

/// Machines, and changes that come to them.
pub struct LongRun {
    pub simulator: Simulator<StoreNode>,
    config: LongRunConfig,
    checks: Checks,
    rng: ChaCha8Rng,
    /// The change under way: its request_id, when it was first asked, and when last.
    asking: Option<(u64, Micros, Micros)>,
    request_ids: u64,
    next_at: Micros,
    longest_change: Micros,
    /// Of the newest document.
    routes: Vec<String>,
}

/// A route as operators send it, with names drawn by lot.
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

/// Founders named to all at the first start.
const SEEDS: usize = 3;
/// Operators ask again after a second of silence.
const PATIENCE: Micros = SECOND;

impl LongRun {
    pub fn new(config: LongRunConfig) -> LongRun {
        let mut simulator = Simulator::new(config.seed, config.net);
        simulator.rate = config.rate;
        let mut checks = Checks::default();
        let seeds: Vec<_> = (0..config.machines.min(SEEDS)).map(address).collect();
        for _ in 0..config.machines {
            let machine = simulator.add(seeds.clone(), true);
            simulator.start(machine, &mut checks);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed ^ 0x5ea50);
        let routes = (0..config.size / 180 + 1)
            .map(|_| route(&mut rng))
            .collect();
        let mut season = LongRun {
            simulator,
            config,
            checks,
            rng,
            asking: None,
            request_ids: 0,
            next_at: SECOND,
            longest_change: 0,
            routes,
        };
        let whole = |season: &LongRun| (0..config.machines).all(|machine| season.is_up(machine));
        assert!(season.run_until(10 * SECOND, whole), "no beginning");
        season
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.simulator.machines()).find(|machine| {
            let leads = |node: &StoreNode| node.core.holds_lease(self.simulator.clock(*machine));
            !self.simulator.is_frozen(*machine) && self.simulator.node(*machine).is_some_and(leads)
        })
    }

    /// It votes, and has applied what was acknowledged a second ago or the change before the newest.
    fn is_up(&self, machine: usize) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let (Some(node), Some(led)) = (self.simulator.node(machine), self.simulator.node(leader))
        else {
            return false;
        };
        let held = |node: &StoreNode| {
            node.records
                .config
                .as_ref()
                .map_or(0, |config| config.version)
        };
        // A node_id counts once the list that has it is in force: until then the machine is one of those that are lost.
        let votes =
            led.core.voters().contains(&node.core.id()) && led.core.previous_voters().is_none();
        votes && !self.simulator.is_frozen(machine) && held(node) + 1 >= held(led)
    }

    fn document(&mut self) -> Command {
        let number = self
            .checks
            .asked
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

    /// The next change, or the one under way again, if it is time.
    fn ask(&mut self) {
        let now = self.simulator.now();
        let begun = match self.asking {
            Some((request_id, begun, _)) if self.checks.done.contains(&request_id) => {
                self.asking = None;
                self.longest_change = self.longest_change.max(now - begun);
                self.next_at = now
                    + self
                        .rng
                        .gen_range(self.config.pause..=2 * self.config.pause);
                return;
            }
            Some((_, begun, at)) if now >= at + PATIENCE => begun,
            Some(_) => return,
            None if now >= self.next_at => now,
            None => return,
        };
        let Some(leader) = self.leader() else { return };
        let command = self.document();
        let Command::ReplaceConfig(config) = &command else {
            return;
        };
        self.request_ids += 1;
        self.checks.asked.insert(self.request_ids, config.version);
        self.asking = Some((self.request_ids, begun, now));
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
            self.ask();
        }
    }

    fn disruption(&mut self, disruption: Disruption, machine: usize) -> Micros {
        let down = self.rng.gen_range(50 * MILLI..2 * SECOND);
        let all = self.simulator.machines();
        match disruption {
            Disruption::Restart
            | Disruption::Wipe
            | Disruption::Spoil
            | Disruption::LeaderWhileFilled
            | Disruption::CutWhileFilled => {
                if !matches!(disruption, Disruption::Restart | Disruption::Spoil) {
                    self.simulator.wipe(machine);
                } else {
                    self.simulator.kill(machine);
                }
                if disruption == Disruption::Spoil {
                    self.simulator.disk(machine).spoil(&mut self.rng);
                }
                self.run_until(down, |_| false);
                self.simulator.start(machine, &mut self.checks);
                if disruption == Disruption::CutWhileFilled {
                    let soon = self.rng.gen_range(MILLI..100 * MILLI);
                    self.run_until(soon, |_| false);
                    (0..all)
                        .filter(|other| *other != machine)
                        .for_each(|other| self.simulator.cut(other, machine));
                    self.run_until(300 * MILLI, |_| false);
                    (0..all).for_each(|other| self.simulator.join(other, machine));
                }
                if disruption == Disruption::LeaderWhileFilled {
                    // Its filling starts over with another leader. Nobody is lost: leadership is handed on.
                    let soon = self.rng.gen_range(MILLI..500 * MILLI);
                    self.run_until(soon, |_| false);
                    if let Some(leader) = self.leader() {
                        self.simulator.call(leader, Call::GiveWay, &mut self.checks);
                    }
                }
            }
            Disruption::Freeze => {
                self.simulator.freeze(machine);
                self.run_until(down, |_| false);
                self.simulator.thaw(machine, &mut self.checks);
            }
            Disruption::Cut => {
                let one_way = self.rng.gen_range(0..3);
                let others = || (0..all).filter(|other| *other != machine);
                others()
                    .filter(|_| one_way != 1)
                    .for_each(|other| self.simulator.cut(machine, other));
                others()
                    .filter(|_| one_way != 2)
                    .for_each(|other| self.simulator.cut(other, machine));
                self.run_until(down, |_| false);
                others().for_each(|other| {
                    self.simulator.join(machine, other);
                    self.simulator.join(other, machine);
                });
            }
            Disruption::Disk(disk_fault) => {
                self.simulator.set_disk_fault(machine, disk_fault);
                self.run_until(down, |_| false);
                self.simulator.set_disk_fault(machine, DiskFault::None);
            }
        }
        let mended = self.simulator.now();
        let (seed, bound) = (self.config.seed, self.config.recovery_interval);
        let up = self.run_until(bound, |season| season.is_up(machine));
        assert!(
            up,
            "seed {seed}: machine {machine} is not up {bound} us after {disruption:?}: {}",
            self.report()
        );
        self.simulator.now() - mended
    }

    /// Plays all changes, with one trial after the other.
    pub fn run(mut self) -> LongRunSummary {
        let mut run = LongRunSummary::default();
        let number = |season: &LongRun| season.checks.number;
        while number(&self) < self.config.changes {
            let disruption = DISRUPTIONS[run.disruptions as usize % DISRUPTIONS.len()];
            let machine = self.rng.gen_range(0..self.simulator.machines());
            let took = self.disruption(disruption, machine);
            run.took.push((disruption, took));
            run.disruptions += 1;
            let calm = self.rng.gen_range(0..2 * SECOND);
            self.run_until(calm, |_| false);
        }
        let machines = 0..self.simulator.machines();
        let even = |season: &LongRun| {
            let states = machines
                .clone()
                .map(|m| season.simulator.node(m).map(|k| k.core.applied_index()));
            states.collect::<BTreeSet<_>>().len() == 1 && season.asking.is_none()
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
            .map(|k| hash(&k.records.encode()))
            .collect();
        assert_eq!(states.len(), 1, "states differ");
        let held = machines
            .clone()
            .filter_map(|m| self.simulator.node(m)?.records.config.clone());
        let numbers: BTreeSet<u64> = held.map(|config| config.version).collect();
        assert!(
            numbers.first() >= Some(&self.checks.number),
            "{numbers:?}, {} acknowledged",
            self.checks.number
        );
        run.acknowledged = self.checks.number;
        run.quarantine = self.checks.quarantine;
        run.most_on_disk = machines
            .map(|m| self.simulator.disk(m).most)
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
            Some(StoreNode { core, records, .. }) => format!(
                "{machine}: backlog {} us, {:?} term {} last {} commit {} applied {} durable {} edition {:?} voters {:?} \
                contacts {:?}",
                self.simulator.backlog(machine),
                core.role(),
                core.term(),
                core.last_index(),
                core.commit_index(),
                core.applied_index(),
                core.durable_index(),
                records.config.as_ref().map(|config| config.version),
                core.voters(),
                core.peers()
            ),
        }
        };
        (0..self.simulator.machines())
            .map(line)
            .collect::<Vec<_>>()
            .join("\n")
    }
}
