//! Losses that matter most, each played on purpose. The grove checks every step by itself: one leader a term, nothing
//! acknowledged lost, reads that see all, promises on disk before they are made.

use magpieline_raft::{Outcome, Role, Seat};
use magpieline_raft_simulation::{address, Grove, Net, Planting, Trouble, MILLI, SECOND};
use rstest::rstest;

/// Machines with a leader that has led for a second.
fn grown(machines: usize, seed: u64) -> Grove {
    let mut grove = Grove::plant(Planting {
        seed,
        machines,
        net: Net::CALM,
    });
    assert!(
        grove.run_until(SECOND, |grove| grove.leader().is_some()),
        "a first leader within a second"
    );
    grove.run_for(SECOND);
    acknowledge(&mut grove);
    grove
}

fn is_committed(grove: &Grove, ticket: u64) -> bool {
    matches!(grove.outcome(ticket), Some(Outcome::Committed { .. }))
}

/// Has a command agreed on; returns just after the leader's word.
fn acknowledge(grove: &mut Grove) {
    let ticket = grove.propose(grove.leader().expect("a leader"), 100);
    let end = grove.world.now() + SECOND;
    assert!(
        grove.run_until(end, |grove| is_committed(grove, ticket)),
        "{}",
        grove.report()
    );
}

/// Waits for a leader that is not `old`, at most `span`.
fn next_leader(grove: &mut Grove, old: usize, span: u64) -> usize {
    let end = grove.world.now() + span;
    let stands = |grove: &Grove| grove.leader().is_some_and(|leader| leader != old);
    assert!(
        grove.run_until(end, stands),
        "no new leader: {}",
        grove.report()
    );
    grove.leader().expect("just seen")
}

/// A read at the leader, which the grove compares with what was acknowledged before.
fn read_back(grove: &mut Grove) {
    let ticket = grove.read(grove.leader().expect("a leader"));
    let end = grove.world.now() + SECOND;
    assert!(
        grove.run_until(end, |grove| is_committed(grove, ticket)),
        "{}",
        grove.report()
    );
}

fn becomes_whole(grove: &mut Grove, span: u64) {
    let end = grove.world.now() + span;
    assert!(
        grove.run_until(end, Grove::is_whole),
        "not whole: {}",
        grove.report()
    );
}

fn all_but(grove: &Grove, machine: usize) -> Vec<usize> {
    (0..grove.world.machines())
        .filter(|other| *other != machine)
        .collect()
}

/// Guards against an acknowledgement that only the leader's memory bore out.
#[rstest]
fn leader_killed_right_after_acknowledging(#[values(3, 5)] machines: usize) {
    let mut grove = grown(machines, 1);
    let old = grove.leader().unwrap();
    grove.world.kill(old);
    next_leader(&mut grove, old, 1_100 * MILLI);
    read_back(&mut grove);
    grove.start(old);
    becomes_whole(&mut grove, SECOND);
}

/// Guards against counting a copy that goes with a disk, or a machine that forgot its vote: whoever of the three is wiped
/// right after the acknowledgement, with the power of the others lost.
#[rstest]
fn one_wiped_and_the_others_without_power(#[values(0, 1, 2)] wiped: usize) {
    let mut grove = grown(3, 2);
    let others = all_but(&grove, wiped);
    grove.wipe(wiped);
    others.iter().for_each(|machine| grove.world.kill(*machine));
    grove.start(wiped);
    grove.run_for(SECOND);
    assert_eq!(
        grove.leader(),
        None,
        "an empty machine alone decides nothing"
    );
    others.iter().for_each(|machine| grove.start(*machine));
    next_leader(&mut grove, wiped, 1_500 * MILLI);
    read_back(&mut grove);
    becomes_whole(&mut grove, 2 * SECOND);
}

/// Guards the return after a kill of all: from what is stored, without waiting for more than an election.
#[rstest]
fn all_killed_at_once(#[values(3, 5)] machines: usize) {
    let mut grove = grown(machines, 4);
    (0..machines).for_each(|machine| grove.world.kill(machine));
    grove.run_for(300 * MILLI);
    (0..machines).for_each(|machine| grove.start(machine));
    next_leader(&mut grove, machines, 1_200 * MILLI);
    read_back(&mut grove);
    becomes_whole(&mut grove, SECOND);
}

/// Guards against a leader that holds up all because its own disk does not do: it gives way, stays alive, and is whole
/// again once its disk is.
#[rstest]
fn leader_with_a_bad_disk_gives_way(#[values(Trouble::Hangs, Trouble::Full)] trouble: Trouble) {
    let mut grove = grown(3, 5);
    let old = grove.leader().unwrap();
    grove.world.set_trouble(old, trouble);
    grove.propose(old, 100);
    next_leader(&mut grove, old, 2 * SECOND);
    acknowledge(&mut grove);
    grove.run_for(5 * SECOND);
    assert_ne!(grove.leader(), Some(old));
    assert!(grove.tree(old).unwrap().core().is_disk_troubled());
    grove.world.set_trouble(old, Trouble::None);
    becomes_whole(&mut grove, 2 * SECOND);
}

/// Guards against a follower's full disk holding up the others.
#[test]
fn a_follower_with_a_full_disk_holds_up_nobody() {
    let mut grove = grown(3, 6);
    let leader = grove.leader().unwrap();
    let other = (leader + 1) % 3;
    grove.world.set_trouble(other, Trouble::Full);
    (0..20).for_each(|_| acknowledge(&mut grove));
    grove.run_for(3 * SECOND);
    assert_eq!(grove.leader(), Some(leader));
    grove.world.set_trouble(other, Trouble::None);
    becomes_whole(&mut grove, 2 * SECOND);
}

/// Guards against a leader that leads on in a cut, in either direction or both: another stands, the old one acknowledges
/// and reads nothing, and when the cut is over nobody is disturbed by a term raised in it.
#[rstest]
#[case(true, true)]
#[case(true, false)]
#[case(false, true)]
fn leader_cut_off(#[case] deaf: bool, #[case] mute: bool) {
    let mut grove = grown(3, 7);
    let old = grove.leader().unwrap();
    for other in all_but(&grove, old) {
        if deaf {
            grove.world.cut(other, old);
        }
        if mute {
            grove.world.cut(old, other);
        }
    }
    let (proposal, read) = (grove.propose(old, 10), grove.read(old));
    let new = next_leader(&mut grove, old, 2 * SECOND);
    grove.run_for(5 * SECOND);
    assert!(!is_committed(&grove, proposal) && !is_committed(&grove, read));
    let terms = grove.terms();
    for other in all_but(&grove, old) {
        grove.world.join(other, old);
        grove.world.join(old, other);
    }
    grove.run_for(3 * SECOND);
    assert_eq!((grove.leader(), grove.terms()), (Some(new), terms));
    becomes_whole(&mut grove, SECOND);
}

/// Guards against a follower that hears and is not heard, or the reverse, and makes the others vote again and again.
#[rstest]
fn follower_cut_off_one_way(#[values(true, false)] deaf: bool) {
    let mut grove = grown(3, 8);
    let leader = grove.leader().unwrap();
    let odd = (leader + 1) % 3;
    let terms = grove.terms();
    for other in all_but(&grove, odd) {
        let (from, to) = if deaf { (other, odd) } else { (odd, other) };
        grove.world.cut(from, to);
    }
    grove.run_for(10 * SECOND);
    acknowledge(&mut grove);
    (0..3).for_each(|other| {
        grove.world.join(other, odd);
        grove.world.join(odd, other);
    });
    grove.run_for(2 * SECOND);
    assert_eq!((grove.leader(), grove.terms()), (Some(leader), terms));
    assert!(grove.is_whole(), "{}", grove.report());
}

/// Guards the way back of a wiped machine: filled from a snapshot and voting well under two seconds later.
#[rstest]
fn a_wiped_follower_votes_again_soon(#[values(3, 5)] machines: usize) {
    let mut grove = grown(machines, 9);
    (0..150).for_each(|_| acknowledge(&mut grove));
    let wiped = (grove.leader().unwrap() + 1) % machines;
    grove.wipe(wiped);
    grove.run_for(SECOND);
    grove.start(wiped);
    becomes_whole(&mut grove, 700 * MILLI);
}

/// Guards the same while the leader that fills it is lost, at any moment of the filling.
#[rstest]
fn a_wiped_follower_votes_again_though_the_leader_changes(#[values(1, 6, 15)] after: u64) {
    let mut grove = grown(5, 10);
    (0..150).for_each(|_| acknowledge(&mut grove));
    let old = grove.leader().unwrap();
    let wiped = (old + 1) % 5;
    grove.wipe(wiped);
    grove.run_for(SECOND);
    grove.start(wiped);
    grove.run_for(after * MILLI);
    grove.world.kill(old);
    next_leader(&mut grove, old, 1_100 * MILLI);
    becomes_whole(&mut grove, 2 * SECOND);
    read_back(&mut grove);
}

/// Guards the growth of the core up to the number that bears the losses promised: machines added with old seeds, of which
/// one address is right, vote soon, two at a time.
#[test]
fn added_machines_with_old_seeds_vote_soon() {
    let planting = Planting {
        seed: 11,
        machines: 3,
        net: Net::CALM,
    };
    let mut grove = Grove::plant_for(planting, 2, 4 * SECOND);
    assert!(
        grove.run_until(SECOND, |grove| grove.leader().is_some()),
        "a first leader within a second"
    );
    grove.run_for(SECOND);
    grove.add();
    grove.run_for(SECOND);
    assert_eq!(grove.tree(0).unwrap().core().voters().len(), 3);
    grove.add();
    becomes_whole(&mut grove, SECOND);
    assert_eq!(grove.tree(0).unwrap().core().voters().len(), 5);
}

/// Guards against a leader that was frozen and goes on as if no time had passed.
#[test]
fn an_old_leader_that_comes_back_follows() {
    let mut grove = grown(3, 12);
    let old = grove.leader().unwrap();
    grove.world.freeze(old);
    let new = next_leader(&mut grove, old, 1_100 * MILLI);
    acknowledge(&mut grove);
    // They wait in its inbox, before all that the others have to say.
    let (proposal, read) = (grove.propose(old, 10), grove.read(old));
    let terms = grove.terms();
    grove.thaw(old);
    grove.run_for(2 * SECOND);
    assert_eq!((grove.leader(), grove.terms()), (Some(new), terms));
    assert_eq!(grove.tree(old).unwrap().core().role(), Role::Follower);
    assert!(!is_committed(&grove, proposal) && !is_committed(&grove, read));
}

fn voters(grove: &Grove) -> Vec<Seat> {
    grove
        .tree(grove.leader().unwrap())
        .unwrap()
        .core()
        .voters()
        .to_vec()
}

/// Guards against a voter that is gone for good and counts for ever: a machine that waits takes its place as soon as it
/// has been silent for a quarter of `catch_up`, and not before. When it comes back after all it waits in turn.
#[rstest]
fn a_voter_gone_for_good_is_replaced(#[values(true, false)] one_waits: bool) {
    let mut grove = grown(if one_waits { 4 } else { 3 }, 13);
    grove.run_for(4 * SECOND);
    let leader = grove.leader().unwrap();
    let is_voter =
        |machine: &usize| voters(&grove).contains(&grove.tree(*machine).unwrap().core().me());
    let gone = (0..3)
        .find(|machine| *machine != leader && is_voter(machine))
        .unwrap();
    let seat = grove.tree(gone).unwrap().core().me();
    grove.world.kill(gone);
    if !one_waits {
        grove.run_for(300 * MILLI);
        grove.add_with(vec![address(leader)]);
    }
    grove.run_for(500 * MILLI);
    assert!(voters(&grove).contains(&seat));
    grove.run_for(500 * MILLI);
    assert!(!voters(&grove).contains(&seat));
    assert_eq!(voters(&grove).len(), 3);
    grove.start(gone);
    becomes_whole(&mut grove, 5 * SECOND);
    assert!(!voters(&grove).contains(&seat));
}

/// Guards against seats that are kept for machines that nobody replaces: of five voters, where one is to be borne, two
/// that are silent are taken out together, so that one more may go. When they are back they wait for a seat.
#[test]
fn two_voters_gone_are_taken_out_where_enough_stay() {
    let mut grove = grown(5, 16);
    becomes_whole(&mut grove, SECOND);
    assert_eq!(voters(&grove).len(), 5);
    grove.world.set_withstand(1);
    for machine in 0..5 {
        grove.world.kill(machine);
        grove.start(machine);
        grove.run_for(2 * SECOND);
    }
    assert_eq!(voters(&grove).len(), 5);
    let leader = grove.leader().unwrap();
    let gone = [(leader + 1) % 5, (leader + 2) % 5];
    gone.iter().for_each(|machine| grove.world.kill(*machine));
    grove.run_for(1_200 * MILLI);
    assert_eq!(voters(&grove).len(), 3);
    gone.iter().for_each(|machine| grove.start(*machine));
    becomes_whole(&mut grove, 5 * SECOND);
    assert_eq!(voters(&grove).len(), 3);
}

/// Guards against voters beyond those needed: machines that came early wait for a seat, so that neither their loss nor
/// that of the machines which they succeed costs more than one vote.
#[test]
fn machines_beyond_those_needed_wait() {
    let mut grove = grown(3, 17);
    let before = voters(&grove);
    (0..3).for_each(|_| {
        grove.add();
    });
    grove.run_for(SECOND);
    assert_eq!(voters(&grove), before);
    becomes_whole(&mut grove, SECOND);
}

/// Guards against a pause at each roll-over: a leader that stops in order is replaced in a few milliseconds.
#[test]
fn a_leader_that_gives_way_is_replaced_at_once() {
    let mut grove = grown(3, 14);
    let old = grove.leader().unwrap();
    grove.give_way(old);
    next_leader(&mut grove, old, 30 * MILLI);
}

/// Guards the price of being idle: a sign of life and its answer for each follower, ten times a second.
#[rstest]
fn idle_machines_say_little(#[values(3, 5)] machines: usize) {
    let mut grove = grown(machines, 15);
    grove.run_for(SECOND);
    let before = grove.world.messages();
    grove.run_for(10 * SECOND);
    let most = 10 * 10 * 2 * (machines as u64 - 1);
    assert!(
        grove.world.messages() - before <= most,
        "{} of {most}",
        grove.world.messages() - before
    );
}
