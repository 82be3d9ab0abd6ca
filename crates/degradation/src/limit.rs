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
mod tests;
