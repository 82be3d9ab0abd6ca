//! Hundreds of changes, one after the other, while members are restarted, wiped, frozen, cut off, and their disks are slow,
//! hang, are full or spoilt: one trial at a time, and each has to be over within a bound though the changes go on.
//!
//! What runs is all of a sorting machine but its sockets: the agreement, the state that it agrees on and the store, which
//! lies in memory here and is opened again at each start without having been closed.

use crate::{
    address, Boot, Effect, Input, Micros, Net, Node, Trouble, Watch, World, MILLI, SECOND,
};
use magpieline_control_plane::state_machine::{Command, Kept, Records};
use magpieline_raft::{
    Action, Batch, Core, Envelope, Event, Index, Outcome, Role, Seat, Start, Stored, Term,
};
use magpieline_raft_store::{builder, set_aside, Error, Granary, Remedy, Shelf, FILE};
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
struct Drawer(Arc<Mutex<BTreeMap<String, Bytes>>>);

impl Drawer {
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

impl Shelf for Drawer {
    fn has(&self, name: &str) -> io::Result<bool> {
        Ok(self.files(|files| files.contains_key(name)))
    }

    fn open(&self, name: &str) -> Result<Database, DatabaseError> {
        builder().create_with_backend(self.files(|files| files[name].clone()))
    }

    fn create(&self, name: &str) -> Result<(), Error> {
        let bytes = Bytes::default();
        drop(
            builder()
                .create_with_backend(bytes.clone())
                .map_err(Error::of)?,
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
pub struct Vault {
    drawer: RefCell<Drawer>,
    open: RefCell<Option<Granary>>,
    /// The most bytes that its files have taken, over all starts.
    most: u64,
}

impl Vault {
    /// What a process finds that starts now, and whether a store had to be set aside for it.
    fn start(&self) -> (Stored, bool) {
        // Whoever had it open is gone, and closes nothing any more.
        let drawer = Drawer::default();
        let files = self.drawer.borrow().files(|files| files.clone());
        drawer.files(|now| now.extend(files.into_iter().map(|(name, bytes)| (name, bytes.copy()))));
        *self.drawer.borrow_mut() = drawer.clone();
        let mut aside = false;
        loop {
            let opened = Granary::open_on(drawer.clone()).and_then(|mut granary| {
                let stored = granary.load()?;
                Ok((granary, stored))
            });
            match opened {
                Ok((granary, stored)) => {
                    *self.open.borrow_mut() = Some(granary);
                    return (stored, aside);
                }
                Err(error) if error.remedy() == Remedy::SetAside && !aside => {
                    set_aside(&drawer).expect("memory takes everything");
                    aside = true;
                }
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// Bits of values flip, so that the checksums don't fit.
    fn spoil(&self, rng: &mut ChaCha8Rng) {
        let drawer = self.drawer.borrow();
        let Some(bytes) = drawer.files(|files| files.get(FILE).cloned()) else {
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
pub struct Keeper {
    core: Core,
    records: Records,
    /// The state is that of this place in the log.
    index: Index,
    /// Compacts by chance, beside when it is wanted.
    rng: ChaCha8Rng,
}

pub enum Call {
    Propose { ticket: u64, command: Vec<u8> },
    GiveWay,
}

pub enum Note {
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
        ticket: u64,
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

impl Keeper {
    pub fn core(&self) -> &Core {
        &self.core
    }

    pub fn records(&self) -> &Records {
        &self.records
    }

    fn carry_out(&mut self, actions: Vec<Action>, effects: &mut Vec<Effect<Keeper>>) {
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
                        .apply(index, &Command::unpack(&command).expect("readable"));
                    self.index = index;
                    Effect::Note(Note::Applied {
                        index,
                        command: hash(&command),
                    })
                }
                Action::Restore { index, state } => {
                    self.records = Records::unpack(&state).expect("readable");
                    self.index = index;
                    Effect::Note(Note::State {
                        index,
                        state: hash(&self.records.pack()),
                    })
                }
                Action::Done { ticket, outcome } => Effect::Note(Note::Done { ticket, outcome }),
            });
        }
    }
}

impl Node for Keeper {
    type Message = Envelope;
    type Write = Batch;
    type Disk = Vault;
    type Call = Call;
    type Note = Note;

    fn start(boot: &Boot, now: Micros, disk: &Vault) -> (Keeper, Vec<Effect<Keeper>>) {
        let (stored, aside) = disk.start();
        let Boot {
            me,
            seeds,
            first_run,
            seed,
            withstand,
            catch_up,
            ..
        } = boot.clone();
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ea5);
        let (core, actions) = Core::start(
            now,
            Start {
                me,
                seeds,
                first_run,
                seed,
                withstand,
                catch_up,
            },
            stored,
        );
        let mut keeper = Keeper {
            core,
            records: Records::default(),
            index: 0,
            rng,
        };
        let mut effects = Vec::new();
        if aside {
            effects.push(Effect::Note(Note::SetAside));
        }
        keeper.carry_out(actions, &mut effects);
        (keeper, effects)
    }

    fn step(&mut self, now: Micros, input: Input<Keeper>) -> Vec<Effect<Keeper>> {
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(envelope) => Event::Receive(envelope),
            Input::Synced(serial) => Event::Synced { serial },
            Input::Refused(serial) => Event::Refused { serial },
            Input::Call(Call::Propose { ticket, command }) => Event::Propose { ticket, command },
            Input::Call(Call::GiveWay) => Event::GiveWay,
        };
        let mut effects = Vec::new();
        let actions = self.core.step(now, event);
        self.carry_out(actions, &mut effects);
        let by_chance = self.rng.gen_ratio(1, COMPACT_BY_CHANCE);
        let mut compactions = 0;
        while self.core.wants_compact() || (by_chance && compactions == 0 && self.index > 0) {
            compactions += 1;
            assert!(compactions < 3, "a compaction is wanted again and again");
            let state = self.records.pack();
            effects.push(Effect::Note(Note::State {
                index: self.index,
                state: hash(&state),
            }));
            let actions = self.core.step(
                now,
                Event::Compact {
                    index: self.core.applied(),
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

    fn put(disk: &mut Vault, write: Batch) {
        let mut open = disk.open.borrow_mut();
        open.as_mut()
            .expect("a process writes to it")
            .write(&write)
            .expect("memory takes everything");
        disk.most = disk.most.max(disk.drawer.borrow().bytes());
    }

    fn weight(message: &Envelope) -> usize {
        message.message.carried() + HEAD
    }
}

/// Bytes of a message beside what it carries, with those of its packets.
const HEAD: usize = 120;

/// What must hold after every step.
#[derive(Default)]
struct Checks {
    leaders: BTreeMap<Term, Seat>,
    commands: BTreeMap<Index, u64>,
    states: HashMap<Index, u64>,
    /// The last entry that was acknowledged, its number, and the highest number ever.
    acknowledged: Index,
    number: u64,
    asked: HashMap<u64, u64>,
    done: BTreeSet<u64>,
    set_aside: u64,
}

impl Watch<Keeper> for Checks {
    fn noted(&mut self, machine: usize, note: Note) {
        match note {
            Note::Applied { index, command } => {
                let first = *self.commands.entry(index).or_insert(command);
                assert_eq!(
                    first, command,
                    "machine {machine} applies another command at {index}"
                );
            }
            Note::State { index, state } => {
                let first = *self.states.entry(index).or_insert(state);
                assert_eq!(
                    first, state,
                    "machine {machine} has another state at {index}"
                );
            }
            Note::Done { ticket, outcome } => {
                self.done.insert(ticket);
                if let Outcome::Committed { index } = outcome {
                    self.acknowledged = self.acknowledged.max(index);
                    self.number = self.number.max(self.asked[&ticket]);
                }
            }
            Note::SetAside => self.set_aside += 1,
        }
    }

    fn stepped(&mut self, machine: usize, keeper: &Keeper) {
        let core = keeper.core();
        if core.role() != Role::Leader {
            return;
        }
        if !self.leaders.contains_key(&core.term()) {
            let (last, acknowledged) = (core.last(), self.acknowledged);
            assert!(
                last >= acknowledged,
                "machine {machine} leads, its log ends at {last} of {acknowledged}"
            );
        }
        let first = *self.leaders.entry(core.term()).or_insert(core.me());
        assert_eq!(
            first,
            core.me(),
            "two leaders in term {}, one is machine {machine}",
            core.term()
        );
    }
}

/// How a season is set up.
#[derive(Clone, Copy, Debug)]
pub struct Sowing {
    pub seed: u64,
    pub machines: usize,
    pub net: Net,
    /// Bytes a second that a machine sends.
    pub rate: Option<u64>,
    pub changes: u64,
    /// Of a configuration, in bytes.
    pub size: usize,
    /// Between two changes, at least.
    pub pause: Micros,
    /// A machine is up again within this time after its trouble, though the changes go on.
    pub catch_up: Micros,
}

/// What a machine goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    Restart,
    /// Its disk is empty.
    Wipe,
    /// Bits flipped in its store while it was down.
    Spoil,
    Freeze,
    Cut,
    Disk(Trouble),
    /// The leader, while a machine that lost its disk is being filled.
    LeaderWhileFilled,
    /// Nothing reaches it for a moment while it is being filled: all that is on its way is lost.
    CutWhileFilled,
}

const TRIALS: [Trial; 10] = [
    Trial::Restart,
    Trial::Wipe,
    Trial::Spoil,
    Trial::Freeze,
    Trial::Cut,
    Trial::Disk(Trouble::Slow),
    Trial::Disk(Trouble::Hangs),
    Trial::Disk(Trouble::Full),
    Trial::LeaderWhileFilled,
    Trial::CutWhileFilled,
];

/// What came of a season.
#[derive(Clone, Debug, Default)]
pub struct Harvest {
    pub acknowledged: u64,
    pub trials: u64,
    pub set_aside: u64,
    /// How long machines took to be up again, by trial: each in microseconds.
    pub took: Vec<(Trial, Micros)>,
    /// The most bytes that one machine's files took.
    pub most_on_disk: u64,
    pub terms: u64,
    /// The longest time that a change took until it was acknowledged.
    pub longest_change: Micros,
}

/// Machines, and changes that come to them.
pub struct Season {
    pub world: World<Keeper>,
    sowing: Sowing,
    checks: Checks,
    rng: ChaCha8Rng,
    /// The change under way: its ticket, when it was first asked, and when last.
    asking: Option<(u64, Micros, Micros)>,
    tickets: u64,
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

impl Season {
    pub fn sow(sowing: Sowing) -> Season {
        let mut world = World::new(sowing.seed, sowing.net);
        world.rate = sowing.rate;
        let mut checks = Checks::default();
        let seeds: Vec<_> = (0..sowing.machines.min(SEEDS)).map(address).collect();
        for _ in 0..sowing.machines {
            let machine = world.add(seeds.clone(), true);
            world.start(machine, &mut checks);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(sowing.seed ^ 0x5ea50);
        let routes = (0..sowing.size / 180 + 1)
            .map(|_| route(&mut rng))
            .collect();
        let mut season = Season {
            world,
            sowing,
            checks,
            rng,
            asking: None,
            tickets: 0,
            next_at: SECOND,
            longest_change: 0,
            routes,
        };
        let whole = |season: &Season| (0..sowing.machines).all(|machine| season.is_up(machine));
        assert!(season.run_until(10 * SECOND, whole), "no beginning");
        season
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.world.machines()).find(|machine| {
            let leads = |keeper: &Keeper| keeper.core.leads(self.world.clock(*machine));
            !self.world.is_frozen(*machine) && self.world.node(*machine).is_some_and(leads)
        })
    }

    /// It votes, and has applied what was acknowledged a second ago or the change before the newest.
    fn is_up(&self, machine: usize) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let (Some(keeper), Some(led)) = (self.world.node(machine), self.world.node(leader)) else {
            return false;
        };
        let held = |keeper: &Keeper| {
            keeper
                .records
                .edition
                .as_ref()
                .map_or(0, |kept| kept.number)
        };
        // A seat counts once the list that has it is in force: until then the machine is one of those that are lost.
        let votes =
            led.core.voters().contains(&keeper.core.me()) && led.core.voters_before().is_none();
        votes && !self.world.is_frozen(machine) && held(keeper) + 1 >= held(led)
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
        Command::Replace(Kept {
            number,
            text: text.into(),
        })
    }

    /// The next change, or the one under way again, if it is time.
    fn ask(&mut self) {
        let now = self.world.now();
        let begun = match self.asking {
            Some((ticket, begun, _)) if self.checks.done.contains(&ticket) => {
                self.asking = None;
                self.longest_change = self.longest_change.max(now - begun);
                self.next_at = now
                    + self
                        .rng
                        .gen_range(self.sowing.pause..=2 * self.sowing.pause);
                return;
            }
            Some((_, begun, at)) if now >= at + PATIENCE => begun,
            Some(_) => return,
            None if now >= self.next_at => now,
            None => return,
        };
        let Some(leader) = self.leader() else { return };
        let command = self.document();
        let Command::Replace(kept) = &command else {
            return;
        };
        self.tickets += 1;
        self.checks.asked.insert(self.tickets, kept.number);
        self.asking = Some((self.tickets, begun, now));
        let call = Call::Propose {
            ticket: self.tickets,
            command: command.pack(),
        };
        self.world.call(leader, call, &mut self.checks);
    }

    fn run_until(&mut self, span: Micros, holds: impl Fn(&Season) -> bool) -> bool {
        let end = self.world.now() + span;
        loop {
            if holds(self) {
                return true;
            }
            if self.world.now() >= end {
                return false;
            }
            // Changes are looked after each few milliseconds.
            let look = self.world.now() + 5 * MILLI;
            while self.world.next_at().is_some_and(|at| at <= look) {
                self.world.step(&mut self.checks);
            }
            self.world.pass(look);
            self.ask();
        }
    }

    fn trial(&mut self, trial: Trial, machine: usize) -> Micros {
        let down = self.rng.gen_range(50 * MILLI..2 * SECOND);
        let all = self.world.machines();
        match trial {
            Trial::Restart
            | Trial::Wipe
            | Trial::Spoil
            | Trial::LeaderWhileFilled
            | Trial::CutWhileFilled => {
                if !matches!(trial, Trial::Restart | Trial::Spoil) {
                    self.world.wipe(machine);
                } else {
                    self.world.kill(machine);
                }
                if trial == Trial::Spoil {
                    self.world.disk(machine).spoil(&mut self.rng);
                }
                self.run_until(down, |_| false);
                self.world.start(machine, &mut self.checks);
                if trial == Trial::CutWhileFilled {
                    let soon = self.rng.gen_range(MILLI..100 * MILLI);
                    self.run_until(soon, |_| false);
                    (0..all)
                        .filter(|other| *other != machine)
                        .for_each(|other| self.world.cut(other, machine));
                    self.run_until(300 * MILLI, |_| false);
                    (0..all).for_each(|other| self.world.join(other, machine));
                }
                if trial == Trial::LeaderWhileFilled {
                    // Its filling starts over with another leader. Nobody is lost: leadership is handed on.
                    let soon = self.rng.gen_range(MILLI..500 * MILLI);
                    self.run_until(soon, |_| false);
                    if let Some(leader) = self.leader() {
                        self.world.call(leader, Call::GiveWay, &mut self.checks);
                    }
                }
            }
            Trial::Freeze => {
                self.world.freeze(machine);
                self.run_until(down, |_| false);
                self.world.thaw(machine, &mut self.checks);
            }
            Trial::Cut => {
                let one_way = self.rng.gen_range(0..3);
                let others = || (0..all).filter(|other| *other != machine);
                others()
                    .filter(|_| one_way != 1)
                    .for_each(|other| self.world.cut(machine, other));
                others()
                    .filter(|_| one_way != 2)
                    .for_each(|other| self.world.cut(other, machine));
                self.run_until(down, |_| false);
                others().for_each(|other| {
                    self.world.join(machine, other);
                    self.world.join(other, machine);
                });
            }
            Trial::Disk(trouble) => {
                self.world.set_trouble(machine, trouble);
                self.run_until(down, |_| false);
                self.world.set_trouble(machine, Trouble::None);
            }
        }
        let mended = self.world.now();
        let (seed, bound) = (self.sowing.seed, self.sowing.catch_up);
        let up = self.run_until(bound, |season| season.is_up(machine));
        assert!(
            up,
            "seed {seed}: machine {machine} is not up {bound} us after {trial:?}: {}",
            self.report()
        );
        self.world.now() - mended
    }

    /// Plays all changes, with one trial after the other.
    pub fn harvest(mut self) -> Harvest {
        let mut harvest = Harvest::default();
        let number = |season: &Season| season.checks.number;
        while number(&self) < self.sowing.changes {
            let trial = TRIALS[harvest.trials as usize % TRIALS.len()];
            let machine = self.rng.gen_range(0..self.world.machines());
            let took = self.trial(trial, machine);
            harvest.took.push((trial, took));
            harvest.trials += 1;
            let calm = self.rng.gen_range(0..2 * SECOND);
            self.run_until(calm, |_| false);
        }
        let machines = 0..self.world.machines();
        let even = |season: &Season| {
            let states = machines
                .clone()
                .map(|m| season.world.node(m).map(|k| k.core.applied()));
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
            .filter_map(|m| self.world.node(m))
            .map(|k| hash(&k.records.pack()))
            .collect();
        assert_eq!(states.len(), 1, "states differ");
        let held = machines
            .clone()
            .filter_map(|m| self.world.node(m)?.records.edition.clone());
        let numbers: BTreeSet<u64> = held.map(|kept| kept.number).collect();
        assert!(
            numbers.first() >= Some(&self.checks.number),
            "{numbers:?}, {} acknowledged",
            self.checks.number
        );
        harvest.acknowledged = self.checks.number;
        harvest.set_aside = self.checks.set_aside;
        harvest.most_on_disk = machines.map(|m| self.world.disk(m).most).max().unwrap_or(0);
        harvest.terms = self.checks.leaders.len() as u64;
        harvest.longest_change = self.longest_change;
        harvest
    }

    fn report(&self) -> String {
        let line = |machine: usize| {
            match self.world.node(machine) {
            None => format!("{machine}: down"),
            Some(Keeper { core, records, .. }) => format!(
                "{machine}: backlog {} us, {:?} term {} last {} commit {} applied {} durable {} edition {:?} voters {:?} \
                contacts {:?}",
                self.world.backlog(machine),
                core.role(),
                core.term(),
                core.last(),
                core.commit(),
                core.applied(),
                core.durable(),
                records.edition.as_ref().map(|kept| kept.number),
                core.voters(),
                core.contacts()
            ),
        }
        };
        (0..self.world.machines())
            .map(line)
            .collect::<Vec<_>>()
            .join("\n")
    }
}
