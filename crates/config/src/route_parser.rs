//! Parses one route from its own text.
//!
//! Nothing of the rest of the document goes into it, so a route may be reused wherever its text stands again. The services that
//! it names are returned beside it, also those with weight 0: whether they exist depends on the document, and is checked each
//! time by whoever has the document.

use crate::diagnostic::child;
use crate::fields::Fields;
use crate::route_table::{Destination, Idempotency, Route};
use crate::{durations, Micros};
use jzon::JsonValue as Json;
use std::collections::HashSet;
use std::sync::Arc;

/// The longest time that a valid configuration may have a request kept: ten minutes.
const MAX_TIMEOUT: Micros = 600_000_000;
/// A latency target lies less than this over its route's timeout: a minute.
const MAX_TARGET_BEYOND_TIMEOUT: Micros = 60_000_000;

/// A service that a route's text names.
#[derive(Clone, Debug)]
pub(crate) struct ServiceReference {
    pub(crate) name: Arc<str>,
    /// Its position among the weighted destinations; none where all requests go to one service.
    position: Option<u32>,
}

impl ServiceReference {
    /// Returns where the name stands in the route.
    pub(crate) fn path(&self) -> String {
        match self.position {
            Some(position) => format!("dispatch.apportion.{position}.service"),
            None => "dispatch.service".into(),
        }
    }
}

/// What a route's text says.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParsedRoute {
    /// The services that it names, in its order, also those with weight 0.
    pub(crate) references: Box<[ServiceReference]>,
    /// The route; none if the text is not one.
    pub(crate) route: Option<Arc<Route>>,
}

/// Parses a route. What is wrong with it is reported to `fields`; `names` are shared where they stand in it.
pub(crate) fn parse(
    fields: &mut Fields,
    names: &HashSet<Arc<str>>,
    body: &Json,
    path: &str,
) -> ParsedRoute {
    let mut parser = RouteParser {
        fields,
        names,
        references: Vec::new(),
    };
    let route = parser.route(body, path).map(Arc::new);
    ParsedRoute {
        references: parser.references.into(),
        route,
    }
}

struct RouteParser<'a> {
    fields: &'a mut Fields,
    names: &'a HashSet<Arc<str>>,
    references: Vec<ServiceReference>,
}

impl RouteParser<'_> {
    fn route(&mut self, body: &Json, path: &str) -> Option<Route> {
        let dispatch = &body["dispatch"];
        let dispatch_path = child(path, "dispatch");
        let name = self.fields.text(body, path, "name");
        let idempotency = self.idempotency(body, path);
        let timeout = self.timeout(dispatch, &dispatch_path);
        let latency_target = self.fields.duration(body, path, "target", timeout);
        self.check_target(body, path, latency_target, timeout);
        let precedence = self.fields.integer(body, path, "precedence", Some(0));
        let max_attempts = self
            .fields
            .integer(dispatch, &dispatch_path, "tries", Some(1));
        let sorting_path = child(path, "sorting");
        let prefix = self
            .fields
            .text(&body["sorting"], &sorting_path, "lane_prefix");
        let destinations = self.destinations(dispatch, &dispatch_path);
        Some(Route {
            name: name?.into(),
            idempotency: idempotency?,
            latency_target: latency_target?,
            precedence: u32::try_from(precedence?).unwrap_or(u32::MAX),
            prefix: prefix?.to_owned(),
            destinations: destinations?,
            timeout: timeout?,
            max_attempts: u32::try_from(max_attempts?.max(1)).unwrap_or(u32::MAX),
        })
    }

    fn idempotency(&mut self, body: &Json, path: &str) -> Option<Idempotency> {
        match body["sort"].as_str() {
            Some("safe") => Some(Idempotency::Idempotent),
            Some("unsafe") => Some(Idempotency::NonIdempotent),
            _ => {
                self.fields
                    .report(child(path, "sort"), &body["sort"], "'safe' or 'unsafe'");
                None
            }
        }
    }

    fn timeout(&mut self, dispatch: &Json, path: &str) -> Option<Micros> {
        let timeout = self.fields.duration(dispatch, path, "give_up", None);
        if timeout.is_some_and(|timeout| timeout == 0 || timeout > MAX_TIMEOUT) {
            let found = &dispatch["give_up"];
            let expected = "a time above 0, at most 600s";
            self.fields.report(child(path, "give_up"), found, expected);
        }
        timeout
    }

    fn check_target(
        &mut self,
        body: &Json,
        path: &str,
        target: Option<Micros>,
        timeout: Option<Micros>,
    ) {
        let (Some(target), Some(timeout)) = (target, timeout) else {
            return;
        };
        if target >= timeout.saturating_add(MAX_TARGET_BEYOND_TIMEOUT) {
            let timeout = durations::format(timeout);
            let expected = format!("less than 60s over its give_up of {timeout}");
            self.fields
                .report(child(path, "target"), &body["target"], &expected);
        }
    }

    /// Parses where a route's requests go: to one service, or to several with weights.
    fn destinations(&mut self, dispatch: &Json, path: &str) -> Option<Vec<Destination>> {
        if dispatch["apportion"].is_null() {
            let service = self.service(dispatch, path, None)?;
            return Some(vec![Destination {
                service,
                weight: 1.0,
            }]);
        }
        // Requests go by the shares; a service that is named beside them has to be known all the same.
        if dispatch["service"]
            .as_str()
            .is_some_and(|name| !name.is_empty())
        {
            self.service(dispatch, path, None);
        }
        let path = child(path, "apportion");
        let elements = self.fields.list(dispatch, "", "apportion");
        let mut destinations = Vec::new();
        for (position, body) in (0..).zip(elements) {
            let path = child(&path, position);
            destinations.extend(self.weighted_destination(body, &path, position));
        }
        destinations.retain(|destination| destination.weight > 0.0);
        if destinations.is_empty() {
            let expected = "shares that add up to more than 0";
            self.fields.report(path, &dispatch["apportion"], expected);
            return None;
        }
        Some(destinations)
    }

    fn weighted_destination(
        &mut self,
        body: &Json,
        path: &str,
        position: u32,
    ) -> Option<Destination> {
        let service = self.service(body, path, Some(position));
        let is_weight = |share: &f64| share.is_finite() && *share >= 0.0;
        let weight = body["share"].as_f64().filter(is_weight);
        if weight.is_none() {
            self.fields.report(
                child(path, "share"),
                &body["share"],
                "a number of 0 or more",
            );
        }
        Some(Destination {
            service: service?,
            weight: weight?,
        })
    }

    fn service(&mut self, body: &Json, path: &str, position: Option<u32>) -> Option<Arc<str>> {
        let name = self.fields.text(body, path, "service")?;
        let name = self.names.get(name).cloned().unwrap_or_else(|| name.into());
        self.references.push(ServiceReference {
            name: name.clone(),
            position,
        });
        Some(name)
    }
}
