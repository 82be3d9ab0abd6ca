//! Endpoints that were slow, silent or failing and are well again: they must get requests again, and must not get many before.

mod common;

use common::{Health, Setup, Tally, WhenFull, World, SECOND, WELL};
use magpieline_load_balancer::Micros;
use rstest::rstest;

/// The endpoint that is unwell for a time.
const ILL: usize = 3;
const ENDPOINTS: usize = 8;
/// A proxy prefers some endpoints to others: shares are looked at over so many seeds.
const SEEDS: u64 = 8;
/// An endpoint that is well again gets requests after this at the latest.
const RECOVERY: Micros = 30 * SECOND;

fn setup(seed: u64, proxies: usize, is_idempotent: bool) -> Setup<'static> {
    Setup {
        seed,
        proxies,
        sizes: &[2; ENDPOINTS],
        queue_size: 8,
        when_full: WhenFull::Rejects,
        is_idempotent,
    }
}

/// What came of requests while some endpoints were unwell, and once they had been well again for a while.
struct Illness {
    during: Tally,
    after: Tally,
}

/// Plays a time in which some endpoints have another health.
fn play_illness(setup: &Setup, load: f64, endpoints: &[usize], health: Health) -> Illness {
    let mut world = World::new(setup);
    let rate = world.capacity(0) * load;
    world.play(rate, 5 * SECOND);
    let set_health = |world: &mut World, health| {
        let endpoints = endpoints.iter();
        endpoints.for_each(|endpoint| world.set_health(*endpoint, health));
    };
    set_health(&mut world, health);
    let during = world.play(rate, 20 * SECOND);
    set_health(&mut world, WELL);
    world.play(rate, RECOVERY);
    let after = world.play(rate, 30 * SECOND);
    let tallies = world.finish();
    Illness {
        during: tallies[during].clone(),
        after: tallies[after].clone(),
    }
}

/// Returns the part of all attempts that each endpoint gets, on average over some seeds.
fn mean_shares(play: impl Fn(u64) -> Tally) -> [f64; ENDPOINTS] {
    let tallies: Vec<Tally> = (0..SEEDS).map(play).collect();
    std::array::from_fn(|endpoint| {
        let shares = tallies.iter().map(|tally| tally.share_of(endpoint));
        shares.sum::<f64>() / SEEDS as f64
    })
}

/// Guards against: an endpoint that had been slow or failing for a while got no request any more once it was well, as only answers
/// could make up for that. One that does not take connections, or is silent, was left out for ever by services that take only requests
/// that must not run twice.
#[rstest]
fn an_endpoint_that_is_well_again_gets_its_share(
    #[values(Health::Fails, Health::IsSilent, Health::Refuses, Health::Serves(6.0))] health: Health,
    #[values(true, false)] is_idempotent: bool,
    #[values(1, 9, 88)] proxies: usize,
    #[values(0.2, 0.5)] load: f64,
) {
    let shares = |health| {
        mean_shares(|seed| {
            let setup = setup(seed, proxies, is_idempotent);
            play_illness(&setup, load, &[ILL], health).after
        })
    };
    let (share, usual) = (shares(health)[ILL], shares(WELL)[ILL]);
    assert!(share > 0.5 * usual, "{share} of {usual}");
}

/// Guards against: once a proxy had been cut off from all endpoints of a service, it sent all requests that must not run twice to the
/// few that happened to answer first.
#[rstest]
fn all_endpoints_get_requests_again_after_a_partition(
    #[values(Health::IsSilent, Health::Refuses)] health: Health,
    #[values(1, 9)] proxies: usize,
) {
    let all: Vec<usize> = (0..ENDPOINTS).collect();
    let smallest_share = |health| {
        let tallies = (0..SEEDS).map(|seed| {
            let setup = setup(seed, proxies, false);
            play_illness(&setup, 0.4, &all, health).after
        });
        let smallest = |tally: Tally| {
            let shares = all.iter().map(|endpoint| tally.share_of(*endpoint));
            shares.fold(1.0, f64::min)
        };
        tallies.map(smallest).sum::<f64>() / SEEDS as f64
    };
    let (share, usual) = (smallest_share(health), smallest_share(WELL));
    assert!(share > 0.5 * usual, "{share} of {usual}");
}

/// Guards against proxies that find out too often: each learns from some ten answers, and then tries the endpoint about
/// once in ten seconds.
#[rstest]
fn an_endpoint_that_stays_unwell_is_tried_seldom(
    #[values(Health::Fails, Health::IsSilent, Health::Serves(6.0))] health: Health,
    #[values(1, 9, 88)] proxies: usize,
    #[values(0.2, 0.5)] load: f64,
) {
    for seed in 0..SEEDS {
        let setup = setup(seed, proxies, true);
        let Illness { during, .. } = play_illness(&setup, load, &[ILL], health);
        let attempts = f64::from(during.attempts.get(&ILL).copied().unwrap_or(0));
        let by_proxy = attempts / proxies as f64;
        assert!(by_proxy <= 12.0, "seed {seed}: {by_proxy}");
    }
}
