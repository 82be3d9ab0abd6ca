//! Frames between agents are the same bytes as in the release before. `golden/frames.txt` holds one message a line: its
//! name, then the bytes of its frame in hexadecimal.

use magpieline_control_plane::messages::{
    frame, unframe, Down, Evidence, Fenced, Hello, Listing, Opening, Piece, Report, Spot, Stage,
    State, Totals, Up, Vote,
};
use magpieline_control_plane::state_machine::{Phase, Rollout, Standing};
use magpieline_raft::{Entry, Envelope, Message, NodeId, Payload, VoterSet};
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::fmt::Write;
use std::net::SocketAddrV4;

const FRAMES: &str = include_str!("golden/frames.txt");

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, last].into(), 7720)
}

fn seat(last: u8, incarnation: u64) -> NodeId {
    NodeId {
        address: address(last),
        incarnation,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Compares with the kept line of this name, and reads it back.
fn check<T: Serialize + for<'a> Deserialize<'a> + Debug + PartialEq>(
    name: &str,
    message: T,
    lines: &mut Vec<String>,
) {
    let bytes = frame(&message);
    let kept = FRAMES
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name} ")));
    let ours = hex(&bytes);
    if std::env::var_os("WRITE_GOLDEN").is_none() {
        assert_eq!(kept, Some(&*ours), "{name}");
    }
    assert_eq!(
        unframe(&mut bytes.clone()).expect("readable"),
        Some(message),
        "{name}"
    );
    lines.push(format!("{name} {ours}"));
}

fn down(word: Down) -> Fenced<Down> {
    Fenced { term: 300, word }
}

fn standing() -> Standing {
    let rollout = Rollout {
        to: "v2".into(),
        within: 12_000_000,
        phase: Phase::Moving,
        order: 17,
    };
    Standing {
        version: Some("v1".into()),
        rollout: Some(rollout),
        barred: vec!["v0".into()],
    }
}

fn evidence() -> Evidence {
    let totals = Totals {
        pulls: 1,
        in_time: 2,
        bad: 3,
        outcomes: 4,
        spent_ms: 5,
        served: 6,
    };
    Evidence {
        service: "calendar".into(),
        order: 17,
        vote: Vote::On,
        totals: vec![(7, [totals, Totals::default()])],
        spots: vec![Spot {
            appliance: 1,
            outcomes: 2,
            bad: 3,
            late: 4,
        }],
        taken: 8,
        under_way: 9,
        age: 10,
        phase: Some(Phase::Trial),
    }
}

fn listing() -> Listing {
    let entry = magpieline_control_plane::messages::Entry {
        service: "calendar".into(),
        address: address(50),
        zone: "a".into(),
        version: "v1".into(),
        berths: 2,
        state: State::Closing,
        cold: 1_500_000,
    };
    Listing {
        whole: true,
        entries: vec![("s-1".into(), Some(entry)), ("s-2".into(), None)],
    }
}

fn raft_messages() -> Vec<(&'static str, Message)> {
    let members = VoterSet {
        voters: vec![seat(16, 0), seat(17, 5)],
    };
    let bytes = b"command".to_vec();
    let payloads = [
        Payload::Noop,
        Payload::Command {
            more: true,
            bytes: bytes.clone(),
        },
        Payload::Voters(members.clone()),
        Payload::LeaveJoint,
    ];
    let entries = payloads.into_iter().zip(9..).map(|(payload, index)| Entry {
        index,
        term: 3,
        payload,
    });
    vec![
        (
            "pre-vote",
            Message::PreVoteRequest {
                last_index: 9,
                last_term: 3,
            },
        ),
        (
            "pre-vote-reply",
            Message::PreVoteResponse {
                next_term: 4,
                granted: true,
            },
        ),
        (
            "pre-vote-if-all",
            Message::PreVoteIfAllRestarted {
                next_term: 4,
                boot_id: 77,
            },
        ),
        (
            "vote",
            Message::VoteRequest {
                last_index: 9,
                last_term: 3,
                leadership_transfer: true,
                all_restarted: Some(77),
            },
        ),
        ("vote-reply", Message::VoteResponse { granted: true }),
        (
            "append",
            Message::AppendEntries {
                heartbeat: 5,
                prev_index: 8,
                prev_term: 2,
                commit: 7,
                entries: entries.collect(),
            },
        ),
        (
            "append-reply",
            Message::AppendResponse {
                heartbeat: 5,
                match_index: 8,
                reject_hint: Some(6),
            },
        ),
        (
            "fill",
            Message::InstallSnapshot {
                index: 9,
                snapshot_term: 3,
                voters: members,
                total_bytes: 700,
                offset: 300,
                bytes,
            },
        ),
        (
            "fill-reply",
            Message::InstallSnapshotResponse {
                index: 9,
                received: 307,
                gap: true,
            },
        ),
        ("hand-over", Message::TimeoutNow),
        ("ask", Message::JoinRequest { last_index: 9 }),
        (
            "point",
            Message::LeaderHint {
                leader: Some(address(16)),
                members: vec![address(16), address(17)],
            },
        ),
        (
            "leave",
            Message::LeaveRequest {
                token: 99,
                waiting: Some(vec![seat(18, 6)]),
            },
        ),
        ("left", Message::LeaveResponse { token: 99 }),
    ]
}

/// Guards against agents of this release and of the one before that misread each other.
#[test]
fn frames_are_those_of_the_release_before() {
    let mut lines = Vec::new();
    let all = &mut lines;
    check("opening-counter", Opening::Counter, all);
    check("opening-sorting", Opening::Sorting(address(16)), all);
    check("opening-view", Opening::View, all);
    let hello = Hello {
        node: "c-1".into(),
        zone: "a".into(),
        incarnation: 4,
        edition: 3,
        term: 2,
        at: 1_000,
    };
    check("up-hello", Up::Hello(hello), all);
    check(
        "up-report",
        Up::Report(Report {
            edition: 3,
            evidence: vec![evidence()],
            term: 2,
            at: 1_000,
        }),
        all,
    );
    check(
        "up-got",
        Up::Got {
            number: 3,
            upto: 8192,
        },
        all,
    );
    check("up-holds", Up::Holds { edition: 3 }, all);
    let core = vec![address(16), address(17)];
    check(
        "down-elsewhere",
        down(Down::Elsewhere {
            leader: Some(address(17)),
            core: core.clone(),
        }),
        all,
    );
    check(
        "down-welcome",
        down(Down::Welcome {
            core,
            counters: 9,
            asked: 1_000,
        }),
        all,
    );
    let piece = Piece {
        number: 4,
        from: 3,
        length: 9000,
        at: 8192,
        bytes: b"piece".to_vec(),
    };
    check("down-piece", down(Down::Piece(piece)), all);
    check(
        "down-services",
        down(Down::Services(vec![("calendar".into(), standing())])),
        all,
    );
    let stage = Stage {
        share: 0.05,
        guarded: true,
        focus: 2,
    };
    check(
        "down-stage",
        down(Down::Stage("calendar".into(), 17, stage)),
        all,
    );
    check("down-listing", down(Down::Listing(listing())), all);
    check(
        "down-beat",
        down(Down::Beat {
            counters: 9,
            asked: 1_000,
            edition: 4,
        }),
        all,
    );
    for (name, message) in raft_messages() {
        let envelope = Envelope {
            from: seat(16, 0),
            to: seat(17, 5),
            term: 3,
            message,
        };
        check(&format!("raft-{name}"), envelope, all);
    }
    if let Some(path) = std::env::var_os("WRITE_GOLDEN") {
        std::fs::write(path, lines.join("\n") + "\n").expect("written");
    }
    assert_eq!(lines.len(), FRAMES.lines().count());
}
