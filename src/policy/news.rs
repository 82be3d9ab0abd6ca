//! What others tell this agent and what it makes of it: the list, the platform's news and counts, complaints.

use super::*;

impl Balancer {
    /// When to try again: a time doubled with each failure, up to the longest, spread over agents.
    pub(super) fn later(&mut self, first: f64, failures: i32, longest: f64) -> f64 {
        self.now + (first * 2f64.powi(failures.min(9))).min(longest) * self.chance.within(0.5, 1.5)
    }

    /// A call to the list failed or its pushes ended. Pushed ones lie at the own machine: asked for soon, by
    /// the grace for drains. Else all ask one discovery, at intervals that grow with failures and agents.
    pub fn list_failed(&mut self, now: f64) {
        self.at(now);
        let soon = 0.1 * self.set("obligations.drain_grace_s", 2.0);
        let shared = (0.02 * self.agents()).clamp(0.25, 2.0);
        let (first, longest) = if self.pushed() { (soon, soon) } else { (shared, 8.0) };
        self.following.ask_at = self.later(first, self.following.failures, longest);
        (self.following.on, self.following.failures) = (false, self.following.failures + 1);
    }

    /// The platform's news. What was last told binds, in whatever order it comes.
    pub fn heard(&mut self, now: f64, news: News) {
        self.at(now);
        let old = self.news.replace(news);
        if old.is_none_or(|o| (o.build, o.stage, o.phase) != (news.build, news.stage, news.phase)) {
            self.begin_stage(&news);
            self.duel = Duel::new(self.groups.len(), (self.lately.taken + self.pool.answers) / SPAN);
            self.cast.again_at = self.now;
        }
        // A pause lasts as long as the slowest group's answers may take.
        let pause = self.groups.iter().map(|g| g.target).fold(0.0, f64::max).clamp(0.5, 2.0);
        self.open_case(old, news, pause);
        if old.is_none_or(|o| o.build != news.build) {
            self.forget();
            self.informed = old.is_some();
            // After a restart it may be used up; all agents' free forwards at once would crowd cold nodes.
            let free = self.set("family_info.spare_tries", 0.0).min(1.0);
            self.tokens = if old.is_some() { free * self.chance.within(0.0, 1.0) } else { 0.0 };
        }
        self.remember(news);
    }

    /// The platform's sampled counts, where they hold more than this agent meets. Covers sick nodes and lost
    /// zones that many agents meet twice each. May hurt when a bad build is tried only while others err.
    pub fn tallied(&mut self, now: f64, tally: Tally) {
        self.at(now);
        let fuller = self.set("family_info.sample", 0.0) * self.agents() > 1.0;
        let Some(news) = self.news.filter(|_| fuller && self.pool.judges.is_empty()) else { return };
        if tally.build <= news.build && !self.void.contains(&tally.build) {
            self.tallies.add(now, 0.3, usize::from(tally.build == news.build), &tally);
        }
    }

    /// A client has found an answer wrong that `node` gave.
    pub fn complained(&mut self, now: f64, node: usize) {
        self.at(now);
        let Some(build) = self.nodes.get(node).and_then(|n| n.listed).map(|l| l.build) else { return };
        self.wrong(build, 1.0);
        self.pool.complained(node * self.groups.len());
        let side = usize::from(self.newest() == Some(build));
        self.case.iter_mut().for_each(|c| c.complained(now, side, node));
    }
}
