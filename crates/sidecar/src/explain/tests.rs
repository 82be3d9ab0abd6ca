use super::*;
use magpieline_sequential_test::Look;

fn entry(vote: Vote, what: &str, log: f64, needed: f64) -> Entry {
    let (earlier, trial) = ((90.0, 1.0), (40.0, 9.0));
    Entry {
        vote,
        what: what.into(),
        group: Some(2),
        log,
        needed,
        earlier,
        trial,
        without: Some(7),
    }
}

fn looked(build: u32, stage: usize, opinion: Opinion) -> String {
    let look = Look {
        opinion,
        back: 1.2,
        on: 0.1,
        remaining: None,
    };
    let entries = vec![
        entry(Vote::Back, "errors", 7.2, 6.0),
        entry(Vote::On, "work", 0.4, 3.0),
    ];
    let (phase, vote) = ("Trial".into(), None);
    let looked = Looked {
        at: 9.0,
        build,
        stage,
        phase,
        vote,
        look,
        entries,
        groups: ["read", "hold", "pay"].map(String::from).to_vec(),
        nodes: [(7, "n-7".to_owned())].into(),
    };
    serde_json::to_string(&looked).expect("a line") + "\n"
}

#[test]
fn a_record_says_what_decided_each_release() {
    let text = [
        looked(4, 0, Opinion::NotYet),
        looked(4, 1, Opinion::Back),
        looked(4, 1, Opinion::NotYet),
        looked(5, 0, Opinion::NotYet),
        looked(4, 0, Opinion::On),
    ]
    .concat();
    let told = record(&text, None, false).expect("words");
    for words in [
        "build 4 stage 1 (Trial) at 9.0: the evidence to go back is there",
        "errors of pay                      7.2     6.0        1 of 90        9 of 40      n-7",
        "it rests on errors of pay (7.2 of 6.0); 0 more would have done",
        "build 5 stage 0 (Trial) at 9.0: not enough evidence either way",
        "at the present rate never",
        "what keeps it from going on: work of pay (0.4 of 3.0)",
        "build 4 stage 0 (Trial) at 9.0: the evidence to go on is there",
    ] {
        assert!(told.contains(words), "{words} in:\n{told}");
    }
    let one = record(&text, Some(5), true).expect("JSON");
    assert_eq!(
        (one.lines().count(), one.contains("\"build\":5")),
        (1, true)
    );
}

#[test]
fn a_line_cut_at_the_end_is_passed_over_and_one_within_is_told() {
    let whole = looked(4, 0, Opinion::NotYet);
    let cut = format!("{whole}{}", &whole[..40]);
    assert!(record(&cut, None, false).is_ok());
    let wrong = record(&format!("{whole}no\n{whole}"), None, false).expect_err("a complaint");
    assert!(wrong.starts_with("line 2: expected a look"), "{wrong}");
    assert!(record("", None, false).is_err());
}
