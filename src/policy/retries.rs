//! Mechanism 3: time-outs and further forwards, within a budget.

use super::*;

impl Balancer {
    /// The time-out: while a further forward is allowed and paid for, half of the time left to the target,
    /// but no less than a heavy hit takes (it would be as heavy again); else the client's own.
    pub(super) fn limit(&self, place: usize) -> f64 {
        let (hit, group) = self.hit(place);
        let (left, on_time) = ((hit.due - self.now).min(hit.bounds().1), hit.taken + group.target - self.now);
        let most = self.set("limits.max_attempts", 3.0).min(hit.bounds().0);
        let more = f64::from(hit.forwards) < most && self.retries >= 1.0;
        let half = (0.5 * on_time).max(5.0 * hit.work() * group.calm.mean().exp()).max(2.0 * self.pressure());
        let whole = group.repeat == Repeat::Mutating || !more || group.calm.z < 20.0 || half > 0.8 * on_time;
        half.min(left).max(if whole { left } else { 0.0 })
    }

    /// Whether a hit whose forward failed gets another: where nothing runs twice, in time and within the
    /// budget, of which quick failures cost half. Covers dead, silent and failing nodes; no jam.
    pub(crate) fn again(&mut self, place: usize, ending: Ending) -> bool {
        let (hit, group) = self.hit(place);
        let allowed = match (group.repeat, hit.risk) {
            (Repeat::Repeatable, _) | (_, None) => true,
            (Repeat::Tagged, Some((sent, ..))) => self.now < sent + group.window - 0.05, // the way there
            (Repeat::Mutating, Some(_)) => false,
        };
        let end = if group.late_share > 0.0 { hit.due } else { hit.due.min(hit.taken + group.target) };
        // A light hit needs a fifth of the mean time. Where most err again one in five is enough to see it.
        let part = if hit.erred.is_some() && self.echo > 0.5 { 0.2 } else { 1.0 };
        let useful = end - self.now > 0.2 * self.pressure();
        let again = allowed && useful && self.retries >= 1.0 && self.chance.comes(part);
        let paid = f64::from(again && ending != Ending::NoConnection);
        self.retries -= paid * [0.5, 1.0][usize::from(ending == Ending::NoAnswer)];
        again
    }
}
