//! Changes one after the other, and machines in trouble meanwhile, each up again within the bound. The long runs go by
//! hand: `raft-simulation season`.

use magpieline_raft_simulation::{Net, Season, Sowing, MILLI, SECOND};

/// As a small deployment's: 51 Mbit/s and half a millisecond.
fn sowing(seed: u64) -> Sowing {
    let net = Net {
        delay: 500,
        ..Net::CALM
    };
    Sowing {
        seed,
        machines: 3,
        net,
        rate: Some(51_000_000 / 8),
        changes: 150,
        size: 20_000,
        pause: 100 * MILLI,
        catch_up: 4 * SECOND,
    }
}

/// Guards against a member that is never up again, or has another state than the others, and against one that leads
/// without what was acknowledged.
#[test]
fn members_are_up_in_time_while_small_changes_go_on() {
    for seed in 0..1 {
        let harvest = Season::sow(sowing(seed)).harvest();
        assert!(
            harvest.acknowledged >= 150 && harvest.trials > 6,
            "{harvest:?}"
        );
    }
}

/// The same with configurations that are longer than the log may be.
#[test]
fn members_are_up_in_time_while_large_changes_go_on() {
    let harvest = Season::sow(Sowing {
        changes: 6,
        size: 4_300_000,
        pause: 300 * MILLI,
        ..sowing(7)
    })
    .harvest();
    assert!(harvest.acknowledged >= 6, "{harvest:?}");
    assert!(harvest.most_on_disk < 200 << 20, "{harvest:?}");
}
