//! What the controllers do, checked after every step.

use crate::operator_node::{Observation, OperatorNode, OperatorResponse};
use crate::{Micros, Observer};
use magpieline_control_plane::digest::Digest;
use magpieline_control_plane::state_machine::{Command, ControlState, Effect};
use magpieline_raft::Index;
use std::collections::BTreeMap;

/// What the controllers did, checked as they do it: all apply the same commands to the same effect, and restore the same
/// states.
#[derive(Default)]
pub(super) struct Checks {
    pub(super) now: Micros,
    /// By place in the log: command, effect, when it was first applied.
    pub(super) log: BTreeMap<Index, (Command, Effect, Micros)>,
    pub(super) reference: ControlState,
    /// The reference's digest after each place.
    pub(super) states: BTreeMap<Index, Digest>,
    pub(super) responses: Vec<(u64, OperatorResponse)>,
}

fn digest(state: &ControlState) -> Digest {
    Digest::of(&format!("{state:?}"))
}

impl Observer<OperatorNode> for Checks {
    fn observed(&mut self, machine: usize, observation: Observation) {
        match observation {
            Observation::Responded { id, response } => self.responses.push((id, response)),
            Observation::Applied {
                index,
                command,
                effect,
            } => match self.log.get(&index) {
                Some((c, e, _)) => {
                    assert_eq!(
                        (c, e),
                        (&command, &effect),
                        "controller {machine} differs at {index}"
                    );
                }
                None => {
                    let last = self.log.last_key_value().map_or(0, |(last, _)| *last);
                    assert!(
                        last < index,
                        "controller {machine} applies {index} after {last}"
                    );
                    let expected = self.reference.apply(index, &command);
                    assert_eq!(effect, expected, "controller {machine} at {index}");
                    self.states.insert(index, digest(&self.reference));
                    self.log.insert(index, (command, effect, self.now));
                }
            },
            Observation::Restored { index, state } => {
                let known = self
                    .states
                    .get(&index)
                    .unwrap_or_else(|| panic!("{index} was never applied"));
                assert_eq!(
                    *known,
                    digest(&state),
                    "controller {machine}'s snapshot at {index}"
                );
            }
        }
    }
}
