//! Entries on their way from the leader to the others.

use crate::leadership_transfer::Leavers;
use crate::read_index::Questions;
use crate::snapshot_transfer::{Filling, Incoming};
use crate::{Core, Entry, Index, Message, Micros, Payload, Seat, Term, PIECE};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How often a leader gives a sign of life when nothing else is to be said. Each costs a message to and from every
/// follower; less often would make for a longer wait when a leader dies.
const BEAT: Micros = 100_000;
/// Bytes on their way to one follower: enough for 30 MB/s at 4 ms there, to disk and back, few enough that a link of 2
/// Mbit/s is free again after half a second.
pub(crate) const WINDOW: usize = 4 * PIECE;
/// Messages on their way to one follower, for small entries.
const MOST_FLYING: usize = 64;
/// A follower that has not answered for so long gets no entries, just signs of life.
const QUIET: Micros = 1_000_000;
/// A learner that has not answered for so long is dropped; it asks again.
const LEARNER_GONE: Micros = 10_000_000;
/// One that has not answered for so long gets only every fifth of them; when it comes back it speaks up by itself.
const ASLEEP: Micros = 5_000_000;
const ASLEEP_BEATS: u64 = 5;

/// What a leader keeps.
pub(crate) struct Lead {
    pub(crate) peers: BTreeMap<Seat, Peer>,
    /// Of the peers, those being filled that don't vote yet.
    pub(crate) learners: BTreeSet<Seat>,
    /// The first entry of this leadership: what was before is known to be in force once this is.
    pub(crate) first: Index,
    /// What was committed at the last beat.
    pub(crate) aim: Index,
    pub(crate) beat_due: Micros,
    pub(crate) since: Micros,
    /// Numbers the beats; answers say which they have seen.
    pub(crate) round: u64,
    pub(crate) questions: Questions,
    /// Machines that said they stop.
    pub(crate) leavers: Leavers,
    /// The leader before has said who waits for a seat.
    pub(crate) is_told_who_waits: bool,
}

impl Lead {
    pub(crate) fn begin(now: Micros, first: Index) -> Lead {
        Lead {
            peers: BTreeMap::new(),
            learners: BTreeSet::new(),
            first,
            aim: 0,
            beat_due: now,
            since: now,
            round: 0,
            questions: Questions::default(),
            leavers: Leavers::default(),
            is_told_who_waits: false,
        }
    }

    /// Another life sits at this address now, and has answered (a late message of a life long gone has not): nothing
    /// reaches this one.
    fn is_succeeded(&self, seat: &Seat) -> bool {
        let answers = |other: &Seat| self.peers.get(other).is_some_and(|peer| peer.round > 0);
        self.learners
            .iter()
            .any(|other| other.address == seat.address && other != seat && answers(other))
    }
}

/// What a leader knows of one follower.
pub(crate) struct Peer {
    /// The next entry to send.
    next: Index,
    pub(crate) matched: Index,
    pub(crate) mode: Mode,
    /// Sent and not answered: the last entry and the bytes of each message.
    flying: VecDeque<(Index, usize)>,
    /// The last beat it answered.
    pub(crate) round: u64,
    pub(crate) heard_at: Micros,
}

/// How entries are sent.
pub(crate) enum Mode {
    /// Where its log agrees is not known yet: one message, then its answer.
    Probe { asked: bool },
    /// One after the other without waiting, up to a window.
    Stream,
    /// It needs the snapshot first.
    Fill(Filling),
}

impl Peer {
    pub(crate) fn begin(next: Index, now: Micros) -> Peer {
        Peer {
            next,
            matched: 0,
            mode: Mode::Probe { asked: false },
            flying: VecDeque::new(),
            round: 0,
            heard_at: now,
        }
    }

    /// It has everything up to `matched`; goes on from there.
    fn advance(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        while self
            .flying
            .front()
            .is_some_and(|(last, _)| *last <= self.matched)
        {
            self.flying.pop_front();
        }
    }

    /// Starts over after `index`.
    pub(crate) fn rewind(&mut self, index: Index) {
        self.next = index.max(self.matched) + 1;
        self.flying.clear();
        self.mode = Mode::Probe { asked: false };
    }

    fn has_room(&self) -> bool {
        match self.mode {
            Mode::Probe { asked } => !asked,
            Mode::Stream => {
                let bytes: usize = self.flying.iter().map(|(_, bytes)| bytes).sum();
                bytes < WINDOW && self.flying.len() < MOST_FLYING
            }
            Mode::Fill(_) => false,
        }
    }
}

/// What a follower keeps of its leader.
#[derive(Default)]
pub(crate) struct Following {
    /// The log agrees with the leader's up to here, on disk or not.
    verified: Index,
    /// The last beat answered.
    round: u64,
    /// The last `matched` said.
    told: Index,
    pub(crate) incoming: Option<Incoming>,
}

impl Core {
    /// Puts an entry of this term at the end of the log.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            index: self.log.last() + 1,
            term: self.term,
            payload,
        };
        self.roll.note(&entry);
        self.log.push(entry);
        self.log.last()
    }

    /// A sign of life to all, which their answers name.
    pub(crate) fn beat(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        lead.round += 1;
        lead.beat_due = self.now + BEAT;
        lead.aim = self.commit;
        lead.questions.beaten(lead.round, self.now);
        let learners = lead.learners.len();
        lead.learners
            .retain(|seat| self.now < lead.peers[seat].heard_at + LEARNER_GONE);
        if lead.learners.len() < learners {
            self.seat_peers();
        }
        let Some(lead) = &mut self.lead else { return };
        let mut messages = Vec::new();
        for (seat, peer) in &lead.peers {
            let asleep = self.now >= peer.heard_at + ASLEEP && lead.round % ASLEEP_BEATS != 0;
            if asleep || lead.is_succeeded(seat) {
                continue;
            }
            // Where the snapshot is under way, `prev` is what all logs agree on.
            let prev = if let Mode::Fill(_) = peer.mode {
                0
            } else {
                peer.next - 1
            };
            let (prev, prev_term) = self.log.term_at(prev).map_or((0, 0), |term| (prev, term));
            let commit = self.commit;
            let round = lead.round;
            messages.push((
                *seat,
                Message::Append {
                    round,
                    prev,
                    prev_term,
                    commit,
                    entries: Vec::new(),
                },
            ));
        }
        for (seat, message) in messages {
            self.send(seat, message);
        }
        self.check_filling();
        self.point_forlorn();
    }

    /// Sends each follower what it lacks, as far as there is room.
    pub(crate) fn pump(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let seats: Vec<Seat> = lead
            .peers
            .keys()
            .copied()
            .filter(|seat| !lead.is_succeeded(seat))
            .collect();
        let mut messages = Vec::new();
        for seat in seats {
            let peer = lead.peers.get_mut(&seat).expect("listed");
            if self.now >= peer.heard_at + QUIET {
                continue;
            }
            while peer.has_room() && peer.next <= self.log.last() {
                let prev = peer.next - 1;
                let Some(prev_term) = self.log.term_at(prev) else {
                    let snapshot = self
                        .log
                        .snapshot()
                        .expect("what is dropped is in the snapshot");
                    peer.flying.clear();
                    peer.mode = Mode::Fill(Filling::begin(snapshot.clone(), self.now));
                    break;
                };
                let entries = self.log.piece(peer.next);
                peer.next += entries.len() as u64;
                peer.flying
                    .push_back((peer.next - 1, entries.iter().map(Entry::weight).sum()));
                if let Mode::Probe { asked } = &mut peer.mode {
                    *asked = true;
                }
                let (commit, round) = (self.commit, lead.round);
                messages.push((
                    seat,
                    Message::Append {
                        round,
                        prev,
                        prev_term,
                        commit,
                        entries,
                    },
                ));
            }
            if let Mode::Fill(filling) = &mut peer.mode {
                messages.extend(filling.pieces().into_iter().map(|piece| (seat, piece)));
            }
        }
        for (seat, message) in messages {
            self.send(seat, message);
        }
    }

    /// From the leader of this term.
    pub(crate) fn on_append(
        &mut self,
        from: Seat,
        round: u64,
        (prev, prev_term): (Index, Term),
        commit: Index,
        entries: Vec<Entry>,
    ) {
        // What is committed here agrees with every leader's log, kept or not.
        let agrees = prev <= self.commit || self.log.term_at(prev) == Some(prev_term);
        if !agrees {
            let missing = if prev > self.log.last() {
                self.log.last()
            } else {
                self.log.before_run(prev)
            };
            self.following.round = self.following.round.max(round);
            let matched = self.matched();
            self.send(
                from,
                Message::AppendReply {
                    round,
                    matched,
                    missing: Some(missing),
                },
            );
            return;
        }
        let upto = prev + entries.len() as u64;
        if !entries
            .iter()
            .zip(prev + 1..)
            .all(|(entry, index)| entry.index == index)
        {
            return;
        }
        for entry in entries {
            self.take_entry(entry);
        }
        let following = &mut self.following;
        following.verified = following.verified.max(upto);
        let beaten = round > following.round;
        following.round = following.round.max(round);
        let repeated = upto > prev && self.disk.durable >= upto;
        let verified = following.verified;
        self.advance_following(commit.min(verified));
        if beaten || repeated {
            self.reply(from);
        }
    }

    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last() {
            self.log.cut(entry.index);
            self.roll.cut(entry.index);
            self.disk.cut(entry.index);
        }
        self.roll.note(&entry);
        self.log.push(entry);
    }

    pub(crate) fn advance_following(&mut self, commit: Index) {
        self.commit = self.commit.max(commit);
    }

    pub(crate) fn verify(&mut self, index: Index) {
        self.following.verified = self.following.verified.max(index);
    }

    /// Up to where the log agrees with the leader's and is on disk.
    fn matched(&self) -> Index {
        self.following.verified.min(self.disk.durable)
    }

    pub(crate) fn reply(&mut self, leader: Seat) {
        let matched = self.matched();
        self.following.told = matched;
        let round = self.following.round;
        self.send(
            leader,
            Message::AppendReply {
                round,
                matched,
                missing: None,
            },
        );
    }

    /// The disk has completed a write: tells the leader if that moved what it counts.
    pub(crate) fn reply_durable(&mut self) {
        if let Some(leader) = self.leader.filter(|leader| *leader != self.me) {
            if self.matched() > self.following.told {
                self.reply(leader);
            }
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: Seat,
        round: u64,
        matched: Index,
        missing: Option<Index>,
    ) {
        let Some(lead) = &mut self.lead else { return };
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        peer.heard_at = self.now;
        peer.round = peer.round.max(round);
        peer.advance(matched);
        match (&mut peer.mode, missing) {
            (Mode::Fill(filling), _) => {
                if peer.matched >= filling.index() {
                    let matched = peer.matched;
                    peer.rewind(matched);
                }
            }
            (_, Some(missing)) => {
                let back = missing.min(peer.next.saturating_sub(2));
                peer.rewind(back);
            }
            (mode, None) => *mode = Mode::Stream,
        }
    }

    /// Commits what more than half have on disk, once something of this term is among it (an entry of an earlier term may
    /// be on more than half and yet be overwritten; Raft, figure 8).
    pub(crate) fn advance_commit(&mut self) {
        let mut listed = false;
        while let Some(lead) = &self.lead {
            let on_disk = |seat: &Seat| match lead.peers.get(seat) {
                _ if *seat == self.me => self.disk.durable,
                // It may be gone already: what is acknowledged from now on stands on the others.
                _ if lead.leavers.is_dismissed(seat) => 0,
                peer => peer.map_or(0, |peer| peer.matched),
            };
            let agreed = self.roll.agreed(self.commit, on_disk).min(self.log.last());
            if agreed <= self.commit || self.log.term_at(agreed) != Some(self.term) {
                break;
            }
            listed |= (self.commit + 1..=agreed).contains(&self.roll.newest_index());
            self.commit = agreed;
        }
        if listed {
            // Those whom it concerns should know at once: they store it, and a machine that was filled counts from now.
            self.seat_peers();
            self.beat();
        }
    }
}
