//! Requests that may run once only, and clients that come back with them.

use magpieline_http1::orders::{Orders, KEPT, MOST};

/// Guards against an order placed twice by a client that comes back, and against one that never ran and may not come.
#[test]
fn an_order_is_let_through_once() {
    let mut orders = Orders::default();
    assert!(orders.admit(0, b"a", "/x"));
    assert!(!orders.admit(KEPT, b"a", "/x"));
    assert!(orders.admit(KEPT, b"b", "/x") && orders.admit(KEPT, b"a", "/y"));
    orders.forget(b"b", "/x");
    assert!(orders.admit(KEPT, b"b", "/x"));
    assert!(!orders.admit(KEPT, b"b", "/x"));
    assert!(
        orders.admit(KEPT + 1, b"a", "/x"),
        "it is forgotten by then"
    );
}

/// Guards against memory without end, and against forgetting the newest.
#[test]
fn the_newest_are_remembered() {
    let mut orders = Orders::default();
    let order = |i: usize| i.to_be_bytes();
    for i in 0..MOST + 10 {
        assert!(orders.admit(0, &order(i), "/x"));
    }
    assert!((11..MOST + 10).all(|i| !orders.admit(0, &order(i), "/x")));
    assert!(orders.admit(0, &order(0), "/x"), "the oldest made room");
}
