//! Help texts, and what an answer of a controller means to a caller.

use super::operator_client::{parse_location, StatusMeaning};
use super::*;
use rstest::rstest;

/// Guards against a command that nobody can learn of: each has a line in the list, a shape and an example that parses.
#[test]
fn each_command_has_a_help_whose_examples_parse() {
    let list = Arguments::command_list().expect("commands");
    assert_eq!(list.lines().count(), USAGES.len());
    for Usage {
        command: name,
        examples,
        ..
    } in USAGES
    {
        assert!(
            list.lines().any(|l| l.trim().starts_with(name)),
            "{name} is not listed"
        );
        assert!(
            help(Some(name)).contains("Examples:\n  magpieline-gateway "),
            "{name}"
        );
        for example in examples {
            let plain = example
                .split([' '])
                .skip(1)
                .take_while(|w| !["<", ">"].contains(w));
            let words: Vec<&str> = plain.collect();
            let parsed = Arguments::parse_args(&words, ParsingStyle::AllOptions);
            assert_eq!(
                parsed.map(|p| p.command_name()).map_err(|e| e.to_string()),
                Ok(Some(name))
            );
        }
    }
}

/// Guards against a call that is given up on a word that is not final, or repeated after one that is.
#[rstest]
#[case(200, StatusMeaning::Success)]
#[case(307, StatusMeaning::Redirect)]
#[case(400, StatusMeaning::Rejected)]
#[case(422, StatusMeaning::Rejected)]
#[case(404, StatusMeaning::Doubtful)]
#[case(408, StatusMeaning::TryNext)]
#[case(429, StatusMeaning::TryNext)]
#[case(503, StatusMeaning::TryNext)]
#[case(302, StatusMeaning::TryNext)]
fn statuses(#[case] status: u16, #[case] expected: StatusMeaning) {
    assert_eq!(StatusMeaning::of(status), expected);
}

/// Guards against a redirect to nowhere.
#[test]
fn locations() {
    let to = (
        "10.0.0.4:8080".parse().expect("an address"),
        "/v1/rpc?call=config.read".to_owned(),
    );
    assert_eq!(
        parse_location("http://10.0.0.4:8080/v1/rpc?call=config.read"),
        Some(to)
    );
    assert_eq!(parse_location("http://gateway.example/v1"), None);
    assert_eq!(parse_location("/v1/rpc"), None);
}
