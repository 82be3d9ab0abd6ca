//! The table of routes: by host, then the longest prefix that begins the path.

use crate::Micros;
use std::collections::HashMap;
use std::sync::Arc;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sort {
    /// It may.
    Safe,
    /// At most once for each try of a client.
    Unsafe,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    pub service: Arc<str>,
    pub share: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    pub sort: Sort,
    /// Within this time an answer earns its full worth.
    pub target: Micros,
    /// Rank; 0 is highest.
    pub precedence: u32,
    pub prefix: String,
    /// Where its requests go; shares above 0 only.
    pub parts: Vec<Part>,
    /// The longest time that a request may be held.
    pub give_up: Micros,
    /// The largest number of appliances that one try may be sent to; at least 1.
    pub tries: u32,
}

impl Route {
    /// The service that a draw from [0, 1) falls on.
    pub fn part(&self, draw: f64) -> &Part {
        let all: f64 = self.parts.iter().map(|p| p.share).sum();
        let mut left = draw.clamp(0.0, 1.0) * all;
        for part in &self.parts {
            left -= part.share;
            if left < 0.0 {
                return part;
            }
        }
        &self.parts[self.parts.len() - 1] // a draw of all but 1, by rounding
    }
}

/// All routes, to be looked up in steps that grow with the depth of a path only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl Table {
    /// Adds a route; of two with the same host and prefix the first holds.
    pub(crate) fn add(&mut self, host: &str, route: Arc<Route>) {
        let host = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        host.entry(route.prefix.clone()).or_insert(route);
    }

    /// The route of a request: `host` as in its header, a port is passed over; `path` without the query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
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

    /// All routes with their hosts, in no order.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Arc<Route>)> {
        self.hosts
            .iter()
            .flat_map(|(host, routes)| routes.values().map(move |r| (host.as_str(), r)))
    }
}
