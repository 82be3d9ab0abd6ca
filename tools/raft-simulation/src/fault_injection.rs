//! Faults at random, and their repair.

use crate::{DiskFault, Micros, NetworkProfile, Observer, Process, Simulator, MILLI, SECOND};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// What breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends, or the machine loses power, and comes back.
    Kill(usize),
    /// All machines lose power, and come back.
    KillAll,
    /// Comes back with an empty disk.
    Wipe(usize),
    /// The process stops for a while and goes on.
    Pause(usize),
    /// Nothing passes between the two.
    Partition(usize, usize),
    /// Nothing passes one way.
    OneWayPartition {
        /// Who is not heard.
        from: usize,
        /// By whom.
        to: usize,
    },
    /// Nothing comes in.
    NoInbound(usize),
    /// Nothing goes out.
    NoOutbound(usize),
    /// A disk is in trouble.
    Disk(usize, DiskFault),
    /// Short of processor time.
    Slow(usize),
    /// All links lose, double, delay and swap messages.
    UnreliableNetwork,
    /// A new machine, empty.
    AddNode,
    /// SIGTERM, and it starts again.
    Restart(usize),
    /// SIGTERM, and it is gone for good.
    Decommission(usize),
    /// Gone for good, at once.
    Lost(usize),
    /// A new machine takes the place of one that is gone, or will be.
    Replace {
        /// Whose place is taken.
        of: usize,
        /// By whom.
        by: usize,
    },
    /// One that was gone for good starts.
    Return(usize),
}

/// How a fault ends.
enum Repair {
    Config(usize),
    Thaw(usize),
    Join(usize, usize),
    Disk(usize),
    Lag(usize),
    NetworkProfile,
}

/// Breaks things in a world, seeded.
pub struct FaultInjector {
    rng: ChaCha8Rng,
    next_at: Micros,
    /// The longest pause between two faults.
    pause: Micros,
    calm: NetworkProfile,
    ahead: BTreeMap<(Micros, u64), Repair>,
    order: u64,
}

impl FaultInjector {
    /// From `start` on; `pause` is the longest time between two faults.
    pub fn new(seed: u64, start: Micros, pause: Micros, calm: NetworkProfile) -> FaultInjector {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc4a0);
        FaultInjector {
            rng,
            next_at: start,
            pause,
            calm,
            ahead: BTreeMap::new(),
            order: 0,
        }
    }

    /// When it acts next.
    pub fn next_at(&self) -> Micros {
        self.ahead
            .first_key_value()
            .map_or(self.next_at, |((at, _), _)| self.next_at.min(*at))
    }

    /// Mends what is due; returns the fault that is due, for the caller to allow, note and pass to [`FaultInjector::inject`].
    pub fn act<N: Process>(
        &mut self,
        simulator: &mut Simulator<N>,
        observer: &mut impl Observer<N>,
    ) -> Option<Fault> {
        while self
            .ahead
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= simulator.now())
        {
            let (_, repair) = self.ahead.pop_first().expect("looked at");
            self.repair(simulator, repair, observer);
        }
        if simulator.now() < self.next_at {
            return None;
        }
        self.next_at = simulator.now() + self.rng.gen_range(20 * MILLI..self.pause);
        Some(self.draw(simulator.machines()))
    }

    /// No more faults, and all is well again.
    pub fn end<N: Process>(
        &mut self,
        simulator: &mut Simulator<N>,
        observer: &mut impl Observer<N>,
    ) {
        self.next_at = Micros::MAX;
        while let Some((_, repair)) = self.ahead.pop_first() {
            self.repair(simulator, repair, observer);
        }
    }

    fn draw(&mut self, machines: usize) -> Fault {
        let rng = &mut self.rng;
        let one = rng.gen_range(0..machines);
        let other = (one + rng.gen_range(1..machines.max(2))) % machines;
        match rng.gen_range(0..100) {
            0..=15 => Fault::Kill(one),
            16..=21 => Fault::KillAll,
            22..=33 => Fault::Wipe(one),
            34..=45 => Fault::Pause(one),
            46..=51 => Fault::Partition(one, other),
            52..=59 => Fault::OneWayPartition {
                from: one,
                to: other,
            },
            60..=63 => Fault::NoInbound(one),
            64..=67 => Fault::NoOutbound(one),
            68..=83 => {
                let disk_fault = [DiskFault::Slow, DiskFault::Hung, DiskFault::Full];
                Fault::Disk(one, *disk_fault.choose(rng).expect("some"))
            }
            84..=89 => Fault::Slow(one),
            90..=96 => Fault::UnreliableNetwork,
            _ => Fault::AddNode,
        }
    }

    /// Injects a fault now and schedules its repair. `AddNode` is the caller's.
    pub fn inject<N: Process>(&mut self, simulator: &mut Simulator<N>, fault: Fault) {
        let all = 0..simulator.machines();
        match fault {
            Fault::Kill(machine) => {
                simulator.kill(machine);
                self.later(simulator, 50, 3_000, Repair::Config(machine));
            }
            Fault::KillAll => {
                for machine in all {
                    simulator.kill(machine);
                    self.later(simulator, 50, 1_000, Repair::Config(machine));
                }
            }
            Fault::Wipe(machine) => {
                simulator.wipe(machine);
                self.later(simulator, 50, 3_000, Repair::Config(machine));
            }
            Fault::Pause(machine) => {
                simulator.freeze(machine);
                self.later(simulator, 50, 4_000, Repair::Thaw(machine));
            }
            Fault::Partition(one, other) => {
                self.cut(simulator, one, other);
                self.cut(simulator, other, one);
            }
            Fault::OneWayPartition { from, to } => self.cut(simulator, from, to),
            Fault::NoInbound(machine) => all
                .filter(|other| *other != machine)
                .for_each(|other| self.cut(simulator, other, machine)),
            Fault::NoOutbound(machine) => all
                .filter(|other| *other != machine)
                .for_each(|other| self.cut(simulator, machine, other)),
            Fault::Disk(machine, disk_fault) => {
                simulator.set_disk_fault(machine, disk_fault);
                self.later(simulator, 100, 5_000, Repair::Disk(machine));
            }
            Fault::Slow(machine) => {
                simulator.set_lag(machine, self.rng.gen_range(MILLI..300 * MILLI));
                self.later(simulator, 100, 5_000, Repair::Lag(machine));
            }
            Fault::UnreliableNetwork => {
                simulator.net = NetworkProfile {
                    delay: self.calm.delay,
                    jitter: self.rng.gen_range(0..200 * MILLI),
                    lost: self.rng.gen_range(0..300),
                    doubled: self.rng.gen_range(0..200),
                };
                self.later(simulator, 100, 5_000, Repair::NetworkProfile);
            }
            Fault::AddNode
            | Fault::Restart(_)
            | Fault::Decommission(_)
            | Fault::Lost(_)
            | Fault::Replace { .. }
            | Fault::Return(_) => {}
        }
    }

    fn cut<N: Process>(&mut self, simulator: &mut Simulator<N>, from: usize, to: usize) {
        simulator.cut(from, to);
        self.later(simulator, 100, 5_000, Repair::Join(from, to));
    }

    /// Between `least` and `most` milliseconds from now.
    fn later<N: Process>(
        &mut self,
        simulator: &Simulator<N>,
        least: u64,
        most: u64,
        repair: Repair,
    ) {
        self.order += 1;
        let at = simulator.now() + self.rng.gen_range(least * MILLI..most * MILLI);
        self.ahead.insert((at, self.order), repair);
    }

    fn repair<N: Process>(
        &mut self,
        simulator: &mut Simulator<N>,
        repair: Repair,
        observer: &mut impl Observer<N>,
    ) {
        match repair {
            Repair::Config(machine) => simulator.start(machine, observer),
            Repair::Thaw(machine) => simulator.thaw(machine, observer),
            Repair::Join(from, to) => simulator.join(from, to),
            Repair::Disk(machine) => simulator.set_disk_fault(machine, DiskFault::None),
            Repair::Lag(machine) => simulator.set_lag(machine, 0),
            Repair::NetworkProfile => simulator.net = self.calm,
        }
    }
}

/// How long a run may take to recover once all is repaired.
pub(crate) const RECOVERY: Micros = 12 * SECOND;
