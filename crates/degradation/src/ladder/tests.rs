use super::*;
use magpieline_operator_config::Setting;

pub fn groups() -> Vec<String> {
    ["pay", "hold", "read"].map(str::to_owned).to_vec()
}

fn put(values: &mut Values, at: &str, pairs: &[(&str, &str)]) {
    for (name, value) in pairs {
        let setting = match (value.parse::<f64>(), *value) {
            (Ok(n), _) => Setting::Number(n),
            (_, "true") => Setting::Flag(true),
            _ => Setting::Text((*value).to_owned()),
        };
        values.insert(format!("{at}.{name}"), setting);
    }
}

/// Two levels that make sense.
fn values() -> Values {
    let mut v = Values::new();
    put(&mut v, "levels", &[("spacing_s", "30"), ("spread_s", "5")]);
    let busy = [
        ("name", "busy"),
        (
            "enter",
            "late(pay) > 3% for 2s or in-flight > 0.9 of limit for 3s",
        ),
        (
            "leave",
            "late(pay) < 1% and in-flight < 0.6 of limit and shortage < 2%",
        ),
        ("least_stay_s", "30"),
    ];
    put(&mut v, "levels.level.0", &busy);
    put(
        &mut v,
        "levels.level.0.group.0",
        &[("name", "read"), ("share", "0.6"), ("least", "0.2")],
    );
    let jam = [
        ("name", "jam"),
        ("enter", "late(pay) > 20% or in-flight > 2 of limit"),
        ("leave", "late(pay) < 5% and in-flight < 0.9 of limit"),
        ("at_once", "true"),
        ("trial", "held"),
    ];
    put(&mut v, "levels.level.1", &jam);
    let read = [
        ("name", "read"),
        ("share", "0.3"),
        ("least", "0.05"),
        ("most_waiting", "20"),
        ("longest_wait_s", "0.3"),
        ("most_forwards", "1"),
    ];
    put(&mut v, "levels.level.1.group.0", &read);
    v
}

fn told(change: impl Fn(&mut Values)) -> String {
    let mut v = values();
    change(&mut v);
    Ladder::read(&v, &groups(), false)
        .expect_err("refused")
        .join("; ")
}

#[test]
fn levels_are_read_mildest_first() {
    let ladder = Ladder::read(&values(), &groups(), false)
        .expect("good")
        .expect("there");
    assert_eq!(
        (ladder.spacing, ladder.spread, ladder.levels.len()),
        (30.0, 5.0, 2)
    );
    assert_eq!(
        (ladder.place("jam"), ladder.place("odd"), ladder.name(0)),
        (Some(2), None, "full")
    );
    let jam = ladder.at(2).expect("one");
    assert!(jam.at_once && jam.holds_trial && jam.rules[0] == Rule::FULL);
    let rule = Rule {
        most: 0.3,
        least: 0.05,
        waiting: 20,
        longest_wait: 0.3,
        forwards: 1,
    };
    assert_eq!(jam.rules[2], rule);
    assert_eq!(Ladder::read(&Values::new(), &groups(), false), Ok(None));
}

#[test]
fn levels_that_make_no_sense_are_refused() {
    let set = |name: &'static str, value: &'static str| {
        move |v: &mut Values| put(v, "levels.level", &[(name, value)])
    };
    for (change, expected) in [
        (
            ("0.enter", "late(odd) > 1%"),
            "level 'busy': enter: late: found 'odd'",
        ),
        (
            ("0.leave", "late(pay) < 3% and in-flight < 0.6 of limit"),
            "expected edges of one signal 10% apart",
        ),
        (
            ("0.leave", "late(pay) < 1%"),
            "entered when in-flight is above 0.90 of limit but it is left when late(pay)",
        ),
        (
            ("0.leave", "cpu > 50% and cpu < 40%"),
            "leave: can never be while the level holds",
        ),
        (
            ("0.enter", "cpu > 50% and cpu < 40%"),
            "enter: can never be",
        ),
        (("1.name", "busy"), "found again"),
        (("1.name", "full"), "which is service without a level"),
        (("1.enter", "late(pay) > 0.5%"), "'busy' is left when"),
        (("1.group.0.share", "0.9"), "read: lets in more than 'busy'"),
        (
            ("1.group.0.least", "0.4"),
            "least: found 0.4, expected at most its share, 0.3",
        ),
        (
            ("1.group.0.longest_wait_s", "0"),
            "expected most-waiting and longest-wait-s together",
        ),
        (
            ("1.group.0.name", "odd"),
            "group: found 'odd', expected one of pay, hold, read",
        ),
    ] {
        let error = told(set(change.0, change.1));
        assert!(error.contains(expected), "{change:?}: {error}");
    }
    // A group of which nothing is let in can't show that it is well again.
    let error = told(|v| {
        put(
            v,
            "levels.level.1.group.0",
            &[("share", "0"), ("least", "0")],
        );
        put(
            v,
            "levels.level.1",
            &[(
                "leave",
                "late(read) < 1% and late(pay) < 5% and in-flight < 0.9 of limit",
            )],
        );
    });
    assert!(
        error.contains("'jam': leave: can never be while the level holds"),
        "{error}"
    );
}

#[test]
fn a_level_may_not_hold_the_trial_where_keys_are_bound_to_it() {
    let error = Ladder::read(&values(), &groups(), true)
        .expect_err("refused")
        .join("; ");
    assert!(
        error.contains("'jam': trial: found held, but keys are bound one way"),
        "{error}"
    );
}

#[test]
fn a_condition_of_too_many_alternatives_is_refused() {
    let part = "(cpu > 1% or memory > 1% or descriptors > 1%)";
    let many = [part; 4].join(" and ");
    let error = told(|v| {
        v.insert("levels.level.0.enter".into(), Setting::Text(many.clone()));
    });
    assert!(error.contains("at most 64 alternatives"), "{error}");
}
