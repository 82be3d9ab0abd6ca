//! Where agents may talk a few judge on the outcomes of all, and the others follow their word.

use super::*;

/// So many judge, since one may be away, or as many as have to vote.
const JUDGES: f64 = 3.0;

impl Balancer {
    /// Names the judges.
    pub(crate) fn seat(&mut self) {
        let needed = ["family_info.on_votes", "family_info.noes_needed"].map(|name| self.set(name, 1.0));
        let judges = if self.flag("limits.peers") { needed.into_iter().fold(JUDGES, f64::max) } else { 0.0 };
        self.pool.seat(judges, self.agents(), self.set("self_index", 0.0));
    }

    /// Whether the judges' word stands for what this agent makes of its own few outcomes: until none of them
    /// has been heard for three of their words.
    pub(super) fn follows(&self) -> bool {
        let judged = self.pool.judges.is_empty() || self.pool.judges();
        !judged && self.now < self.pool.heard_at.max(self.started) + 3.0 * WORD
    }

    /// What other agents (`None`: all) are to be told: own totals to the judges, their word to all.
    pub fn tidings(&mut self) -> Vec<(Option<usize>, Tidings)> {
        let mut all = Vec::new();
        let Some(news) = self.news.filter(|_| !self.pool.judges.is_empty()) else { return all };
        let plain = self.plain(&news);
        if self.now >= self.pool.tell_at && !self.pool.changed.is_empty() {
            self.pool.tell_at = self.now + 0.5 * WORD;
            all = self.pool.tell(&plain, self.groups.len());
        }
        if self.pool.judges() && self.now >= self.pool.word_at {
            self.pool.word_at = self.now + WORD;
            all.push((None, Tidings { doubt: Some(self.raised()), ..plain }));
        }
        all
    }
}
