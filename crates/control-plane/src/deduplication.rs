//! Whether a rollout order is one that was accepted before, by its content and its time. Configurations are told apart by their
//! [`Digest`](crate::digest::Digest).
//!
//! An order has no identifier. Sent again within `receipt` (of the settings) it is the same one, whatever has become of it;
//! after that it is a new one. Machines have different clocks, so the replicated state never asks how late it is: the leader
//! that receives an order says in its proposal which earlier order of the same content it takes for finished
//! ([`AcceptanceClock::propose`]); an order that it has not seen, or not taken for finished, makes the proposal a duplicate.

use crate::state_machine::{AcceptedOrder, Command, ControlState};
use crate::Micros;
use std::collections::BTreeMap;

/// The last copy of an order is sent when `receipt` is over, and may take so long to arrive: a connection, a redirect or two.
pub const MAX_DELIVERY_DELAY: Micros = 1_500_000;
/// Times of day on two machines differ by this at most: either may have been set wrong by two seconds, ahead or back.
pub const MAX_CLOCK_SKEW: Micros = 5_000_000;

/// A rollout order as an operator sends it.
#[derive(Clone, Copy, Debug)]
pub struct OrderContent<'a> {
    /// The service to move.
    pub service: &'a str,
    /// The version to move it to.
    pub target_version: &'a str,
    /// The time that the rollout may take.
    pub within: Micros,
}

/// When an order arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// On this machine's monotonic clock.
    pub at: Micros,
    /// The time of day, in microseconds since 1970.
    pub time_of_day: Micros,
}

/// For how long orders have been accepted, as one process saw it.
///
/// It counts by its monotonic clock from when it applied the order, which was after the order was sent: so a copy is never
/// taken for a new order. Only for orders accepted before this process started does it use the time of day, and then counts
/// [`MAX_CLOCK_SKEW`] less.
#[derive(Clone, Debug)]
pub struct AcceptanceClock {
    started_at: Micros,
    /// Time of day at the start, in microseconds since 1970.
    started_time_of_day: Micros,
    /// By log index, when each order was applied here.
    applied_at: BTreeMap<u64, Micros>,
}

impl AcceptanceClock {
    /// Starts at `now` on the monotonic clock, at `time_of_day` in microseconds since 1970.
    pub fn new(now: Micros, time_of_day: Micros) -> AcceptanceClock {
        AcceptanceClock {
            started_at: now,
            started_time_of_day: time_of_day,
            applied_at: BTreeMap::new(),
        }
    }

    /// Takes note that the replicated state has changed: orders that are new in it are accepted now, and those no longer in
    /// it are forgotten.
    pub fn on_state_change(&mut self, now: Micros, state: &ControlState) {
        let applied_at = |id: u64| (id, self.applied_at.get(&id).copied().unwrap_or(now));
        let accepted = state.orders.values().flatten();
        self.applied_at = accepted.map(|order| applied_at(order.id)).collect();
    }

    /// Returns for how long an order has been accepted at least.
    pub fn age(&self, now: Micros, order: &AcceptedOrder) -> Micros {
        let applied_at = self.applied_at.get(&order.id).copied().unwrap_or(now);
        let since_applied = now.saturating_sub(applied_at);
        if order.accepted_at == 0 {
            return since_applied;
        }
        // How old it was when this process started; nothing if it was accepted later.
        let age_at_start = self
            .started_time_of_day
            .saturating_sub(order.accepted_at.saturating_add(MAX_CLOCK_SKEW));
        match age_at_start {
            0 => since_applied,
            age_at_start => since_applied.max(now.saturating_sub(self.started_at) + age_at_start),
        }
    }

    /// Returns the command to propose for an order; none where the order is known to be accepted already. `receipt` is for how
    /// long an order may be sent again.
    pub fn propose(
        &self,
        state: &ControlState,
        arrival: Arrival,
        order: OrderContent<'_>,
        receipt: Micros,
    ) -> Option<Command> {
        let OrderContent {
            service,
            target_version,
            within,
        } = order;
        let known = state.accepted_order(service, target_version, within);
        let finished_id = match known {
            Some(known) if self.age(arrival.at, known) <= receipt + MAX_DELIVERY_DELAY => {
                return None
            }
            Some(known) => known.id,
            None => 0,
        };
        Some(Command::BeginRollout {
            service: service.into(),
            target_version: target_version.into(),
            within,
            finished_id,
            accepted_at: arrival.time_of_day,
        })
    }
}
