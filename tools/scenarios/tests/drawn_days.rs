//! Drawn days.

use magpieline_scenarios::drawn_days::draw_day;
use std::collections::BTreeSet;
use toml::Table;

fn entries(day: &Table) -> impl Iterator<Item = &Table> {
    ["plan", "faults"]
        .into_iter()
        .flat_map(|list| day[list].as_array().expect("a list"))
        .map(|entry| entry.as_table().expect("a table"))
}

/// Guards against kinds that are never drawn, entries outside a day, and days that don't repeat.
#[test]
fn all_kinds_come_and_a_seed_repeats_its_day() {
    let mut kinds = BTreeSet::new();
    for seed in 0..400 {
        let text = draw_day(seed);
        assert_eq!(text, draw_day(seed));
        let day: Table = text.parse().expect("TOML");
        for entry in entries(&day) {
            kinds.insert(entry["kind"].as_str().expect("a text").to_owned());
            let at = entry["at"].as_float().expect("a number");
            assert!((0.5..37.0).contains(&at), "{at}");
        }
    }
    assert!(kinds.len() >= 33, "{}: {kinds:?}", kinds.len());
    assert!(kinds.contains("give_up"));
}
