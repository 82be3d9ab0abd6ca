//! Who votes, and how that changes.
//!
//! The list of voters is an entry of the log and holds from the moment a machine has that entry. Until the machine knows
//! it committed, it needs more than half of the list before it *and* more than half of the new one, to lead and to
//! commit. One change at a time: the leader proposes the next only when the last is committed, and only after it has
//! committed an entry of its own term.
//!
//! A wiped machine comes back as a new life at its old address. It is filled as a learner, then one entry puts the new
//! seat in the place of the old one. Two such lists may have halves that share no member, {old A, B} and {new A, C}, so
//! why is that safe in one step? The entry commits only with more than half of the *old* list, too, in which the old A
//! can no longer take part: with {B, C}. Suppose a leader that lacks the entry, elected by more than half of the old
//! list, then or later. The halves overlap: some voter of it, not the old A, also stored the entry (of a half that holds
//! votes which the old A gave in its time, the rest still overlaps with every half that does not hold it). If this voter
//! stored the entry first, it would not have voted for a log without it. If it voted first, its term was newer than that
//! of the entry's leader, whose entry it would have turned away. So no such leader stands once the entry is committed,
//! and halves of the old list alone decide nothing any more. What was committed before is in every log that has the entry.
//! The new A has promised nothing yet, and only those who have the entry count it.
//!
//! Nothing in this rests on the old A being wiped. So a filled machine at a new address may as well take the place of a
//! voter that has been silent for [`STAND_IN`]. Otherwise it is added, but only while all voters answer: with one of
//! three gone and a fourth added, the loss of that fourth would leave two of four. A voter silent for [`GONE`] is taken
//! out if enough stay.

use crate::log::Log;
use crate::replication::Peer;
use crate::{Core, Entry, Index, Micros, Payload, Seat};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// The most voters: a core has eleven machines at most.
pub const MAX_VOTERS: usize = 11;
/// Learners at once: the machines that one day may add together; each costs the leader a window of bytes.
pub(crate) const MAX_LEARNERS: usize = 8;
/// A voter that has not answered for so long may be gone, a learner is not to be relied on: ten beats.
const QUIET: Micros = 1_000_000;
/// A voter silent for a quarter of `catch_up` is out: the rest is for finding a leader, should that have been lost with
/// it (1.2 s at most in the raft-simulation), for filling a successor, and for the change.
const OUT_PART: Micros = 4;
/// But not sooner than a leader is given up for being unheard, and not later than the longest cuts last.
const OUT_LEAST: Micros = 500_000;
const OUT_MOST: Micros = 30_000_000;
/// Never fewer voters than this, nor fewer than bear the loss of `withstand`, after taking some out.
const FEWEST: usize = 3;

/// Addresses remembered of members and of those that waited: two cores' worth.
const MOST_MET: usize = 2 * MAX_VOTERS;

/// A list of voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Sorted, one seat an address.
    pub voters: Vec<Seat>,
}

impl Members {
    pub(crate) fn founders(seeds: &[SocketAddrV4]) -> Members {
        let seeds: BTreeSet<SocketAddrV4> = seeds.iter().copied().collect();
        Members {
            voters: seeds
                .into_iter()
                .map(|address| Seat { address, life: 0 })
                .collect(),
        }
    }

    /// The highest value that more than half have reached.
    fn agreed(&self, value: &impl Fn(&Seat) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(value).collect();
        values.sort_unstable();
        if values.is_empty() {
            return 0;
        }
        values[(values.len() - 1) / 2]
    }
}

/// The lists of voters in the log.
pub(crate) struct Roll {
    /// The list at the snapshot; empty on a machine that knows none yet.
    base: Members,
    /// Those after it, by index.
    later: Vec<(Index, Members)>,
    /// Where it stands that the list before is in force.
    ends: Vec<Index>,
    /// Addresses of members and learners, those met last at the end.
    met: VecDeque<SocketAddrV4>,
}

impl Roll {
    pub(crate) fn of(log: &Log) -> Roll {
        let mut roll = Roll {
            base: log
                .snapshot()
                .map_or_else(Members::default, |snapshot| snapshot.members.clone()),
            later: Vec::new(),
            ends: Vec::new(),
            met: VecDeque::new(),
        };
        roll.meet(&roll.base.voters.clone());
        for entry in log.since(log.snapshot_index() + 1) {
            roll.note(entry);
        }
        roll
    }

    pub(crate) fn meet(&mut self, seats: &[Seat]) {
        for Seat { address, .. } in seats {
            self.met.retain(|met| met != address);
            self.met.push_back(*address);
        }
        self.met.drain(..self.met.len().saturating_sub(MOST_MET));
    }

    /// Takes note of an entry put at the end of the log.
    pub(crate) fn note(&mut self, entry: &Entry) {
        match &entry.payload {
            Payload::Members(members) => {
                self.meet(&members.voters);
                self.later.push((entry.index, members.clone()));
            }
            Payload::JointEnd => self.ends.push(entry.index),
            Payload::Noop | Payload::Command { .. } => {}
        }
    }

    pub(crate) fn cut(&mut self, from: Index) {
        self.later.retain(|(index, _)| *index < from);
        self.ends.retain(|index| *index < from);
    }

    pub(crate) fn newest(&self) -> &Members {
        self.later.last().map_or(&self.base, |(_, members)| members)
    }

    /// Where the newest list stands; 0 if in the snapshot.
    pub(crate) fn newest_index(&self) -> Index {
        self.later.last().map_or(0, |(index, _)| *index)
    }

    pub(crate) fn at(&self, index: Index) -> &Members {
        self.later
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.base, |(_, members)| members)
    }

    pub(crate) fn forget_before(&mut self, index: Index) {
        self.base = self.at(index).clone();
        self.later.retain(|(at, _)| *at > index);
        self.ends.retain(|at| *at > index);
    }

    /// A snapshot was taken over, with its list.
    pub(crate) fn install(&mut self, index: Index, members: Members) {
        self.meet(&members.voters);
        self.base = members;
        self.later.retain(|(at, _)| *at > index);
        self.ends.retain(|at| *at > index);
    }

    /// Where it stands that a list is in force; 0 if that is in the snapshot, or nowhere.
    fn last_end(&self) -> Index {
        self.ends.last().copied().unwrap_or(0)
    }

    /// The list that counts beside the newest one as long as the log does not say that this is in force. The founders'
    /// list has none before it.
    fn before(&self) -> Option<&Members> {
        let newest = self.newest_index();
        let joint = newest > self.last_end();
        joint
            .then(|| self.at(newest - 1))
            .filter(|members| !members.voters.is_empty())
    }

    /// The list before the newest one while it isn't known to all that it is over.
    pub(crate) fn unfinished(&self, commit: Index) -> Option<&Members> {
        let newest = self.newest_index();
        (newest.max(self.last_end()) > commit && newest > 0).then(|| self.at(newest - 1))
    }

    /// The list that counts beside the newest one, as far as is known to a machine that knows of this commit.
    fn previous(&self, commit: Index) -> Option<&Members> {
        self.before().filter(|_| self.newest_index() > commit)
    }

    /// The highest value that more than half of every list in force have reached.
    pub(crate) fn agreed(&self, commit: Index, value: impl Fn(&Seat) -> u64) -> u64 {
        let newest = self.newest().agreed(&value);
        self.previous(commit)
            .map_or(newest, |previous| newest.min(previous.agreed(&value)))
    }

    pub(crate) fn majority(&self, commit: Index, holds: impl Fn(&Seat) -> bool) -> bool {
        self.agreed(commit, |seat| u64::from(holds(seat))) == 1
    }

    /// All voters of the lists in force.
    pub(crate) fn in_force(&self, commit: Index) -> BTreeSet<Seat> {
        let previous = self
            .previous(commit)
            .map_or(&[][..], |members| &members.voters);
        self.newest()
            .voters
            .iter()
            .chain(previous)
            .copied()
            .collect()
    }
}

/// What the leader knows of another machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    pub seat: Seat,
    /// False while it is being filled.
    pub votes: bool,
    /// When it last answered; the start of the leadership if it has not since.
    pub heard_at: Micros,
    /// Its disk holds the log up to here.
    pub matched: Index,
}

impl Core {
    /// The other machines, as the leader sees them; empty on others.
    pub fn contacts(&self) -> Vec<Contact> {
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        let contact = |(seat, peer): (&Seat, &Peer)| Contact {
            seat: *seat,
            votes: self.voters().contains(seat),
            heard_at: peer.heard_at,
            matched: peer.matched,
        };
        lead.peers.iter().map(contact).collect()
    }

    /// The voters before the newest list, while that is not known here to be in force.
    pub fn voters_before(&self) -> Option<&[Seat]> {
        self.roll
            .previous(self.commit)
            .map(|members| &members.voters[..])
    }

    /// Machines being filled, as the leader knows them; empty on others.
    pub fn learners(&self) -> Vec<Seat> {
        self.lead
            .as_ref()
            .map_or_else(Vec::new, |lead| lead.learners.iter().copied().collect())
    }

    /// Whether a change of the list is under way.
    pub(crate) fn is_changing(&self) -> bool {
        self.roll.unfinished(self.commit).is_some() || self.roll.before().is_some()
    }

    /// The leader's care for the list: one change at a time, each in two steps.
    pub(crate) fn tend_members(&mut self) {
        let Some(lead) = &self.lead else { return };
        if self.commit < lead.first || self.roll.unfinished(self.commit).is_some() {
            return;
        }
        if self.roll.before().is_some() {
            self.append(Payload::JointEnd);
        } else if !self.is_voter() {
            // It led because it held most, and has seen the list without it into force.
            self.give_way();
        } else if let Some(members) = self.next_members() {
            self.append(Payload::Members(members));
            self.seat_peers();
        }
    }

    /// How long a voter may be silent before another takes its seat. One that this leader has never heard was out before,
    /// as like as not.
    fn out_after(&self, was_heard: bool) -> Micros {
        let span = (self.catch_up / OUT_PART).clamp(OUT_LEAST, OUT_MOST);
        if was_heard {
            span
        } else {
            OUT_LEAST
        }
    }

    /// The list that would be better than the one in force, if there is one. Whoever waits for a seat takes that of a
    /// voter that is out, in one step, so that the number of voters stays; otherwise it waits for a second one, as an even
    /// number bears no more losses than the odd one below it, and needs one machine more.
    pub(crate) fn next_members(&self) -> Option<Members> {
        let lead = self.lead.as_ref()?;
        let silence = |seat: &Seat| {
            lead.peers
                .get(seat)
                .map_or(0, |peer| self.now.saturating_sub(peer.heard_at))
        };
        let answers = |seat: &Seat| {
            let peer = lead.peers.get(seat);
            *seat == self.me || peer.is_some_and(|peer| peer.round > 0 && silence(seat) < QUIET)
        };
        // Filled: it holds all that was committed by the last beat (with traffic there is always something on its way).
        let is_filled = |seat: &&Seat| lead.peers[seat].matched >= lead.aim.max(lead.first);
        let newest = &self.roll.newest().voters;
        let mut voters = newest.clone();
        let mut waiting = Vec::new();
        for seat in lead
            .learners
            .iter()
            .filter(|seat| answers(seat))
            .filter(is_filled)
        {
            // Another life at the address of a voter: that one's disk is gone.
            match voters
                .iter_mut()
                .find(|voter| voter.address == seat.address)
            {
                Some(voter) => *voter = *seat,
                None => waiting.push(*seat),
            }
        }
        let was_heard = |seat: &Seat| lead.peers.get(seat).is_some_and(|peer| peer.round > 0);
        let is_out = |seat: &Seat| {
            let is_silent = || silence(seat) > self.out_after(was_heard(seat));
            *seat != self.me && (lead.leavers.contains(seat) || is_silent())
        };
        let mut out: Vec<Seat> = newest
            .iter()
            .copied()
            .filter(|seat| voters.contains(seat) && is_out(seat))
            .collect();
        // Those that stop last of all, then those silent for longest: taken from the end.
        out.sort_by_key(|seat| (lead.leavers.contains(seat), silence(seat)));
        while let Some(old) = out.pop_if(|_| !waiting.is_empty()) {
            voters.retain(|voter| *voter != old);
            voters.extend(waiting.pop());
        }
        let step = 1 + voters.len() % 2;
        // One dead voter of an even number is only one more whose answer is needed.
        let wanted = FEWEST.max(2 * self.withstand + 1).min(MAX_VOTERS);
        let floor = if step == 1 { FEWEST } else { wanted };
        if out.len() >= step && voters.len() >= floor + step {
            let gone = out.split_off(out.len() - step);
            voters.retain(|voter| !gone.contains(voter));
        } else {
            let has_room = waiting.len() >= step && voters.len() + step <= wanted;
            if out.is_empty() && has_room && voters.iter().all(answers) {
                voters.extend(waiting.drain(..step));
            }
        }
        voters.sort();
        (voters != *newest).then_some(Members { voters })
    }

    /// Addresses that this machine has met and that the leader does not talk to.
    pub(crate) fn forlorn(&self) -> Vec<SocketAddrV4> {
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        let talks = |met: &SocketAddrV4| {
            *met == self.me.address || lead.peers.keys().any(|seat| seat.address == *met)
        };
        self.roll
            .met
            .iter()
            .copied()
            .filter(|met| !talks(met))
            .collect()
    }

    /// The leader talks to all voters in force and to the learners, to no one else.
    pub(crate) fn seat_peers(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let in_force = self.roll.in_force(self.commit);
        lead.learners.retain(|seat| !in_force.contains(seat));
        lead.peers
            .retain(|seat, _| in_force.contains(seat) || lead.learners.contains(seat));
        for seat in in_force.into_iter().filter(|seat| *seat != self.me) {
            lead.peers
                .entry(seat)
                .or_insert_with(|| Peer::begin(self.log.last() + 1, self.now));
        }
    }
}
