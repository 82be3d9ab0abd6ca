use super::*;

const SPAWN: &str = r#"{"t":"Spawn","who":3,"entropy":7,"info":{"zone":"z",
        "classes":[{"name":"read","repeat":"retryable","hard_limit_us":2000000}]}}"#;
const LIST: &str = r#"{"t":"Inventory","buffer":0,"hosts":[{"appliance":"a \"b\"","availability":"live","build":41}]}"#;

fn answer(items: &str) -> Result<String, String> {
    let mut reply = String::new();
    let line = format!("{{\"now_us\":1000,\"items\":[{items}]}}");
    Process::default().answer(&line, &mut reply).map(|()| reply)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(answer(""), Ok("{\"out\":[]}\n".into()));
}

#[test]
fn a_hit_is_sent_under_the_nodes_own_word() {
    let fleet = r#"{"t":"Fleet","who":3,"seq_no":1,"mode":"cached","buffer":0}"#;
    let hit =
        r#"{"t":"NewRequest","who":3,"corr":9,"remaining_us":500000,"class":"read","new_field":1}"#;
    let reply = answer(&[SPAWN, LIST, fleet, hit].join(",")).expect("a reply");
    assert!(
        reply.contains(r#"{"t":"Try","who":3,"corr":9,"appliance":"a \"b\"","limit_us":500000}"#),
        "{reply}"
    );
}

#[test]
fn a_kill_and_a_spawn_in_one_batch_start_empty() {
    let kill = r#"{"t":"Kill","who":3}"#;
    let gone = r#"{"t":"Returned","who":3,"corr":9,"send_no":0,"result":"served","spent_us":1}"#;
    assert!(answer(&[SPAWN, kill, SPAWN, gone].join(",")).is_ok());
}

#[test]
fn complaints_name_the_message_the_field_and_what_was_expected() {
    let told = |items: &str| answer(items).expect_err("a complaint");
    assert_eq!(
        told(r#"{"t":"Bell","who":1}"#),
        "Bell: who: expected an instance that was started, not 1"
    );
    let hit = r#"{"t":"NewRequest","who":3,"corr":-9,"remaining_us":500000,"class":"read"}"#;
    assert_eq!(
        told(&[SPAWN, hit].join(",")),
        "NewRequest: corr: expected a whole number, 0 or more"
    );
    assert_eq!(
        told(&[SPAWN, r#"{"t":"Nod","who":3}"#].join(",")),
        "Nod: expected a message of the wire"
    );
    let bare = r#"{"t":"Spawn","who":3,"entropy":7,"info":{}}"#;
    assert_eq!(told(bare), "Spawn: info: classes: expected at least one");
}
