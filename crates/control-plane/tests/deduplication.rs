//! Whether an order is the same one again, as leaders see it whose clocks differ and who start anew.

use magpieline_control_plane::deduplication::{Digest, Witness, CLOCKS, TRAVEL};
use magpieline_control_plane::state_machine::{Command, Effect, Phase, Records};
use magpieline_control_plane::Micros;
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const RECEIPT: Micros = 5 * SECOND;
/// Some time of day.
const DAY: Micros = 1_790_000_000 * SECOND;

/// A leader that got an order at 100 s on its steady clock, has it under way no longer, and saw it all.
fn returned() -> (Records, Witness) {
    let (mut records, mut witness) = (
        Records::default(),
        Witness::new(90 * SECOND, DAY - 10 * SECOND),
    );
    let command = look(&records, &witness, 100 * SECOND, DAY).expect("a new order");
    assert_eq!(records.apply(1, &command), Effect::Service);
    witness.applied(100 * SECOND, &records);
    records.apply(
        2,
        &Command::Advance {
            service: "s".into(),
            order: 1,
            phase: Phase::Returned,
        },
    );
    (records, witness)
}

fn look(records: &Records, witness: &Witness, now: Micros, day: Micros) -> Option<Command> {
    witness.look(records, (now, day), ("s", "v2", 12 * SECOND), RECEIPT)
}

/// Guards against a copy held for a new order within `receipt` and the way of the last copy, and a new one held for a copy
/// after that, whatever the time of day does meanwhile.
#[rstest]
fn by_the_steady_clock_of_who_saw_it(#[values(-3600, -1, 0, 1, 3600)] step: i64) {
    let (records, witness) = returned();
    let later = |span: Micros| {
        let day = DAY
            .saturating_add(span)
            .saturating_add_signed(step * SECOND as i64);
        look(&records, &witness, 100 * SECOND + span, day)
    };
    for span in [0, SECOND, RECEIPT, RECEIPT + TRAVEL] {
        assert_eq!(later(span), None, "a copy {span} us later");
    }
    let Some(Command::Order { after: 1, .. }) = later(RECEIPT + TRAVEL + 1) else {
        panic!("a new order, after the one at place 1");
    };
}

/// Guards against a leader that started after the order and, by a steady clock that began anew, either begins it again or
/// refuses a new one for long. `off` is how much its time of day is ahead of the proposer's.
#[rstest]
fn by_the_time_of_day_after_a_restart(#[values(-1, 0, 1)] off: i64) {
    let (records, _) = returned();
    // Three seconds after the order, on a machine whose steady clock begins at 1000 s.
    let day = (DAY + 3 * SECOND).saturating_add_signed(off * CLOCKS as i64);
    let mut witness = Witness::new(1000 * SECOND, day);
    witness.applied(1000 * SECOND, &records);
    let at = |span: Micros| look(&records, &witness, 1000 * SECOND + span - 3 * SECOND, day);
    assert_eq!(at(RECEIPT), None, "a copy");
    assert_eq!(at(RECEIPT + TRAVEL), None, "a late copy");
    let late = RECEIPT + TRAVEL + 2 * CLOCKS + 1;
    assert!(at(late).is_some(), "a new order");
    // One that was taken long ago is new at once.
    let mut witness = Witness::new(1000 * SECOND, day + 60 * SECOND);
    witness.applied(1000 * SECOND, &records);
    assert!(look(&records, &witness, 1000 * SECOND, day + 60 * SECOND).is_some());
}

/// Guards against a time of day that has jumped back or an order without one: it counts as taken when it was seen.
#[test]
fn without_a_time_of_day_from_when_it_was_seen() {
    let (mut records, _) = returned();
    records.orders.get_mut("s").expect("taken")[0].at = 0;
    let mut witness = Witness::new(1000 * SECOND, DAY + 3600 * SECOND);
    witness.applied(1000 * SECOND, &records);
    assert_eq!(look(&records, &witness, 1000 * SECOND + RECEIPT, DAY), None);
    assert!(look(
        &records,
        &witness,
        1000 * SECOND + RECEIPT + TRAVEL + 1,
        DAY
    )
    .is_some());
}

/// Guards against digests that operators can't compare with their own.
#[test]
fn a_digest_is_what_sha256sum_shows() {
    let shown = Digest::of("abc").to_string();
    assert_eq!(
        shown,
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}
