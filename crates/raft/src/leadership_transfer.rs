//! Stopping in order: leadership goes to another machine first (leadership transfer), then the leader takes the one that
//! stops out of the list, if another waits for its seat, and tells it when it is needed no more.
//!
//! The process isn't told whether it stops for good or starts again at once, so both have to go well. With no machine
//! waiting the seat stays as it is: a restarted voter is one again at once. With one waiting the seat is handed on, and
//! a machine that comes back waits in its place.

use crate::election::QUORUM_PATIENCE;
use crate::membership::MAX_LEARNERS;
use crate::replication::Peer;
use crate::{Core, Message, Micros, Seat};
use rand::Rng;
use std::collections::BTreeMap;

/// How often the leader is told: half a beat, as each answer may free a machine that is waited for.
const EVERY: Micros = 50_000;
/// A leader that stops takes no more proposals for so long, so that its heir can have all of its log; some round trips
/// even between regions. After that it goes on as before and lets an heir have it that holds all that is in force.
const TRANSFER: Micros = 500_000;
/// A voter silent for longer than the first is in doubt until it is out or was found to stay; none is in doubt for longer
/// than this, so that a stop in order does not wait for long.
const DOUBT: Micros = 1_500_000;
/// A leader younger than this may not know who waits for a seat: these ask once they have heard no leader for half a
/// second, and again each 300 ms.
const YOUNG: Micros = 1_000_000;
/// A machine heard so long after it last said that it stops does not: it has started again.
const FORGOTTEN: Micros = 500_000;

/// What a machine that stops keeps.
pub(crate) struct Leaving {
    since: Micros,
    token: u64,
    told_at: Option<Micros>,
    /// Who waited for a seat when this machine handed its leadership on.
    waiting: Option<Vec<Seat>>,
    left: bool,
}

/// The machines that said they stop, as the leader knows them.
#[derive(Default)]
pub(crate) struct Leavers(BTreeMap<Seat, Leaver>);

struct Leaver {
    told_at: Micros,
    /// It was told that it is needed no more, with its seat kept: it may be gone at any moment.
    dismissed: bool,
}

impl Leavers {
    /// Whether it said that it stops, and was not heard since as one does that has started again.
    pub(crate) fn contains(&self, seat: &Seat) -> bool {
        self.0.contains_key(seat)
    }

    pub(crate) fn is_dismissed(&self, seat: &Seat) -> bool {
        self.0.get(seat).is_some_and(|leaver| leaver.dismissed)
    }

    pub(crate) fn is_back(&mut self, seat: &Seat) {
        self.0.remove(seat);
    }

    /// It was heard, and did not say that it stops.
    fn forget(&mut self, heard_at: impl Fn(&Seat) -> Micros) {
        self.0
            .retain(|seat, leaver| heard_at(seat) < leaver.told_at + FORGOTTEN);
    }
}

impl Core {
    /// Whether this machine was asked to stop and is needed no more.
    pub fn has_left(&self) -> bool {
        self.leaving.as_ref().is_some_and(|leaving| leaving.left)
    }

    pub(crate) fn leave(&mut self) {
        let token = self.rng.gen();
        let begun = Leaving {
            since: self.now,
            token,
            told_at: None,
            waiting: None,
            left: false,
        };
        self.leaving.get_or_insert(begun);
    }

    pub(crate) fn leave_due(&self) -> Option<Micros> {
        let leaving = self.leaving.as_ref().filter(|leaving| !leaving.left)?;
        Some(leaving.told_at.map_or(self.now, |at| at + EVERY))
    }

    /// Whether proposals are to wait for the next leader.
    pub(crate) fn is_transferring(&self) -> bool {
        let Some(leaving) = &self.leaving else {
            return false;
        };
        self.now < leaving.since + TRANSFER && self.heirs().next().is_some()
    }

    /// Voters that could lead in this leader's place, and how much of the log they hold.
    fn heirs(&self) -> impl Iterator<Item = (Seat, u64)> + '_ {
        let heir = |seat: &Seat| {
            let lead = self.lead.as_ref()?;
            let peer = lead.peers.get(seat)?;
            let fresh = peer.round > 0 && self.now < peer.heard_at + QUORUM_PATIENCE;
            (fresh && !lead.leavers.contains(seat)).then_some((*seat, peer.matched))
        };
        self.voters().iter().filter_map(heir)
    }

    /// What a machine that stops does, once every [`EVERY`] or so.
    pub(crate) fn tend_leaving(&mut self) {
        if let Some(lead) = &mut self.lead {
            let peers = &lead.peers;
            lead.leavers
                .forget(|seat| peers.get(seat).map_or(0, |peer| peer.heard_at));
        }
        if self.leave_due().is_none() {
            return;
        }
        if self.lead.is_some() {
            self.hand_on();
        }
        if self.leave_due().is_none_or(|due| self.now < due) {
            return;
        }
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        leaving.told_at = Some(self.now);
        let (token, waiting) = (leaving.token, leaving.waiting.clone());
        if self.lead.is_some() {
            return;
        }
        let everyone = || {
            self.voters()
                .iter()
                .copied()
                .filter(|seat| *seat != self.me)
                .collect()
        };
        let told: Vec<Seat> = self.leader.map_or_else(everyone, |leader| vec![leader]);
        for seat in told {
            self.send(
                seat,
                Message::Leave {
                    token,
                    waiting: waiting.clone(),
                },
            );
        }
    }

    /// A leader that stops: to the heir that holds all, once all that was proposed is answered.
    fn hand_on(&mut self) {
        let waits = self.is_transferring();
        let floor = if waits { self.log.last() } else { self.commit };
        let answered = !waits || self.applied == self.log.last();
        let heir = self
            .heirs()
            .filter(|(_, matched)| *matched >= floor)
            .max_by_key(|(_, matched)| *matched);
        if let Some((heir, _)) = heir.filter(|_| answered) {
            self.send(heir, Message::HandOver);
            let old = self
                .lead
                .as_ref()
                .filter(|lead| self.now >= lead.since + YOUNG);
            let waiting = old.map(|lead| lead.learners.iter().copied().collect());
            self.leaving.as_mut().expect("it leaves").waiting = waiting;
            self.stand_back();
        } else if self.all_leave() {
            self.leaving.as_mut().expect("it leaves").left = true;
        }
    }

    /// Whether nobody is there who stays.
    fn all_leave(&self) -> bool {
        self.leaving.is_some() && self.heirs().next().is_none() && {
            let Some(lead) = &self.lead else { return false };
            let told = |seat: &Seat| *seat == self.me || lead.leavers.contains(seat);
            self.voters().iter().all(told)
        }
    }

    /// A machine stops: its seat goes to one that waits for a seat, if there is one. Otherwise it is needed until enough
    /// of the others hold all that is in force.
    pub(crate) fn on_leave(&mut self, from: Seat, token: u64, waiting: Option<Vec<Seat>>) {
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        let leaver = lead.leavers.0.entry(from).or_insert(Leaver {
            told_at: now,
            dismissed: false,
        });
        leaver.told_at = now;
        if lead.learners.remove(&from) {
            self.seat_peers();
        }
        self.take_over(waiting);
        if self.is_changing() {
            return;
        }
        let is_out = !self.roll.in_force(self.commit).contains(&from);
        if is_out || self.all_leave() {
            self.send(from, Message::Left { token });
        } else if self.can_spare(&from) {
            if let Some(leaver) = self
                .lead
                .as_mut()
                .and_then(|lead| lead.leavers.0.get_mut(&from))
            {
                leaver.dismissed = true;
            }
            self.send(from, Message::Left { token });
        }
    }

    /// What the leader before knew of those who wait for a seat: they need not find this one by themselves.
    fn take_over(&mut self, waiting: Option<Vec<Seat>>) {
        let known = self.roll.in_force(self.commit);
        let (now, next) = (self.now, self.log.last() + 1);
        let Some((lead, waiting)) = self.lead.as_mut().zip(waiting) else {
            return;
        };
        if std::mem::replace(&mut lead.is_told_who_waits, true) {
            return;
        }
        for seat in waiting
            .into_iter()
            .filter(|seat| !known.contains(seat))
            .take(MAX_LEARNERS)
        {
            if lead
                .learners
                .iter()
                .all(|other| other.address != seat.address)
            {
                lead.learners.insert(seat);
                lead.peers
                    .entry(seat)
                    .or_insert_with(|| Peer::begin(next, now));
            }
        }
    }

    /// Whether this voter may go and keep its seat: nobody waits for it, and all that is in force is on more than half
    /// of the voters without it (on all others where there are just two).
    fn can_spare(&self, leaver: &Seat) -> bool {
        let Some(lead) = &self.lead else { return false };
        let fresh = |seat: &Seat| {
            lead.peers
                .get(seat)
                .is_some_and(|peer| self.now < peer.heard_at + QUORUM_PATIENCE)
        };
        let young = self.now < lead.since + YOUNG && !lead.is_told_who_waits;
        if young || lead.learners.iter().any(fresh) || self.next_members().is_some() {
            return false;
        }
        let holds = |seat: &&Seat| match lead.peers.get(seat) {
            _ if *seat == leaver || lead.leavers.is_dismissed(seat) => false,
            _ if **seat == self.me => self.disk.durable >= self.commit,
            peer => fresh(seat) && peer.is_some_and(|peer| peer.matched >= self.commit),
        };
        let voters = self.voters();
        // Is one silent that may be out soon, both seats can go together.
        let in_doubt = |seat: &Seat| {
            let silence = lead
                .peers
                .get(seat)
                .map_or(0, |peer| self.now - peer.heard_at);
            *seat != self.me
                && !lead.leavers.contains(seat)
                && (QUORUM_PATIENCE..DOUBT).contains(&silence)
        };
        if voters.iter().any(in_doubt) {
            return false;
        }
        let enough = (voters.len() / 2 + 1).min(voters.len() - 1);
        self.commit >= lead.first && voters.iter().filter(holds).count() >= enough
    }

    pub(crate) fn on_left(&mut self, token: u64) {
        if let Some(leaving) = self
            .leaving
            .as_mut()
            .filter(|leaving| leaving.token == token)
        {
            leaving.left = true;
        }
    }
}
