//! Mechanism 5. Earlier nodes (from the last stage on all) slower than before the trial: is it the build?
//! While in doubt votes wait, and the trial's traffic pauses in every other two seconds of the stage, at all
//! agents together. What goes in two pauses in a row came with that traffic; what stays goes back as well,
//! unless pooled: then the pauses tell. May hurt when another slowdown lasts as long.

use super::*;

const PAUSE: f64 = 2.0; // twice the span over which the present is seen

impl Balancer {
    /// Whether the slowdown is in doubt.
    pub(super) fn raised(&self) -> bool {
        self.doubt.paused_at.is_some() || self.doubt.slow_for >= 5 // half a second of it is no burst's edge
    }

    pub(super) fn compare(&mut self) {
        let present = self.lately.present;
        // A quarter slower, beyond a standard error; less where many agents have to say so.
        let slowed =
            present.z >= 5.0 && present.mean() > 0.25 + self.enough() / ENOUGH * present.error().sqrt();
        let slowed = if self.follows() { self.pool.doubt } else { slowed };
        let before = self.doubt.slow_for;
        self.doubt.slow_for = if slowed { before + 1 } else { before.saturating_sub(3) };
        let phase = (self.now - self.stage_began).rem_euclid(2.0 * PAUSE);
        let (trial, later) = (self.trial().is_some(), self.now + 2.0 * PAUSE);
        if !self.watched(WATCH) || (trial && self.share.0 < 0.1) {
            (self.doubt.paused_at, self.doubt.slow_for) = (None, 0); // a tenth can hardly slow the rest
            return;
        }
        if let Some(case) = &mut self.case {
            self.doubt.slow_for = self.doubt.slow_for.min(20); // what has ended is forgotten within a second
            self.doubt.until = if self.doubt.slow_for >= 5 { later } else { self.doubt.until };
            let rests = case.rest(self.now, trial && self.now < self.doubt.until);
            self.doubt.paused_at = rests.then_some(present.mean());
            return;
        }
        let ready = trial && phase < 2.0 * TICK && self.now >= self.doubt.not_before;
        match self.doubt.paused_at {
            None if ready && self.raised() => self.doubt.paused_at = Some(present.mean()),
            Some(level) if phase >= PAUSE => {
                self.doubt.paused_at = None;
                let gone = present.mean() < 0.5 * level;
                self.evidence.abated = if gone { self.evidence.abated + 1 } else { 0 };
                self.doubt.not_before = self.now + if gone { 0.0 } else { 3.0 * PAUSE };
            }
            None if self.doubt.slow_for == 0 && phase < TICK => self.evidence.abated = 0,
            _ => {}
        }
        // A doubt outlasts a round of pauses: in another agent's pause the slowdown goes for this one too.
        self.doubt.until = if self.raised() { later } else { self.doubt.until };
        let stays = self.doubt.slow_for as f64 * TICK / 15.0; // other slowdowns mostly pass sooner
        self.evidence.stays = if self.pool.judges.is_empty() { stays } else { 0.0 };
    }
}
