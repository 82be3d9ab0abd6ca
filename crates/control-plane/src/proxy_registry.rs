//! The leader's view of the counters: who is there, what is in force at each, what each has seen of a trial.
//!
//! Totals, not steps: what a counter tells replaces what it told before, so loss and repeats do no harm. A counter
//! that starts anew begins new totals; what its earlier life told is kept, as it was seen.
//!
//! Links belong to one leadership. A counter is taken up only in the term in which a majority has confirmed this machine
//! after the counter asked; when the term ends, all its links end, and a counter that has heard a leader of a newer term
//! is let go of.

use crate::messages::{Evidence, Hello, Report, Spot, Totals, Vote};
use crate::Micros;
use std::collections::BTreeMap;

/// A counter that has not been heard of for so long is away: three of its reports.
const AWAY: Micros = 1_500_000;
/// A counter that has been away for so long no longer counts as one that may come back with its part of a sum.
const FORGOTTEN: Micros = 120_000_000;

/// One counter.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    pub zone: String,
    pub incarnation: u64,
    pub edition: u64,
    pub heard_at: Micros,
    /// The link that it holds, if any.
    pub link: Option<u64>,
    /// When it sent what was last heard of it, on its own clock.
    pub asked: Micros,
    /// The newest evidence of this life, by service.
    pub evidence: BTreeMap<String, Evidence>,
}

impl Counter {
    pub fn away(&self, now: Micros) -> bool {
        self.link.is_none() || now >= self.heard_at + AWAY
    }
}

/// All counters, by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// The term in which this machine leads; none: it doesn't.
    term: Option<u64>,
    counters: BTreeMap<String, Counter>,
    /// Evidence of lives that have ended.
    past: Vec<Evidence>,
}

/// What all counters together have seen of a rollout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pooled {
    /// By route: the earlier arm's totals, then the trial's.
    pub routes: BTreeMap<u64, [Totals; 2]>,
    /// What the trial build's appliances gave.
    pub spots: BTreeMap<u32, Spot>,
    /// Requests taken for the service since the order.
    pub taken: u64,
    /// The longest time that a counter has known of the order, in microseconds.
    pub age: u64,
    /// Counters that vote it back, and on.
    pub back: u32,
    pub on: u32,
    /// Counters that have told anything of it.
    pub voices: u32,
}

impl Totals {
    /// What is new since older totals of the same kind; nothing where they are not older.
    pub fn since(&self, old: &Totals) -> Totals {
        Totals {
            pulls: self.pulls.saturating_sub(old.pulls),
            in_time: self.in_time.saturating_sub(old.in_time),
            bad: self.bad.saturating_sub(old.bad),
            outcomes: self.outcomes.saturating_sub(old.outcomes),
            spent_ms: self.spent_ms.saturating_sub(old.spent_ms),
            served: self.served.saturating_sub(old.served),
        }
    }

    /// Adds another's totals.
    pub fn add(&mut self, other: &Totals) {
        self.pulls += other.pulls;
        self.in_time += other.in_time;
        self.bad += other.bad;
        self.outcomes += other.outcomes;
        self.spent_ms += other.spent_ms;
        self.served += other.served;
    }
}

impl Roster {
    /// This machine leads in this term from now on, or no longer; whether that is new. Then links of before are to end,
    /// and what was heard on them means nothing.
    pub fn leads_in(&mut self, term: Option<u64>) -> bool {
        let new = self.term != term;
        if new {
            *self = Roster {
                term,
                ..Roster::default()
            };
        }
        new
    }

    /// The term in which this machine leads.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// A counter has said who it is, on this link, and then a majority has confirmed that this machine leads in the term
    /// `confirmed`. `false`: it can't be taken up, as that term is over, here or as the counter knows.
    pub fn hello(&mut self, now: Micros, link: u64, confirmed: u64, hello: &Hello) -> bool {
        if self.term != Some(confirmed) || hello.term > confirmed {
            return false;
        }
        let counter = self.counters.entry(hello.node.clone()).or_default();
        if counter.incarnation != hello.incarnation {
            let evidence = std::mem::take(&mut counter.evidence);
            self.past.extend(evidence.into_values());
            self.past
                .retain(|e| e.phase.is_some() || !e.totals.is_empty());
        }
        *counter = Counter {
            zone: hello.zone.clone(),
            incarnation: hello.incarnation,
            edition: hello.edition,
            heard_at: now,
            link: Some(link),
            asked: hello.at,
            evidence: std::mem::take(&mut counter.evidence),
        };
        true
    }

    /// A counter's report. `false`: it has heard a leader of a newer term, and its link is to end.
    pub fn report(&mut self, now: Micros, link: u64, report: Report) -> bool {
        if self.term.is_none_or(|term| report.term > term) {
            self.closed(link);
            return false;
        }
        let Some(counter) = self.counters.values_mut().find(|c| c.link == Some(link)) else {
            return true;
        };
        (counter.heard_at, counter.edition, counter.asked) = (now, report.edition, report.at);
        for told in report.evidence {
            counter.evidence.insert(told.service.to_string(), told);
        }
        true
    }

    /// Links and, on each counter's own clock, when it sent what was last heard of it.
    pub fn asked(&self) -> impl Iterator<Item = (u64, Micros)> + '_ {
        self.counters
            .values()
            .filter_map(|c| Some((c.link?, c.asked)))
    }

    /// A link has ended.
    pub fn closed(&mut self, link: u64) {
        self.counters
            .values_mut()
            .filter(|c| c.link == Some(link))
            .for_each(|c| c.link = None);
    }

    /// How many counters there are, for sums that each holds a part of: those that may come back count too.
    pub fn count(&mut self, now: Micros) -> u32 {
        self.counters
            .retain(|_, c| !c.away(now) || now < c.heard_at + FORGOTTEN);
        self.counters.len() as u32
    }

    pub fn all(&self) -> impl Iterator<Item = (&String, &Counter)> {
        self.counters.iter()
    }

    /// What all have seen of one order.
    pub fn pooled(&self, service: &str, order: u64) -> Pooled {
        let mut pooled = Pooled::default();
        let present = self
            .counters
            .values()
            .filter_map(|c| c.evidence.get(service));
        for evidence in present.chain(self.past.iter().filter(|e| &*e.service == service)) {
            if evidence.order != order {
                continue;
            }
            pooled.voices += 1;
            pooled.taken += evidence.taken;
            pooled.age = pooled.age.max(evidence.age);
            for spot in &evidence.spots {
                let sum = pooled.spots.entry(spot.appliance).or_default();
                sum.appliance = spot.appliance;
                sum.outcomes += spot.outcomes;
                sum.bad += spot.bad;
                sum.late += spot.late;
            }
            pooled.back += u32::from(evidence.vote == Vote::Back);
            pooled.on += u32::from(evidence.vote == Vote::On);
            for (route, arms) in &evidence.totals {
                let sums = pooled.routes.entry(*route).or_default();
                sums.iter_mut()
                    .zip(arms)
                    .for_each(|(sum, arm)| sum.add(arm));
            }
        }
        pooled
    }

    /// Forwards still under way to the old version of a service, at counters that have heard of the move, and how
    /// many counters are there that have not told that they have heard of it.
    pub fn leaving(&self, now: Micros, service: &str, order: u64) -> (u32, u32) {
        let (mut under_way, mut unheard) = (0, 0);
        for counter in self.counters.values().filter(|c| !c.away(now)) {
            match counter.evidence.get(service).filter(|e| e.order == order) {
                Some(e) if e.phase == Some(crate::state_machine::Phase::Moving) => {
                    under_way += e.under_way
                }
                _ => unheard += 1,
            }
        }
        (under_way, unheard)
    }
}
