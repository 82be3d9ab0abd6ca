//! Calls that bring to the decisions, in order, what happens to a hit in hand, what other agents tell and
//! what operators change. Nothing is decided here.

use crate::interface::*;
use crate::state::{Balancer, Seen};
use magpieline_sequential_test::End;

impl HitHandle {
    /// Its forward has ended.
    pub fn returned(self, b: &mut Balancer, now: f64, end: Return) -> Next {
        b.at(now);
        let Some(place) = b.slab.find(self) else { return Next::Nothing };
        let hit = b.slab.hits[place];
        let Some(flying) = b.land(place, end.ending) else { return Next::Nothing };
        b.learn(&hit, &flying, &end);
        let erred = end.ending == Ending::Errored;
        if let Some(first) = b.slab.hits[place].accused.take() {
            b.witness(&hit, &first, [End::Erred, End::ErredAgain][usize::from(erred)], None);
        }
        let next = if end.over || end.ending == Ending::Delivered || !hit.owed {
            b.slab.end(place);
            Next::Nothing
        } else {
            let again = b.again(place, end.ending);
            [Balancer::finish, Balancer::route][usize::from(again)](b, place)
        };
        match next {
            Next::Forward { .. } if erred && flying.first => b.slab.hits[place].accused = Some(flying),
            _ if erred && flying.first => b.witness(&hit, &flying, End::Erred, None),
            _ => {}
        }
        next
    }

    /// The client has left: nothing is owed any more.
    pub fn left(self, b: &mut Balancer, now: f64) {
        b.at(now);
        if let Some(place) = b.slab.find(self).filter(|p| b.slab.hits[*p].owed) {
            b.slab.end(place);
        }
    }

    /// A wait that was asked for is over.
    pub fn resume(self, b: &mut Balancer, now: f64) -> Next {
        b.at(now);
        let waiting = b.slab.find(self).filter(|p| b.slab.hits[*p].flying.is_none());
        waiting.map_or(Next::Nothing, |place| b.route(place))
    }

    /// Whether anything is still to come for it.
    pub fn pending(self, b: &Balancer) -> bool {
        b.slab.find(self).is_some()
    }
}

impl Balancer {
    /// Takes settings while it runs: hits in hand go on and what was learnt stays. They have to fit
    /// ([`Balancer::fits`]); an error says what is expected, and nothing has changed.
    pub fn settle(&mut self, now: f64, named: Named) -> Result<(), String> {
        self.adopt(now, named)?;
        self.seat();
        Ok(())
    }

    /// Another agent tells of its outcomes, or a judge of all.
    pub fn told(&mut self, now: f64, from: usize, tidings: &Tidings) {
        self.at(now);
        if from as f64 >= self.agents() || from == self.pool.own {
            return;
        }
        if self.pool.judges() {
            let of = (tidings.start, tidings.build, tidings.stage);
            let groups = self.groups.len();
            for (node, group, totals) in tidings.totals.iter().filter(|t| t.1 < groups) {
                let place = node * groups + group;
                let new = self.pool.news(from, of, place, *totals);
                self.pool(*node, *group, &new, tidings);
            }
        } else if let Some(doubt) = tidings.doubt.filter(|_| self.pool.judges.contains(&from)) {
            (self.pool.heard_at, self.pool.doubt) = (self.now, doubt);
        }
    }

    /// Weighs what is new in another agent's totals as if the outcomes were this agent's.
    pub(crate) fn pool(&mut self, node: usize, group: usize, new: &Totals, of: &Tidings) {
        let Some(line) = self.nodes.get(node).and_then(|n| n.listed).filter(|_| group < self.groups.len())
        else {
            return;
        };
        let same = self.news.is_some_and(|n| (n.build, n.stage) == (of.build, of.stage));
        let slow = (new.slow / f64::from(new.times.max(1))).clamp(-2.5, 2.5);
        let slow = if slow.is_nan() { 0.0 } else { slow };
        self.pool.answers += f64::from(new.answers.min(100));
        for i in 0..new.answers.max(new.outcomes).max(new.times).min(100) {
            let fault = f64::from(i < new.faults);
            let (answered, pull) = (i < new.answers, Some(i < new.in_time).filter(|_| i < new.pulls && same));
            let slow = Some(slow).filter(|_| i < new.times);
            let seen = Seen {
                heard: answered,
                answered,
                outcome: i < new.outcomes && same,
                pull,
                fault,
                own_fault: fault,
                back: 0.0,
                slow,
            };
            self.weigh(node, group, line.build, &seen);
            if let Some(x) = slow {
                self.nodes[node].times.add(x);
                let on_trial = self.trial().is_some_and(|n| n.cap < 1.0 && line.build >= n.build);
                if of.informed && !on_trial {
                    self.lately.present.add(x);
                }
            }
        }
        self.nodes[node].told_at = self.now;
        (0..new.complaints.min(100)).for_each(|_| self.wrong(line.build, 1.0));
    }
}
