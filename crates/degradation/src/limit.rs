//! How many hits nodes can take from this agent at once, learnt from how long they take: the gradient between the time
//! at rest and what is now, as published for adaptive concurrency limits. The time at rest is the least mean of the last
//! two minutes: a mean over all of them drifts into any jam that lasts, the least ever seen takes each slowdown of the
//! nodes for a jam for ever. `docs/levels/design.md` has the figures.

/// What is now: so many samples.
const NOW: f64 = 20.0;
/// The last two minutes, in parts of ten seconds; one of fewer samples says nothing.
const PARTS: usize = 12;
const PART: f64 = 10.0;
const FEW: f64 = 10.0;
/// Times may grow by so much before the limit shrinks: path groups differ, and a little queueing keeps nodes busy.
const TOLERATED: f64 = 1.5;
/// A step's weight.
const STEP: f64 = 0.2;
/// The limit never leaves these.
const LEAST: f64 = 4.0;
const MOST: f64 = 10_000.0;

#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    now: Option<f64>,
    /// Sum and count of times, by part; and which part is the present one.
    parts: [(f64, f64); PARTS],
    part: u64,
    samples: f64,
    since_step: f64,
}

impl Default for Limit {
    fn default() -> Limit {
        let parts = [(0.0, 0.0); PARTS];
        Limit {
            limit: 20.0,
            now: None,
            parts,
            part: 0,
            samples: 0.0,
            since_step: 0.0,
        }
    }
}

impl Limit {
    /// Hits in flight at most.
    pub fn value(&self) -> f64 {
        self.limit
    }

    /// How long hits take now against the time at rest; none until that is known.
    pub fn stretch(&self) -> Option<f64> {
        let means = self
            .parts
            .iter()
            .filter(|(_, n)| *n >= FEW)
            .map(|(sum, n)| sum / n);
        let rest = means.fold(f64::INFINITY, f64::min);
        self.now.filter(|_| rest.is_finite()).map(|now| now / rest)
    }

    /// A hit took `time` (in parts of its path group's target latency) while so many were in flight.
    pub fn sample(&mut self, at: f64, time: f64, in_flight: f64) {
        if !(time.is_finite() && time > 0.0 && at.is_finite()) {
            return;
        }
        self.samples += 1.0;
        let now = self.now.get_or_insert(time);
        *now += (time - *now) / self.samples.min(NOW);
        let part = (at.max(0.0) / PART) as u64;
        // Parts in which nothing came are empty; a clock that went back changes none.
        let passed = part.saturating_sub(self.part).min(PARTS as u64);
        for i in 0..passed {
            self.parts[((part - i) % PARTS as u64) as usize] = (0.0, 0.0);
        }
        self.part = self.part.max(part);
        let (sum, n) = &mut self.parts[(self.part % PARTS as u64) as usize];
        (*sum, *n) = (*sum + time, *n + 1.0);
        self.since_step += 1.0;
        let Some(stretch) = self.stretch().filter(|_| self.since_step >= NOW / 2.0) else {
            return;
        };
        self.since_step = 0.0;
        let aim = self.limit * (TOLERATED / stretch).clamp(0.5, 1.0) + self.limit.sqrt();
        // What is not nearly used says nothing of more.
        if aim < self.limit || in_flight > self.limit / 2.0 {
            self.limit = (self.limit + STEP * (aim - self.limit)).clamp(LEAST, MOST);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Nodes that take `rest` seconds a hit up to a capacity, and longer in proportion beyond it; an agent that offers so
    /// many in flight, within its limit. Gives the time at the end.
    fn settle(
        limit: &mut Limit,
        from: f64,
        seconds: f64,
        capacity: f64,
        rest: f64,
        offered: f64,
    ) -> f64 {
        let mut now = from;
        while now < from + seconds {
            let in_flight = limit.value().min(offered);
            let time = rest * (in_flight / capacity).max(1.0);
            limit.sample(now, time, in_flight);
            now += time / in_flight;
        }
        now
    }

    /// By a minute of load within what nodes can take, and one beyond it.
    #[test]
    fn it_stays_near_what_nodes_can_take() {
        for capacity in [20.0, 100.0, 400.0] {
            let mut limit = Limit::default();
            let now = settle(&mut limit, 0.0, 60.0, capacity, 0.1, 0.9 * capacity);
            settle(&mut limit, now, 60.0, capacity, 0.1, 10.0 * capacity);
            assert!(
                (capacity..3.0 * capacity).contains(&limit.value()),
                "{capacity}: {}",
                limit.value()
            );
        }
    }

    /// A slowdown that all nodes share shrinks it, and once that is usual it comes back.
    #[test]
    fn a_slowdown_that_lasts_becomes_usual() {
        let mut limit = Limit::default();
        let now = settle(&mut limit, 0.0, 60.0, 100.0, 0.1, 100.0);
        let before = limit.value();
        let now = settle(&mut limit, now, 20.0, 100.0, 0.6, 100.0);
        assert!(
            limit.value() < 0.5 * before,
            "{} of {before}",
            limit.value()
        );
        settle(&mut limit, now, 150.0, 100.0, 0.6, 100.0);
        assert!(
            limit.value() > 0.9 * before,
            "{} of {before}",
            limit.value()
        );
    }

    #[test]
    fn a_quiet_agent_claims_no_more_and_odd_times_change_nothing() {
        let mut limit = Limit::default();
        for time in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
            limit.sample(0.0, time, 1.0);
        }
        (0..1000).for_each(|i| limit.sample(f64::from(i), 0.1, 1.0));
        limit.sample(-1e9, 0.1, 1.0);
        limit.sample(f64::INFINITY, 0.1, 1.0);
        assert_eq!(limit.value(), Limit::default().value());
    }
}
