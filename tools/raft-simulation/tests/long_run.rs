//! Changes one after the other, and machines in trouble meanwhile, each up again within the bound. The long runs go by
//! hand: `raft-simulation long-run`.

use magpieline_raft_simulation::{LongRun, LongRunConfig, NetworkProfile, MILLI, SECOND};

/// As a small deployment's: 51 Mbit/s and half a millisecond.
fn config(seed: u64) -> LongRunConfig {
    let net = NetworkProfile {
        delay: 500,
        ..NetworkProfile::RELIABLE
    };
    LongRunConfig {
        seed,
        machines: 3,
        net,
        rate: Some(51_000_000 / 8),
        changes: 150,
        size: 20_000,
        pause: 100 * MILLI,
        recovery_interval: 4 * SECOND,
    }
}

/// Guards against a member that is never up again, or has another state than the others, and against one that leads
/// without what was acknowledged.
#[test]
fn members_are_up_in_time_while_small_changes_go_on() {
    for seed in 0..1 {
        let run = LongRun::new(config(seed)).run();
        assert!(run.acknowledged >= 150 && run.disruptions > 6, "{run:?}");
    }
}

/// The same with configurations that are longer than the log may be.
#[test]
fn members_are_up_in_time_while_large_changes_go_on() {
    let run = LongRun::new(LongRunConfig {
        changes: 6,
        size: 4_300_000,
        pause: 300 * MILLI,
        ..config(7)
    })
    .run();
    assert!(run.acknowledged >= 6, "{run:?}");
    assert!(run.max_disk_bytes < 200 << 20, "{run:?}");
}
