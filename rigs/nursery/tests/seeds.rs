//! Things break by chance. The binary plays thousands of seeds; these few go with every change.

use magpieline_nursery::{Grove, Net, Planting};
use rstest::rstest;

/// Guards everything that the grove checks, under kills, wipes, freezes, cuts, bad disks and rough links.
#[rstest]
fn chaos_loses_nothing(#[values(3, 5)] machines: usize, #[values(0, 1)] part: u64) {
    for seed in part * 10..part * 10 + 10 {
        // A failure says its seed: nursery run --seeds SEED..SEED+1 --machines MACHINES --steps 5000
        println!("seed {seed}, {machines} machines, 5000 steps");
        Grove::plant(Planting { seed, machines, net: Net::CALM }).endure(seed, 5_000);
    }
}
