//! A sorting machine as operators meet it: its core, the records agreed on, and the calls in hand, which it answers as
//! the program's `sorting/control.rs` does.

use crate::{BootOptions, Effect, Input, Micros, Process, MILLI, SECOND};
use magpieline_control_plane::deduplication::{Digest, Witness};
use magpieline_control_plane::state_machine::{self, Command, Kept, Phase, Records};
use magpieline_raft::{
    Action, Config, Envelope, Event, Index, Outcome, PersistentState, RaftNode, WriteBatch,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// For how long an order may be sent again, as the machines' settings say.
pub const RECEIPT: Micros = 5 * SECOND;
/// A call is answered within this, and tried again so much later while nothing was done.
const PATIENCE: Micros = 800 * MILLI;
const AGAIN: Micros = 20 * MILLI;
/// A snapshot after so many commands: small logs try more.
const COMPACT_AFTER: u64 = 40;

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    Replace {
        number: u64,
        text: Arc<str>,
    },
    Read,
    Begin {
        service: &'static str,
        to: String,
        within: u64,
    },
    State {
        service: &'static str,
    },
}

/// What they are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200 to a change.
    Taken,
    /// 409: another document under the number, another rollout under way.
    Refused,
    /// The configuration in force, None: there is none.
    Edition(Option<(u64, Arc<str>)>),
    /// The newest rollout: version, term, how far.
    Rollout(Option<(String, u64, Phase)>),
    /// 307
    Moved(SocketAddrV4),
    /// 503: in force, now or later, or never.
    Unclear,
}

/// What is done to a machine from outside.
pub enum Call {
    /// `day` is the machine's time of day.
    Ask { id: u64, asked: Asked, day: Micros },
    /// If it leads, it has this agreed on.
    Propose(Command),
}

/// What a machine did.
pub enum Observation {
    Answered {
        id: u64,
        answer: Answer,
    },
    Applied {
        index: Index,
        command: Command,
        effect: state_machine::Effect,
    },
    Restored {
        index: Index,
        records: Records,
    },
}

struct PendingCall {
    asked: Asked,
    /// Steady clock and time of day when it came.
    came: (Micros, Micros),
    /// The question to the core, and what is answered where that needs only its word that this machine leads.
    request_id: Option<u64>,
    settled: Option<state_machine::Effect>,
    again_at: Micros,
    /// Whether this machine led when it came.
    led: bool,
}

/// One of them.
pub struct OperatorNode {
    core: RaftNode,
    records: Records,
    witness: Witness,
    calls: BTreeMap<u64, PendingCall>,
    request_ids: u64,
    applied: Index,
    since: u64,
}

impl OperatorNode {
    pub fn core(&self) -> &RaftNode {
        &self.core
    }

    pub fn records(&self) -> &Records {
        &self.records
    }

    fn carry_out(
        &mut self,
        now: Micros,
        actions: Vec<Action>,
        effects: &mut Vec<Effect<OperatorNode>>,
    ) {
        let mut did = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send(envelope) => {
                    effects.push(Effect::Send {
                        to: envelope.to.address,
                        message: envelope,
                    });
                }
                Action::Write { serial, batch } => effects.push(Effect::Write {
                    serial,
                    write: batch,
                }),
                Action::Apply { index, command } => {
                    let command = Command::unpack(&command).expect("as it was packed");
                    let effect = self.records.apply(index, &command);
                    self.witness.applied(now, &self.records);
                    (self.applied, self.since) = (index, self.since + 1);
                    did.insert(index, effect.clone());
                    effects.push(Effect::Observation(Observation::Applied {
                        index,
                        command,
                        effect,
                    }));
                }
                Action::Restore { index, state } => {
                    self.records = Records::unpack(&state).expect("as it was packed");
                    self.witness.applied(now, &self.records);
                    (self.applied, self.since) = (index, 0);
                    effects.push(Effect::Observation(Observation::Restored {
                        index,
                        records: self.records.clone(),
                    }));
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => self.done(now, request_id, outcome, &did, effects),
            }
        }
    }

    fn done(
        &mut self,
        now: Micros,
        request_id: u64,
        outcome: Outcome,
        did: &BTreeMap<Index, state_machine::Effect>,
        effects: &mut Vec<Effect<OperatorNode>>,
    ) {
        let Some((&id, call)) = self
            .calls
            .iter_mut()
            .find(|(_, call)| call.request_id == Some(request_id))
        else {
            return;
        };
        let is_read = matches!(call.asked, Asked::Read | Asked::State { .. });
        let answer = match outcome {
            Outcome::Committed { index } => match &call.asked {
                Asked::Read => Answer::Edition(
                    self.records
                        .edition
                        .as_ref()
                        .map(|k| (k.number, k.text.clone())),
                ),
                Asked::State { service } => {
                    let newest = self
                        .records
                        .services
                        .get(*service)
                        .and_then(|s| s.rollout.as_ref());
                    Answer::Rollout(newest.map(|r| (r.to.clone(), r.within, r.phase)))
                }
                Asked::Replace { .. } | Asked::Begin { .. } => {
                    match call.settled.as_ref().or(did.get(&index)) {
                        Some(effect) if effect.is_taken() => Answer::Taken,
                        Some(_) => Answer::Refused,
                        None => Answer::Unclear,
                    }
                }
            },
            Outcome::LeadershipLost if !is_read && call.settled.is_none() => Answer::Unclear,
            Outcome::NotLeader { .. } | Outcome::Overloaded | Outcome::LeadershipLost => {
                (call.request_id, call.settled, call.again_at) = (None, None, now + AGAIN);
                return;
            }
        };
        self.calls.remove(&id);
        effects.push(Effect::Observation(Observation::Answered { id, answer }));
    }

    /// Looks after the calls in hand: asks the core, sends callers on, or lets them go.
    fn tend(&mut self, now: Micros, effects: &mut Vec<Effect<OperatorNode>>) {
        let due = |call: &PendingCall| match call.request_id {
            Some(_) => now >= call.came.0 + PATIENCE,
            None => now >= call.again_at,
        };
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| due(call))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let call = &self.calls[&id];
            let elsewhere = self
                .core
                .leader()
                .filter(|leader| *leader != self.core.id().address);
            let over = now >= call.came.0 + PATIENCE;
            let answer = match elsewhere {
                _ if call.request_id.is_some() => Answer::Unclear,
                _ if matches!(call.asked, Asked::Begin { .. })
                    && !call.led
                    && self.core.holds_lease(now) =>
                {
                    Answer::Unclear
                }
                _ if !over && self.core.holds_lease(now) => {
                    self.ask(now, id, effects);
                    continue;
                }
                Some(leader) => Answer::Moved(leader),
                None if over => Answer::Unclear,
                None => {
                    self.calls.get_mut(&id).expect("in hand").again_at = now + AGAIN;
                    continue;
                }
            };
            self.calls.remove(&id);
            effects.push(Effect::Observation(Observation::Answered { id, answer }));
        }
    }

    fn ask(&mut self, now: Micros, id: u64, effects: &mut Vec<Effect<OperatorNode>>) {
        self.request_ids += 1;
        let request_id = self.request_ids;
        let call = self.calls.get_mut(&id).expect("in hand");
        call.request_id = Some(request_id);
        let proposal = match &call.asked {
            Asked::Read | Asked::State { .. } => None,
            Asked::Replace { number, text } => {
                call.settled = self.records.settled(*number, &Digest::of(text));
                let kept = Kept {
                    number: *number,
                    text: text.clone(),
                };
                call.settled.is_none().then_some(Command::Replace(kept))
            }
            Asked::Begin {
                service,
                to,
                within,
            } => {
                let proposal =
                    self.witness
                        .look(&self.records, call.came, (service, to, *within), RECEIPT);
                call.settled = proposal.is_none().then_some(state_machine::Effect::Again);
                proposal
            }
        };
        let event = match proposal {
            Some(command) => Event::Propose {
                request_id,
                command: command.pack(),
            },
            None => Event::Read { request_id },
        };
        let actions = self.core.step(now, event);
        self.carry_out(now, actions, effects);
    }
}

impl Process for OperatorNode {
    type Message = Envelope;
    type Write = WriteBatch;
    type Disk = PersistentState;
    type Call = Call;
    type Observation = Observation;

    fn start(
        boot: &BootOptions,
        now: Micros,
        disk: &PersistentState,
    ) -> (OperatorNode, Vec<Effect<OperatorNode>>) {
        let BootOptions {
            address,
            seeds,
            first_run,
            seed,
            day,
            tolerated_failures,
            recovery_interval,
        } = boot.clone();
        let (core, actions) = RaftNode::start(
            now,
            Config {
                address,
                seeds,
                first_run,
                seed,
                tolerated_failures,
                recovery_interval,
            },
            disk.clone(),
        );
        let mut desk = OperatorNode {
            core,
            records: Records::default(),
            witness: Witness::new(now, day),
            calls: BTreeMap::new(),
            request_ids: 0,
            applied: 0,
            since: 0,
        };
        let mut effects = Vec::new();
        desk.carry_out(now, actions, &mut effects);
        (desk, effects)
    }

    fn step(&mut self, now: Micros, input: Input<OperatorNode>) -> Vec<Effect<OperatorNode>> {
        let mut effects = Vec::new();
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(envelope) => Event::Receive(envelope),
            Input::Synced(serial) => Event::Persisted { serial },
            Input::Refused(serial) => Event::WriteFailed { serial },
            Input::Call(Call::Propose(command)) => Event::Propose {
                request_id: 0,
                command: command.pack(),
            },
            Input::Call(Call::Ask { id, asked, day }) => {
                let call = PendingCall {
                    asked,
                    came: (now, day),
                    request_id: None,
                    settled: None,
                    again_at: now,
                    led: self.core.holds_lease(now),
                };
                self.calls.insert(id, call);
                Event::Tick
            }
        };
        let actions = self.core.step(now, event);
        self.carry_out(now, actions, &mut effects);
        if self.since >= COMPACT_AFTER || self.core.should_compact() {
            self.since = 0;
            let event = Event::Compact {
                index: self.applied,
                state: self.records.pack(),
            };
            let actions = self.core.step(now, event);
            self.carry_out(now, actions, &mut effects);
        }
        self.tend(now, &mut effects);
        effects
    }

    fn next_wake(&self) -> Option<Micros> {
        let due = |call: &PendingCall| match call.request_id {
            Some(_) => call.came.0 + PATIENCE,
            None => call.again_at,
        };
        let calls = self.calls.values().map(due).min();
        Some(calls.map_or(self.core.next_wake(), |due| due.min(self.core.next_wake())))
    }

    fn put(disk: &mut PersistentState, write: WriteBatch) {
        write.apply(disk);
    }
}
