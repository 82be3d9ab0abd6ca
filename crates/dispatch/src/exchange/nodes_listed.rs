//! What is heard of nodes: the list, news, complaints.

use super::{Entry, Exchange, COMPLAIN_EVERY};
use magpieline::interface::*;
use std::time::Instant;

impl Exchange {
    // The servers' side.

    /// Takes the list in: all of it or changes.
    pub fn listed(&self, whole: bool, fresh: bool, lines: Vec<Entry>) {
        let state = &mut *self.state.borrow_mut();
        let mut listed = Vec::with_capacity(lines.len());
        for line in lines {
            let node = state.nodes.index(&line.uid);
            listed.push(Listed {
                node,
                ..line.listed
            });
            let process = (
                line.listed.build,
                line.listed.up_since,
                line.address,
                line.listed.speaks,
            );
            if line.gone {
                state.nodes.set(node, None); // its idle connections close
            } else if state.nodes.is_new(node, process) {
                let way = (self.ways)(line.address, line.listed.speaks)
                    .map_err(|e| log::warn!("node {}: {e}", line.uid));
                state.nodes.set(node, way.ok());
            }
        }
        if whole {
            let absent = |place: &usize| !listed.iter().any(|l| l.node == *place);
            state
                .nodes
                .reaches()
                .enumerate()
                .filter(|(i, _)| absent(i))
                .for_each(|(_, reach)| *reach = None);
        }
        // An old list without nodes is as good as none.
        state.listed |= fresh || !listed.is_empty();
        state
            .balancer
            .listed(self.clock.now(), whole, fresh, &listed);
    }

    /// A reading of the platform's list has failed.
    pub fn list_failed(&self) {
        self.follow.take_back();
        self.state
            .borrow_mut()
            .balancer
            .list_failed(self.clock.now());
    }

    /// The platform has said where the release stands.
    pub fn heard(&self, news: News) {
        let state = &mut *self.state.borrow_mut();
        let stands = (news.build, news.stage, news.phase);
        if state.news.replace(stands) != Some(stands) {
            log::info!(
                "news: build {} stage {} {:?}, cap {}",
                news.build,
                news.stage,
                news.phase,
                news.cap
            );
        }
        state.balancer.heard(self.clock.now(), news);
    }

    /// The platform's count of a build's forwards in a path group; one that is not known here says nothing.
    pub fn tallied(&self, group: &str, tally: Tally) {
        if self.group(group).is_some() {
            self.state
                .borrow_mut()
                .balancer
                .tallied(self.clock.now(), tally);
        }
    }

    /// A client has found an answer of this node wrong.
    pub fn complained(&self, uid: &str) {
        let state = &mut *self.state.borrow_mut();
        if let Some(node) = state.nodes.known(uid) {
            state.balancer.complained(self.clock.now(), node);
        }
    }

    /// Logs what went wrong, once in a while for each kind.
    pub fn complain(&self, kind: &'static str, what: &str) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        match state.complaints.get_mut(kind) {
            Some((since, count)) if now - *since < COMPLAIN_EVERY => *count += 1,
            known => {
                let more = known.map_or(0, |(_, count)| *count);
                log::warn!("{kind}: {what} ({more} more since the last such line)");
                state.complaints.insert(kind, (now, 0));
            }
        }
    }

    /// Closes all connections to nodes that carry nothing: descriptors run short.
    pub fn drop_idle(&self) {
        let state = &mut *self.state.borrow_mut();
        state.nodes.anew(&self.ways);
    }
}
