use super::*;
use crate::keeper::tests::ladder;

/// Path groups of equal work: pay brings five times what read does.
fn admission() -> Admission {
    Admission::new(&[5.0, 1.0], 4, 0.0, 7)
}

fn level(least: f64) -> Level {
    let mut level = ladder().levels.remove(0);
    level.rules = vec![
        Rule {
            least,
            ..Rule::FULL
        };
        2
    ];
    level
}

/// Offers hits of these (group, account) a second, a share of which is late, for so many seconds: how many of
/// each were let in, in the last second.
fn offer(
    a: &mut Admission,
    s: &mut Signals,
    now: &mut f64,
    seconds: usize,
    each: &[(usize, usize, usize)],
    level: Option<&Level>,
    late: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut let_in = vec![0; each.len()];
    for _ in 0..seconds {
        let mut went = 0;
        for (n, (group, account, hits)) in each.iter().enumerate() {
            let_in[n] = 0;
            for _ in 0..*hits {
                let rule = level.map(|l| &l.rules[*group]);
                if a.arrive(*group, *account, 1.0, rule, 30.0) == Door::Go {
                    let_in[n] += 1;
                    went += 1;
                    a.ended(
                        *group,
                        if late(went) { Fate::Late } else { Fate::InTime },
                        0.1,
                    );
                }
            }
        }
        *now += 1.0;
        a.step(*now, level, false, s);
    }
    let_in
}

#[test]
fn without_a_level_all_go() {
    let (mut a, mut s, mut now) = (admission(), Signals::new(2), 0.0);
    assert_eq!(
        offer(
            &mut a,
            &mut s,
            &mut now,
            20,
            &[(0, 0, 100), (1, 0, 100)],
            None,
            |_| true
        ),
        [100, 100]
    );
    assert_eq!((a.budget(), s.shortage), (1.0, 0.0));
}

/// Nodes that serve 120 of 200 hits a second in time: what brings most is served whole, the rest has what is left.
#[test]
fn a_shortage_is_borne_by_what_brings_least_for_its_work() {
    let (mut a, mut s, mut now, level) = (admission(), Signals::new(2), 0.0, level(0.1));
    let each = [(0, 0, 100), (1, 0, 100)];
    offer(&mut a, &mut s, &mut now, 60, &each, Some(&level), |n| {
        n > 120
    });
    let mut sums = [0, 0];
    for _ in 0..20 {
        let let_in = offer(&mut a, &mut s, &mut now, 1, &each, Some(&level), |n| {
            n > 120
        });
        sums = [sums[0] + let_in[0], sums[1] + let_in[1]];
    }
    assert_eq!(sums[0], 2000, "{sums:?}");
    assert!((300..=600).contains(&sums[1]), "{sums:?}");
    assert!((0.25..0.5).contains(&s.shortage), "{}", s.shortage);
    // Once nodes take all of it again, all of it is let in.
    let let_in = offer(&mut a, &mut s, &mut now, 30, &each, Some(&level), |_| false);
    assert_eq!((let_in, s.shortage), (vec![100, 100], 0.0));
}

#[test]
fn the_least_of_a_path_group_is_let_in_however_short_room_is() {
    let (mut a, mut s, mut now, level) = (admission(), Signals::new(2), 0.0, level(0.2));
    let let_in = offer(
        &mut a,
        &mut s,
        &mut now,
        80,
        &[(0, 0, 100), (1, 0, 100)],
        Some(&level),
        |_| true,
    );
    assert!(let_in.iter().all(|n| (19..=21).contains(n)), "{let_in:?}");
}

/// One account's burst is its own matter: the others are served as before.
#[test]
fn an_account_that_bursts_bears_its_burst() {
    let (mut a, mut s, mut now, level) = (admission(), Signals::new(2), 0.0, level(0.0));
    let each = [(1, 0, 20), (1, 1, 20), (1, 2, 200)];
    let mut sums = [0; 3];
    offer(&mut a, &mut s, &mut now, 40, &each, Some(&level), |n| {
        n > 110
    });
    for _ in 0..20 {
        let let_in = offer(&mut a, &mut s, &mut now, 1, &each, Some(&level), |n| {
            n > 110
        });
        (0..3).for_each(|i| sums[i] += let_in[i]);
    }
    assert_eq!(sums[..2], [400, 400]);
    assert!((800..2000).contains(&sums[2]), "{sums:?}");
}

/// Times to come back are spread, so that the return is no second wave.
#[test]
fn who_is_turned_away_comes_back_spread() {
    let (mut a, mut s, mut now, level) = (admission(), Signals::new(2), 0.0, level(0.0));
    offer(
        &mut a,
        &mut s,
        &mut now,
        60,
        &[(1, 0, 100)],
        Some(&level),
        |_| true,
    );
    let mut seconds = [0; 46];
    for _ in 0..3000 {
        if let Door::Turned { again_after } = a.arrive(1, 0, 1.0, None, 30.0) {
            seconds[again_after as usize] += 1;
        }
    }
    assert!(
        seconds[15..45].iter().all(|n| (40..200).contains(n)),
        "{seconds:?}"
    );
    assert!(seconds[..15].iter().all(|n| *n == 0));
}

#[test]
fn waiting_is_bounded_and_goes_by_benefit_once_there_is_room() {
    let (mut a, mut s, mut now, mut level) = (admission(), Signals::new(2), 0.0, level(0.0));
    level.rules = vec![
        Rule {
            waiting: 3,
            longest_wait: 0.4,
            ..Rule::FULL
        };
        2
    ];
    offer(
        &mut a,
        &mut s,
        &mut now,
        60,
        &[(0, 0, 100), (1, 0, 100)],
        Some(&level),
        |_| true,
    );
    while a.waiting.pop_front().is_some() {}
    a.groups.iter_mut().for_each(|g| g.waiting = 0);
    let mut doors = Vec::new();
    for i in 0..400 {
        match a.arrive(usize::from(i < 200), 0, 0.5, Some(&level.rules[0]), 30.0) {
            Door::Wait { number, at_most } => {
                assert_eq!(at_most, 0.25, "never beyond half of what its client waits");
                doors.push((number, i < 200));
            }
            door => assert!(door == Door::Go || matches!(door, Door::Turned { .. })),
        }
    }
    assert_eq!(doors.len(), 6);
    a.step(now, Some(&level), false, &mut s);
    assert_eq!(s.waiting, 1.0);
    (0..30).for_each(|_| s.began());
    assert_eq!(a.released(&s), None, "no room");
    (0..30).for_each(|_| s.ended(now, 0, Fate::InTime, 0.1, None));
    a.gone(doors[3].0);
    let out: Vec<u64> = std::iter::from_fn(|| a.released(&s)).collect();
    // Pay's two that are left, oldest first, then read's three.
    assert_eq!(
        out,
        [doors[4].0, doors[5].0, doors[0].0, doors[1].0, doors[2].0]
    );
    assert!(a.groups.iter().all(|g| g.waiting == 0));
}

#[test]
fn a_start_without_memory_lets_in_half_and_soon_all() {
    let (mut a, mut s, level) = (admission(), Signals::new(2), level(0.0));
    a.step(0.1, Some(&level), true, &mut s);
    assert_eq!(a.budget(), 0.5);
    for second in 1..=4 {
        (0..50).for_each(|_| a.ended(0, Fate::InTime, 0.1));
        a.step(f64::from(second) + 0.2, Some(&level), true, &mut s);
    }
    assert_eq!(a.budget(), 1.0);
}
