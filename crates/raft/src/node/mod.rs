//! The node: it takes events and returns actions.
//!
//! This file holds the node's state, how it starts, how events and messages are dispatched, and what its owner may ask.
//! Each other file adds one concern to [`RaftNode`]: `election`, `replication`, `snapshot`, `reconfiguration` (the
//! voters), `join` (finding the leader), `departure` (stopping in order), `requests` (proposals, reads and the lease) and
//! `storage` (what is written when).

mod departure;
mod election;
mod join;
mod reconfiguration;
mod replication;
mod requests;
mod snapshot;
mod storage;

use crate::departures::OwnDeparture;
use crate::event::{Action, Config, Event, Role};
use crate::join_state::JoinState;
use crate::leader_state::{FollowerState, LeaderState};
use crate::log::{Entry, Log, Payload};
use crate::membership::Membership;
use crate::message::{Envelope, Message};
use crate::persistence::{HardState, Persistence, PersistentState};
use crate::types::{Index, Micros, NodeId, Term};
use crate::voter_set::VoterSet;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

pub use reconfiguration::PeerStatus;

/// One member of the cluster.
pub struct RaftNode {
    id: NodeId,
    seeds: Vec<SocketAddrV4>,
    rng: ChaCha8Rng,
    now: Micros,
    term: Term,
    vote: Option<NodeId>,
    role: Role,
    /// Who leads in this term, as far as known.
    leader: Option<NodeId>,
    /// When the leader was last heard; also set at a restart, as one may have been heard just before.
    leader_heard_at: Option<Micros>,
    election_due: Micros,
    /// Set while this process, which began on a store that was not empty, has neither heard a leader nor led or voted: until
    /// then it keeps to what it may have promised a leader before its restart.
    bound_until: Option<Micros>,
    /// Elections tried since a leader was heard.
    election_attempts: u32,
    /// Who granted the running pre-vote or vote.
    votes_granted: BTreeSet<NodeId>,
    /// Who granted it on the condition that all voters have restarted, with its boot id.
    restarted_voters: BTreeMap<NodeId, u64>,
    /// Different at each start.
    boot_id: u64,
    log: Log,
    membership: Membership,
    commit: Index,
    applied: Index,
    persistence: Persistence,
    follower: FollowerState,
    /// Some while this node leads.
    leader_state: Option<LeaderState>,
    join: JoinState,
    departure: Option<OwnDeparture>,
    tolerated_failures: usize,
    recovery_interval: Micros,
    /// What the current step has led to.
    actions: Vec<Action>,
}

impl RaftNode {
    /// Starts a node on what its store held, and returns it with its first actions.
    ///
    /// With an empty store it is a founder (at the first run, and if it is among the seeds), or asks to join.
    pub fn start(now: Micros, config: Config, stored: PersistentState) -> (RaftNode, Vec<Action>) {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let is_empty = stored.hard_state.is_none();
        let is_founder = is_empty && config.first_run && config.seeds.contains(&config.address);
        let hard_state = stored
            .hard_state
            .unwrap_or_else(|| HardState::initial(is_founder, &mut rng));
        let mut log = Log::load(stored.snapshot, stored.entries);
        if is_founder {
            let payload = Payload::Voters(VoterSet::founders(&config.seeds));
            log.push(Entry {
                index: 1,
                term: 0,
                payload,
            });
        }
        let commit = hard_state
            .commit
            .min(log.last_index())
            .max(log.snapshot_index());
        let mut node = RaftNode {
            id: NodeId {
                address: config.address,
                incarnation: hard_state.incarnation,
            },
            seeds: config.seeds,
            rng,
            now,
            term: hard_state.term,
            vote: hard_state.vote,
            role: Role::Follower,
            leader: None,
            leader_heard_at: (!is_empty).then_some(now),
            election_due: now,
            bound_until: None,
            election_attempts: 0,
            votes_granted: BTreeSet::new(),
            restarted_voters: BTreeMap::new(),
            boot_id: config.seed,
            membership: Membership::of(&log),
            commit,
            applied: 0,
            persistence: Persistence::after_start(&log, is_empty, hard_state.commit),
            log,
            follower: FollowerState::default(),
            leader_state: None,
            join: JoinState::default(),
            departure: None,
            tolerated_failures: config.tolerated_failures,
            recovery_interval: config.recovery_interval,
            actions: Vec::new(),
        };
        node.set_first_election_timeout(is_empty, is_founder);
        node.restore_snapshot();
        let actions = node.advance();
        (node, actions)
    }

    /// Takes one event at `now`, and returns what it leads to. An earlier `now` than the last one counts as the last one.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Receive(envelope) => self.receive(envelope),
            Event::Persisted { serial } => self.on_persisted(serial),
            Event::WriteFailed { serial } => self.on_write_failed(serial),
            Event::Propose {
                request_id,
                command,
            } => self.propose(request_id, command),
            Event::Read { request_id } => self.read(request_id),
            Event::Compact { index, state } => self.compact(index, state),
            Event::StepDown => self.transfer_leadership(),
            Event::Leave => self.leave(),
        }
        self.advance()
    }

    /// Returns when [`Event::Tick`] is due next. Any event may change it: ask after each step.
    pub fn next_wake(&self) -> Micros {
        let due = match &self.leader_state {
            Some(leader) => leader.heartbeat_due,
            None if self.can_lead() => self.election_due.min(self.join_due()),
            None => self.join_due(),
        };
        let due = self
            .departure_due()
            .map_or(due, |departure| due.min(departure));
        self.persistence
            .retry_at()
            .map_or(due, |retry| due.min(retry))
    }

    /// Does what the event of this step leads to: timers, elections, commits, messages, and the next write.
    fn advance(&mut self) -> Vec<Action> {
        self.check_timers();
        self.advance_election();
        self.advance_commit();
        self.apply_committed();
        self.advance_reconfiguration();
        self.advance_departure();
        self.serve_reads();
        self.replicate();
        self.start_write();
        std::mem::take(&mut self.actions)
    }

    fn check_timers(&mut self) {
        if self.leader_state.is_some() {
            self.check_leadership();
        } else {
            self.check_election_timeout();
            self.check_join();
        }
    }

    /// Dispatches a message. Those for another incarnation at this address are dropped; those from another incarnation than
    /// the member's are not counted, since everything is counted by node id.
    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            term,
            message,
        } = envelope;
        if to.address != self.id.address || from == self.id {
            return;
        }
        match message {
            Message::JoinRequest { last_index } => return self.on_join_request(from, last_index),
            Message::LeaderHint { leader, members } => {
                return self.on_leader_hint(leader, &members)
            }
            _ => {}
        }
        if to.incarnation != self.id.incarnation {
            return self.on_wrong_incarnation(from);
        }
        match message {
            Message::LeaveRequest { token, waiting } => self.on_leave_request(from, token, waiting),
            Message::LeaveResponse { token } => self.on_leave_response(token),
            Message::PreVoteRequest {
                last_index,
                last_term,
            } => {
                self.on_pre_vote_request(from, term, last_index, last_term);
            }
            Message::PreVoteIfAllRestarted { next_term, boot_id } => {
                self.on_pre_vote_if_all_restarted(from, next_term, boot_id);
            }
            Message::PreVoteResponse { next_term, granted } => {
                self.on_pre_vote_response(from, term, next_term, granted);
            }
            Message::VoteRequest {
                last_index,
                last_term,
                leadership_transfer,
                all_restarted,
            } => {
                let is_released = leadership_transfer || self.is_released_by_restart(all_restarted);
                self.on_vote_request(from, term, last_index, last_term, is_released);
            }
            message => self.receive_in_term(from, term, message),
        }
    }

    /// Dispatches a message that counts only in the sender's own term.
    fn receive_in_term(&mut self, from: NodeId, term: Term, message: Message) {
        if term > self.term {
            self.enter_term(term, None);
        }
        if term < self.term {
            if message.is_from_leader() {
                // A leader of the past: our term makes it step down. Without that, a node that has gone on alone to a newer
                // term could never be led again.
                let response = Message::AppendResponse {
                    heartbeat: 0,
                    match_index: 0,
                    reject_hint: None,
                };
                self.send(from, response);
            }
            return;
        }
        match message {
            Message::VoteResponse { granted } => self.on_vote_response(from, granted),
            Message::AppendEntries {
                heartbeat,
                prev_index,
                prev_term,
                commit,
                entries,
            } => {
                if self.accept_leader(from) {
                    self.on_append_entries(
                        from,
                        heartbeat,
                        (prev_index, prev_term),
                        commit,
                        entries,
                    );
                }
            }
            Message::AppendResponse {
                heartbeat,
                match_index,
                reject_hint,
            } => {
                self.on_append_response(from, heartbeat, match_index, reject_hint);
            }
            Message::InstallSnapshot {
                index,
                snapshot_term,
                voters,
                total_bytes,
                offset,
                bytes,
            } => {
                if self.accept_leader(from) {
                    let header = snapshot::ChunkHeader {
                        index,
                        term: snapshot_term,
                        voters,
                        total_bytes,
                        offset,
                    };
                    self.on_install_snapshot(from, header, bytes);
                }
            }
            Message::InstallSnapshotResponse {
                index,
                received,
                gap,
            } => {
                self.on_install_snapshot_response(from, index, received, gap);
            }
            Message::TimeoutNow => self.on_timeout_now(from),
            // Dispatched before, whatever the term.
            Message::PreVoteRequest { .. }
            | Message::PreVoteResponse { .. }
            | Message::PreVoteIfAllRestarted { .. }
            | Message::VoteRequest { .. }
            | Message::JoinRequest { .. }
            | Message::LeaderHint { .. }
            | Message::LeaveRequest { .. }
            | Message::LeaveResponse { .. } => {}
        }
    }

    /// Hands every complete committed command to the state machine, in order.
    fn apply_committed(&mut self) {
        while let Some((index, command)) = self.log.next_command(&mut self.applied, self.commit) {
            self.actions.push(Action::Apply { index, command });
        }
        self.complete_applied_proposals();
    }

    fn restore_snapshot(&mut self) {
        let Some(snapshot) = self.log.snapshot() else {
            return;
        };
        if snapshot.index > self.applied {
            self.applied = snapshot.index;
            self.actions.push(Action::Restore {
                index: snapshot.index,
                state: snapshot.state.clone(),
            });
        }
    }

    /// Keeps the owner's state just after `index` as the snapshot, in place of the log before it.
    fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index > self.applied || index <= self.log.snapshot_index() {
            return;
        }
        let voters = self.membership.at(index).clone();
        self.log.compact(index, self.applied, voters, state);
        self.membership.compact(index);
        self.persistence.is_snapshot_due = true;
    }

    /// Returns this node's id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns this node's role in its term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the newest term that this node knows of.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns where the leader of this term is, as far as known; may be out of date.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        self.leader.map(|leader| leader.address)
    }

    /// Returns the last entry that is known here to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Returns the last entry that was handed to the state machine.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// Returns the last entry of the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the last entry that is on this node's disk, with all before it.
    pub fn durable_index(&self) -> Index {
        self.persistence.durable_index
    }

    /// Whether the disk has refused a write, or takes too long for one, and has not completed one since.
    pub fn is_disk_degraded(&self) -> bool {
        !self.persistence.is_healthy(self.now)
    }

    /// Whether the log has grown so long that [`Event::Compact`] pays; never right after one.
    pub fn should_compact(&self) -> bool {
        self.log.should_compact(self.applied)
    }

    /// Returns the voters, by the newest set known here.
    pub fn voters(&self) -> &[NodeId] {
        &self.membership.newest().voters
    }

    /// Whether this incarnation votes, by the newest set known here: false until a node that joined has caught up.
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.id)
    }

    /// Whether this node is in the newest voter set, or in the one before while the change is not known to be over: a node
    /// that the newer set lacks may hold more of the log than all others, and has to lead until they have it, too.
    fn can_lead(&self) -> bool {
        let is_in = |set: &VoterSet| set.voters.contains(&self.id);
        self.is_voter() || self.membership.unfinished(self.commit).is_some_and(is_in)
    }
}
