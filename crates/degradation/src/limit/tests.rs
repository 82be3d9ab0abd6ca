use super::*;

/// Nodes that take `rest` seconds a hit up to a capacity, and longer in proportion beyond it; an agent that offers so
/// many in flight, within its limit. Gives the time at the end.
fn settle(
    limit: &mut Limit,
    from: f64,
    seconds: f64,
    capacity: f64,
    rest: f64,
    offered: f64,
) -> f64 {
    let mut now = from;
    while now < from + seconds {
        let in_flight = limit.value().min(offered);
        let time = rest * (in_flight / capacity).max(1.0);
        limit.sample(now, time, in_flight);
        now += time / in_flight;
    }
    now
}

/// By a minute of load within what nodes can take, and one beyond it.
#[test]
fn it_stays_near_what_nodes_can_take() {
    for capacity in [20.0, 100.0, 400.0] {
        let mut limit = Limit::default();
        let now = settle(&mut limit, 0.0, 60.0, capacity, 0.1, 0.9 * capacity);
        settle(&mut limit, now, 60.0, capacity, 0.1, 10.0 * capacity);
        assert!(
            (capacity..3.0 * capacity).contains(&limit.value()),
            "{capacity}: {}",
            limit.value()
        );
    }
}

/// A slowdown that all nodes share shrinks it, and once that is usual it comes back.
#[test]
fn a_slowdown_that_lasts_becomes_usual() {
    let mut limit = Limit::default();
    let now = settle(&mut limit, 0.0, 60.0, 100.0, 0.1, 100.0);
    let before = limit.value();
    let now = settle(&mut limit, now, 20.0, 100.0, 0.6, 100.0);
    assert!(
        limit.value() < 0.5 * before,
        "{} of {before}",
        limit.value()
    );
    settle(&mut limit, now, 150.0, 100.0, 0.6, 100.0);
    assert!(
        limit.value() > 0.9 * before,
        "{} of {before}",
        limit.value()
    );
}

#[test]
fn a_quiet_agent_claims_no_more_and_odd_times_change_nothing() {
    let mut limit = Limit::default();
    for time in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
        limit.sample(0.0, time, 1.0);
    }
    (0..1000).for_each(|i| limit.sample(f64::from(i), 0.1, 1.0));
    limit.sample(-1e9, 0.1, 1.0);
    limit.sample(f64::INFINITY, 0.1, 1.0);
    assert_eq!(limit.value(), Limit::default().value());
}
