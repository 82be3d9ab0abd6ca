//! What may be repeated, what is remembered, and that nothing that must not runs twice.

use crate::log::{AttemptLog, Limits};
use crate::record::Record;
use crate::request::{AttemptRequest, FirstAttempt, Idempotency, Outcome, Rejection};
use proptest::prelude::*;
use std::collections::HashMap;

const LIMITS: Limits = Limits {
    max_entries: 100,
    retention: 60.0,
};
const TAGGED: Idempotency = Idempotency::Deduplicated { window: 2.0 };

fn new_log() -> AttemptLog {
    AttemptLog::new(1000.0, LIMITS)
}

fn request(id: u64, idempotency: Idempotency) -> AttemptRequest {
    AttemptRequest {
        id,
        idempotency,
        is_retry: false,
        received_at: None,
    }
}

#[test]
fn a_mutating_one_goes_once_unless_it_never_ran() {
    let (mut log, pay) = (new_log(), request(1, Idempotency::NonIdempotent));
    assert_eq!(log.begin(1001.0, &pay), Ok(None));
    assert_eq!(
        log.begin(1001.0, &pay),
        Err(Rejection::InProgress),
        "two callers at once"
    );
    log.on_end(1001.1, 1, false, Outcome::NeverRan);
    assert_eq!(
        log.begin(1001.2, &pay),
        Ok(None),
        "it was bounced, so it never ran"
    );
    assert!(log.on_sent(1001.2, 1, 0, 0).is_some());
    assert_eq!(log.begin(1001.3, &pay), Err(Rejection::InProgress));
    assert_eq!(
        log.on_end(1001.4, 1, true, Outcome::NeverRan),
        Some(Record::NeverRan { id: 1 })
    );
    assert_eq!(log.begin(1001.5, &pay), Ok(None), "turned away unseen");
    log.on_sent(1001.5, 1, 0, 0);
    assert_eq!(log.on_end(1001.6, 1, true, Outcome::MayHaveRun), None);
    assert_eq!(log.begin(1001.7, &pay), Err(Rejection::MayHaveRun));
    assert_eq!(log.begin(1050.0, &pay), Err(Rejection::MayHaveRun));
}

#[test]
fn a_tagged_one_goes_again_within_its_window_and_only_where_it_is_known() {
    let (mut log, book) = (new_log(), request(1, TAGGED));
    assert_eq!(log.begin(1001.0, &book), Ok(None));
    assert_eq!(
        log.begin(1001.0, &book),
        Err(Rejection::InProgress),
        "not sent yet: where it goes is not known"
    );
    log.on_sent(1001.0, 1, 3, 7);
    let first = FirstAttempt {
        at: 1001.0,
        zone: 3,
        cell: 7,
    };
    assert_eq!(
        log.begin(1001.5, &book),
        Ok(Some(first)),
        "while the first is under way"
    );
    log.on_sent(1001.6, 1, 3, 7);
    log.on_end(1002.0, 1, true, Outcome::MayHaveRun);
    log.on_end(1002.1, 1, true, Outcome::MayHaveRun);
    assert_eq!(
        log.begin(1002.9, &book),
        Ok(Some(first)),
        "the window counts from the first"
    );
    log.on_end(1002.9, 1, false, Outcome::NeverRan);
    assert_eq!(log.begin(1003.1, &book), Err(Rejection::MayHaveRun));
}

#[test]
fn what_is_older_than_the_log_is_not_risked() {
    let mut log = new_log();
    let again = AttemptRequest {
        is_retry: true,
        ..request(1, Idempotency::NonIdempotent)
    };
    assert_eq!(log.begin(1001.0, &again), Err(Rejection::Unknown));
    assert_eq!(
        log.begin(1100.0, &again),
        Err(Rejection::Unknown),
        "forgotten, perhaps"
    );
    let older = AttemptRequest {
        received_at: Some(999.0),
        ..request(2, TAGGED)
    };
    assert_eq!(log.begin(1001.0, &older), Err(Rejection::Unknown));
    let forgotten = AttemptRequest {
        received_at: Some(1001.0),
        ..request(8, Idempotency::NonIdempotent)
    };
    assert_eq!(
        log.begin(1062.0, &forgotten),
        Err(Rejection::Unknown),
        "forgotten, perhaps"
    );
    let newer = AttemptRequest {
        received_at: Some(1000.5),
        ..request(2, Idempotency::NonIdempotent)
    };
    assert_eq!(log.begin(1001.0, &newer), Ok(None));
    assert_eq!(
        log.begin(1001.0, &request(3, Idempotency::Idempotent)),
        Ok(None)
    );
    assert_eq!(log.len(), 1, "repeatable ones are not remembered");
}

/// One that was bounced and comes again with the word that it does is known; where room is short it gives way.
#[test]
fn what_never_ran_is_remembered_too() {
    let mut log = new_log();
    log.begin(1001.0, &request(1, Idempotency::NonIdempotent))
        .expect("new");
    log.on_end(1001.0, 1, false, Outcome::NeverRan);
    let again = AttemptRequest {
        is_retry: true,
        ..request(1, Idempotency::NonIdempotent)
    };
    assert_eq!(log.begin(1002.0, &again), Ok(None));
    log.on_end(1002.0, 1, false, Outcome::NeverRan);
    for id in 100..200 {
        assert_eq!(
            log.begin(1003.0, &request(id, Idempotency::NonIdempotent)),
            Ok(None)
        );
    }
    assert_eq!(log.begin(1003.0, &again), Err(Rejection::Unknown));
    assert_eq!(
        log.begin(1003.0, &request(300, Idempotency::NonIdempotent)),
        Err(Rejection::Full),
        "all in hand"
    );
}

#[test]
fn it_is_bounded_in_count_and_age_and_refuses_rather_than_forgets() {
    let mut log = new_log();
    for id in 0..100 {
        assert_eq!(
            log.begin(1001.0, &request(id, Idempotency::NonIdempotent)),
            Ok(None)
        );
        log.on_sent(1001.0, id, 0, 0);
        log.on_end(1002.0, id, true, Outcome::MayHaveRun);
    }
    assert_eq!(
        log.begin(1030.0, &request(200, Idempotency::NonIdempotent)),
        Err(Rejection::Full)
    );
    assert_eq!(
        log.begin(1061.0, &request(5, Idempotency::NonIdempotent)),
        Err(Rejection::MayHaveRun)
    );
    assert_eq!(
        log.begin(1063.0, &request(200, Idempotency::NonIdempotent)),
        Ok(None),
        "the old ones are forgotten"
    );
    assert_eq!(log.len(), 1);
    // One that is in hand is not forgotten, however old.
    log.on_sent(1063.0, 200, 0, 0);
    assert_eq!(
        log.begin(1300.0, &request(200, Idempotency::NonIdempotent)),
        Err(Rejection::InProgress)
    );
    for i in 0..10_000 {
        let _ = log.begin(1300.0, &request(200, Idempotency::NonIdempotent)); // refused each time
        log.touch(1300.0 + f64::from(i) * 1e-3, 200);
    }
    assert!(log.touches() < 200, "{}", log.touches());
}

#[test]
fn a_restart_knows_what_was_written() {
    let mut log = new_log();
    let mut records = Vec::new();
    for (id, ran) in [
        (1, None),
        (2, Some(Outcome::NeverRan)),
        (3, Some(Outcome::MayHaveRun)),
    ] {
        log.begin(1001.0, &request(id, Idempotency::NonIdempotent))
            .expect("new");
        records.extend(log.on_sent(1001.0, id, 0, 0));
        records.extend(ran.and_then(|ran| log.on_end(1001.5, id, true, ran)));
    }
    let mut log = AttemptLog::recover(1002.0, LIMITS, &records, 1000.0);
    assert_eq!(
        log.begin(1002.0, &request(1, Idempotency::NonIdempotent)),
        Err(Rejection::MayHaveRun)
    );
    let again = AttemptRequest {
        is_retry: true,
        ..request(2, Idempotency::NonIdempotent)
    };
    assert_eq!(
        log.begin(1002.0, &again),
        Ok(None),
        "it never ran, and that is known"
    );
    assert_eq!(
        log.begin(1002.0, &request(3, Idempotency::NonIdempotent)),
        Err(Rejection::MayHaveRun)
    );
    let began = |began| AttemptRequest {
        received_at: Some(began),
        ..request(9, Idempotency::NonIdempotent)
    };
    assert_eq!(
        log.begin(1002.0, &began(999.0)),
        Err(Rejection::Unknown),
        "older than the journal"
    );
    assert_eq!(
        log.begin(1002.0, &began(1000.5)),
        Ok(None),
        "older than the restart only"
    );
    assert_eq!(log.snapshot().len(), 2);
}

#[derive(Clone, Debug)]
enum Step {
    Ask(u64),
    /// The oldest in hand goes on: bounced, sent and turned away, sent and run, sent and nothing heard of.
    Next(u8),
    Pass(f64),
    /// With its records, or without.
    Crash(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0u64..4).prop_map(Step::Ask),
        6 => (0u8..4).prop_map(Step::Next),
        2 => (0.0..20.0f64).prop_map(Step::Pass),
        1 => any::<bool>().prop_map(Step::Crash),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20), ..ProptestConfig::default() })]

    /// Against a model that counts what really ran: whatever is asked, ended, forgotten or lost, a mutating one runs once
    /// at most. Callers say it when they ask again; they stop after less than is remembered.
    #[test]
    fn a_mutating_one_never_runs_twice(steps in proptest::collection::vec(step(), 1..80)) {
        let (mut now, mut log) = (1000.0, new_log());
        let (mut hand, mut records, mut from) = (Vec::<(u64, bool)>::new(), Vec::new(), now);
        let mut ran = HashMap::<u64, u32>::new();
        let mut asked = HashMap::<u64, f64>::new();
        for step in steps {
            match step {
                Step::Ask(id) => {
                    // A caller goes on for 50 s; after that the id is another hit's.
                    let first = *asked.entry(id).or_insert(now);
                    let id = id + 10 * ((first * 100.0) as u64);
                    if now - first > 50.0 {
                        asked.remove(&(id % 10));
                        continue;
                    }
                    let again = now > first;
                    let a = AttemptRequest { id, idempotency: Idempotency::NonIdempotent, is_retry: again, received_at: Some(first) };
                    if log.begin(now, &a).is_ok() {
                        hand.push((id, false));
                    }
                }
                Step::Next(fate) => {
                    let Some((id, _)) = (!hand.is_empty()).then(|| hand.remove(0)) else { continue };
                    if fate == 0 {
                        records.extend(log.on_end(now, id, false, Outcome::NeverRan));
                        continue;
                    }
                    records.extend(log.on_sent(now, id, 0, 0));
                    *ran.entry(id).or_default() += u32::from(fate >= 2);
                    let known = if fate == 1 { Outcome::NeverRan } else { Outcome::MayHaveRun };
                    records.extend(log.on_end(now, id, true, known));
                }
                Step::Pass(seconds) => now += seconds,
                Step::Crash(kept) => {
                    // What was in hand was sent, and nobody knows.
                    for (id, _) in hand.drain(..) {
                        records.extend(log.on_sent(now, id, 0, 0));
                        *ran.entry(id).or_default() += 1;
                    }
                    now += 0.01;
                    if !kept {
                        records.clear();
                        from = now;
                    }
                    log = AttemptLog::recover(now, LIMITS, &records, from);
                }
            }
            prop_assert!(ran.values().all(|n| *n <= 1), "{ran:?}");
            prop_assert!(log.len() <= LIMITS.max_entries);
        }
    }
}

/// Guards against names that change what is stored: a journal of the release before is read.
#[test]
fn records_are_stored_under_the_names_of_the_first_release() {
    let sent = |idempotency| Record::Sent {
        id: 7,
        idempotency,
        attempt: FirstAttempt {
            at: 1.5,
            zone: 2,
            cell: -1,
        },
    };
    let cases = [
        (Record::NeverRan { id: 7 }, r#"{"Never":{"id":7}}"#),
        (
            sent(Idempotency::NonIdempotent),
            r#"{"Sent":{"id":7,"kind":"Mutating","risk":{"at":1.5,"zone":2,"cell":-1}}}"#,
        ),
        (
            sent(Idempotency::Idempotent),
            r#"{"Sent":{"id":7,"kind":"Repeatable","risk":{"at":1.5,"zone":2,"cell":-1}}}"#,
        ),
        (
            sent(TAGGED),
            r#"{"Sent":{"id":7,"kind":{"Tagged":{"window":2.0}},"risk":{"at":1.5,"zone":2,"cell":-1}}}"#,
        ),
    ];
    for (record, text) in cases {
        assert_eq!(serde_json::to_string(&record).expect("JSON"), text);
        assert_eq!(
            serde_json::from_str::<Record>(text).expect("a record"),
            record
        );
    }
}
