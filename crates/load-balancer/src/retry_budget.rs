//! The budget for further forwards: what a service receives beyond the first forward of each request, summed over
//! all agents, stays below a share of its requests and a fixed slack in any window. Each agent keeps a part that
//! adds up to less than the whole even when all others spend theirs; nobody has to talk.

use std::collections::HashMap;
use std::sync::Arc;

/// Of the share that is allowed so much is used: what an agent counts as requests may reach the service later.
const PART: f64 = 0.8;
/// Of the fixed slack so much is given out: the rest covers agents that are not known of and lives that ended.
const GIVEN_OUT: f64 = 0.5;
/// A life begins with so much; restarts must not mint new slack.
const FIRST: f64 = 1.0;
/// What one agent saves up at most: more would only be spent on a jam.
const MOST_SAVED: f64 = 8.0;

/// One agent's budgets, by service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    ratio: f64,
    /// What can be saved up.
    depth: f64,
    saved: HashMap<Arc<str>, f64>,
}

impl Budget {
    /// `ratio` and `slack` as stated for the sum over all agents.
    pub fn new(ratio: f64, slack: f64) -> Budget {
        let mut budget = Budget {
            ratio,
            ..Budget::default()
        };
        budget.share(slack, 0);
        budget
    }

    /// So many agents hold parts of the slack; 0: not known, so nothing of it is this agent's yet.
    pub fn share(&mut self, slack: f64, agents: u32) {
        let part = if agents == 0 {
            0.0
        } else {
            GIVEN_OUT * slack / f64::from(agents)
        };
        self.depth = part.clamp(FIRST, MOST_SAVED);
        self.saved.values_mut().for_each(|s| *s = s.min(self.depth));
    }

    /// Other terms hold from now on, for so many agents; what is saved up stays within them.
    pub fn retune(&mut self, ratio: f64, slack: f64, agents: u32) {
        self.ratio = ratio;
        self.share(slack, agents);
    }

    /// A request for the service has been taken.
    pub fn taken(&mut self, service: &Arc<str>) {
        let saved = self.saved.entry(service.clone()).or_insert(FIRST);
        *saved = (*saved + PART * self.ratio).min(self.depth);
    }

    /// What is saved up.
    pub fn saved(&self, service: &str) -> f64 {
        self.saved
            .get(service)
            .copied()
            .unwrap_or(FIRST)
            .min(self.depth)
    }

    /// A further forward goes to the service.
    pub fn spend(&mut self, service: &Arc<str>) {
        *self.saved.entry(service.clone()).or_insert(FIRST) -= 1.0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};

    /// Guards against a sum over all agents that is broken while each keeps its own part: restarts, and agents that
    /// spend all they have at the worst moment.
    #[test]
    fn parts_of_all_agents_stay_below_the_whole_in_every_window() {
        let (ratio, slack, agents, window) = (0.2, 58.0, 12, 10_000);
        let service: Arc<str> = "s".into();
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
        let fresh = || {
            let mut budget = Budget::new(ratio, slack);
            budget.share(slack, agents);
            budget
        };
        let mut all: Vec<Budget> = (0..agents).map(|_| fresh()).collect();
        let (mut taken, mut spent) = (Vec::new(), Vec::new());
        for now in 0..60_000u64 {
            let greedy = (now / 5000) % 2 == 1; // saves up for five seconds, then spends all it can
            let one = rng.gen_range(0..all.len());
            if rng.gen_bool(0.15) {
                all[one].taken(&service);
                taken.push(now);
            }
            if rng.gen_bool(0.0005) {
                all[one] = fresh();
            }
            for budget in all.iter_mut().filter(|b| greedy && b.saved("s") >= 1.0) {
                budget.spend(&service);
                spent.push(now);
            }
        }
        let within = |list: &[u64], from: u64| {
            list.iter()
                .filter(|t| (from..from + window).contains(t))
                .count()
        };
        for from in (0..50_000).step_by(500) {
            let (requests, more) = (within(&taken, from) as f64, within(&spent, from) as f64);
            assert!(
                more <= ratio * requests + slack,
                "{more} of {requests} from {from}"
            );
        }
        assert!(spent.len() > 500, "nothing was tried: {}", spent.len());
    }
}
