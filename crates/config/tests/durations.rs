//! Durations as operators write them.

use magpieline_config::durations;
use rstest::rstest;

/// No duration is read in a wrong unit, and no text is read that only looks like one.
#[rstest]
#[case("1500ms", Some(1_500_000))]
#[case("2.5s", Some(2_500_000))]
#[case("0ms", Some(0))]
#[case("0.4ms", Some(400))]
#[case("10", None)]
#[case("-1s", None)]
#[case("1e3s", None)]
#[case("infs", None)]
#[case("ms", None)]
#[case("3 s", None)]
#[case("3m", None)]
fn durations_are_parsed_and_formatted(#[case] text: &str, #[case] micros: Option<u64>) {
    assert_eq!(durations::parse(text), micros);
    assert!(micros.is_none_or(|m| durations::parse(&durations::format(m)) == Some(m)));
}
