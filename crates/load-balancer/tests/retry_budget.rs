//! The retry budget over many proxies that do not communicate.

use magpieline_load_balancer::retry_budget::RetryBudget;
use rand::{Rng, SeedableRng};
use std::sync::Arc;

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const PROXIES: u32 = 12;

/// Returns the budget of a proxy that has just started.
fn started() -> RetryBudget {
    let mut budget = RetryBudget::new(RATIO, SLACK);
    budget.set_slack(SLACK, PROXIES);
    budget
}

fn all_started() -> Vec<RetryBudget> {
    (0..PROXIES).map(|_| started()).collect()
}

/// Guards against a sum over all proxies that is broken while each keeps its own part: restarts, and proxies that
/// spend all they have at the worst moment.
#[test]
fn parts_of_all_proxies_stay_below_the_whole_in_every_window() {
    let window = 10_000;
    let service: Arc<str> = "s".into();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut all = all_started();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now in 0..60_000u64 {
        let greedy = (now / 5000) % 2 == 1; // saves up for five seconds, then spends all it can
        let one = rng.gen_range(0..all.len());
        if rng.gen_bool(0.15) {
            all[one].on_request(&service);
            requests.push(now);
        }
        if rng.gen_bool(0.0005) {
            all[one] = started();
        }
        for budget in all.iter_mut().filter(|b| greedy && b.balance("s") >= 1.0) {
            budget.on_retry(&service);
            retries.push(now);
        }
    }
    let within = |list: &[u64], from: u64| {
        list.iter()
            .filter(|t| (from..from + window).contains(t))
            .count()
    };
    for from in (0..50_000).step_by(500) {
        let (requests, retries) = (
            within(&requests, from) as f64,
            within(&retries, from) as f64,
        );
        assert!(
            retries <= RATIO * requests + SLACK,
            "{retries} of {requests} from {from}"
        );
    }
    assert!(retries.len() > 500, "nothing was tried: {}", retries.len());
}

/// Spends all that the proxies have. Returns how many retries that was.
fn spend_all(budgets: &mut [RetryBudget], service: &Arc<str>) -> u32 {
    let mut retries = 0;
    for budget in budgets {
        while budget.balance(service) >= 1.0 {
            budget.on_retry(service);
            retries += 1;
        }
    }
    retries
}

/// Guards against proxies that earn more of each request than the ratio: over a long window the slack doesn't hide it.
#[test]
fn proxies_that_always_spend_all_stay_below_the_ratio_in_a_long_window() {
    const REQUESTS: u32 = 20_000;
    let service: Arc<str> = "s".into();
    let mut budgets = all_started();
    let mut retries = 0;
    for request in 0..REQUESTS {
        budgets[(request % PROXIES) as usize].on_request(&service);
        retries += spend_all(&mut budgets, &service);
    }
    let allowed = RATIO * f64::from(REQUESTS) + SLACK;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(f64::from(retries) > allowed / 2.0, "{retries} of {allowed}");
}

/// Guards against slack that is minted by restarts: all proxies have saved up before the window, spend that, are restarted and
/// spend what they begin with, without a request in between.
#[test]
fn a_restart_of_all_proxies_stays_within_the_slack() {
    let service: Arc<str> = "s".into();
    let mut budgets = all_started();
    for budget in &mut budgets {
        (0..1_000).for_each(|_| budget.on_request(&service));
    }
    let saved = spend_all(&mut budgets, &service);
    let minted = spend_all(&mut all_started(), &service);
    assert!(saved > PROXIES, "nothing was saved up: {saved}");
    assert!(f64::from(saved + minted) <= SLACK, "{saved} and {minted}");
}
