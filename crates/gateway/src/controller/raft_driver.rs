//! The agreement among the sorting machines, driven: its core gets events from links, the disk and the clock, and its
//! actions are carried out. One task owns the core; others ask it by messages.

use super::leader_redirect::Sight;
use super::Sorting;
use crate::clock::{self, now, Micros};
use crate::net;
use magpieline_config::node_settings::Machine;
use magpieline_control_plane::codec::Unreadable;
use magpieline_control_plane::messages::{self, Opening};
use magpieline_control_plane::state_machine::{Command, Effect, Records};
use magpieline_raft::{
    Action, Config, Envelope, Event, NodeId, Outcome, PeerStatus, RaftNode, Role, WriteBatch,
    MAX_VOTERS,
};
use magpieline_raft_store::{self as granary, Remedy, Store};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::{mpsc as threads, Arc, Mutex, MutexGuard};
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, oneshot, Notify};

/// Events that may wait for the core; what is beyond is refused, or lost as on a network.
const MOST_WAITING: usize = 1024;
/// Messages that may wait for one other machine; what is beyond is lost as on a network.
const MOST_OUT: usize = 64;
/// A link to another machine is up within this, or its messages are lost.
const UP_WITHIN: Micros = 300_000;
/// After a link that did not come up nothing is tried for so long.
const LINK_AGAIN: Micros = 100_000;

/// How often a process that stops looks whether it may: a small part of the shortest stop (some 100 ms).
const LOOK: Micros = 20_000;
/// Who was heard to lead is named to others for so long: a voter looks for another one by then, a machine that does not
/// vote has nothing else to go by.
const LEADER_KNOWN: Micros = 1_000_000;

/// Why a command was not agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another machine leads, or none, or too much is asked: nothing was done.
    NotNow,
    /// It may be in force or not.
    Unknown,
}

/// How this machine stands in the agreement.
#[derive(Clone, Debug)]
pub struct View {
    pub me: NodeId,
    pub role: Role,
    pub term: u64,
    pub leader: Option<SocketAddrV4>,
    pub voters: Vec<NodeId>,
    pub learners: Vec<NodeId>,
    pub commit: u64,
    pub applied: u64,
    pub durable: u64,
    pub disk_troubled: bool,
    pub contacts: Vec<PeerStatus>,
    /// It was told to leave, and is needed no more.
    pub left: bool,
    /// It leads, and nobody else can before this time.
    lease: Option<Micros>,
    /// Since when nobody is known to lead.
    leaderless_since: Option<Micros>,
}

/// Why the agreement goes on no further on this machine.
#[derive(Debug)]
pub enum Stop {
    /// Nobody is left who asks.
    Over,
    /// The store does not add up any more.
    Store(granary::StoreError),
    /// What is in force at this place of the log can't be read here. To go on without it would be to go on as another
    /// state machine than the others.
    Unreadable(u64, Unreadable),
}

enum Asked {
    Broken(granary::StoreError),
    Event(Event),
    Propose(Vec<u8>, oneshot::Sender<Told>),
    Read(oneshot::Sender<Told>),
}

/// What came of a question; for a proposal also what its command did when it was applied at its own place.
type Told = (Outcome, Option<Effect>);

/// The agreement as the rest of the program sees it.
pub struct Council {
    ask: mpsc::Sender<Asked>,
    view: Mutex<View>,
    /// Told when another machine leads, or none, or this one.
    changed: Notify,
}

/// What drives the agreement; becomes a task.
pub struct Driver {
    core: RaftNode,
    first: Vec<Action>,
    asked: mpsc::Receiver<Asked>,
    write: threads::Sender<(u64, WriteBatch)>,
}

impl Council {
    /// Reads the store and makes ready; nothing runs before the driver does.
    pub fn open(
        machine: &Machine,
        store: &Path,
        seed: u64,
    ) -> Result<(Council, Driver), granary::StoreError> {
        let mut granary = Store::open(store)?;
        let stored = granary.load()?;
        // A machine whose store was set aside has been here before, even if its settings are those of its first start.
        let first_run =
            machine.first_run && !granary::is_quarantined(&granary::DiskDirectory::at(store))?;
        let inner = machine.inner_ports.0;
        let me = SocketAddrV4::new(machine.ip, inner);
        let seeds = machine
            .seeds
            .iter()
            .map(|s| SocketAddrV4::new(*s.ip(), inner))
            .collect();
        tracing::info!(
            target: "council",
            "Store read: {} entries{}.",
            stored.entries.len(),
            if stored.hard_state.is_none() { ", empty" } else { "" }
        );
        // How many stand in a zone isn't known here: then as many vote as can.
        let withstand = if machine.withstand_areas > 0 {
            MAX_VOTERS / 2
        } else {
            machine.withstand as usize
        };
        let catch_up = machine.terms.catch_up;
        let start = Config {
            address: me,
            seeds,
            first_run,
            seed,
            tolerated_failures: withstand,
            recovery_interval: catch_up,
        };
        let (core, first) = RaftNode::start(now(), start, stored);
        let (ask, asked) = mpsc::channel(MOST_WAITING);
        let (write, writes) = threads::channel::<(u64, WriteBatch)>();
        let synced = ask.clone();
        // The disk may hang for seconds: it has a thread of its own.
        std::thread::spawn(move || {
            while let Ok((serial, batch)) = writes.recv() {
                let event = match granary.write(&batch) {
                    Ok(()) => Asked::Event(Event::Persisted { serial }),
                    Err(e) if e.remedy() == Remedy::Retry => {
                        tracing::warn!(target: "council", "The disk refused a write: {e}.");
                        Asked::Event(Event::WriteFailed { serial })
                    }
                    Err(e) => Asked::Broken(e),
                };
                if synced.blocking_send(event).is_err() {
                    return;
                }
            }
        });
        let view = Mutex::new(View::of(&core));
        Ok((
            Council {
                ask,
                view,
                changed: Notify::new(),
            },
            Driver {
                core,
                first,
                asked,
                write,
            },
        ))
    }

    fn view_now(&self) -> MutexGuard<'_, View> {
        self.view
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn view(&self) -> View {
        self.view_now().clone()
    }

    /// The term in which this machine leads, whether a majority has said so lately or not.
    pub fn leading(&self) -> Option<u64> {
        self.view_now().leading()
    }

    /// The term in which this machine leads while nobody else can: its lease runs.
    pub fn leads_in(&self) -> Option<u64> {
        self.leading().filter(|_| self.sight().leads)
    }

    /// Whether this machine leads and nobody else can at this moment.
    pub fn leads(&self) -> bool {
        self.leads_in().is_some()
    }

    /// What is known here of who leads.
    pub fn sight(&self) -> Sight {
        let view = self.view_now();
        let leads = view.leading().is_some() && view.lease.is_some_and(|until| now() < until);
        let other = view.leader.filter(|leader| *leader != view.me.address);
        Sight {
            leads,
            other,
            leaderless_since: view.leaderless_since,
        }
    }

    /// Waits until it may be known anew who leads, or until then.
    pub async fn changed(&self, until: Micros) {
        let left = clock::span(until.saturating_sub(now()));
        let _ = tokio::time::timeout(left, self.changed.notified()).await;
    }

    /// Who leads, as far as known here.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        self.view_now().leader
    }

    pub fn term(&self) -> u64 {
        self.view_now().term
    }

    /// All sorting machines that vote.
    pub fn members(&self) -> Vec<SocketAddrV4> {
        self.view_now().voters.iter().map(|s| s.address).collect()
    }

    /// Has a command agreed on: what it did, once it stands in the log for ever and is applied here.
    pub async fn propose(&self, command: &Command) -> Result<Effect, Refusal> {
        let (tell, told) = oneshot::channel();
        self.ask
            .try_send(Asked::Propose(command.pack(), tell))
            .map_err(|_| Refusal::NotNow)?;
        match told.await {
            // Agreed on and not known what it did: that is no answer.
            Ok((outcome, effect)) => agreed(outcome).and_then(|()| effect.ok_or(Refusal::Unknown)),
            Err(_) => Err(Refusal::Unknown),
        }
    }

    /// Waits until all that was acknowledged before now is applied here; only the leader can tell.
    pub async fn barrier(&self) -> Result<(), Refusal> {
        let (tell, told) = oneshot::channel();
        self.ask
            .try_send(Asked::Read(tell))
            .map_err(|_| Refusal::NotNow)?;
        told.await
            .map_err(|_| Refusal::Unknown)
            .and_then(|(outcome, _)| agreed(outcome))
    }

    /// A message from another sorting machine; lost where too much waits.
    pub fn receive(&self, envelope: Envelope) {
        let _ = self.ask.try_send(Asked::Event(Event::Receive(envelope)));
    }

    /// This machine is about to stop: returns once it is needed no more, or at `until`.
    pub async fn leave(&self, until: Micros) {
        let _ = self.ask.send(Asked::Event(Event::Leave)).await;
        while !self.view_now().left && now() < until {
            tokio::time::sleep(clock::span(LOOK)).await;
        }
    }
}

fn agreed(outcome: Outcome) -> Result<(), Refusal> {
    match outcome {
        Outcome::Committed { .. } => Ok(()),
        Outcome::NotLeader { .. } | Outcome::Overloaded => Err(Refusal::NotNow),
        Outcome::LeadershipLost => Err(Refusal::Unknown),
    }
}

impl View {
    /// The term in which this machine leads.
    fn leading(&self) -> Option<u64> {
        (self.role == Role::Leader).then_some(self.term)
    }

    fn of(core: &RaftNode) -> View {
        let now = now();
        let leader = core
            .leader()
            .filter(|_| core.has_recent_leader(now, LEADER_KNOWN));
        View {
            me: core.id(),
            role: core.role(),
            term: core.term(),
            leader,
            voters: core.voters().to_vec(),
            learners: core.learners(),
            commit: core.commit_index(),
            applied: core.applied_index(),
            durable: core.durable_index(),
            disk_troubled: core.is_disk_degraded(),
            contacts: core.peers(),
            left: core.has_left(),
            lease: core.lease_expires_at(),
            leaderless_since: leader.is_none().then_some(now),
        }
    }
}

impl Driver {
    /// Drives the core until it can't go on. What it was told of an entry that can't be read reaches nobody: nothing of
    /// that step is carried out, so that a leader never says that such an entry is in force.
    pub async fn run(mut self, sorting: Arc<Sorting>) -> Stop {
        let mut links: HashMap<SocketAddrV4, mpsc::Sender<Envelope>> = HashMap::new();
        let mut tickets: HashMap<u64, oneshot::Sender<Told>> = HashMap::new();
        let mut next_ticket = 0;
        let mut actions = std::mem::take(&mut self.first);
        loop {
            let mut read = match Read::all(&actions) {
                Ok(read) => read,
                Err(stop) => return stop,
            };
            // By place in the log. A proposal is answered in the same step as it is applied in.
            let mut effects: HashMap<u64, Effect> = HashMap::new();
            for action in actions {
                match action {
                    Action::Send(envelope) => {
                        let to = envelope.to.address;
                        let link = links.entry(to).or_insert_with(|| {
                            let (link, messages) = mpsc::channel(MOST_OUT);
                            tokio::spawn(send(self.core.id().address, to, messages));
                            link
                        });
                        let _ = link.try_send(envelope);
                    }
                    Action::Write { serial, batch } => {
                        // The thread ends with the process only.
                        let _ = self.write.send((serial, batch));
                    }
                    Action::Apply { index, .. } => {
                        if let Some(Read::Command(command)) = read.pop_front() {
                            effects.insert(index, sorting.applied(index, &command));
                        }
                    }
                    Action::Restore { .. } => {
                        if let Some(Read::Records(records)) = read.pop_front() {
                            sorting.restored(records);
                        }
                    }
                    Action::Complete {
                        request_id,
                        outcome,
                    } => {
                        if let Some(tell) = tickets.remove(&request_id) {
                            let effect = match outcome {
                                Outcome::Committed { index } => effects.get(&index).cloned(),
                                _ => None,
                            };
                            let _ = tell.send((outcome, effect));
                        }
                    }
                }
            }
            self.show(&sorting);
            let wake = self.core.next_wake();
            let event = if self.core.should_compact() {
                Event::Compact {
                    index: self.core.applied_index(),
                    state: sorting.state().records.pack(),
                }
            } else {
                tokio::select! {
                    asked = self.asked.recv() => match asked {
                        None => return Stop::Over,
                        Some(Asked::Broken(error)) => return Stop::Store(error),
                        Some(Asked::Event(event)) => event,
                        Some(Asked::Propose(command, tell)) => {
                            next_ticket += 1;
                            tickets.insert(next_ticket, tell);
                            Event::Propose { request_id: next_ticket, command }
                        }
                        Some(Asked::Read(tell)) => {
                            next_ticket += 1;
                            tickets.insert(next_ticket, tell);
                            Event::Read { request_id: next_ticket }
                        }
                    },
                    () = clock::until(wake) => Event::Tick,
                }
            };
            actions = self.core.step(now(), event);
        }
    }

    fn show(&self, sorting: &Sorting) {
        let mut view = View::of(&self.core);
        let mut shown = sorting.council.view_now();
        let changed = (shown.role, shown.term, shown.leader) != (view.role, view.term, view.leader);
        if changed {
            let leader = view.leader.map_or("nobody".to_owned(), |l| l.to_string());
            tracing::info!(target: "council", "{:?} in term {}, led by {leader}.", view.role, view.term);
        }
        if shown.voters != view.voters {
            tracing::info!(target: "council", "{} machines vote.", view.voters.len());
        }
        if view.leader.is_none() {
            view.leaderless_since = shown.leaderless_since.or(view.leaderless_since);
        }
        let leading = view.leading();
        *shown = view;
        drop(shown);
        if changed {
            // Before anybody can act on it: what was said under another leadership ends here.
            sorting.leads_in(leading);
            sorting.council.changed.notify_waiters();
        }
    }
}

/// What actions hand to the state machine.
pub enum Read {
    Command(Command),
    Records(Records),
}

impl Read {
    /// Of all the actions that hand something on, in their order.
    pub fn all(actions: &[Action]) -> Result<VecDeque<Read>, Stop> {
        let read = |action: &Action| match action {
            Action::Apply { index, command } => {
                let command =
                    Command::unpack(command).map_err(|wrong| Stop::Unreadable(*index, wrong));
                Some(command.map(Read::Command))
            }
            Action::Restore { index, state } => {
                let records =
                    Records::unpack(state).map_err(|wrong| Stop::Unreadable(*index, wrong));
                Some(records.map(Read::Records))
            }
            Action::Send(_) | Action::Write { .. } | Action::Complete { .. } => None,
        };
        actions.iter().filter_map(read).collect()
    }
}

/// Sends messages to one other machine; what can't be sent is lost.
async fn send(own: SocketAddrV4, to: SocketAddrV4, mut messages: mpsc::Receiver<Envelope>) {
    loop {
        let Some(first) = messages.recv().await else {
            return;
        };
        let Ok(mut stream) = net::connect(to, UP_WITHIN).await else {
            while messages.try_recv().is_ok() {}
            clock::until(now() + LINK_AGAIN).await;
            continue;
        };
        if net::say(&mut stream, &Opening::Sorting(own)).await.is_err() {
            continue;
        }
        let mut next = first;
        while stream.write_all(&messages::frame(&next)).await.is_ok() {
            let Some(message) = messages.recv().await else {
                return;
            };
            next = message;
        }
    }
}
