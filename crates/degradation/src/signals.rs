//! What an agent sees of itself, each figure with its age. A figure that nothing has renewed for a while is unknown, and
//! what is unknown is never taken for good.

use crate::limit::Limit;
use crate::words::Signal;

/// Shares of a path group's hits are known by the last two seconds or some twenty hits, whichever is longer, but by
/// no more than this, in seconds.
const SPAN: (f64, f64) = (2.0, 20.0);
const HITS: f64 = 20.0;
/// Fewer hits than this say nothing.
const FEW: f64 = 5.0;
/// A share is unknown once no hit has ended for so long, a reading once none has come.
const OLD: f64 = 5.0;
/// Where hits are rare it is so many times their usual distance, within the longest span: two in a hundred are farther.
const DISTANCES: f64 = 4.0;

/// How a hit ended, as far as service goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    InTime,
    Late,
    Failed,
    Bounced,
}

/// What an agent reads off itself from time to time, in parts of what it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    Cpu,
    Descriptors,
    Memory,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// Hits that have ended, fading: all, and by fate.
    all: f64,
    by: [f64; 3],
    last: f64,
    /// Hits a second.
    rate: f64,
}

impl Group {
    /// What is left by now of what was known when its last hit ended.
    fn kept(&self, now: f64) -> f64 {
        let span = (HITS / self.rate.max(1e-3)).clamp(SPAN.0, SPAN.1);
        (-(now - self.last).max(0.0) / span).exp()
    }

    fn fade(&mut self, now: f64) {
        let spent = (now - self.last).max(0.0);
        let kept = self.kept(now);
        self.all *= kept;
        self.by.iter_mut().for_each(|n| *n *= kept);
        self.rate *= (-spent / SPAN.1).exp();
        self.last = now;
    }
}

/// All figures of an agent.
#[derive(Clone, Debug)]
pub struct Signals {
    /// By path group, and last of all hits.
    groups: Vec<Group>,
    pub limit: Limit,
    in_flight: f64,
    /// Mean time before the first forward, and when it was last renewed.
    queueing: Option<(f64, f64)>,
    readings: [Option<(f64, f64)>; 3],
    /// Set by the admission: hits that wait, in parts of the room; the budget's shortage.
    pub(crate) waiting: f64,
    pub(crate) shortage: f64,
}

impl Signals {
    pub fn new(groups: usize) -> Signals {
        Signals {
            groups: vec![Group::default(); groups + 1],
            limit: Limit::default(),
            in_flight: 0.0,
            queueing: None,
            readings: [None; 3],
            waiting: 0.0,
            shortage: 0.0,
        }
    }

    /// A hit is handed on.
    pub fn began(&mut self) {
        self.in_flight += 1.0;
    }

    /// It is over: how, how long it took in parts of its target latency, and how long it waited before it was first
    /// forwarded, in seconds, if it was.
    pub fn ended(&mut self, now: f64, group: usize, fate: Fate, part: f64, waited: Option<f64>) {
        let in_flight = self.in_flight;
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        if let Some(waited) = waited {
            let mean = self
                .queueing
                .map_or(waited, |(mean, _)| mean + 0.1 * (waited - mean));
            self.queueing = Some((mean, now));
        }
        if matches!(fate, Fate::InTime | Fate::Late) {
            self.limit.sample(now, part, in_flight);
        }
        let all = self.groups.len() - 1;
        for place in [group, all] {
            let Some(g) = self.groups.get_mut(place) else {
                return;
            };
            g.fade(now);
            g.all += 1.0;
            g.rate += 1.0 / SPAN.1;
            if fate != Fate::InTime {
                g.by[fate as usize - 1] += 1.0;
            }
        }
    }

    /// One is over whose client has left: nothing is known of it.
    pub fn left(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    /// A reading has come.
    pub fn read(&mut self, now: f64, what: Reading, value: f64) {
        if value.is_finite() {
            self.readings[what as usize] = Some((value.clamp(0.0, 1.0), now));
        }
    }

    /// Nothing that was seen before speaks of now: the clock has jumped, or the agent has stood still.
    pub fn forget(&mut self) {
        self.groups.iter_mut().for_each(|g| *g = Group::default());
        (self.queueing, self.readings) = (None, [None; 3]);
    }

    fn share(&self, now: f64, group: Option<usize>, by: usize) -> Option<f64> {
        let g = self.groups.get(group.unwrap_or(self.groups.len() - 1))?;
        // Hits fade together, so only the count's age matters.
        let old = (DISTANCES / g.rate.max(1e-3)).clamp(OLD, SPAN.1);
        (g.all * g.kept(now) >= FEW && now - g.last <= old).then(|| g.by[by] / g.all)
    }

    /// The figure now, unless it is unknown.
    pub fn value(&self, now: f64, signal: Signal) -> Option<f64> {
        let fresh = |known: Option<(f64, f64)>| {
            known
                .filter(|(_, at)| now - at <= OLD)
                .map(|(value, _)| value)
        };
        match signal {
            Signal::Late(g) => self.share(now, g, Fate::Late as usize - 1),
            Signal::Failed(g) => self.share(now, g, Fate::Failed as usize - 1),
            Signal::Bounced(g) => self.share(now, g, Fate::Bounced as usize - 1),
            Signal::InFlight => Some(self.in_flight / self.limit.value()),
            Signal::Waiting => Some(self.waiting),
            Signal::Queueing => fresh(self.queueing),
            Signal::Shortage => Some(self.shortage),
            Signal::Cpu => fresh(self.readings[Reading::Cpu as usize]),
            Signal::Descriptors => fresh(self.readings[Reading::Descriptors as usize]),
            Signal::Memory => fresh(self.readings[Reading::Memory as usize]),
        }
    }

    /// Hits in flight.
    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }
}

#[cfg(test)]
mod tests;
