//! Agreement among the sorting machines: one log of commands, the same on all of them, none of what was acknowledged
//! ever lost. It is Raft as published (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm";
//! Ongaro's thesis for pre-vote, membership changes, learners and writing to disk in parallel).
//!
//! A pure state machine: no I/O, no clock, no threads. [`Core::step`] takes the time and one [`Event`] and returns
//! [`Action`]s, to be carried out in their order. The same seed and events give the same actions.
//!
//! ```
//! use magpieline_raft::{Action, Core, Event, Outcome, Start, Stored};
//!
//! let me = "10.1.0.16:7720".parse().unwrap();
//! // `seed` must come from the system's source of randomness: a machine that joins draws its life from it.
//! let start = Start { me, seeds: vec![me], first_run: true, seed: 7, withstand: 0, catch_up: 4_000_000 };
//! let (mut core, mut actions) = Core::start(0, start, Stored::default());
//! let mut now = 0;
//! let mut outcome = None;
//! while outcome.is_none() {
//!     let mut next = Vec::new();
//!     for action in actions {
//!         match action {
//!             Action::Send(_envelope) => {} // to the machine at `envelope.to.address`, as it is; may get lost
//!             // On disk as a whole or not at all, then `Synced`; if the disk refuses, `Refused`. Never two at a time.
//!             Action::Write { serial, batch: _ } => next.extend(core.step(now, Event::Synced { serial })),
//!             Action::Apply { index: _, command } => assert_eq!(command, b"edition 1"), // to the state machine
//!             Action::Restore { .. } => {} // the state machine becomes this snapshot
//!             Action::Done { ticket: 1, outcome: what } => outcome = Some(what),
//!             Action::Done { .. } => {}
//!         }
//!     }
//!     if core.leads(now) && core.commit() == core.applied() && now < 2_000_000 {
//!         next.extend(core.step(now, Event::Propose { ticket: 1, command: b"edition 1".to_vec() }));
//!         now = 2_000_000;
//!     } else if next.is_empty() {
//!         now = core.next_wake().max(now); // sleep until then, or until something comes in
//!         next.extend(core.step(now, Event::Tick));
//!     }
//!     actions = next;
//! }
//! assert!(matches!(outcome, Some(Outcome::Committed { .. })));
//! ```
//!
//! Followers apply a command up to a beat (100 ms) after the leader does: a message of its own for that would cost more
//! than it brings. Messages may be dropped by the owner when a link is full.
//!
//! The owner also calls [`Event::Compact`] with the state machine's state when [`Core::wants_compact`] says so, asks
//! [`Event::Read`] before it answers from its state, and [`Event::Leave`] before it stops in order.
//!
//! Files by concern: `log` (entries and snapshot), `members` (who votes, and how that changes), `election`,
//! `leaving` (stopping in order), `replication` (to and from the leader, entries), `fill` (snapshots in pieces), `asking` (finding the leader), `reads`
//! (proposals, reads, freshness), `disk` (what is written when, and what waits for it).

mod election;
mod join;
mod leadership_transfer;
mod log;
mod membership;
mod message;
mod persistence;
mod read_index;
mod replication;
mod snapshot_transfer;

pub use log::{Entry, Payload, Snapshot};
pub use membership::{Contact, Members, MAX_VOTERS};
pub use message::{Envelope, Message};
pub use persistence::{Batch, Hard, Stored};

use crate::log::Log;
use crate::membership::Roll;
use crate::persistence::Disk;
use crate::replication::{Following, Lead};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// A time on the machine's steady clock, in microseconds.
pub type Micros = u64;
/// A place in the log, from 1.
pub type Index = u64;
/// The number of a leadership, from 1; at most one machine leads in each.
pub type Term = u64;

/// A member: an address and which of its lives. A machine that lost its disk begins a new life at its old address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seat {
    pub address: SocketAddrV4,
    /// 0 for founders; drawn at random by those that came later.
    pub life: u64,
}

/// How a machine starts.
#[derive(Clone, Debug)]
pub struct Start {
    /// The address at which the other machines reach this one.
    pub me: SocketAddrV4,
    /// Machines that may know the others; the founders at the very first start.
    pub seeds: Vec<SocketAddrV4>,
    /// True only at the very first start of the whole system.
    pub first_run: bool,
    /// For timeouts and for a new life; from the system's source of randomness, never the same twice.
    pub seed: u64,
    /// How many machines may be lost at once.
    pub withstand: usize,
    /// So long after a machine is back, or a successor has started, the next may be lost.
    pub catch_up: Micros,
}

/// What happens to a core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of [`Core::next_wake`] has come (or any other).
    Tick,
    Receive(Envelope),
    /// The write of this serial is on disk, safe from a loss of power.
    Synced {
        serial: u64,
    },
    /// The disk did not take the write of this serial.
    Refused {
        serial: u64,
    },
    /// To be agreed on; answered by [`Action::Done`] with the same ticket.
    Propose {
        ticket: u64,
        command: Vec<u8>,
    },
    /// Answered by [`Action::Done`] once all that was acknowledged before is applied here.
    Read {
        ticket: u64,
    },
    /// The state machine's state just after it applied `index`; the log before it is no longer needed.
    Compact {
        index: Index,
        state: Vec<u8>,
    },
    /// If this machine leads, another one should at once.
    GiveWay,
    /// This machine is about to stop: leadership goes to another, its seat to one that waits for a seat. It takes part
    /// until [`Core::has_left`], and should stay up until then.
    Leave,
}

/// What the owner of a core has to do, in order.
#[derive(Clone, Debug)]
pub enum Action {
    Send(Envelope),
    /// One at a time: the next comes only after this one's `Synced` or `Refused`.
    Write {
        serial: u64,
        batch: Batch,
    },
    Apply {
        index: Index,
        command: Vec<u8>,
    },
    /// The state machine is to become `state`, which is what it was just after `index`.
    Restore {
        index: Index,
        state: Vec<u8>,
    },
    Done {
        ticket: u64,
        outcome: Outcome,
    },
}

/// What became of a proposal or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// In force on every machine for ever, and applied here; for a read: applied here up to `index`.
    Committed { index: Index },
    /// Nothing was done; the leader may be at `hint`.
    NotLeader { hint: Option<SocketAddrV4> },
    /// Nothing was done: too much is under way, or the command is longer than [`MAX_COMMAND`].
    Overloaded,
    /// This machine no longer leads. A proposal may be in force, now or later, or never be.
    Lost,
}

/// What a machine is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, waits for one, or learns.
    Follower,
    /// Asks whether it could become leader; nothing is promised or stored yet.
    PreCandidate,
    Candidate,
    Leader,
}

/// The longest command: several times the largest configuration.
pub const MAX_COMMAND: usize = 16 << 20;
/// Bytes of commands or of a snapshot in one message or entry. A quarter of a second on a link of 1 Mbit/s, so that a
/// follower still hears of its leader in time; on quick links the overhead is under one per cent.
pub const PIECE: usize = 32 << 10;

/// One machine's part in the agreement.
pub struct Core {
    me: Seat,
    seeds: Vec<SocketAddrV4>,
    rng: ChaCha8Rng,
    now: Micros,
    term: Term,
    vote: Option<Seat>,
    role: Role,
    /// Who leads in this term, as far as known.
    leader: Option<Seat>,
    /// When the leader was last heard; also set at a restart, as one may have been heard just before.
    heard_at: Option<Micros>,
    election_due: Micros,
    /// This process began on a store that was not empty, and has heard no leader since, nor led or voted: until when it
    /// keeps to what it may have promised one before.
    restarted: Option<Micros>,
    /// Elections tried since a leader was heard.
    tries: u32,
    /// Who said yes in the running pre-vote or vote.
    granted: BTreeSet<Seat>,
    /// Who said yes if all have restarted, and at which start.
    if_all: BTreeMap<Seat, u64>,
    /// Different at each start.
    start: u64,
    log: Log,
    roll: Roll,
    commit: Index,
    applied: Index,
    disk: Disk,
    following: Following,
    lead: Option<Lead>,
    asking: join::Asking,
    leaving: Option<leadership_transfer::Leaving>,
    withstand: usize,
    catch_up: Micros,
    out: Vec<Action>,
}

impl Core {
    /// A core on what the store held, and its first actions. With an empty store it is a founder (`first_run`, and among
    /// the seeds) or asks to join.
    pub fn start(now: Micros, start: Start, stored: Stored) -> (Core, Vec<Action>) {
        let mut rng = ChaCha8Rng::seed_from_u64(start.seed);
        let fresh = stored.hard.is_none();
        let founds = fresh && start.first_run && start.seeds.contains(&start.me);
        let hard = stored.hard.unwrap_or_else(|| Hard::begin(founds, &mut rng));
        let mut log = Log::load(stored.snapshot, stored.entries);
        if founds {
            log.push(Entry {
                index: 1,
                term: 0,
                payload: Payload::Members(Members::founders(&start.seeds)),
            });
        }
        let commit = hard.commit.min(log.last()).max(log.snapshot_index());
        let mut core = Core {
            me: Seat {
                address: start.me,
                life: hard.life,
            },
            seeds: start.seeds,
            rng,
            now,
            term: hard.term,
            vote: hard.vote,
            role: Role::Follower,
            leader: None,
            heard_at: (!fresh).then_some(now),
            election_due: now,
            restarted: None,
            tries: 0,
            granted: BTreeSet::new(),
            if_all: BTreeMap::new(),
            start: start.seed,
            roll: Roll::of(&log),
            commit,
            applied: 0,
            disk: Disk::of(&log, fresh, hard.commit),
            log,
            following: Following::default(),
            lead: None,
            asking: join::Asking::default(),
            leaving: None,
            withstand: start.withstand,
            catch_up: start.catch_up,
            out: Vec::new(),
        };
        core.set_first_timeout(fresh, founds);
        core.restore_snapshot();
        let actions = core.settle();
        (core, actions)
    }

    /// Takes one event at `now`, which never goes back.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Receive(envelope) => self.receive(envelope),
            Event::Synced { serial } => self.synced(serial),
            Event::Refused { serial } => self.refused(serial),
            Event::Propose { ticket, command } => self.propose(ticket, command),
            Event::Read { ticket } => self.read(ticket),
            Event::Compact { index, state } => self.compact(index, state),
            Event::GiveWay => self.give_way(),
            Event::Leave => self.leave(),
        }
        self.settle()
    }

    /// When [`Event::Tick`] is due next. Later events may move it: ask after each step.
    pub fn next_wake(&self) -> Micros {
        let due = match &self.lead {
            Some(lead) => lead.beat_due,
            None if self.may_lead() => self.election_due.min(self.ask_due()),
            None => self.ask_due(),
        };
        let due = self.leave_due().map_or(due, |leave| due.min(leave));
        self.disk.retry_due().map_or(due, |retry| due.min(retry))
    }

    /// What the events of this step lead to: timers, commits, messages, and the write.
    fn settle(&mut self) -> Vec<Action> {
        self.check_timers();
        self.elect();
        self.advance_commit();
        self.apply();
        self.tend_members();
        self.tend_leaving();
        self.serve_reads();
        self.pump();
        self.flush();
        std::mem::take(&mut self.out)
    }

    fn check_timers(&mut self) {
        if self.lead.is_some() {
            self.check_leadership();
        } else {
            self.check_election();
            self.check_asking();
        }
    }

    /// A message. Those for another life of this address are dropped; those from another life than the one a member has
    /// are not counted, since all that is counted is by seat.
    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            term,
            message,
        } = envelope;
        if to.address != self.me.address || from == self.me {
            return;
        }
        match message {
            Message::Ask { last } => return self.on_ask(from, last),
            Message::Point { leader, members } => return self.on_point(leader, &members),
            _ => {}
        }
        if to.life != self.me.life {
            return self.on_mistaken(from);
        }
        match message {
            Message::Leave { token, waiting } => self.on_leave(from, token, waiting),
            Message::Left { token } => self.on_left(token),
            Message::PreVote { last, last_term } => self.on_pre_vote(from, term, last, last_term),
            Message::PreVoteIfAll { next_term, start } => {
                self.on_pre_vote_if_all(from, next_term, start)
            }
            Message::PreVoteReply { next_term, granted } => {
                self.on_pre_vote_reply(from, term, next_term, granted)
            }
            Message::Vote {
                last,
                last_term,
                handed_over,
                restarted,
            } => self.on_vote(from, term, (last, last_term), handed_over, restarted),
            message => {
                if term > self.term {
                    self.follow(term, None);
                }
                if term == self.term {
                    self.receive_in_term(from, message);
                } else if message.is_leaders() {
                    // A leader of the past: our term makes it step down. Without that a machine that has gone on alone
                    // to a newer term could never be led again.
                    self.send(
                        from,
                        Message::AppendReply {
                            round: 0,
                            matched: 0,
                            missing: None,
                        },
                    );
                }
            }
        }
    }

    fn receive_in_term(&mut self, from: Seat, message: Message) {
        match message {
            Message::VoteReply { granted } => self.on_vote_reply(from, granted),
            Message::Append {
                round,
                prev,
                prev_term,
                commit,
                entries,
            } => {
                if self.hear_leader(from) {
                    self.on_append(from, round, (prev, prev_term), commit, entries);
                }
            }
            Message::AppendReply {
                round,
                matched,
                missing,
            } => self.on_append_reply(from, round, matched, missing),
            Message::Fill {
                index,
                snapshot_term,
                members,
                total,
                offset,
                bytes,
            } => {
                if self.hear_leader(from) {
                    self.on_fill(from, (index, snapshot_term), members, total, offset, bytes);
                }
            }
            Message::FillReply { index, have, gap } => self.on_fill_reply(from, index, have, gap),
            Message::HandOver => self.on_hand_over(from),
            // Taken before.
            Message::PreVote { .. }
            | Message::PreVoteReply { .. }
            | Message::PreVoteIfAll { .. }
            | Message::Vote { .. }
            | Message::Ask { .. }
            | Message::Point { .. }
            | Message::Leave { .. }
            | Message::Left { .. } => {}
        }
    }

    /// Everything committed and whole goes to the state machine, in order.
    fn apply(&mut self) {
        while let Some((index, command)) = self.log.next_command(&mut self.applied, self.commit) {
            self.out.push(Action::Apply { index, command });
        }
        self.answer_committed();
    }

    fn restore_snapshot(&mut self) {
        if let Some(snapshot) = self.log.snapshot() {
            if snapshot.index > self.applied {
                self.applied = snapshot.index;
                self.out.push(Action::Restore {
                    index: snapshot.index,
                    state: snapshot.state.clone(),
                });
            }
        }
    }

    /// The owner's state just after `index`: kept as snapshot in place of the log before it, of which a tail stays for
    /// followers that are a little behind.
    fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index > self.applied || index <= self.log.snapshot_index() {
            return;
        }
        let members = self.roll.at(index).clone();
        self.log.compact(index, self.applied, members, state);
        self.roll.forget_before(index);
        self.disk.snapshot_due = true;
    }

    /// This machine's seat.
    pub fn me(&self) -> Seat {
        self.me
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// Where the leader of this term is, as far as known; may be out of date.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        self.leader.map(|seat| seat.address)
    }

    /// Everything up to here is in force for ever.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The state machine was given everything up to here.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The last entry known here, in force or not.
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// Everything up to here is on this machine's disk.
    pub fn durable(&self) -> Index {
        self.disk.durable
    }

    /// Whether the disk has refused a write, or sat on one too long, and has not completed one since.
    pub fn is_disk_troubled(&self) -> bool {
        !self.is_disk_fit()
    }

    /// Whether the log has grown so long that [`Event::Compact`] is worth its while; never right after one.
    pub fn wants_compact(&self) -> bool {
        self.log.is_long(self.applied)
    }

    /// Who votes, by the newest list known here.
    pub fn voters(&self) -> &[Seat] {
        &self.roll.newest().voters
    }

    /// Whether this very seat votes, by the newest list known here: false until a machine that joined has been filled.
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.me)
    }

    /// Whether this seat is on the newest list, or on the one before while the change is not known to be over: a machine
    /// that the newer one lacks may hold more than all others, and has to lead until they have it, too.
    pub(crate) fn may_lead(&self) -> bool {
        self.is_voter()
            || self
                .roll
                .unfinished(self.commit)
                .is_some_and(|old| old.voters.contains(&self.me))
    }
}
