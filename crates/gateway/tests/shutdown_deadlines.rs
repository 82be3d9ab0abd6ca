//! The deadlines that SIGTERM fixes.

use magpieline_gateway::proxy::shutdown::ShutdownDeadlines;
use rstest::rstest;

const SECOND: u64 = 1_000_000;

/// Guards against a shutdown that is cut off by SIGKILL, also where the grace period is short: accepting ends first, then requests
/// are no longer admitted as always, and the process ends by itself.
#[rstest]
#[case(1)]
#[case(6)]
#[case(60)]
fn they_come_in_their_order_within_the_grace_period(#[case] grace_s: u64) {
    let (at, grace) = (100 * SECOND, grace_s * SECOND);
    let deadlines = ShutdownDeadlines::new(at, grace);
    // Connections that never pause move it no further.
    let accept_end = deadlines.accept_until(at + grace);
    assert!(at < accept_end);
    assert!(accept_end < deadlines.admit_until);
    assert!(deadlines.admit_until < deadlines.end_at);
    assert!(deadlines.end_at < at + grace);
    // What is at work in the last sixth of the grace period may be cut off, nothing before.
    assert!(deadlines.end_at >= at + grace * 5 / 6);
}

/// Guards against a process that waits for nobody: where no connection comes, accepting ends after half a second.
#[test]
fn accepting_ends_early_where_nobody_comes() {
    let deadlines = ShutdownDeadlines::new(100 * SECOND, 6 * SECOND);
    assert_eq!(
        deadlines.accept_until(20 * SECOND),
        100 * SECOND + SECOND / 2
    );
    assert_eq!(
        deadlines.accept_until(101 * SECOND),
        101 * SECOND + SECOND / 2
    );
}

/// Guards against a request that is taken late and cut off, and against one refused that was sure to end.
#[rstest]
#[case::early(SECOND, 10 * SECOND, true)]
#[case::late_and_long(4 * SECOND, 10 * SECOND, false)]
#[case::late_and_short(4 * SECOND, 5 * SECOND, true)]
fn a_late_request_is_served_if_it_is_sure_to_end(
    #[case] received_at: u64,
    #[case] deadline: u64,
    #[case] is_admitted: bool,
) {
    let deadlines = ShutdownDeadlines::new(0, 6 * SECOND);
    assert_eq!(deadlines.admits(received_at, deadline), is_admitted);
}
