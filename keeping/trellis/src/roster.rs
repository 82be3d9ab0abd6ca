//! The leader's view of the counters: who is there, what is in force at each, what each has seen of a trial.
//!
//! Totals, not steps: what a counter tells replaces what it told before, so loss and repeats do no harm. A counter
//! that starts anew begins new totals; what its earlier life told is kept, as it was seen.

use crate::words::{Evidence, Spot, Totals, Vote};
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
    pub life: u64,
    pub edition: u64,
    pub heard_at: Micros,
    /// The link that it holds, if any.
    pub link: Option<u64>,
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
    /// A counter has said who it is, on this link.
    pub fn hello(&mut self, now: Micros, link: u64, node: &str, zone: &str, life: u64, edition: u64) {
        let counter = self.counters.entry(node.to_owned()).or_default();
        if counter.life != life {
            let evidence = std::mem::take(&mut counter.evidence);
            self.past.extend(evidence.into_values());
            self.past.retain(|e| e.phase.is_some() || !e.totals.is_empty());
        }
        let evidence = std::mem::take(&mut counter.evidence);
        *counter = Counter { zone: zone.into(), life, edition, heard_at: now, link: Some(link), evidence };
    }

    /// A counter's report.
    pub fn report(&mut self, now: Micros, link: u64, edition: u64, evidence: Vec<Evidence>) {
        let Some(counter) = self.counters.values_mut().find(|c| c.link == Some(link)) else { return };
        (counter.heard_at, counter.edition) = (now, edition);
        for told in evidence {
            counter.evidence.insert(told.service.to_string(), told);
        }
    }

    /// A link has ended.
    pub fn closed(&mut self, link: u64) {
        self.counters.values_mut().filter(|c| c.link == Some(link)).for_each(|c| c.link = None);
    }

    /// Leadership begins or ends: links of before mean nothing.
    pub fn clear(&mut self) {
        *self = Roster::default();
    }

    /// How many counters there are, for sums that each holds a part of: those that may come back count too.
    pub fn count(&mut self, now: Micros) -> u32 {
        self.counters.retain(|_, c| !c.away(now) || now < c.heard_at + FORGOTTEN);
        self.counters.len() as u32
    }

    pub fn all(&self) -> impl Iterator<Item = (&String, &Counter)> {
        self.counters.iter()
    }

    /// What all have seen of one order.
    pub fn pooled(&self, service: &str, order: u64) -> Pooled {
        let mut pooled = Pooled::default();
        let present = self.counters.values().filter_map(|c| c.evidence.get(service));
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
                sums.iter_mut().zip(arms).for_each(|(sum, arm)| sum.add(arm));
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
                Some(e) if e.phase == Some(crate::records::Phase::Moving) => under_way += e.under_way,
                _ => unheard += 1,
            }
        }
        (under_way, unheard)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(order: u64, bad: u32, vote: Vote) -> Vec<Evidence> {
        let trial = Totals { bad, outcomes: 10, ..Totals::default() };
        vec![Evidence {
            service: "s".into(),
            order,
            vote,
            totals: vec![(1, [Totals::default(), trial])],
            taken: 100,
            ..Evidence::default()
        }]
    }

    /// Guards against evidence that counts twice when it is told twice, or is lost when its counter restarts.
    #[test]
    fn totals_replace_each_other_and_outlast_their_counter() {
        let mut roster = Roster::default();
        roster.hello(0, 1, "a", "z", 11, 0);
        roster.hello(0, 2, "b", "z", 12, 0);
        for _ in 0..3 {
            roster.report(1, 1, 0, told(5, 4, Vote::Back));
        }
        roster.report(1, 2, 0, told(5, 1, Vote::None));
        roster.report(2, 2, 0, told(5, 2, Vote::None));
        let pooled = roster.pooled("s", 5);
        assert_eq!((pooled.routes[&1][1].bad, pooled.taken, pooled.back), (6, 200, 1));
        roster.closed(1);
        roster.hello(3, 3, "a", "z", 99, 0); // another life of the first
        roster.report(3, 3, 0, told(5, 1, Vote::None));
        assert_eq!(roster.pooled("s", 5).routes[&1][1].bad, 7);
        assert_eq!(roster.pooled("s", 4), Pooled::default());
    }

    /// Guards against a rollout called delivered while a counter has not stopped.
    #[test]
    fn who_has_not_heard_of_a_move_is_waited_for_while_there() {
        let mut roster = Roster::default();
        roster.hello(0, 1, "a", "z", 11, 0);
        roster.hello(0, 2, "b", "z", 12, 0);
        let moving = |under_way| {
            let phase = Some(crate::records::Phase::Moving);
            vec![Evidence { service: "s".into(), order: 5, under_way, phase, ..Evidence::default() }]
        };
        roster.report(1, 1, 0, moving(2));
        assert_eq!(roster.leaving(1, "s", 5), (2, 1));
        roster.report(2, 2, 0, moving(0));
        assert_eq!(roster.leaving(2, "s", 5), (2, 0));
        roster.closed(1);
        assert_eq!(roster.leaving(3, "s", 5), (0, 0));
        assert_eq!(roster.count(3), 2);
    }
}
