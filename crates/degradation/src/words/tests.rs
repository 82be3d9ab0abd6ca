use super::*;

fn groups() -> Vec<String> {
    vec!["pay".into(), "firing-read".into()]
}

fn told(text: &str) -> String {
    read(text, &groups()).expect_err(text)
}

#[test]
fn conditions_are_read_as_written() {
    let test = |signal, above, edge, lasts| {
        Condition::Test(Test {
            signal,
            above,
            edge,
            lasts,
        })
    };
    assert_eq!(
        read("late(pay) > 5% for 2s or waiting > 0.9 of room", &groups()),
        Ok(Condition::Any(vec![
            test(Signal::Late(Some(0)), true, 0.05, 2.0),
            test(Signal::Waiting, true, 0.9, 0.0)
        ]))
    );
    assert_eq!(
            read(
                " ( queueing below 200ms and cpu below 90% ) or in-flight above 1.5 of limit for 500ms ",
                &groups()
            ),
            Ok(Condition::Any(vec![
                Condition::All(vec![
                    test(Signal::Queueing, false, 0.2, 0.0),
                    test(Signal::Cpu, false, 0.9, 0.0)
                ]),
                test(Signal::InFlight, true, 1.5, 0.5)
            ]))
        );
    assert_eq!(
        read("bounced( firing-read )<1%", &groups()),
        Ok(test(Signal::Bounced(Some(1)), false, 0.01, 0.0))
    );
    assert_eq!(
        read("late > 5%", &groups()),
        Ok(test(Signal::Late(None), true, 0.05, 0.0))
    );
    // `and` binds more closely than `or`.
    let all = read("cpu > 50% or memory > 50% and descriptors > 50%", &groups()).expect("good");
    assert!(matches!(&all, Condition::Any(parts) if matches!(parts[1], Condition::All(_))));
}

#[test]
fn what_makes_no_sense_is_told_with_its_place() {
    for (text, expected) in [
        ("", "found the end, expected a signal"),
        ("late(pay)", "expected above or below"),
        ("late(pay) > ", "found the end, expected a number"),
        ("late(pay) > 5% for", "found the end, expected"),
        (
            "late(pay) > 5% and",
            "found 'and', expected a signal behind it",
        ),
        ("(late(pay) > 5%", "expected a closing parenthesis"),
        ("late(pay) > 5% cpu > 1%", "found 'cpu > 1%'"),
        ("late() > 5%", "expected"),
        (
            "late(odd) > 5%",
            "late: found 'odd', expected one of pay, firing-read",
        ),
        ("cpu(pay) > 5%", "cpu: found a path group, expected none"),
        ("load > 5%", "found 'load', expected late"),
        (
            "late(pay) > 50ms",
            "late: found '50 ms', expected a share such as 5%",
        ),
        ("late(pay) > 0.05", "expected a share such as 5%"),
        ("in-flight > 90%", "expected a part such as 0.9 of limit"),
        (
            "waiting > 0.9 of limit",
            "expected a part such as 0.9 of room",
        ),
        ("queueing > 5%", "expected a time such as 200ms"),
        ("late(pay) > 100%", "late: can never be above 100.0%"),
        ("late(pay) < 0%", "late: can never be below 0.0%"),
        ("cpu > 5% for 2h", "expected a time such as 2s"),
        ("cpu > 5% for 7200s", "expected 3600 s at most"),
    ] {
        let error = told(text);
        assert!(error.contains(expected), "{text}: {error}");
    }
    assert!(told(&"(".repeat(400)).contains("more than 8 parentheses"));
    assert!(told(&"x".repeat(600)).contains("600 characters"));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None, ..Default::default() })]

    #[test]
    fn no_text_panics(text in "[a-z()<>%0-9. -]{0,80}") {
        let _ = read(&text, &groups()); // either way
    }
}
