//! The leader's copy of the platform's list of endpoints, and what proxies are sent of it.
//!
//! Proxies are sent the list in full when their session opens, and the difference between two readings after that. The copy
//! belongs to one leadership: what another leader has sent since is not known here.

use crate::messages::{Endpoint, EndpointUpdate};
use crate::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// All endpoints by id.
pub type EndpointMap = BTreeMap<Arc<str>, Endpoint>;

/// The list as it was read at one moment.
struct Snapshot {
    read_at: Micros,
    endpoints: EndpointMap,
}

/// The leader's copy of the list.
#[derive(Default)]
pub struct EndpointList(Option<Snapshot>);

/// A service that was seen with endpoints of one version alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstVersion {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
}

impl EndpointList {
    /// Forgets the list, as another leadership begins.
    pub fn clear(&mut self) {
        self.0 = None;
    }

    /// Returns how many endpoints there are; none: the list was not read yet.
    pub fn count(&self) -> Option<usize> {
        self.0.as_ref().map(|snapshot| snapshot.endpoints.len())
    }

    /// Returns when the list was read; none: it was not.
    pub fn read_at(&self) -> Option<Micros> {
        self.0.as_ref().map(|snapshot| snapshot.read_at)
    }

    /// Returns the endpoints as last read, each with when it will have warmed up; none where that was more than `max_age` ago:
    /// nothing is to be decided by a view of the past.
    pub fn recent(
        &self,
        now: Micros,
        max_age: Micros,
    ) -> Option<impl Iterator<Item = (&Endpoint, Micros)>> {
        let is_recent = |snapshot: &&Snapshot| now <= snapshot.read_at + max_age;
        let snapshot = self.0.as_ref().filter(is_recent)?;
        let endpoints = snapshot.endpoints.values();
        Some(endpoints.map(|endpoint| (endpoint, snapshot.read_at + endpoint.warmup_left)))
    }

    /// Takes over a list that was read just now. Returns what proxies with a session are to be sent, if anything has changed.
    pub fn replace(&mut self, now: Micros, endpoints: EndpointMap) -> Option<EndpointUpdate> {
        let update = match &self.0 {
            None => EndpointUpdate {
                is_full: true,
                endpoints: endpoints
                    .iter()
                    .map(|(id, endpoint)| (id.clone(), Some(endpoint.clone())))
                    .collect(),
            },
            Some(known) => EndpointUpdate {
                is_full: false,
                endpoints: changes_between(&known.endpoints, &endpoints),
            },
        };
        self.0 = Some(Snapshot {
            read_at: now,
            endpoints,
        });
        (update.is_full || !update.endpoints.is_empty()).then_some(update)
    }

    /// Returns all endpoints as last read, for a proxy whose session opens; none: the list was not read yet.
    pub fn full_update(&self, now: Micros) -> Option<EndpointUpdate> {
        let snapshot = self.0.as_ref()?;
        let age = now.saturating_sub(snapshot.read_at);
        let aged = |(id, endpoint): (&Arc<str>, &Endpoint)| {
            let warmup_left = endpoint.warmup_left.saturating_sub(age);
            let endpoint = Endpoint {
                warmup_left,
                ..endpoint.clone()
            };
            (id.clone(), Some(endpoint))
        };
        Some(EndpointUpdate {
            is_full: true,
            endpoints: snapshot.endpoints.iter().map(aged).collect(),
        })
    }

    /// Returns the services that are seen with one version alone and whose version is not known yet.
    pub fn first_versions(&self, is_known: impl Fn(&str) -> bool) -> Vec<FirstVersion> {
        let mut versions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let endpoints = self.0.iter();
        for endpoint in endpoints.flat_map(|snapshot| snapshot.endpoints.values()) {
            let seen = versions.entry(&endpoint.service).or_default();
            if !seen.contains(&&*endpoint.version) {
                seen.push(&endpoint.version);
            }
        }
        let only_version = |(service, seen): (&str, Vec<&str>)| match seen[..] {
            [version] if !is_known(service) => Some(FirstVersion {
                service: service.to_owned(),
                version: version.to_owned(),
            }),
            _ => None,
        };
        versions.into_iter().filter_map(only_version).collect()
    }
}

/// Returns the endpoints that are new or have changed, then those that are gone.
fn changes_between(old: &EndpointMap, new: &EndpointMap) -> Vec<(Arc<str>, Option<Endpoint>)> {
    let is_known = |id: &Arc<str>, endpoint| old.get(id).is_some_and(|old| is_same(old, endpoint));
    let changed = new.iter().filter(|(id, endpoint)| !is_known(id, endpoint));
    let changed = changed.map(|(id, endpoint)| (id.clone(), Some(endpoint.clone())));
    let gone = old
        .keys()
        .filter(|id| !new.contains_key(*id))
        .map(|id| (id.clone(), None));
    changed.chain(gone).collect()
}

/// Whether two entries say the same; the time that is left to warm up passes by itself.
fn is_same(old: &Endpoint, new: &Endpoint) -> bool {
    *old == Endpoint {
        warmup_left: old.warmup_left,
        ..new.clone()
    }
}
