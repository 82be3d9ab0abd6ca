//! Machines that are lost or leave for good, and successors at new addresses: the next losses that `withstand` allows
//! come as soon as they may, and find a leader.

use magpieline_raft_simulation::{address, Grove, Net, Planting, MILLI, SECOND};
use rstest::rstest;

const CATCH_UP: u64 = 4 * SECOND;
/// A leader has to stand again within this whenever no more is lost than is to be borne.
const LED_WITHIN: u64 = 5 * SECOND;

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
    grove.run_for(CATCH_UP);
    grove
}

fn is_led(grove: &mut Grove) {
    grove.run_for(LED_WITHIN);
    assert!(grove.leader().is_some(), "no leader: {}", grove.report());
}

fn ends(grove: &mut Grove, machine: usize, in_order: bool) {
    if in_order {
        return grove.leave(machine);
    }
    grove.world.kill(machine);
}

#[rstest]
fn the_next_losses_after_a_replacement_leave_a_leader(
    #[values(3, 5)] machines: usize,
    #[values(true, false)] in_order: bool,
    #[values(true, false)] successor_first: bool,
    #[values(0, 1, 2)] seed: u64,
) {
    let mut grove = grown(machines, 100 + seed);
    let withstand = (machines - 1) / 2;
    let old = (grove.leader().unwrap() + seed as usize) % machines;
    if successor_first {
        grove.add_with(vec![address(old)]);
        grove.run_for(CATCH_UP);
    }
    ends(&mut grove, old, in_order);
    if !successor_first {
        grove.run_for(SECOND);
        grove.add_with(vec![address((old + 1) % machines), address(old)]);
    }
    grove.run_for(CATCH_UP);
    let lost: Vec<usize> = (1..=withstand)
        .map(|step| (old + step) % machines)
        .collect();
    lost.iter().for_each(|machine| grove.world.kill(*machine));
    is_led(&mut grove);
    lost.iter().for_each(|machine| grove.start(*machine));
    is_led(&mut grove);
}

/// Guards a rolling restart: each machine, the leader among them, has left soon after SIGTERM, is a voter again at its
/// address as it was, and nobody is without a leader for long.
#[rstest]
fn a_rolling_restart_is_quick(#[values(3, 5)] machines: usize, #[values(0, 1, 2)] seed: u64) {
    let mut grove = grown(machines, 200 + seed);
    let voters = |grove: &Grove| {
        grove
            .tree(grove.leader().unwrap())
            .unwrap()
            .core()
            .voters()
            .to_vec()
    };
    let before = voters(&grove);
    for machine in 0..machines {
        let begun = grove.world.now();
        grove.leave(machine);
        assert!(
            grove.world.now() - begun < 250 * MILLI,
            "{} us",
            grove.world.now() - begun
        );
        let led = |grove: &Grove| grove.leader().is_some_and(|leader| leader != machine);
        let end = grove.world.now() + 50 * MILLI;
        assert!(grove.run_until(end, led), "{}", grove.report());
        grove.revive(machine);
        grove.run_for(CATCH_UP);
    }
    assert_eq!(voters(&grove), before);
}

/// Guards the seat of a machine that stops while one waits: it is the other's before the process ends.
#[rstest]
fn a_seat_is_handed_on_before_the_end(
    #[values(3, 5)] machines: usize,
    #[values(0, 1, 2)] seed: u64,
) {
    let mut grove = grown(machines, 300 + seed);
    let old = (grove.leader().unwrap() + seed as usize) % machines;
    let seat = grove.tree(old).unwrap().core().me();
    let new = grove.add_with(vec![address(old)]);
    grove.run_for(SECOND);
    grove.leave(old);
    let leader = grove.leader().expect("one leads all the while");
    let voters = grove.tree(leader).unwrap().core().voters();
    assert!(!voters.contains(&seat), "{}", grove.report());
    assert!(voters.contains(&grove.tree(new).unwrap().core().me()));
}
