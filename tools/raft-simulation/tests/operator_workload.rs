//! Operators call while things break. The binary plays thousands of seeds; these few go with every change.

use magpieline_raft_simulation::OperatorWorkload;
use rstest::rstest;

/// Guards against two documents confirmed under one number, one confirmed and gone, a confirmed one refused, reads that go
/// back, and an order that runs twice: with answers lost, redirects, copies, kills, cuts, lost disks, slow and full ones.
#[rstest]
fn operators_see_one_machine(#[values(3, 5)] machines: usize, #[values(0, 1)] part: u64) {
    for seed in part * 6..part * 6 + 6 {
        // A failure says its seed: raft-simulation operators --seeds SEED..SEED+1 --machines MACHINES --steps 10000
        println!("seed {seed}, {machines} machines, 10000 steps");
        OperatorWorkload::new(seed, machines).run(10_000);
    }
}
