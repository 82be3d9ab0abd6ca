//! Losses as a deployment promises them: never more at once than `withstand`, the next as soon as the last has had its
//! `catch_up`, and whenever no more than that is lost somebody leads.

use crate::cluster::{Call, Grove, GRACE};
use crate::{address, Fault, Micros, Trouble, MILLI, SECOND};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Somebody leads again within this.
pub const LED_WITHIN: Micros = 5 * SECOND;
/// Machines that one run may bring up beside the first ones: all spare ones of a large deployment, and some.
const MOST_ADDED: usize = 9;
/// The longest pause between two looks whether something may be lost.
const PAUSE: Micros = 400 * MILLI;

/// How a machine is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Up since then.
    Up(Micros),
    /// Down, frozen, slowed, cut off, or its disk in trouble.
    Lost,
    /// It has got SIGTERM, and is to start again or not; SIGKILL comes then.
    Leaving { again: bool, ends: Micros },
    /// For good.
    Gone,
}

/// What is to happen.
#[derive(Clone, Copy, Debug)]
enum Due {
    Back(usize),
    /// A successor of the machine starts.
    Successor(usize),
}

/// The account of a run's losses.
pub(crate) struct Losses {
    rng: ChaCha8Rng,
    health: Vec<Health>,
    /// Who takes whose place.
    successor: BTreeMap<usize, usize>,
    ahead: BTreeMap<(Micros, u64), Due>,
    order: u64,
    next_at: Micros,
    /// Since when no more is lost than is to be borne, and when somebody last led.
    bearable_since: Option<Micros>,
    led_at: Micros,
}

impl Losses {
    fn later(&mut self, at: Micros, due: Due) {
        self.order += 1;
        self.ahead.insert((at, self.order), due);
    }

    /// As the operator's list has them: two others that serve, or did just now, and one that may be gone.
    fn seeds(&mut self, machine: usize, third: usize) -> Vec<SocketAddrV4> {
        let serving = |other: &usize| *other != machine && self.health[*other] != Health::Gone;
        let mut serving: Vec<usize> = (0..self.health.len()).filter(serving).collect();
        serving.shuffle(&mut self.rng);
        serving.sort_by_key(|machine| !matches!(self.health[*machine], Health::Up(_)));
        serving
            .into_iter()
            .take(2)
            .chain([third])
            .map(address)
            .collect()
    }

    fn is_lost(&self, machine: usize, now: Micros, catch_up: Micros) -> bool {
        match self.health[machine] {
            Health::Up(since) => now < since + catch_up,
            Health::Lost => true,
            Health::Leaving { .. } | Health::Gone => false,
        }
    }

    /// How many machines count as lost. One that leaves for good, or is gone, counts until its successor, or that one's,
    /// has had its time; the two together count once.
    fn count(&self, now: Micros, catch_up: Micros) -> usize {
        let machines = 0..self.health.len();
        let lost = machines
            .clone()
            .filter(|machine| self.is_lost(*machine, now, catch_up))
            .count();
        let away = |machine: &usize| match self.health[*machine] {
            Health::Leaving { again: true, .. } => true,
            Health::Leaving { again: false, .. } | Health::Gone => {
                !self.successor.contains_key(machine)
            }
            _ => false,
        };
        lost + machines.filter(away).count()
    }
}

impl Grove {
    /// Loses machines as `withstand` and `catch_up` allow, with clients calling, for so many steps; then all are back, and
    /// all that was acknowledged is there. Panics if not, or if nobody led when somebody should have.
    pub fn endure_losses(&mut self, seed: u64, steps: u64) {
        self.run_for(self.world.catch_up);
        let now = self.world.now();
        let mut losses = Losses {
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x1055),
            health: vec![Health::Up(0); self.world.machines()],
            successor: BTreeMap::new(),
            ahead: BTreeMap::new(),
            order: 0,
            next_at: now,
            bearable_since: None,
            led_at: now,
        };
        let mut call_at = 0;
        while self.world.steps() < steps {
            let due = losses
                .ahead
                .first_key_value()
                .map_or(Micros::MAX, |((at, _), _)| *at);
            let next = losses.next_at.min(call_at).min(due);
            if self.world.next_at().is_some_and(|at| at <= next) {
                self.step();
            } else {
                self.world.pass(next);
                if next == due {
                    let (_, due) = losses.ahead.pop_first().expect("looked at");
                    self.happen(&mut losses, due);
                } else if next == call_at {
                    call_at = next + losses.rng.gen_range(MILLI..150 * MILLI);
                    self.call_by_chance();
                } else {
                    losses.next_at = next + losses.rng.gen_range(10 * MILLI..PAUSE);
                    self.lose(&mut losses);
                }
            }
            self.see_off(&mut losses);
            self.check_led(&mut losses);
        }
        while let Some((_, due)) = losses.ahead.pop_first() {
            self.happen(&mut losses, due);
        }
        for machine in 0..losses.health.len() {
            match losses.health[machine] {
                Health::Leaving { again: false, .. } => self.end(machine),
                Health::Leaving { again: true, .. } => self.world.kill(machine),
                _ => {}
            }
        }
        self.recover();
    }

    fn check_led(&mut self, losses: &mut Losses) {
        let now = self.world.now();
        let count = losses.count(now, self.world.catch_up);
        if count > self.world.withstand {
            losses.bearable_since = None;
            return;
        }
        let since = *losses.bearable_since.get_or_insert(now);
        if self.leader().is_some() {
            losses.led_at = now;
        }
        let silent = now - since.max(losses.led_at);
        assert!(
            silent <= LED_WITHIN,
            "nobody leads, {count} lost, {:?}: {}",
            losses.health,
            self.report()
        );
    }

    /// Those that have left, or whose time to do so is over.
    fn see_off(&mut self, losses: &mut Losses) {
        let now = self.world.now();
        for machine in 0..losses.health.len() {
            let Health::Leaving { again, ends } = losses.health[machine] else {
                continue;
            };
            if now < ends
                && !self
                    .tree(machine)
                    .is_some_and(|tree| tree.core().has_left())
            {
                continue;
            }
            if again {
                self.world.kill(machine);
                losses.health[machine] = Health::Lost;
                let back = now + losses.rng.gen_range(50 * MILLI..2 * SECOND);
                losses.later(back, Due::Back(machine));
            } else {
                self.end(machine);
                losses.health[machine] = Health::Gone;
            }
        }
    }

    fn happen(&mut self, losses: &mut Losses, due: Due) {
        let now = self.world.now();
        match due {
            Due::Back(machine) => {
                if losses.health[machine] == Health::Gone {
                    return;
                }
                for other in 0..self.world.machines() {
                    self.world.join(machine, other);
                    self.world.join(other, machine);
                }
                self.world.set_trouble(machine, Trouble::None);
                self.world.set_lag(machine, 0);
                if self.tree(machine).is_none() {
                    let seeds = losses.seeds(machine, machine);
                    self.world.set_seeds(machine, seeds);
                }
                self.start(machine);
                self.thaw(machine);
                losses.health[machine] = Health::Up(now);
                // Links of those that are still cut off stay cut.
                let cut: Vec<usize> = self
                    .cut_off
                    .iter()
                    .copied()
                    .filter(|cut| *cut != machine)
                    .collect();
                self.cut_off.remove(&machine);
                cut.into_iter()
                    .for_each(|cut| self.cut_off(cut, true, true));
            }
            Due::Successor(of) => {
                self.succeed(losses, of);
            }
        }
    }

    fn cut_off(&mut self, machine: usize, deaf: bool, mute: bool) {
        self.cut_off.insert(machine);
        for other in (0..self.world.machines()).filter(|other| *other != machine) {
            if deaf {
                self.world.cut(other, machine);
            }
            if mute {
                self.world.cut(machine, other);
            }
        }
    }

    /// A successor starts, with seeds of that moment, and the one that it succeeds among them.
    fn succeed(&mut self, losses: &mut Losses, of: usize) {
        if losses.successor.contains_key(&of) {
            return;
        }
        let seeds = losses.seeds(self.world.machines(), of);
        let machine = self.add_with(seeds);
        losses.health.push(Health::Up(self.world.now()));
        losses.successor.insert(of, machine);
        self.tell(Fault::Succeed { of, by: machine });
        self.cut_off
            .clone()
            .into_iter()
            .for_each(|cut| self.cut_off(cut, true, true));
    }

    /// Loses something, if that may be lost now.
    fn lose(&mut self, losses: &mut Losses) {
        let (now, catch_up) = (self.world.now(), self.world.catch_up);
        let machine = losses.rng.gen_range(0..losses.health.len());
        let count = losses.count(now, catch_up);
        let room = self.world.withstand.saturating_sub(count);
        let draw = losses.rng.gen_range(0..1000);
        // One that leaves, with its successor standing, would be lost at once and for good: no list bears that.
        let leaves = |health: &Health| matches!(health, Health::Leaving { again: false, .. });
        if draw < 3 && !losses.health.iter().any(leaves) {
            return self.lose_all(losses, room);
        }
        let added = losses.health.len() - self.first_machines();
        let is_new = |machine: usize| {
            losses
                .successor
                .values()
                .any(|successor| *successor == machine)
        };
        match losses.health[machine] {
            Health::Gone if room > 0 && added < MOST_ADDED && draw < 30 => {
                // Back from the dead, as a machine more.
                if losses.rng.gen() {
                    self.wipe(machine);
                }
                let seeds = losses.seeds(machine, machine);
                self.world.set_seeds(machine, seeds);
                self.revive(machine);
                // Who took its place is a machine of its own now.
                losses.successor.remove(&machine);
                losses.health[machine] = Health::Up(now);
                return self.tell(Fault::Revive(machine));
            }
            Health::Up(_) => {}
            _ => return,
        }
        // One that counts already may be struck again.
        let counts = losses.is_lost(machine, now, catch_up);
        if counts && count > self.world.withstand {
            return;
        }
        let covered = losses.successor.contains_key(&machine);
        if room == 0 && !counts {
            // Its successor stands, so that it may go without counting; but only in order.
            if covered && draw < 300 {
                self.retire(losses, machine);
            }
            return;
        }
        if counts && !is_new(machine) && draw < 900 {
            return;
        }
        let back = now + losses.rng.gen_range(50 * MILLI..4 * SECOND);
        let fault = match draw {
            0..200 => {
                self.world.kill(machine);
                Fault::Kill(machine)
            }
            200..380 => {
                self.wipe(machine);
                Fault::Wipe(machine)
            }
            380..480 => {
                self.world.freeze(machine);
                Fault::Freeze(machine)
            }
            480..600 => {
                let (deaf, mute) =
                    [(true, true), (true, false), (false, true)][losses.rng.gen_range(0..3)];
                self.cut_off(machine, deaf, mute);
                Fault::Deaf(machine)
            }
            600..660 => {
                let trouble = [Trouble::Slow, Trouble::Hangs, Trouble::Full];
                let trouble = *trouble.choose(&mut losses.rng).expect("some");
                self.world.set_trouble(machine, trouble);
                Fault::Disk(machine, trouble)
            }
            660..700 => {
                self.world
                    .set_lag(machine, losses.rng.gen_range(MILLI..300 * MILLI));
                Fault::Lags(machine)
            }
            700..760 => {
                self.call(machine, Call::Leave);
                losses.health[machine] = Health::Leaving {
                    again: true,
                    ends: now + GRACE,
                };
                return self.tell(Fault::Restart(machine));
            }
            760..880 if added < MOST_ADDED && !covered => {
                // A successor comes first, or after, or long after.
                if losses.rng.gen() {
                    return self.succeed(losses, machine);
                }
                let wait = losses.rng.gen_range(0..3 * SECOND);
                losses.later(now + wait, Due::Successor(machine));
                return self.retire(losses, machine);
            }
            880..960 if added < MOST_ADDED && !covered => {
                // Lost for good, and not in order.
                self.end(machine);
                losses.health[machine] = Health::Gone;
                let wait = losses.rng.gen_range(0..3 * SECOND);
                losses.later(now + wait, Due::Successor(machine));
                return self.tell(Fault::Gone(machine));
            }
            _ => return,
        };
        self.tell(fault);
        losses.health[machine] = Health::Lost;
        losses.later(back, Due::Back(machine));
    }

    fn retire(&mut self, losses: &mut Losses, machine: usize) {
        self.call(machine, Call::Leave);
        let ends = self.world.now() + GRACE;
        losses.health[machine] = Health::Leaving { again: false, ends };
        self.tell(Fault::Retire(machine));
    }

    /// All processes end at once, or all power goes; as many as may still be lost lose their disks.
    fn lose_all(&mut self, losses: &mut Losses, room: usize) {
        let now = self.world.now();
        let mut room = room;
        for machine in 0..losses.health.len() {
            match losses.health[machine] {
                Health::Gone => continue,
                Health::Up(_) if room > 0 && losses.rng.gen_ratio(1, 3) => {
                    room -= 1;
                    self.wipe(machine);
                    self.tell(Fault::Wipe(machine));
                }
                _ => self.world.kill(machine),
            }
            if let Health::Leaving { again: false, .. } = losses.health[machine] {
                self.end(machine);
                losses.health[machine] = Health::Gone;
                continue;
            }
            losses.health[machine] = Health::Lost;
            let back = now + losses.rng.gen_range(50 * MILLI..SECOND);
            losses.later(back, Due::Back(machine));
        }
        self.tell(Fault::KillAll);
    }
}
