//! Faults that matter most, each injected on purpose. The cluster checks every step by itself: one leader a term, nothing
//! acknowledged lost, reads that see all, promises on disk before they are made.

use magpieline_raft::{NodeId, Outcome, Role};
use magpieline_raft_simulation::{
    address, Cluster, ClusterConfig, DiskFault, NetworkProfile, MILLI, SECOND,
};
use rstest::rstest;

/// Machines with a leader that has led for a second.
fn led_cluster(machines: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(ClusterConfig {
        seed,
        machines,
        net: NetworkProfile::RELIABLE,
    });
    cluster.run_until_first_leader();
    cluster.run_for(SECOND);
    acknowledge(&mut cluster);
    cluster
}

fn is_committed(cluster: &Cluster, request_id: u64) -> bool {
    matches!(cluster.outcome(request_id), Some(Outcome::Committed { .. }))
}

/// Has a command agreed on; returns just after the leader has acknowledged it.
fn acknowledge(cluster: &mut Cluster) {
    let request_id = cluster.propose(cluster.leader().expect("a leader"), 100);
    let end = cluster.simulator.now() + SECOND;
    assert!(
        cluster.run_until(end, |cluster| is_committed(cluster, request_id)),
        "{}",
        cluster.report()
    );
}

/// Waits for a leader that is not `old`, at most `span`.
fn next_leader(cluster: &mut Cluster, old: usize, span: u64) -> usize {
    let end = cluster.simulator.now() + span;
    let stands = |cluster: &Cluster| cluster.leader().is_some_and(|leader| leader != old);
    assert!(
        cluster.run_until(end, stands),
        "no new leader: {}",
        cluster.report()
    );
    cluster.leader().expect("just seen")
}

/// A read at the leader, which the cluster compares with what was acknowledged before.
fn read_back(cluster: &mut Cluster) {
    let request_id = cluster.read(cluster.leader().expect("a leader"));
    let end = cluster.simulator.now() + SECOND;
    assert!(
        cluster.run_until(end, |cluster| is_committed(cluster, request_id)),
        "{}",
        cluster.report()
    );
}

fn recovers(cluster: &mut Cluster, span: u64) {
    let end = cluster.simulator.now() + span;
    assert!(
        cluster.run_until(end, Cluster::has_recovered),
        "not whole: {}",
        cluster.report()
    );
}

fn all_but(cluster: &Cluster, machine: usize) -> Vec<usize> {
    (0..cluster.simulator.machines())
        .filter(|other| *other != machine)
        .collect()
}

/// Guards against an acknowledgement that only the leader's memory bore out.
#[rstest]
fn leader_killed_right_after_acknowledging(#[values(3, 5)] machines: usize) {
    let mut cluster = led_cluster(machines, 1);
    let old = cluster.leader().unwrap();
    cluster.simulator.kill(old);
    next_leader(&mut cluster, old, 1_100 * MILLI);
    read_back(&mut cluster);
    cluster.start(old);
    recovers(&mut cluster, SECOND);
}

/// Guards against counting a copy that goes with a disk, or a machine that forgot its vote: whoever of the three is wiped
/// right after the acknowledgement, with the power of the others lost.
#[rstest]
fn one_wiped_and_the_others_without_power(#[values(0, 1, 2)] wiped: usize) {
    let mut cluster = led_cluster(3, 2);
    let others = all_but(&cluster, wiped);
    cluster.wipe(wiped);
    others
        .iter()
        .for_each(|machine| cluster.simulator.kill(*machine));
    cluster.start(wiped);
    cluster.run_for(SECOND);
    assert_eq!(
        cluster.leader(),
        None,
        "an empty machine alone decides nothing"
    );
    others.iter().for_each(|machine| cluster.start(*machine));
    next_leader(&mut cluster, wiped, 1_500 * MILLI);
    read_back(&mut cluster);
    recovers(&mut cluster, 2 * SECOND);
}

/// Guards the return after a kill of all: from what is stored, without waiting for more than an election.
#[rstest]
fn all_killed_at_once(#[values(3, 5)] machines: usize) {
    let mut cluster = led_cluster(machines, 4);
    (0..machines).for_each(|machine| cluster.simulator.kill(machine));
    cluster.run_for(300 * MILLI);
    (0..machines).for_each(|machine| cluster.start(machine));
    next_leader(&mut cluster, machines, 1_200 * MILLI);
    read_back(&mut cluster);
    recovers(&mut cluster, SECOND);
}

/// Guards against a leader that holds up all because its own disk does not do: it gives way, stays alive, and is whole
/// again once its disk is.
#[rstest]
fn leader_with_a_bad_disk_gives_way(
    #[values(DiskFault::Hung, DiskFault::Full)] disk_fault: DiskFault,
) {
    let mut cluster = led_cluster(3, 5);
    let old = cluster.leader().unwrap();
    cluster.simulator.set_disk_fault(old, disk_fault);
    cluster.propose(old, 100);
    next_leader(&mut cluster, old, 2 * SECOND);
    acknowledge(&mut cluster);
    cluster.run_for(5 * SECOND);
    assert_ne!(cluster.leader(), Some(old));
    assert!(cluster.node(old).unwrap().raft().is_disk_degraded());
    cluster.simulator.set_disk_fault(old, DiskFault::None);
    recovers(&mut cluster, 2 * SECOND);
}

/// Guards against a follower's full disk holding up the others.
#[test]
fn a_follower_with_a_full_disk_holds_up_nobody() {
    let mut cluster = led_cluster(3, 6);
    let leader = cluster.leader().unwrap();
    let other = (leader + 1) % 3;
    cluster.simulator.set_disk_fault(other, DiskFault::Full);
    (0..20).for_each(|_| acknowledge(&mut cluster));
    cluster.run_for(3 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    cluster.simulator.set_disk_fault(other, DiskFault::None);
    recovers(&mut cluster, 2 * SECOND);
}

/// Guards against a leader that leads on in a cut, in either direction or both: another stands, the old one acknowledges
/// and reads nothing, and when the cut is over nobody is disturbed by a term raised in it.
#[rstest]
#[case(true, true)]
#[case(true, false)]
#[case(false, true)]
fn leader_cut_off(#[case] deaf: bool, #[case] mute: bool) {
    let mut cluster = led_cluster(3, 7);
    let old = cluster.leader().unwrap();
    for other in all_but(&cluster, old) {
        if deaf {
            cluster.simulator.cut(other, old);
        }
        if mute {
            cluster.simulator.cut(old, other);
        }
    }
    let (proposal, read) = (cluster.propose(old, 10), cluster.read(old));
    let new = next_leader(&mut cluster, old, 2 * SECOND);
    cluster.run_for(5 * SECOND);
    assert!(!is_committed(&cluster, proposal) && !is_committed(&cluster, read));
    let terms = cluster.terms();
    for other in all_but(&cluster, old) {
        cluster.simulator.join(other, old);
        cluster.simulator.join(old, other);
    }
    cluster.run_for(3 * SECOND);
    assert_eq!((cluster.leader(), cluster.terms()), (Some(new), terms));
    recovers(&mut cluster, SECOND);
}

/// Guards against a follower that hears and is not heard, or the reverse, and makes the others vote again and again.
#[rstest]
fn follower_cut_off_one_way(#[values(true, false)] deaf: bool) {
    let mut cluster = led_cluster(3, 8);
    let leader = cluster.leader().unwrap();
    let odd = (leader + 1) % 3;
    let terms = cluster.terms();
    for other in all_but(&cluster, odd) {
        let (from, to) = if deaf { (other, odd) } else { (odd, other) };
        cluster.simulator.cut(from, to);
    }
    cluster.run_for(10 * SECOND);
    acknowledge(&mut cluster);
    (0..3).for_each(|other| {
        cluster.simulator.join(other, odd);
        cluster.simulator.join(odd, other);
    });
    cluster.run_for(2 * SECOND);
    assert_eq!((cluster.leader(), cluster.terms()), (Some(leader), terms));
    assert!(cluster.has_recovered(), "{}", cluster.report());
}

/// Guards the way back of a wiped machine: filled from a snapshot and voting well under two seconds later.
#[rstest]
fn a_wiped_follower_votes_again_soon(#[values(3, 5)] machines: usize) {
    let mut cluster = led_cluster(machines, 9);
    (0..150).for_each(|_| acknowledge(&mut cluster));
    let wiped = (cluster.leader().unwrap() + 1) % machines;
    cluster.wipe(wiped);
    cluster.run_for(SECOND);
    cluster.start(wiped);
    recovers(&mut cluster, 700 * MILLI);
}

/// Guards the same while the leader that fills it is lost, at any moment of the filling.
#[rstest]
fn a_wiped_follower_votes_again_though_the_leader_changes(#[values(1, 6, 15)] after: u64) {
    let mut cluster = led_cluster(5, 10);
    (0..150).for_each(|_| acknowledge(&mut cluster));
    let old = cluster.leader().unwrap();
    let wiped = (old + 1) % 5;
    cluster.wipe(wiped);
    cluster.run_for(SECOND);
    cluster.start(wiped);
    cluster.run_for(after * MILLI);
    cluster.simulator.kill(old);
    next_leader(&mut cluster, old, 1_100 * MILLI);
    recovers(&mut cluster, 2 * SECOND);
    read_back(&mut cluster);
}

/// Guards the growth of the core up to the number that bears the losses promised: machines added with old seeds, of which
/// one address is right, vote soon, two at a time.
#[test]
fn added_machines_with_old_seeds_vote_soon() {
    let config = ClusterConfig {
        seed: 11,
        machines: 3,
        net: NetworkProfile::RELIABLE,
    };
    let mut cluster = Cluster::with_tolerance(config, 2, 4 * SECOND);
    cluster.run_until_first_leader();
    cluster.run_for(SECOND);
    cluster.add();
    cluster.run_for(SECOND);
    assert_eq!(cluster.node(0).unwrap().raft().voters().len(), 3);
    cluster.add();
    recovers(&mut cluster, SECOND);
    assert_eq!(cluster.node(0).unwrap().raft().voters().len(), 5);
}

/// Guards against a leader that was frozen and goes on as if no time had passed.
#[test]
fn an_old_leader_that_comes_back_follows() {
    let mut cluster = led_cluster(3, 12);
    let old = cluster.leader().unwrap();
    cluster.simulator.freeze(old);
    let new = next_leader(&mut cluster, old, 1_100 * MILLI);
    acknowledge(&mut cluster);
    // They wait in its inbox, before all that the others have to say.
    let (proposal, read) = (cluster.propose(old, 10), cluster.read(old));
    let terms = cluster.terms();
    cluster.thaw(old);
    cluster.run_for(2 * SECOND);
    assert_eq!((cluster.leader(), cluster.terms()), (Some(new), terms));
    assert_eq!(cluster.node(old).unwrap().raft().role(), Role::Follower);
    assert!(!is_committed(&cluster, proposal) && !is_committed(&cluster, read));
}

fn voters(cluster: &Cluster) -> Vec<NodeId> {
    cluster
        .node(cluster.leader().unwrap())
        .unwrap()
        .raft()
        .voters()
        .to_vec()
}

/// Guards against a voter that is gone for good and counts for ever: a machine that waits takes its place as soon as it
/// has been silent for a quarter of `recovery_interval`, and not before. When it comes back after all it waits in turn.
#[rstest]
fn a_voter_gone_for_good_is_replaced(#[values(true, false)] one_waits: bool) {
    let mut cluster = led_cluster(if one_waits { 4 } else { 3 }, 13);
    cluster.run_for(4 * SECOND);
    let leader = cluster.leader().unwrap();
    let is_voter =
        |machine: &usize| voters(&cluster).contains(&cluster.node(*machine).unwrap().raft().id());
    let gone = (0..3)
        .find(|machine| *machine != leader && is_voter(machine))
        .unwrap();
    let node_id = cluster.node(gone).unwrap().raft().id();
    cluster.simulator.kill(gone);
    if !one_waits {
        cluster.run_for(300 * MILLI);
        cluster.add_with(vec![address(leader)]);
    }
    cluster.run_for(500 * MILLI);
    assert!(voters(&cluster).contains(&node_id));
    cluster.run_for(500 * MILLI);
    assert!(!voters(&cluster).contains(&node_id));
    assert_eq!(voters(&cluster).len(), 3);
    cluster.start(gone);
    recovers(&mut cluster, 5 * SECOND);
    assert!(!voters(&cluster).contains(&node_id));
}

/// Guards against seats that are kept for machines that nobody replaces: of five voters, where one is to be borne, two
/// that are silent are taken out together, so that one more may go. When they are back they wait to vote.
#[test]
fn two_voters_gone_are_taken_out_where_enough_stay() {
    let mut cluster = led_cluster(5, 16);
    recovers(&mut cluster, SECOND);
    assert_eq!(voters(&cluster).len(), 5);
    cluster.simulator.set_tolerated_failures(1);
    for machine in 0..5 {
        cluster.simulator.kill(machine);
        cluster.start(machine);
        cluster.run_for(2 * SECOND);
    }
    assert_eq!(voters(&cluster).len(), 5);
    let leader = cluster.leader().unwrap();
    let gone = [(leader + 1) % 5, (leader + 2) % 5];
    gone.iter()
        .for_each(|machine| cluster.simulator.kill(*machine));
    cluster.run_for(1_200 * MILLI);
    assert_eq!(voters(&cluster).len(), 3);
    gone.iter().for_each(|machine| cluster.start(*machine));
    recovers(&mut cluster, 5 * SECOND);
    assert_eq!(voters(&cluster).len(), 3);
}

/// Guards against voters beyond those needed: machines that came early wait to vote, so that neither their loss nor
/// that of the machines which they succeed costs more than one vote.
#[test]
fn machines_beyond_those_needed_wait() {
    let mut cluster = led_cluster(3, 17);
    let before = voters(&cluster);
    (0..3).for_each(|_| {
        cluster.add();
    });
    cluster.run_for(SECOND);
    assert_eq!(voters(&cluster), before);
    recovers(&mut cluster, SECOND);
}

/// Guards against a pause at each roll-over: a leader that stops in order is replaced in a few milliseconds.
#[test]
fn a_leader_that_gives_way_is_replaced_at_once() {
    let mut cluster = led_cluster(3, 14);
    let old = cluster.leader().unwrap();
    cluster.step_down(old);
    next_leader(&mut cluster, old, 30 * MILLI);
}

/// Guards the price of being idle: a sign of life and its answer for each follower, ten times a second.
#[rstest]
fn idle_machines_say_little(#[values(3, 5)] machines: usize) {
    let mut cluster = led_cluster(machines, 15);
    cluster.run_for(SECOND);
    let before = cluster.simulator.messages();
    cluster.run_for(10 * SECOND);
    let most = 10 * 10 * 2 * (machines as u64 - 1);
    assert!(
        cluster.simulator.messages() - before <= most,
        "{} of {most}",
        cluster.simulator.messages() - before
    );
}
