//! Reviews of releases: looks that are recorded, and votes that are cast.

use super::{time, Desk, Exchange, Looked, RECORD_EVERY};
use crate::guard::guarded;
use magpieline::interface::*;
use std::convert::Infallible;
use std::rc::Rc;

impl Exchange {
    // The timers.

    /// Reviews when the decisions ask for it, for as long as the program runs. Votes go to the desk.
    pub async fn review(self: Rc<Self>, desk: Rc<dyn Desk>) -> Infallible {
        let mut recorded = f64::NEG_INFINITY;
        loop {
            let now = self.clock.now();
            let (review, against) = {
                let balancer = &mut self.state.borrow_mut().balancer;
                let review = balancer.review(now);
                (
                    review,
                    review.vote.map(|_| balancer.against()).unwrap_or_default(),
                )
            };
            if review.vote.is_some() || now >= recorded + RECORD_EVERY {
                recorded = now;
                self.record(now, review.vote);
            }
            if review.follow {
                self.follow.give();
            }
            if let Some(vote) = review.vote {
                tokio::task::spawn_local(self.clone().cast(desk.clone(), vote, against));
            }
            tokio::time::sleep(time(review.again_in)).await;
        }
    }

    /// Keeps a look at the present release, with all that it rests on.
    pub(super) fn record(&self, at: f64, vote: Option<Vote>) {
        let state = self.state.borrow();
        let looks = self.looks.borrow();
        let parts = looks.as_ref().zip(state.balancer.look()).zip(state.news);
        let Some(((keep, look), (build, stage, phase))) = parts else {
            return;
        };
        let (vote, phase) = (
            vote.map(|v| format!("{:?}", v.verdict)),
            format!("{phase:?}"),
        );
        let entries = state.balancer.account();
        let named = |node: usize| Some((node, state.nodes.uid(node)?.to_owned()));
        let nodes = entries.iter().filter_map(|e| named(e.without?)).collect();
        let groups = self.group_names();
        keep(&Looked {
            at,
            build,
            stage,
            phase,
            vote,
            look,
            entries,
            groups,
            nodes,
        });
    }

    pub(super) async fn cast(self: Rc<Self>, desk: Rc<dyn Desk>, vote: Vote, against: String) {
        let cast = guarded("vote", desk.cast(vote)).await;
        let (receipt, news) = cast.unwrap_or((Receipt::Unknown, None));
        let Vote {
            verdict,
            build,
            stage,
        } = vote;
        log::info!(
            "vote: {verdict:?} on build {build} stage {stage}: {receipt:?} (against it: {against})"
        );
        self.state
            .borrow_mut()
            .balancer
            .vote_received(self.clock.now(), receipt);
        if let Some(news) = news {
            self.heard(news);
        }
    }
}
