//! Machines that are lost or leave for good, and successors at new addresses: the next losses that `tolerated_failures` allows
//! come as soon as they may, and find a leader.

use magpieline_raft_simulation::{address, Cluster, ClusterConfig, NetworkProfile, MILLI, SECOND};
use rstest::rstest;

const CATCH_UP: u64 = 4 * SECOND;
/// A leader has to stand again within this whenever no more is lost than is to be borne.
const LED_WITHIN: u64 = 5 * SECOND;

/// Machines with a leader that has led for a second.
fn led_cluster(machines: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(ClusterConfig {
        seed,
        machines,
        net: NetworkProfile::RELIABLE,
    });
    cluster.run_until_first_leader();
    cluster.run_for(CATCH_UP);
    cluster
}

fn is_led(cluster: &mut Cluster) {
    cluster.run_for(LED_WITHIN);
    assert!(
        cluster.leader().is_some(),
        "no leader: {}",
        cluster.report()
    );
}

fn ends(cluster: &mut Cluster, machine: usize, in_order: bool) {
    if in_order {
        return cluster.leave(machine);
    }
    cluster.simulator.kill(machine);
}

#[rstest]
fn the_next_losses_after_a_replacement_leave_a_leader(
    #[values(3, 5)] machines: usize,
    #[values(true, false)] in_order: bool,
    #[values(true, false)] successor_first: bool,
    #[values(0, 1, 2)] seed: u64,
) {
    let mut cluster = led_cluster(machines, 100 + seed);
    let tolerated_failures = (machines - 1) / 2;
    let old = (cluster.leader().unwrap() + seed as usize) % machines;
    if successor_first {
        cluster.add_with(vec![address(old)]);
        cluster.run_for(CATCH_UP);
    }
    ends(&mut cluster, old, in_order);
    if !successor_first {
        cluster.run_for(SECOND);
        cluster.add_with(vec![address((old + 1) % machines), address(old)]);
    }
    cluster.run_for(CATCH_UP);
    let lost: Vec<usize> = (1..=tolerated_failures)
        .map(|step| (old + step) % machines)
        .collect();
    lost.iter()
        .for_each(|machine| cluster.simulator.kill(*machine));
    is_led(&mut cluster);
    lost.iter().for_each(|machine| cluster.start(*machine));
    is_led(&mut cluster);
}

/// Guards a rolling restart: each machine, the leader among them, has left soon after SIGTERM, is a voter again at its
/// address as it was, and nobody is without a leader for long.
#[rstest]
fn a_rolling_restart_is_quick(#[values(3, 5)] machines: usize, #[values(0, 1, 2)] seed: u64) {
    let mut cluster = led_cluster(machines, 200 + seed);
    let voters = |cluster: &Cluster| {
        cluster
            .node(cluster.leader().unwrap())
            .unwrap()
            .raft()
            .voters()
            .to_vec()
    };
    let before = voters(&cluster);
    for machine in 0..machines {
        let begun = cluster.simulator.now();
        cluster.leave(machine);
        assert!(
            cluster.simulator.now() - begun < 250 * MILLI,
            "{} us",
            cluster.simulator.now() - begun
        );
        let led = |cluster: &Cluster| cluster.leader().is_some_and(|leader| leader != machine);
        let end = cluster.simulator.now() + 50 * MILLI;
        assert!(cluster.run_until(end, led), "{}", cluster.report());
        cluster.revive(machine);
        cluster.run_for(CATCH_UP);
    }
    assert_eq!(voters(&cluster), before);
}

/// Guards the vote of a machine that stops while a learner waits: it is the learner's before the process ends.
#[rstest]
fn a_seat_is_handed_on_before_the_end(
    #[values(3, 5)] machines: usize,
    #[values(0, 1, 2)] seed: u64,
) {
    let mut cluster = led_cluster(machines, 300 + seed);
    let old = (cluster.leader().unwrap() + seed as usize) % machines;
    let node_id = cluster.node(old).unwrap().raft().id();
    let new = cluster.add_with(vec![address(old)]);
    cluster.run_for(SECOND);
    cluster.leave(old);
    let leader = cluster.leader().expect("one leads all the while");
    let voters = cluster.node(leader).unwrap().raft().voters();
    assert!(!voters.contains(&node_id), "{}", cluster.report());
    assert!(voters.contains(&cluster.node(new).unwrap().raft().id()));
}
