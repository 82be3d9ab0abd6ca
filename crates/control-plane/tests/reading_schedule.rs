//! When proxies read the platform's list themselves: all of them together, on a platform that takes few calls.

use magpieline_control_plane::reading_schedule::{ReadingConditions, ReadingCost, ReadingSchedule};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const S: u64 = 1_000_000;
const STEP: u64 = S / 20;

fn conditions() -> ReadingConditions {
    ReadingConditions {
        confirmed_at: Some(S),
        as_of: Some(10 * S),
        is_following: true,
        drain: 3 * S,
        proxies: 1,
        calls_per_reading: 1,
        calls_per_second: 100.0,
    }
}

/// Guards against a proxy that reads the list for itself while its leader keeps its view fresh, and against one that waits until
/// an endpoint has drained.
#[test]
fn the_list_is_read_between_a_leaders_confirmation_and_the_end_of_draining() {
    for draw in [0.0, 0.5, 0.99] {
        let schedule = ReadingSchedule::new(draw);
        let following = schedule.due(10 * S, &conditions());
        assert!((12 * S..13 * S).contains(&following), "{draw}: {following}");
        let alone = ReadingConditions {
            is_following: false,
            ..conditions()
        };
        let alone = schedule.due(10 * S, &alone);
        assert!((11 * S..12 * S).contains(&alone), "{draw}: {alone}");
    }
}

/// Guards against restarted proxies that take themselves for alone.
#[test]
fn a_proxy_that_was_told_of_nothing_does_not_read() {
    let untold = ReadingConditions {
        confirmed_at: None,
        as_of: None,
        is_following: false,
        proxies: 0,
        ..conditions()
    };
    let schedule = ReadingSchedule::new(0.0);
    for now in (0..100).map(|step| step * S) {
        assert!(schedule.due(now, &untold) > now);
    }
}

/// Guards against proxies that lose their leader together and use up the calls that the next leader's reading needs.
#[test]
fn proxies_that_are_cut_off_together_leave_half_of_the_calls() {
    for (proxies, calls_per_reading, calls_per_second) in
        [(88, 7, 19.0), (88, 6, 630.0), (1_400, 440, 2_000.0)]
    {
        let cut_off = ReadingConditions {
            is_following: false,
            proxies,
            calls_per_reading,
            calls_per_second,
            ..conditions()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(proxies + calls_per_reading));
        let mut schedules: Vec<ReadingSchedule> = (0..proxies)
            .map(|_| ReadingSchedule::new(rng.gen()))
            .collect();
        // As long as each proxy reads three times.
        let fair = f64::from(proxies * calls_per_reading) / (0.5 * calls_per_second);
        let seconds = (3.0 * fair.max(1.0)) as u64;
        let mut readings = 0u32;
        for step in 0..seconds * S / STEP {
            let now = 11 * S + step * STEP;
            for schedule in &mut schedules {
                if now >= schedule.due(now, &cut_off) {
                    schedule.on_reading(now, &cut_off, rng.gen());
                    readings += 1;
                }
            }
        }
        let used = f64::from(readings * calls_per_reading) / seconds as f64;
        let used = used / calls_per_second;
        assert!((0.25..0.65).contains(&used), "{proxies}: {used}");
    }
}

/// Guards against: proxies knew of a list what it was before it grew, read it far too often, all were turned away midway, and none
/// ever learnt how long it is.
#[test]
fn proxies_learn_that_a_list_has_grown_though_no_reading_is_completed() {
    const PROXIES: u32 = 1_400;
    const PAGE_LENGTH: usize = 50;
    const PAGES: u32 = 440;
    const CALLS_PER_SECOND: u32 = 2_000;
    const SECONDS: u32 = 1_200;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut proxies: Vec<(ReadingSchedule, ReadingCost)> = (0..PROXIES)
        .map(|_| {
            let mut cost = ReadingCost::default();
            cost.on_completed(1);
            (ReadingSchedule::new(rng.gen()), cost)
        })
        .collect();
    // Pages that a proxy has read of the list, one in each step.
    let mut reading: Vec<Option<u32>> = vec![None; PROXIES as usize];
    let mut completed = 0;
    let steps_per_second = (S / STEP) as u32;
    for step in 0..SECONDS * steps_per_second {
        let now = 11 * S + u64::from(step) * STEP;
        let mut calls = CALLS_PER_SECOND / steps_per_second;
        let first = rng.gen_range(0..proxies.len());
        for offset in 0..proxies.len() {
            let proxy = (first + offset) % proxies.len();
            let (schedule, cost) = &mut proxies[proxy];
            let cut_off = ReadingConditions {
                is_following: false,
                proxies: PROXIES,
                calls_per_reading: cost.calls(0),
                calls_per_second: f64::from(CALLS_PER_SECOND),
                ..conditions()
            };
            if reading[proxy].is_none() && now >= schedule.due(now, &cut_off) {
                schedule.on_reading(now, &cut_off, rng.gen());
                reading[proxy] = Some(0);
            }
            let Some(pages) = reading[proxy] else {
                continue;
            };
            if calls == 0 {
                reading[proxy] = None;
                continue;
            }
            calls -= 1;
            let pages = pages + 1;
            reading[proxy] = Some(pages).filter(|pages| *pages < PAGES);
            if pages == PAGES {
                cost.on_completed(pages);
                completed += 1;
            } else {
                cost.on_page(pages as usize * PAGE_LENGTH, pages);
            }
        }
    }
    // At half of the calls, once the length is known, some two in a second.
    assert!(completed >= SECONDS, "{completed}");
}
