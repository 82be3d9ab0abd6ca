//! Whether a history of calls could have come from one machine that does one thing at a time: linearizability as Herlihy
//! and Wing define it, searched for as Wing and Gong, and Lowe, publish it ("Testing and Verifying Concurrent Objects";
//! "Testing for linearizability"), with the models of what operators are promised.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;

/// A call as its caller saw it. Times are the caller's, in microseconds.
#[derive(Clone, Debug)]
pub struct RecordedCall<Q, A> {
    /// What was asked for.
    pub request: Q,
    /// When it was sent.
    pub sent: u64,
    /// When the answer came, and what it was. None: lost, or unclear; it may have been done then, later, or never.
    pub response: Option<(u64, A)>,
}

/// What a machine may do that does one thing at a time.
pub trait Model {
    /// The state of the machine.
    type State: Clone + Eq + Hash + Debug;
    /// What may be asked for.
    type Request: Debug;
    /// What may be answered.
    type Response: Debug;
    /// Returns the first state.
    fn start(&self) -> Self::State;
    /// The state after a call that is answered so; None where it can't be. Without an answer: after it is done, which it
    /// can be once only: a second time changes nothing.
    fn step(
        &self,
        state: &Self::State,
        request: &Self::Request,
        answer: Option<&Self::Response>,
    ) -> Option<Self::State>;
    /// States that it may go to by itself.
    fn drift(&self, state: &Self::State) -> Vec<Self::State>;
    /// Whether a call without an answer, done now, may explain this one, that is yet to come. `soon`: it may be the next
    /// one. What explains only what comes later can be done later, too; unless it can't be done then any more.
    fn explains(
        &self,
        unanswered: &Self::Request,
        other: &Self::Request,
        answer: &Self::Response,
        soon: bool,
    ) -> bool;
}

/// Steps of the search after which it is given up; histories of the raft-simulation take some thousands.
const MOST_LOOKS: usize = 3_000_000;

struct Search<'a, M: Model> {
    model: &'a M,
    calls: &'a [RecordedCall<M::Request, M::Response>],
    /// Answered calls that are done, and the state: looked at before.
    known: HashSet<(Vec<u64>, M::State)>,
    looks: usize,
    /// The most calls that could be put in an order, and the state there.
    best: (usize, Vec<u64>, Option<M::State>),
}

/// Puts the calls in an order in which each is done between when it was sent and when its answer came; what can't be
/// explained where there is none.
pub fn check<M: Model>(
    model: &M,
    calls: &[RecordedCall<M::Request, M::Response>],
) -> Result<(), String> {
    let mut calls_in_order: Vec<usize> = (0..calls.len()).collect();
    calls_in_order.sort_by_key(|i| calls[*i].response.as_ref().map_or(u64::MAX, |(at, _)| *at));
    let mut search = Search {
        model,
        calls,
        known: HashSet::new(),
        looks: 0,
        best: (0, Vec::new(), None),
    };
    let done = vec![0; calls.len().div_ceil(64)];
    if search.explain(&calls_in_order, done, model.start(), 0) {
        return Ok(());
    }
    let (count, done, state) = search.best;
    let open = calls_in_order
        .iter()
        .filter(|i| !has(&done, **i) && calls[**i].response.is_some())
        .take(3);
    let open: Vec<String> = open.map(|i| format!("{:?}", calls[*i])).collect();
    let given_up = if search.looks >= MOST_LOOKS {
        "search given up; "
    } else {
        ""
    };
    Err(format!(
        "{given_up}{count} calls explained, up to {state:?}; not explained:\n{}",
        open.join("\n")
    ))
}

fn has(done: &[u64], i: usize) -> bool {
    done[i / 64] >> (i % 64) & 1 == 1
}

fn with(mut done: Vec<u64>, i: usize) -> Vec<u64> {
    done[i / 64] |= 1 << (i % 64);
    done
}

impl<M: Model> Search<'_, M> {
    /// `order` is by when the answers came.
    fn explain(
        &mut self,
        order: &[usize],
        mut done: Vec<u64>,
        state: M::State,
        mut count: usize,
    ) -> bool {
        self.looks += 1;
        if self.looks >= MOST_LOOKS {
            return false;
        }
        // What changes nothing and may be answered so now is done now: nothing is lost by that.
        let open = loop {
            let open: Vec<usize> = order.iter().copied().filter(|i| !has(&done, *i)).collect();
            let Some((first_back, _)) = open.first().and_then(|i| self.calls[*i].response.as_ref())
            else {
                return true;
            };
            let may = |i: &&usize| self.calls[**i].sent <= *first_back;
            let idle = |i: &&usize| {
                let call = &self.calls[**i];
                call.response.as_ref().is_some_and(|(_, answer)| {
                    self.model
                        .step(&state, &call.request, Some(answer))
                        .as_ref()
                        == Some(&state)
                })
            };
            let idle: Vec<usize> = open.iter().filter(may).filter(idle).copied().collect();
            if idle.is_empty() {
                break open.iter().filter(may).copied().collect::<Vec<_>>();
            }
            count += idle.len();
            done = idle.into_iter().fold(done, with);
        };
        if count > self.best.0 || self.best.2.is_none() {
            self.best = (count, done.clone(), Some(state.clone()));
        }
        if !self.known.insert((done.clone(), state.clone())) {
            return false;
        }
        let (answered, unanswered): (Vec<usize>, Vec<usize>) = open
            .iter()
            .copied()
            .partition(|i| self.calls[*i].response.is_some());
        for i in answered {
            let call = &self.calls[i];
            let answer = call.response.as_ref().map(|(_, answer)| answer);
            if let Some(next) = self.model.step(&state, &call.request, answer) {
                if self.explain(order, with(done.clone(), i), next, count + 1) {
                    return true;
                }
            }
        }
        for next in self.model.drift(&state) {
            if self.explain(order, done.clone(), next, count) {
                return true;
            }
        }
        for i in unanswered {
            let request = &self.calls[i].request;
            let wanted = order.iter().filter(|j| !has(&done, **j)).any(|j| {
                let RecordedCall {
                    request: other,
                    response,
                    ..
                } = &self.calls[*j];
                response.as_ref().is_some_and(|(_, answer)| {
                    self.model
                        .explains(request, other, answer, open.contains(j))
                })
            });
            let next = if wanted {
                self.model.step(&state, request, None)
            } else {
                None
            };
            // Done again it changes nothing, so it need not be remembered as done: the state tells.
            if let Some(next) = next.filter(|next| *next != state) {
                if self.explain(order, done.clone(), next, count) {
                    return true;
                }
            }
        }
        false
    }
}

/// Configurations: the highest version holds; under a version the first document that is taken.
pub struct ConfigModel;

/// A document is named by a version of the history's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigRequest {
    /// Replaces the configuration.
    Replace {
        /// The version.
        version: u64,
        /// Names the document.
        document: u64,
    },
    /// Reads the configuration.
    Read,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigResponse {
    /// It is in force, or was before a newer one.
    Accepted,
    /// Another document has the version.
    Conflict,
    /// Version and document in force.
    Current(Option<(u64, u64)>),
}

/// ConfigModel by version, in order; the last one is in force.
impl Model for ConfigModel {
    type State = Vec<(u64, u64)>;
    type Request = ConfigRequest;
    type Response = ConfigResponse;

    fn start(&self) -> Self::State {
        Vec::new()
    }

    fn step(
        &self,
        state: &Self::State,
        request: &ConfigRequest,
        answer: Option<&ConfigResponse>,
    ) -> Option<Self::State> {
        let ConfigRequest::Replace { version, document } = *request else {
            let fits = answer
                .is_none_or(|answer| *answer == ConfigResponse::Current(state.last().copied()));
            return fits.then(|| state.clone());
        };
        let known = state.binary_search_by_key(&version, |(n, _)| *n);
        let taken = known.map_or(true, |at| state[at].1 == document);
        match (answer, known) {
            (Some(ConfigResponse::Accepted), _) if !taken => None,
            (Some(ConfigResponse::Conflict), _) if taken => None,
            (Some(ConfigResponse::Current(_)), _) => None,
            (_, Ok(_)) => Some(state.clone()),
            (_, Err(at)) => {
                let mut next = state.clone();
                next.insert(at, (version, document));
                Some(next)
            }
        }
    }

    fn drift(&self, _: &Self::State) -> Vec<Self::State> {
        Vec::new()
    }

    fn explains(
        &self,
        unanswered: &ConfigRequest,
        other: &ConfigRequest,
        answer: &ConfigResponse,
        soon: bool,
    ) -> bool {
        let ConfigRequest::Replace { version, document } = *unanswered else {
            return false;
        };
        match (other, answer) {
            _ if !soon => false,
            (ConfigRequest::Read, ConfigResponse::Current(held)) => {
                *held == Some((version, document))
            }
            (
                ConfigRequest::Replace {
                    version: n,
                    document: d,
                },
                ConfigResponse::Conflict,
            ) => *n == version && *d != document,
            _ => false,
        }
    }
}

/// RolloutModel of one service: one at a time, each order once. Calls with one `order` are copies of it.
pub struct RolloutModel;

/// What is asked of rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutRequest {
    /// `content` names version and term.
    Begin {
        /// Which order it is a copy of.
        order: u64,
        /// What it names.
        content: u64,
    },
    /// Reads the newest rollout.
    Read,
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutStatus {
    /// It is in progress.
    Active,
    /// The service has moved.
    Completed,
    /// The service was moved back.
    RolledBack,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutResponse {
    /// It began, or had begun.
    Accepted,
    /// Another rollout is in progress.
    Conflict,
    /// The newest one's content, and how far it is.
    Newest(Option<(u64, RolloutStatus)>),
}

/// A service as one machine would keep it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Service {
    taken: Vec<u64>,
    newest: Option<(u64, RolloutStatus)>,
    current_version: Option<u64>,
}

impl Model for RolloutModel {
    type State = Service;
    type Request = RolloutRequest;
    type Response = RolloutResponse;

    fn start(&self) -> Service {
        Service::default()
    }

    fn step(
        &self,
        state: &Service,
        request: &RolloutRequest,
        answer: Option<&RolloutResponse>,
    ) -> Option<Service> {
        let RolloutRequest::Begin { order, content } = *request else {
            let fits = answer.is_none_or(|answer| *answer == RolloutResponse::Newest(state.newest));
            return fits.then(|| state.clone());
        };
        let active = state
            .newest
            .filter(|(_, status)| *status == RolloutStatus::Active)
            .map(|(content, _)| content);
        let other = active.is_some_and(|other| other != content);
        let known = state.taken.binary_search(&order);
        match (answer, known) {
            (Some(RolloutResponse::Newest(_)), _) => None,
            (Some(RolloutResponse::Conflict), Err(_)) if other => Some(state.clone()),
            (Some(RolloutResponse::Conflict), _) => None,
            (_, Ok(_)) => Some(state.clone()),
            (Some(RolloutResponse::Accepted), Err(_)) if other => None,
            (None, Err(_)) if other => Some(state.clone()),
            (_, Err(at)) => {
                let mut next = state.clone();
                next.taken.insert(at, order);
                if active.is_none() && state.current_version != Some(content) {
                    next.newest = Some((content, RolloutStatus::Active));
                }
                Some(next)
            }
        }
    }

    fn drift(&self, state: &Service) -> Vec<Service> {
        let Some((content, RolloutStatus::Active)) = state.newest else {
            return Vec::new();
        };
        let returned = Service {
            newest: Some((content, RolloutStatus::RolledBack)),
            ..state.clone()
        };
        let newest = Some((content, RolloutStatus::Completed));
        let delivered = Service {
            newest,
            current_version: Some(content),
            ..state.clone()
        };
        vec![returned, delivered]
    }

    fn explains(
        &self,
        unanswered: &RolloutRequest,
        other: &RolloutRequest,
        answer: &RolloutResponse,
        soon: bool,
    ) -> bool {
        let RolloutRequest::Begin { content, .. } = *unanswered else {
            return false;
        };
        match (other, answer) {
            // When a copy comes, or the version is ordered anew, another rollout may be under way, or have been.
            (RolloutRequest::Begin { content: c, .. }, RolloutResponse::Accepted) => *c == content,
            _ if !soon => false,
            (RolloutRequest::Read, RolloutResponse::Newest(newest)) => {
                newest.is_some_and(|(shown, _)| shown == content)
            }
            (RolloutRequest::Begin { content: c, .. }, RolloutResponse::Conflict) => *c != content,
            _ => false,
        }
    }
}
