//! `magpieline-gateway store` on stores that the test has written.

mod common;

use common::TempDir;
use magpieline_control_plane::state_machine::{Command, ControlState, Phase, StoredConfig};
use magpieline_raft::{Entry, HardState, NodeId, Payload, Snapshot, VoterSet, WriteBatch};
use magpieline_raft_store::Store;
use std::path::Path;
use std::process::Command as Process;
use std::sync::Arc;

fn store(arguments: &[&str], dir: &Path) -> (i32, String, String) {
    let done = Process::new(env!("CARGO_BIN_EXE_magpieline-gateway"))
        .arg("store")
        .args(arguments)
        .arg(dir)
        .output();
    let done = done.expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (
        done.status.code().unwrap_or(-1),
        text(done.stdout),
        text(done.stderr),
    )
}

fn stored(number: u64) -> Command {
    Command::ReplaceConfig(StoredConfig {
        version: number,
        text: format!("{{\"edition\":{number}}}").into(),
    })
}

/// A store with a snapshot at 3, a command in two pieces, one that another leader cut off, and one that may not be in
/// force yet.
fn fill(dir: &Path) -> Store {
    let mut records = ControlState::default();
    records.apply(2, &stored(4));
    records.apply(
        3,
        &Command::SetVersion {
            service: "calendar".into(),
            version: "v1".into(),
        },
    );
    let node_id = NodeId {
        address: "10.1.0.16:7720".parse().expect("an address"),
        incarnation: 0,
    };
    let members = VoterSet {
        voters: vec![node_id],
    };
    let snapshot = Snapshot {
        index: 3,
        term: 1,
        voters: members,
        state: records.encode(),
    };
    let command = |more, bytes: &[u8]| Payload::Command {
        more,
        bytes: bytes.to_vec(),
    };
    let (begin, edition) = (
        Command::BeginRolloutV1 {
            service: "calendar".into(),
            target_version: "v2".into(),
            within: 12_000_000,
        }
        .encode(),
        stored(5).encode(),
    );
    let moving = Command::AdvanceRollout {
        service: "calendar".into(),
        id: 5,
        phase: Phase::Promoting,
    }
    .encode();
    let rows = [
        (1, command(true, &begin[..4])),
        (1, command(false, &begin[4..])),
        (1, command(true, b"cut off")),
        (2, Payload::Noop),
        (2, command(false, &edition)),
        (2, command(false, &moving)),
    ];
    let entries = rows.into_iter().zip(4..);
    let entries: Vec<Entry> = entries
        .map(|((term, payload), index)| Entry {
            index,
            term,
            payload,
        })
        .collect();
    let hard_state = HardState {
        incarnation: 77,
        term: 2,
        vote: Some(node_id),
        commit: 8,
    };
    let mut store = Store::open(dir).expect("a store");
    let batch = WriteBatch {
        hard_state,
        snapshot: Some(Arc::new(snapshot)),
        compact_to: 3,
        truncate_from: 4,
        entries,
    };
    store.write(&batch).expect("written");
    store
}

/// Guards against a store that is read wrong when it matters most: after the machine is gone.
#[test]
fn what_was_agreed_on_is_replayed_and_what_may_follow_is_told_apart() {
    let folder = TempDir::new("store-replay");
    drop(fill(folder.path()));
    let before = std::fs::read(folder.path().join("store.redb")).expect("there");
    let (code, out, err) = store(&["--entries"], folder.path());
    assert_eq!((code, &*err), (0, ""));
    for line in [
        "  term      2",
        "  vote      10.1.0.16:7720 (life 0)",
        "  life      77",
        "  log       entries 4 to 9",
        "  entries   2 piece, 1 advance, 1 begin, 1 noop, 1 replace",
        "  certain   up to entry 8 of 9",
        "  calendar  v1      to v2: Trial (order 5, within 12000ms)  none",
        "  calendar  v1      to v2: Moving (order 5, within 12000ms)  none",
        "  5      1     begin    calendar to v2 within 12000ms",
    ] {
        assert!(out.lines().any(|l| l == line), "{line}\nis not in\n{out}");
    }
    let (_, json, _) = store(&["--json"], folder.path());
    let shown = jzon::parse(&json).expect("JSON");
    let phase = |part: &str| {
        shown[part]["services"]["calendar"]["rollout"]["phase"]
            .as_str()
            .map(str::to_owned)
    };
    assert_eq!(
        (
            phase("in_force").as_deref(),
            phase("with_what_follows").as_deref()
        ),
        (Some("Trial"), Some("Moving"))
    );
    assert_eq!(
        (
            shown["in_force"]["edition"].as_u64(),
            shown["in_use"].as_bool()
        ),
        (Some(5), Some(false))
    );
    assert_eq!(
        store(&["--configuration"], folder.path()).1,
        "{\"edition\":5}"
    );
    assert!(
        before == std::fs::read(folder.path().join("store.redb")).expect("there"),
        "it was written to"
    );
}

/// Guards against an operator who takes a store in use, a broken one or none at all for an empty one.
#[test]
fn a_store_in_use_a_corrupt_one_and_none_are_told_apart() {
    let folder = TempDir::new("store-told");
    let (code, out, err) = store(&[], folder.path());
    assert!(
        code == 1 && out.is_empty() && err.contains("found no store, expected a controller's"),
        "{err}"
    );
    let held = fill(folder.path());
    let (code, out, _) = store(&[], folder.path());
    assert!(
        code == 0
            && out
                .lines()
                .next()
                .is_some_and(|l| l.ends_with(" bytes, in use")),
        "{out}"
    );
    drop(held);
    let file = folder.path().join("store.redb");
    let mut bytes = std::fs::read(&file).expect("there");
    let at = bytes
        .windows(8)
        .position(|w| w == b"calendar")
        .expect("a value");
    bytes[at] ^= 1;
    std::fs::write(&file, bytes).expect("written");
    let (code, out, err) = store(&["--json"], folder.path());
    assert!(code == 1 && err.contains("the store is corrupt"), "{err}");
    assert!(out.contains("\"wrong\":\"the store is corrupt"), "{out}");
}
