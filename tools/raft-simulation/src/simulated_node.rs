//! A Raft node with a small state machine, as a process of the simulation.

use crate::raft_process::raft_event;
use crate::{BootOptions, Effect, Input, Micros, Process};
use magpieline_raft::{
    Action, Envelope, Event, Index, Outcome, PersistentState, RaftNode, WriteBatch,
};

/// A Raft node with a state machine that keeps the numbers of all commands applied.
pub struct SimulatedNode {
    raft: RaftNode,
    applied: Vec<u64>,
    /// The last command's place in the log.
    applied_index: Index,
    commands_since_snapshot: u64,
}

/// What is done to a node from outside.
pub enum Call {
    /// It is to propose a command.
    Propose {
        /// The command's number.
        request_id: u64,
        /// Bytes that are added to it.
        size: usize,
    },
    /// It is to confirm that it leads.
    Read {
        /// Tells requests apart.
        request_id: u64,
    },
    /// It is to hand its leadership on.
    StepDown,
    /// SIGTERM.
    Leave,
}

/// What a node did.
pub enum Observation {
    /// It applied a command.
    Applied {
        /// How many it had applied before.
        position: usize,
        /// The command's number.
        command: u64,
    },
    /// It took over a snapshot.
    Restored {
        /// The numbers of all commands in it.
        commands: Vec<u64>,
    },
    /// A request is over.
    Completed {
        /// The request.
        request_id: u64,
        /// How it ended.
        outcome: Outcome,
        /// How many commands were applied by then.
        applied: usize,
    },
}

/// A snapshot after so many commands, and so many bytes of padding in some: small logs and large states try more.
const COMMANDS_PER_SNAPSHOT: u64 = 40;
const PADDING_BYTES: usize = 150_000;

impl SimulatedNode {
    /// Returns the Raft node.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the numbers of all commands applied.
    pub fn applied(&self) -> &[u64] {
        &self.applied
    }

    fn perform(&mut self, actions: Vec<Action>, effects: &mut Vec<Effect<SimulatedNode>>) {
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
                    let number = command
                        .first_chunk()
                        .copied()
                        .map(u64::from_le_bytes)
                        .expect("a number");
                    self.applied.push(number);
                    self.applied_index = index;
                    self.commands_since_snapshot += 1;
                    Effect::Observation(Observation::Applied {
                        position: self.applied.len() - 1,
                        command: number,
                    })
                }
                Action::Restore { index, state } => {
                    let (count, state) = state.split_first_chunk().expect("a count");
                    let count = u64::from_le_bytes(*count) as usize;
                    let (numbers, _padding) = state.split_at(8 * count);
                    self.applied = numbers
                        .chunks_exact(8)
                        .map(|number| u64::from_le_bytes(number.try_into().expect("eight")))
                        .collect();
                    self.applied_index = index;
                    self.commands_since_snapshot = 0;
                    Effect::Observation(Observation::Restored {
                        commands: self.applied.clone(),
                    })
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => Effect::Observation(Observation::Completed {
                    request_id,
                    outcome,
                    applied: self.applied.len(),
                }),
            });
        }
    }

    /// Encodes the state for a snapshot.
    fn state(&self) -> Vec<u8> {
        let mut state = (self.applied.len() as u64).to_le_bytes().to_vec();
        state.extend(self.applied.iter().flat_map(|number| number.to_le_bytes()));
        // By its count, so that some are long and some short.
        state.resize(
            state.len()
                + if self.applied.len().is_multiple_of(3) {
                    PADDING_BYTES
                } else {
                    0
                },
            7,
        );
        state
    }
}

impl Process for SimulatedNode {
    type Message = Envelope;
    type Write = WriteBatch;
    type Disk = PersistentState;
    type Call = Call;
    type Observation = Observation;

    fn start(
        boot: &BootOptions,
        now: Micros,
        disk: &PersistentState,
    ) -> (SimulatedNode, Vec<Effect<SimulatedNode>>) {
        let config = boot.raft_config();
        let (raft, actions) = RaftNode::start(now, config, disk.clone());
        let mut node = SimulatedNode {
            raft,
            applied: Vec::new(),
            applied_index: 0,
            commands_since_snapshot: 0,
        };
        let mut effects = Vec::new();
        node.perform(actions, &mut effects);
        (node, effects)
    }

    fn step(&mut self, now: Micros, input: Input<SimulatedNode>) -> Vec<Effect<SimulatedNode>> {
        let event = raft_event(input, |call| match call {
            Call::Propose { request_id, size } => {
                let mut command = request_id.to_le_bytes().to_vec();
                command.resize(8 + size, 0);
                Event::Propose {
                    request_id,
                    command,
                }
            }
            Call::Read { request_id } => Event::Read { request_id },
            Call::StepDown => Event::StepDown,
            Call::Leave => Event::Leave,
        });
        let mut effects = Vec::new();
        let actions = self.raft.step(now, event);
        self.perform(actions, &mut effects);
        if self.commands_since_snapshot >= COMMANDS_PER_SNAPSHOT || self.raft.should_compact() {
            self.commands_since_snapshot = 0;
            let event = Event::Compact {
                index: self.applied_index,
                state: self.state(),
            };
            let actions = self.raft.step(now, event);
            self.perform(actions, &mut effects);
        }
        effects
    }

    fn next_wake(&self) -> Option<Micros> {
        Some(self.raft.next_wake())
    }

    fn put(disk: &mut PersistentState, write: WriteBatch) {
        write.apply(disk);
    }
}
