//! Mechanisms 1 and 2: which nodes are fit for a hit, and what one that has just started gets.

use super::*;

impl Balancer {
    /// Mechanism 1. Whether a node is fit for a hit. Covers silence, stalls, death, full tables, nodes bad
    /// for this agent alone. One out of favour is tried by one repeatable hit at a time, later by any. May hurt
    /// when all stall together; `choose` then takes unfit ones for what may run again.
    pub(super) fn fit(&self, node: usize, repeat: Repeat) -> bool {
        let n = &self.nodes[node];
        // Three mean times without any answer while some are owed; a stall below 0.1 s is no matter.
        let silent = n.flying > 0 && self.now - n.owes_since > (3.0 * self.pressure()).clamp(0.1, 2.0);
        let due = n.shunned_until + 1.5 * 2f64.powi(n.strikes); // six times as long as it was left out
        let tried = n.strikes == 0 || (n.flying == 0 && (repeat == Repeat::Repeatable || self.now >= due));
        self.now >= n.shunned_until && !silent && tried
    }

    /// Mechanism 2. Whether a cold node's allowance lets it take a hit. It fills with this agent's rate by
    /// size and warmth: all agents together send it its part. Covers crashes, restarts, new stages.
    pub(super) fn ramp(&mut self, node: usize, total: f64) -> bool {
        let Some(line) = self.nodes[node].listed else { return false };
        let warmth = self.warmth(&line);
        let sent = self.lately.done.max(0.25 * self.lately.taken) / SPAN;
        let part = 0.6 * self.set("obligations.fall_multiple", 2.5); // random draws leave some of it unused
        let rate = part * warmth * sent * line.rating.max(0.1) / total;
        let n = &mut self.nodes[node];
        n.ramp = (n.ramp + rate * (self.now - n.ramp_at)).min(1.0 + 0.2 * rate); // saves a fifth of a second
        n.ramp_at = self.now;
        warmth >= 1.0 || n.ramp >= 1.0
    }

    /// What a forward's end says of its node, and how much of a fault is the node's own.
    pub(super) fn strike(&mut self, hit: &Hit, flying: &Flying, ending: Ending) -> f64 {
        let (now, again) = (self.now, f64::from(hit.erred.is_some() && ending.answered()));
        let (jitter, quick) = (self.chance.within(0.8, 1.2), (0.5 * self.pressure()).clamp(0.02, 0.2));
        // Hits that err wherever they are sent are no build's fault. The second forwards of those that erred
        // tell how much of the errors is theirs; half is enough to acquit.
        let fault = f64::from(ending != Ending::Delivered);
        self.echo += 0.3 * again * (fault - self.echo);
        // Of the last fifty forwards to others and to nodes that had answered lately, where breaks tell how
        // long idle connections last. One break after an answer is no death.
        let n = &mut self.nodes[flying.node];
        let (met, broke) = (flying.sent < n.open_until, ending == Ending::Broken);
        let (lost, once) = (broke || ending == Ending::NoConnection, broke && n.open_until > 0.0);
        let share = &mut self.lost[usize::from(met)];
        *share += 0.02 * (f64::from(lost) - *share);
        self.idle = self.idle.min(if broke && met { flying.sent - n.met_at } else { self.idle }).max(0.2);
        (n.open_until, n.met_at) = if lost { (0.0, n.met_at) } else { (now + self.idle, now) };
        let silent = ending == Ending::NoAnswer && n.owes_since <= flying.sent;
        if ending.heard() {
            (n.owes_since, n.strikes, n.shunned_until) = (now, n.strikes / 2, 0.0);
        } else if ending == Ending::TurnedAway {
            n.shunned_until = now + quick; // its queue is full: until about half of it is done
        } else if silent || (lost && !once) {
            // Left out for 0.5 s, doubling to 4 s: long enough to spare hits, short enough to see it return.
            n.shunned_until = now + 0.5 * 2f64.powi(n.strikes.min(3)) * jitter;
            n.strikes = (n.strikes + 1).min(4);
        }
        fault * (1.0 - 2.0 * self.echo).max(0.0)
    }
}
