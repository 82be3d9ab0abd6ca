//! Every decision of magpieline. A front makes one [`Balancer`] for each agent, tells it the list and the
//! news, and calls [`Balancer::review`] when that says so. [`Balancer::take`] turns a hit into a handle; what
//! happens to it later is a call on that, which returns what to do [`Next`]. Plain data: `src/state.rs`.
//! The ordinary path is the paper's EUCBV on two arms, the earlier and the trial build ([`Duel`]): the larger
//! index takes a first forward while the cap allows, eliminations vote. Six mechanisms stand beside it.

mod choice; // which node: two random choices
mod compare; // mechanism 5, the present against the seconds before the trial, with pauses that tell the cause
mod duel; // the paper's rule
mod evidence; // mechanism 6, what speaks against a build beyond the payoffs
mod health; // mechanisms 1, nodes left out or taken less, and 2, a growing share for those just started
mod judges; // where agents may talk: who judges for all, and what is told
mod learn; // what a forward's end says of nodes, arms and builds
mod news; // what the list, the platform and the clients tell
mod overload; // mechanism 4, early bounces by benefit and time left
mod retries; // mechanism 3, time-outs and further forwards within a budget
mod route; // a hit's way from its arrival; which arm it plays
mod votes; // how far a release goes

#[cfg(test)]
mod tests;

use crate::arms::*;
use crate::interface::*;
use crate::state::*;
use magpieline_sequential_test::{Case, End, Opinion};

/// Rates are means over a span, reviews come every tick: a few times faster than stages and bursts.
const SPAN: f64 = 1.0;
const TICK: f64 = 0.1;
/// What an agent needs against a build if it is alone: a log likelihood ratio.
const ENOUGH: f64 = 6.0;
/// A released build is compared with the seconds before its trial for twice the time that condemns it.
const WATCH: f64 = 30.0;
/// Judges speak once a second, agents tell them twice as often: a stage lasts a few.
const WORD: f64 = 1.0;
/// Complaints per answer: usual until more is known, and the least wrong share that is held to be bad.
const WRONG: (f64, f64) = (0.003, 0.03);

impl Balancer {
    /// Starts with nothing but the settings; an error says what is expected of them. `zone` is its own.
    pub fn start(seed: u64, now: f64, zone: Option<usize>, named: Named) -> Result<Balancer, String> {
        let mut b = Balancer::begin(seed, now, zone, named)?;
        b.seat();
        (b.duel, b.long_faults) = (Duel::new(b.groups.len(), 0.0), Count { z: 2.0, sum: 0.2, squares: 0.2 });
        b.wrong = Count { z: 1000.0, sum: 1000.0 * WRONG.0, squares: 0.0 };
        (b.retries, b.idle) = (3.0, b.set("limits.conn_idle_s", 10.0));
        Ok(b)
    }

    /// Ages what was counted, compares, votes. To be called when the last review asked for it.
    pub fn review(&mut self, now: f64) -> Review {
        self.at(now);
        let keep = (-TICK / SPAN).exp();
        let reach = if self.lately.present.z > 20.0 { keep } else { keep.powf(0.33) }; // longer where few
        self.lately.fade(keep, reach);
        self.pool.answers *= keep;
        // Without answers old times say less and less. Others are taken to hold as much as this agent.
        self.lately.spent *= if self.lately.done < 0.1 { keep.powf(0.2) } else { 1.0 };
        let usual = (self.agents() - 1.0).max(0.0) * f64::from(self.flying) / self.nodes.len().max(1) as f64;
        for n in &mut self.nodes {
            n.others += (1.0 - keep) * (usual * n.size() - n.others);
            n.slow *= 1.0 - 0.1 * (1.0 - keep);
        }
        // The seconds before the trial are the last ten or so; what speaks against a build fades as fast.
        self.fade_calm(if self.watched(WATCH) { 1.0 } else { keep.powf(0.1) });
        self.evidence.fade(keep.powf(0.1));
        self.tallies.fade(keep.powf(0.33), keep.powf(0.1)); // three of their periods, and as evidence
        self.share = self.trial_share();
        self.idle = (1.01 * self.idle).min(self.set("limits.conn_idle_s", 10.0)); // twice in seven seconds
        self.compare();
        self.look = self.case.as_mut().map(|case| case.look(self.now));
        let slower = self.trial().map_or(self.evidence.slower, |n| self.slower(n.build));
        self.evidence.slower = if self.blind() { 0.0 } else { slower };
        let follow = !self.following.on && self.now >= self.following.ask_at;
        self.following.ask_at = if follow { self.now + 5.0 } else { self.following.ask_at }; // or asks again
        Review { vote: self.ballot(), follow, again_in: TICK }
    }
}
