//! What counters and sorting machines say to each other. One message is one frame: its length in four bytes, the
//! least significant first, then its form's number and its bytes.

use crate::delta::Piece;
use crate::form::{self, Unreadable};
use crate::records::{Kept, Standing};
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
    pub phase: Option<crate::records::Phase>,
}

/// What a counter says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Up {
    /// First of all: who it is, and which edition it holds whole (0: none). `life` differs between starts.
    Hello { node: String, zone: String, life: u64, edition: u64 },
    /// A sign of life, with what has changed; `edition` is the one in force.
    Report { edition: u64, evidence: Vec<Evidence> },
}

/// What a sorting machine says to a counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Down {
    /// It does not lead. Who does, and who else there is; and what this machine itself knows, which may be old: enough
    /// for a counter that has just started and knows nothing to begin with.
    Elsewhere {
        leader: Option<SocketAddrV4>,
        core: Vec<SocketAddrV4>,
        edition: Option<Kept>,
        services: Vec<(String, Standing)>,
        listing: Option<Listing>,
    },
    /// It leads, and the counter is known now. How many counters there are.
    Welcome {
        term: u64,
        core: Vec<SocketAddrV4>,
        counters: u32,
    },
    Edition(Kept),
    /// A new edition as what has changed since the one before it, and the digest of the whole.
    Amend {
        from: u64,
        number: u64,
        pieces: Vec<Piece>,
        digest: u64,
    },
    /// Standings that have changed.
    Services(Vec<(String, Standing)>),
    /// How far a rollout's trial is open: service, order.
    Stage(Arc<str>, u64, Stage),
    Listing(Listing),
    /// A sign of life: it still leads.
    Beat {
        counters: u32,
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

/// The number of the form in which agents of this release talk.
const FORMAT: u8 = 16;
/// What can't be read, in the words of a complaint.
const FRAME: &str = "frame";

/// A message as a frame.
pub fn frame<T: Serialize>(message: &T) -> Vec<u8> {
    let head = vec![0, 0, 0, 0, FORMAT];
    let mut bytes = postcard::to_extend(message, head).expect("plain data can be written");
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Takes the next frame's message off the front of `bytes`. `Ok(None)` while it is not whole; an error says that
/// what came is no message, and nothing after it can be read.
pub fn unframe<T: for<'a> Deserialize<'a>>(bytes: &mut Vec<u8>) -> Result<Option<T>, Unreadable> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*head) as usize;
    if length > LONGEST {
        let (found, expected) = (format!("{length} bytes"), format!("at most {LONGEST}"));
        return Err(Unreadable::of(FRAME, found, expected));
    }
    if bytes.len() < 4 + length {
        return Ok(None);
    }
    let message = match form::split(FRAME, &bytes[4..4 + length])? {
        (Some(FORMAT), value) => form::whole(FRAME, value)?,
        (number, _) => return Err(form::unknown(FRAME, number, FORMAT)),
    };
    bytes.drain(..4 + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against frames that are taken apart wrongly where they arrive in pieces or are not ours.
    #[test]
    fn frames_are_whole_or_wait_or_are_refused() {
        let (first, second) = (Up::Report { edition: 3, evidence: Vec::new() }, Down::Beat { counters: 9 });
        let mut bytes = frame(&first);
        bytes.extend(frame(&second));
        let (mut came, mut read) = (Vec::new(), Vec::new());
        for byte in bytes {
            came.push(byte);
            if read.is_empty() {
                read.extend(unframe::<Up>(&mut came).expect("ours"));
            }
        }
        assert_eq!((read, unframe::<Down>(&mut came)), (vec![first], Ok(Some(second))));
        assert!(unframe::<Up>(&mut b"GET / HTTP/1.1".to_vec()).is_err());
    }
}
