//! Seeded plays of the counter's real path. The same verdict every time: chance comes from the seed, time from tokio's paused
//! clock.

use magpieline_proxy_simulation::{play, play_with_versions};

/// Guards against all that the rig looks for: an answer under another request than its own, what may run once only sent
/// where an earlier one may have run, promises that are none, requests passed on late, by an old edition or to an
/// appliance that is gone, idle connections ended too soon, requests broken off at work or lost. And against a rig that
/// meets nothing: each kind of trouble comes up.
#[test]
fn each_request_gets_its_own_answer_and_orders_run_once() {
    let (mut met, mut served, mut requests) =
        (std::collections::BTreeMap::<&str, u64>::new(), 0, 0);
    for seed in 0..1_000 {
        let played = play(seed);
        assert!(played.wrong.is_empty(), "seed {seed}: {:#?}", played.wrong);
        played
            .met
            .iter()
            .for_each(|(what, times)| *met.entry(what).or_default() += times);
        (served, requests) = (served + played.served, requests + played.requests);
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
            met.get(what).is_some_and(|times| *times > 20),
            "{what}: {:?}",
            met.get(what)
        );
    }
}

/// Guards against a request written to a version that its service has left while the connection came up.
#[test]
fn what_a_service_has_left_gets_nothing_more() {
    let mut moved = 0;
    for seed in 0..300 {
        let played = play_with_versions(seed);
        assert!(played.wrong.is_empty(), "seed {seed}: {:#?}", played.wrong);
        moved += played.met.get("version changed").copied().unwrap_or(0);
    }
    assert!(moved > 1_000, "{moved}");
}
