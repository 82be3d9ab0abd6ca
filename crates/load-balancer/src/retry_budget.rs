//! The retry budget: what a service receives beyond the first attempt of each request, summed over all proxies, stays below
//! a ratio of its requests plus a fixed slack in any window of time. Each proxy keeps a part; the parts add up to less than
//! the whole even when all the others spend theirs, so proxies need not communicate.

use std::collections::HashMap;
use std::sync::Arc;

/// Of the ratio that is allowed so much is used: what a proxy counts as requests may reach the service later.
const USED_RATIO: f64 = 0.8;
/// Of the slack so much is given out: the rest covers proxies that are not known of and processes that ended.
const USED_SLACK: f64 = 0.5;
/// What a process begins with; restarts must not mint new slack.
const INITIAL_BALANCE: f64 = 1.0;
/// What one proxy saves up at most: more would only be spent on an overload.
const MAX_BALANCE: f64 = 8.0;

/// One proxy's budgets, by service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    ratio: f64,
    /// What can be saved up.
    capacity: f64,
    balances: HashMap<Arc<str>, f64>,
}

impl RetryBudget {
    /// Creates one with nothing of the slack. `ratio` and `slack` are those of the sum over all proxies.
    pub fn new(ratio: f64, slack: f64) -> RetryBudget {
        let mut budget = RetryBudget {
            ratio,
            ..RetryBudget::default()
        };
        budget.set_slack(slack, 0);
        budget
    }

    /// Shares the slack among so many proxies; 0: not known, so nothing of it is this proxy's yet.
    pub fn set_slack(&mut self, slack: f64, proxies: u32) {
        let part = match proxies {
            0 => 0.0,
            _ => USED_SLACK * slack / f64::from(proxies),
        };
        self.capacity = part.clamp(INITIAL_BALANCE, MAX_BALANCE);
        for balance in self.balances.values_mut() {
            *balance = balance.min(self.capacity);
        }
    }

    /// Puts another ratio and slack in force, for so many proxies; what is saved up stays within them.
    pub fn set_limits(&mut self, ratio: f64, slack: f64, proxies: u32) {
        self.ratio = ratio;
        self.set_slack(slack, proxies);
    }

    /// Takes note of a request for the service.
    pub fn on_request(&mut self, service: &Arc<str>) {
        let balance = self
            .balances
            .entry(service.clone())
            .or_insert(INITIAL_BALANCE);
        *balance = (*balance + USED_RATIO * self.ratio).min(self.capacity);
    }

    /// Returns how many further attempts at the service are saved up.
    pub fn balance(&self, service: &str) -> f64 {
        let balance = self
            .balances
            .get(service)
            .copied()
            .unwrap_or(INITIAL_BALANCE);
        balance.min(self.capacity)
    }

    /// Takes note of a further attempt at the service.
    pub fn on_retry(&mut self, service: &Arc<str>) {
        *self
            .balances
            .entry(service.clone())
            .or_insert(INITIAL_BALANCE) -= 1.0;
    }
}
