//! How a leader is found, and when one steps down.

use crate::replication::{Following, Lead};
use crate::{Core, Index, Message, Micros, Payload, Role, Seat, Term};
use rand::Rng;

/// Followers wait at least so long for their leader, and refuse votes for so long after they heard it: four beats, so
/// that one lost and one late are not an election.
pub(crate) const ELECTION_MIN: Micros = 400_000;
/// The wait is drawn up to so much longer: two waits then rarely lie closer than a vote takes (some 10 ms), and most
/// leaders are replaced within 0.7 s.
const ELECTION_SPREAD: Micros = 400_000;
/// The next try after one that found no majority, and its spread: longer than a vote with two syncs of a slow disk (60
/// ms each); shorter than the first wait, as the leader is gone already. Doubled from the third try on.
const RETRY: Micros = 200_000;
const RETRY_SPREAD: Micros = 200_000;
/// At the very first start there is no leader that could live: founders try from here on.
const FOUNDING: Micros = 50_000;
/// A machine that has restarted asks the others this often whether they all have, and a little later by chance: that
/// costs some ten messages in all, and a vote takes some 10 ms.
const PROBE: Micros = 40_000;
/// A leader that has not heard more than half of the voters for so long steps down: five beats unanswered, before its
/// followers have found another one in most cases.
pub(crate) const QUORUM_PATIENCE: Micros = 500_000;

impl Core {
    fn draw(&mut self, least: Micros, spread: Micros) -> Micros {
        least + self.rng.gen_range(0..spread)
    }

    pub(crate) fn set_first_timeout(&mut self, fresh: bool, founds: bool) {
        let wait = self.draw(
            if founds { FOUNDING } else { ELECTION_MIN },
            ELECTION_SPREAD,
        );
        self.election_due = self.now + wait;
        if !fresh {
            self.restarted = Some(self.election_due);
            self.election_due = self.now + self.draw(PROBE, PROBE);
        }
    }

    /// Enters `term` if it is newer, and follows whoever leads it.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<Seat>) {
        if self.role != Role::Follower {
            self.stand_back();
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.disk.hard_changed();
            self.leader = None;
        }
        if self.leader != leader {
            self.leader = leader;
            self.following = Following::default();
        }
    }

    /// No longer leads or stands; what was proposed here and has no answer yet is lost from sight.
    pub(crate) fn stand_back(&mut self) {
        if let Some(lead) = self.lead.take() {
            self.answer_lost(lead);
            self.heard_at = None;
            self.asking.silent_since = Some(self.now);
        }
        self.role = Role::Follower;
        self.leader = None;
        self.granted.clear();
        self.following = Following::default();
        self.election_due = self.now + self.draw(ELECTION_MIN, ELECTION_SPREAD);
    }

    /// A message that only the leader of this term sends. False if it is not from the one that is known.
    pub(crate) fn hear_leader(&mut self, from: Seat) -> bool {
        if self.lead.is_some() || self.leader.is_some_and(|leader| leader != from) {
            return false;
        }
        self.follow(self.term, Some(from));
        if self.vote.is_none() {
            self.vote = Some(from);
            self.disk.hard_changed();
        }
        self.heard_at = Some(self.now);
        self.restarted = None;
        self.asking.silent_since = Some(self.now);
        self.tries = 0;
        self.election_due = self.now + self.draw(ELECTION_MIN, ELECTION_SPREAD);
        true
    }

    /// Whether a leader lives as far as this machine knows: then it helps no other one.
    fn has_live_leader(&self) -> bool {
        self.lead.is_some() || self.heard_at.is_some_and(|at| self.now < at + ELECTION_MIN)
    }

    pub(crate) fn check_election(&mut self) {
        if self.now < self.election_due || !self.may_lead() {
            return;
        }
        match self.restarted.filter(|until| self.now < *until) {
            Some(until) => self.election_due = until.min(self.now + self.draw(PROBE, PROBE)),
            None => {
                self.restarted = None;
                let factor = if self.tries < 3 { 1 } else { 2 };
                self.election_due = self.now + factor * self.draw(RETRY, RETRY_SPREAD);
                self.tries += 1;
            }
        }
        if !self.is_disk_fit() {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.following = Following::default();
        self.granted = [self.me].into();
        self.if_all = [(self.me, self.start)].into();
        self.ask_voters(Message::PreVote {
            last: self.log.last(),
            last_term: self.log.last_term(),
        });
    }

    fn ask_voters(&mut self, message: Message) {
        for seat in self.roll.in_force(self.commit) {
            if seat != self.me {
                self.send(seat, message.clone());
            }
        }
    }

    /// Stands for election in a new term. The requests, and its own vote, wait for the disk.
    fn stand(&mut self, handed_over: bool, restarted: bool) {
        self.restarted = None;
        self.term += 1;
        self.vote = Some(self.me);
        self.disk.hard_changed();
        self.role = Role::Candidate;
        self.leader = None;
        self.following = Following::default();
        self.granted = [self.me].into();
        self.election_due = self.now + self.draw(RETRY, RETRY_SPREAD);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for seat in self.roll.in_force(self.commit) {
            if seat != self.me {
                let restarted = self.if_all.get(&seat).copied().filter(|_| restarted);
                self.send(
                    seat,
                    Message::Vote {
                        last,
                        last_term,
                        handed_over,
                        restarted,
                    },
                );
            }
        }
    }

    /// Goes on with an election that has enough votes.
    pub(crate) fn elect(&mut self) {
        if matches!(self.role, Role::Follower | Role::Leader) {
            return;
        }
        let won = self
            .roll
            .majority(self.commit, |seat| self.granted.contains(seat));
        if self.role == Role::PreCandidate && self.restarted.is_some() {
            // Its own vote may be what an earlier leader's lease rests on. Where every voter has restarted nobody leads, as
            // leaders are voters and who restarts does not lead. One of the list before leads until the change is over.
            let mut all = self.roll.in_force(self.commit);
            all.extend(
                self.roll
                    .unfinished(self.commit)
                    .into_iter()
                    .flat_map(|before| &before.voters),
            );
            if all
                .iter()
                .all(|seat| self.if_all.contains_key(seat) || self.granted.contains(seat))
            {
                self.stand(false, true);
            }
        } else if self.role == Role::PreCandidate && won {
            self.stand(false, false);
        }
        let won = self
            .roll
            .majority(self.commit, |seat| self.granted.contains(seat));
        if self.role == Role::Candidate && won && self.disk.is_hard_durable() {
            self.begin_leading();
        }
    }

    fn begin_leading(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.granted.clear();
        self.lead = Some(Lead::begin(self.now, self.log.last() + 1));
        self.seat_peers();
        self.append(Payload::Noop);
        self.beat();
    }

    fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    /// Says yes only if a vote would be given. Says no only to hand on a newer term; silence costs less.
    pub(crate) fn on_pre_vote(&mut self, from: Seat, term: Term, last: Index, last_term: Term) {
        let granted = term >= self.term && self.is_up_to_date(last, last_term);
        if self.has_live_leader() {
            if granted && self.restarted.is_some() {
                self.send(
                    from,
                    Message::PreVoteIfAll {
                        next_term: term + 1,
                        start: self.start,
                    },
                );
            }
            return;
        }
        if granted || term < self.term {
            self.send(
                from,
                Message::PreVoteReply {
                    next_term: term + 1,
                    granted,
                },
            );
        }
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: Seat,
        term: Term,
        next_term: Term,
        granted: bool,
    ) {
        if self.role != Role::PreCandidate {
            return;
        }
        if granted && next_term == self.term + 1 {
            self.granted.insert(from);
        } else if !granted && term > self.term {
            self.follow(term, None);
        }
    }

    pub(crate) fn on_pre_vote_if_all(&mut self, from: Seat, next_term: Term, start: u64) {
        if self.role == Role::PreCandidate && next_term == self.term + 1 {
            self.if_all.insert(from, start);
        }
    }

    /// A vote counts for this seat and is given by it, whatever list this machine has: the candidate knows a list with it.
    pub(crate) fn on_vote(
        &mut self,
        from: Seat,
        term: Term,
        (last, last_term): (Index, Term),
        handed_over: bool,
        restarted: Option<u64>,
    ) {
        let all_restarted = self.restarted.is_some() && restarted == Some(self.start);
        let released = handed_over || all_restarted;
        if self.has_live_leader() && !released {
            return;
        }
        if term > self.term {
            self.follow(term, None);
        }
        let free = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term
            && self.role == Role::Follower
            && free
            && self.is_up_to_date(last, last_term);
        if granted {
            if self.vote.is_none() {
                self.vote = Some(from);
                self.disk.hard_changed();
            }
            self.restarted = None;
            self.election_due = self.now + self.draw(ELECTION_MIN, ELECTION_SPREAD);
        }
        if granted || term < self.term {
            self.send(from, Message::VoteReply { granted });
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: Seat, granted: bool) {
        if self.role == Role::Candidate && granted {
            self.granted.insert(from);
        }
    }

    /// A leader lives by being answered, and by its disk.
    pub(crate) fn check_leadership(&mut self) {
        let Some(lead) = &self.lead else { return };
        if self.now < lead.beat_due {
            return;
        }
        let heard = |seat: &Seat| {
            let peer = lead.peers.get(seat);
            *seat == self.me || peer.is_some_and(|peer| self.now < peer.heard_at + QUORUM_PATIENCE)
        };
        if !self.roll.majority(self.commit, heard) {
            self.stand_back();
        } else if !self.is_disk_fit() {
            self.give_way();
        } else {
            self.beat();
        }
    }

    /// Steps down in favour of the follower that holds most, so that the others need not wait for their timeouts.
    pub(crate) fn give_way(&mut self) {
        let Some(lead) = &self.lead else { return };
        let fresh = lead.peers.iter().filter(|(seat, peer)| {
            self.voters().contains(seat) && self.now < peer.heard_at + QUORUM_PATIENCE
        });
        let heir = fresh
            .max_by_key(|(_, peer)| peer.matched)
            .map(|(seat, _)| *seat);
        if let Some(heir) = heir {
            self.send(heir, Message::HandOver);
        }
        self.stand_back();
    }

    pub(crate) fn on_hand_over(&mut self, from: Seat) {
        if self.leader == Some(from)
            && self.may_lead()
            && self.is_disk_fit()
            && self.role == Role::Follower
        {
            self.stand(true, false);
        }
    }
}
