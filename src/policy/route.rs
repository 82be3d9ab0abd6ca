//! A hit's way from its arrival: which build's arm it plays, by the design's index and within the told cap.

use super::*;

impl Balancer {
    /// Takes a hit: its handle, and what to do with it.
    pub fn take(&mut self, now: f64, arrival: Arrival) -> (HitHandle, Next) {
        let handle = self.admit(now, arrival);
        // One further forward for each ten hits, ten saved up: enough for a dead node, too few to feed a jam.
        self.retries = (self.retries + 0.1).min(10.0);
        // A bucket no deeper than the free count keeps the cap in every window. It fills no faster than the
        // trial's part of the power, as arms at unequal load can't be compared; two saved up crowd no node.
        let cap = self.news.map_or(0.0, |n| n.cap.clamp(0.0, 1.0));
        let share = if cap < 1.0 { self.share.0 } else { self.share.1 };
        let most = self.set("family_info.spare_tries", 0.0).min(2.0);
        self.tokens = (self.tokens + 0.999 * cap.min(share)).min(most);
        let held = arrival.key.and_then(|k| self.holding(k));
        let held = f64::from(held.is_some() && held == self.newest());
        self.held_share += 0.02 * (held - self.held_share); // the last fifty hits
        (handle, self.route(handle.place as usize))
    }

    /// How a build's nodes may be used.
    pub(crate) fn standing(&self, build: u32) -> Standing {
        match self.news {
            None if self.open().map(|l| l.build).min() == Some(build) => Standing::Open,
            Some(n) if build < n.build && !self.void.contains(&build) => Standing::Open,
            Some(n) if build == n.build && n.phase == Phase::Released => Standing::Open,
            Some(n) if build == n.build && n.cap > 0.0 && n.phase != Phase::Withdrawn => Standing::OnTrial,
            _ => Standing::Barred, // not yet announced, or sent back
        }
    }

    /// Chooses the arm by the design's index and the node by two choices.
    pub(crate) fn route(&mut self, place: usize) -> Next {
        let hit = self.slab.hits[place];
        let PathGroup { repeat, target, .. } = self.groups[hit.arrival.group];
        let most = self.set("limits.max_attempts", 3.0).max(1.0).min(hit.bounds().0);
        if f64::from(hit.forwards) >= most || hit.due - self.now < 0.001 {
            return self.finish(place); // within a millisecond nothing reaches a node and returns
        }
        let held = hit.arrival.key.and_then(|k| self.holding(k));
        let trial = self.news.filter(|n| matches!(n.phase, Phase::Trial | Phase::GoingBack));
        let first_open = self.set("family_info.closed_stages", 0.0);
        let allowed = trial.is_some_and(|n| repeat == Repeat::Repeatable || n.stage as f64 >= first_open);
        let open = allowed && self.tokens >= 1.0;
        if held.is_some() && held == trial.map(|n| n.build) {
            // One way: the key may go nowhere else. It waits a little for its turn, while in time.
            if let Some(node) = open.then(|| self.choose(place, Standing::OnTrial, 0)).flatten() {
                return self.send(place, node, true);
            }
            let wait = allowed && hit.risk.is_none() && self.now < hit.taken + 0.5 * target;
            return if wait { Next::Wait { pause: 0.01 } } else { self.finish(place) };
        }
        let earlier = self.choose(place, Standing::Open, held.unwrap_or(0));
        let first = hit.forwards == 0 && self.doubt.paused_at.is_none() && self.trial().is_some();
        // A stage without a cap is played as the release will be, while the earlier machines still stand.
        let whole = trial.is_some_and(|n| n.cap >= 1.0) && !self.duel.shuns_trial();
        if open && first && self.welcome(&hit) && (whole || self.duel.favours_trial()) {
            // Arms are compared at like load: a trial node busier than the alternative is no fair pull.
            let node = self.choose(place, Standing::OnTrial, 0);
            let most = if trial.is_some_and(|n| n.cap < 1.0) { 1.25 } else { 3.0 };
            if let Some(n) = node.filter(|n| earlier.is_none_or(|e| self.load(*n) <= most * self.load(e))) {
                return self.send(place, n, true);
            }
        }
        // Where the earlier build has no machine (left, or yet again), the trial takes what the cap allows.
        let last = if open && earlier.is_none() { self.choose(place, Standing::OnTrial, 0) } else { None };
        let Some(node) = earlier.or(last) else { return self.finish(place) };
        self.send(place, node, last.is_some())
    }

    /// Under one way a key that goes to the trial stays: rare keys go first, few enough for the cap.
    fn welcome(&self, hit: &Hit) -> bool {
        let cap = self.news.map_or(0.0, |n| n.cap);
        let bound = cap < 1.0 && self.one_way();
        let Some(key) = hit.arrival.key.filter(|_| bound) else { return true };
        let usual = (self.keyed_hits / self.keys.len().max(1) as f64).max(1.0);
        f64::from(self.keys[key].hits) <= usual && self.held_share < 0.7 * cap && self.tokens >= 1.5
    }

    fn send(&mut self, place: usize, node: usize, trial: bool) -> Next {
        // A bounce is paid for like a forward, or the trial would get its share of what is bounced, too.
        self.tokens -= f64::from(trial);
        let line = self.nodes[node].listed.filter(|_| !self.too_busy(place, node));
        let Some(line) = line else { return self.finish(place) };
        let (step, load, sent) = (self.step(node), self.load(node), self.now);
        // For the comparisons it is cold a span longer: what piled up has to go first.
        let cold = line.up_since > 0.0 && sent < line.up_since + self.set("obligations.cold_s", 0.0) + SPAN;
        self.case.iter_mut().filter(|_| trial).for_each(|c| c.trial_sent(sent));
        let first = self.slab.hits[place].forwards == 0;
        self.launch(place, Flying { node, build: line.build, sent, step, load, cold, first });
        Next::Forward { node, limit: self.limit(place) }
    }
}
