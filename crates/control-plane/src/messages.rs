//! What counters and sorting machines say to each other. One message is one frame: its length in four bytes, the
//! least significant first, then its form: a number and the message's bytes, squeezed where that is worth it ([`form`]).

use crate::codec::{self, Form, Unreadable};
use crate::state_machine::Standing;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Longest frame that is read; a configuration of 37,000 routes takes some 12 MB.
pub const LONGEST: usize = 32 << 20;

/// How an appliance stands on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Ready,
    /// It is about to end; nothing new is sent to it.
    Closing,
}

/// An appliance as listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub service: Arc<str>,
    pub address: SocketAddrV4,
    pub zone: Arc<str>,
    pub version: Arc<str>,
    /// Requests that it works on at a time.
    pub berths: u32,
    pub state: State,
    /// Microseconds left, when this was said, until it is no longer slow from its start.
    pub cold: u64,
}

/// How appliances have changed, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Whether what is not in here is gone.
    pub whole: bool,
    /// Id and entry; none: gone.
    pub entries: Vec<(Arc<str>, Option<Entry>)>,
}

/// What a counter has seen of one arm of a rollout on one route: totals since the trial began there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// First forwards that say something of the build, and those of them that were served in time.
    pub pulls: u32,
    pub in_time: u32,
    /// Answers and breaks that count as bad, of all forwards.
    pub bad: u32,
    /// All forwards with an outcome.
    pub outcomes: u32,
    /// Milliseconds that served ones took, summed.
    pub spent_ms: u64,
    /// How many were served.
    pub served: u32,
}

/// What a counter has met at one appliance of the trial build.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spot {
    /// Its id, as a number that is the same everywhere.
    pub appliance: u32,
    pub outcomes: u32,
    /// Failures of its own, and answers that came late while it was warm.
    pub bad: u32,
    pub late: u32,
}

/// How far a trial is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Of a service's requests, the share that may go to the trial build.
    pub share: f64,
    /// Only requests that may run again go there.
    pub guarded: bool,
    /// So many of its appliances get what goes there, the same ones from all counters; 0: all of them.
    pub focus: u32,
}

/// What a counter makes of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    #[default]
    None,
    Back,
    On,
}

/// A counter's evidence on one rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    pub service: Arc<str>,
    /// The order that it is about.
    pub order: u64,
    pub vote: Vote,
    /// By route (a hash of its name): the earlier arm's totals, then the trial's.
    pub totals: Vec<(u64, [Totals; 2])>,
    /// What the trial build's appliances gave.
    pub spots: Vec<Spot>,
    /// Requests for the service that were taken since the order.
    pub taken: u64,
    /// Forwards under way to appliances of versions that the counter sends nothing new to.
    pub under_way: u32,
    /// Microseconds since the counter first heard of the order.
    pub age: u64,
    /// The newest phase that the counter knows of.
    pub phase: Option<crate::state_machine::Phase>,
}

/// Who a counter is: the first thing that it says on a link.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub node: String,
    pub zone: String,
    /// Differs between starts.
    pub incarnation: u64,
    /// The edition that it holds whole; 0: none.
    pub edition: u64,
    /// The highest term that a leader has spoken to it in; 0: none in this life.
    pub term: u64,
    /// When it says so, on its own clock.
    pub at: Micros,
}

/// A counter's sign of life, with what has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The edition in force.
    pub edition: u64,
    pub evidence: Vec<Evidence>,
    /// As in [`Hello`].
    pub term: u64,
    pub at: Micros,
}

/// A part of an edition that is on its way, as what has changed since another one ([`crate::delta::diff`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    pub number: u64,
    /// The edition that it is put on; 0: none, it is told whole.
    pub from: u64,
    /// Bytes that are told in all pieces together, and how many came before this one.
    pub length: u32,
    pub at: u32,
    pub bytes: Vec<u8>,
}

/// What a counter says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Up {
    Hello(Hello),
    Report(Report),
    /// So many bytes of an edition that is on its way are here; more are awaited.
    Got {
        number: u64,
        upto: u32,
    },
    /// An edition that came is done with, and this one is in force; 0: it did not go with what is held here.
    Holds {
        edition: u64,
    },
}

/// A word with its fencing token: the term that it is said in. Whoever has heard a leader of a newer term refuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced<W> {
    pub term: u64,
    pub word: W,
}

/// What a sorting machine says to a counter, always as [`Fenced`]. All but `Elsewhere` are a leader's, on a link that it
/// took up after a majority had confirmed it, and they come in the order in which they were said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Down {
    /// It does not lead, or can't show that it does. Who does, as far as it knows, and who else there is: places to ask
    /// at, nothing that is in force.
    Elsewhere {
        leader: Option<SocketAddrV4>,
        core: Vec<SocketAddrV4>,
    },
    /// It leads, and the counter is known now, and has in force all that was acknowledged before `asked`, the moment of
    /// its hello on its own clock. How many counters there are.
    Welcome {
        core: Vec<SocketAddrV4>,
        counters: u32,
        asked: Micros,
    },
    /// A part of a new edition. Never more than a few are on their way, and all else goes before the next.
    Piece(Piece),
    /// Standings that have changed.
    Services(Vec<(String, Standing)>),
    /// How far a rollout's trial is open: service, order.
    Stage(Arc<str>, u64, Stage),
    Listing(Listing),
    /// A sign of life: it still leads, and nobody else did when this was said. The counter has been told all that was
    /// acknowledged before `asked`, the moment of its newest report on its own clock, once it has this edition or a newer
    /// one in force.
    Beat {
        counters: u32,
        asked: Micros,
        edition: u64,
    },
}

/// What is said first on a connection between agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opening {
    /// A counter: [`Up`] and [`Down`] follow.
    Counter,
    /// A sorting machine: messages of the agreement follow, one way. The sender's own address.
    Sorting(SocketAddrV4),
    /// Somebody who wants to see the agent's view: one answer follows.
    View,
}

/// What can't be read, in the words of a complaint.
const FRAME: &str = "frame";

/// A message as a frame.
pub fn frame<T: Serialize>(message: &T) -> Vec<u8> {
    let bytes = codec::pack(message);
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend((bytes.len() as u32).to_le_bytes());
    frame.extend(bytes);
    frame
}

/// Takes the next frame's message off the front of `bytes`. `Ok(None)` while it is not whole; an error says that
/// what came is no message, and nothing after it can be read.
pub fn unframe<T: for<'a> Deserialize<'a>>(bytes: &mut Vec<u8>) -> Result<Option<T>, Unreadable> {
    let Some(head) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*head) as usize;
    if length > LONGEST {
        let (found, expected) = (format!("{length} bytes"), format!("at most {LONGEST}"));
        return Err(Unreadable::of(FRAME, found, expected));
    }
    let Some(told) = bytes.get(4..4 + length) else {
        return Ok(None);
    };
    let message = match codec::open(FRAME, told)? {
        Form::First(_) => return Err(codec::unnumbered(FRAME)),
        Form::Known(value) => codec::whole(FRAME, &value)?,
    };
    bytes.drain(..4 + length);
    Ok(Some(message))
}
