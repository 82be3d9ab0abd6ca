//! Requests that are not idempotent, and clients that repeat them.

use magpieline_http1::deduplication::{SeenRequests, CAPACITY, RETENTION};

/// Guards against a request that runs twice as its client repeats it, and against one that never ran and is refused.
#[test]
fn a_request_is_admitted_once() {
    let mut seen = SeenRequests::default();
    assert!(seen.admit(0, b"a", "/x"));
    assert!(!seen.admit(RETENTION, b"a", "/x"));
    assert!(seen.admit(RETENTION, b"b", "/x") && seen.admit(RETENTION, b"a", "/y"));
    seen.forget(b"b", "/x");
    assert!(seen.admit(RETENTION, b"b", "/x"));
    assert!(!seen.admit(RETENTION, b"b", "/x"));
    assert!(
        seen.admit(RETENTION + 1, b"a", "/x"),
        "it is forgotten by then"
    );
}

/// Guards against memory without end, and against forgetting the newest.
#[test]
fn the_newest_are_remembered() {
    let mut seen = SeenRequests::default();
    let id = |i: usize| i.to_be_bytes();
    for i in 0..CAPACITY + 10 {
        assert!(seen.admit(0, &id(i), "/x"));
    }
    assert!((11..CAPACITY + 10).all(|i| !seen.admit(0, &id(i), "/x")));
    assert!(seen.admit(0, &id(0), "/x"), "the oldest made room");
}
