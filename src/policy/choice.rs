//! Which node of a build a hit goes to: two random choices by fewer in flight, among the fit ones.

use super::*;

impl Balancer {
    /// Hits in hand for its power: what two choices are compared by.
    pub(super) fn load(&self, node: usize) -> f64 {
        self.nodes[node].held() / self.power(node) + 1.0
    }

    /// Chooses among the nodes of a standing that the hit may go to: fit ones of the newest build first, then
    /// of any, then unfit ones (never for mutating).
    pub(super) fn choose(&mut self, place: usize, standing: Standing, least_build: u32) -> Option<usize> {
        let hit = self.slab.hits[place];
        let PathGroup { repeat, scope, .. } = self.groups[hit.arrival.group];
        let (mut sides, mut newest) = ([0.0; 2], 0);
        for l in self.open().filter(|l| self.standing(l.build) != Standing::Barred) {
            sides[usize::from(self.newest() == Some(l.build))] += l.rating.max(0.1);
            newest = if self.standing(l.build) == standing { l.build.max(newest) } else { newest };
        }
        // One build's machines are meant to carry all traffic: the larger side is the fleet.
        let total = sides[EARLIER].max(sides[TRIAL]);
        // The trial's bucket fills by the power of its cold nodes. An agent that meets a node less than once
        // while it is cold goes by that alone: a ramp beside it would dam hits up until it ends.
        let met = self.lately.taken / SPAN * self.set("obligations.cold_s", 0.0);
        let paid = standing == Standing::OnTrial && met < self.open().count() as f64;
        let (mut fit, mut pick) = (std::mem::take(&mut self.fit), None);
        for (any_build, unfit) in [(false, false), (true, false), (true, true)] {
            fit.clear();
            for i in 0..self.nodes.len() {
                let Some(line) = self.nodes[i].listed.filter(|l| l.open) else { continue };
                let able = if unfit { repeat != Repeat::Mutating } else { self.fit(i, repeat) };
                let wanted = self.standing(line.build) == standing && line.build >= least_build;
                let due = wanted && (any_build || line.build == newest) && able;
                if due && hit.may_go(repeat, scope, &line) && (paid || self.ramp(i, total)) {
                    fit.push(i);
                }
            }
            pick = self.two(&fit);
            let Some(any) = pick else { continue };
            // Where others fail more, one that answered lately unless it is twice as loaded.
            if self.lost[0] > 0.05 && self.lost[0] > 2.0 * self.lost[1] {
                fit.retain(|i| self.now < self.nodes[*i].open_until);
                pick = self.two(&fit).filter(|i| self.load(*i) <= 2.0 * self.load(any)).or(pick);
            }
            break;
        }
        self.fit = fit;
        pick
    }

    /// Draws are by power, since where an agent sees little of nodes' loads both are often even.
    pub(super) fn two(&mut self, fit: &[usize]) -> Option<usize> {
        // Where crossing zones has a price a far node must be half as loaded, less so if near ones take long
        // (by own times: by shared ones all agents would leave and return together). Where the own zone has
        // less than its part of the power, and for one hit in five, all are alike, or it gets too crowded.
        let [near, far] = self.lately.sides;
        let price = self.set("costs.cross_zone", 0.0) * (far.mean() / near.mean().max(1e-6)).clamp(0.0, 1.0);
        let part = (10.0 * price).clamp(0.0, 0.8) * self.near_part(fit).clamp(0.0, 1.0);
        let local = part > 0.0 && self.chance.comes(part);
        let [first, second] = self.draw(fit, [false, local])?;
        // An erring node answers fast: its empty hands must not draw hits.
        let far = |i: usize| if local && !self.is_near(i) { 1.0 + 12.5 * price } else { 1.0 };
        let load = |i: usize| self.load(i) * far(i) / (1.0 - self.nodes[i].faults).max(0.1);
        Some(if load(second) < load(first) { second } else { first })
    }
}
