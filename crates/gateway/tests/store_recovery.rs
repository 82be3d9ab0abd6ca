//! What a controller does about a store, or an entry, that it can't read.

use magpieline_control_plane::state_machine::{Command, ControlState};
use magpieline_gateway::controller::raft_driver::{DecodedAction, StopReason};
use magpieline_gateway::controller::store_recovery::RecoveryStep;
use magpieline_raft::{Action, Envelope, Message, NodeId};
use magpieline_raft_store::{Corruption, StoreError};

fn send() -> Action {
    let node_id = |last| NodeId {
        address: std::net::SocketAddrV4::new([10, 0, 0, last].into(), 7720),
        incarnation: 0,
    };
    Action::Send(Envelope {
        from: node_id(1),
        to: node_id(2),
        term: 3,
        message: Message::TimeoutNow,
    })
}

fn apply(index: u64, command: Vec<u8>) -> Action {
    Action::Apply { index, command }
}

fn command() -> Vec<u8> {
    Command::SetVersion {
        service: "calendar".into(),
        version: "v1".into(),
    }
    .encode()
}

/// Guards against a machine that logs what it can't read and goes on: it may lead then, with old state. And against a
/// leader that tells others of an entry as in force which it could not read itself: nothing of that step leaves.
#[test]
fn what_cant_be_read_stops_the_machine_before_anything_else_is_done() {
    let truncated = |mut bytes: Vec<u8>| {
        bytes.truncate(bytes.len() - 1);
        bytes
    };
    let readable = [
        send(),
        apply(7, command()),
        Action::Restore {
            index: 9,
            state: ControlState::default().encode(),
        },
    ];
    assert_eq!(
        DecodedAction::decode_all(&readable)
            .expect("readable")
            .len(),
        2
    );
    let steps = [
        (
            8,
            vec![
                send(),
                apply(7, command()),
                apply(8, truncated(command())),
                apply(9, command()),
            ],
        ),
        (
            9,
            vec![
                send(),
                Action::Restore {
                    index: 9,
                    state: truncated(ControlState::default().encode()),
                },
            ],
        ),
    ];
    for (place, actions) in steps {
        let Err(stop) = DecodedAction::decode_all(&actions) else {
            panic!("{place} was passed over")
        };
        assert!(
            matches!(&stop, StopReason::Undecodable(index, error) if *index == place && !error.is_newer_format),
            "{stop:?}"
        );
        assert_eq!(
            RecoveryStep::after(&stop),
            RecoveryStep::QuarantineOnceApplied(place)
        );
    }
}

/// Guards against a whole core that gives up its stores: where a newer release wrote, and where an entry can't be read
/// anywhere.
#[test]
fn a_store_is_given_up_only_where_that_helps_and_others_hold_it() {
    let newer = |mut bytes: Vec<u8>| {
        bytes[0] += 2;
        bytes
    };
    let Err(stop) = DecodedAction::decode_all(&[apply(4, newer(command()))]) else {
        panic!("a newer command was read")
    };
    assert!(matches!(&stop, StopReason::Undecodable(4, error) if error.is_newer_format));
    assert_eq!(RecoveryStep::after(&stop), RecoveryStep::Halt);
    assert_eq!(
        RecoveryStep::after(&StopReason::Store(StoreError::NewerFormat {
            found: 3,
            expected: 2
        })),
        RecoveryStep::Halt
    );
    let flaw = Corruption {
        location: "log",
        key: 4,
        found: "another checksum",
        expected: "the value's",
    };
    assert_eq!(
        RecoveryStep::after(&StopReason::Store(StoreError::Corrupt(flaw))),
        RecoveryStep::Quarantine
    );
    assert_eq!(
        RecoveryStep::after(&StopReason::Shutdown),
        RecoveryStep::Exit
    );
}
