//! The bounds, exactly where outcomes can be enumerated, else over thousands of seeded releases.

use crate::pair::{log_ratio, nearest, Sides, Tally};
use crate::past::Past;
use crate::pauses::Pauses;
use crate::terms::{COMPLAINTS, ERRORS, PAST, PAUSES, WORK};
use crate::wealth::{Bets, Wealth};
use crate::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn kl(a: f64, b: f64) -> f64 {
    let part = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    part(a, b) + part(1.0 - a, 1.0 - b)
}

/// The chance of so many marks among n.
fn chance(n: u32, marked: u32, p: f64) -> f64 {
    let ways = (0..marked).fold(1.0, |w, i| w * f64::from(n - i) / f64::from(i + 1));
    ways * p.powi(marked as i32) * (1.0 - p).powi((n - marked) as i32)
}

/// All outcomes of a block with these sizes, with their chances.
fn outcomes(n: [u32; 2], p: [f64; 2]) -> Vec<(Sides, f64)> {
    let mut all = Vec::new();
    for i in 0..=n[0] {
        for j in 0..=n[1] {
            let sides = [(n[0], i), (n[1], j)].map(|(n, m)| Tally::new(f64::from(n), f64::from(m)));
            all.push((sides, chance(n[0], i, p[0]) * chance(n[1], j, p[1])));
        }
    }
    all
}

/// A point of the null: for a vote back the trial fails at most `beyond` of what would have passed, for one on
/// at least that.
fn null(p0: f64, part: f64, beyond: f64, back: bool) -> [f64; 2] {
    let edge = p0 + beyond * (1.0 - p0);
    [
        p0,
        if back {
            edge * part
        } else {
            edge + (1.0 - edge) * part
        },
    ]
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default() })]

    #[test]
    fn the_nearest_point_lies_on_the_line_and_none_is_nearer(
        a0 in 0.001..0.9f64, fails in 0.01..0.9f64, beyond in 0.0..0.3f64, n in (1u32..50, 1u32..50)
    ) {
        let (a, n) = ([a0, a0 + fails * (1.0 - a0)], [f64::from(n.0), f64::from(n.1)]);
        let b = nearest(a, n, beyond);
        prop_assert!((1.0 - b[1] - (1.0 - beyond) * (1.0 - b[0])).abs() < 1e-6);
        let far = |p0: f64| n[0] * kl(a[0], p0) + n[1] * kl(a[1], p0 + beyond * (1.0 - p0));
        let least = far(b[0]);
        for i in 1..200 {
            prop_assert!(least <= far(f64::from(i) / 200.0) + 1e-9);
        }
    }

    #[test]
    fn under_the_null_a_block_wins_nothing_in_the_mean(
        p0 in 0.0..1.0f64, part in 0.0..1.0f64, beyond in 0.0..0.4f64, back: bool,
        n in (0u32..8, 0u32..8), usual in 0.001..0.8f64, fails in 0.0..0.9f64
    ) {
        let fails = if back { beyond + (1.0 - beyond) * fails } else { 0.0 };
        let a = [usual, usual + fails * (1.0 - usual)];
        let p = null(p0, part, beyond, back);
        let mean: f64 = outcomes([n.0, n.1], p).iter().map(|(s, c)| c * log_ratio(s, a, beyond).exp()).sum();
        prop_assert!(mean <= 1.0 + 1e-5, "{mean}");
    }

    #[test]
    fn a_wealth_wins_nothing_in_the_mean_however_rates_move_and_blocks_are_cut(
        rates in prop::collection::vec((0.0..1.0f64, 0.0..1.0f64, 0u32..4, 0u32..4), 3), beyond in 0.0..0.2f64,
        back: bool
    ) {
        let points = if back { vec![[0.05, 0.3], [0.3, 0.6]] } else { vec![[0.01, 0.01], [0.2, 0.2]] };
        let bets = Bets { points, beyond };
        let mut paths = vec![(Wealth::new(&bets), 1.0)];
        for (p0, part, n0, n1) in rates {
            let next = outcomes([n0, n1], null(p0, part, beyond, back));
            let mut after = Vec::new();
            for (wealth, c) in &paths {
                for (sides, d) in &next {
                    let mut wealth: Wealth = wealth.clone();
                    wealth.bet(sides, &bets);
                    after.push((wealth, c * d));
                }
            }
            paths = after;
        }
        let mean: f64 = paths.iter().map(|(w, c)| c * w.log.exp()).sum();
        prop_assert!(mean <= 1.0 + 1e-4, "{mean}");
    }

    #[test]
    fn nothing_that_is_handed_in_breaks_a_case(
        calls in prop::collection::vec((0u8..8, any::<f64>(), 0usize..600, any::<f64>(), 0usize..3), 1..200)
    ) {
        let mut case = Case::new(Terms::default(), ALONE, 2, 3, 1.0);
        for (call, now, node, time, n) in calls {
            let end = [End::Passed, End::Erred, End::ErredAgain, End::Unheard][node % 4];
            let o = Outcome { side: n, group: n, node, key: Some(node), age: time, end, time: Some(time) };
            match call {
                0 => case.stage(now, time),
                1 => case.complained(now, n, node),
                2 => { case.rest(now, node % 2 == 0); }
                3 => case.earlier_time(now, time, now),
                4 if node == 7 => case.released(now, time),
                _ => case.outcome(now, &o),
            }
            let look = case.look(now);
            prop_assert!(!look.back.is_nan() && !look.on.is_nan() && look.remaining.is_none_or(|r| r >= 0.0));
        }
        prop_assert!(case.account().iter().all(|e| !e.log.is_nan()));
    }
}

const ALONE: Voters = Voters {
    all: 1.0,
    back: 1.0,
    on: 1.0,
};

/// A release as it goes by: what is drawn at each hit.
struct Day<'a> {
    seconds: f64,
    rate: f64,
    share: f64,
    groups: usize,
    keys: usize,
    /// The chance of an error: time, side, group, node, key.
    errs: &'a dyn Fn(f64, usize, usize, usize, usize) -> f64,
    /// The side of a key, where it is bound.
    bound: &'a dyn Fn(usize) -> Option<usize>,
    /// The logarithm of a time, without noise.
    time: &'a dyn Fn(f64, usize) -> f64,
}

const CALM: Day = Day {
    seconds: 30.0,
    rate: 200.0,
    share: 0.2,
    groups: 2,
    keys: 5000,
    errs: &|_, _, _, _, _| 0.002,
    bound: &|_| None,
    time: &|_, _| 0.0,
};

/// Plays a day; returns when it went back, when on, and the strongest part of the evidence to go back.
fn play(day: &Day, seed: u64, terms: &Terms) -> (Option<f64>, Option<f64>, f64) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut case = Case::new(terms.clone(), ALONE, day.groups, seed, 1.0);
    let (mut back, mut on, mut most) = (None, None, 0.0f64);
    for i in 0..(day.seconds * day.rate) as usize {
        let now = i as f64 / day.rate;
        let key = chance.gen_range(0..day.keys);
        let drawn = usize::from(chance.gen_bool(day.share));
        let side = (day.bound)(key).unwrap_or(drawn);
        let node = [3 + chance.gen_range(0..12), chance.gen_range(0..3)][side];
        let group = key % day.groups;
        let end = if chance.gen_bool((day.errs)(now, side, group, node, key)) {
            End::Erred
        } else {
            End::Passed
        };
        let noise = (0..4).map(|_| chance.gen_range(-0.5..0.5)).sum::<f64>();
        let time = Some((day.time)(now, side) + noise);
        case.outcome(
            now,
            &Outcome {
                side,
                group,
                node,
                key: Some(key),
                age: now,
                end,
                time,
            },
        );
        if i % 10 == 0 {
            let look = case.look(now);
            most = most.max(look.back);
            match look.opinion {
                Opinion::Back => back = back.or(Some(now)),
                Opinion::On => on = on.or(Some(now)),
                Opinion::NotYet => {}
            }
        }
    }
    (back, on, most)
}

/// How many of so many releases went back, and how many on without going back before.
fn count(day: &Day, runs: u64, terms: &Terms) -> (usize, usize) {
    let all: Vec<_> = (0..runs).map(|seed| play(day, seed, terms)).collect();
    let back = all.iter().filter(|a| a.0.is_some()).count();
    let on = all
        .iter()
        .filter(|a| a.1.is_some_and(|on| a.0.is_none_or(|back| on < back)))
        .count();
    (back, on)
}

#[test]
fn a_calm_good_release_goes_on_soon_and_a_bad_one_back_sooner() {
    let runs: Vec<_> = (0..20)
        .map(|seed| play(&CALM, seed, &Terms::default()))
        .collect();
    assert!(
        runs.iter()
            .all(|(back, on, _)| back.is_none() && on.is_some_and(|t| t < 12.0)),
        "{runs:?}"
    );
    let bad = Day {
        errs: &|_, side, _, _, _| [0.002, 0.1][side],
        ..CALM
    };
    let runs: Vec<_> = (0..20)
        .map(|seed| play(&bad, seed, &Terms::default()))
        .collect();
    assert!(
        runs.iter()
            .all(|(back, on, _)| back.is_some_and(|t| t < 12.0) && on.is_none()),
        "{runs:?}"
    );
}

#[test]
fn looking_after_every_few_hits_sends_back_no_more_than_stated() {
    // At the very edge of good; rates far above the default, so that some hundred runs can tell.
    let terms = Terms {
        good_sent_back: 0.2,
        good_errors: 0.01,
        ..Terms::default()
    };
    let edge = Day {
        errs: &|_, side, _, _, _| [0.01, 0.01 + 0.01 * 0.99][side],
        seconds: 60.0,
        ..CALM
    };
    let (back, _) = count(&edge, 150, &terms);
    assert!(back <= 30, "{back} of 150");
}

#[test]
fn the_mildest_bad_build_is_carried_no_more_than_stated() {
    let terms = Terms {
        bad_carried: 0.2,
        ..Terms::default()
    };
    let edge = Day {
        errs: &|_, side, _, _, _| [0.002, 0.042][side],
        seconds: 20.0,
        ..CALM
    };
    let (_, on) = count(&edge, 150, &terms);
    assert!(on <= 30, "{on} of 150");
}

#[test]
fn twenty_path_groups_are_no_twenty_chances() {
    let many = Day {
        groups: 20,
        errs: &|_, _, _, _, _| 0.03,
        ..CALM
    };
    assert_eq!(count(&many, 40, &Terms::default()).0, 0);
}

#[test]
fn one_key_with_a_third_of_the_hits_that_always_fails_condemns_and_acquits_nothing() {
    // It is bound to the trial; a test that counts hits sees a third of them fail on one side.
    let heavy = |key: usize| key.is_multiple_of(3);
    let failing = Day {
        keys: 900,
        bound: &|k| if heavy(k) { Some(TRIAL) } else { None },
        errs: &|_, _, _, _, key| if key == 0 { 1.0 } else { 0.002 },
        ..CALM
    };
    assert_eq!(count(&failing, 40, &Terms::default()).0, 0);
    let few = Day {
        keys: 3,
        errs: &|_, _, _, _, key| if key == 0 { 1.0 } else { 0.0 },
        ..CALM
    };
    // Three keys can't speak for a release either way.
    assert_eq!(count(&few, 20, &Terms::default()), (0, 0));
}

#[test]
fn a_sick_node_of_either_build_condemns_no_good_one_and_covers_no_bad_one() {
    let sick = |sick: usize| {
        move |_: f64, _: usize, _: usize, node: usize, _: usize| {
            if node == sick {
                0.4
            } else {
                0.002
            }
        }
    };
    assert_eq!(
        count(
            &Day {
                errs: &sick(0),
                ..CALM
            },
            40,
            &Terms::default()
        )
        .0,
        0
    );
    let covered = |_: f64, side: usize, _: usize, node: usize, _: usize| {
        if node == 5 {
            0.6
        } else {
            [0.002, 0.05][side]
        }
    };
    let (_, on) = count(
        &Day {
            errs: &covered,
            ..CALM
        },
        40,
        &Terms::default(),
    );
    assert!(on <= 2, "{on} of 40");
}

#[test]
fn a_lone_sick_node_is_its_build_unless_told_to_wait_for_the_third() {
    let only = |seed: u64, lone_condemns: bool| {
        let mut case = Case::new(
            Terms {
                lone_condemns,
                ..Terms::default()
            },
            ALONE,
            1,
            seed,
            1.0,
        );
        for i in 0..600 {
            let (now, side) = (f64::from(i) * 0.02, usize::from(i % 4 == 0));
            let end = if side == TRIAL && i % 8 == 0 {
                End::Erred
            } else {
                End::Passed
            };
            let (node, key) = (
                if side == TRIAL { 1 } else { 3 + i as usize % 9 },
                Some(i as usize),
            );
            case.outcome(
                now,
                &Outcome {
                    side,
                    group: 0,
                    node,
                    key,
                    age: 60.0,
                    end,
                    time: None,
                },
            );
        }
        case.look(12.5).opinion
    };
    assert_eq!(
        (only(1, true), only(1, false)),
        (Opinion::Back, Opinion::NotYet)
    );
}

#[test]
fn a_trouble_of_all_that_begins_with_the_stage_is_nobodys_fault() {
    let errors = Day {
        errs: &|t, _, _, _, _| if t < 6.0 { 0.25 } else { 0.002 },
        ..CALM
    };
    let slow = Day {
        time: &|t, _| if t < 10.0 { 0.9 } else { 0.0 },
        ..CALM
    };
    for day in [errors, slow] {
        let (back, on) = count(&day, 40, &Terms::default());
        assert!(back == 0 && on >= 38, "{back} back, {on} on");
    }
}

#[test]
fn work_is_told_by_times_against_the_other_nodes_of_the_same_moment() {
    let good = Day {
        time: &|_, side| [0.0, 0.14][side],
        ..CALM
    };
    assert_eq!(count(&good, 40, &Terms::default()).0, 0);
    let bad = Day {
        time: &|_, side| [0.0, 0.9][side],
        ..CALM
    };
    let runs: Vec<_> = (0..20)
        .map(|seed| play(&bad, seed, &Terms::default()))
        .collect();
    assert!(
        runs.iter()
            .all(|(back, on, _)| back.is_some_and(|t| t < 15.0) && on.is_none()),
        "{runs:?}"
    );
}

#[test]
fn a_build_that_turns_late_is_not_let_on_before_its_nodes_show_it() {
    let terms = Terms {
        shows_after: 12.0,
        ..Terms::default()
    };
    let late = Day {
        errs: &|t, side, _, _, _| if side == TRIAL && t > 9.0 { 0.3 } else { 0.002 },
        ..CALM
    };
    let (back, on) = count(&late, 40, &terms);
    assert!(back == 40 && on == 0, "{back} back, {on} on");
}

#[test]
fn in_few_outcomes_there_is_not_enough_and_it_says_for_how_long() {
    let mut case = Case::new(Terms::default(), ALONE, 1, 1, 1.0);
    for i in 0..120 {
        let (side, now) = (usize::from(i % 20 == 0), f64::from(i) * 0.1);
        let end = End::Passed;
        let (group, key, age) = (0, Some(i as usize), 60.0);
        case.outcome(
            now,
            &Outcome {
                side,
                group,
                node: i as usize % 4,
                key,
                age,
                end,
                time: None,
            },
        );
    }
    let look = case.look(12.0);
    assert_eq!(look.opinion, Opinion::NotYet);
    assert!(look.on < 1.0 && look.back < 0.5, "{look:?}");
    let waits = Case::new(
        Terms {
            patience: 5.0,
            ..Terms::default()
        },
        ALONE,
        1,
        1,
        1.0,
    );
    assert!(!waits.falls_back());
    let mut goes = Case::new(
        Terms {
            patience: 5.0,
            fallback_on: true,
            ..Terms::default()
        },
        ALONE,
        1,
        1,
        1.0,
    );
    goes.stage(0.0, 0.0);
    goes.look(4.0);
    assert!(!goes.falls_back());
    goes.look(5.5);
    assert!(goes.falls_back());
}

#[test]
fn a_clock_that_stands_still_or_goes_back_counts_nothing_twice() {
    let mut case = Case::new(Terms::default(), ALONE, 1, 1, 1.0);
    let o = |side, node| Outcome {
        side,
        group: 0,
        node,
        key: None,
        age: 9.0,
        end: End::Erred,
        time: None,
    };
    for now in [1.0, 1.0, 0.5, 1.0] {
        case.outcome(now, &o(TRIAL, 1));
        case.outcome(now, &o(EARLIER, 2));
    }
    let before = case.look(1.9);
    let entry = || Entry {
        ..case
            .account()
            .into_iter()
            .find(|e| e.group.is_none())
            .expect("errors")
    };
    assert_eq!(entry().trial, (4.0, 4.0));
    let again = case.look(1.9);
    assert_eq!((before, case.look(0.0)), (again, again));
}

#[test]
fn a_pair_of_windows_is_a_fair_bet_and_a_build_that_slows_all_loses_it() {
    // All sequences of luck over ten pairs: by a fair coin the mean wealth stays one.
    let coin = |luck: u32, slows: bool, bound: bool| {
        let mut p = Pauses::new(11, 1.0);
        for i in 0..220 {
            let t = f64::from(i) * 0.1;
            let paused_now = p.step(t, true);
            if !paused_now || bound {
                p.sent(t);
            }
            let pair = i / 20;
            let faster = if slows {
                paused_now
            } else {
                (luck >> pair) & 1 == u32::from(i % 20 >= 10)
            };
            (0..2).for_each(|_| {
                p.time(
                    t,
                    if faster { 0.0 } else { 0.7 },
                    if faster { 0.0 } else { 0.7 },
                )
            });
        }
        p
    };
    let mean = (0..1024)
        .map(|luck| coin(luck, false, false).log().exp())
        .sum::<f64>()
        / 1024.0;
    assert!(mean <= 1.0 + 1e-6, "{mean}");
    let slows = coin(0, true, false);
    assert!(
        slows.pairs.0 >= 10 && slows.pairs.0 == slows.pairs.1,
        "{:?}",
        slows.pairs
    );
    assert!(slows.log() > -(0.01 * PAUSES).ln() - 1.5, "{}", slows.log());
    assert!(slows.acquits < -5.0);
    // One that has no part in it is acquitted by ten pairs in six of ten ways that luck may go.
    let acquitted = (0..1024)
        .filter(|luck| coin(*luck, false, false).acquits >= -0.05f64.ln())
        .count();
    assert!((600..700).contains(&acquitted), "{acquitted} of 1024");
    // Where a pause stops nothing, as keys are bound, its pairs tell nothing.
    let bound = coin(0, false, true);
    assert_eq!(
        (bound.pairs, bound.acquits, bound.log()),
        ((0, 0), 0.0, 0.0)
    );
    let calm = Pauses::new(11, 1.0).step(0.0, false);
    assert!(!calm, "without doubt nothing rests");
}

#[test]
fn a_slowdown_that_outlasts_all_others_speaks_against_the_build_unless_pauses_acquit_it() {
    let looked = |slow_for: f64, acquitted: bool| {
        let mut case = Case::new(Terms::default(), ALONE, 1, 11, 1.0);
        case.stage(0.0, 0.0);
        for i in 0..400 {
            let now = f64::from(i) * 0.1;
            let rests = case.rest(now, now < slow_for);
            for _ in 0..3 {
                // Luck as fair as it gets: every other pair.
                let time = if acquitted && (i / 20) % 2 == 0 {
                    f64::from(u8::from(rests))
                } else {
                    0.0
                };
                case.earlier_time(
                    now,
                    if acquitted { time } else { 0.0 },
                    if acquitted { time } else { 0.0 },
                );
            }
            if case.look(now).opinion == Opinion::Back {
                return Some(now);
            }
        }
        None
    };
    assert_eq!(looked(20.0, true), None, "15 s and what they leave behind");
    assert!(looked(40.0, true).is_none(), "it has no part in it");
    let mut silent = Case::new(Terms::default(), ALONE, 1, 11, 1.0);
    let back = (0..400).find(|i| {
        silent.rest(f64::from(*i) * 0.1, true);
        silent.look(f64::from(*i) * 0.1).opinion == Opinion::Back
    });
    assert!(back.is_some_and(|i| (225..230).contains(&i)), "{back:?}");
}

#[test]
fn after_the_release_one_trouble_of_all_does_not_send_it_back_and_what_stays_does() {
    let after = |errs: &dyn Fn(f64) -> f64| {
        let mut past = Past::new(0.0, 0.01, 10.0);
        let mut most = 0.0f64;
        for i in 0..160 {
            let now = f64::from(i) * 0.5;
            past.take(now, Tally::new(100.0, (100.0 * errs(now)).round()));
            most = most.max(past.log());
        }
        most
    };
    let needed = -(0.01 * PAST).ln();
    assert!(
        after(&|t| if (14.0..23.0).contains(&t) {
            0.3
        } else {
            0.005
        }) < 1.0
    );
    assert!(after(&|t| if t > 14.0 { 0.15 } else { 0.005 }) > needed);
}

#[test]
fn all_that_is_wrong_with_terms_is_said_and_the_parts_of_a_rate_add_up() {
    let one = |name: &'static str, value: f64| move |n: &str| (n == name).then_some(value);
    assert_eq!(Terms::read(|_| None, |_| "").expect("nothing stated"), None);
    let stated = Terms::read(one("bad_carried", 0.1), |n| {
        if n == "fallback" {
            "on"
        } else {
            ""
        }
    })
    .expect("good")
    .expect("stated");
    assert!(stated.fallback_on && stated.bad_carried == 0.1 && stated.good_sent_back == 0.01);
    let wrong = Terms::read(|n| (n != "good_errors").then_some(-3.0), |_| "perhaps")
        .expect_err("all wrong");
    for name in [
        "good_sent_back: found -3",
        "patience_s",
        "fallback: found perhaps",
        "expected 0.000001 to 0.5",
    ] {
        assert!(wrong.contains(name), "{name} in {wrong}");
    }
    let wrong = Terms::read(one("good_slower", 2.0), |_| "").expect_err("above bad");
    assert!(
        wrong.contains("good_slower: expected less than bad_slower"),
        "{wrong}"
    );
    assert!((ERRORS + WORK + COMPLAINTS + PAST + PAUSES - 1.0).abs() < 1e-12);
    // A lone agent has it all; of forty agents of whom sixteen move a release on each has two fifths.
    assert_eq!(stated.back_rate(ALONE), 0.01);
    let many = Voters {
        all: 40.0,
        back: 4.0,
        on: 16.0,
    };
    assert!(
        (stated.back_rate(many) - 0.001).abs() < 1e-12
            && (stated.on_rate(many) - 0.04).abs() < 1e-12
    );
}
