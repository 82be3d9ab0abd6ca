//! Mechanism 4: bounces before the time is gone, by benefit and by what a node would take.

use super::*;

impl Balancer {
    /// Bounces early when the node would take longer than a part of the target latency, the more the benefit.
    /// Holds against bursts, lost nodes and shared slowdowns. May hurt after heavy hits.
    pub(super) fn too_busy(&mut self, place: usize, node: usize) -> bool {
        let (hit, group) = self.hit(place);
        let known = hit.forwards == 0 && self.now - self.started >= SPAN;
        let most = self.groups.iter().map(|g| g.benefit).fold(f64::MIN_POSITIVE, f64::max);
        // The best keep twice the room of the least and more; where few misses are allowed all bounce sooner.
        let strict = (self.set("scoring_mix.miss_allowed", 0.05) / 0.05).sqrt().min(1.0);
        let mut part = (0.45 + 0.55 * group.benefit / most) * strict;
        let over = self.lately.over(hit.arrival.account, self.agents() / SPAN) > 3.0;
        part *= if over { self.set("over_share_worth", 1.0).max(0.4) } else { 1.0 }; // beyond chance
        let expected = self.load(node) * self.lately.spent / self.lately.loads;
        let busy = known && expected > (part * group.pace).min(2.0 * (hit.due - self.now));
        if known && self.ailing(hit) {
            let probe = self.now >= self.probe_at;
            self.probe_at = if probe { self.later(3.0, 0, 3.0) } else { self.probe_at };
            return !probe;
        }
        // A bounce teaches nothing: the expectation falls, or a bad moment would last for ever.
        self.lately.spent *= if busy { 1.0 - 0.1 * self.weight() } else { 1.0 };
        busy
    }

    /// What one answer counts among lately's: the last half second or ten answers.
    fn weight(&self) -> f64 {
        1.0 / (0.5 * self.lately.done / SPAN).clamp(10.0, 200.0)
    }

    /// What a forward's time says of the next ones'.
    pub(super) fn expect(&mut self, flying: &Flying, spent: f64) {
        let far = usize::from(!self.is_near(flying.node));
        self.lately.sides[far].follow(0.95, spent);
        let weight = self.weight();
        // One slow node says little of the others: a time counts as thrice the expected at most.
        let most = 3.0 * flying.load * self.lately.spent / self.lately.loads;
        let spent = if most > 0.0 { spent.min(most) } else { spent };
        self.lately.spent += weight * (spent - self.lately.spent);
        self.lately.loads += weight * (flying.load - self.lately.loads);
    }

    /// Hits of an account or path group late at every node, while another is not, are bounced but for one in
    /// three seconds, and say nothing of nodes or builds. Hurts where late answers bring much.
    pub(super) fn tardy(&mut self, hit: &Hit, end: &Return) {
        let (group, silent) = (hit.arrival.group, end.ending == Ending::NoAnswer);
        let late = silent || end.spent > self.groups[group].target;
        let tells = silent || end.ending == Ending::Delivered;
        let (groups, accounts) = self.lately.tardy.split_at_mut(self.groups.len());
        for (kind, i) in [(groups, group), (accounts, hit.arrival.account)].into_iter().filter(|_| tells) {
            let other = (0..kind.len()).filter(|j| *j != i).map(|j| kind[j].0).fold(1.0, f64::min);
            let Some((part, ails)) = kind.get_mut(i) else { continue };
            // Above 0.6 some four in five are late, below 0.3 half. It ails until one comes in time again.
            *part += if late { 0.2 * (1.0 - *part) } else { -0.5 * *part };
            *ails = *part > 0.6 && (*ails || other < 0.3);
        }
    }

    /// Answers at once: a bounce where nothing can run twice, else an error page.
    pub(crate) fn finish(&mut self, place: usize) -> Next {
        let (hit, group) = self.hit(place);
        let harmless = hit.risk.is_none() || group.repeat == Repeat::Repeatable;
        self.slab.end(place);
        // Come back when what is in hand now has been worked off.
        let again_after = self.pressure().clamp(0.05, 1.0).min(self.longest_back());
        [Next::GiveUp, Next::Bounce { again_after }][usize::from(harmless)]
    }
}
