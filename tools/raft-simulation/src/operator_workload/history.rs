//! What operators saw, checked at the end: that it is linearizable, that rollouts come one at a time, and that each order was
//! executed as often as it was placed, if it was acknowledged.

use super::{OperatorWorkload, Order, SentCall, WorkloadTotals, SERVICES};
use crate::linearizability::{
    self, ConfigModel, ConfigRequest, ConfigResponse, RecordedCall, RolloutModel, RolloutRequest,
    RolloutResponse, RolloutStatus,
};
use crate::operator_node::{OperatorRequest, OperatorResponse, RECEIPT};
use crate::{Fault, Micros, MILLI};
use magpieline_control_plane::state_machine::{Command, Effect, Phase};
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// An entry of the log that is an order.
#[derive(Debug)]
struct OrderEntry<'a> {
    /// The version to move to, and the time that it may take.
    content: (String, u64),
    effect: &'a Effect,
    /// The proposer's time of day when the order arrived there.
    accepted_at: Micros,
    /// When it was first applied.
    applied_at: Micros,
}

impl OperatorWorkload {
    /// Checks the whole history. Panics with what is wrong.
    pub(super) fn check_history(&self) {
        if let Err(error) = linearizability::check(&ConfigModel, &self.config_calls()) {
            panic!("configurations: {error}\n{}", self.report());
        }
        for service in SERVICES {
            if let Err(error) = linearizability::check(&RolloutModel, &self.rollout_calls(service))
            {
                panic!("rollouts of {service}: {error}\n{}", self.report());
            }
            self.check_one_rollout_at_a_time(service);
            self.check_executions(service);
        }
    }

    /// Describes the controllers and the latest faults, for the message of a failed check.
    pub(super) fn report(&self) -> String {
        let mut lines = vec![format!("at {} ms", self.simulator.now() / MILLI)];
        for machine in 0..self.machines {
            lines.push(match self.simulator.node(machine) {
                None => format!("{machine}: down"),
                Some(node) => {
                    let raft = node.raft();
                    let (own, voters) = (raft.id().incarnation % 1000, raft.voters());
                    let incarnations: Vec<u64> = voters.iter().map(|node_id| node_id.incarnation % 1000).collect();
                    format!(
                        "{machine}: {:?} term {} last {} commit {} incarnation {own} voters {incarnations:?}",
                        raft.role(),
                        raft.term(),
                        raft.last_index(),
                        raft.commit_index()
                    )
                }
            });
        }
        let from = self.faults.len().saturating_sub(30);
        lines.extend(
            self.faults[from..]
                .iter()
                .map(|(at, fault)| format!("{} ms {fault:?}", at / MILLI)),
        );
        lines.join("\n")
    }

    fn config_calls(&self) -> Vec<RecordedCall<ConfigRequest, ConfigResponse>> {
        let mut names: HashMap<Arc<str>, u64> = HashMap::new();
        let mut name = |text: &Arc<str>| {
            let next = names.len() as u64;
            *names.entry(text.clone()).or_insert(next)
        };
        let mut calls = Vec::new();
        for sent in self.sent.values() {
            let request = match &self.orders[sent.order].request {
                OperatorRequest::ReplaceConfig { version, text } => ConfigRequest::Replace {
                    version: *version,
                    document: name(text),
                },
                OperatorRequest::ReadConfig => ConfigRequest::Read,
                OperatorRequest::BeginRollout { .. } | OperatorRequest::ReadRollout { .. } => {
                    continue
                }
            };
            let response = sent.response.as_ref().map(|(at, answer)| {
                let answer = match answer {
                    OperatorResponse::Accepted => ConfigResponse::Accepted,
                    OperatorResponse::Conflict => ConfigResponse::Conflict,
                    OperatorResponse::Config(held) => {
                        ConfigResponse::Current(held.as_ref().map(|(n, text)| (*n, name(text))))
                    }
                    other => panic!("{request:?} was answered {other:?}"),
                };
                (*at, answer)
            });
            if response.is_some() || request != ConfigRequest::Read {
                calls.push(RecordedCall {
                    request,
                    sent: sent.sent,
                    response,
                });
            }
        }
        calls
    }

    fn rollout_calls(&self, of: &str) -> Vec<RecordedCall<RolloutRequest, RolloutResponse>> {
        let mut names: HashMap<(String, u64), u64> = HashMap::new();
        let mut name = |to: &str, within: u64| {
            let next = names.len() as u64;
            *names.entry((to.to_owned(), within)).or_insert(next)
        };
        let mut calls = Vec::new();
        for sent in self.sent.values() {
            let request = match &self.orders[sent.order].request {
                OperatorRequest::BeginRollout {
                    service,
                    target_version,
                    within,
                } if *service == of => RolloutRequest::Begin {
                    order: sent.order as u64,
                    content: name(target_version, *within),
                },
                OperatorRequest::ReadRollout { service } if *service == of => RolloutRequest::Read,
                _ => continue,
            };
            let response = sent.response.as_ref().map(|(at, answer)| {
                let answer = match answer {
                    OperatorResponse::Accepted => RolloutResponse::Accepted,
                    OperatorResponse::Conflict => RolloutResponse::Conflict,
                    OperatorResponse::Rollout(newest) => RolloutResponse::Newest(
                        newest.as_ref().map(|(target_version, within, phase)| {
                            let status = match phase {
                                Phase::Trial | Phase::Promoting => RolloutStatus::Active,
                                Phase::Completed => RolloutStatus::Completed,
                                Phase::RolledBack => RolloutStatus::RolledBack,
                            };
                            (name(target_version, *within), status)
                        }),
                    ),
                    other => panic!("{request:?} was answered {other:?}"),
                };
                (*at, answer)
            });
            if response.is_some() || request != RolloutRequest::Read {
                calls.push(RecordedCall {
                    request,
                    sent: sent.sent,
                    response,
                });
            }
        }
        calls
    }

    /// Checks that a service has one rollout at a time, and each ends before the next begins.
    fn check_one_rollout_at_a_time(&self, of: &str) {
        let mut active = None;
        for (index, (command, effect, _)) in &self.checks.log {
            match command {
                Command::BeginRollout { service, .. }
                    if service == of && *effect == Effect::ServiceChanged =>
                {
                    assert_eq!(
                        active,
                        None,
                        "{of}: another rollout began at {index}\n{}",
                        self.report()
                    );
                    active = Some(*index);
                }
                Command::AdvanceRollout {
                    service,
                    id,
                    phase: Phase::Completed | Phase::RolledBack,
                } if service == of && *effect == Effect::ServiceChanged => {
                    assert_eq!(
                        active,
                        Some(*id),
                        "{of}: the step at {index}\n{}",
                        self.report()
                    );
                    active = None;
                }
                _ => {}
            }
        }
    }

    /// Checks the entries of a service's orders: that no order was executed twice, that none that was acknowledged was dropped,
    /// and that nothing was done for a call that was answered so.
    fn check_executions(&self, service: &str) {
        let entries = self.order_entries(service);
        self.check_no_order_ran_twice(service, &entries);
        self.check_acknowledged_orders(service, &entries);
        self.check_unclear_calls(service, &entries);
    }

    /// Returns the entries of a service's orders, in log order.
    fn order_entries(&self, of: &str) -> Vec<OrderEntry<'_>> {
        let mut entries = Vec::new();
        for (command, effect, applied_at) in self.checks.log.values() {
            match command {
                Command::BeginRollout {
                    service,
                    target_version,
                    within,
                    accepted_at,
                    ..
                } if service == of => entries.push(OrderEntry {
                    content: (target_version.clone(), *within),
                    effect,
                    accepted_at: *accepted_at,
                    applied_at: *applied_at,
                }),
                _ => {}
            }
        }
        entries
    }

    /// Returns the orders of a service: number, content, when it was first sent.
    fn orders_of(&self, of: &str) -> Vec<(usize, (String, u64), Micros)> {
        let content = |order: &Order| match &order.request {
            OperatorRequest::BeginRollout {
                service,
                target_version,
                within,
            } if *service == of => Some((target_version.clone(), *within)),
            _ => None,
        };
        let orders = self.orders.iter().enumerate();
        orders
            .filter_map(|(number, order)| Some((number, content(order)?, order.first_sent)))
            .collect()
    }

    /// Of each content, as many rollouts began by any moment as orders were sent by then at most.
    fn check_no_order_ran_twice(&self, service: &str, entries: &[OrderEntry<'_>]) {
        let orders = self.orders_of(service);
        for entry in entries {
            let (content, at) = (&entry.content, entry.applied_at);
            let ran = |other: &&OrderEntry<'_>| {
                other.content == *content
                    && *other.effect == Effect::ServiceChanged
                    && other.applied_at <= at
            };
            let ran = entries.iter().filter(ran).count();
            let sent = orders
                .iter()
                .filter(|(_, other, sent)| other == content && *sent <= at)
                .count();
            assert!(
                ran <= sent,
                "{service} {content:?}: {ran} rollouts for {sent} orders, {:?}",
                self.faults
            );
        }
    }

    /// An order that was acknowledged has an entry of its own time that took it, or is taken for a copy of an order that was taken
    /// and sent no more than `receipt` before.
    fn check_acknowledged_orders(&self, service: &str, entries: &[OrderEntry<'_>]) {
        for (order, content, first_sent) in self.orders_of(service) {
            let is_acknowledged = |call: &&SentCall| {
                call.order == order
                    && matches!(&call.response, Some((_, OperatorResponse::Accepted)))
            };
            let Some(first) = self.sent.values().find(is_acknowledged) else {
                continue;
            };
            let acknowledged = first.response.as_ref().map_or(0, |(at, _)| *at);
            let earliest = first_sent.saturating_sub(RECEIPT);
            let took_it = |entry: &OrderEntry<'_>| {
                entry.content == content
                    && entry.effect.is_accepted()
                    && ((first_sent..=acknowledged).contains(&entry.applied_at)
                        || self.was_sent_within(entry, earliest..first_sent))
            };
            assert!(
                entries.iter().any(took_it),
                "{service} {content:?}, sent at {first_sent}, was acknowledged and not taken\n{}",
                self.report()
            );
        }
    }

    /// Whether the call of an entry was sent within this time.
    fn was_sent_within(&self, entry: &OrderEntry<'_>, span: Range<Micros>) -> bool {
        let is_its_call = |call: &&SentCall| call.times_of_day.contains(&entry.accepted_at);
        let mut calls = self.sent.values().filter(is_its_call);
        calls.any(|call| span.contains(&call.sent))
    }

    /// Nothing was done, or is done later, for a call that was answered that it can't be told from a copy.
    fn check_unclear_calls(&self, service: &str, entries: &[OrderEntry<'_>]) {
        let unclear = self.sent.values().filter(|call| call.is_unclear);
        for call in unclear {
            let is_its_entry = |entry: &&OrderEntry<'_>| {
                call.times_of_day.contains(&entry.accepted_at) && entry.effect.is_accepted()
            };
            let entry = entries.iter().find(is_its_entry);
            assert!(
                entry.is_none(),
                "{service}: sent at {}, answered as unclear, and taken: {entry:?}",
                call.sent
            );
        }
    }

    pub(super) fn totals(&self) -> WorkloadTotals {
        let answered = |wanted: fn(&OperatorResponse) -> bool| {
            let answers = self.sent.values().filter_map(|s| s.response.as_ref());
            answers.filter(|(_, answer)| wanted(answer)).count() as u64
        };
        let effects = self.checks.log.values();
        WorkloadTotals {
            steps: self.simulator.steps(),
            calls: self.sent.len() as u64,
            accepted: answered(|a| *a == OperatorResponse::Accepted),
            rejected: answered(|a| *a == OperatorResponse::Conflict),
            reads: answered(|a| {
                matches!(
                    a,
                    OperatorResponse::Config(_) | OperatorResponse::Rollout(_)
                )
            }),
            unanswered: self.sent.values().filter(|s| s.response.is_none()).count() as u64,
            entries: self.checks.log.len() as u64,
            rollouts: effects
                .filter(|(c, e, _)| {
                    matches!(c, Command::BeginRollout { .. }) && *e == Effect::ServiceChanged
                })
                .count() as u64,
            faults: self.faults.len() as u64,
            wipes: self
                .faults
                .iter()
                .filter(|(_, f)| matches!(f, Fault::Wipe(_)))
                .count() as u64,
        }
    }
}
