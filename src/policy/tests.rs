//! Tests of the decisions. Each builds the state it needs and calls one function.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn named(pairs: &[(&str, f64)]) -> Named {
    let mut named = Named::new();
    for (i, repeat) in ["retryable", "dedup", "fragile"].iter().enumerate() {
        named.insert(format!("classes.{i}.name"), Value::Text(format!("group {i}")));
        named.insert(format!("classes.{i}.repeat"), Value::Text((*repeat).into()));
        named.insert(format!("classes.{i}.dedup_scope"), Value::Text("zone".into()));
        named.insert(format!("classes.{i}.dedup_window_s"), Value::Number(1.0));
        named.insert(format!("classes.{i}.goal_time_s"), Value::Number(0.5));
        named.insert(format!("classes.{i}.hard_limit_s"), Value::Number(2.0));
    }
    named.insert("limits.max_attempts".into(), Value::Number(3.0));
    named.insert("family_info.spare_tries".into(), Value::Number(2.0));
    named.extend(pairs.iter().map(|(name, n)| ((*name).into(), Value::Number(*n))));
    named
}

fn line(node: usize, build: u32, up_since: f64) -> Listed {
    Listed { node, open: true, build, zone: node % 2, cell: 0, rating: 1.0, up_since, speaks: 0 }
}

/// Four nodes of build 1 (0 to 3) and four of build 2 (4 to 7), with news of build 2.
fn balancer(stage: usize, phase: Phase, cap: f64, pairs: &[(&str, f64)]) -> Balancer {
    let mut b = Balancer::start(7, 100.0, Some(0), named(pairs)).expect("these settings can be worked with");
    let lines: Vec<Listed> = (0..8).map(|i| line(i, 1 + (i / 4) as u32, 0.0)).collect();
    b.list(true, false, &lines);
    b.news = Some(News { build: 2, stage, phase, since: 0.0, cap });
    (b.share, b.informed) = (b.trial_share(), true);
    b
}

fn hit(group: usize) -> Arrival {
    Arrival { group, key: None, account: 0, remaining: 2.0, hint: 0.0, ..Arrival::default() }
}

fn end(ending: Ending) -> Return {
    Return { ending, spent: 0.1, over: false }
}

/// A hit of this group with one forward out to this node.
fn flying(b: &mut Balancer, group: usize, node: usize) -> HitHandle {
    let (arrival, taken, due) = (hit(group), b.now, b.now + 2.0);
    let handle = b.slab.put(Hit { owed: true, arrival, taken, due, ..Hit::default() });
    let (build, sent) = (b.nodes[node].listed.map_or(0, |l| l.build), b.now);
    let way = Flying { node, build, sent, step: 0, load: 1.0, cold: false, first: true };
    b.launch(handle.place as usize, way);
    handle
}

/// What stands against the newest build once this node has answered, or erred.
fn against(b: &mut Balancer, node: usize, errs: bool) -> f64 {
    let handle = flying(b, 0, node);
    handle.returned(b, 100.1, end(if errs { Ending::Errored } else { Ending::Delivered }));
    b.evidence.weight(ENOUGH, 1.0)
}

fn count(z: f64, mean: f64) -> Count {
    Count { z, sum: z * mean, squares: z * mean }
}

fn duel(earlier: Count, trial: Count) -> Duel {
    Duel { arms: [vec![earlier], vec![trial]], outcomes: trial.z, ..Duel::new(1, 0.0) }
}

fn build_of(b: &Balancer, next: Next) -> Option<u32> {
    match next {
        Next::Forward { node, .. } => b.nodes[node].listed.map(|l| l.build),
        _ => None,
    }
}

// ---- the design, by hand from the paper's formulas ----

#[test]
fn index_is_mean_plus_radius() {
    // T = 200, psi T = 10,000, eps = 1: sqrt(0.5 (0.25 + 2) ln 10,000 / 40) = 0.50897.
    let d = duel(count(10.0, 0.5), count(10.0, 0.5));
    assert!((d.index(TRIAL) - 1.00897).abs() < 1e-4);
}

#[test]
fn pulls_of_the_rounds() {
    // ln 10,000 / 2 = 4.6; ln 2,500 / 1 = 7.8; ln 625 / 0.5 = 12.9.
    let n: Vec<f64> = (0..3).map(|round| Duel { round, ..Duel::new(1, 0.0) }.needed()).collect();
    assert_eq!(n, [5.0, 8.0, 13.0]);
}

#[test]
fn payoffs_rest_while_everything_is_slow() {
    // Guards against a shared slowdown that makes the arms look unequal.
    let mut b = balancer(1, Phase::Trial, 0.3, &[]);
    (b.stage_began, b.doubt.slow_for) = (90.0, 3);
    flying(&mut b, 0, 4).returned(&mut b, 100.1, end(Ending::Delivered));
    assert_eq!((b.duel.outcomes, b.duel.arms[TRIAL][0].z), (1.0, 0.0));
}

#[test]
fn a_round_ends_when_both_arms_have_their_pulls() {
    let mut d = duel(count(20.0, 0.9), count(5.0, 0.9));
    d.judge();
    assert_eq!(d.round, 1);
    d.judge();
    assert_eq!(d.round, 1);
}

#[test]
fn a_far_worse_trial_is_dropped() {
    // Round 3, n = 21: c = sqrt(1.125 ln 1,250 / 84) = 0.31 at v = 0.25, 0.29 at v = 0.
    // Nine outcomes drop none.
    for (outcomes, dropped) in [(9.0, None), (60.0, Some(TRIAL))] {
        let mut d = Duel { round: 3, outcomes, ..duel(count(60.0, 1.0), count(60.0, 0.1)) };
        d.judge();
        assert_eq!(d.dropped, dropped);
    }
}

#[test]
fn the_earlier_arm_is_weighed_in_the_trials_mix() {
    let mut d = Duel::new(2, 0.0);
    d.arms = [vec![count(90.0, 1.0), count(10.0, 0.0)], vec![count(5.0, 1.0), count(5.0, 0.0)]];
    assert!((d.moments(EARLIER).1 - 0.5).abs() < 1e-3);
}

#[test]
fn a_horizon_that_runs_out_starts_afresh() {
    // Guards against a trial that sank while cold and was never tried again.
    let mut d = duel(count(195.0, 0.95), count(6.0, 0.4));
    d.judge();
    assert!(d.dropped.is_none() && d.favours_trial());
}

#[test]
fn a_trial_below_the_earlier_mean_has_sunk() {
    // Guards against bad builds that the index starves before the width can drop them: at 5 pulls
    // c = sqrt(1 x 9.21 / 20) = 0.68, at 20 it is 0.34.
    assert!(!duel(count(100.0, 0.6), count(5.0, 0.0)).sunk());
    assert!(duel(count(100.0, 0.6), count(20.0, 0.0)).sunk());
}

// ---- the rules ----

#[test]
fn what_cannot_be_sent_is_answered_at_once() {
    let mut b = Balancer::start(1, 0.0, None, named(&[])).unwrap();
    let (handle, next) = b.take(0.0, hit(2));
    assert_eq!(next, Next::Bounce { again_after: 0.0 });
    assert!(!handle.pending(&b));
    let late = Arrival { remaining: 0.0, ..hit(0) };
    assert!(matches!(balancer(0, Phase::Released, 1.0, &[]).take(100.0, late).1, Next::Bounce { .. }));
}

#[test]
fn a_time_out_at_the_clients_end_is_final() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    let handle = flying(&mut b, 0, 4);
    assert!(matches!(handle.returned(&mut b, 102.0, end(Ending::NoAnswer)), Next::Bounce { .. }));
    assert!(!handle.pending(&b));
}

#[test]
fn mutating_that_may_have_run_is_given_up() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    for ending in [Ending::NoAnswer, Ending::Errored, Ending::Broken, Ending::CalledOff] {
        let handle = flying(&mut b, 2, 4);
        assert_eq!(handle.returned(&mut b, 100.1, end(ending)), Next::GiveUp, "{ending:?}");
    }
}

#[test]
fn mutating_that_never_ran_goes_again() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    let handle = flying(&mut b, 2, 4);
    assert!(matches!(handle.returned(&mut b, 100.1, end(Ending::TurnedAway)), Next::Forward { .. }));
}

#[test]
fn tagged_repeats_stay_in_their_zone() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    for _ in 0..20 {
        b.retries = 5.0;
        let handle = flying(&mut b, 1, 5);
        match handle.returned(&mut b, 100.1, end(Ending::Errored)) {
            Next::Forward { node, .. } => assert_eq!(node % 2, 1),
            next => assert_eq!(next, Next::GiveUp),
        }
    }
}

#[test]
fn tagged_is_not_repeated_after_its_window() {
    let mut b = balancer(0, Phase::Released, 1.0, &[("classes.1.late_share", 0.2)]);
    let handle = flying(&mut b, 1, 5);
    assert_eq!(handle.returned(&mut b, 101.0, end(Ending::Errored)), Next::GiveUp);
}

#[test]
fn further_forwards_stop_with_the_budget() {
    // Guards against retries that feed a jam.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    b.retries = 0.5;
    let handle = flying(&mut b, 0, 4);
    assert!(matches!(handle.returned(&mut b, 100.1, end(Ending::Broken)), Next::Bounce { .. }));
}

#[test]
fn a_draining_node_or_one_missing_from_a_whole_list_gets_nothing() {
    let mut b = balancer(0, Phase::Trial, 0.0, &[]);
    b.listed(100.0, false, true, &[1, 2, 3].map(|i| Listed { open: false, ..line(i, 1, 0.0) }));
    for _ in 0..20 {
        assert!(matches!(b.take(100.0, hit(0)).1, Next::Forward { node: 0, .. }));
    }
    b.listed(100.0, true, true, &[]);
    assert!(matches!(b.take(100.0, hit(0)).1, Next::Bounce { .. }));
}

#[test]
fn a_cold_node_gets_its_share_by_warmth() {
    let mut b =
        balancer(0, Phase::Trial, 0.0, &[("obligations.cold_s", 4.0), ("obligations.cold_share", 0.3)]);
    b.list(false, false, &[line(0, 1, 100.0)]);
    b.lately.done = 40.0;
    // Forty hits a second over four nodes at 0.3 to 0.475: some four in the first second, one saved up.
    let sent = (0..100).filter(|i| {
        b.now = 100.0 + f64::from(*i) / 100.0;
        let open = b.ramp(0, 4.0);
        b.nodes[0].ramp -= if open { 1.0 } else { 0.0 };
        open
    });
    assert!((3..=6).contains(&sent.count()));
}

#[test]
fn the_cap_holds_in_every_window() {
    let mut b = balancer(1, Phase::Trial, 0.25, &[]);
    let mut trials = Vec::new();
    for i in 0..400 {
        let next = b.take(100.0 + f64::from(i) / 100.0, hit(0)).1;
        trials.push(f64::from(u8::from(build_of(&b, next) == Some(2))));
    }
    for from in 0..400 {
        for to in from + 1..=400 {
            let sum: f64 = trials[from..to].iter().sum();
            assert!(sum <= 2.0 + 0.25 * (to - from) as f64 + 1e-9);
        }
    }
    assert!(trials.iter().sum::<f64>() > 60.0); // and most of it is used
}

#[test]
fn guarded_stages_take_only_repeatable_hits() {
    let mut b = balancer(0, Phase::Trial, 1.0, &[("family_info.closed_stages", 1.0)]);
    for _ in 0..20 {
        let next = b.take(100.0, hit(2)).1;
        assert_eq!(build_of(&b, next), Some(1));
    }
}

#[test]
fn unannounced_and_withdrawn_builds_get_nothing() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    b.list(false, false, &[line(9, 3, 0.0)]);
    assert_eq!(b.standing(3), Standing::Barred);
    b.heard(100.0, News { build: 2, stage: 0, phase: Phase::Withdrawn, since: 0.0, cap: 0.0 });
    assert_eq!((b.standing(2), b.standing(1)), (Standing::Barred, Standing::Open));
    b.heard(100.0, News { build: 3, stage: 0, phase: Phase::Trial, since: 0.0, cap: 0.1 });
    assert_eq!((b.standing(2), b.standing(3)), (Standing::Barred, Standing::OnTrial));
}

#[test]
fn a_restart_within_a_trial_begins_with_no_allowance() {
    let mut b = Balancer::start(1, 50.0, None, named(&[])).unwrap();
    b.heard(50.0, News { build: 2, stage: 1, phase: Phase::Trial, since: 9.0, cap: 0.3 });
    assert_eq!(b.tokens, 0.0);
}

#[test]
fn one_way_keys_stay_with_the_trial() {
    let mut b = balancer(1, Phase::Trial, 0.5, &[]);
    b.named.insert("family_info.one_way".into(), Value::Flag(true));
    b.keys = vec![Key { hits: 1, answered: 2, ..Key::default() }];
    let keyed = Arrival { key: Some(0), ..hit(0) };
    b.tokens = 1.0;
    let next = b.take(100.0, keyed).1;
    assert_eq!(build_of(&b, next), Some(2));
    b.tokens = 0.0;
    let (handle, next) = b.take(100.0, keyed);
    assert!(matches!(next, Next::Wait { .. }));
    assert!(matches!(handle.resume(&mut b, 101.0), Next::Bounce { .. })); // in vain: answered in good time
}

#[test]
fn an_answer_that_could_not_be_read_binds_its_key_as_well() {
    // Guards against sending back a key that the trial has answered, unheard, by a broken or late answer.
    for (ending, bound) in [
        (Ending::Delivered, 2),
        (Ending::NoAnswer, 2),
        (Ending::Broken, 2),
        (Ending::Spoilt, 2),
        (Ending::Errored, 0),
        (Ending::TurnedAway, 0),
        (Ending::NoConnection, 0),
    ] {
        let mut b = balancer(1, Phase::Trial, 0.5, &[]);
        b.keys = vec![Key { hits: 1, answered: 0, ..Key::default() }];
        let handle = flying(&mut b, 0, 5);
        b.slab.hits[handle.place as usize].arrival.key = Some(0);
        b.land(handle.place as usize, ending);
        assert_eq!(b.keys[0].answered, bound, "{ending:?}");
    }
}

#[test]
fn a_key_on_its_way_to_the_trial_is_kept_to_it_until_that_has_failed() {
    // Guards against an answer that was given on a connection fallen silent: its key counts as answered.
    let mut b = balancer(1, Phase::Trial, 0.5, &[]);
    b.named.insert("family_info.one_way".into(), Value::Flag(true));
    b.keys = vec![Key { hits: 1, ..Key::default() }; 2];
    let keyed = |b: &mut Balancer, key: usize, node: usize| {
        let handle = flying(b, 0, 0);
        b.land(handle.place as usize, Ending::NeverSent);
        let hit = &mut b.slab.hits[handle.place as usize];
        (hit.arrival.key, hit.forwards) = (Some(key), 0);
        let (build, sent) = (b.nodes[node].listed.map_or(0, |l| l.build), b.now);
        let way = Flying { node, build, sent, step: 0, load: 1.0, cold: false, first: true };
        b.launch(handle.place as usize, way);
        handle
    };
    let (first, second) = (keyed(&mut b, 0, 5), keyed(&mut b, 0, 6));
    assert_eq!((b.holding(0), b.holding(1)), (Some(2), None));
    b.land(first.place as usize, Ending::Errored);
    assert_eq!(b.holding(0), Some(2), "another one is on its way");
    b.land(second.place as usize, Ending::NoConnection);
    assert_eq!(b.holding(0), None);
}

#[test]
fn a_repeat_that_may_have_run_never_waits() {
    // Guards against a tagged repeat that waits for its turn past its window.
    let mut b = balancer(1, Phase::Trial, 0.5, &[]);
    b.named.insert("family_info.one_way".into(), Value::Flag(true));
    (b.keys, b.tokens) = (vec![Key { hits: 1, answered: 2, ..Key::default() }], 0.0);
    let handle = flying(&mut b, 1, 5);
    b.slab.hits[handle.place as usize].arrival.key = Some(0);
    assert_eq!(handle.returned(&mut b, 100.1, end(Ending::Errored)), Next::GiveUp);
}

#[test]
fn the_trial_takes_over_where_no_earlier_machine_is_left() {
    let mut b = balancer(3, Phase::Trial, 1.0, &[]);
    b.list(false, false, &[0, 1, 2, 3].map(|i| Listed { open: false, ..line(i, 1, 0.0) }));
    (b.tokens, b.duel.dropped) = (1.0, Some(TRIAL));
    let next = b.take(100.0, hit(0)).1;
    assert_eq!(build_of(&b, next), Some(2));
}

#[test]
fn a_build_on_its_way_back_serves_while_no_other_can() {
    // Guards against bouncing everything until the earlier machines are up again.
    let mut b = balancer(3, Phase::GoingBack, 0.5, &[]);
    b.list(false, false, &[0, 1, 2, 3].map(|i| Listed { open: false, ..line(i, 1, 0.0) }));
    b.tokens = 1.0;
    let next = [b.take(100.0, hit(0)).1, b.take(100.0, hit(0)).1];
    assert_eq!(next.map(|n| build_of(&b, n)), [Some(2), None]); // within its cap
}

// ---- the mechanisms ----

#[test]
fn a_silent_node_is_left_out() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    flying(&mut b, 0, 4);
    b.lately.done = 100.0;
    b.now += 0.5;
    assert!(!b.fit(4, Repeat::Repeatable) && b.fit(5, Repeat::Mutating));
}

#[test]
fn a_dead_node_is_tried_by_one_repeatable_hit() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    let handle = flying(&mut b, 0, 4);
    handle.returned(&mut b, 100.0, end(Ending::NoConnection));
    assert!(!b.fit(4, Repeat::Repeatable));
    b.now += 1.0;
    assert!(b.fit(4, Repeat::Repeatable) && !b.fit(4, Repeat::Mutating));
}

/// Lets this many seconds pass with all reviews.
fn rest(b: &mut Balancer, seconds: u32) {
    let began = b.now;
    (1..=10 * seconds).for_each(|tick| _ = b.review(began + TICK * f64::from(tick)));
}

#[test]
fn mutating_hits_find_out_that_nodes_answer_again() {
    // Guards against an agent of mutating hits alone that bounces all of them for ever, once no node has answered.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    for round in 0..4 {
        for node in 0..8 {
            flying(&mut b, 2, node).returned(&mut b, 100.0 + f64::from(round), end(Ending::NoAnswer));
        }
    }
    b.now = 104.0;
    assert!(matches!(b.take(104.0, hit(2)).1, Next::Bounce { .. }));
    rest(&mut b, 30);
    assert!(matches!(b.take(134.0, hit(2)).1, Next::Forward { .. }));
}

#[test]
fn bouncing_ends_within_half_a_minute_where_hits_are_few() {
    // Guards against an expectation that falls with each bounce only, where few hits come.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    (b.lately.spent, b.lately.loads) = (5.0, 1.0);
    let bounced = (0..30).filter(|_| {
        rest(&mut b, 1);
        let now = b.now;
        matches!(b.take(now, hit(0)).1, Next::Bounce { .. })
    });
    assert!((1..25).contains(&bounced.count()));
}

#[test]
fn one_broken_answer_leaves_no_node_out_and_two_in_a_row_do() {
    // Guards against half a fleet left out where one answer in ten breaks off, and against taking that for
    // dead connections, which keeping to a few nodes would spare.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    let mut end_at = |ending| flying(&mut b, 0, 4).returned(&mut b, 100.0, end(ending));
    for ending in [Ending::Delivered, Ending::Broken, Ending::Delivered, Ending::Broken] {
        end_at(ending);
    }
    assert!(b.fit(4, Repeat::Mutating));
    flying(&mut b, 0, 4).returned(&mut b, 100.0, end(Ending::Broken));
    assert!(!b.fit(4, Repeat::Repeatable));
    (b.lost, b.nodes[5].open_until) = ([0.1, 0.1], 200.0);
    let others = (0..50).filter(|_| !matches!(b.take(100.0, hit(0)).1, Next::Forward { node: 5, .. }));
    assert!(others.count() > 10);
}

#[test]
fn a_quick_failure_costs_half_a_further_forward_and_a_time_out_a_whole_one() {
    // Guards against a budget that breaks use up, which bounces what could be sent again.
    for (ending, paid) in [(Ending::Broken, 0.5), (Ending::NoAnswer, 1.0), (Ending::NoConnection, 0.0)] {
        let mut b = balancer(0, Phase::Released, 1.0, &[]);
        b.retries = 2.0;
        let handle = flying(&mut b, 0, 4);
        assert!(matches!(handle.returned(&mut b, 100.0, end(ending)), Next::Forward { .. }));
        assert_eq!(b.retries, 2.0 - paid);
    }
}

#[test]
fn a_returned_id_forgets_what_it_was() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    (b.nodes[4].slow, b.nodes[4].strikes) = (2.0, 3);
    b.listed(100.0, false, true, &[line(4, 2, 99.0)]);
    assert_eq!((b.nodes[4].slow, b.nodes[4].strikes), (0.0, 0));
}

#[test]
fn a_slow_node_counts_as_more_loaded() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    b.nodes[4].slow = 1.0;
    (b.nodes[4].flying, b.nodes[5].flying) = (9, 9);
    assert!(b.load(4) > 2.5 * b.load(5) && b.power(4) < 0.4 * b.power(5));
}

#[test]
fn an_erring_node_draws_fewer_hits() {
    // Guards against a node that errs fast, whose empty hands would draw every hit.
    let mut b = balancer(0, Phase::Trial, 0.0, &[]);
    b.nodes[0].faults = 0.8;
    let drawn = (0..100).filter(|_| b.two(&[0, 1]) == Some(0)).count();
    assert!(drawn < 40); // only where both choices fall on it
}

#[test]
fn old_reports_fade() {
    // Guards against a node that was full once and is never asked again.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    b.nodes[4].others = 10.0;
    for i in 0..50 {
        b.review(100.0 + 0.1 * f64::from(i));
    }
    assert!(b.nodes[4].others < 0.2);
}

#[test]
fn heavy_hits_are_not_cut_off() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    b.groups[0].calm = Count { z: 30.0, sum: 30.0 * 0.2f64.ln(), squares: 90.0 };
    let handle = flying(&mut b, 0, 4);
    assert_eq!(b.limit(handle.place as usize), 2.0);
}

#[test]
fn overload_bounces_the_least_benefit_first() {
    let mut b = balancer(0, Phase::Released, 1.0, &[("classes.1.credit", 5.0)]);
    (b.lately.spent, b.lately.loads, b.now) = (0.4, 1.0, 110.0);
    let places = [0, 1].map(|group| {
        let hit = Hit { owed: true, arrival: hit(group), taken: 110.0, due: 112.0, ..Hit::default() };
        b.slab.put(hit).place as usize
    });
    assert_eq!(places.map(|place| b.too_busy(place, 4)), [true, false]);
}

#[test]
fn a_group_with_much_slack_gives_way_to_one_that_brings_more_and_has_little() {
    // Guards against a queue of hits that may wait long, in which those that bring most are late.
    let more = [("classes.1.credit", 5.0), ("classes.1.goal_time_s", 0.2), ("classes.0.goal_time_s", 1.5)];
    let mut b = balancer(0, Phase::Released, 1.0, &more);
    assert_eq!([0, 1].map(|group| b.groups[group].pace), [0.2, 0.2]);
    (b.lately.spent, b.lately.loads, b.now) = (0.15, 1.0, 110.0);
    let places = [0, 1].map(|group| {
        let hit = Hit { owed: true, arrival: hit(group), taken: 110.0, due: 112.0, ..Hit::default() };
        b.slab.put(hit).place as usize
    });
    assert_eq!(places.map(|place| b.too_busy(place, 4)), [true, false]);
}

#[test]
fn an_account_is_over_its_share_only_beyond_chance() {
    // Guards against bounces for an account that sends a few hits more than its share by chance.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    b.lately.accounts = vec![(14.0, 60.0), (40.0, 60.0)];
    assert!(b.lately.over(0, 6.0) < 3.0 && b.lately.over(1, 6.0) > 3.0 && b.lately.over(2, 6.0) == 0.0);
}

#[test]
fn bouncing_ends_by_itself() {
    // Guards against an expectation that nothing corrects because every hit is bounced.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    (b.lately.spent, b.lately.loads) = (5.0, 1.0);
    let tries = (0..2000).take_while(|_| matches!(b.take(110.0, hit(0)).1, Next::Bounce { .. }));
    assert!(tries.count() < 500);
}

#[test]
fn only_a_slowdown_that_goes_in_a_pause_is_held_against_the_build() {
    for (slow, abated) in [(0.1, 2), (0.8, 0)] {
        let mut b = balancer(1, Phase::Trial, 0.3, &[]);
        (b.stage_began, b.now, b.evidence.abated, b.doubt.paused_at) = (100.0, 102.0, 1, Some(0.8));
        b.lately.present = Count { z: 50.0, sum: 50.0 * slow, squares: 50.0 * slow * slow };
        b.compare();
        assert_eq!((b.evidence.abated, b.doubt.paused_at, b.raised()), (abated, None, false));
    }
}

#[test]
fn three_errors_in_a_row_condemn_and_one_does_not() {
    let mut score = 0.0;
    Evidence::lean(&mut score, 1.0, 0.0, 0.005, 0.05);
    assert!(score / 6.0 < 0.5);
    (0..2).for_each(|_| Evidence::lean(&mut score, 1.0, 0.0, 0.005, 0.05));
    assert!(score / 6.0 > 1.0);
}

#[test]
fn a_share_of_errors_that_was_there_before_condemns_no_build() {
    // Guards against an estimate of the usual errors that a short lull lets fall to nothing.
    let mut b = balancer(1, Phase::Trial, 0.5, &[]);
    let mut answer = |node, errs| against(&mut b, node, errs);
    (0..520usize).for_each(|i| _ = answer(1, i < 400 && i.is_multiple_of(40)));
    let worst = |w: f64, x: f64| w.max(x);
    assert!((0..200usize).map(|i| answer(5, i.is_multiple_of(20))).fold(0.0, worst) < 1.0);
    assert!(
        (0..200usize).map(|i| answer(5, i.is_multiple_of(4))).fold(0.0, worst) > 1.0,
        "far more is too many"
    );
}

#[test]
fn a_node_that_fails_everything_condemns_no_build() {
    // Guards against taking a sick machine for a sick build: one of the trial's four errs always.
    let mut b = balancer(2, Phase::Trial, 1.0, &[]);
    let mut answer = |node, errs| against(&mut b, node, errs);
    (0..500).for_each(|_| _ = answer(1, false));
    let nodes = [4, 6, 7, 6, 5, 7, 6, 7, 4, 7];
    assert!(nodes.repeat(20).iter().map(|i| answer(*i, *i == 4)).fold(0.0, f64::max) < 1.0);
    // Errors at the others as well do.
    assert!(nodes.repeat(4).iter().zip(0..).map(|(i, k)| answer(*i, k % 3 == 0)).fold(0.0, f64::max) > 1.0);
}

#[test]
fn errors_at_a_third_of_the_nodes_weigh_in_full() {
    // Guards against excusing a build by its nodes when most of them err, as one does that fails when busy.
    let mut b = balancer(2, Phase::Trial, 1.0, &[]);
    (4..8).for_each(|i| b.nodes[i].met_at = 200.0);
    b.nodes[4].faults = 0.7;
    assert_eq!((b.erring(4, 0.02), b.erring(5, 0.02)), (0.0, 1.0 / 3.0));
    let weigh = |b: &mut Balancer| {
        b.evidence = Evidence::new(b.groups.len());
        flying(b, 0, 4).returned(b, 100.1, end(Ending::Errored));
        b.evidence.weight(ENOUGH, 1.0)
    };
    let alone = weigh(&mut b);
    (b.nodes[4].faults, b.nodes[5].faults, b.nodes[6].faults) = (0.7, 0.2, 0.2);
    assert!(weigh(&mut b) > 10.0 * alone);
}

#[test]
fn an_agent_that_knows_no_earlier_build_condemns_none_by_a_few_errors() {
    // Guards against a restarted agent that takes the errors it finds for new.
    let mut b = balancer(2, Phase::Released, 1.0, &[]);
    for i in 1..200usize {
        assert!(against(&mut b, 5, i.is_multiple_of(20)) < 1.0);
    }
}

#[test]
fn answers_that_cannot_be_read_speak_for_no_build_and_hide_none() {
    // Guards against taking noise on the way for a build's errors, or for the usual share of them.
    let mut b = balancer(1, Phase::Trial, 0.5, &[]);
    let usual = b.usual_faults;
    for node in [5, 1].repeat(20) {
        let handle = flying(&mut b, 0, node);
        handle.returned(&mut b, 100.1, end(Ending::Spoilt));
    }
    assert_eq!((b.evidence.weight(ENOUGH, 1.0), b.usual_faults, b.duel.outcomes), (0.0, usual, 0.0));
    assert!(b.nodes[5].faults > 0.5, "but its node is taken less");
}

#[test]
fn one_slow_node_is_no_slow_build() {
    let mut b = balancer(1, Phase::Trial, 0.3, &[]);
    (0..8).for_each(|i| b.nodes[i].times = Count { z: 20.0, sum: 0.0, squares: 10.0 });
    b.nodes[4].times = Count { z: 20.0, sum: 30.0, squares: 60.0 };
    assert!(b.slower(2) < 1.0);
    (4..8).for_each(|i| b.nodes[i].times = Count { z: 20.0, sum: 30.0, squares: 60.0 });
    assert!(b.slower(2) > 1.0);
}

// ---- votes ----

#[test]
fn ten_outcomes_past_the_least_time_vote_on() {
    let mut b = balancer(0, Phase::Trial, 0.3, &[("family_info.soak_s", 2.0)]);
    (b.stage_began, b.now, b.lately.taken) = (100.0, 101.0, 100.0);
    b.duel.outcomes = 10.0;
    assert_eq!(b.wish(), Verdict::Clear);
    b.now = 102.0;
    assert_eq!(b.wish(), Verdict::On);
    // Guards against a stage that waits until each of a hundred agents has ten of its own.
    b.duel.outcomes = 1.0;
    assert_eq!(b.wish(), Verdict::Clear);
    b.named.insert("family_info.on_votes".into(), Value::Number(40.0));
    assert_eq!(b.wish(), Verdict::On);
}

#[test]
fn an_agent_started_under_a_trial_votes_on_late() {
    // Guards against votes by agents that have no seconds before the trial to compare with.
    let mut b = balancer(0, Phase::Trial, 0.3, &[]);
    (b.informed, b.started, b.now, b.duel.outcomes) = (false, 100.0, 105.0, 10.0);
    assert_eq!(b.wish(), Verdict::Clear);
    b.now = 111.0;
    assert_eq!(b.wish(), Verdict::On);
}

#[test]
fn a_slowdown_that_outlasts_others_condemns_a_released_build() {
    let mut b = balancer(3, Phase::Released, 1.0, &[]);
    (b.seen, b.stage_began, b.doubt.slow_for) = (2, 90.0, 150);
    b.lately.present = Count { z: 50.0, sum: 40.0, squares: 33.0 };
    b.compare();
    assert_eq!(b.wish(), Verdict::Back);
}

#[test]
fn no_doubt_is_raised_in_a_small_stage() {
    let mut b = balancer(0, Phase::Trial, 0.05, &[]);
    (b.share, b.doubt.slow_for) = ((0.05, 0.05), 50);
    b.lately.present = Count { z: 50.0, sum: 40.0, squares: 33.0 };
    b.compare();
    assert!(!b.raised());
}

#[test]
fn a_released_build_can_still_be_sent_back() {
    let mut b = balancer(3, Phase::Released, 1.0, &[]);
    b.evidence.faults[0] = 7.0;
    assert_eq!(b.wish(), Verdict::Back);
}

#[test]
fn an_unanswered_vote_is_cast_again() {
    let mut b = balancer(1, Phase::Trial, 0.3, &[]);
    b.evidence.faults[0] = 7.0;
    assert!(b.ballot().is_some() && b.ballot().is_none());
    b.vote_received(101.0, Receipt::Unknown);
    b.now += 2.0;
    assert!(b.ballot().is_some());
}

#[test]
fn a_counted_vote_is_renewed_before_it_lapses() {
    let mut b = balancer(1, Phase::Trial, 0.3, &[("family_info.vote_stands_s", 6.0)]);
    b.evidence.faults[0] = 7.0;
    b.ballot();
    b.vote_received(100.0, Receipt::Counted);
    b.now = 104.0;
    assert!(b.ballot().is_none());
    b.now = 105.0;
    assert!(b.ballot().is_some());
}

// ---- odd input ----

#[test]
fn ended_handles_and_backward_time_change_nothing() {
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    let handle = flying(&mut b, 0, 4);
    handle.left(&mut b, 100.1);
    assert_eq!(handle.returned(&mut b, 90.0, end(Ending::Delivered)), Next::Nothing);
    assert_eq!(handle.returned(&mut b, 90.0, end(Ending::Delivered)), Next::Nothing);
    assert_eq!((handle.resume(&mut b, 90.0), b.now, b.flying), (Next::Nothing, 100.1, 0));
}

/// How long each of seven failures in a row makes an agent wait before it asks for the list again.
fn list_waits(discovery: &str, agents: f64) -> [f64; 7] {
    let mut b = balancer(0, Phase::Released, 1.0, &[("peers_total", agents)]);
    b.named.insert("discovery".into(), Value::Text(discovery.into()));
    [0; 7].map(|_| {
        b.list_failed(100.0);
        b.following.ask_at - 100.0
    })
}

/// A hundred agents that all ask soon keep a discovery overbooked that could have answered each of them.
#[test]
fn failed_calls_to_a_shared_list_are_spread_and_grow_with_the_fleet() {
    let [first, .., last] = list_waits("on_request", 3.0);
    assert!(first < 0.4 && last > 3.9 && last < 12.1, "{first} {last}");
    let [first, .., last] = list_waits("on_request", 100.0);
    assert!(first > 0.9 && first < 3.1 && last > 3.9 && last < 12.1, "{first} {last}");
}

/// A pushed list counts as told while its watch is broken: a node that drains meanwhile gets hits for two seconds only.
#[test]
fn a_pushed_list_is_asked_for_well_within_the_grace_for_drains() {
    assert!(list_waits("pushed", 300.0).iter().all(|wait| *wait <= 0.3));
}

/// What a fleet's agent that has seen errors enough of the trial wishes once these counts (forwards, failed) of the
/// earlier build's and the trial's forwards were told.
fn wish_told(agents: f64, counts: [(u32, u32); 2]) -> Verdict {
    let fleet =
        [("peers_total", agents), ("family_info.sample", 0.1), ("family_info.noes_needed", agents * 0.15)];
    let mut b = balancer(1, Phase::Trial, 0.5, &fleet);
    b.evidence.faults[0] = 1.1 * ENOUGH;
    for (i, (forwards, failed)) in counts.into_iter().enumerate() {
        b.tallied(100.1, Tally { build: 1 + i as u32, forwards, failed });
    }
    b.wish()
}

/// Sick nodes of both builds: with two errors each forty of a hundred agents sent a good build back, fifteen were enough.
#[test]
fn errors_that_the_earlier_build_s_nodes_share_send_no_build_back() {
    assert_eq!(wish_told(100.0, [(0, 0), (0, 0)]), Verdict::Back);
    assert_eq!(wish_told(100.0, [(100, 0), (100, 12)]), Verdict::Back);
    assert_ne!(wish_told(100.0, [(100, 12), (100, 12)]), Verdict::Back);
    // A small fleet's agents meet more than the sample holds.
    assert_eq!(wish_told(2.0, [(100, 12), (100, 12)]), Verdict::Back);
}

/// What an agent of a hundred, which has met an error of the trial or not, wishes once these periods were told, each
/// with the counts of both builds.
fn wish_after(met: bool, periods: &[[(u32, u32); 2]]) -> Verdict {
    let mut b = balancer(1, Phase::Trial, 0.5, &[("peers_total", 100.0), ("family_info.sample", 0.1)]);
    b.evidence.faults[3] = if met { 1.0 } else { 0.0 };
    for (second, counts) in periods.iter().chain(&[[(1, 0); 2]]).enumerate() {
        for (i, (forwards, failed)) in counts.iter().enumerate() {
            let tally = Tally { build: 1 + i as u32, forwards: *forwards, failed: *failed };
            b.tallied(100.0 + second as f64, tally);
        }
    }
    b.wish()
}

/// A build that fails one hit in forty shows an agent that meets five a second nothing; all together see it.
#[test]
fn tallies_of_all_agents_speak_against_a_build_that_fails_more() {
    assert_eq!(wish_after(true, &[[(50, 0), (40, 2)]; 6]), Verdict::Back);
    assert_ne!(wish_after(true, &[[(50, 1), (40, 2)]; 6]), Verdict::Back);
    assert_eq!(wish_after(false, &[[(50, 0), (40, 2)]; 6]), Verdict::Clear); // connections that cold nodes refused
    assert_ne!(wish_after(true, &[[(50, 2), (40, 0)]; 6]), Verdict::Back);
    assert_ne!(wish_after(true, &[[(0, 0), (30, 5)]; 6]), Verdict::Back); // nothing to compare with
}

/// The trial's traffic began with a trouble of all nodes: the calm seconds before it made a good build look bad.
#[test]
fn tallies_compare_builds_within_a_period_only() {
    let calm = [[(90, 0), (1, 0)]; 5];
    let trouble = [[(45, 5), (45, 6)]; 3];
    assert_ne!(wish_after(true, &[&calm[..], &trouble[..]].concat()), Verdict::Back);
}

/// Where votes exceed what the platform takes, one taken back in doubt kept out ten that would have released the build.
#[test]
fn a_vote_on_lapses_where_the_platform_takes_few() {
    let cast = |agents: f64, verdict| {
        let rate =
            [("peers_total", agents), ("family_info.api_rate", 16.0), ("family_info.vote_stands_s", 6.0)];
        let mut b = balancer(1, Phase::Trial, 0.5, &rate);
        b.cast.vote = Some(Vote { verdict, build: 2, stage: 1 });
        b.cast.good_until = 105.0;
        b.ballot().map(|v| v.verdict)
    };
    assert_eq!(cast(100.0, Verdict::On), None);
    assert_eq!(cast(100.0, Verdict::Back), Some(Verdict::Clear));
    assert_eq!(cast(3.0, Verdict::On), Some(Verdict::Clear));
}

#[test]
fn no_order_of_calls_panics() {
    let mut chance = ChaCha8Rng::seed_from_u64(3);
    let mut b = balancer(0, Phase::Trial, 0.2, &[("obligations.cold_s", 4.0), ("peers_total", 3.0)]);
    let mut handles = Vec::new();
    let endings =
        [Ending::Delivered, Ending::Errored, Ending::NoAnswer, Ending::NeverSent, Ending::NoConnection];
    let phases = [Phase::Trial, Phase::GoingBack, Phase::Released, Phase::Withdrawn];
    for _ in 0..20_000 {
        let now = 100.0 + chance.gen_range(0.0..60.0);
        let (i, x) = (chance.gen_range(0..5usize), chance.gen_range(-1.0..2.0));
        let handle = handles.get(chance.gen_range(0..50)).copied();
        match (chance.gen_range(0..8), handle) {
            (0, _) => {
                handles.insert(0, b.take(now, Arrival { key: Some(i), hint: x, remaining: x, ..hit(i) }).0)
            }
            (1, Some(h)) => drop(h.returned(&mut b, now, Return { spent: x, ..end(endings[i]) })),
            (2, Some(h)) => drop(h.resume(&mut b, now)),
            (3, Some(h)) => h.left(&mut b, now),
            (4, _) => b.listed(now, i == 0, i < 3, &[line(i * 3, i as u32, x)]),
            (5, _) => {
                b.heard(now, News { build: i as u32, stage: i, phase: phases[i % 4], since: x, cap: x });
            }
            (6, _) => b.complained(now, i),
            _ => drop(b.review(now)),
        }
        assert!(b.tokens <= 2.0);
    }
}

// ---- full size ----

#[test]
fn a_hundred_agents_start_a_new_node_or_build_apart() {
    // Guards against cold nodes pushed over by what every agent has saved up for them.
    let first = |seed: u64| {
        let mut b = Balancer::start(seed, 100.0, None, named(&[])).unwrap();
        b.heard(100.0, News::default());
        b.heard(100.0, News { build: 2, stage: 0, phase: Phase::Trial, since: 0.0, cap: 0.3 });
        b.list(false, true, &[line(0, 2, 100.0)]);
        [b.tokens, b.nodes[0].ramp]
    };
    let all: Vec<[f64; 2]> = (0..100).map(first).collect();
    for i in 0..2 {
        assert!((40.0..60.0).contains(&all.iter().map(|a| a[i]).sum::<f64>()));
        assert!(all.iter().all(|a| a[i] < 1.0));
    }
}

#[test]
fn one_slow_node_does_not_close_the_door() {
    // Guards against an agent with few hits that bounces all for seconds after one forward to a slow node.
    let mut b = balancer(0, Phase::Released, 1.0, &[]);
    (b.lately.spent, b.lately.loads) = (0.1, 1.0);
    flying(&mut b, 0, 4).returned(&mut b, 101.0, Return { spent: 8.0, ..end(Ending::Delivered) });
    assert!(b.lately.spent < 0.15);
}

#[test]
fn one_of_many_needs_less_to_speak_against_a_build() {
    // Guards against bad builds that a hundred agents see two errors of each. A lone agent still needs three.
    let enough = |agents: f64, needed: f64| {
        balancer(0, Phase::Trial, 0.1, &[("peers_total", agents), ("family_info.noes_needed", needed)])
            .enough()
    };
    assert_eq!([enough(1.0, 1.0), enough(100.0, 1.0)], [6.0, 6.0]);
    assert!(enough(100.0, 15.0) < 4.6);
}

#[test]
fn one_answer_a_node_shows_a_slow_build() {
    // Guards against slow builds in a fleet so large that an agent meets each node once or twice.
    let mut b = balancer(1, Phase::Trial, 0.3, &[]);
    let lines: Vec<Listed> = (0..120).map(|i| line(i, 1 + (i / 60) as u32, 0.0)).collect();
    b.list(true, false, &lines);
    let mut times = |slower: f64| {
        for i in 0..120 {
            let x = [-0.6, 0.6][i / 2 % 2] + if i < 60 { 0.0 } else { slower };
            b.nodes[i].times = Count { z: 1.0, sum: x, squares: x * x };
        }
        b.slower(2)
    };
    assert!(times(0.2) < 0.5 && times(0.9) > 1.0);
}

#[test]
fn an_account_that_is_late_everywhere_is_bounced_but_for_probes() {
    // Guards against one account's hits that wait at every node, hold its places and jam the rest.
    let mut b = balancer(0, Phase::Released, 1.0, &[("accounts.0.allowance_per_s", 9.0)]);
    b.lately.tardy = vec![(0.0, false), (0.0, false), (0.0, false), (0.0, false), (0.0, false)];
    let late = Return { spent: 0.9, ..end(Ending::Delivered) };
    for _ in 0..9 {
        b.tardy(&Hit { arrival: Arrival { account: 1, ..hit(0) }, ..Hit::default() }, &late);
        b.tardy(&Hit { arrival: hit(0), ..Hit::default() }, &end(Ending::Delivered));
    }
    assert_eq!([b.lately.tardy[3].1, b.lately.tardy[4].1], [false, true]);
    let mut sent = |account| {
        let next = (0..50).map(|i| b.take(110.0 + 0.01 * f64::from(i), Arrival { account, ..hit(0) }).1);
        next.filter(|n| matches!(n, Next::Forward { .. })).count()
    };
    assert_eq!([sent(0), sent(1)], [50, 1]);
}

#[test]
fn nodes_of_unknown_load_are_drawn_by_power() {
    // Guards against warm nodes that take all of a new build's hits while its cold ones could share them.
    let mut b =
        balancer(0, Phase::Trial, 0.0, &[("obligations.cold_s", 4.0), ("obligations.cold_share", 0.25)]);
    b.list(false, false, &[line(2, 1, 100.0)]);
    let cold = (0..1000).filter(|_| b.two(&[0, 2]) == Some(2)).count();
    assert!((150..250).contains(&cold)); // a fifth of the power of both
}

#[test]
fn hits_that_err_everywhere_condemn_no_build() {
    // Guards against hits that get an error wherever they go, under a trial that serves the others well.
    let mut b = balancer(1, Phase::Trial, 0.3, &[("limits.max_attempts", 3.0)]);
    b.usual_faults = 0.0;
    for _ in 0..10 {
        b.retries = 5.0;
        let handle = flying(&mut b, 0, 4);
        handle.returned(&mut b, 100.0, end(Ending::Errored));
        handle.returned(&mut b, 100.0, end(Ending::Errored));
        handle.left(&mut b, 100.0);
        assert!(b.evidence.weight(6.0, 1.0) < 0.5);
    }
    assert!(b.echo > 0.5);
}

#[test]
fn the_last_stage_waits_until_its_machines_are_warm() {
    // Guards against the release of a build whose nodes have all been cold while it was judged.
    let mut b = balancer(3, Phase::Trial, 1.0, &[("obligations.cold_s", 4.0)]);
    (b.stage_began, b.now, b.duel.outcomes) = (100.0, 105.0, 10.0);
    assert_eq!(b.wish(), Verdict::Clear);
    b.now = 106.0;
    assert_eq!(b.wish(), Verdict::On);
}

#[test]
fn a_zone_with_little_power_does_not_draw_all_near_hits() {
    // Guards against a zone's only new node that takes the hits of all agents near it.
    let mut b = balancer(0, Phase::Trial, 0.0, &[("costs.cross_zone", 0.08)]);
    b.lately.sides = [count(10.0, 0.1); 2];
    let lines: Vec<Listed> = (0..8).map(|i| Listed { zone: usize::from(i > 0), ..line(i, 1, 0.0) }).collect();
    b.list(true, false, &lines);
    let all: Vec<usize> = (0..8).collect();
    let near = (0..1000).filter(|_| b.two(&all) == Some(0)).count();
    assert!((200..400).contains(&near)); // an eighth of the power of two zones, of one in five hits by chance
}

#[test]
fn nodes_that_answered_lately_are_kept_to_where_connections_fail() {
    // Guards against nodes that refuse new connections or drop idle ones, for all agents or for this one.
    let mut b = balancer(0, Phase::Trial, 0.0, &[("limits.conn_idle_s", 9.0)]);
    (b.lost, b.idle) = ([0.3, 0.0], 9.0);
    flying(&mut b, 0, 2).returned(&mut b, 100.0, end(Ending::Delivered));
    for _ in 0..5 {
        assert!(matches!(b.take(100.0, hit(0)).1, Next::Forward { node: 2, .. }));
        b.nodes[2].flying = 0;
    }
    b.now = 103.0;
    flying(&mut b, 0, 2).returned(&mut b, 103.0, end(Ending::Broken));
    assert_eq!((b.idle, b.nodes[2].open_until), (3.0, 0.0)); // it had lain idle for three seconds
}

#[test]
fn an_agent_that_stood_still_learns_no_times() {
    // Guards against late answers that are this agent's own fault.
    let mut b = balancer(1, Phase::Trial, 0.3, &[]);
    (b.stage_began, b.lately.spent) = (90.0, 0.1);
    let late = Return { spent: 1.2, ..end(Ending::Delivered) };
    flying(&mut b, 0, 4).returned(&mut b, 101.2, late);
    assert_eq!((b.lately.spent, b.duel.arms[TRIAL][0].z, b.duel.outcomes), (0.1, 0.0, 1.0));
}

// ---- stated rates ----

const STATED: [(&str, f64); 3] =
    [("verdict.good_sent_back", 0.01), ("verdict.bad_carried", 0.05), ("family_info.soak_s", 1.0)];

/// On trial in a stage, with stated rates; news came at 100.
fn stated(cap: f64, more: &[(&str, f64)]) -> Balancer {
    let pairs: Vec<_> = STATED.iter().chain(more).copied().collect();
    let mut b = balancer(0, Phase::Trial, cap, &pairs);
    b.news = None;
    b.heard(100.0, News { build: 2, stage: 0, phase: Phase::Trial, since: 0.0, cap });
    b
}

/// So many seconds of outcomes at each node in turn, a hundred a second; the trial's err by this share.
fn outcomes(b: &mut Balancer, seconds: usize, share: f64) {
    for i in 0..seconds * 100 {
        let node = i % 8;
        let handle = flying(b, i % 3, node);
        let errs = node >= 4 && (i / 8) % 100 < (share * 100.0) as usize;
        let ending = if errs { Ending::Errored } else { Ending::Delivered };
        b.now += 0.01;
        handle.returned(b, b.now, Return { over: true, ..end(ending) });
    }
    b.review(b.now);
}

#[test]
fn with_stated_rates_a_vote_takes_the_stated_evidence() {
    let mut bad = stated(1.0, &[]);
    outcomes(&mut bad, 1, 0.0);
    assert_eq!(bad.wish(), Verdict::Clear, "ten outcomes release nothing: {}", bad.against());
    outcomes(&mut bad, 8, 0.5);
    assert_eq!(bad.wish(), Verdict::Back, "{}", bad.against());
    let mut good = stated(1.0, &[]);
    outcomes(&mut good, 12, 0.0);
    assert_eq!(good.wish(), Verdict::On, "{}", good.against());
    assert!(good.account().iter().any(|e| e.what == "errors" && e.log >= e.needed && e.needed > 0.0));
}

#[test]
fn without_stated_rates_there_is_no_case() {
    let mut b = balancer(0, Phase::Trial, 1.0, &[]);
    b.heard(101.0, News { build: 2, stage: 1, phase: Phase::Trial, since: 0.0, cap: 1.0 });
    b.review(101.1);
    assert!(b.case.is_none() && b.look().is_none() && b.account().is_empty());
    let wrong =
        Balancer::start(1, 0.0, None, named(&[("verdict.bad_carried", 7.0)])).err().unwrap_or_default();
    assert!(wrong.starts_with("verdict: bad_carried: found 7"), "{wrong}");
}

#[test]
fn a_release_tried_anew_is_a_case_of_its_own_and_its_stages_are_one() {
    let mut b = stated(0.5, &[]);
    outcomes(&mut b, 8, 0.5);
    assert_eq!(b.wish(), Verdict::Back);
    let news = |stage, phase| News { build: 2, stage, phase, since: 0.0, cap: 0.5 };
    b.heard(b.now, news(1, Phase::Trial));
    b.review(b.now + 0.1);
    assert_eq!(b.wish(), Verdict::Back, "the next stage forgets nothing that spoke against it");
    b.heard(b.now, news(1, Phase::Withdrawn));
    b.heard(b.now, news(0, Phase::Trial));
    b.review(b.now + 0.1);
    assert_ne!(b.wish(), Verdict::Back, "the same number, another release");
}

#[test]
fn a_hit_that_errs_twice_says_nothing_against_a_build_that_stated_rates_would_count() {
    let twice = |again: Ending| {
        let mut b = stated(0.5, &[("limits.max_attempts", 3.0)]);
        outcomes(&mut b, 1, 0.0);
        b.retries = 10.0;
        let handle = flying(&mut b, 0, 4);
        let now = b.now + 0.01;
        let next = handle.returned(&mut b, now, end(Ending::Errored));
        assert!(matches!(next, Next::Forward { .. }));
        let now = b.now + 0.02;
        handle.returned(&mut b, now, Return { over: true, ..end(again) });
        b.review(now + 1.0);
        let against = |e: &&magpieline_sequential_test::Entry| {
            e.vote == magpieline_sequential_test::Vote::Back && e.group.is_none() && e.what == "errors"
        };
        b.account().iter().find(against).map(|e| e.trial.1)
    };
    assert_eq!(twice(Ending::Delivered), Some(1.0));
    assert_eq!(twice(Ending::Errored), Some(0.0));
}

#[test]
fn a_slowdown_of_all_rests_the_trial_only_while_it_lasts() {
    let mut b = stated(0.5, &[]);
    b.groups.iter_mut().for_each(|g| g.calm = count(20.0, 0.0));
    let mut rested = [0, 0];
    for (part, slow) in [(0, 0.7), (1, 0.0)] {
        for _ in 0..200 {
            b.lately.present = count(30.0, slow);
            b.lately.taken = 10.0;
            b.review(b.now + 0.1);
            rested[part] += usize::from(b.doubt.paused_at.is_some());
        }
        // Votes on wait while all are slow; what ends is forgotten after some seconds.
        assert_eq!(b.now < b.doubt.until, part == 0);
    }
    assert!((60..140).contains(&rested[0]) && rested[1] < 40, "{rested:?}");
}

/// Agent `own` of nine, who may talk; 0, 3 and 6 judge.
fn talking(own: f64) -> Balancer {
    let mut b = balancer(1, Phase::Trial, 0.25, &[("peers_total", 9.0), ("self_index", own)]);
    let named = [("limits.peers".to_owned(), Value::Flag(true))].into_iter().chain(b.named.clone()).collect();
    b.settle(100.0, named).expect("settings that fit");
    b
}

/// Eight answers of node 4, four of them errors.
fn tidings() -> Tidings {
    let totals = vec![(4, 0, Totals { answers: 8, faults: 4, outcomes: 8, ..Totals::default() })];
    Tidings { start: 7, build: 2, stage: 1, informed: true, totals, ..Tidings::default() }
}

#[test]
fn a_judge_counts_what_others_tell_once_whatever_is_lost_doubled_or_late() {
    let mut b = talking(3.0);
    let told = |b: &mut Balancer, answers, start| {
        let mut t = tidings();
        (t.start, t.totals[0].2.answers, t.totals[0].2.outcomes) = (start, answers, answers);
        b.told(100.0, 1, &t);
        b.duel.outcomes
    };
    assert_eq!(told(&mut b, 8, 7), 8.0);
    assert_eq!(told(&mut b, 8, 7), 8.0); // twice
    assert_eq!(told(&mut b, 20, 7), 20.0); // one between them was lost
    assert_eq!(told(&mut b, 8, 7), 20.0); // late
    assert_eq!(told(&mut b, 5, 9), 25.0); // started anew
    assert_eq!(told(&mut b, 30, 7), 25.0); // from before that
}

#[test]
fn what_others_tell_wrongly_is_bounded() {
    // Guards against agents that are not there, groups and nodes that no setting or list names, wild numbers.
    let mut b = talking(3.0);
    let wild =
        Totals { answers: u32::MAX, faults: u32::MAX, times: u32::MAX, slow: f64::NAN, ..Totals::default() };
    let totals = vec![(4, 7, wild), (99, 0, wild), (usize::MAX / 8, 0, wild)];
    b.told(100.0, 1, &Tidings { totals, ..tidings() });
    b.told(100.0, 9, &tidings());
    b.told(100.0, 3, &tidings());
    assert_eq!((b.duel.outcomes, b.evidence.weight(ENOUGH, 1.0)), (0.0, 0.0));
    b.told(100.0, 1, &Tidings { totals: vec![(4, 0, wild)], ..tidings() });
    assert!(b.nodes[4].slow.is_finite() && b.lately.present.mean().is_finite());
}

#[test]
fn who_hears_a_judge_leaves_the_vote_to_it_and_votes_again_when_none_is_heard() {
    let mut b = talking(4.0);
    b.evidence.complaints = 2.0 * ENOUGH;
    let mut heard = |from, now| {
        b.told(now, from, &Tidings { doubt: Some(true), ..tidings() });
        b.wish()
    };
    assert_eq!(heard(0, 110.0), Verdict::Clear);
    assert_eq!(heard(5, 112.9), Verdict::Clear); // five is no judge
    assert_eq!(heard(5, 113.1), Verdict::Back);
    assert_eq!(heard(6, 114.0), Verdict::Clear);
}

#[test]
fn totals_go_to_the_judges_and_their_word_to_all() {
    let whom = |own: f64| {
        let mut b = talking(own);
        against(&mut b, 4, false);
        let all = b.tidings();
        let of = |t: &Tidings| (t.totals.len(), t.doubt);
        all.iter().map(|(whom, t)| (*whom, of(t))).collect::<Vec<_>>()
    };
    assert_eq!(whom(4.0), [0, 3, 6].map(|j| (Some(j), (1, None))));
    assert_eq!(whom(3.0), [(Some(0), (1, None)), (Some(6), (1, None)), (None, (0, Some(false)))]);
    let mut silent = balancer(1, Phase::Trial, 0.25, &[("peers_total", 9.0)]);
    against(&mut silent, 4, false);
    assert_eq!(silent.tidings(), []);
}

#[test]
fn errors_of_sick_nodes_that_are_met_in_both_builds_condemn_none() {
    // Guards against a trial whose few nodes are among many that fail at once.
    let weight = |earlier: usize| {
        let mut b = talking(3.0);
        (0..earlier).for_each(|i| (b.nodes[i].faults, b.nodes[i].met_at) = (0.5, 100.5));
        (4..8).for_each(|i| b.nodes[i].met_at = 100.5);
        b.long_faults = count(100.0, 0.0);
        b.told(101.0, 1, &tidings());
        b.evidence.weight(ENOUGH, 1.0)
    };
    assert!(weight(0) > 0.3);
    assert!(weight(2) < 0.1);
}

#[test]
fn in_a_stage_without_a_cap_pooled_payoffs_condemn_no_build() {
    // Guards against a good build that carries nearly all hits and looks late beside idle earlier nodes.
    let mut b = talking(3.0);
    b.duel.dropped = Some(TRIAL);
    assert_eq!(b.wish(), Verdict::Back);
    b.news = b.news.map(|n| News { stage: 3, cap: 1.0, ..n });
    assert_eq!(b.wish(), Verdict::Clear);
}

#[test]
fn a_bounce_at_the_trial_uses_its_token_up() {
    // Guards against a trial that gets its full share of hits of which the earlier nodes bounce a third.
    let mut b = balancer(1, Phase::Trial, 0.25, &[]);
    (b.tokens, b.lately.spent, b.started) = (2.0, 100.0, 0.0);
    assert!(matches!(b.take(100.0, hit(0)).1, Next::Bounce { .. }));
    assert!(b.tokens < 1.5);
}

#[test]
fn a_client_short_of_time_is_tried_while_an_idle_node_may_make_it() {
    let mut b = balancer(0, Phase::Trial, 0.0, &[]);
    (b.lately.spent, b.lately.loads, b.started) = (0.15, 1.0, 0.0);
    let short = |remaining| Arrival { remaining, ..hit(0) };
    assert!(matches!(b.take(100.0, short(0.1)).1, Next::Forward { .. }));
    assert!(matches!(b.take(100.0, short(0.05)).1, Next::Bounce { .. }));
}

#[test]
fn near_nodes_are_preferred_less_the_longer_they_take() {
    // Guards against traffic that moves to one zone for good.
    let mut b = balancer(0, Phase::Trial, 0.0, &[("costs.cross_zone", 0.08)]);
    let mut near = |time: f64| {
        b.lately.sides = [count(10.0, time), count(10.0, 0.1)];
        (0..1000).filter(|_| b.two(&[0, 1, 2, 3]).is_some_and(|i| i % 2 == 0)).count()
    };
    assert!(near(0.1) > near(0.4) + 150);
}

#[test]
fn settings_that_do_not_fit_change_nothing() {
    let mut b = balancer(0, Phase::Trial, 0.0, &[("costs.cross_zone", 0.08)]);
    let with = |name: &str, value: Value| {
        let mut named = b.named.clone();
        named.insert(name.into(), value);
        named
    };
    for (name, value, told) in [
        ("classes.0.name", Value::Text("else".into()), "classes.0.name: found 'else', expected "),
        ("classes.0.repeat", Value::Text("fragile".into()), "classes.0.repeat: found 'fragile', expected "),
        ("accounts.0.allowance_per_s", Value::Number(1.0), "accounts: found 1, expected 0 as at the start"),
        ("discovery", Value::Text("on_request".into()), "discovery: found 'on_request', expected ''"),
        ("limits.peers", Value::Number(1.0), "limits.peers: found 1, expected true or false"),
        ("self_index", Value::Number(-1.0), "self_index: found -1, expected a number from 0"),
        ("costs.cross_zone", Value::Number(f64::NAN), "costs.cross_zone: found NaN, expected a number"),
    ] {
        let error = b.fits(&with(name, value)).expect_err(name);
        assert!(error.starts_with(told), "{error}");
    }
    let other = with("costs.cross_zone", Value::Number(0.01));
    let handle = flying(&mut b, 0, 1);
    b.groups[0].calm = count(9.0, 0.5);
    b.settle(101.0, other).expect("settings that fit");
    assert_eq!((b.set("costs.cross_zone", 0.0), b.groups[0].calm.z), (0.01, 9.0));
    assert_eq!(handle.returned(&mut b, 101.1, end(Ending::Delivered)), Next::Nothing);
    assert!(!handle.pending(&b));
}
