//! What operators saw, checked at the end: that it is linearizable, that rollouts come one at a time, and that each order was
//! executed as often as it was placed, if it was acknowledged.

use super::{OperatorWorkload, SentCall, WorkloadTotals, SERVICES};
use crate::linearizability::{
    self, ConfigModel, ConfigRequest, ConfigResponse, RecordedCall, RolloutModel, RolloutRequest,
    RolloutResponse, RolloutStatus,
};
use crate::operator_node::{OperatorRequest, OperatorResponse};
use crate::{Fault, Micros, MILLI};
use magpieline_control_plane::state_machine::{Command, Effect, Phase};
use std::collections::HashMap;
use std::sync::Arc;

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

    /// Checks that no order was executed twice, and none that was acknowledged was dropped: of each content, as many rollouts began by any
    /// moment as orders were sent by then at most; and for each acknowledged order there is an entry of its own time that
    /// took it.
    fn check_executions(&self, service: &str) {
        let entries = self
            .checks
            .log
            .values()
            .filter_map(|(command, effect, at)| match command {
                Command::BeginRollout {
                    service: s,
                    target_version,
                    within,
                    ..
                } if s == service => Some(((target_version.as_str(), *within), effect, *at)),
                _ => None,
            });
        let entries: Vec<_> = entries.collect();
        let orders = self
            .orders
            .iter()
            .enumerate()
            .filter_map(|(i, order)| match &order.request {
                OperatorRequest::BeginRollout {
                    service: s,
                    target_version,
                    within,
                } if *s == service => {
                    Some((i, (target_version.as_str(), *within), order.first_sent))
                }
                _ => None,
            });
        let orders: Vec<_> = orders.collect();
        for (content, _, at) in &entries {
            let ran = |(c, e, a): &&((&str, u64), &Effect, Micros)| {
                c == content && **e == Effect::ServiceChanged && a <= at
            };
            let ran = entries.iter().filter(ran).count();
            let sent = orders
                .iter()
                .filter(|(_, c, sent)| c == content && sent <= at)
                .count();
            assert!(
                ran <= sent,
                "{service} {content:?}: {ran} rollouts for {sent} orders, {:?}",
                self.faults
            );
        }
        for (order, content, first_sent) in &orders {
            let of = |s: &&SentCall| s.order == *order;
            let taken = |s: &&SentCall| {
                s.response
                    .as_ref()
                    .is_some_and(|(_, answer)| *answer == OperatorResponse::Accepted)
            };
            let Some(first) = self.sent.values().filter(of).find(taken) else {
                continue;
            };
            let acknowledged = first.response.as_ref().map_or(0, |(at, _)| *at);
            let its = |(c, e, at): &&((&str, u64), &Effect, Micros)| {
                c == content && e.is_accepted() && (first_sent..=&acknowledged).contains(&at)
            };
            let taken = entries.iter().find(its);
            assert!(
                taken.is_some(),
                "{service} {content:?}, sent at {first_sent}, was acknowledged and not taken"
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
