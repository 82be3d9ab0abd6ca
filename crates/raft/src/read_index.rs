//! Proposals and reads, and whether this machine leads right now.

use crate::election::ELECTION_MIN;
use crate::replication::Lead;
use crate::{Action, Core, Index, Micros, Outcome, Payload, Seat, MAX_COMMAND, PIECE};
use std::collections::VecDeque;

/// Proposals and their bytes under way; more is refused at once rather than late. The largest command always finds room
/// when it is alone.
const MOST_PROPOSALS: usize = 256;
const MOST_BYTES: usize = 8 << 20;
const MOST_READS: usize = 1024;
/// A majority that answered a beat sent so long ago still refuses votes to others, with a quarter left for clocks that
/// run unlike.
const LEASE: Micros = ELECTION_MIN / 4 * 3;
/// Reads that come while a beat is under way wait for its answers, or so long if these don't come, before the next.
const READ_WAIT: Micros = 20_000;

/// What waits for an answer at a leader.
#[derive(Default)]
pub(crate) struct Questions {
    /// By the index of the command's last piece.
    proposals: VecDeque<(Index, u64, usize)>,
    bytes: usize,
    reads: VecDeque<Waiting>,
    /// Beats and when they were sent, from the last one that a majority answered on.
    beats: VecDeque<(u64, Micros)>,
    /// The last beat that a majority answered.
    answered: u64,
}

struct Waiting {
    ticket: u64,
    /// The beat that must be answered, None: not sent yet. And what must be applied.
    beat: Option<u64>,
    index: Index,
}

impl Questions {
    /// A beat goes out: it answers for all reads that came before.
    pub(crate) fn beaten(&mut self, round: u64, now: Micros) {
        self.beats.push_back((round, now));
        for read in self
            .reads
            .iter_mut()
            .rev()
            .take_while(|read| read.beat.is_none())
        {
            read.beat = Some(round);
        }
    }
}

impl Core {
    fn done(&mut self, ticket: u64, outcome: Outcome) {
        self.out.push(Action::Done { ticket, outcome });
    }

    pub(crate) fn propose(&mut self, ticket: u64, command: Vec<u8>) {
        if self.is_transferring() {
            return self.done(ticket, Outcome::NotLeader { hint: None });
        }
        let Some(lead) = &mut self.lead else {
            return self.done(
                ticket,
                Outcome::NotLeader {
                    hint: self.leader(),
                },
            );
        };
        let questions = &mut lead.questions;
        let full = questions.proposals.len() >= MOST_PROPOSALS
            || (questions.bytes + command.len() > MOST_BYTES && !questions.proposals.is_empty());
        if full || command.len() > MAX_COMMAND {
            return self.done(ticket, Outcome::Overloaded);
        }
        questions.bytes += command.len();
        let mut rest = &command[..];
        while rest.len() > PIECE {
            let (piece, after) = rest.split_at(PIECE);
            self.append(Payload::Command {
                more: true,
                bytes: piece.to_vec(),
            });
            rest = after;
        }
        let index = self.append(Payload::Command {
            more: false,
            bytes: rest.to_vec(),
        });
        if let Some(lead) = &mut self.lead {
            lead.questions
                .proposals
                .push_back((index, ticket, command.len()));
        }
    }

    /// Answers the proposals that are applied.
    pub(crate) fn answer_committed(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let questions = &mut lead.questions;
        while questions
            .proposals
            .front()
            .is_some_and(|(index, _, _)| *index <= self.applied)
        {
            let (index, ticket, bytes) = questions.proposals.pop_front().expect("looked at");
            questions.bytes -= bytes;
            self.out.push(Action::Done {
                ticket,
                outcome: Outcome::Committed { index },
            });
        }
    }

    pub(crate) fn answer_lost(&mut self, lead: Lead) {
        for (_, ticket, _) in lead.questions.proposals {
            self.done(ticket, Outcome::Lost);
        }
        for read in lead.questions.reads {
            self.done(read.ticket, Outcome::Lost);
        }
    }

    pub(crate) fn read(&mut self, ticket: u64) {
        let Some(lead) = &mut self.lead else {
            return self.done(
                ticket,
                Outcome::NotLeader {
                    hint: self.leader(),
                },
            );
        };
        if lead.questions.reads.len() >= MOST_READS {
            return self.done(ticket, Outcome::Overloaded);
        }
        // What was acknowledged by earlier leaders is known to be committed once the first entry of this one is.
        let index = self.commit.max(lead.first);
        lead.questions.reads.push_back(Waiting {
            ticket,
            beat: None,
            index,
        });
    }

    /// Answers reads whose beat came back from a majority, and sends a beat for those that have none.
    pub(crate) fn serve_reads(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        let round = lead.round;
        let answered = |seat: &Seat| match lead.peers.get(seat) {
            _ if *seat == self.me => round,
            peer => peer.map_or(0, |peer| peer.round),
        };
        let answered = self.roll.agreed(self.commit, answered);
        let questions = &mut lead.questions;
        questions.answered = questions.answered.max(answered);
        while questions
            .beats
            .front()
            .is_some_and(|(round, _)| *round < questions.answered)
        {
            questions.beats.pop_front();
        }
        let ready = |read: &Waiting| {
            read.beat.is_some_and(|beat| beat <= questions.answered) && read.index <= self.applied
        };
        let count = questions
            .reads
            .iter()
            .take_while(|read| ready(read))
            .count();
        for read in questions.reads.drain(..count) {
            let outcome = Outcome::Committed { index: read.index };
            self.out.push(Action::Done {
                ticket: read.ticket,
                outcome,
            });
        }
        let waits = questions
            .reads
            .back()
            .is_some_and(|read| read.beat.is_none());
        let quiet = questions.answered >= round
            || questions
                .beats
                .back()
                .is_none_or(|(_, at)| self.now >= at + READ_WAIT);
        if waits && quiet {
            self.beat();
            // A machine that votes alone needs no answers.
            self.serve_reads();
        }
    }

    /// The lease of this leadership: before this time nobody else can lead. A majority has answered a beat sent 300 ms
    /// before it, and refuses votes to others for longer. None: this machine does not lead, or nobody has answered yet.
    pub fn lease(&self) -> Option<Micros> {
        let lead = self
            .lead
            .as_ref()
            .filter(|lead| self.commit >= lead.first)?;
        let questions = &lead.questions;
        let sent = questions
            .beats
            .front()
            .filter(|(round, _)| *round == questions.answered);
        sent.map(|(_, at)| at + LEASE)
    }

    /// Whether this machine leads and nobody else can at this moment: its lease runs. Good for decisions that need
    /// freshness; a process may freeze between this call and what follows from it.
    pub fn leads(&self, now: Micros) -> bool {
        self.lease().is_some_and(|until| now < until)
    }

    /// Whether this machine leads, or has heard who does within this time.
    pub fn knows_leader(&self, now: Micros, within: Micros) -> bool {
        self.lead.is_some() || self.heard_at.is_some_and(|at| now < at + within)
    }
}
