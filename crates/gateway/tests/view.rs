//! How views are shown.

use magpieline_gateway::view::table;

/// A table hides nothing that the JSON says.
#[test]
fn a_table_holds_all_that_the_view_holds() {
    let view = jzon::object! { role: "Leader", voters: [{ address: "10.0.0.1:7720", life: 0 }], learners: [],
    services: { s: { version: "v1", rollout: null, usual_ms: 42.002895853 } } };
    let table = table(&view);
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines[0], "role      Leader");
    assert_eq!(lines[2], "  address 10.0.0.1:7720  life 0");
    assert_eq!(lines[3], "learners  none");
    let expected = [
        "services",
        "  s",
        "    version   v1",
        "    rollout   -",
        "    usual_ms  42.003",
    ];
    assert_eq!(&lines[4..], expected);
}
