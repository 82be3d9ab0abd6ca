//! Whole rollouts on a model: counters that play their trials, a leader that pools what they tell, appliances of an old
//! and a new build. Checked over seeds: a bad build is returned and its exposure stays within the rules, a good one is
//! delivered in its term.

use magpieline_control_plane::messages::{Evidence, Hello, Report};
use magpieline_control_plane::proxy_registry::Roster;
use magpieline_control_plane::state_machine::Phase;
use magpieline_rollout::analysis::{Jury, Look, Step};
use magpieline_rollout::trial::{End, Seen, Trial};
use magpieline_rollout::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const MS: Micros = 1000;
const WITHIN: Micros = 14_000 * MS;
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// What is wrong with the new build.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Build {
    Good,
    /// Half of its answers fail.
    Fails,
    /// Half of them take eight times as long.
    Slow,
    /// On the rarer route alone, half fail.
    OneRoute,
    /// Half fail, from a few seconds after its start.
    Late,
    /// Half fail while it carries much, next to none before.
    UnderLoad,
}

/// What happens besides.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Trouble {
    Calm,
    /// One appliance in eight of either build fails most of its requests.
    SickOnes,
    /// The leader changes in the middle: another jury, all links anew.
    Leader,
    /// A third of the counters restart in the middle.
    Restarts,
    /// No request of the service may run again.
    OrdersOnly,
}

struct Outcome {
    phase: Phase,
    /// When it came to that, from the order.
    at: Micros,
    exposed: f64,
    requests: f64,
    account: String,
}

/// A counter says who it is.
fn hello(counter: usize, life: u64) -> Hello {
    Hello {
        node: counter.to_string(),
        zone: "z".into(),
        life,
        edition: 1,
        term: 1,
        at: 0,
    }
}

/// Plays a rollout: `counters` with `rate` requests a second in all.
fn play(seed: u64, build: Build, trouble: Trouble, counters: usize, rate: f64) -> Outcome {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut roster = Roster::default();
    roster.leads_in(Some(1));
    let trial = |chance: &mut ChaCha8Rng| {
        Trial::new(
            "s".into(),
            1,
            rate / counters as f64,
            chance.gen_range(0.0..1.0),
        )
    };
    let mut trials: Vec<Trial> = (0..counters).map(|_| trial(&mut chance)).collect();
    for c in 0..counters {
        assert!(roster.hello(0, c as u64, 1, &hello(c, seed + c as u64)));
    }
    let jury = |now| {
        Jury::new(
            0,
            WITHIN,
            Phase::Trial,
            SHARE,
            if now == 0 { 0.0 } else { rate },
        )
    };
    let (mut judge, mut phase, mut moved_at) = (jury(0), Phase::Trial, 0);
    let (mut exposed, mut requests) = (0.0, 0.0);
    let mut opened = false;
    let (mut warm_since, mut lives) = (None, counters as u64);
    // Outcomes on their way: when they are seen, by whom, what.
    let mut flying: Vec<(Micros, usize, Seen)> = Vec::new();
    for now in (0..30_000 * MS).step_by(10_000) {
        if trouble == Trouble::Leader && now == 7_000 * MS {
            (judge, opened) = (jury(now), false);
            roster.leads_in(None);
            roster.leads_in(Some(1));
            for c in 0..counters {
                lives += 1;
                assert!(roster.hello(now, lives, 1, &hello(c, seed + c as u64)));
            }
        }
        if trouble == Trouble::Restarts && now == 7_000 * MS {
            for (c, restarted) in trials.iter_mut().enumerate().filter(|(c, _)| c % 3 == 0) {
                *restarted = trial(&mut chance);
                assert!(roster.hello(now, c as u64, 1, &hello(c, seed + 1000 + c as u64)));
                restarted.enter(judge.stage());
            }
        }
        let listed = if now >= 1_200 * MS { 24 } else { 0 };
        let cold = now < 4_500 * MS;
        if listed > 0 && !cold {
            warm_since = warm_since.or(Some(now));
        }
        // Requests: each counter's part of the rate, by chance.
        for (c, trial) in trials.iter_mut().enumerate() {
            if !chance.gen_bool(rate / counters as f64 * 0.01) {
                continue;
            }
            requests += 1.0;
            trial.request();
            let rare = chance.gen_bool(0.24);
            let to_trial = match phase {
                Phase::Trial => trial.wants(!rare && trouble != Trouble::OrdersOnly),
                Phase::Moving | Phase::Delivered => true,
                Phase::Returned => false,
            };
            if to_trial {
                trial.sent();
                exposed += f64::from(u8::from(now < WITHIN));
            }
            let appliance = chance.gen_range(0..24);
            let bad = to_trial
                && chance.gen_bool(0.5)
                && match build {
                    Build::Good => false,
                    Build::Fails | Build::Slow => true,
                    Build::OneRoute => rare,
                    Build::Late => now >= 4_500 * MS,
                    Build::UnderLoad => phase == Phase::Moving || chance.gen_bool(0.04),
                };
            let sick = trouble == Trouble::SickOnes && appliance % 8 == 0 && chance.gen_bool(0.7);
            let failed = sick || (bad && build != Build::Slow) || chance.gen_bool(0.002);
            let slow = (bad && build == Build::Slow) || chance.gen_bool(0.01);
            let spent = (chance.gen_range(80..320) * if slow { 8 } else { 1 }) * MS;
            let seen = Seen {
                trial: to_trial,
                route: u64::from(rare),
                appliance,
                first: true,
                end: if failed { End::Failed } else { End::Served },
                in_time: !failed && spent <= 600 * MS,
                cold: to_trial && cold,
                spent,
            };
            flying.push((now + spent, c, seen));
        }
        flying.retain(|(at, c, seen)| {
            let due = *at <= now;
            if due {
                trials[*c].seen(*seen);
            }
            !due
        });
        // Reports: twice a second, ten times while the service moves.
        let every = if phase == Phase::Moving {
            100 * MS
        } else {
            500 * MS
        };
        if now % every == 0 {
            for (c, trial) in trials.iter().enumerate() {
                let link = if trouble == Trouble::Leader && now >= 7_000 * MS {
                    None
                } else {
                    Some(c as u64)
                };
                let link = link.unwrap_or_else(|| counters as u64 + 1 + c as u64);
                let told = Evidence {
                    phase: Some(phase),
                    age: now,
                    ..trial.evidence()
                };
                roster.report(
                    now,
                    link,
                    Report {
                        edition: 1,
                        evidence: vec![told],
                        ..Report::default()
                    },
                );
            }
        }
        if now % (150 * MS) == 0 {
            let pooled = roster.pooled("s", 1);
            let leaving = roster.leaving(now, "s", 1);
            match judge.look(Look {
                now,
                pooled: &pooled,
                listed,
                warm_since,
                leaving,
                away: 0,
            }) {
                Step::None => {}
                Step::Stage(stage) => {
                    assert!(
                        !(opened && stage.guarded),
                        "seed {seed}: guarded again after {} ms",
                        now / MS
                    );
                    opened |= !stage.guarded;
                    trials.iter_mut().for_each(|t| t.enter(stage));
                }
                Step::Advance(next) => {
                    (phase, moved_at) = (next, now);
                    judge.moved(now, next);
                    if matches!(next, Phase::Delivered | Phase::Returned) {
                        break;
                    }
                }
            }
        }
    }
    // The term ends after what is decided; its requests count.
    requests += rate * (WITHIN.saturating_sub(moved_at) as f64 / 1e6);
    Outcome {
        phase,
        at: moved_at,
        exposed,
        requests,
        account: judge.account(&roster.pooled("s", 1)),
    }
}

/// Guards against a bad build that is carried, or met by more than the rules allow, whatever else happens.
#[rstest]
fn a_bad_build_is_returned_within_its_exposure(
    #[values(
        Build::Fails,
        Build::Slow,
        Build::OneRoute,
        Build::Late,
        Build::UnderLoad
    )]
    build: Build,
    #[values(Trouble::Calm, Trouble::Leader, Trouble::Restarts)] trouble: Trouble,
    #[values((9, 110.0), (12, 250.0))] size: (usize, f64),
) {
    for seed in 0..12 {
        let end = play(seed, build, trouble, size.0, size.1);
        assert_eq!(end.phase, Phase::Returned, "seed {seed}: {}", end.account);
        let most = SHARE * end.requests + SLACK;
        assert!(
            end.exposed <= most,
            "seed {seed}: {} of {}, at most {most}",
            end.exposed,
            end.requests
        );
    }
}

/// Guards against a good build that is sent back, or comes too late, because something else fails.
#[rstest]
fn a_good_build_is_delivered_in_its_term(
    #[values(Trouble::Calm, Trouble::Leader, Trouble::Restarts)] trouble: Trouble,
    #[values((9, 110.0), (12, 250.0))] size: (usize, f64),
) {
    for seed in 0..25 {
        let end = play(seed, Build::Good, trouble, size.0, size.1);
        assert_eq!(end.phase, Phase::Delivered, "seed {seed}: {}", end.account);
        assert!(
            end.at < WITHIN,
            "seed {seed}: delivered {} ms late",
            (end.at - WITHIN) / 1000
        );
    }
}

/// Guards against a guarded stage that waits for requests which the service has not.
#[rstest]
fn a_service_of_orders_alone_is_moved_or_returned(
    #[values((9, 28.0), (12, 60.0), (12, 250.0))] size: (usize, f64),
) {
    for seed in 0..25 {
        let good = play(seed, Build::Good, Trouble::OrdersOnly, size.0, size.1);
        assert_eq!(
            good.phase,
            Phase::Delivered,
            "seed {seed}: {}",
            good.account
        );
        assert!(
            good.at < WITHIN,
            "seed {seed}: delivered {} ms late",
            (good.at - WITHIN) / 1000
        );
        let bad = play(seed, Build::Fails, Trouble::OrdersOnly, size.0, size.1);
        assert_eq!(bad.phase, Phase::Returned, "seed {seed}: {}", bad.account);
        let most = SHARE * bad.requests + SLACK;
        assert!(
            bad.exposed <= most,
            "seed {seed}: {} of {}, at most {most}",
            bad.exposed,
            bad.requests
        );
    }
}

/// Guards against a few sick appliances that condemn a build: they fail in both.
#[test]
fn sick_appliances_of_both_builds_condemn_neither() {
    let mut delivered = 0;
    for seed in 0..10 {
        delivered += usize::from(
            play(seed, Build::Good, Trouble::SickOnes, 9, 110.0).phase == Phase::Delivered,
        );
    }
    assert!(delivered >= 9, "{delivered} of 10");
}
