//! A controller as operators meet it: its Raft node, the state agreed on, and the calls in progress, which it answers as the
//! gateway's `controller/operator_api.rs` does.

use crate::raft_process::raft_event;
use crate::{BootOptions, Effect, Input, Micros, Process, MILLI, SECOND};
use magpieline_control_plane::deduplication::{
    AcceptanceClock, Arrival, OrderContent, OrderIdentity,
};
use magpieline_control_plane::digest::Digest;
use magpieline_control_plane::state_machine::{self, Command, ControlState, Phase, StoredConfig};
use magpieline_raft::{
    Action, Envelope, Event, Index, Outcome, PersistentState, RaftNode, WriteBatch,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// How long an order may be repeated, as the settings say.
pub(crate) const RECEIPT: Micros = 5 * SECOND;
/// A call is answered within this,
const CALL_TIMEOUT: Micros = 800 * MILLI;
/// and submitted again so much later while nothing was done.
const RETRY_INTERVAL: Micros = 20 * MILLI;
/// A snapshot after so many commands: small logs try more.
const COMMANDS_PER_SNAPSHOT: u64 = 40;
/// A leader looks so often whether ages of orders are to be recorded.
const AGE_CHECK_INTERVAL: Micros = 150 * MILLI;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Replaces the configuration.
    ReplaceConfig {
        /// The version of the new one.
        version: u64,
        /// Its text.
        text: Arc<str>,
    },
    /// Reads the configuration.
    ReadConfig,
    /// Begins a rollout.
    BeginRollout {
        /// The service.
        service: &'static str,
        /// The version that it is to run.
        target_version: String,
        /// The time that it may take.
        within: u64,
    },
    /// Reads a service's newest rollout.
    ReadRollout {
        /// The service.
        service: &'static str,
    },
}

impl OperatorRequest {
    fn is_read(&self) -> bool {
        matches!(
            self,
            OperatorRequest::ReadConfig | OperatorRequest::ReadRollout { .. }
        )
    }
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// 200 to a change.
    Accepted,
    /// 409: another document under the version, another rollout in progress.
    Conflict,
    /// The configuration in force; none: there is none.
    Config(Option<(u64, Arc<str>)>),
    /// The newest rollout: target version, time that it may take, phase.
    Rollout(Option<(String, u64, Phase)>),
    /// 307.
    Redirect(SocketAddrV4),
    /// 503: in force, now or later, or never.
    Unavailable,
    /// 503: an order that may be a copy of an earlier one; nothing was done.
    NotKnownYet,
}

/// What is done to a controller from outside.
pub enum Call {
    /// An operator's request arrives.
    Request {
        /// Tells requests apart.
        id: u64,
        /// The request.
        request: OperatorRequest,
        /// The controller's time of day.
        time_of_day: Micros,
    },
    /// If it leads, it proposes this.
    Propose(Command),
}

/// What a controller did.
pub enum Observation {
    /// It responded.
    Responded {
        /// The request's id.
        id: u64,
        /// The response.
        response: OperatorResponse,
    },
    /// It applied a command.
    Applied {
        /// The command's place in the log.
        index: Index,
        /// The command.
        command: Command,
        /// What it did.
        effect: state_machine::Effect,
    },
    /// It took over a snapshot.
    Restored {
        /// The snapshot's place in the log.
        index: Index,
        /// The state.
        state: ControlState,
    },
}

/// A request that has no response yet.
struct PendingCall {
    request: OperatorRequest,
    arrival: Arrival,
    /// The request to the Raft node, once it was submitted.
    request_id: Option<u64>,
    /// The outcome, where only the node's word that this controller leads is missing.
    known_outcome: Option<state_machine::Effect>,
    retry_at: Micros,
    /// Whether this controller led when the request arrived.
    was_leading: bool,
}

impl PendingCall {
    fn is_timed_out(&self, now: Micros) -> bool {
        now >= self.arrival.at + CALL_TIMEOUT
    }

    /// When something is to be done about it.
    fn due_at(&self) -> Micros {
        match self.request_id {
            Some(_) => self.arrival.at + CALL_TIMEOUT,
            None => self.retry_at,
        }
    }
}

/// What becomes of a pending call.
enum NextStep {
    Respond(OperatorResponse),
    Submit,
    Wait,
}

type Effects = Vec<Effect<OperatorNode>>;

/// A controller.
pub struct OperatorNode {
    raft: RaftNode,
    state: ControlState,
    acceptance_clock: AcceptanceClock,
    calls: BTreeMap<u64, PendingCall>,
    last_request_id: u64,
    applied_index: Index,
    commands_since_snapshot: u64,
    /// When it is looked next whether ages of orders are to be recorded.
    age_check_at: Micros,
}

impl OperatorNode {
    /// Returns the Raft node.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the state agreed on.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    fn step_raft(&mut self, now: Micros, event: Event, effects: &mut Effects) {
        let actions = self.raft.step(now, event);
        self.perform(now, actions, effects);
    }

    fn perform(&mut self, now: Micros, actions: Vec<Action>, effects: &mut Effects) {
        let mut applied = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send(envelope) => effects.push(Effect::Send {
                    to: envelope.to.address,
                    message: envelope,
                }),
                Action::Write { serial, batch } => effects.push(Effect::Write {
                    serial,
                    write: batch,
                }),
                Action::Apply { index, command } => {
                    let command = Command::decode(&command).expect("encoded here");
                    let effect = self.apply(now, index, &command);
                    applied.insert(index, effect.clone());
                    effects.push(Effect::Observation(Observation::Applied {
                        index,
                        command,
                        effect,
                    }));
                }
                Action::Restore { index, state } => {
                    self.restore(now, index, &state);
                    let state = self.state.clone();
                    effects.push(Effect::Observation(Observation::Restored { index, state }));
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => self.on_complete(now, request_id, &outcome, &applied, effects),
            }
        }
    }

    fn apply(&mut self, now: Micros, index: Index, command: &Command) -> state_machine::Effect {
        let effect = self.state.apply(index, command);
        self.acceptance_clock.on_state_change(now, &self.state);
        self.applied_index = index;
        self.commands_since_snapshot += 1;
        effect
    }

    fn restore(&mut self, now: Micros, index: Index, state: &[u8]) {
        self.state = ControlState::decode(state).expect("encoded here");
        self.acceptance_clock.on_state_change(now, &self.state);
        self.applied_index = index;
        self.commands_since_snapshot = 0;
    }

    /// The Raft node has completed a request. `applied`: what was applied with it.
    fn on_complete(
        &mut self,
        now: Micros,
        request_id: u64,
        outcome: &Outcome,
        applied: &BTreeMap<Index, state_machine::Effect>,
        effects: &mut Effects,
    ) {
        let is_its = |call: &PendingCall| call.request_id == Some(request_id);
        let Some((&id, call)) = self.calls.iter_mut().find(|(_, call)| is_its(call)) else {
            return;
        };
        let response = match outcome {
            Outcome::Committed { index } => {
                let effect = call.known_outcome.as_ref().or(applied.get(index));
                if effect == Some(&state_machine::Effect::Overtaken) {
                    call.request_id = None;
                    call.retry_at = now;
                    return;
                }
                response(&self.state, &call.request, effect)
            }
            Outcome::LeadershipLost if !call.request.is_read() && call.known_outcome.is_none() => {
                OperatorResponse::Unavailable
            }
            Outcome::NotLeader { .. } | Outcome::Overloaded | Outcome::LeadershipLost => {
                call.request_id = None;
                call.known_outcome = None;
                call.retry_at = now + RETRY_INTERVAL;
                return;
            }
        };
        self.respond(id, response, effects);
    }

    fn respond(&mut self, id: u64, response: OperatorResponse, effects: &mut Effects) {
        self.calls.remove(&id);
        effects.push(Effect::Observation(Observation::Responded { id, response }));
    }

    /// Looks after the calls in progress: submits them, redirects callers, or gives them up.
    fn serve_calls(&mut self, now: Micros, effects: &mut Effects) {
        let due = self.calls.iter().filter(|(_, call)| now >= call.due_at());
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            match self.next_step(now, &self.calls[&id]) {
                NextStep::Submit => self.submit(now, id, effects),
                NextStep::Respond(response) => self.respond(id, response, effects),
                NextStep::Wait => {
                    let call = self.calls.get_mut(&id).expect("in progress");
                    call.retry_at = now + RETRY_INTERVAL;
                }
            }
        }
    }

    fn next_step(&self, now: Micros, call: &PendingCall) -> NextStep {
        if call.request_id.is_some() {
            return NextStep::Respond(OperatorResponse::Unavailable);
        }
        let holds_lease = self.raft.holds_lease(now);
        let begins_rollout = matches!(call.request, OperatorRequest::BeginRollout { .. });
        if begins_rollout && !call.was_leading && holds_lease {
            return NextStep::Respond(OperatorResponse::Unavailable);
        }
        if !call.is_timed_out(now) && holds_lease {
            return NextStep::Submit;
        }
        let own = self.raft.id().address;
        match self.raft.leader().filter(|leader| *leader != own) {
            Some(leader) => NextStep::Respond(OperatorResponse::Redirect(leader)),
            None if call.is_timed_out(now) => NextStep::Respond(OperatorResponse::Unavailable),
            None => NextStep::Wait,
        }
    }

    fn submit(&mut self, now: Micros, id: u64, effects: &mut Effects) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let call = self.calls.get_mut(&id).expect("in progress");
        call.request_id = Some(request_id);
        let command = match &call.request {
            OperatorRequest::ReadConfig | OperatorRequest::ReadRollout { .. } => None,
            OperatorRequest::ReplaceConfig { version, text } => {
                call.known_outcome = self.state.known_outcome(*version, &Digest::of(text));
                let config = StoredConfig {
                    version: *version,
                    text: text.clone(),
                };
                call.known_outcome
                    .is_none()
                    .then_some(Command::ReplaceConfig(config))
            }
            OperatorRequest::BeginRollout {
                service,
                target_version,
                within,
            } => {
                let content = OrderContent {
                    service,
                    target_version,
                    within: *within,
                };
                let clock = &mut self.acceptance_clock;
                match clock.identify(&self.state, call.arrival, content, RECEIPT) {
                    OrderIdentity::Known(command) => Some(command),
                    OrderIdentity::Unclear { .. } => {
                        return self.respond(id, OperatorResponse::NotKnownYet, effects);
                    }
                }
            }
        };
        let event = match command {
            Some(command) => Event::Propose {
                request_id,
                command: command.encode(),
            },
            None => Event::Read { request_id },
        };
        self.step_raft(now, event, effects);
    }

    /// Records the ages of orders while it leads, as the gateway's `controller/rollout_controller.rs` does.
    fn record_order_ages(&mut self, now: Micros, effects: &mut Effects) {
        if now < self.age_check_at {
            return;
        }
        self.age_check_at = now + AGE_CHECK_INTERVAL;
        if !self.raft.holds_lease(now) {
            return;
        }
        let command = self
            .acceptance_clock
            .ages_to_record(now, &self.state, RECEIPT);
        if let Some(command) = command {
            let event = Event::Propose {
                request_id: 0,
                command: command.encode(),
            };
            self.step_raft(now, event, effects);
        }
    }

    fn compact(&mut self, now: Micros, effects: &mut Effects) {
        self.commands_since_snapshot = 0;
        let event = Event::Compact {
            index: self.applied_index,
            state: self.state.encode(),
        };
        self.step_raft(now, event, effects);
    }
}

/// Returns the response to a request that is committed; `effect`: what its command did.
fn response(
    state: &ControlState,
    request: &OperatorRequest,
    effect: Option<&state_machine::Effect>,
) -> OperatorResponse {
    match request {
        OperatorRequest::ReadConfig => {
            let config = state.config.as_ref();
            OperatorResponse::Config(config.map(|config| (config.version, config.text.clone())))
        }
        OperatorRequest::ReadRollout { service } => {
            let service = state.services.get(*service);
            let newest = service.and_then(|service| service.rollout.as_ref());
            let rollout = newest.map(|r| (r.target_version.clone(), r.within, r.phase));
            OperatorResponse::Rollout(rollout)
        }
        OperatorRequest::ReplaceConfig { .. } | OperatorRequest::BeginRollout { .. } => {
            match effect {
                Some(effect) if effect.is_accepted() => OperatorResponse::Accepted,
                Some(_) => OperatorResponse::Conflict,
                None => OperatorResponse::Unavailable,
            }
        }
    }
}

impl Process for OperatorNode {
    type Message = Envelope;
    type Write = WriteBatch;
    type Disk = PersistentState;
    type Call = Call;
    type Observation = Observation;

    fn start(boot: &BootOptions, now: Micros, disk: &PersistentState) -> (OperatorNode, Effects) {
        let (raft, actions) = RaftNode::start(now, boot.raft_config(), disk.clone());
        let mut node = OperatorNode {
            raft,
            state: ControlState::default(),
            acceptance_clock: AcceptanceClock::default(),
            calls: BTreeMap::new(),
            last_request_id: 0,
            applied_index: 0,
            commands_since_snapshot: 0,
            age_check_at: now,
        };
        let mut effects = Vec::new();
        node.perform(now, actions, &mut effects);
        (node, effects)
    }

    fn step(&mut self, now: Micros, input: Input<OperatorNode>) -> Effects {
        let mut effects = Vec::new();
        let event = raft_event(input, |call| match call {
            Call::Propose(command) => Event::Propose {
                request_id: 0,
                command: command.encode(),
            },
            Call::Request {
                id,
                request,
                time_of_day,
            } => {
                let call = PendingCall {
                    request,
                    arrival: Arrival {
                        at: now,
                        time_of_day,
                    },
                    request_id: None,
                    known_outcome: None,
                    retry_at: now,
                    was_leading: self.raft.holds_lease(now),
                };
                self.calls.insert(id, call);
                Event::Tick
            }
        });
        self.step_raft(now, event, &mut effects);
        if self.commands_since_snapshot >= COMMANDS_PER_SNAPSHOT || self.raft.should_compact() {
            self.compact(now, &mut effects);
        }
        self.record_order_ages(now, &mut effects);
        self.serve_calls(now, &mut effects);
        effects
    }

    fn next_wake(&self) -> Option<Micros> {
        let raft = self.raft.next_wake();
        let calls = self.calls.values().map(PendingCall::due_at).min();
        Some(calls.map_or(raft, |calls| calls.min(raft)))
    }

    fn put(disk: &mut PersistentState, write: WriteBatch) {
        write.apply(disk);
    }
}
