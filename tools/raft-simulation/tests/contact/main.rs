//! Proxies and controllers under partitions, freezes and kills: nothing is served by that a majority has not confirmed after
//! the proxy asked, nothing is accepted of a leader of the past, what a proxy says of its own freshness is true, and no two
//! leases run at once. Checked after every step.

mod machines;
mod pipe;

use machines::{Call, Machine, Observation};
use magpieline_raft::Term;
use magpieline_raft_simulation::{
    address, Fault, FaultInjector, Micros, NetworkProfile, Observer, Simulator, MILLI, SECOND,
};
use rstest::rstest;
use std::collections::HashMap;

/// A proxy trusts a leader for so long after the report that it names.
const TRUST_DURATION: Micros = 2 * SECOND;

struct Checks {
    now: Micros,
    controllers: usize,
    /// When, which version, by the leader of which term.
    acknowledged: Vec<(Micros, u64, Term)>,
    /// By proxy and its version in the incarnation that runs.
    terms: HashMap<usize, u64>,
    config_versions: HashMap<usize, Option<u64>>,
}

impl Checks {
    /// The newest configuration that was acknowledged before.
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
        self.config_versions.remove(&machine);
    }
}

impl Observer<Machine> for Checks {
    fn observed(&mut self, machine: usize, observation: Observation) {
        match observation {
            Observation::Acknowledged {
                version: number,
                term,
            } => self.acknowledged.push((self.now, number, term)),
            Observation::Accepted { term } => {
                let before = self.terms.insert(machine, term).unwrap_or(0);
                assert!(
                    term >= before,
                    "proxy {machine} accepted a message of term {term} after one of {before}"
                );
            }
        }
    }

    fn after_step(&mut self, machine: usize, node: &Machine) {
        let Some(proxy) = node.proxy() else {
            return;
        };
        let before = self
            .config_versions
            .insert(machine, proxy.config_version)
            .unwrap_or_default();
        assert!(
            proxy.config_version >= before,
            "proxy {machine} went back from {before:?} to {:?}",
            proxy.config_version
        );
        // Clocks run up to a thousandth too fast: that much longer ago is sure.
        let ago = |at: Micros| self.now.saturating_sub(proxy.now - at);
        let confirmed = proxy.controller_client.confirmed_at();
        if let Some(at) = confirmed {
            let newest = self.newest(ago(at));
            assert!(
                proxy.config_version.unwrap_or(0) >= newest,
                "proxy {machine} has {:?} and calls itself up to date as of {} ms, when {newest} was acknowledged",
                proxy.config_version,
                ago(at) / MILLI
            );
        }
        assert!(
            !proxy.is_initialized() || confirmed.is_some(),
            "proxy {machine} serves by what nobody confirmed"
        );
        if proxy.controller_client.is_following(proxy.now) {
            let (term, since) = (
                proxy.controller_client.term(),
                self.now
                    .saturating_sub(TRUST_DURATION + TRUST_DURATION / 500),
            );
            let newer = self
                .acknowledged
                .iter()
                .find(|(at, _, other)| *at < since && *other > term);
            assert!(
                newer.is_none(),
                "proxy {machine} holds the leader of {term} at {}: {newer:?}",
                self.now
            );
        }
    }
}

/// Controllers first, then proxies.
struct Cluster {
    simulator: Simulator<Machine>,
    checks: Checks,
    last_version: u64,
}

impl Cluster {
    fn new(seed: u64, controllers: usize, proxies: usize) -> Cluster {
        let mut simulator = Simulator::new(seed, NetworkProfile::RELIABLE);
        let seeds: Vec<_> = (0..controllers).map(address).collect();
        let checks = Checks {
            now: 0,
            controllers,
            acknowledged: Vec::new(),
            terms: HashMap::new(),
            config_versions: HashMap::new(),
        };
        (0..controllers + proxies).for_each(|_| _ = simulator.add(seeds.clone(), true));
        let mut cluster = Cluster {
            simulator,
            checks,
            last_version: 1,
        };
        (0..controllers + proxies).for_each(|machine| cluster.start(machine));
        cluster.run_until(2 * SECOND, |cluster| cluster.leader().is_some());
        cluster.replace_until_acknowledged();
        let end = cluster.simulator.now() + 2 * SECOND;
        assert!(
            cluster.run_until(end, Cluster::all_serve),
            "proxies don't begin"
        );
        cluster
    }

    fn all(&self) -> std::ops::Range<usize> {
        0..self.simulator.machines()
    }

    fn proxies(&self) -> std::ops::Range<usize> {
        self.checks.controllers..self.simulator.machines()
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
        let leading = (0..self.checks.controllers).filter_map(|machine| {
            let core = self.simulator.node(machine)?.raft()?;
            let now = self.simulator.clock(machine);
            (core.holds_lease(now) && !self.simulator.is_frozen(machine))
                .then_some((core.term(), machine))
        });
        leading.max().map(|(_, machine)| machine)
    }

    fn proxy(&self, machine: usize) -> Option<&machines::Proxy> {
        self.simulator.node(machine)?.proxy()
    }

    /// All proxies hold a leader, and have the newest configuration.
    fn all_serve(&self) -> bool {
        let newest = self.checks.newest(Micros::MAX);
        self.proxies().all(|machine| {
            self.proxy(machine).is_some_and(|proxy| {
                proxy.is_initialized()
                    && proxy.config_version.unwrap_or(0) >= newest
                    && proxy
                        .controller_client
                        .is_following(self.simulator.clock(machine))
            })
        })
    }

    fn step(&mut self) {
        self.checks.now = self.simulator.next_at().expect("heartbeats never end");
        self.simulator.step(&mut self.checks);
        // Frozen ones count: they go on with what they looked at before.
        let lease = |machine: &usize| {
            let core = self.simulator.node(*machine).and_then(Machine::raft);
            core.is_some_and(|core| core.holds_lease(self.simulator.clock(*machine)))
        };
        let leads: Vec<usize> = (0..self.checks.controllers).filter(lease).collect();
        assert!(leads.len() < 2, "the leases of {leads:?} run at once");
    }

    fn run_until(&mut self, end: Micros, done: impl Fn(&Cluster) -> bool) -> bool {
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

    /// Sends a new configuration to a machine; its number.
    fn replace(&mut self, machine: usize) -> u64 {
        self.last_version += 1;
        self.checks.now = self.simulator.now();
        self.simulator
            .call(machine, Call::Replace(self.last_version), &mut self.checks);
        self.last_version
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
            if self.run_until(end, |cluster| cluster.is_acknowledged(number)) {
                return number;
            }
        }
        panic!("nothing is acknowledged")
    }

    /// Cuts a controllers machine off from the other ones.
    fn partition(&mut self, machine: usize, deaf: bool, mute: bool) {
        for other in (0..self.checks.controllers).filter(|other| *other != machine) {
            if deaf {
                self.simulator.cut(other, machine);
            }
            if mute {
                self.simulator.cut(machine, other);
            }
        }
    }

    fn repair_all(&mut self) {
        for one in self.all() {
            self.all().for_each(|other| self.simulator.join(one, other));
        }
    }
}

/// Guards against a proxy that starts while it reaches just a machine that is cut off, and serves by what it knows;
/// against one that stays with such a machine, and an order that it confirms.
#[rstest]
#[case::silent(true, true)]
#[case::deaf(true, false)]
#[case::mute(false, true)]
fn a_leader_cut_off_for_twenty_seconds(
    #[case] deaf: bool,
    #[case] mute: bool,
    #[values(3, 5)] controllers: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::new(seed, controllers, 4);
    let old = cluster.leader().expect("one");
    cluster.partition(old, deaf, mute);
    // The last two reach nobody but the old leader; the very last starts anew.
    let (stuck, anew) = (controllers + 2, controllers + 3);
    cluster.kill(anew);
    for other in (0..controllers).filter(|other| *other != old) {
        for proxy in [stuck, anew] {
            cluster.simulator.cut(proxy, other);
            cluster.simulator.cut(other, proxy);
        }
    }
    // Just before anybody has noticed.
    let refused = cluster.replace(old);
    cluster.start(anew);
    cluster.run_for(2 * SECOND);
    let newest = cluster.replace_until_acknowledged();
    for _ in 0..18 {
        cluster.run_for(SECOND);
        let proxy = cluster.proxy(anew).expect("it runs");
        assert!(
            !proxy.is_initialized() && proxy.config_version.is_none(),
            "it serves by version {:?}",
            proxy.config_version
        );
        let now = cluster.simulator.clock(stuck);
        assert!(
            !cluster
                .proxy(stuck)
                .expect("it runs")
                .controller_client
                .is_following(now),
            "it holds a leader of the past"
        );
        assert!(!cluster.is_acknowledged(refused) || cluster.checks.newest(Micros::MAX) >= newest);
    }
    assert!((controllers..controllers + 2).all(|c| cluster
        .proxy(c)
        .is_some_and(|c| c.config_version.unwrap_or(0) >= newest)));
    cluster.repair_all();
    let end = cluster.simulator.now() + 2 * SECOND;
    assert!(
        cluster.run_until(end, Cluster::all_serve),
        "they don't come back"
    );
}

/// Guards against a heartbeat that is sent after the lease: the first thing that the next leader acknowledges is not older than
/// what a proxy of the old one believes to know all of.
#[rstest]
fn a_leader_says_that_it_leads_under_its_lease_only(#[values(true, false)] mute: bool) {
    for seed in 0..10 * seeds() {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 3, 8);
        let old = cluster.leader().expect("one");
        cluster.partition(old, true, mute);
        let end = cluster.simulator.now() + 2 * SECOND;
        assert!(cluster.run_until(end, |cluster| cluster
            .leader()
            .is_some_and(|leader| leader != old)));
        let new = cluster.leader().expect("just seen");
        let number = cluster.replace(new);
        assert!(cluster.run_until(end, |cluster| cluster.is_acknowledged(number)));
        cluster.run_for(500 * MILLI);
    }
}

/// Guards against a leader that was frozen and goes on telling proxies, and against what still waits in its connections.
#[rstest]
fn a_frozen_leader_thaws(#[values(350, 900, 20_000)] span: u64, #[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(seed, 3, 4);
    let old = cluster.leader().expect("one");
    cluster.simulator.freeze(old);
    if span >= 900 {
        cluster.run_for(span.min(2_000) * MILLI);
        cluster.replace_until_acknowledged();
        cluster.run_for(span.saturating_sub(2_000) * MILLI);
    } else {
        cluster.run_for(span * MILLI);
    }
    cluster.checks.now = cluster.simulator.now();
    cluster.simulator.thaw(old, &mut cluster.checks);
    cluster.replace_until_acknowledged();
    let end = cluster.simulator.now() + 3 * SECOND;
    assert!(
        cluster.run_until(end, Cluster::all_serve),
        "they don't come back"
    );
}

/// Guards against a start that takes long after all power was lost: proxies serve again, by what was acknowledged, soon
/// after there is a leader.
#[rstest]
fn all_lose_power(#[values(3, 5)] controllers: usize, #[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(seed, controllers, 6);
    cluster.replace_until_acknowledged();
    cluster.all().for_each(|machine| cluster.kill(machine));
    cluster.run_for(SECOND);
    cluster.all().for_each(|machine| cluster.start(machine));
    let end = cluster.simulator.now() + 1_300 * MILLI;
    assert!(
        cluster.run_until(end, |cluster| cluster.leader().is_some()),
        "no leader"
    );
    // Each asks again within 80 ms.
    let end = cluster.simulator.now() + 150 * MILLI;
    assert!(
        cluster.run_until(end, Cluster::all_serve),
        "proxies don't begin"
    );
}

/// How many seeds are played of what goes by chance.
fn seeds() -> u64 {
    std::env::var("CONTACT_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(5)
}

fn run_with_random_faults(seed: u64, controllers: usize, steps: u64) {
    let mut cluster = Cluster::new(seed, controllers, 4);
    let mut injector = FaultInjector::new(
        seed,
        cluster.simulator.now(),
        [SECOND, 4 * SECOND][(seed % 2) as usize],
        NetworkProfile::RELIABLE,
    );
    let mut call_at = 0;
    while cluster.simulator.steps() < steps {
        let next = injector.next_at().min(call_at);
        if cluster.simulator.next_at().is_some_and(|at| at <= next) {
            cluster.step();
            continue;
        }
        cluster.simulator.pass(next);
        cluster.checks.now = next;
        match injector.act(&mut cluster.simulator, &mut cluster.checks) {
            None | Some(Fault::Wipe(_) | Fault::AddNode) => {}
            Some(fault) => {
                match fault {
                    Fault::Kill(machine) => cluster.checks.restarted(machine),
                    Fault::KillAll => cluster
                        .all()
                        .for_each(|machine| cluster.checks.restarted(machine)),
                    _ => {}
                }
                injector.inject(&mut cluster.simulator, fault);
            }
        }
        if next >= call_at {
            call_at = next + 150 * MILLI;
            // All that think they lead are asked.
            let leads = |machine: &usize| {
                let core = cluster.simulator.node(*machine).and_then(Machine::raft);
                core.is_some_and(|core| core.role() == magpieline_raft::Role::Leader)
            };
            let asked: Vec<usize> = (0..controllers).filter(leads).collect();
            asked
                .into_iter()
                .for_each(|machine| _ = cluster.replace(machine));
        }
    }
    cluster.checks.now = cluster.simulator.now();
    injector.end(&mut cluster.simulator, &mut cluster.checks);
    for machine in cluster.all() {
        cluster.start(machine);
        cluster.simulator.thaw(machine, &mut cluster.checks);
    }
    let end = cluster.simulator.now() + 12 * SECOND;
    assert!(
        cluster.run_until(end, |cluster| cluster.leader().is_some()),
        "no leader"
    );
    cluster.replace_until_acknowledged();
    let end = cluster.simulator.now() + 4 * SECOND;
    assert!(
        cluster.run_until(end, Cluster::all_serve),
        "proxies don't come back"
    );
}

/// Guards all of it under whatever comes. `CONTACT_SEEDS` plays more.
#[rstest]
fn whatever_breaks(#[values(3, 5)] controllers: usize, #[values(0, 1, 2, 3)] part: u64) {
    let seeds = seeds();
    for seed in part * seeds..(part + 1) * seeds {
        println!("seed {seed}, {controllers} controllers machines");
        run_with_random_faults(seed, controllers, 10_000);
    }
}
