//! Mechanism 6: what speaks against a build beyond its payoffs. Covers builds that fail outright, in one path
//! group, late or when busy, and wrong answers. May hurt where something fails only for nodes that are new.
//! Where rates are stated the package `verdict` holds it instead, with mechanism 5's pauses on its coin.

use super::*;

impl Evidence {
    /// The strongest of all, 1 being enough to send the build back; of its errors the part `own` is its own.
    pub(crate) fn weight(&self, enough: f64, own: f64) -> f64 {
        let scores = self.faults.iter().fold(self.complaints, |a, b| a.max(own * *b));
        // A slowdown may go by chance in one pause, hardly in two in a row.
        (scores / enough).max(self.slower).max(self.stays).max(if self.abated >= 2 { 1.0 } else { 0.0 })
    }
}

impl Balancer {
    /// The evidence that one agent needs: three errors among thirty answers where its vote is enough. Where k
    /// of n must say so, wrong votes by chance get there once in e^6 times if E = ln(n / k) + 1 + 6 / k, by
    /// the bound on a Poisson count's tail. Hurts where one cause meets all agents.
    pub(super) fn enough(&self) -> f64 {
        let needed = self.set("family_info.noes_needed", 1.0).max(1.0);
        ((self.agents() / needed).max(1.0).ln() + 1.0 + ENOUGH / needed).min(ENOUGH)
    }

    /// An answer was found wrong, or just given. Usual is what the earlier builds' answers get.
    pub(crate) fn wrong(&mut self, build: u32, found: f64) {
        if self.newest() == Some(build) {
            let usual = self.wrong.mean();
            let bad = usual + WRONG.1 * self.set("family_info.complaint_share", 1.0);
            Evidence::lean(&mut self.evidence.complaints, found, 1.0 - found, usual, bad);
        } else {
            self.wrong.follow(0.9998, found); // of five thousand answers, as complaints are few
        }
    }

    /// More work: how far the trial's nodes are slower than the others at equal load. Nodes are compared, not
    /// answers: one slow or backed-up node is no build.
    pub(super) fn slower(&self, build: u32) -> f64 {
        // A good build may be a fifth slower, and where keys are remembered its new nodes know none yet.
        let margin = if self.flag("family_info.warm_keys") { 0.6 } else { 0.3 };
        let ([earlier, trial], noise, beyond) = self.sides(build, 0.2, margin); // kin: a tenth or so apart
        if earlier.z < 3.0 || trial.z < 3.0 || beyond < 0.7 * trial.z {
            return 0.0; // a build is slow on all its nodes, with some room for chance
        }
        // Four standard errors of like nodes convince, fewer where many agents have to say so.
        let like = earlier.variance();
        let error = (like / earlier.z + like.max(noise / trial.z) / trial.z).sqrt().max(0.05);
        (trial.mean() - earlier.mean() - margin) / error / (4.0 * (self.enough() / ENOUGH).sqrt())
    }

    /// In a stage without a cap the trial is the busier one, which agents that meet few hits can't see: times
    /// of nodes and payoffs say nothing then where they are pooled.
    pub(super) fn blind(&self) -> bool {
        !self.pool.judges.is_empty() && self.trial().is_some_and(|n| n.cap >= 1.0)
    }
}
