//! The agreement of the sorting machines in a simulated world, with clients, and checked after every step.

use crate::fault_injection::RECOVERY;
use crate::{
    address, Boot, Chaos, Effect, Fault, Input, Micros, Net, Node, Trouble, Watch, World, MILLI,
    SECOND,
};
use magpieline_raft::{
    Action, Batch, Core, Envelope, Event, Index, Message, Outcome, Payload, Role, Seat, Start,
    Stored, Term,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// A core with its state machine, which keeps the numbers of all commands applied.
pub struct Tree {
    core: Core,
    applied: Vec<u64>,
    /// The last command's place in the log, and the commands since the last snapshot.
    index: Index,
    since: u64,
}

/// What is asked of a tree.
pub enum Call {
    /// The command's number is its ticket; `size` bytes are added.
    Propose {
        ticket: u64,
        size: usize,
    },
    Read {
        ticket: u64,
    },
    GiveWay,
    /// SIGTERM.
    Leave,
}

/// What a tree did.
pub enum Note {
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
        ticket: u64,
        outcome: Outcome,
        applied: usize,
    },
}

/// A snapshot after so many commands, and so many bytes in it beside: small logs and large states try more.
const COMPACT_AFTER: u64 = 40;
const BALLAST: usize = 150_000;

impl Tree {
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// The numbers of all commands applied.
    pub fn applied(&self) -> &[u64] {
        &self.applied
    }

    fn carry_out(&mut self, actions: Vec<Action>, effects: &mut Vec<Effect<Tree>>) {
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
                    Effect::Note(Note::Applied {
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
                    Effect::Note(Note::Restored {
                        commands: self.applied.clone(),
                    })
                }
                Action::Done { ticket, outcome } => Effect::Note(Note::Done {
                    ticket,
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

impl Node for Tree {
    type Message = Envelope;
    type Write = Batch;
    type Disk = Stored;
    type Call = Call;
    type Note = Note;

    fn start(boot: &Boot, now: Micros, disk: &Stored) -> (Tree, Vec<Effect<Tree>>) {
        let Boot {
            me,
            seeds,
            first_run,
            seed,
            withstand,
            catch_up,
            ..
        } = boot.clone();
        let start = Start {
            me,
            seeds,
            first_run,
            seed,
            withstand,
            catch_up,
        };
        let (core, actions) = Core::start(now, start, disk.clone());
        let mut tree = Tree {
            core,
            applied: Vec::new(),
            index: 0,
            since: 0,
        };
        let mut effects = Vec::new();
        tree.carry_out(actions, &mut effects);
        (tree, effects)
    }

    fn step(&mut self, now: Micros, input: Input<Tree>) -> Vec<Effect<Tree>> {
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(envelope) => Event::Receive(envelope),
            Input::Synced(serial) => Event::Synced { serial },
            Input::Refused(serial) => Event::Refused { serial },
            Input::Call(Call::Propose { ticket, size }) => {
                let mut command = ticket.to_le_bytes().to_vec();
                command.resize(8 + size, 0);
                Event::Propose { ticket, command }
            }
            Input::Call(Call::Read { ticket }) => Event::Read { ticket },
            Input::Call(Call::GiveWay) => Event::GiveWay,
            Input::Call(Call::Leave) => Event::Leave,
        };
        let mut effects = Vec::new();
        let actions = self.core.step(now, event);
        self.carry_out(actions, &mut effects);
        if self.since >= COMPACT_AFTER || self.core.wants_compact() {
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

    fn put(disk: &mut Stored, write: Batch) {
        write.apply(disk);
    }
}

/// What must hold whatever breaks.
#[derive(Default)]
struct Checks {
    leaders: BTreeMap<Term, Seat>,
    /// All commands in force, in order: every machine applies a beginning of it.
    commands: Vec<u64>,
    places: HashMap<u64, usize>,
    /// So many of them are acknowledged, or before one that is.
    acknowledged: usize,
    /// By ticket, what was acknowledged when the read was asked.
    reads: HashMap<u64, usize>,
    votes: HashMap<(Seat, Term), Seat>,
    /// Seats that stood on a list of voters some machine had.
    listed: BTreeSet<Seat>,
    /// Seats whose disk is gone.
    retired: BTreeSet<Seat>,
    outcomes: BTreeMap<u64, Outcome>,
}

impl Watch<Tree> for Checks {
    fn sent(&mut self, machine: usize, disk: &Stored, envelope: &Envelope) {
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
        let hard = disk
            .hard
            .unwrap_or_else(|| panic!("machine {machine} spoke before it wrote: {message:?}"));
        assert!(
            hard.life == from.life && hard.term >= *term,
            "machine {machine} sent {message:?} in term {term}, its disk has {hard:?}"
        );
        let vote = match message {
            Message::Vote { .. } => Some(from),
            Message::VoteReply { granted: true } => Some(to),
            _ => None,
        };
        if let Some(vote) = vote {
            let kept = hard.term > *term || hard.vote == Some(*vote);
            assert!(
                kept,
                "machine {machine} voted {vote:?} in {term}, its disk has {hard:?}"
            );
            let first = *self.votes.entry((*from, *term)).or_insert(*vote);
            assert_eq!(first, *vote, "{from:?} voted twice in term {term}");
            assert!(self.listed.contains(from), "{from:?} votes and is no voter");
        }
        if let Message::AppendReply { matched, .. } = message {
            let covered = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let last = disk.entries.last().map_or(covered, |entry| entry.index);
            assert!(
                last >= *matched,
                "machine {machine} says it has {matched}, its disk ends at {last}"
            );
        }
    }

    fn noted(&mut self, machine: usize, note: Note) {
        match note {
            Note::Applied { place, command } => self.check_command(machine, place, command),
            Note::Restored { commands } => {
                for (place, command) in commands.into_iter().enumerate() {
                    self.check_command(machine, place, command);
                }
            }
            Note::Done {
                ticket,
                outcome,
                applied,
            } => {
                self.outcomes.insert(ticket, outcome);
                if !matches!(outcome, Outcome::Committed { .. }) {
                    return;
                }
                if let Some(floor) = self.reads.get(&ticket) {
                    assert!(
                        applied >= *floor,
                        "read {ticket} at machine {machine}: {applied} of {floor}"
                    );
                } else {
                    let place = self.places.get(&ticket);
                    let place =
                        place.unwrap_or_else(|| panic!("{ticket} acknowledged and not applied"));
                    self.acknowledged = self.acknowledged.max(place + 1);
                }
            }
        }
    }

    fn stepped(&mut self, machine: usize, tree: &Tree) {
        let core = tree.core();
        if core.role() == Role::Leader {
            let first = *self.leaders.entry(core.term()).or_insert(core.me());
            assert_eq!(
                first,
                core.me(),
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
pub struct Planting {
    pub seed: u64,
    /// Machines at the first start; the first three are the seeds and founders.
    pub machines: usize,
    pub net: Net,
}

/// What happened in a run, for who wants to see that it was one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Played {
    pub steps: u64,
    pub seconds: u64,
    pub messages: u64,
    pub acknowledged: u64,
    pub reads: u64,
    pub terms: u64,
    pub faults: u64,
    pub wipes: u64,
}

impl Played {
    pub fn add(&mut self, other: &Played) {
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
pub struct Grove {
    pub world: World<Tree>,
    checks: Checks,
    rng: ChaCha8Rng,
    tickets: u64,
    machines: usize,
    /// The faults so far, for who reads a failure.
    story: Vec<(Micros, Fault)>,
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

impl Grove {
    /// Starts all machines for the first time; fewer than half may be lost at once, and catch up in four seconds.
    pub fn plant(planting: Planting) -> Grove {
        let withstand = (planting.machines - 1) / 2;
        Grove::plant_for(planting, withstand, 4 * SECOND)
    }

    /// Starts all machines for the first time. So many may be lost at once, and the next so long after they are back.
    pub fn plant_for(planting: Planting, withstand: usize, catch_up: Micros) -> Grove {
        let Planting {
            seed,
            machines,
            net,
        } = planting;
        let mut grove = Grove {
            world: World::new(seed, net),
            checks: Checks::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x960e),
            tickets: 0,
            machines,
            story: Vec::new(),
            armed: false,
            gone: BTreeSet::new(),
            cut_off: BTreeSet::new(),
        };
        grove.world.withstand = withstand;
        grove.world.catch_up = catch_up;
        let seeds: Vec<_> = (0..machines.min(SEEDS)).map(address).collect();
        for _ in 0..machines {
            let machine = grove.world.add(seeds.clone(), true);
            grove.start(machine);
        }
        grove
    }

    pub fn start(&mut self, machine: usize) {
        self.world.start(machine, &mut self.checks);
    }

    pub fn thaw(&mut self, machine: usize) {
        self.world.thaw(machine, &mut self.checks);
    }

    /// The machine loses its disk, and its power. Its settings name machines that may be gone.
    pub fn wipe(&mut self, machine: usize) {
        if let Some(seat) = self.seat(machine) {
            self.checks.retired.insert(seat);
        }
        self.world.wipe(machine);
        // As at the first start, its own address among them, or old ones.
        let serves = |seed: &SocketAddrV4| {
            let machines = (0..self.world.machines()).filter(|other| address(*other) == *seed);
            machines
                .into_iter()
                .any(|other| other != machine && self.knows_core(other))
        };
        let names_one = self.world.boot(machine).seeds.iter().any(serves);
        if self.rng.gen() || !names_one {
            let seeds = self.stale_seeds(machine);
            self.world.set_seeds(machine, seeds);
        }
    }

    /// An empty machine is added and started, with old seeds.
    pub fn add(&mut self) -> usize {
        let seeds = self.stale_seeds(self.world.machines());
        self.add_with(seeds)
    }

    /// An empty machine is added and started.
    pub fn add_with(&mut self, seeds: Vec<SocketAddrV4>) -> usize {
        let machine = self.world.add(seeds, false);
        self.start(machine);
        machine
    }

    /// One that is there, two that are not. The operator's list has machines that serve: one that knows no core yet
    /// stands on it only if there is no other.
    fn stale_seeds(&mut self, machine: usize) -> Vec<SocketAddrV4> {
        let known: Vec<usize> = (0..self.world.machines())
            .filter(|other| *other != machine && self.knows_core(*other))
            .collect();
        let there = match known.len() {
            0 => (machine + self.rng.gen_range(1..self.machines.max(2))) % self.machines,
            count => known[self.rng.gen_range(0..count)],
        };
        vec![address(100), address(there), address(101)]
    }

    fn knows_core(&self, machine: usize) -> bool {
        self.tree(machine)
            .is_some_and(|tree| !tree.core.voters().is_empty())
    }

    pub fn tree(&self, machine: usize) -> Option<&Tree> {
        self.world.node(machine)
    }

    fn seat(&self, machine: usize) -> Option<Seat> {
        let life = self.world.disk(machine).hard?.life;
        Some(Seat {
            address: address(machine),
            life,
        })
    }

    /// The machine that leads now by its own word, with a majority behind it.
    pub fn leader(&self) -> Option<usize> {
        (0..self.world.machines()).find(|machine| {
            let leads = |tree: &Tree| tree.core().leads(self.world.clock(*machine));
            !self.world.is_frozen(*machine) && self.tree(*machine).is_some_and(leads)
        })
    }

    /// As many machines vote as bear the losses promised, an odd number of them; all others that run wait for a seat, and
    /// all have applied all. Where machines are missing, all that run vote, but one of an even number.
    pub fn is_whole(&self) -> bool {
        let Some(leader) = self.leader().and_then(|leader| self.tree(leader)) else {
            return false;
        };
        let (voters, learners) = (leader.core.voters(), leader.core.learners());
        let trees: Vec<&Tree> = (0..self.world.machines())
            .filter_map(|machine| self.tree(machine))
            .collect();
        let waiting = trees
            .iter()
            .filter(|tree| learners.contains(&tree.core.me()))
            .count();
        let votes = trees
            .iter()
            .filter(|tree| voters.contains(&tree.core.me()))
            .count();
        let wanted = 2 * self.world.withstand + 1;
        let enough = if trees.len() >= wanted {
            wanted
        } else {
            (trees.len() - 1) / 2 * 2 + 1
        };
        leader.core.voters_before().is_none()
            && voters.len() % 2 == 1
            && voters.len() <= wanted
            && votes >= enough
            && votes + waiting == trees.len()
            && trees
                .iter()
                .all(|tree| tree.applied.len() == leader.applied.len())
    }

    /// How many commands are acknowledged, or before one that is.
    pub fn acknowledged(&self) -> usize {
        self.checks.acknowledged
    }

    /// What came of a call.
    pub fn outcome(&self, ticket: u64) -> Option<Outcome> {
        self.checks.outcomes.get(&ticket).copied()
    }

    /// Terms in which somebody led.
    pub fn terms(&self) -> usize {
        self.checks.leaders.len()
    }

    pub fn propose(&mut self, machine: usize, size: usize) -> u64 {
        self.tickets += 1;
        let call = Call::Propose {
            ticket: self.tickets,
            size,
        };
        self.world.call(machine, call, &mut self.checks);
        self.tickets
    }

    pub fn read(&mut self, machine: usize) -> u64 {
        self.tickets += 1;
        self.checks
            .reads
            .insert(self.tickets, self.checks.acknowledged);
        self.world.call(
            machine,
            Call::Read {
                ticket: self.tickets,
            },
            &mut self.checks,
        );
        self.tickets
    }

    pub fn give_way(&mut self, machine: usize) {
        self.world.call(machine, Call::GiveWay, &mut self.checks);
    }

    pub(crate) fn step(&mut self) {
        self.world.step(&mut self.checks);
    }

    pub(crate) fn call(&mut self, machine: usize, call: Call) {
        self.world.call(machine, call, &mut self.checks);
    }

    pub(crate) fn first_machines(&self) -> usize {
        self.machines
    }

    pub(crate) fn tell(&mut self, fault: Fault) {
        self.story.push((self.world.now(), fault));
    }

    /// The machine is gone for good; its disk stays as it is.
    pub fn end(&mut self, machine: usize) {
        self.world.kill(machine);
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
        self.world.call(machine, Call::Leave, &mut self.checks);
        let end = self.world.now() + GRACE;
        self.run_until(end, |grove| {
            grove.tree(machine).is_none_or(|tree| tree.core.has_left())
        });
        self.end(machine);
    }

    pub fn run_for(&mut self, span: Micros) {
        let end = self.world.now() + span;
        self.run_until(end, |_| false);
    }

    /// Until the condition holds, looked at after every step; false if it has not by `end`.
    pub fn run_until(&mut self, end: Micros, holds: impl Fn(&Grove) -> bool) -> bool {
        loop {
            if holds(self) {
                return true;
            }
            match self.world.next_at() {
                Some(at) if at <= end => self.world.step(&mut self.checks),
                _ => {
                    self.world.pass(end);
                    return holds(self);
                }
            }
        }
    }

    /// Whether the rules of losses allow that this machine's disk goes, too: of no list of voters that any other machine
    /// goes by, or that is on its way to one, is half or more gone, nor more than `withstand`.
    fn may_wipe(&self, machine: usize) -> bool {
        let Some(seat) = self.seat(machine) else {
            return false;
        };
        let enough = |voters: &[Seat]| {
            let gone = voters
                .iter()
                .filter(|voter| **voter == seat || self.checks.retired.contains(*voter));
            let gone: BTreeSet<_> = gone.map(|voter| voter.address).collect();
            let all: BTreeSet<_> = voters.iter().map(|voter| voter.address).collect();
            // More than is to be borne at once is so much less to be borne by the list that is left.
            2 * gone.len() < all.len().min(2 * self.world.withstand + 1).max(1)
        };
        let on_the_way = self
            .world
            .under_way()
            .all(|envelope| match &envelope.message {
                Message::Append { entries, .. } => {
                    entries.iter().all(|entry| match &entry.payload {
                        Payload::Members(members) => enough(&members.voters),
                        Payload::Noop | Payload::Command { .. } | Payload::JointEnd => true,
                    })
                }
                Message::Fill { members, .. } => enough(&members.voters),
                _ => true,
            });
        on_the_way
            && (0..self.world.machines())
                .filter(|other| *other != machine)
                .all(|other| {
                    // By what it knows, and by what it would know after a loss of power.
                    let rebooted = Tree::start(self.world.boot(other), 0, self.world.disk(other)).0;
                    let fits = |tree: &Tree| {
                        // Any of those being filled may be on the list before its loss is noticed.
                        let voters = tree.core.voters();
                        let soon = tree
                            .core
                            .learners()
                            .into_iter()
                            .map(|seat| [voters, &[seat]].concat());
                        let before = tree.core.voters_before();
                        enough(voters)
                            && soon.into_iter().all(|list| enough(&list))
                            && before.is_none_or(enough)
                    };
                    self.tree(other).is_none_or(fits) && fits(&rebooted)
                })
    }

    /// Breaks and mends things for so many steps, with clients calling, then mends all and looks whether everything that
    /// was acknowledged is there and the machines are whole again. Panics if not.
    pub fn endure(&mut self, seed: u64, steps: u64) {
        let calm = self.world.net;
        let pause = [500 * MILLI, 2 * SECOND, 8 * SECOND][(seed % 3) as usize];
        let mut chaos = Chaos::new(seed, SECOND / 2, pause, calm);
        let mut call_at = 0;
        let mut seen = 0;
        while self.world.steps() < steps {
            if self.acknowledged() > seen {
                seen = self.acknowledged();
                self.strike(&mut chaos);
            }
            let next = chaos.next_at().min(call_at);
            if self.world.next_at().is_some_and(|at| at <= next) {
                self.world.step(&mut self.checks);
                continue;
            }
            self.world.pass(next);
            if let Some(fault) = chaos.act(&mut self.world, &mut self.checks) {
                self.suffer(&mut chaos, fault);
            }
            if self.world.now() >= call_at {
                call_at = self.world.now() + self.rng.gen_range(MILLI..100 * MILLI);
                self.call_by_chance();
            }
        }
        chaos.end(&mut self.world, &mut self.checks);
        self.recover();
    }

    /// What waits for an acknowledgement to come right after it: one disk is lost, if the rules allow it, and all processes
    /// end or all power goes.
    fn strike(&mut self, chaos: &mut Chaos) {
        if std::mem::take(&mut self.armed) {
            let machine = self.rng.gen_range(0..self.world.machines());
            self.suffer(chaos, Fault::Wipe(machine));
            self.story.push((self.world.now(), Fault::KillAll));
            chaos.break_it(&mut self.world, Fault::KillAll);
        }
    }

    fn suffer(&mut self, chaos: &mut Chaos, fault: Fault) {
        match fault {
            Fault::Wipe(machine) if !self.may_wipe(machine) => return,
            Fault::Wipe(machine) => self.wipe(machine),
            Fault::KillAll => {
                self.armed = true;
                return;
            }
            Fault::Add if self.world.machines() >= self.machines + MOST_ADDED => return,
            Fault::Add => {
                self.add();
            }
            _ => {}
        }
        self.story.push((self.world.now(), fault));
        chaos.break_it(&mut self.world, fault);
    }

    pub(crate) fn call_by_chance(&mut self) {
        let anyone = self.rng.gen_range(0..self.world.machines());
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
                let leads = |tree: &Tree| tree.core().role() == Role::Leader;
                let asked: Vec<usize> = (0..self.world.machines())
                    .filter(|other| *other == machine || self.tree(*other).is_some_and(leads))
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
        for machine in (0..self.world.machines())
            .filter(|machine| !self.gone.contains(machine))
            .collect::<Vec<_>>()
        {
            self.start(machine);
            self.thaw(machine);
            self.world.set_trouble(machine, Trouble::None);
        }
        let end = self.world.now() + RECOVERY;
        assert!(
            self.run_until(end, Grove::is_whole),
            "not whole again: {}",
            self.report()
        );
        // An election begun before may still be under way: the call then goes to the next leader.
        let done = (0..3).any(|_| {
            let Some(leader) = self.leader() else {
                return false;
            };
            let tickets = [self.propose(leader, 0), self.read(leader)];
            let caught_up = |grove: &Grove| {
                let committed =
                    |ticket| matches!(grove.outcome(ticket), Some(Outcome::Committed { .. }));
                let trees = (0..grove.world.machines()).filter_map(|machine| grove.tree(machine));
                let count = grove.checks.commands.len();
                tickets.into_iter().all(committed)
                    && trees.into_iter().all(|tree| tree.applied().len() == count)
            };
            self.run_until(self.world.now() + 2 * SECOND, caught_up)
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

    pub fn played(&self) -> Played {
        let committed =
            |ticket: &&u64| matches!(self.outcome(**ticket), Some(Outcome::Committed { .. }));
        Played {
            steps: self.world.steps(),
            seconds: self.world.now() / SECOND,
            messages: self.world.messages(),
            acknowledged: self.acknowledged() as u64,
            reads: self.checks.reads.keys().filter(committed).count() as u64,
            terms: self.terms() as u64,
            faults: self.story.len() as u64,
            wipes: self
                .story
                .iter()
                .filter(|(_, fault)| matches!(fault, Fault::Wipe(_)))
                .count() as u64,
        }
    }

    /// What broke and how the machines stand, for who reads a failure.
    pub fn report(&self) -> String {
        let mut lines = vec![format!(
            "at {} ms after {} steps",
            self.world.now() / MILLI,
            self.world.steps()
        )];
        for machine in 0..self.world.machines() {
            lines.push(match self.tree(machine) {
                None => format!("{machine}: down"),
                Some(tree) => {
                    let core = tree.core();
                    let lives: Vec<_> = core.voters().iter().map(|seat| (seat.address.ip().octets()[3], seat.life % 1000)).collect();
                    format!(
                        "{machine}: {:?} term {} last {} commit {} life {} voters {lives:?} learners {:?} before {:?} contacts {:?}",
                        core.role(), core.term(), core.last(), core.commit(), core.me().life % 1000,
                        core.learners().len(), core.voters_before().map(<[Seat]>::len), core.contacts()
                    )
                }
            });
        }
        let from = self.story.len().saturating_sub(25);
        let told = |(at, (_, fault)): &(usize, &(Micros, Fault))| {
            *at >= from
                || matches!(
                    fault,
                    Fault::Wipe(_)
                        | Fault::Add
                        | Fault::Gone(_)
                        | Fault::Retire(_)
                        | Fault::Succeed { .. }
                )
        };
        let story = self.story.iter().enumerate().filter(told);
        lines.extend(story.map(|(_, (at, fault))| format!("{} ms {fault:?}", at / MILLI)));
        lines.join("\n")
    }
}
