//! Things break by chance, and are mended again.

use crate::{Micros, Net, Node, Trouble, Watch, World, MILLI, SECOND};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// What breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends, or the machine loses power, and comes back.
    Kill(usize),
    KillAll,
    /// Comes back with an empty disk.
    Wipe(usize),
    Freeze(usize),
    /// Nothing passes between the two.
    Cut(usize, usize),
    OneWay {
        from: usize,
        to: usize,
    },
    /// Nothing comes in.
    Deaf(usize),
    /// Nothing goes out.
    Mute(usize),
    Disk(usize, Trouble),
    /// Short of processor time.
    Lags(usize),
    /// All links lose, double, delay and swap messages.
    Rough,
    /// A new machine, empty.
    Add,
    /// SIGTERM, and it starts again.
    Restart(usize),
    /// SIGTERM, and it is gone for good.
    Retire(usize),
    /// Gone for good, at once.
    Gone(usize),
    /// A new machine takes the place of one that is gone, or will be.
    Succeed {
        of: usize,
        by: usize,
    },
    /// One that was gone for good starts.
    Revive(usize),
}

/// How a fault ends.
enum Mend {
    Start(usize),
    Thaw(usize),
    Join(usize, usize),
    Disk(usize),
    Lag(usize),
    Net,
}

/// Breaks things in a world, seeded.
pub struct Chaos {
    rng: ChaCha8Rng,
    next_at: Micros,
    /// The longest pause between two faults.
    pause: Micros,
    calm: Net,
    ahead: BTreeMap<(Micros, u64), Mend>,
    order: u64,
}

impl Chaos {
    /// From `start` on; `pause` is the longest time between two faults.
    pub fn new(seed: u64, start: Micros, pause: Micros, calm: Net) -> Chaos {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc4a0);
        Chaos {
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

    /// Mends what is due; returns the fault that is due, for the caller to allow, note and pass to [`Chaos::break_it`].
    pub fn act<N: Node>(
        &mut self,
        world: &mut World<N>,
        watch: &mut impl Watch<N>,
    ) -> Option<Fault> {
        while self
            .ahead
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= world.now())
        {
            let (_, mend) = self.ahead.pop_first().expect("looked at");
            self.mend(world, mend, watch);
        }
        if world.now() < self.next_at {
            return None;
        }
        self.next_at = world.now() + self.rng.gen_range(20 * MILLI..self.pause);
        Some(self.draw(world.machines()))
    }

    /// No more faults, and all is well again.
    pub fn end<N: Node>(&mut self, world: &mut World<N>, watch: &mut impl Watch<N>) {
        self.next_at = Micros::MAX;
        while let Some((_, mend)) = self.ahead.pop_first() {
            self.mend(world, mend, watch);
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
            34..=45 => Fault::Freeze(one),
            46..=51 => Fault::Cut(one, other),
            52..=59 => Fault::OneWay {
                from: one,
                to: other,
            },
            60..=63 => Fault::Deaf(one),
            64..=67 => Fault::Mute(one),
            68..=83 => {
                let trouble = [Trouble::Slow, Trouble::Hangs, Trouble::Full];
                Fault::Disk(one, *trouble.choose(rng).expect("some"))
            }
            84..=89 => Fault::Lags(one),
            90..=96 => Fault::Rough,
            _ => Fault::Add,
        }
    }

    /// Breaks it now and plans when it is mended. `Add` is the caller's.
    pub fn break_it<N: Node>(&mut self, world: &mut World<N>, fault: Fault) {
        let all = 0..world.machines();
        match fault {
            Fault::Kill(machine) => {
                world.kill(machine);
                self.later(world, 50, 3_000, Mend::Start(machine));
            }
            Fault::KillAll => {
                for machine in all {
                    world.kill(machine);
                    self.later(world, 50, 1_000, Mend::Start(machine));
                }
            }
            Fault::Wipe(machine) => {
                world.wipe(machine);
                self.later(world, 50, 3_000, Mend::Start(machine));
            }
            Fault::Freeze(machine) => {
                world.freeze(machine);
                self.later(world, 50, 4_000, Mend::Thaw(machine));
            }
            Fault::Cut(one, other) => {
                self.cut(world, one, other);
                self.cut(world, other, one);
            }
            Fault::OneWay { from, to } => self.cut(world, from, to),
            Fault::Deaf(machine) => all
                .filter(|other| *other != machine)
                .for_each(|other| self.cut(world, other, machine)),
            Fault::Mute(machine) => all
                .filter(|other| *other != machine)
                .for_each(|other| self.cut(world, machine, other)),
            Fault::Disk(machine, trouble) => {
                world.set_trouble(machine, trouble);
                self.later(world, 100, 5_000, Mend::Disk(machine));
            }
            Fault::Lags(machine) => {
                world.set_lag(machine, self.rng.gen_range(MILLI..300 * MILLI));
                self.later(world, 100, 5_000, Mend::Lag(machine));
            }
            Fault::Rough => {
                world.net = Net {
                    delay: self.calm.delay,
                    jitter: self.rng.gen_range(0..200 * MILLI),
                    lost: self.rng.gen_range(0..300),
                    doubled: self.rng.gen_range(0..200),
                };
                self.later(world, 100, 5_000, Mend::Net);
            }
            Fault::Add
            | Fault::Restart(_)
            | Fault::Retire(_)
            | Fault::Gone(_)
            | Fault::Succeed { .. }
            | Fault::Revive(_) => {}
        }
    }

    fn cut<N: Node>(&mut self, world: &mut World<N>, from: usize, to: usize) {
        world.cut(from, to);
        self.later(world, 100, 5_000, Mend::Join(from, to));
    }

    /// Between `least` and `most` milliseconds from now.
    fn later<N: Node>(&mut self, world: &World<N>, least: u64, most: u64, mend: Mend) {
        self.order += 1;
        let at = world.now() + self.rng.gen_range(least * MILLI..most * MILLI);
        self.ahead.insert((at, self.order), mend);
    }

    fn mend<N: Node>(&mut self, world: &mut World<N>, mend: Mend, watch: &mut impl Watch<N>) {
        match mend {
            Mend::Start(machine) => world.start(machine, watch),
            Mend::Thaw(machine) => world.thaw(machine, watch),
            Mend::Join(from, to) => world.join(from, to),
            Mend::Disk(machine) => world.set_trouble(machine, Trouble::None),
            Mend::Lag(machine) => world.set_lag(machine, 0),
            Mend::Net => world.net = self.calm,
        }
    }
}

/// How long a run may take to stand again once all is mended.
pub(crate) const RECOVERY: Micros = 12 * SECOND;
