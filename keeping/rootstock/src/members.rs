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
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// The most voters: a core has eleven machines at most.
pub const MAX_VOTERS: usize = 11;
/// Learners at once: the machines that one day may add together; each costs the leader a window of bytes.
pub(crate) const MAX_LEARNERS: usize = 8;
/// A voter that has not answered for so long may be gone: ten beats.
const QUIET: Micros = 1_000_000;
/// One silent for so long gives its place to a machine that waits for one: longer than restarts, hangs and most cuts.
const STAND_IN: Micros = 30_000_000;
/// One silent for so long is taken out, so that machines that were given up don't count for ever. A machine that comes
/// back later is taken in again within a second.
const GONE: Micros = 300_000_000;
/// Never fewer voters than this after taking one out: with three, one may still be lost.
const FEWEST: usize = 3;

/// A list of voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Sorted, one seat an address.
    pub voters: Vec<Seat>,
}

impl Members {
    pub(crate) fn founders(seeds: &[SocketAddrV4]) -> Members {
        let seeds: BTreeSet<SocketAddrV4> = seeds.iter().copied().collect();
        Members { voters: seeds.into_iter().map(|address| Seat { address, life: 0 }).collect() }
    }

    /// Without `old`, with `new`.
    fn exchange(&self, old: Option<Seat>, new: Option<Seat>) -> Members {
        let stay = self.voters.iter().copied().filter(|voter| Some(*voter) != old);
        let mut voters: Vec<Seat> = stay.chain(new).collect();
        voters.sort();
        Members { voters }
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
}

impl Roll {
    pub(crate) fn of(log: &Log) -> Roll {
        let mut roll = Roll {
            base: log.snapshot().map_or_else(Members::default, |snapshot| snapshot.members.clone()),
            later: Vec::new(),
        };
        for entry in log.since(log.snapshot_index() + 1) {
            roll.note(entry);
        }
        roll
    }

    /// Takes note of an entry put at the end of the log.
    pub(crate) fn note(&mut self, entry: &Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.later.push((entry.index, members.clone()));
        }
    }

    pub(crate) fn cut(&mut self, from: Index) {
        self.later.retain(|(index, _)| *index < from);
    }

    pub(crate) fn newest(&self) -> &Members {
        self.later.last().map_or(&self.base, |(_, members)| members)
    }

    /// Where the newest list stands; 0 if in the snapshot.
    pub(crate) fn newest_index(&self) -> Index {
        self.later.last().map_or(0, |(index, _)| *index)
    }

    pub(crate) fn at(&self, index: Index) -> &Members {
        self.later.iter().rev().find(|(at, _)| *at <= index).map_or(&self.base, |(_, members)| members)
    }

    pub(crate) fn forget_before(&mut self, index: Index) {
        self.base = self.at(index).clone();
        self.later.retain(|(at, _)| *at > index);
    }

    /// A snapshot was taken over, with its list.
    pub(crate) fn install(&mut self, index: Index, members: Members) {
        self.base = members;
        self.later.retain(|(at, _)| *at > index);
    }

    /// The list before the newest if the newest is not known to be committed. The one before it then is: a second change
    /// is only made after that. The founders' list has none before it.
    fn previous(&self, commit: Index) -> Option<&Members> {
        let newest = self.newest_index();
        (newest > commit).then(|| self.at(newest - 1)).filter(|members| !members.voters.is_empty())
    }

    /// The highest value that more than half of every list in force have reached.
    pub(crate) fn agreed(&self, commit: Index, value: impl Fn(&Seat) -> u64) -> u64 {
        let newest = self.newest().agreed(&value);
        self.previous(commit).map_or(newest, |previous| newest.min(previous.agreed(&value)))
    }

    pub(crate) fn majority(&self, commit: Index, holds: impl Fn(&Seat) -> bool) -> bool {
        self.agreed(commit, |seat| u64::from(holds(seat))) == 1
    }

    /// All voters of the lists in force.
    pub(crate) fn in_force(&self, commit: Index) -> BTreeSet<Seat> {
        let previous = self.previous(commit).map_or(&[][..], |members| &members.voters);
        self.newest().voters.iter().chain(previous).copied().collect()
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
        let Some(lead) = &self.lead else { return Vec::new() };
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
        self.roll.previous(self.commit).map(|members| &members.voters[..])
    }

    /// Machines being filled, as the leader knows them; empty on others.
    pub fn learners(&self) -> Vec<Seat> {
        self.lead.as_ref().map_or_else(Vec::new, |lead| lead.learners.iter().copied().collect())
    }

    /// The leader's care for the list: a filled learner votes, a voter long gone does not.
    pub(crate) fn tend_members(&mut self) {
        let Some(lead) = &self.lead else { return };
        if self.roll.newest_index() > self.commit || self.commit < lead.first {
            return;
        }
        let newest = self.roll.newest();
        let silence =
            |seat: &Seat| lead.peers.get(seat).map_or(0, |peer| self.now.saturating_sub(peer.heard_at));
        // Filled: it holds all that was committed by the last beat (with traffic there is always something on its way).
        let is_filled = |seat: &&Seat| lead.peers[seat].matched >= lead.aim.max(lead.first);
        let filled = || lead.learners.iter().filter(is_filled).copied();
        let same = |seat: &Seat| newest.voters.iter().copied().find(|voter| voter.address == seat.address);
        let silent = |span| newest.voters.iter().copied().find(|voter| silence(voter) > span);
        let back = || filled().find_map(|seat| same(&seat).map(|old| newest.exchange(Some(old), Some(seat))));
        let added = || {
            let seat = filled().next()?;
            let instead = silent(STAND_IN);
            let answers = |voter: &Seat| {
                let peer = lead.peers.get(voter);
                *voter == self.me || peer.is_some_and(|peer| peer.round > 0 && silence(voter) < QUIET)
            };
            let has_room = newest.voters.len() < MAX_VOTERS && newest.voters.iter().all(answers);
            (instead.is_some() || has_room).then(|| newest.exchange(instead, Some(seat)))
        };
        let left = || {
            let gone = silent(GONE).filter(|_| newest.voters.len() > FEWEST)?;
            Some(newest.exchange(Some(gone), None))
        };
        if let Some(members) = back().or_else(added).or_else(left) {
            self.append(Payload::Members(members));
            self.seat_peers();
        }
    }

    /// The leader talks to all voters in force and to the learners, to no one else.
    pub(crate) fn seat_peers(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let in_force = self.roll.in_force(self.commit);
        lead.learners.retain(|seat| !in_force.contains(seat));
        lead.peers.retain(|seat, _| in_force.contains(seat) || lead.learners.contains(seat));
        for seat in in_force.into_iter().filter(|seat| *seat != self.me) {
            lead.peers.entry(seat).or_insert_with(|| Peer::begin(self.log.last() + 1, self.now));
        }
    }
}
