use super::*;

fn busy(signals: &mut Signals, from: f64, hits: usize, a_second: f64, late: usize) -> f64 {
    for i in 0..hits {
        signals.began();
        let fate = if late > 0 && i % late == 0 {
            Fate::Late
        } else {
            Fate::InTime
        };
        signals.ended(from + i as f64 / a_second, 0, fate, 0.3, Some(0.01));
    }
    from + hits as f64 / a_second
}

#[test]
fn shares_are_of_what_ended_lately() {
    let mut signals = Signals::new(2);
    let now = busy(&mut signals, 100.0, 500, 100.0, 4);
    let late = signals.value(now, Signal::Late(Some(0))).expect("known");
    assert!((late - 0.25).abs() < 0.03, "{late}");
    let now = busy(&mut signals, now, 1500, 100.0, 0);
    assert!(signals.value(now, Signal::Late(Some(0))).expect("known") < 0.01);
    assert_eq!(
        signals.value(now, Signal::Late(Some(1))),
        None,
        "no hit of it"
    );
    assert_eq!(signals.value(now, Signal::Late(Some(9))), None);
    assert_eq!(
        signals.value(now, Signal::Late(None)),
        signals.value(now, Signal::Late(Some(0)))
    );
}

#[test]
fn what_stands_still_is_unknown_not_good() {
    let mut signals = Signals::new(1);
    let now = busy(&mut signals, 100.0, 500, 100.0, 0);
    signals.read(now, Reading::Cpu, 0.4);
    signals.read(now, Reading::Memory, f64::NAN);
    assert_eq!(signals.value(now, Signal::Late(Some(0))), Some(0.0));
    assert_eq!(signals.value(now, Signal::Cpu), Some(0.4));
    assert_eq!(signals.value(now, Signal::Memory), None);
    for signal in [
        Signal::Late(Some(0)),
        Signal::Cpu,
        Signal::Queueing,
        Signal::Descriptors,
    ] {
        assert_eq!(signals.value(now + OLD + 0.1, signal), None, "{signal:?}");
    }
    signals.forget();
    assert_eq!(signals.value(now, Signal::Late(Some(0))), None);
}

/// An agent with two hits a second knows its shares by a longer span, one with hardly any does not.
#[test]
fn few_hits_take_longer_and_hardly_any_say_nothing() {
    let mut signals = Signals::new(1);
    let now = busy(&mut signals, 100.0, 60, 2.0, 3);
    let late = signals.value(now, Signal::Late(Some(0))).expect("known");
    assert!((late - 0.33).abs() < 0.1, "{late}");
    let mut signals = Signals::new(1);
    let now = busy(&mut signals, 100.0, 60, 0.1, 3);
    assert_eq!(signals.value(now, Signal::Late(Some(0))), None);
}

#[test]
fn in_flight_is_a_part_of_the_limit() {
    let mut signals = Signals::new(1);
    (0..10).for_each(|_| signals.began());
    assert_eq!(
        signals.value(0.0, Signal::InFlight),
        Some(10.0 / signals.limit.value())
    );
    signals.ended(0.0, 0, Fate::Bounced, 0.0, None);
    assert_eq!(signals.in_flight(), 9.0);
}
