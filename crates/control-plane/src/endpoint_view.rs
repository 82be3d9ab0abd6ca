//! What a proxy knows of the endpoints: the leader's updates and the proxy's own readings of the platform's list, merged into one
//! view that only goes forward.
//!
//! Invariant: an endpoint that any update has shown draining is draining from then on, whatever a later update says. Ids are
//! never given twice, and an endpoint that is listed as draining ends; so an update that calls it ready is older than one seen
//! before, however late it arrives. Updates may therefore arrive in any order (the state of an endpoint is a join-semilattice, as
//! in state-based replicated data types).
//!
//! Additions and removals have no such order: an endpoint that is missing may be gone, or not yet there. The leader's updates
//! arrive in the order in which they were sent and are taken as they are. A reading of the proxy's own counts as a whole only if it
//! began after the leader's newest update had arrived; of an older one only the draining endpoints count. What only such a
//! reading has shown may be gone before the leader reads the list, and then the leader never names it: it is removed once the leader
//! has confirmed a later view without it.
//!
//! Freshness: the view knows a moment of the proxy's own clock as of which it is complete: every endpoint that the list showed
//! draining or gone by then is known to be. Clocks are never compared. The moment is the begin of a reading of its own, or what the
//! leader confirms: the proxy's report that had arrived before the leader began to read. The one exception heals with the leader's
//! next reading: an endpoint that vanished without draining comes back when a new session begins with an older list.

use crate::messages::{EndpointState, EndpointUpdate};
use crate::Micros;
use std::collections::HashMap;
use std::sync::Arc;

/// An endpoint that was seen draining is remembered for so long after it was named last. Whatever is older than that when it
/// arrives has been waiting for minutes; sessions and readings end within seconds.
const REMEMBERED_FOR: Micros = 600_000_000;

/// Where an update comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// The leader, in its session.
    Leader,
    /// A reading of the platform's list by the proxy itself.
    OwnReading {
        /// When it began.
        started_at: Micros,
    },
}

/// An update as it is to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedUpdate {
    /// What has changed; endpoints that are draining say so.
    pub update: EndpointUpdate,
    /// The endpoints that the update called ready although they are draining.
    pub reversals: Vec<Arc<str>>,
    /// Something newer was known: the update holds nothing but known endpoints that are draining, and says nothing of others.
    pub is_outdated: bool,
}

/// A proxy's view of the endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointView {
    /// The endpoints that were seen draining, and when they were named last.
    draining: HashMap<Arc<str>, Micros>,
    /// When the leader's newest update arrived.
    leader_update_at: Option<Micros>,
    as_of: Option<Micros>,
    /// Endpoints that only a reading of the proxy's own has shown, and when that began.
    own_additions: HashMap<Arc<str>, Micros>,
}

impl EndpointView {
    /// Takes in an update; `is_known` says whether an endpoint is in the view now. Returns what is to be applied.
    pub fn merge(
        &mut self,
        now: Micros,
        source: UpdateSource,
        mut update: EndpointUpdate,
        is_known: impl Fn(&str) -> bool,
    ) -> MergedUpdate {
        let reversals = self.keep_draining(now, &mut update);
        let is_outdated = self.is_outdated(source);
        match source {
            UpdateSource::Leader => self.on_leader_update(now, &update),
            UpdateSource::OwnReading { started_at } if !is_outdated => {
                self.on_newer_reading(started_at, &update, is_known);
            }
            UpdateSource::OwnReading { .. } => keep_departures(&mut update, is_known),
        }
        MergedUpdate {
            update,
            reversals,
            is_outdated,
        }
    }

    /// Takes note that the leader has sent everything that its reading of the list has shown, and began to read after `as_of`.
    /// Returns the endpoints that are gone by that.
    pub fn on_confirmed(&mut self, as_of: Micros) -> Vec<Arc<str>> {
        self.advance(as_of);
        let mut gone = Vec::new();
        self.own_additions.retain(|id, started_at| {
            let is_gone = *started_at < as_of;
            if is_gone {
                gone.push(id.clone());
            }
            !is_gone
        });
        gone
    }

    /// Returns the moment as of which the view is complete; none: it never was.
    pub fn as_of(&self) -> Option<Micros> {
        self.as_of
    }

    /// Returns how many endpoints are remembered as draining.
    pub fn remembered(&self) -> usize {
        self.draining.len()
    }

    fn advance(&mut self, as_of: Micros) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    fn on_leader_update(&mut self, now: Micros, update: &EndpointUpdate) {
        self.leader_update_at = Some(now);
        if update.is_full {
            self.own_additions.clear();
        }
        for (id, _) in &update.endpoints {
            self.own_additions.remove(id);
        }
    }

    fn on_newer_reading(
        &mut self,
        started_at: Micros,
        update: &EndpointUpdate,
        is_known: impl Fn(&str) -> bool,
    ) {
        self.advance(started_at);
        let ids = update.endpoints.iter().map(|(id, _)| id);
        for id in ids.filter(|id| !is_known(id)) {
            self.own_additions.insert(id.clone(), started_at);
        }
    }

    /// Whether something newer than an update from this source may be known.
    fn is_outdated(&self, source: UpdateSource) -> bool {
        match source {
            UpdateSource::Leader => false,
            UpdateSource::OwnReading { started_at } => {
                self.leader_update_at.is_some_and(|at| started_at <= at)
            }
        }
    }

    /// Remembers the endpoints that an update shows draining, and corrects those that it wrongly calls ready. Returns the latter.
    fn keep_draining(&mut self, now: Micros, update: &mut EndpointUpdate) -> Vec<Arc<str>> {
        self.draining
            .retain(|_, named_at| now < *named_at + REMEMBERED_FOR);
        let mut reversals = Vec::new();
        for (id, endpoint) in &mut update.endpoints {
            let Some(endpoint) = endpoint else {
                continue;
            };
            if endpoint.state == EndpointState::Draining {
                self.draining.insert(id.clone(), now);
            } else if let Some(named_at) = self.draining.get_mut(id) {
                *named_at = now;
                endpoint.state = EndpointState::Draining;
                reversals.push(id.clone());
            }
        }
        reversals
    }
}

/// Reduces an outdated reading to the endpoints that are in the view and draining: what else it shows may be gone by now.
fn keep_departures(update: &mut EndpointUpdate, is_known: impl Fn(&str) -> bool) {
    update.is_full = false;
    update.endpoints.retain(|(id, endpoint)| {
        let state = endpoint.as_ref().map(|endpoint| endpoint.state);
        state == Some(EndpointState::Draining) && is_known(id)
    });
}
