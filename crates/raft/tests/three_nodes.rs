//! Cluster nodes on a perfect network whose disks complete every write at once. Faults are played in `tools/raft-simulation`.

use magpieline_raft::{
    Action, Config, Entry, Envelope, Event, Message, Micros, NodeId, Outcome, Payload,
    PersistentState, RaftNode, Role,
};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

const STEP: Micros = 1_000;

struct Cluster {
    now: Micros,
    nodes: Vec<RaftNode>,
    stores: Vec<PersistentState>,
    applied: Vec<Vec<Vec<u8>>>,
    completed: Vec<(u64, Outcome)>,
    pending: VecDeque<(usize, Action)>,
}

fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, machine as u8 + 1].into(), 7720)
}

impl Cluster {
    fn with_leader() -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            nodes: Vec::new(),
            stores: vec![PersistentState::default(); 3],
            applied: vec![Vec::new(); 3],
            completed: Vec::new(),
            pending: VecDeque::new(),
        };
        for machine in 0..3 {
            let seeds = (0..3).map(address).collect();
            let start = Config {
                address: address(machine),
                seeds,
                first_run: true,
                seed: machine as u64,
                tolerated_failures: 1,
                recovery_interval: 4_000_000,
            };
            let (node, actions) = RaftNode::start(0, start, PersistentState::default());
            cluster.nodes.push(node);
            cluster
                .pending
                .extend(actions.into_iter().map(|action| (machine, action)));
        }
        cluster.run_for(1_000_000);
        cluster
    }

    fn deliver(&mut self, machine: usize, event: Event) {
        let actions = self.nodes[machine].step(self.now, event);
        self.pending
            .extend(actions.into_iter().map(|action| (machine, action)));
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            while let Some((machine, action)) = self.pending.pop_front() {
                self.perform(machine, action);
            }
            self.now += STEP;
            for machine in 0..3 {
                if self.nodes[machine].next_wake() <= self.now {
                    self.deliver(machine, Event::Tick);
                }
            }
        }
    }

    fn perform(&mut self, machine: usize, action: Action) {
        match action {
            Action::Send(envelope) => {
                let to = (0..3)
                    .find(|to| address(*to) == envelope.to.address)
                    .unwrap();
                self.deliver(to, Event::Receive(envelope));
            }
            Action::Write { serial, batch } => {
                batch.apply(&mut self.stores[machine]);
                self.deliver(machine, Event::Persisted { serial });
            }
            Action::Apply { command, .. } => self.applied[machine].push(command),
            Action::Restore { .. } => {}
            Action::Complete {
                request_id,
                outcome,
            } => self.completed.push((request_id, outcome)),
        }
    }

    fn leader(&self) -> usize {
        (0..3)
            .find(|machine| self.nodes[*machine].role() == Role::Leader)
            .expect("a leader")
    }
}

/// One leader within a second, commands in order on all nodes, long ones complete.
#[test]
fn three_founders_agree() {
    let mut cluster = Cluster::with_leader();
    let leader = cluster.leader();
    let long: Vec<u8> = (0..200_000u32).map(|at| at as u8).collect();
    cluster.deliver(
        leader,
        Event::Propose {
            request_id: 1,
            command: b"first".to_vec(),
        },
    );
    cluster.deliver(
        leader,
        Event::Propose {
            request_id: 2,
            command: long.clone(),
        },
    );
    cluster.deliver(leader, Event::Read { request_id: 3 });
    cluster.deliver(
        (leader + 1) % 3,
        Event::Propose {
            request_id: 4,
            command: b"elsewhere".to_vec(),
        },
    );
    cluster.run_for(300_000);
    for applied in &cluster.applied {
        assert_eq!(*applied, [b"first".to_vec(), long.clone()]);
    }
    let hint = Some(address(leader));
    assert!(cluster
        .completed
        .contains(&(4, Outcome::NotLeader { hint })));
    for request_id in 1..=3 {
        assert!(cluster
            .completed
            .iter()
            .any(|(done, outcome)| *done == request_id
                && matches!(outcome, Outcome::Committed { .. })));
    }
    assert!(cluster.nodes[leader].holds_lease(cluster.now));
}

/// A restarted node restores the snapshot first, then applies the committed entries after it.
#[test]
fn a_restart_restores_the_snapshot_and_applies_the_rest() {
    let mut cluster = Cluster::with_leader();
    let leader = cluster.leader();
    for request_id in 0..5 {
        cluster.deliver(
            leader,
            Event::Propose {
                request_id,
                command: vec![request_id as u8],
            },
        );
        cluster.run_for(200_000);
    }
    let index = cluster.nodes[leader].applied_index() - 2;
    cluster.deliver(
        leader,
        Event::Compact {
            index,
            state: b"0 to 2".to_vec(),
        },
    );
    // A change of term has the commit written, too.
    cluster.run_for(200_000);
    cluster.deliver(leader, Event::StepDown);
    cluster.run_for(1_000_000);
    let start = Config {
        address: address(leader),
        seeds: Vec::new(),
        first_run: false,
        seed: 9,
        tolerated_failures: 1,
        recovery_interval: 4_000_000,
    };
    let (node, actions) = RaftNode::start(cluster.now, start, cluster.stores[leader].clone());
    assert!(
        matches!(&actions[0], Action::Restore { index: at, state } if *at == index && state == b"0 to 2")
    );
    assert!(matches!(&actions[1], Action::Apply { command, .. } if command == &[3]));
    assert_eq!(node.voters().len(), 3);
    assert_ne!(cluster.leader(), leader);
}

/// A leader's lease outlives a restart of those who answered it: a node that has just restarted stands early only if every
/// voter has restarted, and a voter that has restarted again is not taken at the word of its earlier start.
#[test]
fn a_restarted_node_stands_early_only_if_all_have_restarted() {
    let cluster = Cluster::with_leader();
    let start = |i: usize, seed| {
        let seeds = Vec::new();
        let start = Config {
            address: address(i),
            seeds,
            first_run: false,
            seed,
            tolerated_failures: 1,
            recovery_interval: 4_000_000,
        };
        RaftNode::start(0, start, cluster.stores[i].clone()).0
    };
    let probed = |node: &mut RaftNode| {
        let due = node.next_wake();
        assert!(due < 100_000);
        node.step(due, Event::Tick)
    };
    // What `to` answers to whatever `from` said to it.
    let carry = |actions: Vec<Action>, to: &mut RaftNode| -> Vec<Action> {
        let mut answers = Vec::new();
        for action in actions {
            match action {
                Action::Send(e) if e.to == to.id() => answers.extend(to.step(0, Event::Receive(e))),
                _ => {}
            }
        }
        answers
    };
    let (mut one, mut two, mut three) = (start(0, 11), start(1, 12), start(2, 13));
    let asked = probed(&mut one);
    let said = carry(asked.clone(), &mut two);
    carry(said, &mut one);
    assert_eq!(
        one.role(),
        Role::PreCandidate,
        "two of three have restarted: the third may lead"
    );
    let said = carry(asked, &mut three);
    let asked = carry(said, &mut one);
    assert_eq!(one.role(), Role::Candidate);
    // Its requests wait for its disk.
    let write = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::Write { serial, .. } = a {
                Some(*serial)
            } else {
                None
            }
        })
    };
    let requests = one.step(
        0,
        Event::Persisted {
            serial: write(&asked).expect("a write"),
        },
    );
    let voted = |node: &mut RaftNode| write(&carry(requests.clone(), node)).is_some();
    assert!(voted(&mut two));
    assert!(
        !voted(&mut start(2, 14)),
        "another start of the third said nothing"
    );
    assert!(voted(&mut three));
}

/// The first of three founders, leading; the test sends it the messages of the others.
struct LeaderAlone {
    node: RaftNode,
    term: u64,
    serial: u64,
}

impl LeaderAlone {
    /// A leader that started on a store whose last entry is not committed yet.
    fn new() -> LeaderAlone {
        let mut stored = Cluster::with_leader().stores.swap_remove(0);
        let term = stored.hard_state.unwrap().term;
        let index = stored.entries.last().unwrap().index + 1;
        let payload = Payload::Command {
            more: false,
            bytes: b"old".to_vec(),
        };
        stored.entries.push(Entry {
            index,
            term,
            payload,
        });
        let start = Config {
            address: address(0),
            seeds: Vec::new(),
            first_run: false,
            seed: 3,
            tolerated_failures: 1,
            recovery_interval: 4_000_000,
        };
        let (node, _) = RaftNode::start(0, start, stored);
        let mut leader = LeaderAlone {
            node,
            term,
            serial: 0,
        };
        // By then it is no longer bound by what it may have promised a leader before its restart.
        leader.node.step(800_000, Event::Tick);
        leader.receive(
            1,
            0,
            Message::PreVoteResponse {
                next_term: term + 1,
                granted: true,
            },
        );
        leader.persist();
        leader.term += 1;
        leader.receive(1, 0, Message::VoteResponse { granted: true });
        assert_eq!(
            (leader.node.role(), leader.node.last_index()),
            (Role::Leader, index + 1)
        );
        leader
    }

    fn receive(&mut self, machine: usize, incarnation: u64, message: Message) {
        let from = NodeId {
            address: address(machine),
            incarnation,
        };
        let envelope = Envelope {
            from,
            to: self.node.id(),
            term: self.term,
            message,
        };
        self.node.step(0, Event::Receive(envelope));
    }

    fn receive_match(&mut self, machine: usize, incarnation: u64, match_index: u64) {
        self.receive(
            machine,
            incarnation,
            Message::AppendResponse {
                heartbeat: 1,
                match_index,
                reject_hint: None,
            },
        );
    }

    fn persist(&mut self) {
        self.serial += 1;
        self.node.step(
            0,
            Event::Persisted {
                serial: self.serial,
            },
        );
    }
}

/// Raft's figure 8, which random faults hardly ever bring about: an entry of an earlier term on a majority is not committed
/// until an entry of the leader's own term is on a majority, too.
#[test]
fn entries_of_earlier_terms_wait_for_one_of_this_term() {
    let mut leader = LeaderAlone::new();
    let (before, last) = (leader.node.commit_index(), leader.node.last_index());
    leader.receive_match(1, 0, last - 1);
    assert_eq!(leader.node.commit_index(), before);
    leader.persist();
    leader.receive_match(1, 0, last);
    assert_eq!(leader.node.commit_index(), last);
}

/// A new incarnation does not help to commit the voter set that adds it: the old incarnation may have voted for another
/// leader before it lost its disk, so that a majority of the old set has to store the entry, too.
#[test]
fn a_new_incarnation_needs_a_majority_of_the_old_voters() {
    let mut leader = LeaderAlone::new();
    leader.persist();
    let last = leader.node.last_index();
    leader.receive(2, 9, Message::JoinRequest { last_index: 0 });
    leader.receive_match(2, 9, last);
    assert_eq!(
        leader.node.last_index(),
        last,
        "no change before an entry of this term is committed"
    );
    leader.receive_match(1, 0, last);
    assert_eq!(
        (leader.node.commit_index(), leader.node.last_index()),
        (last, last + 1)
    );
    assert!(leader.node.voters().contains(&NodeId {
        address: address(2),
        incarnation: 9
    }));
    leader.persist();
    leader.receive_match(2, 9, last + 1);
    assert_eq!(leader.node.commit_index(), last);
    leader.receive_match(1, 0, last + 1);
    assert_eq!(leader.node.commit_index(), last + 1);
    assert_eq!(leader.node.previous_voters(), None);
}

/// A single node, the smallest cluster, commits by itself, and answers reads without waiting for a heartbeat.
#[test]
fn a_single_founder_commits_by_itself() {
    let start = Config {
        address: address(0),
        seeds: vec![address(0)],
        first_run: true,
        seed: 1,
        tolerated_failures: 1,
        recovery_interval: 4_000_000,
    };
    let (mut node, _) = RaftNode::start(0, start, PersistentState::default());
    node.step(0, Event::Persisted { serial: 1 });
    let now = node.next_wake();
    node.step(now, Event::Tick);
    node.step(now, Event::Persisted { serial: 2 });
    node.step(now, Event::Persisted { serial: 3 });
    let done = |actions: Vec<Action>| {
        actions.iter().any(|action| {
            matches!(
                action,
                Action::Complete {
                    outcome: Outcome::Committed { .. },
                    ..
                }
            )
        })
    };
    node.step(
        now,
        Event::Propose {
            request_id: 1,
            command: Vec::new(),
        },
    );
    assert!(done(node.step(now, Event::Persisted { serial: 4 })));
    assert!(done(node.step(now, Event::Read { request_id: 2 })));
}
