//! Things break by chance. The binary plays thousands of seeds; these few go with every change.

use magpieline_raft_simulation::{Cluster, ClusterConfig, NetworkProfile, MILLI};
use rstest::rstest;

/// Guards everything that the cluster checks, under kills, wipes, freezes, cuts, bad disks and rough links.
#[rstest]
fn chaos_loses_nothing(#[values(3, 5)] machines: usize, #[values(0, 1)] part: u64) {
    for seed in part * 10..part * 10 + 10 {
        // A failure says its seed: raft-simulation run --seeds SEED..SEED+1 --machines MACHINES --steps 5000
        println!("seed {seed}, {machines} machines, 5000 steps");
        Cluster::new(ClusterConfig {
            seed,
            machines,
            net: NetworkProfile::RELIABLE,
        })
        .run_with_random_faults(seed, 5_000);
    }
}

/// Guards that somebody leads within five seconds whenever no more is lost than is to be borne: machines killed, wiped,
/// frozen, slowed, cut off, stopped in order, gone for good, succeeded and back from the dead, the next one as soon as the
/// last has had its time.
#[rstest]
fn losses_that_are_to_be_borne_leave_a_leader(
    #[values(3, 5)] machines: usize,
    #[values(4_000, 6_000)] recovery_interval: u64,
) {
    for seed in 0..12 {
        // A failure says its seed: raft-simulation losses --seeds SEED..SEED+1 --machines MACHINES --catch-up CATCH_UP
        println!("seed {seed}, {machines} machines, {recovery_interval} ms");
        let planting = ClusterConfig {
            seed,
            machines,
            net: NetworkProfile::RELIABLE,
        };
        Cluster::with_tolerance(planting, (machines - 1) / 2, recovery_interval * MILLI)
            .run_with_bounded_failures(seed, 20_000);
    }
}
