//! Where an operator's call is answered.
//!
//! A controller that can't show that it leads accepts nothing and refuses nothing: it names the leader if it has heard of one
//! recently, or says that there is none, which ends no operator's call.

use crate::clock::Micros;
use std::net::SocketAddrV4;

/// Twice the time that an election takes at most after a leader was lost. Where nobody has led for so long this controller is
/// likely partitioned off, and its callers are better off elsewhere at once.
pub const LEADERLESS_TIMEOUT: Micros = 2_000_000;
/// How often a call that waits for a leader checks whether this controller's lease holds.
const CHECK_INTERVAL: Micros = 20_000;

/// What a controller knows of who leads.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderView {
    /// It leads itself, and nobody else can at this moment.
    pub holds_lease: bool,
    /// Another controller that was heard to lead within the last second.
    pub other_leader: Option<SocketAddrV4>,
    /// Since when nobody is known to lead.
    pub leaderless_since: Option<Micros>,
}

/// Where a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Here.
    Local,
    /// By this controller (307); its address among agents.
    Redirect(SocketAddrV4),
    /// Nowhere now (503).
    Unavailable,
    /// Ask again at this time, or when the leader changes.
    Wait(Micros),
}

/// Decides where a call is answered that is to have an answer at `deadline`.
pub fn target(view: &LeaderView, now: Micros, deadline: Micros) -> Target {
    if view.holds_lease {
        return Target::Local;
    }
    if let Some(leader) = view.other_leader {
        return Target::Redirect(leader);
    }
    let is_partitioned = view
        .leaderless_since
        .is_some_and(|since| now >= since + LEADERLESS_TIMEOUT);
    if is_partitioned || now >= deadline {
        return Target::Unavailable;
    }
    Target::Wait((now + CHECK_INTERVAL).min(deadline))
}
