//! Shapes given to a small deployment, and what can't be given.

use magpieline_scenarios::{train, Misfit};
use rstest::rstest;
use std::path::Path;
use toml::{Table, Value};

const DEPLOYMENT: &str = r#"
name = "magpieline-gateway"
wire = "words.json"
zones = [{ name = "north", region = "one" }, { name = "south", region = "one" }, { name = "west", region = "one" }]
machines = [
  { class = "gate", zone = "north", count = 3, spare = 0, disk = { mb = 4, sync_ms = 2 } },
  { class = "barn", zone = "south", count = 1, spare = 1, disk = { mb = 4, sync_ms = 2 } },
  { class = "barn", zone = "west", count = 1, spare = 1, disk = { mb = 4, sync_ms = 2 } },
]
troubles = [{ kind = "hail" }]
[times]
wake_s = 4.0
sleep_s = 8.0
"#;

fn given(shape: &str) -> Table {
    train(DEPLOYMENT, shape, Path::new("/fields"), &[])
        .expect("fits")
        .parse()
        .expect("TOML")
}

/// Values at a path of every entry of a list.
fn each(deployment: &Table, list: &str, path: &[&str]) -> Vec<Value> {
    let entries = deployment[list].as_array().expect("a list");
    entries
        .iter()
        .map(|entry| path.iter().fold(entry, |value, key| &value[*key]).clone())
        .collect()
}

fn whole(numbers: &[i64]) -> Vec<Value> {
    numbers.iter().copied().map(Value::Integer).collect()
}

#[test]
fn an_empty_shape_changes_only_where_other_files_are() {
    let mut expected: Table = DEPLOYMENT.parse().expect("TOML");
    expected.insert(
        "wire".to_owned(),
        Value::String("/fields/words.json".to_owned()),
    );
    assert_eq!(given(""), expected);
}

#[test]
fn what_is_set_is_merged_and_the_rest_stays() {
    let deployment = given("name = 'wide'\n[set.times]\nwake_s = 6.0\n[set.loss]\nbarns = 2");
    assert_eq!(deployment["name"].as_str(), Some("magpieline-gateway-wide"));
    assert_eq!(deployment["times"]["wake_s"].as_float(), Some(6.0));
    assert_eq!(deployment["times"]["sleep_s"].as_float(), Some(8.0));
    assert_eq!(deployment["loss"]["barns"].as_integer(), Some(2));
}

#[test]
fn regions_go_by_the_order_of_zones_and_the_last_goes_on() {
    let deployment = given("regions = ['near', 'far']");
    let regions: Vec<Value> = ["near", "far", "far"]
        .iter()
        .map(|name| Value::String((*name).to_owned()))
        .collect();
    assert_eq!(each(&deployment, "zones", &["region"]), regions);
}

#[test]
fn machines_of_one_class_change_by_their_zone() {
    let deployment =
        given("machines = [{ class = 'barn', count = [7, 2, 3], spare = [5], set = { disk = { mb = 9 } } }]");
    assert_eq!(each(&deployment, "machines", &["count"]), whole(&[3, 2, 3]));
    assert_eq!(each(&deployment, "machines", &["spare"]), whole(&[0, 5, 5]));
    assert_eq!(
        each(&deployment, "machines", &["disk", "mb"]),
        whole(&[4, 9, 9])
    );
    assert_eq!(
        each(&deployment, "machines", &["disk", "sync_ms"]),
        whole(&[2, 2, 2])
    );
}

#[test]
fn troubles_are_added() {
    let kinds = each(
        &given("troubles = [{ kind = 'frost' }]"),
        "troubles",
        &["kind"],
    );
    assert_eq!(
        kinds,
        vec![
            Value::String("hail".to_owned()),
            Value::String("frost".to_owned())
        ]
    );
}

#[test]
fn days_take_the_place_of_the_deployment_s() {
    let days = [
        "[[day]]\nname = 'frost'".to_owned(),
        "name = 'drought'".to_owned(),
    ];
    let text = train(
        &format!("{DEPLOYMENT}\n[[day]]\nname = 'calm'"),
        "",
        Path::new("/fields"),
        &days,
    )
    .expect("fits");
    let names = each(&text.parse().expect("TOML"), "day", &["name"]);
    assert_eq!(
        names,
        vec![
            Value::String("frost".to_owned()),
            Value::String("drought".to_owned())
        ]
    );
}

#[rstest]
#[case::a_class_that_is_not_there("machines = [{ class = 'mill' }]", Misfit::NoSuchClass { class: "mill".to_owned() })]
#[case::a_field_of_no_meaning("sets = 1", Misfit::Unknown { place: "sets".to_owned() })]
#[case::a_field_of_machines("machines = [{ class = 'barn', counts = [1] }]", Misfit::Unknown { place: "machines.counts".to_owned() })]
#[case::no_numbers("machines = [{ class = 'barn', count = [] }]", Misfit::Odd { place: "machines.count".to_owned(), expected: "whole numbers" })]
#[case::no_table("set = 3", Misfit::Odd { place: "set".to_owned(), expected: "a table" })]
#[case::no_names("regions = [1]", Misfit::Odd { place: "regions".to_owned(), expected: "a list of names" })]
fn what_cannot_be_given_is_named(#[case] shape: &str, #[case] expected: Misfit) {
    assert_eq!(
        train(DEPLOYMENT, shape, Path::new("/fields"), &[]),
        Err(expected)
    );
}

/// Every shape that the repository keeps can be read.
#[test]
fn the_shapes_kept_are_readable() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("days/sites");
    let mut met = 0;
    for entry in std::fs::read_dir(&folder).expect("tools/scenarios/days/sites") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("readable");
        assert!(text.parse::<Table>().is_ok(), "{}", path.display());
        met += 1;
    }
    assert!(met >= 2, "{met} shapes");
}

/// Every day that the repository keeps is one a file, named as the file.
#[test]
fn the_days_kept_are_one_a_file() {
    for entry in std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("days"))
        .expect("tools/scenarios/days")
    {
        let path = entry.expect("an entry").path();
        if path.extension().is_none_or(|kind| kind != "toml") {
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("readable");
        let days: Table = text
            .parse()
            .unwrap_or_else(|why| panic!("{}: {why}", path.display()));
        let names = if days.contains_key("day") {
            each(&days, "day", &["name"])
        } else {
            vec![days["name"].clone()]
        };
        let stem = path
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        assert_eq!(names, vec![Value::String(stem)], "{}", path.display());
    }
}
