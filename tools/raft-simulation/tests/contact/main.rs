//! Counters and sorting machines under cuts, freezes and kills: nothing is served by that a majority has not confirmed
//! after the counter asked, nothing is taken of a leader of the past, and what a counter says of its own freshness is
//! true; no two leases run at once. Checked after every step.

mod machines;
mod pipe;

use machines::{Call, Machine, Observation};
use magpieline_raft::Term;
use magpieline_raft_simulation::{
    address, Fault, FaultInjector, Micros, NetworkProfile, Observer, Simulator, MILLI, SECOND,
};
use rstest::rstest;
use std::collections::HashMap;

/// A counter takes a leader at its word for so long after the report that it names.
const FRESH: Micros = 2 * SECOND;

struct Checks {
    now: Micros,
    sorting: usize,
    /// When, which edition, by the leader of which term.
    acknowledged: Vec<(Micros, u64, Term)>,
    /// By counter and its edition in the life that runs.
    terms: HashMap<usize, u64>,
    editions: HashMap<usize, u64>,
}

impl Checks {
    /// The newest edition that was acknowledged before.
    fn newest(&self, before: Micros) -> u64 {
        self.acknowledged
            .iter()
            .filter(|(at, ..)| *at < before)
            .map(|(_, number, _)| *number)
            .max()
            .unwrap_or(0)
    }

    fn restarted(&mut self, machine: usize) {
        self.terms.remove(&machine);
        self.editions.remove(&machine);
    }
}

impl Observer<Machine> for Checks {
    fn observed(&mut self, machine: usize, note: Observation) {
        match note {
            Observation::Acknowledged { number, term } => {
                self.acknowledged.push((self.now, number, term))
            }
            Observation::Took { term } => {
                let before = self.terms.insert(machine, term).unwrap_or(0);
                assert!(
                    term >= before,
                    "counter {machine} took a word of term {term} after one of {before}"
                );
            }
        }
    }

    fn after_step(&mut self, machine: usize, node: &Machine) {
        let Some(counter) = node.counter() else {
            return;
        };
        let before = self.editions.insert(machine, counter.edition).unwrap_or(0);
        assert!(
            counter.edition >= before,
            "counter {machine} went back from {before} to {}",
            counter.edition
        );
        // Clocks run up to a thousandth too fast: that much longer ago is sure.
        let ago = |at: Micros| self.now.saturating_sub(counter.now - at);
        let confirmed = counter.controller_client.confirmed_at();
        if let Some(at) = confirmed {
            let newest = self.newest(ago(at));
            assert!(
                counter.edition >= newest,
                "counter {machine} has {} and calls itself up to date as of {} ms, when {newest} was acknowledged",
                counter.edition,
                ago(at) / MILLI
            );
        }
        assert!(
            !counter.knows() || confirmed.is_some(),
            "counter {machine} serves by what nobody confirmed"
        );
        if counter.controller_client.is_following(counter.now) {
            let (term, since) = (
                counter.controller_client.term(),
                self.now.saturating_sub(FRESH + FRESH / 500),
            );
            let newer = self
                .acknowledged
                .iter()
                .find(|(at, _, other)| *at < since && *other > term);
            assert!(
                newer.is_none(),
                "counter {machine} holds the leader of {term} at {}: {newer:?}",
                self.now
            );
        }
    }
}

/// Sorting machines first, then counters.
struct Hall {
    simulator: Simulator<Machine>,
    checks: Checks,
    next_edition: u64,
}

impl Hall {
    fn open(seed: u64, sorting: usize, counters: usize) -> Hall {
        let mut simulator = Simulator::new(seed, NetworkProfile::RELIABLE);
        let seeds: Vec<_> = (0..sorting).map(address).collect();
        let checks = Checks {
            now: 0,
            sorting,
            acknowledged: Vec::new(),
            terms: HashMap::new(),
            editions: HashMap::new(),
        };
        (0..sorting + counters).for_each(|_| _ = simulator.add(seeds.clone(), true));
        let mut hall = Hall {
            simulator,
            checks,
            next_edition: 1,
        };
        (0..sorting + counters).for_each(|machine| hall.start(machine));
        hall.run_until(2 * SECOND, |hall| hall.leader().is_some());
        hall.replace_until_acknowledged();
        let end = hall.simulator.now() + 2 * SECOND;
        assert!(hall.run_until(end, Hall::all_serve), "counters don't begin");
        hall
    }

    fn all(&self) -> std::ops::Range<usize> {
        0..self.simulator.machines()
    }

    fn counters(&self) -> std::ops::Range<usize> {
        self.checks.sorting..self.simulator.machines()
    }

    fn start(&mut self, machine: usize) {
        self.checks.now = self.simulator.now();
        self.simulator.start(machine, &mut self.checks);
    }

    fn kill(&mut self, machine: usize) {
        self.simulator.kill(machine);
        self.checks.restarted(machine);
    }

    /// The newest leader that runs.
    fn leader(&self) -> Option<usize> {
        let leading = (0..self.checks.sorting).filter_map(|machine| {
            let core = self.simulator.node(machine)?.core()?;
            let now = self.simulator.clock(machine);
            (core.holds_lease(now) && !self.simulator.is_frozen(machine))
                .then_some((core.term(), machine))
        });
        leading.max().map(|(_, machine)| machine)
    }

    fn counter(&self, machine: usize) -> Option<&machines::Counter> {
        self.simulator.node(machine)?.counter()
    }

    /// All counters hold a leader, and have the newest edition.
    fn all_serve(&self) -> bool {
        let newest = self.checks.newest(Micros::MAX);
        self.counters().all(|machine| {
            self.counter(machine).is_some_and(|counter| {
                counter.knows()
                    && counter.edition >= newest
                    && counter
                        .controller_client
                        .is_following(self.simulator.clock(machine))
            })
        })
    }

    fn step(&mut self) {
        self.checks.now = self.simulator.next_at().expect("beats never end");
        self.simulator.step(&mut self.checks);
        // Frozen ones count: they go on with what they looked at before.
        let lease = |machine: &usize| {
            let core = self.simulator.node(*machine).and_then(Machine::core);
            core.is_some_and(|core| core.holds_lease(self.simulator.clock(*machine)))
        };
        let leads: Vec<usize> = (0..self.checks.sorting).filter(lease).collect();
        assert!(leads.len() < 2, "the leases of {leads:?} run at once");
    }

    fn run_until(&mut self, end: Micros, done: impl Fn(&Hall) -> bool) -> bool {
        while !done(self) {
            if self.simulator.next_at().is_none_or(|at| at > end) {
                return false;
            }
            self.step();
        }
        true
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.simulator.now() + span;
        self.run_until(end, |_| false);
    }

    /// Sends a new edition to a machine; its number.
    fn replace(&mut self, machine: usize) -> u64 {
        self.next_edition += 1;
        self.checks.now = self.simulator.now();
        self.simulator
            .call(machine, Call::Replace(self.next_edition), &mut self.checks);
        self.next_edition
    }

    fn is_acknowledged(&self, number: u64) -> bool {
        self.checks
            .acknowledged
            .iter()
            .any(|(_, acknowledged, _)| *acknowledged == number)
    }

    fn replace_until_acknowledged(&mut self) -> u64 {
        for _ in 0..100 {
            let Some(leader) = self.leader() else {
                self.run_for(50 * MILLI);
                continue;
            };
            let number = self.replace(leader);
            let end = self.simulator.now() + 500 * MILLI;
            if self.run_until(end, |hall| hall.is_acknowledged(number)) {
                return number;
            }
        }
        panic!("nothing is acknowledged")
    }

    /// Cuts a sorting machine off from the other ones.
    fn cut_off(&mut self, machine: usize, deaf: bool, mute: bool) {
        for other in (0..self.checks.sorting).filter(|other| *other != machine) {
            if deaf {
                self.simulator.cut(other, machine);
            }
            if mute {
                self.simulator.cut(machine, other);
            }
        }
    }

    fn join_all(&mut self) {
        for one in self.all() {
            self.all().for_each(|other| self.simulator.join(one, other));
        }
    }
}

/// Guards against a counter that starts while it reaches just a machine that is cut off, and serves by what that knows;
/// against one that stays with such a machine, and an order that it confirms.
#[rstest]
#[case::silent(true, true)]
#[case::deaf(true, false)]
#[case::mute(false, true)]
fn a_leader_cut_off_for_twenty_seconds(
    #[case] deaf: bool,
    #[case] mute: bool,
    #[values(3, 5)] sorting: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut hall = Hall::open(seed, sorting, 4);
    let old = hall.leader().expect("one");
    hall.cut_off(old, deaf, mute);
    // The last two reach nobody but the old leader; the very last starts anew.
    let (stuck, anew) = (sorting + 2, sorting + 3);
    hall.kill(anew);
    for other in (0..sorting).filter(|other| *other != old) {
        for counter in [stuck, anew] {
            hall.simulator.cut(counter, other);
            hall.simulator.cut(other, counter);
        }
    }
    // Just before anybody has noticed.
    let refused = hall.replace(old);
    hall.start(anew);
    hall.run_for(2 * SECOND);
    let newest = hall.replace_until_acknowledged();
    for _ in 0..18 {
        hall.run_for(SECOND);
        let counter = hall.counter(anew).expect("it runs");
        assert!(
            !counter.knows() && counter.edition == 0,
            "it serves by edition {}",
            counter.edition
        );
        let now = hall.simulator.clock(stuck);
        assert!(
            !hall
                .counter(stuck)
                .expect("it runs")
                .controller_client
                .is_following(now),
            "it holds a leader of the past"
        );
        assert!(!hall.is_acknowledged(refused) || hall.checks.newest(Micros::MAX) >= newest);
    }
    assert!((sorting..sorting + 2).all(|c| hall.counter(c).is_some_and(|c| c.edition >= newest)));
    hall.join_all();
    let end = hall.simulator.now() + 2 * SECOND;
    assert!(hall.run_until(end, Hall::all_serve), "they don't come back");
}

/// Guards against a beat that is said after the lease: the first thing that the next leader acknowledges is not older than
/// what a counter of the old one believes to know all of.
#[rstest]
fn a_leader_says_that_it_leads_under_its_lease_only(#[values(true, false)] mute: bool) {
    for seed in 0..10 * seeds() {
        println!("seed {seed}");
        let mut hall = Hall::open(seed, 3, 8);
        let old = hall.leader().expect("one");
        hall.cut_off(old, true, mute);
        let end = hall.simulator.now() + 2 * SECOND;
        assert!(hall.run_until(end, |hall| hall
            .leader()
            .is_some_and(|leader| leader != old)));
        let new = hall.leader().expect("just seen");
        let number = hall.replace(new);
        assert!(hall.run_until(end, |hall| hall.is_acknowledged(number)));
        hall.run_for(500 * MILLI);
    }
}

/// Guards against a leader that was frozen and goes on telling counters, and against what still waits in its links.
#[rstest]
fn a_frozen_leader_thaws(#[values(350, 900, 20_000)] span: u64, #[values(1, 2, 3)] seed: u64) {
    let mut hall = Hall::open(seed, 3, 4);
    let old = hall.leader().expect("one");
    hall.simulator.freeze(old);
    if span >= 900 {
        hall.run_for(span.min(2_000) * MILLI);
        hall.replace_until_acknowledged();
        hall.run_for(span.saturating_sub(2_000) * MILLI);
    } else {
        hall.run_for(span * MILLI);
    }
    hall.checks.now = hall.simulator.now();
    hall.simulator.thaw(old, &mut hall.checks);
    hall.replace_until_acknowledged();
    let end = hall.simulator.now() + 3 * SECOND;
    assert!(hall.run_until(end, Hall::all_serve), "they don't come back");
}

/// Guards against a start that takes long after all power was lost: counters serve again, by what was acknowledged, soon
/// after there is a leader.
#[rstest]
fn all_lose_power(#[values(3, 5)] sorting: usize, #[values(1, 2, 3)] seed: u64) {
    let mut hall = Hall::open(seed, sorting, 6);
    hall.replace_until_acknowledged();
    hall.all().for_each(|machine| hall.kill(machine));
    hall.run_for(SECOND);
    hall.all().for_each(|machine| hall.start(machine));
    let end = hall.simulator.now() + 1_300 * MILLI;
    assert!(
        hall.run_until(end, |hall| hall.leader().is_some()),
        "no leader"
    );
    // Each asks again within 80 ms.
    let end = hall.simulator.now() + 150 * MILLI;
    assert!(hall.run_until(end, Hall::all_serve), "counters don't begin");
}

/// How many seeds are played of what goes by chance.
fn seeds() -> u64 {
    std::env::var("CONTACT_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(5)
}

fn run_with_random_faults(seed: u64, sorting: usize, steps: u64) {
    let mut hall = Hall::open(seed, sorting, 4);
    let mut injector = FaultInjector::new(
        seed,
        hall.simulator.now(),
        [SECOND, 4 * SECOND][(seed % 2) as usize],
        NetworkProfile::RELIABLE,
    );
    let mut call_at = 0;
    while hall.simulator.steps() < steps {
        let next = injector.next_at().min(call_at);
        if hall.simulator.next_at().is_some_and(|at| at <= next) {
            hall.step();
            continue;
        }
        hall.simulator.pass(next);
        hall.checks.now = next;
        match injector.act(&mut hall.simulator, &mut hall.checks) {
            None | Some(Fault::Wipe(_) | Fault::AddNode) => {}
            Some(fault) => {
                match fault {
                    Fault::Kill(machine) => hall.checks.restarted(machine),
                    Fault::KillAll => hall
                        .all()
                        .for_each(|machine| hall.checks.restarted(machine)),
                    _ => {}
                }
                injector.inject(&mut hall.simulator, fault);
            }
        }
        if next >= call_at {
            call_at = next + 150 * MILLI;
            // All that think they lead are asked.
            let leads = |machine: &usize| {
                let core = hall.simulator.node(*machine).and_then(Machine::core);
                core.is_some_and(|core| core.role() == magpieline_raft::Role::Leader)
            };
            let asked: Vec<usize> = (0..sorting).filter(leads).collect();
            asked
                .into_iter()
                .for_each(|machine| _ = hall.replace(machine));
        }
    }
    hall.checks.now = hall.simulator.now();
    injector.end(&mut hall.simulator, &mut hall.checks);
    for machine in hall.all() {
        hall.start(machine);
        hall.simulator.thaw(machine, &mut hall.checks);
    }
    let end = hall.simulator.now() + 12 * SECOND;
    assert!(
        hall.run_until(end, |hall| hall.leader().is_some()),
        "no leader"
    );
    hall.replace_until_acknowledged();
    let end = hall.simulator.now() + 4 * SECOND;
    assert!(
        hall.run_until(end, Hall::all_serve),
        "counters don't come back"
    );
}

/// Guards all of it under whatever comes. `CONTACT_SEEDS` plays more.
#[rstest]
fn whatever_breaks(#[values(3, 5)] sorting: usize, #[values(0, 1, 2, 3)] part: u64) {
    let seeds = seeds();
    for seed in part * seeds..(part + 1) * seeds {
        println!("seed {seed}, {sorting} sorting machines");
        run_with_random_faults(seed, sorting, 10_000);
    }
}
