//! A simulated world: machines, their network links, disks and clocks.

use crate::{Micros, MILLI, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct BootOptions {
    /// Where the process listens.
    pub address: SocketAddrV4,
    /// Where it finds others.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the system starts for the first time.
    pub first_run: bool,
    /// Different at every start.
    pub seed: u64,
    /// The machine's time of day at the start, microseconds since 1970.
    pub time_of_day: Micros,
    /// How many machines may be lost at once.
    pub tolerated_failures: usize,
    /// How long after its return a machine still counts as lost.
    pub recovery_interval: Micros,
}

impl BootOptions {
    /// Returns what a Raft node is configured with.
    pub fn raft_config(&self) -> magpieline_raft::Config {
        magpieline_raft::Config {
            address: self.address,
            seeds: self.seeds.clone(),
            first_run: self.first_run,
            seed: self.seed,
            tolerated_failures: self.tolerated_failures,
            recovery_interval: self.recovery_interval,
        }
    }
}

/// What happens to a process.
pub enum Input<N: Process> {
    /// It is time to look at the clock.
    Tick,
    /// A message arrives.
    Message(N::Message),
    /// The write of this serial is on disk.
    Synced(u64),
    /// The disk refused it.
    Refused(u64),
    /// Somebody on this machine calls.
    Call(N::Call),
}

/// What a process does.
pub enum Effect<N: Process> {
    /// It sends a message.
    Send {
        /// To whom.
        to: SocketAddrV4,
        /// The message.
        message: N::Message,
    },
    /// It writes to its disk, one write at a time.
    Write {
        /// Tells writes apart.
        serial: u64,
        /// What is written.
        write: N::Write,
    },
    /// It shows something to the observer.
    Observation(N::Observation),
}

/// A state machine that runs on a machine: no I/O, no clock.
pub trait Process: Sized {
    /// What processes send to each other.
    type Message: Clone;
    /// What is written in one go, all of it or nothing.
    type Write;
    /// What is on the disk; empty by default. `()` for those without one.
    type Disk: Default;
    /// What is done to a process from outside.
    type Call;
    /// What a process shows to the observer.
    type Observation;

    /// Starts the process with what is on the disk.
    fn start(boot: &BootOptions, now: Micros, disk: &Self::Disk) -> (Self, Vec<Effect<Self>>);
    /// Takes an input. Returns what the process does.
    fn step(&mut self, now: Micros, input: Input<Self>) -> Vec<Effect<Self>>;
    /// Returns when it is to be woken.
    fn next_wake(&self) -> Option<Micros>;
    /// Puts a write on the disk.
    fn put(disk: &mut Self::Disk, write: Self::Write);

    /// Bytes of a message on a link, where links are narrow.
    fn weight(_message: &Self::Message) -> usize {
        0
    }
}

/// Observes a run and checks it; panics when something is wrong.
pub trait Observer<N: Process> {
    /// A process sends a message; `disk` is what would survive a loss of power just then.
    fn sent(&mut self, _machine: usize, _disk: &N::Disk, _message: &N::Message) {}
    /// A process has shown something.
    fn observed(&mut self, _machine: usize, _observation: N::Observation) {}
    /// After every step.
    fn after_step(&mut self, _machine: usize, _node: &N) {}
}

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Nothing.
    None,
    /// Thirty times its usual time.
    Slow,
    /// Nothing completes until it is over.
    Hung,
    /// It refuses writes.
    Full,
}

/// How the network behaves, on all links.
#[derive(Clone, Copy, Debug)]
pub struct NetworkProfile {
    /// The delay of each message.
    pub delay: Micros,
    /// Up to so much is added to the delay of each message, so that they overtake one another.
    pub jitter: Micros,
    /// Of a thousand messages, so many are lost.
    pub lost: u32,
    /// Of a thousand messages, so many come twice.
    pub doubled: u32,
}

impl NetworkProfile {
    /// One millisecond, nothing lost.
    pub const RELIABLE: NetworkProfile = NetworkProfile {
        delay: MILLI,
        jitter: 100,
        lost: 0,
        doubled: 0,
    };
}

const SYNC_TIME: Micros = 2 * MILLI;
const SLOW_FACTOR: Micros = 30;
/// Times of day on two machines differ by less than this.
const MAX_CLOCK_DIFFERENCE: Micros = 900 * MILLI;
/// A machine's time of day is set ahead or back by this,
const TIME_OF_DAY_STEP: Micros = 2 * SECOND;
/// or right again, this often.
const TIME_OF_DAY_STEP_INTERVAL: Micros = 4 * SECOND;
/// The time of day when a world begins.
const FIRST_TIME_OF_DAY: Micros = 1_790_000_000_000_000;
/// Timers fire up to so much late.
const MAX_TIMER_DELAY: Micros = 2 * MILLI;

struct Machine<N: Process> {
    boot: BootOptions,
    node: Option<N>,
    /// Counts starts: what was meant for an earlier process does not reach this one.
    starts: u64,
    /// What came while frozen.
    inbox: Option<Vec<Input<N>>>,
    disk: N::Disk,
    disk_fault: DiskFault,
    writing: Option<(u64, N::Write)>,
    wake_at: Option<Micros>,
    /// When its link has sent all that was given to it.
    sent_at: Micros,
    /// Steps in a row after which it wanted to be woken at once.
    overdue: u32,
    /// Up to so much is added to the delay of every message: the machine is short of processor time.
    lag: Micros,
    /// The monotonic clock: its start, and how many millionths it is too fast.
    clock: (Micros, u64),
}

enum SimulatedEvent<N: Process> {
    Deliver {
        from: usize,
        to: usize,
        message: N::Message,
    },
    Wake(usize),
    DiskDone {
        machine: usize,
        starts: u64,
        serial: u64,
    },
}

/// The simulated world.
pub struct Simulator<N: Process> {
    now: Micros,
    rng: ChaCha8Rng,
    machines: Vec<Machine<N>>,
    schedule: BTreeMap<(Micros, u64), SimulatedEvent<N>>,
    order: u64,
    /// The network.
    pub net: NetworkProfile,
    /// Bytes that a machine can send in a second, to all others together; None: any number.
    pub rate: Option<u64>,
    /// From, to: nothing passes.
    cuts: BTreeSet<(usize, usize)>,
    messages: u64,
    steps: u64,
    /// What all machines are told.
    pub tolerated_failures: usize,
    /// How long after its return a machine still counts as lost.
    pub recovery_interval: Micros,
}

/// Returns the address of a machine.
pub fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        [10, 1, (machine / 200) as u8, (machine % 200) as u8 + 1].into(),
        7720,
    )
}

impl<N: Process> Simulator<N> {
    /// Creates a world without machines.
    pub fn new(seed: u64, net: NetworkProfile) -> Simulator<N> {
        Simulator {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            machines: Vec::new(),
            schedule: BTreeMap::new(),
            order: 0,
            net,
            rate: None,
            cuts: BTreeSet::new(),
            messages: 0,
            steps: 0,
            tolerated_failures: 1,
            recovery_interval: 4 * SECOND,
        }
    }

    /// Adds a machine, not yet started. Returns its number.
    pub fn add(&mut self, seeds: Vec<SocketAddrV4>, first_run: bool) -> usize {
        let (tolerated_failures, recovery_interval) =
            (self.tolerated_failures, self.recovery_interval);
        let own_address = address(self.machines.len());
        let boot = BootOptions {
            address: own_address,
            seeds,
            first_run,
            seed: 0,
            time_of_day: 0,
            tolerated_failures,
            recovery_interval,
        };
        // Clocks began at any time and differ by up to a thousandth.
        let clock = (
            self.rng.gen_range(0..1_000_000_000),
            self.rng.gen_range(0..1000),
        );
        self.machines.push(Machine {
            boot,
            node: None,
            starts: 0,
            inbox: None,
            disk: N::Disk::default(),
            disk_fault: DiskFault::None,
            writing: None,
            wake_at: None,
            sent_at: 0,
            overdue: 0,
            lag: 0,
            clock,
        });
        self.machines.len() - 1
    }

    /// Returns the time of the world.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns the number of machines.
    pub fn machines(&self) -> usize {
        self.machines.len()
    }

    /// Returns how many messages were sent so far.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Returns how many steps processes have taken so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the process on a machine, frozen or not.
    pub fn node(&self, machine: usize) -> Option<&N> {
        self.machines[machine].node.as_ref()
    }

    /// Whether a process is frozen.
    pub fn is_frozen(&self, machine: usize) -> bool {
        self.machines[machine].inbox.is_some()
    }

    /// Returns a machine's disk.
    pub fn disk(&self, machine: usize) -> &N::Disk {
        &self.machines[machine].disk
    }

    /// Returns what a process is told at its next start.
    pub fn boot(&self, machine: usize) -> &BootOptions {
        &self.machines[machine].boot
    }

    /// Returns the messages that may still be received.
    pub fn in_flight(&self) -> impl Iterator<Item = &N::Message> {
        let travelling = self.schedule.values().filter_map(|what| match what {
            SimulatedEvent::Deliver { message, .. } => Some(message),
            _ => None,
        });
        let waiting = self
            .machines
            .iter()
            .flat_map(|machine| machine.inbox.iter().flatten());
        travelling.chain(waiting.filter_map(|input| match input {
            Input::Message(message) => Some(message),
            _ => None,
        }))
    }

    /// Returns how long a machine's link is still busy with what it has to send.
    pub fn backlog(&self, machine: usize) -> Micros {
        self.machines[machine].sent_at.saturating_sub(self.now)
    }

    /// Returns what a machine's monotonic clock shows.
    pub fn clock(&self, machine: usize) -> Micros {
        let (start, fast) = self.machines[machine].clock;
        start + self.now + (u128::from(self.now) * u128::from(fast) / 1_000_000) as u64
    }

    /// Returns the time of day that the machine shows, in microseconds since 1970. It is stepped now and then.
    pub fn time_of_day(&self, machine: usize) -> Micros {
        let (start, _) = self.machines[machine].clock;
        let steady = FIRST_TIME_OF_DAY + start % MAX_CLOCK_DIFFERENCE + self.now;
        let interval = self.now / TIME_OF_DAY_STEP_INTERVAL;
        match ChaCha8Rng::seed_from_u64(start ^ interval).gen_range(0..3) {
            0 => steady - TIME_OF_DAY_STEP,
            1 => steady + TIME_OF_DAY_STEP,
            _ => steady,
        }
    }

    fn schedule_at(&mut self, at: Micros, what: SimulatedEvent<N>) {
        self.order += 1;
        self.schedule.insert((at.max(self.now), self.order), what);
    }

    /// Starts the process if it does not run.
    pub fn start(&mut self, machine: usize, observer: &mut impl Observer<N>) {
        if self.machines[machine].node.is_some() {
            return;
        }
        let now = self.clock(machine);
        let seed = self.rng.gen();
        let time_of_day = self.time_of_day(machine);
        let this = &mut self.machines[machine];
        this.starts += 1;
        (this.boot.seed, this.boot.time_of_day) = (seed, time_of_day);
        let (node, effects) = N::start(&this.boot, now, &this.disk);
        this.node = Some(node);
        self.perform(machine, effects, observer);
    }

    /// Sets how many machines may be lost at once, from the next start of each on.
    pub fn set_tolerated_failures(&mut self, tolerated_failures: usize) {
        self.tolerated_failures = tolerated_failures;
        self.machines
            .iter_mut()
            .for_each(|machine| machine.boot.tolerated_failures = tolerated_failures);
    }

    /// Sets a machine's seeds from its next start on, which is not its first.
    pub fn set_seeds(&mut self, machine: usize, seeds: Vec<SocketAddrV4>) {
        self.machines[machine].boot.seeds = seeds;
        self.machines[machine].boot.first_run = false;
    }

    /// Ends a process, as by a kill or a loss of power: what was synced stays, the write in progress is there or not.
    pub fn kill(&mut self, machine: usize) {
        let written = self.rng.gen();
        let this = &mut self.machines[machine];
        this.boot.first_run = false;
        this.node = None;
        this.inbox = None;
        this.wake_at = None;
        let takes = matches!(this.disk_fault, DiskFault::None | DiskFault::Slow);
        if let Some((_, write)) = this.writing.take().filter(|_| written && takes) {
            N::put(&mut this.disk, write);
        }
    }

    /// As [`Simulator::kill`], and the disk comes back empty.
    pub fn wipe(&mut self, machine: usize) {
        self.kill(machine);
        self.machines[machine].disk = N::Disk::default();
    }

    /// Freezes a process: what comes waits until it goes on.
    pub fn freeze(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        if this.node.is_some() {
            this.inbox.get_or_insert_default();
        }
    }

    /// Lets a frozen process go on.
    pub fn thaw(&mut self, machine: usize, observer: &mut impl Observer<N>) {
        let inputs = self.machines[machine].inbox.take().unwrap_or_default();
        for input in inputs.into_iter().chain([Input::Tick]) {
            self.deliver(machine, input, observer);
        }
    }

    /// Adds up to so much to the delay of all messages from and to a machine.
    pub fn set_lag(&mut self, machine: usize, lag: Micros) {
        self.machines[machine].lag = lag;
    }

    /// Cuts the link from one machine to another; the opposite direction is a link of its own.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Repairs what [`Simulator::cut`] has cut.
    pub fn join(&mut self, from: usize, to: usize) {
        self.cuts.remove(&(from, to));
    }

    /// Breaks or repairs a machine's disk.
    pub fn set_disk_fault(&mut self, machine: usize, disk_fault: DiskFault) {
        self.machines[machine].disk_fault = disk_fault;
        // What hung goes on; what is under way otherwise ends as it was begun.
        if let Some((serial, _)) = self.machines[machine].writing {
            self.schedule_disk(machine, serial);
        }
    }

    fn schedule_disk(&mut self, machine: usize, serial: u64) {
        let takes = match self.machines[machine].disk_fault {
            DiskFault::None | DiskFault::Full => SYNC_TIME,
            DiskFault::Slow => SYNC_TIME * SLOW_FACTOR,
            DiskFault::Hung => return,
        };
        let at = self.now + self.rng.gen_range(takes / 2..=takes);
        let starts = self.machines[machine].starts;
        self.schedule_at(
            at,
            SimulatedEvent::DiskDone {
                machine,
                starts,
                serial,
            },
        );
    }

    /// Calls the process on a machine; nothing happens if it does not run.
    pub fn call(&mut self, machine: usize, call: N::Call, observer: &mut impl Observer<N>) {
        self.deliver(machine, Input::Call(call), observer);
    }

    /// Returns when something happens next.
    pub fn next_at(&self) -> Option<Micros> {
        self.schedule.first_key_value().map(|((at, _), _)| *at)
    }

    /// Lets time pass, with nothing happening.
    pub fn pass(&mut self, until: Micros) {
        assert!(
            self.next_at().is_none_or(|at| at >= until),
            "something happens before"
        );
        self.now = self.now.max(until);
    }

    /// Lets the next thing happen.
    pub fn step(&mut self, observer: &mut impl Observer<N>) {
        let Some(((at, _), what)) = self.schedule.pop_first() else {
            return;
        };
        self.now = at;
        match what {
            SimulatedEvent::Deliver { from, to, message } => {
                if !self.cuts.contains(&(from, to)) {
                    self.deliver(to, Input::Message(message), observer);
                }
            }
            SimulatedEvent::Wake(machine) => {
                if self.machines[machine].wake_at == Some(at) {
                    self.machines[machine].wake_at = None;
                    self.deliver(machine, Input::Tick, observer);
                }
            }
            SimulatedEvent::DiskDone {
                machine,
                starts,
                serial,
            } => self.disk_done(machine, starts, serial, observer),
        }
    }

    fn disk_done(
        &mut self,
        machine: usize,
        starts: u64,
        serial: u64,
        observer: &mut impl Observer<N>,
    ) {
        let this = &mut self.machines[machine];
        if this.starts != starts || this.disk_fault == DiskFault::Hung {
            return;
        }
        let Some((_, write)) = this.writing.take_if(|(writing, _)| *writing == serial) else {
            return;
        };
        let input = if this.disk_fault == DiskFault::Full {
            Input::Refused(serial)
        } else {
            N::put(&mut this.disk, write);
            Input::Synced(serial)
        };
        self.deliver(machine, input, observer);
    }

    fn deliver(&mut self, machine: usize, input: Input<N>, observer: &mut impl Observer<N>) {
        let now = self.clock(machine);
        let this = &mut self.machines[machine];
        let Some(node) = &mut this.node else { return };
        if let Some(inbox) = &mut this.inbox {
            inbox.push(input);
            return;
        }
        let effects = node.step(now, input);
        self.perform(machine, effects, observer);
    }

    fn perform(
        &mut self,
        machine: usize,
        effects: Vec<Effect<N>>,
        observer: &mut impl Observer<N>,
    ) {
        self.steps += 1;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    observer.sent(machine, &self.machines[machine].disk, &message);
                    self.send(machine, to, message);
                }
                Effect::Write { serial, write } => {
                    let before = self.machines[machine].writing.replace((serial, write));
                    assert!(before.is_none(), "machine {machine} writes twice at a time");
                    self.schedule_disk(machine, serial);
                }
                Effect::Observation(observation) => observer.observed(machine, observation),
            }
        }
        if let Some(node) = &self.machines[machine].node {
            observer.after_step(machine, node);
        }
        self.schedule_wake(machine);
    }

    fn schedule_wake(&mut self, machine: usize) {
        let due = self.machines[machine].node.as_ref().and_then(N::next_wake);
        let clock = self.clock(machine);
        // A due time that stays in the past would keep a real process busy.
        let overdue = due.is_some_and(|due| due <= clock);
        let this = &mut self.machines[machine];
        this.overdue = if overdue { this.overdue + 1 } else { 0 };
        assert!(
            this.overdue < 3,
            "machine {machine} wants to be woken again and again"
        );
        let at = due.map(|due| {
            self.now + due.saturating_sub(clock) + self.rng.gen_range(1..MAX_TIMER_DELAY)
        });
        self.machines[machine].wake_at = at;
        if let Some(at) = at {
            self.schedule_at(at, SimulatedEvent::Wake(machine));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, message: N::Message) {
        self.messages += 1;
        let Some(to) = (0..self.machines.len()).find(|machine| address(*machine) == to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) || self.rng.gen_ratio(self.net.lost, 1000) {
            return;
        }
        let mut queued = 0;
        if let Some(rate) = self.rate {
            let sent_at = &mut self.machines[from].sent_at;
            *sent_at = self.now.max(*sent_at) + N::weight(&message) as u64 * SECOND / rate;
            queued = *sent_at - self.now;
        }
        let copies = if self.rng.gen_ratio(self.net.doubled, 1000) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let lag = self.machines[from].lag + self.machines[to].lag;
            let delay = queued
                + self.net.delay
                + self.rng.gen_range(0..=self.net.jitter)
                + self.rng.gen_range(0..=lag);
            self.schedule_at(
                self.now + delay,
                SimulatedEvent::Deliver {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }
}
