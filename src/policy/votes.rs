//! How far a release goes: what this agent's vote should be, and its casting.

use super::*;

impl Balancer {
    pub(super) fn wish(&self) -> Verdict {
        let Some(news) = self.news.filter(|_| !self.follows()) else { return Verdict::Clear };
        let own = self.evidence.weight(self.enough(), self.tallies.more(10.0));
        // Cold nodes' refusals count in what all are told: all wait, who has met an error votes back.
        let met = self.evidence.faults.last().is_some_and(|all| *all > 0.5);
        let told = self.tallies.against() / ENOUGH;
        let trial = news.phase == Phase::Trial;
        // Late answers alone may be one crowded machine's fault: its fellows have to be slow as well.
        let sunk = self.duel.sunk() && self.evidence.slower > 0.5;
        let convinced = own >= 1.0 || met && told >= 1.0;
        let plain = convinced || !self.blind() && (sunk || self.duel.dropped == Some(TRIAL));
        let guilty = self.look.map_or(plain, |l| l.opinion == Opinion::Back);
        let weight = self.look.map_or(own.max(told), |l| l.back);
        // Where rates are stated only evidence against a bad build releases one, or the stated fallback.
        let unsure = self.look.map_or(told > 0.25, |l| l.opinion != Opinion::On);
        let waits = news.cap >= 1.0 && unsure && !self.case.as_ref().is_some_and(Case::falls_back);
        let doubtful = trial && (weight >= 0.5 || self.now < self.doubt.until || waits);
        if guilty {
            return Verdict::Back;
        } else if self.text("family_info.vote_mode") == "clocked" {
            return [Verdict::Clear, Verdict::Hold][usize::from(doubtful)]; // stages move by themselves
        }
        // The stage's least time runs from its machines' listed start. The least count is the design's 10
        // over all whose votes it takes, or what the cap lets through in that time if that is less.
        let soak = self.set("family_info.soak_s", 0.0);
        let own = self.open().filter(|l| l.build == news.build);
        let start = own.map(|l| l.up_since).fold(self.stage_began, f64::max);
        let most = (10.0 / self.set("family_info.on_votes", 1.0).max(1.0)).max(1.0);
        let rate = (self.lately.taken + self.pool.answers) / SPAN;
        let least = (news.cap * rate * (soak + 1.0)).clamp(1.0, most);
        let ripe = self.duel.outcomes >= least && !self.duel.shuns_trial();
        // A vote given for a stage stands, whatever machines are listed after it.
        let given = Vote { verdict: Verdict::On, build: news.build, stage: news.stage };
        // Before the release the machines have to be warm to show what they do; pooled, older ones are met.
        let full = self.set("obligations.cold_s", 0.0) + 2.0 * SPAN;
        let warm = if news.cap < 1.0 || self.blind() { 0.0 } else { full };
        let due = self.now >= start + soak.max(warm) || self.cast.vote == Some(given);
        // An agent that started under the trial has no seconds before it: the others vote first.
        let alone = self.started + if self.pool.judges.is_empty() { 10.0 } else { 3.0 * WORD };
        let due = due && (self.informed || self.now >= alone);
        [Verdict::Clear, Verdict::On][usize::from(trial && !doubtful && ripe && due)]
    }

    /// Casts, renews and repeats the vote.
    pub(super) fn ballot(&mut self) -> Option<Vote> {
        let news = self.news.filter(|n| matches!(n.phase, Phase::Trial | Phase::Released))?;
        let vote = Vote { verdict: self.wish(), build: news.build, stage: news.stage };
        // Where renewals alone exceed what the platform takes, a vote taken back keeps others out: it lapses.
        let life = 0.75 * self.set("family_info.vote_stands_s", 5.0);
        let lapses = self.agents() > life * self.set("family_info.api_rate", f64::MAX);
        let settled = match self.cast.vote.filter(|_| self.now < self.cast.good_until) {
            None => vote.verdict == Verdict::Clear,
            Some(old) if vote.verdict == Verdict::Clear && lapses && old.verdict == Verdict::On => true,
            Some(old) if vote.verdict == Verdict::Back => old == Vote { stage: old.stage, ..vote },
            // A vote for a past stage counts for nothing: there is nothing to take back.
            Some(old) if vote.verdict == Verdict::Clear && old.stage != vote.stage => true,
            Some(old) => old == vote,
        };
        if settled || self.now < self.cast.again_at {
            return None;
        }
        self.cast.again_at = self.now + 1.2 * self.set("family_info.call_timeout_s", 1.0);
        (self.cast.vote, self.cast.good_until) = (Some(vote), self.now); // unsettled until it is answered
        Some(vote)
    }

    /// How the last vote was received. One that does not count is cast again, later each time.
    pub fn vote_received(&mut self, now: f64, receipt: Receipt) {
        self.at(now);
        if receipt == Receipt::Counted {
            self.cast.good_until = self.now + 0.75 * self.set("family_info.vote_stands_s", 5.0); // then anew
            (self.cast.again_at, self.cast.misses) = (self.now, 0);
        } else {
            self.cast.misses += 1;
            self.cast.again_at = self.later(0.1, self.cast.misses, 1.6); // a stage waits little for it
        }
    }
}
