//! Drives the Raft node: it gets events from connections, the disk and the clock, and its actions are carried out. One task
//! owns the node; the rest of the program asks it by messages ([`RaftHandle`]).

use super::leader_redirect::LeaderView;
use super::Controller;
use crate::clock::{self, now, Micros};
use crate::net;
use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::codec::DecodeError;
use magpieline_control_plane::messages::{encode_frame, ConnectionPurpose};
use magpieline_control_plane::state_machine::{Command, ControlState, Effect};
use magpieline_raft::{
    Action, Config, Envelope, Event, NodeId, Outcome, PeerStatus, PersistentState, RaftNode, Role,
    WriteBatch, MAX_VOTERS,
};
use magpieline_raft_store::{is_quarantined, DiskDirectory, Remedy, Store, StoreError};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::{mpsc as threads, Arc, Mutex, MutexGuard};
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, oneshot, Notify};

/// Requests that may wait for the node; more are refused, or lost as on a network.
const MAX_QUEUED_REQUESTS: usize = 1024;
/// Messages that may wait for one other controller; more are lost as on a network.
const MAX_QUEUED_MESSAGES: usize = 64;
/// A connection to another controller is up within this, or its messages are lost.
const CONNECT_TIMEOUT: Micros = 300_000;
/// After a connection that did not come up nothing is tried for so long.
const RECONNECT_INTERVAL: Micros = 100_000;
/// How often a process that stops checks whether it may: a small part of the shortest stop (some 100 ms).
const DEPARTURE_CHECK_INTERVAL: Micros = 20_000;
/// Who was heard to lead is named to others for so long: a voter looks for another leader by then, a node that does not vote
/// has nothing else to go by.
const LEADER_KNOWN_FOR: Micros = 1_000_000;

/// Why a command was not committed, or a read not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Another controller leads, or none, or too much is asked: nothing was done.
    NotAccepted,
    /// A command may be committed or not.
    OutcomeUnknown,
}

/// The state of the Raft node, as the rest of the program sees it.
#[derive(Clone, Debug)]
pub struct RaftStatus {
    /// This node.
    pub id: NodeId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// Who leads, if heard recently.
    pub leader: Option<SocketAddrV4>,
    /// The voters.
    pub voters: Vec<NodeId>,
    /// The nodes that catch up.
    pub learners: Vec<NodeId>,
    /// The last committed entry.
    pub commit_index: u64,
    /// The last applied entry.
    pub applied_index: u64,
    /// The last entry on disk.
    pub durable_index: u64,
    /// The disk refuses writes, or hangs.
    pub is_disk_degraded: bool,
    /// The other nodes, as a leader sees them.
    pub peers: Vec<PeerStatus>,
    /// It was told to stop, and is no longer needed.
    pub has_left: bool,
    /// It leads, and nobody else can before this time.
    lease_expires_at: Option<Micros>,
    /// Since when nobody is known to lead.
    leaderless_since: Option<Micros>,
}

impl RaftStatus {
    fn of(node: &RaftNode) -> RaftStatus {
        let now = now();
        let leader = node
            .leader()
            .filter(|_| node.has_recent_leader(now, LEADER_KNOWN_FOR));
        RaftStatus {
            id: node.id(),
            role: node.role(),
            term: node.term(),
            leader,
            voters: node.voters().to_vec(),
            learners: node.learners(),
            commit_index: node.commit_index(),
            applied_index: node.applied_index(),
            durable_index: node.durable_index(),
            is_disk_degraded: node.is_disk_degraded(),
            peers: node.peers(),
            has_left: node.has_left(),
            lease_expires_at: node.lease_expires_at(),
            leaderless_since: leader.is_none().then_some(now),
        }
    }

    /// Returns the term in which this node leads.
    fn leading_term(&self) -> Option<u64> {
        (self.role == Role::Leader).then_some(self.term)
    }

    fn leader_view(&self) -> LeaderView {
        let has_lease = self
            .lease_expires_at
            .is_some_and(|expires_at| now() < expires_at);
        LeaderView {
            holds_lease: self.leading_term().is_some() && has_lease,
            other_leader: self.leader.filter(|leader| *leader != self.id.address),
            leaderless_since: self.leaderless_since,
        }
    }
}

/// Why the driver stopped.
#[derive(Debug)]
pub enum StopReason {
    /// Nobody is left who asks.
    Shutdown,
    /// The store does not add up any more.
    Store(StoreError),
    /// The committed entry at this index can't be decoded here. To go on without it would be to go on as another state machine
    /// than the other controllers.
    Undecodable(u64, DecodeError),
}

/// What became of a request; for a proposal also what its command did when it was applied at its own index.
struct Completion {
    outcome: Outcome,
    effect: Option<Effect>,
}

/// What the driver is asked.
enum Request {
    StoreFailed(StoreError),
    Event(Event),
    Propose(Vec<u8>, oneshot::Sender<Completion>),
    Read(oneshot::Sender<Completion>),
}

/// The Raft node, as the rest of the program asks it.
pub struct RaftHandle {
    requests: mpsc::Sender<Request>,
    status: Mutex<RaftStatus>,
    /// Notified when the role, the term or the leader changes.
    leader_changed: Notify,
}

/// Drives the Raft node; becomes a task.
pub struct RaftDriver {
    node: RaftNode,
    first_actions: Vec<Action>,
    requests: mpsc::Receiver<Request>,
    writes: threads::Sender<(u64, WriteBatch)>,
}

/// Reads the store in `dir` and prepares the node; nothing runs before the driver does.
///
/// # Errors
///
/// If the store can't be had.
pub fn open(
    settings: &NodeSettings,
    dir: &Path,
    seed: u64,
) -> Result<(RaftHandle, RaftDriver), StoreError> {
    let mut store = Store::open(dir)?;
    let stored = store.load()?;
    let config = raft_config(settings, dir, seed)?;
    let note = if stored.hard_state.is_none() {
        ", empty"
    } else {
        ""
    };
    tracing::info!(target: "raft", "Store loaded: {} entries{note}.", stored.entries.len());
    Ok(start(config, stored, store))
}

fn raft_config(settings: &NodeSettings, dir: &Path, seed: u64) -> Result<Config, StoreError> {
    let port = settings.agent_ports.0;
    // How many machines are in a zone isn't known here: then as many vote as can.
    let tolerated_failures = if settings.tolerated_areas > 0 {
        MAX_VOTERS / 2
    } else {
        settings.tolerated_machines as usize
    };
    Ok(Config {
        address: SocketAddrV4::new(settings.ip, port),
        seeds: settings.controllers_at(port),
        // A node whose store was quarantined has been here before, even if its settings are those of its first start.
        first_run: settings.first_run && !is_quarantined(&DiskDirectory::at(dir))?,
        seed,
        tolerated_failures,
        recovery_interval: settings.guarantees.catch_up,
    })
}

fn start(config: Config, stored: PersistentState, store: Store) -> (RaftHandle, RaftDriver) {
    let (node, first_actions) = RaftNode::start(now(), config, stored);
    let (requests, received) = mpsc::channel(MAX_QUEUED_REQUESTS);
    let (writes, to_write) = threads::channel();
    let answers = requests.clone();
    // The disk may hang for seconds: it has a thread of its own.
    std::thread::spawn(move || write_batches(store, &to_write, &answers));
    let status = Mutex::new(RaftStatus::of(&node));
    let handle = RaftHandle {
        requests,
        status,
        leader_changed: Notify::new(),
    };
    (
        handle,
        RaftDriver {
            node,
            first_actions,
            requests: received,
            writes,
        },
    )
}

/// Writes batches to the store until the driver ends.
fn write_batches(
    mut store: Store,
    batches: &threads::Receiver<(u64, WriteBatch)>,
    answers: &mpsc::Sender<Request>,
) {
    while let Ok((serial, batch)) = batches.recv() {
        let answer = match store.write(&batch) {
            Ok(()) => Request::Event(Event::Persisted { serial }),
            Err(error) if error.remedy() == Remedy::Retry => {
                tracing::warn!(target: "raft", "The disk refused a write: {error}.");
                Request::Event(Event::WriteFailed { serial })
            }
            Err(error) => Request::StoreFailed(error),
        };
        if answers.blocking_send(answer).is_err() {
            return;
        }
    }
}

impl RaftHandle {
    fn lock_status(&self) -> MutexGuard<'_, RaftStatus> {
        self.status
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the node's state.
    pub fn status(&self) -> RaftStatus {
        self.lock_status().clone()
    }

    /// Returns the term in which this node leads, whether a majority has confirmed that recently or not.
    pub fn leading_term(&self) -> Option<u64> {
        self.lock_status().leading_term()
    }

    /// Returns the term in which this node leads while nobody else can: it holds the lease.
    pub fn lease_term(&self) -> Option<u64> {
        let status = self.lock_status();
        status
            .leading_term()
            .filter(|_| status.leader_view().holds_lease)
    }

    /// Whether this node leads and nobody else can at this moment.
    pub fn holds_lease(&self) -> bool {
        self.lease_term().is_some()
    }

    /// Returns what is known here of who leads.
    pub fn leader_view(&self) -> LeaderView {
        self.lock_status().leader_view()
    }

    /// Waits until the leader may have changed, or until `deadline`.
    pub async fn leader_changed(&self, deadline: Micros) {
        let left = clock::duration(deadline.saturating_sub(now()));
        let _ = tokio::time::timeout(left, self.leader_changed.notified()).await;
    }

    /// Returns who leads, as far as known here.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        self.lock_status().leader
    }

    /// Returns the node's term.
    pub fn term(&self) -> u64 {
        self.lock_status().term
    }

    /// Returns the addresses of all voters.
    pub fn voters(&self) -> Vec<SocketAddrV4> {
        self.lock_status()
            .voters
            .iter()
            .map(|voter| voter.address)
            .collect()
    }

    /// Proposes an encoded command. Returns what it did, once it is committed and applied here.
    ///
    /// # Errors
    ///
    /// If it was not accepted, or what became of it is unknown.
    pub async fn propose(&self, encoded_command: Vec<u8>) -> Result<Effect, RequestError> {
        let completion = self
            .request(|sender| Request::Propose(encoded_command, sender))
            .await?;
        // Committed, and what it did is unknown: that is no answer.
        completion.effect.ok_or(RequestError::OutcomeUnknown)
    }

    /// Waits until all that was acknowledged before now is applied here; only the leader can tell.
    ///
    /// # Errors
    ///
    /// If this node does not lead.
    pub async fn read_barrier(&self) -> Result<(), RequestError> {
        self.request(Request::Read).await.map(drop)
    }

    /// Asks the node, and waits until it has done what it was asked.
    async fn request(
        &self,
        request: impl FnOnce(oneshot::Sender<Completion>) -> Request,
    ) -> Result<Completion, RequestError> {
        let (sender, completion) = oneshot::channel();
        self.requests
            .try_send(request(sender))
            .map_err(|_| RequestError::NotAccepted)?;
        let completion = completion.await.map_err(|_| RequestError::OutcomeUnknown)?;
        check(completion.outcome)?;
        Ok(completion)
    }

    /// Takes in a message from another controller; it is lost where too much waits.
    pub fn receive(&self, envelope: Envelope) {
        let _ = self
            .requests
            .try_send(Request::Event(Event::Receive(envelope)));
    }

    /// Prepares to stop: returns once this node is no longer needed, or at `deadline`.
    pub async fn leave(&self, deadline: Micros) {
        let _ = self.requests.send(Request::Event(Event::Leave)).await;
        while !self.lock_status().has_left && now() < deadline {
            clock::sleep(DEPARTURE_CHECK_INTERVAL).await;
        }
    }
}

fn check(outcome: Outcome) -> Result<(), RequestError> {
    match outcome {
        Outcome::Committed { .. } => Ok(()),
        Outcome::NotLeader { .. } | Outcome::Overloaded => Err(RequestError::NotAccepted),
        Outcome::LeadershipLost => Err(RequestError::OutcomeUnknown),
    }
}

/// The requests that wait for the node, by id.
#[derive(Default)]
struct PendingRequests {
    senders: HashMap<u64, oneshot::Sender<Completion>>,
    last_id: u64,
}

impl PendingRequests {
    fn add(&mut self, sender: oneshot::Sender<Completion>) -> u64 {
        self.last_id += 1;
        self.senders.insert(self.last_id, sender);
        self.last_id
    }

    fn complete(&mut self, request_id: u64, completion: Completion) {
        if let Some(sender) = self.senders.remove(&request_id) {
            let _ = sender.send(completion);
        }
    }
}

/// Connections to the other controllers, by address.
#[derive(Default)]
struct PeerConnections(HashMap<SocketAddrV4, mpsc::Sender<Envelope>>);

impl PeerConnections {
    /// Queues a message; it is lost where too many wait.
    fn send(&mut self, own_address: SocketAddrV4, envelope: Envelope) {
        let to = envelope.to.address;
        let queue = self.0.entry(to).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
            tokio::spawn(send_messages(own_address, to, messages));
            queue
        });
        let _ = queue.try_send(envelope);
    }
}

impl RaftDriver {
    /// Drives the node until it can't go on.
    ///
    /// If an entry can't be decoded, nothing of that step is carried out: so a leader never acknowledges such an entry.
    pub async fn run(mut self, controller: Arc<Controller>) -> StopReason {
        let mut peers = PeerConnections::default();
        let mut pending = PendingRequests::default();
        let mut actions = std::mem::take(&mut self.first_actions);
        loop {
            let decoded = match DecodedAction::decode_all(&actions) {
                Ok(decoded) => decoded,
                Err(reason) => return reason,
            };
            self.carry_out(actions, decoded, &controller, &mut peers, &mut pending);
            self.publish_status(&controller);
            let event = match self.next_event(&controller, &mut pending).await {
                Ok(event) => event,
                Err(reason) => return reason,
            };
            actions = self.node.step(now(), event);
        }
    }

    fn carry_out(
        &self,
        actions: Vec<Action>,
        mut decoded: VecDeque<DecodedAction>,
        controller: &Controller,
        peers: &mut PeerConnections,
        pending: &mut PendingRequests,
    ) {
        // By log index. A proposal is completed in the same step as it is applied in.
        let mut effects: HashMap<u64, Effect> = HashMap::new();
        for action in actions {
            match action {
                Action::Send(envelope) => peers.send(self.node.id().address, envelope),
                Action::Write { serial, batch } => {
                    // The thread ends with the process only.
                    let _ = self.writes.send((serial, batch));
                }
                Action::Apply { index, .. } => {
                    if let Some(DecodedAction::Apply(command)) = decoded.pop_front() {
                        effects.insert(index, controller.apply(index, &command));
                    }
                }
                Action::Restore { .. } => {
                    if let Some(DecodedAction::Restore(state)) = decoded.pop_front() {
                        controller.restore(state);
                    }
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => {
                    let effect = match outcome {
                        Outcome::Committed { index } => effects.get(&index).cloned(),
                        _ => None,
                    };
                    pending.complete(request_id, Completion { outcome, effect });
                }
            }
        }
    }

    async fn next_event(
        &mut self,
        controller: &Controller,
        pending: &mut PendingRequests,
    ) -> Result<Event, StopReason> {
        if self.node.should_compact() {
            let state = controller.state().control.encode();
            return Ok(Event::Compact {
                index: self.node.applied_index(),
                state,
            });
        }
        let wake = self.node.next_wake();
        let request = tokio::select! {
            request = self.requests.recv() => request,
            () = clock::sleep_until(wake) => return Ok(Event::Tick),
        };
        match request {
            None => Err(StopReason::Shutdown),
            Some(Request::StoreFailed(error)) => Err(StopReason::Store(error)),
            Some(Request::Event(event)) => Ok(event),
            Some(Request::Propose(command, sender)) => Ok(Event::Propose {
                request_id: pending.add(sender),
                command,
            }),
            Some(Request::Read(sender)) => Ok(Event::Read {
                request_id: pending.add(sender),
            }),
        }
    }

    fn publish_status(&self, controller: &Controller) {
        let mut status = RaftStatus::of(&self.node);
        let mut published = controller.raft.lock_status();
        let has_changed = (published.role, published.term, published.leader)
            != (status.role, status.term, status.leader);
        if has_changed {
            let leader = status
                .leader
                .map_or("none".to_owned(), |leader| leader.to_string());
            tracing::info!(target: "raft", "{:?} in term {}, leader {leader}.", status.role, status.term);
        }
        if published.voters != status.voters {
            tracing::info!(target: "raft", "{} voters.", status.voters.len());
        }
        if status.leader.is_none() {
            status.leaderless_since = published.leaderless_since.or(status.leaderless_since);
        }
        let leading_term = status.leading_term();
        *published = status;
        drop(published);
        if has_changed {
            // Before anybody can act on it: sessions of another leadership end here.
            controller.set_leadership(leading_term);
            controller.raft.leader_changed.notify_waiters();
        }
    }
}

/// What an action hands to the state machine.
pub enum DecodedAction {
    /// A command to apply.
    Apply(Command),
    /// A state to restore.
    Restore(ControlState),
}

impl DecodedAction {
    /// Decodes all actions that hand something to the state machine, in their order.
    ///
    /// # Errors
    ///
    /// If one of them can't be decoded.
    pub fn decode_all(actions: &[Action]) -> Result<VecDeque<DecodedAction>, StopReason> {
        let decode = |action: &Action| match action {
            Action::Apply { index, command } => {
                let command = Command::decode(command).map(DecodedAction::Apply);
                Some(command.map_err(|error| StopReason::Undecodable(*index, error)))
            }
            Action::Restore { index, state } => {
                let state = ControlState::decode(state).map(DecodedAction::Restore);
                Some(state.map_err(|error| StopReason::Undecodable(*index, error)))
            }
            Action::Send(_) | Action::Write { .. } | Action::Complete { .. } => None,
        };
        actions.iter().filter_map(decode).collect()
    }
}

/// Sends messages to one other controller; what can't be sent is lost.
async fn send_messages(
    own_address: SocketAddrV4,
    to: SocketAddrV4,
    mut messages: mpsc::Receiver<Envelope>,
) {
    loop {
        let Some(first) = messages.recv().await else {
            return;
        };
        let Ok(mut stream) = net::connect(to, CONNECT_TIMEOUT).await else {
            while messages.try_recv().is_ok() {}
            clock::sleep(RECONNECT_INTERVAL).await;
            continue;
        };
        if net::write_frame(&mut stream, &ConnectionPurpose::Consensus(own_address))
            .await
            .is_err()
        {
            continue;
        }
        let mut next = first;
        while stream.write_all(&encode_frame(&next)).await.is_ok() {
            let Some(message) = messages.recv().await else {
                return;
            };
            next = message;
        }
    }
}
