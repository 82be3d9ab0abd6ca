use super::*;

#[test]
fn settings_become_dotted_names_and_seconds_and_words_keep_their_order() {
    let info = serde_json::json!({"zone": "b", "limits": {"conn_idle_us": 1500000, "retry_after": true},
            "classes": [{"name": "read"}, {"name": "pay"}], "accounts": [{"name": "a"}], "none": null});
    let told = Told::read(&info).expect("settings");
    assert_eq!(told.named.get("limits.conn_idle_s"), Some(&Value::Number(1.5)));
    assert_eq!(told.named.get("limits.retry_after"), Some(&Value::Flag(true)));
    assert_eq!(told.named.get("classes.1.name"), Some(&Value::Text("pay".into())));
    assert!(!told.named.contains_key("none"));
    assert_eq!((told.groups.known("pay"), told.groups.known("b"), told.zone), (Some(1), None, Some(0)));
    assert_eq!((told.accounts.word(0), told.zones.word(0), told.zones.word(9)), ("a", "b", ""));
    let odd = serde_json::json!({"classes": [{"repeat": "retryable"}]});
    assert_eq!(Told::read(&odd).err().as_deref(), Some("classes: name: expected text"));
}
