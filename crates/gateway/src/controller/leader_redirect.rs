//! Where an operator's call is to be answered.
//!
//! A machine that can't show that it leads takes nothing and refuses nothing: it names who leads if it has heard of one
//! lately, or says that nobody does, which ends no operator's call.

use crate::clock::Micros;
use std::net::SocketAddrV4;

/// Twice the time that an election takes at most after a leader was lost. Where nobody has led for so long this machine is
/// likely cut off, and its callers are better off elsewhere at once.
pub const LONG: Micros = 2_000_000;
/// Who waits for a leader looks this often whether its lease runs.
const LOOK: Micros = 20_000;

/// What a machine knows of who leads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sight {
    /// It does, and nobody else can at this moment.
    pub leads: bool,
    /// Another one that was heard to lead within the last second.
    pub other: Option<SocketAddrV4>,
    /// Since when nobody is known to lead.
    pub leaderless_since: Option<Micros>,
}

/// Where a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Here,
    /// At this machine (307), by its address among agents.
    There(SocketAddrV4),
    /// Nowhere now (503).
    Nobody,
    /// Look again at this time, or when something has changed.
    Wait(Micros),
}

/// The way of a call that is to have an answer at `until`.
pub fn way(sight: &Sight, now: Micros, until: Micros) -> Way {
    if sight.leads {
        return Way::Here;
    }
    if let Some(other) = sight.other {
        return Way::There(other);
    }
    let long = sight
        .leaderless_since
        .is_some_and(|since| now >= since + LONG);
    if long || now >= until {
        return Way::Nobody;
    }
    Way::Wait((now + LOOK).min(until))
}
