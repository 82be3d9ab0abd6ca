//! When the log is compacted.

use magpieline_raft::{Action, Config, Event, PersistentState, RaftNode};

/// The only voter, on a disk that takes every write at once, and its state: the last command's bytes.
struct SingleNode {
    now: u64,
    node: RaftNode,
    state: Vec<u8>,
}

impl SingleNode {
    fn leading() -> SingleNode {
        let address = "10.0.0.1:7720".parse().expect("an address");
        let start = Config {
            address,
            seeds: vec![address],
            first_run: true,
            seed: 1,
            tolerated_failures: 0,
            recovery_interval: 4_000_000,
        };
        let (node, actions) = RaftNode::start(0, start, PersistentState::default());
        let mut single = SingleNode {
            now: 0,
            node,
            state: Vec::new(),
        };
        single.perform(actions, true);
        while !single.node.holds_lease(single.now) {
            single.now = single.node.next_wake().max(single.now + 1);
            single.step(Event::Tick, true);
        }
        single
    }

    fn step(&mut self, event: Event, persists: bool) {
        let actions = self.node.step(self.now, event);
        self.perform(actions, persists);
    }

    fn perform(&mut self, actions: Vec<Action>, persists: bool) {
        for action in actions {
            match action {
                Action::Write { serial, .. } if persists => {
                    self.step(Event::Persisted { serial }, true)
                }
                Action::Apply { command, .. } => self.state = command,
                _ => {}
            }
        }
    }

    fn compact(&mut self) {
        let event = Event::Compact {
            index: self.node.applied_index(),
            state: self.state.clone(),
        };
        self.step(event, true);
    }
}

/// A node must not hang on the first large command: a compaction would be due again and again while the command's entries,
/// which are not committed yet, make the log long; the owner carries compactions out before anything else.
#[test]
fn a_compaction_is_never_due_again_at_once() {
    for bytes in [3 << 20, 5 << 20, 15 << 20] {
        let mut single = SingleNode::leading();
        single.step(
            Event::Propose {
                request_id: 1,
                command: b"small".to_vec(),
            },
            true,
        );
        single.compact();
        // The write is in flight.
        single.step(
            Event::Propose {
                request_id: 2,
                command: vec![7; bytes],
            },
            false,
        );
        if single.node.should_compact() {
            single.compact();
        }
        assert!(
            !single.node.should_compact(),
            "{bytes} bytes in flight, and the log can't be shorter"
        );
    }
}

/// The log never holds more than twice the state, or 4 MB, and the last command beside it.
#[test]
fn the_log_stays_short_however_large_the_commands() {
    for bytes in [100, 300_000, 4 << 20] {
        let mut single = SingleNode::leading();
        let mut compactions = 0;
        for request_id in 0..2_000_000_000 / (bytes as u64 + 1_000_000) {
            single.step(
                Event::Propose {
                    request_id,
                    command: vec![request_id as u8; bytes],
                },
                true,
            );
            assert!(single.state.len() == bytes, "applied");
            if single.node.should_compact() {
                single.compact();
                compactions += 1;
                assert!(!single.node.should_compact(), "again at once");
            }
        }
        let weighed = 2_000_000_000 / (bytes as u64 + 1_000_000) * bytes as u64;
        assert!(
            compactions <= weighed / (4 << 20) + 1,
            "{compactions} for {weighed} bytes"
        );
        assert!(
            bytes < 1000 || compactions > 100,
            "{compactions} for {weighed} bytes"
        );
    }
}
