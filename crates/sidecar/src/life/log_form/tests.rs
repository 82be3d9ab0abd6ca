use super::*;

#[test]
fn a_line_of_json_holds_the_event_and_its_values() {
    let pairs: &[(&str, u64)] = &[("version", 4)];
    let record = log::Record::builder();
    let line = object(
        &{ record }
            .args(format_args!("config \"applied\""))
            .level(log::Level::Warn)
            .key_values(&pairs)
            .build(),
        2.5,
    );
    let read: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(
        read,
        serde_json::json!({"at": 2.5, "level": "warn", "event": "config \"applied\"", "version": 4})
    );
}
