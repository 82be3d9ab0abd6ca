//! Seeded runs of the proxy's real path. Random numbers come from the seed, time from tokio's paused clock.

use magpieline_proxy_simulation::{simulate, simulate_with_version_changes};

/// Guards against all that the simulation checks: a response to another request than its own, a request that is not idempotent
/// sent where an earlier attempt may have run, false promises, requests passed on late, by a replaced configuration or
/// to an endpoint that is gone, idle connections ended too soon, requests interrupted or lost. And against a simulation
/// that meets nothing: each kind of trouble comes up.
#[test]
fn each_request_gets_its_own_response_and_runs_at_most_once_unless_idempotent() {
    let (mut counts, mut served, mut requests) =
        (std::collections::BTreeMap::<&str, u64>::new(), 0, 0);
    for seed in 0..1_000 {
        let summary = simulate(seed);
        assert!(
            summary.violations.is_empty(),
            "seed {seed}: {:#?}",
            summary.violations
        );
        summary
            .counts
            .iter()
            .for_each(|(what, times)| *counts.entry(what).or_default() += times);
        (served, requests) = (served + summary.served, requests + summary.requests);
    }
    assert!(
        requests > 20_000 && served * 2 > requests,
        "{served} of {requests} served"
    );
    for what in [
        "SIGTERM",
        "a promise that is none",
        "another appliance",
        "another's answer",
        "answer cut",
        "answer without a stamp",
        "answer without an end",
        "answer without an id",
        "appliance replaced",
        "client back with the same id",
        "client left",
        "closing answer",
        "doubled answer",
        "doubled answer, late",
        "edition changed",
        "encoded answer",
        "failed",
        "forgotten",
        "garbage",
        "interim answers",
        "keep-alive told",
        "late answer first",
        "no connection",
        "reset after the work",
        "reset before the work",
        "reset in the middle of a request",
        "silence",
        "turned away",
        "turned away early",
    ] {
        assert!(
            counts.get(what).is_some_and(|times| *times > 20),
            "{what}: {:?}",
            counts.get(what)
        );
    }
}

/// Guards against a request written to a version that its service has left while the connection came up.
#[test]
fn what_a_service_has_left_gets_nothing_more() {
    let mut moved = 0;
    for seed in 0..300 {
        let summary = simulate_with_version_changes(seed);
        assert!(
            summary.violations.is_empty(),
            "seed {seed}: {:#?}",
            summary.violations
        );
        moved += summary.counts.get("version changed").copied().unwrap_or(0);
    }
    assert!(moved > 1_000, "{moved}");
}

/// Guards against work for clients that have left: half a second later no endpoint works on an idempotent request of theirs, and
/// none of their requests reaches one.
#[test]
fn endpoints_stop_soon_after_a_client_has_left() {
    let (mut findings, mut left) = (Vec::new(), 0);
    for seed in 0..1_000 {
        let summary = simulate(seed);
        left += summary.counts.get("client left").copied().unwrap_or(0);
        let of_seed = summary.work_for_nobody.into_iter();
        findings.extend(of_seed.map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(left > 300, "{left} clients left");
    let first = &findings[..findings.len().min(3)];
    assert!(findings.is_empty(), "{}: {first:#?}", findings.len());
}

/// Seeds that a change broke once: a request repeated with the id of one that had run was answered 408, a promise that it never
/// ran, as its own body was late.
#[test]
fn seeds_that_once_failed_hold() {
    for seed in [1318, 1566, 1694, 2567, 2577, 2578, 4865, 5681, 6285, 8872] {
        let summary = simulate(seed);
        assert!(
            summary.violations.is_empty(),
            "seed {seed}: {:#?}",
            summary.violations
        );
    }
}
