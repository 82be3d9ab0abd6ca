//! Losses of machines as a deployment promises them: never more at once than `tolerated_failures`, the next as soon as the last has had its
//! `recovery_interval`, and whenever no more than that is lost somebody leads.

use crate::cluster::{Cluster, GRACE};
use crate::simulated_node::Call;
use crate::{address, DiskFault, Fault, Micros, MILLI, SECOND};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// There is a leader again within this.
const MAX_TIME_WITHOUT_LEADER: Micros = 5 * SECOND;
/// Machines that one run may bring up beside the first ones: all spare ones of a large deployment, and some.
const MAX_ADDED: usize = 9;
/// The longest pause between two looks whether something may be lost.
const PAUSE: Micros = 400 * MILLI;

/// The state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Up since then.
    Up(Micros),
    /// Down, frozen, slowed, cut off, or its disk in trouble.
    Lost,
    /// It has received SIGTERM, and is to start again or not; SIGKILL comes then.
    Leaving { again: bool, ends: Micros },
    /// For good.
    Gone,
}

/// What is scheduled.
#[derive(Clone, Copy, Debug)]
enum Due {
    Back(usize),
    /// A successor of the machine starts.
    Successor(usize),
}

/// The losses of a run, past and scheduled.
pub(crate) struct FailureSchedule {
    rng: ChaCha8Rng,
    health: Vec<Health>,
    /// The machines that replace others.
    successor: BTreeMap<usize, usize>,
    ahead: BTreeMap<(Micros, u64), Due>,
    order: u64,
    next_at: Micros,
    /// Since when no more is lost than is tolerated, and when there was a leader last.
    within_tolerance_since: Option<Micros>,
    led_at: Micros,
}

impl FailureSchedule {
    fn later(&mut self, at: Micros, due: Due) {
        self.order += 1;
        self.ahead.insert((at, self.order), due);
    }

    /// Returns seeds as an operator's list has them: two others that serve, or did just now, and one that may be gone.
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

    fn is_lost(&self, machine: usize, now: Micros, recovery_interval: Micros) -> bool {
        match self.health[machine] {
            Health::Up(since) => now < since + recovery_interval,
            Health::Lost => true,
            Health::Leaving { .. } | Health::Gone => false,
        }
    }

    /// Counts the machines that are lost. One that leaves for good, or is gone, counts until its successor, or that one's,
    /// has had its time; the two together count once.
    fn count(&self, now: Micros, recovery_interval: Micros) -> usize {
        let machines = 0..self.health.len();
        let lost = machines
            .clone()
            .filter(|machine| self.is_lost(*machine, now, recovery_interval))
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

impl Cluster {
    /// Loses machines as `tolerated_failures` and `recovery_interval` allow, with clients calling, for so many steps; then
    /// repairs all and checks that everything acknowledged is there. Panics if not, or if there was no leader when there
    /// should have been one.
    pub fn run_with_bounded_failures(&mut self, seed: u64, steps: u64) {
        self.run_for(self.simulator.recovery_interval);
        let now = self.simulator.now();
        let mut schedule = FailureSchedule {
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x1055),
            health: vec![Health::Up(0); self.simulator.machines()],
            successor: BTreeMap::new(),
            ahead: BTreeMap::new(),
            order: 0,
            next_at: now,
            within_tolerance_since: None,
            led_at: now,
        };
        let mut call_at = 0;
        while self.simulator.steps() < steps {
            let due = schedule
                .ahead
                .first_key_value()
                .map_or(Micros::MAX, |((at, _), _)| *at);
            let next = schedule.next_at.min(call_at).min(due);
            if self.simulator.next_at().is_some_and(|at| at <= next) {
                self.step();
            } else {
                self.simulator.pass(next);
                if next == due {
                    let (_, due) = schedule.ahead.pop_first().expect("looked at");
                    self.happen(&mut schedule, due);
                } else if next == call_at {
                    call_at = next + schedule.rng.gen_range(MILLI..150 * MILLI);
                    self.call_randomly();
                } else {
                    schedule.next_at = next + schedule.rng.gen_range(10 * MILLI..PAUSE);
                    self.lose(&mut schedule);
                }
            }
            self.finish_shutdowns(&mut schedule);
            self.check_leader(&mut schedule);
        }
        while let Some((_, due)) = schedule.ahead.pop_first() {
            self.happen(&mut schedule, due);
        }
        for machine in 0..schedule.health.len() {
            match schedule.health[machine] {
                Health::Leaving { again: false, .. } => self.remove(machine),
                Health::Leaving { again: true, .. } => self.simulator.kill(machine),
                _ => {}
            }
        }
        self.recover();
    }

    fn check_leader(&mut self, schedule: &mut FailureSchedule) {
        let now = self.simulator.now();
        let count = schedule.count(now, self.simulator.recovery_interval);
        if count > self.simulator.tolerated_failures {
            schedule.within_tolerance_since = None;
            return;
        }
        let since = *schedule.within_tolerance_since.get_or_insert(now);
        if self.leader().is_some() {
            schedule.led_at = now;
        }
        let silent = now - since.max(schedule.led_at);
        assert!(
            silent <= MAX_TIME_WITHOUT_LEADER,
            "nobody leads, {count} lost, {:?}: {}",
            schedule.health,
            self.report()
        );
    }

    /// Ends the processes that have shut down, or whose time to do so is over.
    fn finish_shutdowns(&mut self, schedule: &mut FailureSchedule) {
        let now = self.simulator.now();
        for machine in 0..schedule.health.len() {
            let Health::Leaving { again, ends } = schedule.health[machine] else {
                continue;
            };
            if now < ends
                && !self
                    .node(machine)
                    .is_some_and(|node| node.raft().has_left())
            {
                continue;
            }
            if again {
                self.simulator.kill(machine);
                schedule.health[machine] = Health::Lost;
                let back = now + schedule.rng.gen_range(50 * MILLI..2 * SECOND);
                schedule.later(back, Due::Back(machine));
            } else {
                self.remove(machine);
                schedule.health[machine] = Health::Gone;
            }
        }
    }

    fn happen(&mut self, schedule: &mut FailureSchedule, due: Due) {
        let now = self.simulator.now();
        match due {
            Due::Back(machine) => {
                if schedule.health[machine] == Health::Gone {
                    return;
                }
                for other in 0..self.simulator.machines() {
                    self.simulator.join(machine, other);
                    self.simulator.join(other, machine);
                }
                self.simulator.set_disk_fault(machine, DiskFault::None);
                self.simulator.set_lag(machine, 0);
                if self.node(machine).is_none() {
                    let seeds = schedule.seeds(machine, machine);
                    self.simulator.set_seeds(machine, seeds);
                }
                self.start(machine);
                self.thaw(machine);
                schedule.health[machine] = Health::Up(now);
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
                self.succeed(schedule, of);
            }
        }
    }

    fn cut_off(&mut self, machine: usize, deaf: bool, mute: bool) {
        self.cut_off.insert(machine);
        for other in (0..self.simulator.machines()).filter(|other| *other != machine) {
            if deaf {
                self.simulator.cut(other, machine);
            }
            if mute {
                self.simulator.cut(machine, other);
            }
        }
    }

    /// Starts a successor, with seeds of that moment, and the machine that it replaces among them.
    fn succeed(&mut self, schedule: &mut FailureSchedule, of: usize) {
        if schedule.successor.contains_key(&of) {
            return;
        }
        let seeds = schedule.seeds(self.simulator.machines(), of);
        let machine = self.add_with(seeds);
        schedule.health.push(Health::Up(self.simulator.now()));
        schedule.successor.insert(of, machine);
        self.record_fault(Fault::Replace { of, by: machine });
        self.cut_off
            .clone()
            .into_iter()
            .for_each(|cut| self.cut_off(cut, true, true));
    }

    /// Loses a machine at random, if it may be lost now.
    fn lose(&mut self, schedule: &mut FailureSchedule) {
        let (now, recovery_interval) = (self.simulator.now(), self.simulator.recovery_interval);
        let machine = schedule.rng.gen_range(0..schedule.health.len());
        let count = schedule.count(now, recovery_interval);
        let room = self.simulator.tolerated_failures.saturating_sub(count);
        let draw = schedule.rng.gen_range(0..1000);
        // One that leaves, with its successor standing, would be lost at once and for good: no list bears that.
        let leaves = |health: &Health| matches!(health, Health::Leaving { again: false, .. });
        if draw < 3 && !schedule.health.iter().any(leaves) {
            return self.lose_all(schedule, room);
        }
        let added = schedule.health.len() - self.first_machines();
        let is_new = |machine: usize| {
            schedule
                .successor
                .values()
                .any(|successor| *successor == machine)
        };
        match schedule.health[machine] {
            Health::Gone if room > 0 && added < MAX_ADDED && draw < 30 => {
                return self.return_removed(schedule, machine);
            }
            Health::Up(_) => {}
            _ => return,
        }
        // One that counts already may be struck again.
        let counts = schedule.is_lost(machine, now, recovery_interval);
        if counts && count > self.simulator.tolerated_failures {
            return;
        }
        let covered = schedule.successor.contains_key(&machine);
        if room == 0 && !counts {
            // Its successor stands, so that it may go without counting; but only in order.
            if covered && draw < 300 {
                self.retire(schedule, machine);
            }
            return;
        }
        if counts && !is_new(machine) && draw < 900 {
            return;
        }
        let may_add = added < MAX_ADDED && !covered;
        self.inject_loss(schedule, machine, draw, may_add);
    }

    /// Starts a machine again that was removed, as an additional one.
    fn return_removed(&mut self, schedule: &mut FailureSchedule, machine: usize) {
        if schedule.rng.gen() {
            self.wipe(machine);
        }
        let seeds = schedule.seeds(machine, machine);
        self.simulator.set_seeds(machine, seeds);
        self.revive(machine);
        // Who took its place is a machine of its own now.
        schedule.successor.remove(&machine);
        schedule.health[machine] = Health::Up(self.simulator.now());
        self.record_fault(Fault::Return(machine));
    }

    /// Loses a machine, for a while or for good, as the draw from 0 to 1000 says. `may_add`: a successor may be added.
    fn inject_loss(
        &mut self,
        schedule: &mut FailureSchedule,
        machine: usize,
        draw: u32,
        may_add: bool,
    ) {
        let now = self.simulator.now();
        let back = now + schedule.rng.gen_range(50 * MILLI..4 * SECOND);
        match draw {
            0..700 => {
                let fault = self.break_machine(schedule, machine, draw);
                self.record_fault(fault);
                schedule.health[machine] = Health::Lost;
                schedule.later(back, Due::Back(machine));
            }
            700..760 => {
                self.call(machine, Call::Leave);
                schedule.health[machine] = Health::Leaving {
                    again: true,
                    ends: now + GRACE,
                };
                self.record_fault(Fault::Restart(machine));
            }
            760..880 if may_add => {
                // A successor comes first, or after, or long after.
                if schedule.rng.gen() {
                    return self.succeed(schedule, machine);
                }
                let wait = schedule.rng.gen_range(0..3 * SECOND);
                schedule.later(now + wait, Due::Successor(machine));
                self.retire(schedule, machine);
            }
            880..960 if may_add => {
                // Lost for good, and not in order.
                self.remove(machine);
                schedule.health[machine] = Health::Gone;
                let wait = schedule.rng.gen_range(0..3 * SECOND);
                schedule.later(now + wait, Due::Successor(machine));
                self.record_fault(Fault::Lost(machine));
            }
            _ => {}
        }
    }

    /// Breaks a machine in a way that is repaired later, as the draw from 0 to 700 says.
    fn break_machine(
        &mut self,
        schedule: &mut FailureSchedule,
        machine: usize,
        draw: u32,
    ) -> Fault {
        match draw {
            0..200 => {
                self.simulator.kill(machine);
                Fault::Kill(machine)
            }
            200..380 => {
                self.wipe(machine);
                Fault::Wipe(machine)
            }
            380..480 => {
                self.simulator.freeze(machine);
                Fault::Pause(machine)
            }
            480..600 => {
                let (deaf, mute) =
                    [(true, true), (true, false), (false, true)][schedule.rng.gen_range(0..3)];
                self.cut_off(machine, deaf, mute);
                Fault::NoInbound(machine)
            }
            600..660 => {
                let disk_fault = [DiskFault::Slow, DiskFault::Hung, DiskFault::Full];
                let disk_fault = *disk_fault.choose(&mut schedule.rng).expect("some");
                self.simulator.set_disk_fault(machine, disk_fault);
                Fault::Disk(machine, disk_fault)
            }
            _ => {
                let lag = schedule.rng.gen_range(MILLI..300 * MILLI);
                self.simulator.set_lag(machine, lag);
                Fault::Slow(machine)
            }
        }
    }

    fn retire(&mut self, schedule: &mut FailureSchedule, machine: usize) {
        self.call(machine, Call::Leave);
        let ends = self.simulator.now() + GRACE;
        schedule.health[machine] = Health::Leaving { again: false, ends };
        self.record_fault(Fault::Decommission(machine));
    }

    /// Ends all processes at once, as by a loss of power; as many disks are lost as may still be.
    fn lose_all(&mut self, schedule: &mut FailureSchedule, room: usize) {
        let now = self.simulator.now();
        let mut room = room;
        for machine in 0..schedule.health.len() {
            match schedule.health[machine] {
                Health::Gone => continue,
                Health::Up(_) if room > 0 && schedule.rng.gen_ratio(1, 3) => {
                    room -= 1;
                    self.wipe(machine);
                    self.record_fault(Fault::Wipe(machine));
                }
                _ => self.simulator.kill(machine),
            }
            if let Health::Leaving { again: false, .. } = schedule.health[machine] {
                self.remove(machine);
                schedule.health[machine] = Health::Gone;
                continue;
            }
            schedule.health[machine] = Health::Lost;
            let back = now + schedule.rng.gen_range(50 * MILLI..SECOND);
            schedule.later(back, Due::Back(machine));
        }
        self.record_fault(Fault::KillAll);
    }
}
