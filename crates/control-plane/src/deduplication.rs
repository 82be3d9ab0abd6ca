//! Whether a rollout order is one that was accepted before, by its content and its time. Configurations are told apart by their
//! [`Digest`](crate::digest::Digest).
//!
//! An order has no identifier. Sent again within `receipt` (of the settings) it is a copy, whatever has become of the first;
//! after that it is a new order. A controller that acknowledged a new order as a copy would never carry it out, and one that
//! took a copy for a new order would carry one order out twice. So there are three answers ([`OrderIdentity`]): where neither
//! is known, nothing is acknowledged and nothing begins.
//!
//! Time is counted by monotonic clocks alone, from when a process saw that an order had been accepted. How old an order is
//! when a process starts is replicated state: the leader records it ([`AcceptanceClock::ages_to_record`]).

use crate::state_machine::{AcceptedOrder, Command, ControlState, OrderAge, OrderRelation};
use crate::Micros;
use std::collections::BTreeMap;

/// The last copy of an order is sent when `receipt` is over, and may take so long to arrive: a connection, a redirect or two.
pub const MAX_DELIVERY_DELAY: Micros = 1_500_000;
/// The leader records the age of an order so often, until no copy of it can come any more.
pub const AGE_RECORD_INTERVAL: Micros = 1_000_000;
/// An order that is not accepted so long after it arrived counts as received by another controller.
const MAX_PROPOSAL_TIME: Micros = 10_000_000;

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
    /// The time of day, in microseconds since 1970. It marks the order as the one that arrived here; nothing is counted by it.
    pub time_of_day: Micros,
}

/// What an order is, as far as a controller knows. Whatever is acknowledged is an entry of the log: so nobody forgets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderIdentity {
    /// A copy, a new order, or one for what is under way: this command is to be proposed.
    Known(Command),
    /// A copy or a new order: that can't be told before this instant, and nothing is to be done.
    Unclear {
        /// On this machine's monotonic clock.
        until: Micros,
    },
}

/// What a process knows of when an accepted order was sent, on its monotonic clock.
#[derive(Clone, Copy, Debug)]
struct SendTime {
    /// It had been sent by then.
    latest: Micros,
    /// When it arrived at this process; none if another one received it.
    arrived_at: Option<Micros>,
}

/// An order that this process has proposed, and not seen accepted yet.
#[derive(Clone, Debug)]
struct ProposedOrder {
    service: String,
    target_version: String,
    within: Micros,
    arrival: Arrival,
}

impl ProposedOrder {
    fn is(&self, service: &str, order: &AcceptedOrder) -> bool {
        self.arrival.time_of_day == order.accepted_at
            && self.service == service
            && self.target_version == order.target_version
            && self.within == order.within
    }
}

/// For how long orders have been accepted, as one process knows it.
#[derive(Clone, Debug, Default)]
pub struct AcceptanceClock {
    /// By id, the orders of the replicated state.
    accepted: BTreeMap<u64, SendTime>,
    proposed: Vec<ProposedOrder>,
}

/// Returns the time after an order's arrival in which another one of its content is surely a copy: either may have taken long
/// to arrive.
fn copy_age(receipt: Micros) -> Micros {
    receipt.saturating_sub(MAX_DELIVERY_DELAY)
}

/// Returns the age from which on an order has no copies under way any more.
fn settled_age(receipt: Micros) -> Micros {
    receipt + MAX_DELIVERY_DELAY
}

impl AcceptanceClock {
    /// Takes note that the replicated state has changed: orders that are new in it are accepted now, those no longer in it
    /// are forgotten, and recorded ages are taken over.
    pub fn on_state_change(&mut self, now: Micros, state: &ControlState) {
        let mut accepted = BTreeMap::new();
        for (service, orders) in &state.orders {
            for order in orders {
                let recorded = state.order_ages.get(&order.id).copied().unwrap_or(0);
                let known = self.accepted.get(&order.id).copied();
                let mut sent = known.unwrap_or_else(|| self.send_time(now, service, order));
                sent.latest = sent.latest.min(now.saturating_sub(recorded));
                accepted.insert(order.id, sent);
            }
        }
        self.accepted = accepted;
    }

    /// Returns when an order was sent that is seen accepted for the first time.
    fn send_time(&mut self, now: Micros, service: &str, order: &AcceptedOrder) -> SendTime {
        let own = self
            .proposed
            .iter()
            .position(|proposed| proposed.is(service, order));
        let arrived_at = own.map(|own| self.proposed.swap_remove(own).arrival.at);
        SendTime {
            latest: arrived_at.unwrap_or(now),
            arrived_at,
        }
    }

    /// Returns for how long an order has been accepted at least.
    pub fn age(&self, now: Micros, order: &AcceptedOrder) -> Micros {
        let sent = self.accepted.get(&order.id);
        sent.map_or(0, |sent| now.saturating_sub(sent.latest))
    }

    /// Returns what an order is that arrived; a command to propose is taken note of. `receipt` is for how long an order may be
    /// sent again.
    pub fn identify(
        &mut self,
        state: &ControlState,
        arrival: Arrival,
        order: OrderContent<'_>,
        receipt: Micros,
    ) -> OrderIdentity {
        let Some(known) = state.accepted_order(order.service, order.target_version, order.within)
        else {
            return self.propose(arrival, order, OrderRelation::NewAfter(0));
        };
        let sent = self.accepted.get(&known.id).copied();
        let sent = sent.unwrap_or(SendTime {
            latest: arrival.at,
            arrived_at: None,
        });
        let settled_at = sent.latest + settled_age(receipt);
        let is_copy = |arrived_at: Micros| arrival.at <= arrived_at + copy_age(receipt);
        if arrival.at > settled_at {
            return self.propose(arrival, order, OrderRelation::NewAfter(known.id));
        }
        if sent.arrived_at.is_some_and(is_copy) {
            return self.propose(arrival, order, OrderRelation::CopyOf(known.id));
        }
        if is_under_way(state, order) {
            // It joins the rollout. Should that be over when the command is applied, nothing begins.
            return self.propose(arrival, order, OrderRelation::NewAfter(0));
        }
        OrderIdentity::Unclear {
            until: settled_at + 1,
        }
    }

    /// Returns the command to propose for an order, and takes note of it.
    fn propose(
        &mut self,
        arrival: Arrival,
        order: OrderContent<'_>,
        relation: OrderRelation,
    ) -> OrderIdentity {
        self.note_proposed(arrival, order);
        OrderIdentity::Known(Command::BeginRollout {
            service: order.service.into(),
            target_version: order.target_version.into(),
            within: order.within,
            relation,
            accepted_at: arrival.time_of_day,
        })
    }

    fn note_proposed(&mut self, arrival: Arrival, order: OrderContent<'_>) {
        self.proposed
            .retain(|proposed| proposed.arrival.at + MAX_PROPOSAL_TIME > arrival.at);
        self.proposed.push(ProposedOrder {
            service: order.service.into(),
            target_version: order.target_version.into(),
            within: order.within,
            arrival,
        });
    }

    /// Returns the command by which the leader records how old orders are; none if nothing is to be recorded now.
    pub fn ages_to_record(
        &self,
        now: Micros,
        state: &ControlState,
        receipt: Micros,
    ) -> Option<Command> {
        let settled_age = settled_age(receipt);
        let is_due = |age: &OrderAge| {
            let recorded = state.order_ages.get(&age.id).copied().unwrap_or(0);
            let is_settled = age.at_least > settled_age;
            recorded <= settled_age
                && (is_settled || age.at_least >= recorded + AGE_RECORD_INTERVAL)
        };
        let orders = state.orders.values().flatten();
        let ages = orders.map(|order| OrderAge {
            id: order.id,
            at_least: self.age(now, order),
        });
        let ages: Vec<OrderAge> = ages.filter(is_due).collect();
        (!ages.is_empty()).then_some(Command::RecordOrderAges { ages })
    }
}

/// Whether the service's rollout that is under way is the one that an order asks for.
fn is_under_way(state: &ControlState, order: OrderContent<'_>) -> bool {
    let active = state.active_rollout(order.service);
    active.is_some_and(|active| {
        active.target_version == order.target_version && active.within == order.within
    })
}
