//! What a forward's end teaches: its node's health, the arms' payoffs, the evidence against a build.

use super::*;

impl Balancer {
    pub(crate) fn learn(&mut self, hit: &Hit, flying: &Flying, end: &Return) {
        let (served, silent) = (end.ending == Ending::Delivered, end.ending == Ending::NoAnswer);
        // Cut off by the operators' bound before a silent node would show: it tells nothing.
        if silent && hit.bounds().1 < (3.0 * self.pressure()).clamp(0.1, 2.0) {
            return;
        }
        let (group, answered, heard) = (hit.arrival.group, end.ending.answered(), end.ending.heard());
        // Reviews come every tick: after a gap this agent itself stood still, what it finds tells nothing.
        let ailing = self.ailing(hit) || self.gap > 3.0 * TICK;
        let timed = (served || silent) && !ailing;
        self.tardy(hit, end);
        self.lately.done += 1.0;
        let slow = if timed { self.time(hit, flying, end) } else { None };
        if end.ending != Ending::Errored {
            self.witness(hit, flying, [End::Unheard, End::Passed][usize::from(served)], slow);
        }
        let (fault, own_fault) = (f64::from(!served), self.strike(hit, flying, end.ending));
        let outcome = flying.first && (answered || timed) && flying.sent >= self.stage_began;
        // A cold node shows its age, a slowdown of all its own cause: such a pull is an outcome only.
        let fair = !flying.cold && !ailing && own_fault >= 0.5 * fault && self.doubt.slow_for == 0;
        // A hit that errs twice takes back what it said of the build.
        let back = if hit.erred.is_some() && hit.erred == self.newest() { fault } else { 0.0 };
        let in_time = served && end.spent <= self.groups[group].target;
        let pull = Some(in_time).filter(|_| outcome && fair && self.trial().is_some());
        let seen = Seen { heard, answered, outcome, pull, fault, own_fault, back, slow };
        self.weigh(flying.node, group, flying.build, &seen);
        self.pool.note(flying.node * self.groups.len() + group, &seen);
    }

    /// Weighs an outcome, this agent's or another's: the node's health, the arms' payoffs, the evidence.
    pub(crate) fn weigh(&mut self, node: usize, group: usize, build: u32, seen: &Seen) {
        let Seen { heard, answered, outcome, pull, fault, own_fault, back, slow } = *seen;
        // A node that errs again and again speaks for itself, unless a third of its build's others err too.
        let power = if fault == 0.0 || self.erring(node, 0.02) > 0.33 { 0 } else { 4 };
        let n = &mut self.nodes[node];
        // An eighth of each answer: ten times slower shows within three, chance hardly does.
        n.slow = (n.slow + 0.125 * (slow.unwrap_or(n.slow) - n.slow)).clamp(-0.7, 2.5);
        let said = (1.0 - n.faults).powi(power);
        n.faults += if heard { 0.25 * (own_fault - n.faults) } else { 0.0 }; // two in a row show
        let Some(news) = self.news.filter(|n| build <= n.build) else { return };
        let arm = if build == news.build { TRIAL } else { EARLIER };
        if outcome && news.phase == Phase::Trial {
            self.duel.outcome(arm);
            if let Some(in_time) = pull {
                self.duel.add(arm, group, f64::from(in_time));
                self.duel.judge();
                // Where rates are stated a trial does not go by this alone: its horizon starts anew.
                let early = self.case.is_some() && self.look.is_none_or(|l| l.opinion != Opinion::Back);
                if early && self.duel.dropped == Some(TRIAL) {
                    self.duel.restart();
                }
            }
        }
        if !answered {
            return;
        }
        // Usual is what erred more, the last fifty or five hundred answers; at the start one in ten. One in
        // twenty is bad where others hardly fail.
        let usual = (1.5 * self.usual_faults.max(self.long_faults.mean())).clamp(0.005, 0.2);
        let bad = (4.0 * usual).max(0.05);
        // Sick nodes are met in both builds: to a judge errors speak in so far as more of the trial's err.
        let more = if fault > 0.0 && self.pool.judges() { self.erring_more(news.build) } else { 1.0 };
        let (faults, passes) = if arm == TRIAL { (more * said * own_fault, 1.0 - fault) } else { (0.0, 0.0) };
        for score in [group, self.groups.len()] {
            Evidence::lean(&mut self.evidence.faults[score], faults - back, passes, usual, bad);
        }
        if arm == EARLIER {
            self.usual_faults += 0.02 * (said * fault - self.usual_faults);
            self.long_faults.follow(0.998, said * fault);
        }
        self.wrong(build, 0.0);
    }

    /// The logarithm of a warm node's time, at least, over that of calm seconds at equal load.
    fn time(&mut self, hit: &Hit, flying: &Flying, end: &Return) -> Option<f64> {
        self.expect(flying, end.spent);
        // In a stage without a cap the trial's nodes are the present, as after the release.
        let on_trial = self.trial().is_some_and(|n| n.cap < 1.0 && flying.build >= n.build);
        let calm_now = !self.watched(WATCH);
        let learn = end.ending == Ending::Delivered && !flying.cold && !on_trial;
        let past = |calm: &mut Count, ln: f64| {
            if learn && (calm_now || calm.z < 15.0) {
                calm.add(ln);
            }
            Some((ln - calm.mean()).clamp(-2.5, 2.5)).filter(|_| calm.z >= 5.0)
        };
        // By group and, apart from that, by load: cells of both would be empty where hits are few.
        let ln = hit.pace(end.spent)?;
        let (calm, step) = (&mut self.groups[hit.arrival.group].calm, &mut self.steps[flying.step]);
        past(step, ln - calm.mean());
        let warm = past(calm, ln - step.mean()).filter(|_| !flying.cold)?;
        self.nodes[flying.node].times.add(warm);
        if !on_trial {
            self.lately.present.add(warm);
            let earlier = self.news.is_some_and(|n| flying.build < n.build);
            let plain = ln - self.groups[hit.arrival.group].calm.mean();
            self.case.iter_mut().filter(|_| earlier).for_each(|c| c.earlier_time(flying.sent, plain, warm));
        }
        Some(warm)
    }
}
