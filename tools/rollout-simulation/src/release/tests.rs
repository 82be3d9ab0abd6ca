use super::*;

fn plan<'a>(kind: &'a str, trouble: &'a str, judge: Judge, seed: u64) -> Plan<'a> {
    Plan {
        kind,
        trouble,
        judge,
        agents: 1,
        rate: 340.0,
        seed,
    }
}

#[test]
fn the_same_seed_plays_the_same_release() {
    let plan = plan("errors", "calm", Judge::Stated, 3);
    assert_eq!(play(&plan), play(&plan));
}

#[test]
fn the_clock_releases_all_and_stated_rates_tell_good_from_bad() {
    assert!(play(&plan("errors", "calm", Judge::Clock, 1))
        .released
        .is_some());
    let bad = play(&plan("errors", "calm", Judge::Stated, 1));
    assert!(bad.back.is_some() && bad.released.is_none(), "{bad:?}");
    let good = play(&plan("good", "calm", Judge::Stated, 1));
    assert!(good.back.is_none() && good.released.is_some(), "{good:?}");
}
