//! The table of routes: by host, then the longest prefix that begins the path.

use crate::Micros;
use std::collections::HashMap;
use std::sync::Arc;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// It may be retried (`safe`).
    Idempotent,
    /// It runs at most once for each try of a client (`unsafe`).
    NonIdempotent,
}

/// A service, and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The service's name.
    pub service: Arc<str>,
    /// Its weight among the route's destinations.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// An answer within this time earns its full worth.
    pub latency_target: Micros,
    /// Its rank; 0 is highest.
    pub precedence: u32,
    /// What its paths begin with.
    pub prefix: String,
    /// Where its requests go; weights above 0 only.
    pub destinations: Vec<Destination>,
    /// The longest time that a request may be kept (`give_up`).
    pub timeout: Micros,
    /// The largest number of endpoints that one try of a client may be sent to (`tries`); at least 1.
    pub max_attempts: u32,
}

impl Route {
    /// Returns the destination that a draw from [0, 1) falls on.
    pub fn destination(&self, draw: f64) -> &Destination {
        let total: f64 = self
            .destinations
            .iter()
            .map(|destination| destination.weight)
            .sum();
        let mut left = draw.clamp(0.0, 1.0) * total;
        for destination in &self.destinations {
            left -= destination.weight;
            if left < 0.0 {
                return destination;
            }
        }
        &self.destinations[self.destinations.len() - 1] // a draw of all but 1, by rounding
    }
}

/// All routes, to be looked up in a number of steps that grows with the depth of a path only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Adds a route; of two with the same host and prefix the first holds.
    pub(crate) fn add(&mut self, host: &str, route: Arc<Route>) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        routes.entry(route.prefix.clone()).or_insert(route);
    }

    /// Finds the route of a request. `host` is as in its header, and a port is ignored; `path` is without the query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = without_port(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        // Prefixes end with a slash, so each slash of the path is a candidate, the last one first.
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns how many routes there are.
    pub fn count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns all routes with their hosts, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<Route>)> {
        self.hosts
            .iter()
            .flat_map(|(host, routes)| routes.values().map(move |route| (host.as_str(), route)))
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
