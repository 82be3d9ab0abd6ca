//! How a machine that hears no leader finds it: one that joins, one whose address book is old, one that was taken out
//! while it was away.

use crate::membership::{MAX_LEARNERS, MAX_VOTERS};
use crate::replication::{Mode, Peer};
use crate::{Core, Index, Message, Micros, Seat};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Without a sign of the leader for so long a machine that does not vote asks around: more than four beats.
const LEARNERS_SILENCE: Micros = 500_000;
/// A voter has elections, and asks only if these come to nothing: then it may be off the list.
const VOTERS_SILENCE: Micros = 3_000_000;
/// How often all are asked; a joining machine's place is worth some messages.
const EVERY: Micros = 300_000;
const VOTERS_EVERY: Micros = 2_000_000;
/// How often one machine is asked on another's word.
const POINTED: Micros = 50_000;
/// At every how many beats the leader tells former members where it is: each second.
const POINT_BEATS: u64 = 10;
/// Addresses that others named.
const MOST_CONTACTS: usize = 2 * MAX_VOTERS;
/// The life of whoever is there.
const ANY: u64 = u64::MAX;

#[derive(Default)]
pub(crate) struct Asking {
    /// Since when no leader was heard; None: never.
    pub(crate) silent_since: Option<Micros>,
    asked_at: Option<Micros>,
    pointed_at: Option<Micros>,
    contacts: BTreeSet<SocketAddrV4>,
}

impl Core {
    fn silence_ends(&self) -> Micros {
        let silence = if self.is_voter() {
            VOTERS_SILENCE
        } else {
            LEARNERS_SILENCE
        };
        self.asking.silent_since.map_or(0, |since| since + silence)
    }

    pub(crate) fn ask_due(&self) -> Micros {
        if self.leaving.is_some() {
            return Micros::MAX;
        }
        let every = if self.is_voter() { VOTERS_EVERY } else { EVERY };
        self.silence_ends()
            .max(self.asking.asked_at.map_or(0, |at| at + every))
    }

    pub(crate) fn check_asking(&mut self) {
        if self.is_voter() && self.asking.silent_since.is_none() {
            // A founder, or a voter that starts again.
            self.asking.silent_since = Some(self.now);
        }
        if self.now < self.ask_due() || self.leaving.is_some() {
            return;
        }
        self.asking.asked_at = Some(self.now);
        let voters = self.voters().iter().map(|seat| &seat.address);
        let known: BTreeSet<SocketAddrV4> = voters
            .chain(&self.seeds)
            .chain(&self.asking.contacts)
            .copied()
            .collect();
        for address in known {
            self.ask(address);
        }
    }

    /// At each beat: now and then those are told who leads that were members once, or waited for a seat. They may be back,
    /// with an empty disk, and know no one who is still there.
    pub(crate) fn point_forlorn(&mut self) {
        let Some(lead) = &self.lead else { return };
        if !lead.round.is_multiple_of(POINT_BEATS) {
            return;
        }
        let members: Vec<SocketAddrV4> = self.voters().iter().map(|seat| seat.address).collect();
        for address in self.forlorn() {
            let leader = Some(self.me.address);
            self.send(
                Seat { address, life: ANY },
                Message::Point {
                    leader,
                    members: members.clone(),
                },
            );
        }
    }

    fn ask(&mut self, address: SocketAddrV4) {
        if address != self.me.address {
            self.send(
                Seat { address, life: ANY },
                Message::Ask {
                    last: self.log.last(),
                },
            );
        }
    }

    fn ask_on_word(&mut self, address: SocketAddrV4) {
        let lately = self
            .asking
            .pointed_at
            .is_some_and(|at| self.now < at + POINTED);
        let asks = self.lead.is_none() && self.leaving.is_none();
        // A voter, too: it may be off the list while the others have a leader.
        let silence_ends = self
            .asking
            .silent_since
            .map_or(0, |since| since + LEARNERS_SILENCE);
        if asks && self.now >= silence_ends && !lately {
            self.asking.pointed_at = Some(self.now);
            self.ask(address);
        }
    }

    pub(crate) fn on_point(&mut self, leader: Option<SocketAddrV4>, members: &[SocketAddrV4]) {
        let room = MOST_CONTACTS.saturating_sub(self.asking.contacts.len());
        self.asking.contacts.extend(members.iter().take(room));
        if let Some(leader) = leader {
            self.ask_on_word(leader);
        }
    }

    /// Somebody takes this machine for an earlier life of its address: it may be the leader.
    pub(crate) fn on_mistaken(&mut self, from: Seat) {
        self.ask_on_word(from.address);
    }

    /// A machine that hears no leader. The leader takes it in as a learner, or speaks to it at once if it knows it.
    pub(crate) fn on_ask(&mut self, from: Seat, last: Index) {
        if from.address == self.me.address {
            return;
        }
        let Some(lead) = &mut self.lead else {
            let leader = self.leader();
            let members = self.voters().iter().map(|seat| seat.address).collect();
            return self.send(from, Message::Point { leader, members });
        };
        // Whoever asks has not stopped, or is back.
        lead.leavers.is_back(&from);
        let known = lead.peers.contains_key(&from);
        let votes = self.roll.newest().voters.contains(&from);
        if votes || known {
            // A later life that knocked here before this one did has gone again.
            lead.learners
                .retain(|seat| seat.address != from.address || *seat == from);
        } else {
            lead.learners.retain(|seat| seat.address != from.address);
            if lead.learners.len() >= MAX_LEARNERS {
                return;
            }
            lead.learners.insert(from);
            self.roll.meet(&[from]);
        }
        let begin = self.log.last().min(last) + 1;
        let peer = lead
            .peers
            .entry(from)
            .or_insert_with(|| Peer::begin(begin, self.now));
        if !votes {
            // A voter that asks does not hear this leader: that is no answer.
            peer.heard_at = self.now;
        }
        if !matches!(peer.mode, Mode::Fill(_)) {
            peer.rewind(last.min(self.log.last()));
        }
        self.seat_peers();
    }
}
