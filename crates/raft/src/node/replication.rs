//! How entries get from the leader to the others, and when they are committed (Raft, 5.3 and 5.4.2).

use super::RaftNode;
use crate::log::{Entry, Payload};
use crate::message::Message;
use crate::progress::{ProgressState, WINDOW_BYTES};
use crate::snapshot_chunks::SnapshotSender;
use crate::types::{Index, Micros, NodeId, Term};

/// How often a leader sends a heartbeat when there is nothing else to send. Each costs a message to and from every follower;
/// less often would make for a longer wait when a leader dies.
const HEARTBEAT_INTERVAL: Micros = 100_000;
/// A follower that has not answered for so long gets no entries, only heartbeats.
const PAUSE_ENTRIES_AFTER: Micros = 1_000_000;
/// A learner that has not answered for so long is dropped; it asks again.
const DROP_LEARNER_AFTER: Micros = 10_000_000;
/// A node that has not answered for so long gets only every fifth heartbeat; when it comes back it asks by itself.
const SPARSE_HEARTBEATS_AFTER: Micros = 5_000_000;
const SPARSE_HEARTBEAT_EVERY: u64 = 5;

impl RaftNode {
    /// Appends an entry of this term to the log; returns its index.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        };
        self.membership.on_append(&entry);
        self.log.push(entry);
        self.log.last_index()
    }

    /// Sends the next heartbeat to all; answers name it.
    pub(super) fn broadcast_heartbeat(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.heartbeat += 1;
        leader.heartbeat_due = self.now + HEARTBEAT_INTERVAL;
        leader.commit_at_heartbeat = self.commit;
        leader
            .requests
            .on_heartbeat_sent(leader.heartbeat, self.now);
        self.drop_silent_learners();
        for (node, message) in self.heartbeats() {
            self.send(node, message);
        }
        self.resend_stalled_snapshots();
        self.hint_former_members();
    }

    fn drop_silent_learners(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let before = leader.learners.len();
        let progress = &leader.progress;
        leader
            .learners
            .retain(|learner| self.now < progress[learner].heard_at + DROP_LEARNER_AFTER);
        if leader.learners.len() < before {
            self.update_progress_set();
        }
    }

    fn heartbeats(&self) -> Vec<(NodeId, Message)> {
        let Some(leader) = &self.leader_state else {
            return Vec::new();
        };
        let heartbeat = leader.heartbeat;
        let mut messages = Vec::new();
        for (node, progress) in &leader.progress {
            let is_long_silent = self.now >= progress.heard_at + SPARSE_HEARTBEATS_AFTER;
            let is_skipped = is_long_silent && !heartbeat.is_multiple_of(SPARSE_HEARTBEAT_EVERY);
            if is_skipped || leader.is_superseded(node) {
                continue;
            }
            // While the snapshot is on its way, `prev_index` is what all logs agree on.
            let is_snapshot = matches!(progress.state, ProgressState::Snapshot(_));
            let prev_index = if is_snapshot {
                0
            } else {
                progress.next_index - 1
            };
            let known = self.log.term_at(prev_index).map(|term| (prev_index, term));
            let (prev_index, prev_term) = known.unwrap_or((0, 0));
            let commit = self.commit;
            let entries = Vec::new();
            messages.push((
                *node,
                Message::AppendEntries {
                    heartbeat,
                    prev_index,
                    prev_term,
                    commit,
                    entries,
                },
            ));
        }
        messages
    }

    /// Sends each follower the entries, or the chunks of the snapshot, that it lacks, as far as its window allows.
    pub(super) fn replicate(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let is_served = |node: &&NodeId| !leader.is_superseded(node);
        let nodes: Vec<NodeId> = leader.progress.keys().filter(is_served).copied().collect();
        let mut messages = Vec::new();
        for node in nodes {
            let lacking = self.next_messages(&node);
            messages.extend(lacking.into_iter().map(|message| (node, message)));
        }
        for (node, message) in messages {
            self.send(node, message);
        }
    }

    fn next_messages(&mut self, node: &NodeId) -> Vec<Message> {
        let mut messages = Vec::new();
        let Some(leader) = &mut self.leader_state else {
            return messages;
        };
        let heartbeat = leader.heartbeat;
        let Some(progress) = leader.progress.get_mut(node) else {
            return messages;
        };
        if self.now >= progress.heard_at + PAUSE_ENTRIES_AFTER {
            return messages;
        }
        while progress.is_ready() && progress.next_index <= self.log.last_index() {
            let prev_index = progress.next_index - 1;
            let Some(prev_term) = self.log.term_at(prev_index) else {
                let snapshot = self
                    .log
                    .snapshot()
                    .expect("what is dropped is in the snapshot");
                progress.send_snapshot(SnapshotSender::new(snapshot.clone(), self.now));
                break;
            };
            let entries = self.log.batch_from(progress.next_index);
            progress.on_sent(&entries);
            let commit = self.commit;
            messages.push(Message::AppendEntries {
                heartbeat,
                prev_index,
                prev_term,
                commit,
                entries,
            });
        }
        if let ProgressState::Snapshot(sender) = &mut progress.state {
            messages.extend(sender.next_chunks(WINDOW_BYTES));
        }
        messages
    }

    /// Takes in entries, or a heartbeat, from the leader of this term.
    pub(super) fn on_append_entries(
        &mut self,
        from: NodeId,
        heartbeat: u64,
        (prev_index, prev_term): (Index, Term),
        commit: Index,
        entries: Vec<Entry>,
    ) {
        // What is committed here agrees with every leader's log, kept or not.
        let agrees = prev_index <= self.commit || self.log.term_at(prev_index) == Some(prev_term);
        if !agrees {
            return self.reject_append(from, heartbeat, prev_index);
        }
        let last_index = prev_index + entries.len() as u64;
        if !entries
            .iter()
            .zip(prev_index + 1..)
            .all(|(entry, index)| entry.index == index)
        {
            return;
        }
        for entry in entries {
            self.take_entry(entry);
        }
        self.verify(last_index);
        let is_new_heartbeat = heartbeat > self.follower.heartbeat;
        self.follower.heartbeat = self.follower.heartbeat.max(heartbeat);
        let is_repeated = last_index > prev_index && self.persistence.durable_index >= last_index;
        let verified_index = self.follower.verified_index;
        self.commit = self.commit.max(commit.min(verified_index));
        if is_new_heartbeat || is_repeated {
            self.respond_to_append(from);
        }
    }

    fn reject_append(&mut self, from: NodeId, heartbeat: u64, prev_index: Index) {
        let last_index = self.log.last_index();
        let hint = if prev_index > last_index {
            last_index
        } else {
            self.log.index_before_term_of(prev_index)
        };
        self.follower.heartbeat = self.follower.heartbeat.max(heartbeat);
        let match_index = self.match_index();
        self.send(
            from,
            Message::AppendResponse {
                heartbeat,
                match_index,
                reject_hint: Some(hint),
            },
        );
    }

    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.log.truncate_from(entry.index);
            self.membership.truncate_from(entry.index);
            self.persistence.truncate_from(entry.index);
        }
        self.membership.on_append(&entry);
        self.log.push(entry);
    }

    /// Takes note that the log agrees with the leader's up to `index`.
    pub(super) fn verify(&mut self, index: Index) {
        self.follower.verified_index = self.follower.verified_index.max(index);
    }

    /// Returns up to where the log agrees with the leader's and is on disk.
    fn match_index(&self) -> Index {
        self.follower
            .verified_index
            .min(self.persistence.durable_index)
    }

    pub(super) fn respond_to_append(&mut self, leader: NodeId) {
        let match_index = self.match_index();
        self.follower.reported_match = match_index;
        let heartbeat = self.follower.heartbeat;
        self.send(
            leader,
            Message::AppendResponse {
                heartbeat,
                match_index,
                reject_hint: None,
            },
        );
    }

    /// Tells the leader of a completed write, if that moved what it counts.
    pub(super) fn report_durable(&mut self) {
        if let Some(leader) = self.leader.filter(|leader| *leader != self.id) {
            if self.match_index() > self.follower.reported_match {
                self.respond_to_append(leader);
            }
        }
    }

    pub(super) fn on_append_response(
        &mut self,
        from: NodeId,
        heartbeat: u64,
        match_index: Index,
        reject_hint: Option<Index>,
    ) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = self.now;
        progress.heartbeat = progress.heartbeat.max(heartbeat);
        progress.advance(match_index);
        match (&mut progress.state, reject_hint) {
            (ProgressState::Snapshot(sender), _) => {
                if progress.match_index >= sender.index() {
                    progress.probe_after(progress.match_index);
                }
            }
            (_, Some(hint)) => {
                progress.probe_after(hint.min(progress.next_index.saturating_sub(2)))
            }
            (state, None) => *state = ProgressState::Replicate,
        }
    }

    /// Commits what a majority has on disk, once an entry of this term is among it (an entry of an earlier term may be on a
    /// majority and yet be overwritten; Raft, figure 8).
    pub(super) fn advance_commit(&mut self) {
        let mut has_committed_voters = false;
        while let Some(quorum_index) = self.next_commit() {
            let newly_committed = self.commit + 1..=quorum_index;
            has_committed_voters |= newly_committed.contains(&self.membership.newest_index());
            self.commit = quorum_index;
        }
        if has_committed_voters {
            // Those whom it concerns should know at once: they store it, and a node that has caught up counts from now.
            self.update_progress_set();
            self.broadcast_heartbeat();
        }
    }

    /// Returns the index up to which this leader may commit, if that is beyond the commit index.
    fn next_commit(&self) -> Option<Index> {
        let leader = self.leader_state.as_ref()?;
        let on_disk = |node: &NodeId| match leader.progress.get(node) {
            _ if *node == self.id => self.persistence.durable_index,
            // It may be gone already: what is acknowledged from now on stands on the others.
            _ if leader.departures.is_released(node) => 0,
            progress => progress.map_or(0, |progress| progress.match_index),
        };
        let quorum_index = self
            .membership
            .quorum_value(self.commit, on_disk)
            .min(self.log.last_index());
        let is_of_this_term = self.log.term_at(quorum_index) == Some(self.term);
        (quorum_index > self.commit && is_of_this_term).then_some(quorum_index)
    }
}
