//! Whether a history of calls could have come from one machine that does one thing at a time: linearizability as Herlihy
//! and Wing define it, searched for as Wing and Gong, and Lowe, publish it ("Testing and Verifying Concurrent Objects";
//! "Testing for linearizability"), with the models of what operators are promised.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;

/// A call as its caller saw it. Times are the caller's, in microseconds.
#[derive(Clone, Debug)]
pub struct RecordedCall<Q, A> {
    pub asked: Q,
    pub sent: u64,
    /// When the answer came, and what it was. None: lost, or unclear; it may have been done then, later, or never.
    pub back: Option<(u64, A)>,
}

/// What a machine may do that does one thing at a time.
pub trait Model {
    type State: Clone + Eq + Hash + Debug;
    type Asked: Debug;
    type Answer: Debug;
    fn start(&self) -> Self::State;
    /// The state after a call that is answered so; None where it can't be. Without an answer: after it is done, which it
    /// can be once only: a second time changes nothing.
    fn step(
        &self,
        state: &Self::State,
        asked: &Self::Asked,
        answer: Option<&Self::Answer>,
    ) -> Option<Self::State>;
    /// States that it may go to by itself.
    fn drift(&self, state: &Self::State) -> Vec<Self::State>;
    /// Whether a call without an answer, done now, may explain this one, that is yet to come. `soon`: it may be the next
    /// one. What explains only what comes later can be done later, too; unless it can't be done then any more.
    fn explains(
        &self,
        unanswered: &Self::Asked,
        other: &Self::Asked,
        answer: &Self::Answer,
        soon: bool,
    ) -> bool;
}

/// Steps of the search after which it is given up; histories of the raft-simulation take some thousands.
const MOST_LOOKS: usize = 3_000_000;

struct Search<'a, M: Model> {
    model: &'a M,
    calls: &'a [RecordedCall<M::Asked, M::Answer>],
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
    calls: &[RecordedCall<M::Asked, M::Answer>],
) -> Result<(), String> {
    let mut calls_in_order: Vec<usize> = (0..calls.len()).collect();
    calls_in_order.sort_by_key(|i| calls[*i].back.as_ref().map_or(u64::MAX, |(at, _)| *at));
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
        .filter(|i| !has(&done, **i) && calls[**i].back.is_some())
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
            let Some((first_back, _)) = open.first().and_then(|i| self.calls[*i].back.as_ref())
            else {
                return true;
            };
            let may = |i: &&usize| self.calls[**i].sent <= *first_back;
            let idle = |i: &&usize| {
                let call = &self.calls[**i];
                call.back.as_ref().is_some_and(|(_, answer)| {
                    self.model.step(&state, &call.asked, Some(answer)).as_ref() == Some(&state)
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
            .partition(|i| self.calls[*i].back.is_some());
        for i in answered {
            let call = &self.calls[i];
            let answer = call.back.as_ref().map(|(_, answer)| answer);
            if let Some(next) = self.model.step(&state, &call.asked, answer) {
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
            let asked = &self.calls[i].asked;
            let wanted = order.iter().filter(|j| !has(&done, **j)).any(|j| {
                let RecordedCall {
                    asked: other, back, ..
                } = &self.calls[*j];
                back.as_ref().is_some_and(|(_, answer)| {
                    self.model.explains(asked, other, answer, open.contains(j))
                })
            });
            let next = if wanted {
                self.model.step(&state, asked, None)
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

/// Configurations: the highest number holds; under a number the first document that is taken.
pub struct Documents;

/// A document is named by a number of the history's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentAsked {
    Replace { number: u64, document: u64 },
    Read,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentAnswer {
    Taken,
    Refused,
    Held(Option<(u64, u64)>),
}

/// Documents by number, in order; the last one is in force.
impl Model for Documents {
    type State = Vec<(u64, u64)>;
    type Asked = DocumentAsked;
    type Answer = DocumentAnswer;

    fn start(&self) -> Self::State {
        Vec::new()
    }

    fn step(
        &self,
        state: &Self::State,
        asked: &DocumentAsked,
        answer: Option<&DocumentAnswer>,
    ) -> Option<Self::State> {
        let DocumentAsked::Replace { number, document } = *asked else {
            let fits =
                answer.is_none_or(|answer| *answer == DocumentAnswer::Held(state.last().copied()));
            return fits.then(|| state.clone());
        };
        let known = state.binary_search_by_key(&number, |(n, _)| *n);
        let taken = known.map_or(true, |at| state[at].1 == document);
        match (answer, known) {
            (Some(DocumentAnswer::Taken), _) if !taken => None,
            (Some(DocumentAnswer::Refused), _) if taken => None,
            (Some(DocumentAnswer::Held(_)), _) => None,
            (_, Ok(_)) => Some(state.clone()),
            (_, Err(at)) => {
                let mut next = state.clone();
                next.insert(at, (number, document));
                Some(next)
            }
        }
    }

    fn drift(&self, _: &Self::State) -> Vec<Self::State> {
        Vec::new()
    }

    fn explains(
        &self,
        unanswered: &DocumentAsked,
        other: &DocumentAsked,
        answer: &DocumentAnswer,
        soon: bool,
    ) -> bool {
        let DocumentAsked::Replace { number, document } = *unanswered else {
            return false;
        };
        match (other, answer) {
            _ if !soon => false,
            (DocumentAsked::Read, DocumentAnswer::Held(held)) => *held == Some((number, document)),
            (
                DocumentAsked::Replace {
                    number: n,
                    document: d,
                },
                DocumentAnswer::Refused,
            ) => *n == number && *d != document,
            _ => false,
        }
    }
}

/// Rollouts of one service: one at a time, each order once. Calls with one `order` are copies of it.
pub struct Rollouts;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutAsked {
    /// `content` names version and term.
    Begin {
        order: u64,
        content: u64,
    },
    State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    UnderWay,
    Delivered,
    Returned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutAnswer {
    Taken,
    Refused,
    /// The newest one's content, and how far it is.
    Newest(Option<(u64, Fate)>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Service {
    taken: Vec<u64>,
    newest: Option<(u64, Fate)>,
    stands: Option<u64>,
}

impl Model for Rollouts {
    type State = Service;
    type Asked = RolloutAsked;
    type Answer = RolloutAnswer;

    fn start(&self) -> Service {
        Service::default()
    }

    fn step(
        &self,
        state: &Service,
        asked: &RolloutAsked,
        answer: Option<&RolloutAnswer>,
    ) -> Option<Service> {
        let RolloutAsked::Begin { order, content } = *asked else {
            let fits = answer.is_none_or(|answer| *answer == RolloutAnswer::Newest(state.newest));
            return fits.then(|| state.clone());
        };
        let under_way = state
            .newest
            .filter(|(_, fate)| *fate == Fate::UnderWay)
            .map(|(content, _)| content);
        let other = under_way.is_some_and(|other| other != content);
        let known = state.taken.binary_search(&order);
        match (answer, known) {
            (Some(RolloutAnswer::Newest(_)), _) => None,
            (Some(RolloutAnswer::Refused), Err(_)) if other => Some(state.clone()),
            (Some(RolloutAnswer::Refused), _) => None,
            (_, Ok(_)) => Some(state.clone()),
            (Some(RolloutAnswer::Taken), Err(_)) if other => None,
            (None, Err(_)) if other => Some(state.clone()),
            (_, Err(at)) => {
                let mut next = state.clone();
                next.taken.insert(at, order);
                if under_way.is_none() && state.stands != Some(content) {
                    next.newest = Some((content, Fate::UnderWay));
                }
                Some(next)
            }
        }
    }

    fn drift(&self, state: &Service) -> Vec<Service> {
        let Some((content, Fate::UnderWay)) = state.newest else {
            return Vec::new();
        };
        let returned = Service {
            newest: Some((content, Fate::Returned)),
            ..state.clone()
        };
        let newest = Some((content, Fate::Delivered));
        let delivered = Service {
            newest,
            stands: Some(content),
            ..state.clone()
        };
        vec![returned, delivered]
    }

    fn explains(
        &self,
        unanswered: &RolloutAsked,
        other: &RolloutAsked,
        answer: &RolloutAnswer,
        soon: bool,
    ) -> bool {
        let RolloutAsked::Begin { content, .. } = *unanswered else {
            return false;
        };
        match (other, answer) {
            // When a copy comes, or the version is ordered anew, another rollout may be under way, or have been.
            (RolloutAsked::Begin { content: c, .. }, RolloutAnswer::Taken) => *c == content,
            _ if !soon => false,
            (RolloutAsked::State, RolloutAnswer::Newest(newest)) => {
                newest.is_some_and(|(shown, _)| shown == content)
            }
            (RolloutAsked::Begin { content: c, .. }, RolloutAnswer::Refused) => *c != content,
            _ => false,
        }
    }
}
