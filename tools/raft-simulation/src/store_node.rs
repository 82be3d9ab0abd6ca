//! All of a controller but its sockets, as a process of the simulation: the Raft node, the state agreed on and the real store.

use crate::memory_store::StoreDisk;
use crate::raft_process::{raft_event, LeadersByTerm};
use crate::{BootOptions, Effect, Input, Micros, Observer, Process};
use magpieline_control_plane::state_machine::{Command, ControlState};
use magpieline_raft::{Action, Envelope, Event, Index, Outcome, RaftNode, Role, WriteBatch};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};

/// A controller without its sockets.
pub struct StoreNode {
    raft: RaftNode,
    state: ControlState,
    /// The state is that of this place in the log.
    applied_index: Index,
    /// Compacts by chance, beside when it is wanted.
    rng: ChaCha8Rng,
}

/// What is done to a controller from outside.
pub enum Call {
    /// It is to propose a command.
    Propose {
        /// Tells requests apart.
        request_id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// It is to hand its leadership on.
    StepDown,
}

/// What a controller did.
pub enum Observation {
    /// It applied a command.
    Applied {
        /// The command's place in the log.
        index: Index,
        /// A hash of the command.
        command: u64,
    },
    /// The state at a place, as a hash of its bytes.
    State {
        /// The place in the log.
        index: Index,
        /// The hash.
        state: u64,
    },
    /// A request is over.
    Completed {
        /// The request.
        request_id: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// The store was corrupt and was quarantined.
    Quarantined,
}

/// Hashes a state or a command, to compare machines by.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// One of so many steps compacts, beside those in which a compaction is wanted.
const RANDOM_COMPACTION: u32 = 200;

impl StoreNode {
    /// Returns the Raft node.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the state agreed on.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    fn perform(&mut self, actions: Vec<Action>, effects: &mut Vec<Effect<StoreNode>>) {
        for action in actions {
            effects.push(match action {
                Action::Send(envelope) => Effect::Send {
                    to: envelope.to.address,
                    message: envelope,
                },
                Action::Write { serial, batch } => Effect::Write {
                    serial,
                    write: batch,
                },
                Action::Apply { index, command } => {
                    self.state
                        .apply(index, &Command::decode(&command).expect("readable"));
                    self.applied_index = index;
                    Effect::Observation(Observation::Applied {
                        index,
                        command: hash(&command),
                    })
                }
                Action::Restore { index, state } => {
                    self.state = ControlState::decode(&state).expect("readable");
                    self.applied_index = index;
                    Effect::Observation(Observation::State {
                        index,
                        state: hash(&self.state.encode()),
                    })
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => Effect::Observation(Observation::Completed {
                    request_id,
                    outcome,
                }),
            });
        }
    }
}

impl Process for StoreNode {
    type Message = Envelope;
    type Write = WriteBatch;
    type Disk = StoreDisk;
    type Call = Call;
    type Observation = Observation;

    fn start(
        boot: &BootOptions,
        now: Micros,
        disk: &StoreDisk,
    ) -> (StoreNode, Vec<Effect<StoreNode>>) {
        let (stored, was_quarantined) = disk.open();
        let rng = ChaCha8Rng::seed_from_u64(boot.seed ^ 0x5ea5);
        let (raft, actions) = RaftNode::start(now, boot.raft_config(), stored);
        let mut node = StoreNode {
            raft,
            state: ControlState::default(),
            applied_index: 0,
            rng,
        };
        let mut effects = Vec::new();
        if was_quarantined {
            effects.push(Effect::Observation(Observation::Quarantined));
        }
        node.perform(actions, &mut effects);
        (node, effects)
    }

    fn step(&mut self, now: Micros, input: Input<StoreNode>) -> Vec<Effect<StoreNode>> {
        let event = raft_event(input, |call| match call {
            Call::Propose {
                request_id,
                command,
            } => Event::Propose {
                request_id,
                command,
            },
            Call::StepDown => Event::StepDown,
        });
        let mut effects = Vec::new();
        let actions = self.raft.step(now, event);
        self.perform(actions, &mut effects);
        let is_random = self.rng.gen_ratio(1, RANDOM_COMPACTION);
        let mut compactions = 0;
        while self.raft.should_compact()
            || (is_random && compactions == 0 && self.applied_index > 0)
        {
            compactions += 1;
            assert!(compactions < 3, "a compaction is wanted again and again");
            let state = self.state.encode();
            effects.push(Effect::Observation(Observation::State {
                index: self.applied_index,
                state: hash(&state),
            }));
            let actions = self.raft.step(
                now,
                Event::Compact {
                    index: self.raft.applied_index(),
                    state,
                },
            );
            self.perform(actions, &mut effects);
        }
        effects
    }

    fn next_wake(&self) -> Option<Micros> {
        Some(self.raft.next_wake())
    }

    fn put(disk: &mut StoreDisk, write: WriteBatch) {
        disk.write(&write);
    }

    fn weight(message: &Envelope) -> usize {
        message.message.payload_bytes() + OVERHEAD_BYTES
    }
}

/// Bytes of a message beside what it carries, with those of its packets.
const OVERHEAD_BYTES: usize = 120;

/// What must hold after every step.
#[derive(Default)]
pub(crate) struct StoreChecks {
    pub(crate) leaders: LeadersByTerm,
    commands: BTreeMap<Index, u64>,
    states: HashMap<Index, u64>,
    /// The last entry that was acknowledged, and the highest configuration version.
    pub(crate) acknowledged: Index,
    pub(crate) acknowledged_version: u64,
    /// Versions by request.
    pub(crate) requested: HashMap<u64, u64>,
    pub(crate) completed: BTreeSet<u64>,
    pub(crate) quarantined: u64,
}

impl Observer<StoreNode> for StoreChecks {
    fn observed(&mut self, machine: usize, observation: Observation) {
        match observation {
            Observation::Applied { index, command } => {
                let first = *self.commands.entry(index).or_insert(command);
                assert_eq!(
                    first, command,
                    "machine {machine} applies another command at {index}"
                );
            }
            Observation::State { index, state } => {
                let first = *self.states.entry(index).or_insert(state);
                assert_eq!(
                    first, state,
                    "machine {machine} has another state at {index}"
                );
            }
            Observation::Completed {
                request_id,
                outcome,
            } => {
                self.completed.insert(request_id);
                if let Outcome::Committed { index } = outcome {
                    self.acknowledged = self.acknowledged.max(index);
                    self.acknowledged_version =
                        self.acknowledged_version.max(self.requested[&request_id]);
                }
            }
            Observation::Quarantined => self.quarantined += 1,
        }
    }

    fn after_step(&mut self, machine: usize, node: &StoreNode) {
        let raft = node.raft();
        if raft.role() != Role::Leader {
            return;
        }
        if !self.leaders.contains(raft.term()) {
            let (last, acknowledged) = (raft.last_index(), self.acknowledged);
            assert!(
                last >= acknowledged,
                "machine {machine} leads, its log ends at {last} of {acknowledged}"
            );
        }
        self.leaders.check(machine, raft);
    }
}
