//! The settings file.

use magpieline_config::node_settings::NodeSettings;

const VALID: &str = r#"
new_table = { anything = 1 }
[self]
node = "n-1"
machine_class = "counter"
ip = "10.1.0.13"
zone = "a"
region = "r"
first_run = true
[self.allowances]
memory_mb = 260
[network]
inner_ports = [7720,7735]
seed_depots = ["10.1.0.16:8166"]
[network.posts]
front = "10.1.0.13:8161"
[carrier.carrier_api]
address = "10.200.0.79:8169"
per_s = 47.0
lag = "800ms"
[provisions.guarantees]
drain = "2.5s"
retry_slack = 58
"#;

/// A machine starts although the platform tells it more, or less, than before.
#[test]
fn unknown_fields_are_skipped_and_absent_ones_have_defaults() {
    let settings = NodeSettings::parse(VALID).expect("valid");
    assert_eq!(
        (settings.agent_ports, settings.memory_mb, settings.first_run),
        ((7720, 7735), 260, true)
    );
    assert_eq!(
        (settings.guarantees.drain, settings.guarantees.retry_slack),
        (2_500_000, 58.0)
    );
    assert_eq!(
        (
            settings.guarantees.grace,
            settings.store_dir,
            settings.platform.lag
        ),
        (6_000_000, None, 800_000)
    );
    assert_eq!(
        settings.listen_addresses["front"],
        "10.1.0.13:8161".parse().expect("address")
    );
}

/// All that is wrong with a file is reported at once.
#[test]
fn all_diagnostics_come_at_once_with_their_paths() {
    let odd = VALID
        .replace("\"2.5s\"", "\"soon\"")
        .replace("[7720,7735]", "[7735]")
        .replace("node = \"n-1\"", "");
    let diagnostics = NodeSettings::parse(&odd).expect_err("three things are wrong");
    let paths: Vec<&str> = diagnostics.iter().map(|c| c.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "self.node",
            "network.inner_ports",
            "provisions.guarantees.drain"
        ]
    );
    assert_eq!(
        diagnostics[2].to_string(),
        "provisions.guarantees.drain: found 'soon', expected a time such as 1500ms or 2.5s"
    );
    assert_eq!(
        NodeSettings::parse("[self").expect_err("no TOML")[0].path,
        "line 1"
    );
}
