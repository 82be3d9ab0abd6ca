//! Whether an order is the same one again, for leaders whose clocks differ and that restart.

use magpieline_control_plane::deduplication::{
    AcceptanceClock, Arrival, OrderContent, MAX_CLOCK_SKEW, MAX_DELIVERY_DELAY,
};
use magpieline_control_plane::digest::Digest;
use magpieline_control_plane::state_machine::{Command, ControlState, Effect, Phase};
use magpieline_control_plane::Micros;
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const RECEIPT: Micros = 5 * SECOND;
/// Some time of day.
const DAY: Micros = 1_790_000_000 * SECOND;

/// A leader that received an order at 100 s on its monotonic clock, and saw it rolled back.
fn rolled_back() -> (ControlState, AcceptanceClock) {
    let (mut state, mut clock) = (
        ControlState::default(),
        AcceptanceClock::new(90 * SECOND, DAY - 10 * SECOND),
    );
    let command = propose(&state, &clock, 100 * SECOND, DAY).expect("a new order");
    assert_eq!(state.apply(1, &command), Effect::ServiceChanged);
    clock.on_state_change(100 * SECOND, &state);
    state.apply(
        2,
        &Command::AdvanceRollout {
            service: "s".into(),
            id: 1,
            phase: Phase::RolledBack,
        },
    );
    (state, clock)
}

fn propose(
    state: &ControlState,
    clock: &AcceptanceClock,
    now: Micros,
    day: Micros,
) -> Option<Command> {
    let arrival = Arrival {
        at: now,
        time_of_day: day,
    };
    let order = OrderContent {
        service: "s",
        target_version: "v2",
        within: 12 * SECOND,
    };
    clock.propose(state, arrival, order, RECEIPT)
}

/// Within `receipt` and the delivery delay of the last copy an order is a copy, after that a new one, whatever the time of day
/// does meanwhile.
#[rstest]
fn a_leader_that_saw_the_order_goes_by_its_monotonic_clock(
    #[values(-3600, -1, 0, 1, 3600)] step: i64,
) {
    let (state, clock) = rolled_back();
    let later = |span: Micros| {
        let day = DAY
            .saturating_add(span)
            .saturating_add_signed(step * SECOND as i64);
        propose(&state, &clock, 100 * SECOND + span, day)
    };
    for span in [0, SECOND, RECEIPT, RECEIPT + MAX_DELIVERY_DELAY] {
        assert_eq!(later(span), None, "a copy {span} us later");
    }
    let Some(Command::BeginRollout { finished_id: 1, .. }) =
        later(RECEIPT + MAX_DELIVERY_DELAY + 1)
    else {
        panic!("a new order, after the one at index 1");
    };
}

/// A leader that started after the order goes by the time of day: it neither begins the order again nor refuses a new one for
/// long. `off` is by how much its time of day is ahead of the proposer's.
#[rstest]
fn a_restarted_leader_goes_by_the_time_of_day(#[values(-1, 0, 1)] off: i64) {
    let (state, _) = rolled_back();
    // Three seconds after the order, on a machine whose monotonic clock begins at 1000 s.
    let day = (DAY + 3 * SECOND).saturating_add_signed(off * MAX_CLOCK_SKEW as i64);
    let mut clock = AcceptanceClock::new(1000 * SECOND, day);
    clock.on_state_change(1000 * SECOND, &state);
    let at = |span: Micros| propose(&state, &clock, 1000 * SECOND + span - 3 * SECOND, day);
    assert_eq!(at(RECEIPT), None, "a copy");
    assert_eq!(at(RECEIPT + MAX_DELIVERY_DELAY), None, "a late copy");
    let late = RECEIPT + MAX_DELIVERY_DELAY + 2 * MAX_CLOCK_SKEW + 1;
    assert!(at(late).is_some(), "a new order");
    // One that was accepted long ago is new at once.
    let mut clock = AcceptanceClock::new(1000 * SECOND, day + 60 * SECOND);
    clock.on_state_change(1000 * SECOND, &state);
    assert!(propose(&state, &clock, 1000 * SECOND, day + 60 * SECOND).is_some());
}

/// An order that was sent again began a second rollout where a leader had started after it and a time of day had been set two seconds
/// ahead or back, on the machine that took it or on the new leader's.
#[rstest]
fn a_copy_is_none_to_a_leader_that_started_later_where_clocks_were_set(
    #[values(-2, 0, 2)] step_of_proposer: i64,
    #[values(-2, 0, 2)] step_of_leader: i64,
) {
    let stepped = |day: Micros, step: i64| day.saturating_add_signed(step * SECOND as i64);
    let (mut state, _) = rolled_back();
    state.orders.get_mut("s").expect("accepted")[0].accepted_at = stepped(DAY, step_of_proposer);
    let started_at = 1000 * SECOND;
    let day = stepped(DAY + 3 * SECOND, step_of_leader);
    let mut clock = AcceptanceClock::new(started_at, day);
    clock.on_state_change(started_at, &state);
    let last_copy = started_at + RECEIPT + MAX_DELIVERY_DELAY - 3 * SECOND;
    assert_eq!(propose(&state, &clock, last_copy, day), None);
}

/// An order without a time of day counts as accepted when it was seen.
#[test]
fn an_order_without_a_time_of_day_counts_from_when_it_was_seen() {
    let (mut state, _) = rolled_back();
    state.orders.get_mut("s").expect("accepted")[0].accepted_at = 0;
    let mut clock = AcceptanceClock::new(1000 * SECOND, DAY + 3600 * SECOND);
    clock.on_state_change(1000 * SECOND, &state);
    assert_eq!(propose(&state, &clock, 1000 * SECOND + RECEIPT, DAY), None);
    assert!(propose(
        &state,
        &clock,
        1000 * SECOND + RECEIPT + MAX_DELIVERY_DELAY + 1,
        DAY
    )
    .is_some());
}

/// Operators can compare digests with their own.
#[test]
fn a_digest_is_what_sha256sum_shows() {
    let shown = Digest::of("abc").to_string();
    assert_eq!(
        shown,
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}
