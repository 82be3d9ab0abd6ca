//! The gateway's configuration: parsed from JSON, checked as a whole, and accepted or refused as a whole.

use crate::diagnostic::{child, quoted, Diagnostic};
use crate::reload::{self, ParsedRoutes};
use crate::route_table::{Destination, Idempotency, Route, RouteTable};
use crate::{durations, Micros};
use jzon::JsonValue as Json;
use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::sync::Arc;

/// The longest time that a valid configuration may have a request kept: ten minutes.
const MAX_TIMEOUT: Micros = 600_000_000;
/// A latency target lies less than this over its route's timeout: a minute.
const MAX_TARGET_BEYOND_TIMEOUT: Micros = 60_000_000;
/// So many diagnostics are returned at once; more help nobody.
const MAX_DIAGNOSTICS: usize = 20;

/// What clients may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// The longest time from a head's first byte to its last.
    pub header_timeout: Micros,
    /// The longest time that a connection may be without a request.
    pub idle_timeout: Micros,
}

/// What holds where a configuration is silent.
impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 26,
            header_timeout: 3_000_000,
            idle_timeout: 15_000_000,
        }
    }
}

/// A service, as operators describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: Arc<str>,
    /// The path of its health checks.
    pub health_path: String,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
}

/// A valid configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Its version (`edition`).
    pub version: u64,
    /// What clients may send.
    pub client_limits: ClientLimits,
    /// The services, by name.
    pub services: HashMap<Arc<str>, ServiceConfig>,
    routes: RouteTable,
    parsed_routes: ParsedRoutes,
}

impl GatewayConfig {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// What is wrong with it, up to twenty diagnostics.
    pub fn parse(text: &str) -> Result<GatewayConfig, Vec<Diagnostic>> {
        GatewayConfig::parse_collecting_all(text).map_err(|mut diagnostics| {
            diagnostics.truncate(MAX_DIAGNOSTICS);
            diagnostics
        })
    }

    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse_collecting_all(text: &str) -> Result<GatewayConfig, Vec<Diagnostic>> {
        let root = jzon::parse(text).map_err(|error| {
            let found = quoted(&error.to_string());
            vec![Diagnostic::new("document", found, "JSON, whole")]
        })?;
        let mut parser = Parser::default();
        let config = parser.config(&root);
        match config.filter(|_| parser.diagnostics.is_empty()) {
            Some(config) => Ok(config),
            None => Err(parser.diagnostics),
        }
    }

    /// Parses and checks a configuration as [`GatewayConfig::parse`] does, and reuses the routes whose text is as in the one
    /// before.
    ///
    /// # Errors
    ///
    /// As [`GatewayConfig::parse`].
    pub fn parse_after(
        text: &Arc<str>,
        before: Option<&GatewayConfig>,
    ) -> Result<GatewayConfig, Vec<Diagnostic>> {
        // An invalid one is parsed in full, for its diagnostics.
        GatewayConfig::parse_reusing(text, before).map_or_else(|| GatewayConfig::parse(text), Ok)
    }

    fn parse_reusing(text: &Arc<str>, before: Option<&GatewayConfig>) -> Option<GatewayConfig> {
        let ranges = reload::route_ranges(text)?;
        let none = ParsedRoutes::default();
        let parsed_before = before.map_or(&none, |before| &before.parsed_routes);
        let known_routes = parsed_before.known(text, &ranges);
        let mut parser = Parser {
            text,
            ranges: &ranges,
            known_routes,
            ..Parser::default()
        };
        let root = jzon::parse(&reload::without_routes(text, &ranges)).ok()?;
        let mut config = parser.config(&root)?;
        let is_valid = parser.diagnostics.is_empty() && parser.routes.len() == ranges.len();
        let routes = std::mem::take(&mut parser.routes);
        config.parsed_routes = ParsedRoutes::new(text, ranges.into_iter().zip(routes));
        is_valid.then_some(config)
    }

    /// Returns the table of routes.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }
}

/// Returns the version that a text claims, without a check of the rest.
pub fn claimed_version(text: &str) -> Option<u64> {
    jzon::parse(text).ok()?["edition"].as_u64()
}

/// Parses one configuration, and gathers what is wrong with it.
#[derive(Default)]
struct Parser<'a> {
    diagnostics: Vec<Diagnostic>,
    /// The text, where routes aren't in what is parsed.
    text: &'a str,
    /// Where the routes' texts stand in it, in order.
    ranges: &'a [Range<usize>],
    /// The routes that were parsed before, in the same order.
    known_routes: Vec<Option<Arc<Route>>>,
    /// All routes met so far.
    routes: Vec<Arc<Route>>,
    service_names: HashSet<Arc<str>>,
}

/// Returns what a JSON value looks like in a diagnostic.
fn shown(value: &Json) -> String {
    match value {
        Json::Null => "nothing".into(),
        Json::Short(_) | Json::String(_) => quoted(value.as_str().unwrap_or("")),
        Json::Object(_) => "an object".into(),
        Json::Array(_) => "a list".into(),
        other => other.dump(),
    }
}

impl Parser<'_> {
    fn report(&mut self, path: String, found: &Json, expected: &str) {
        self.diagnostics
            .push(Diagnostic::new(path, shown(found), expected));
    }

    fn integer(
        &mut self,
        body: &Json,
        path: &str,
        name: &str,
        default: Option<u64>,
    ) -> Option<u64> {
        let value = &body[name];
        match (value.as_u64(), default) {
            (Some(number), _) if value.is_number() => Some(number),
            (_, Some(number)) if value.is_null() => Some(number),
            _ => {
                self.report(child(path, name), value, "a whole number of 0 or more");
                None
            }
        }
    }

    fn duration(
        &mut self,
        body: &Json,
        path: &str,
        name: &str,
        default: Option<Micros>,
    ) -> Option<Micros> {
        let value = &body[name];
        match (value.as_str().and_then(durations::parse), default) {
            (Some(micros), _) => Some(micros),
            (None, Some(micros)) if value.is_null() => Some(micros),
            _ => {
                self.report(child(path, name), value, "a time such as 1500ms or 2.5s");
                None
            }
        }
    }

    fn text<'a>(&mut self, body: &'a Json, path: &str, name: &str) -> Option<&'a str> {
        let text = body[name].as_str().filter(|text| !text.is_empty());
        if text.is_none() {
            self.report(child(path, name), &body[name], "a text");
        }
        text
    }

    fn list<'a>(&mut self, body: &'a Json, path: &str, name: &str) -> &'a [Json] {
        match &body[name] {
            Json::Array(list) => list,
            other => {
                self.report(child(path, name), other, "a list");
                &[]
            }
        }
    }

    fn config(&mut self, root: &Json) -> Option<GatewayConfig> {
        if !root.is_object() {
            self.report("document".into(), root, "an object");
            return None;
        }
        let version = self.integer(root, "", "edition", None);
        let client_limits = self.client_limits(&root["allowances"]);
        let services = self.services(root);
        let routes = self.route_table(root);
        Some(GatewayConfig {
            version: version?,
            client_limits: client_limits?,
            services,
            routes,
            parsed_routes: ParsedRoutes::default(),
        })
    }

    fn services(&mut self, root: &Json) -> HashMap<Arc<str>, ServiceConfig> {
        let mut services = HashMap::new();
        for (i, body) in self.list(root, "", "fleets").iter().enumerate() {
            let path = format!("fleets.{i}");
            let name = self.text(body, &path, "name").map(Arc::<str>::from);
            let max_connections = self.integer(body, &path, "conn_cap", Some(u64::from(u32::MAX)));
            let health_path = body["health_path"].as_str().unwrap_or("/health").to_owned();
            if let (Some(name), Some(max_connections)) = (name, max_connections) {
                self.service_names.insert(name.clone());
                let max_connections = u32::try_from(max_connections).unwrap_or(u32::MAX);
                services.insert(
                    name.clone(),
                    ServiceConfig {
                        name,
                        health_path,
                        max_connections,
                    },
                );
            }
        }
        services
    }

    fn route_table(&mut self, root: &Json) -> RouteTable {
        let mut table = RouteTable::default();
        for (i, wicket) in self.list(root, "", "wickets").iter().enumerate() {
            let path = format!("wickets.{i}");
            let host = self
                .text(wicket, &path, "depot")
                .unwrap_or_default()
                .to_owned();
            for (j, body) in self.list(wicket, &path, "regulations").iter().enumerate() {
                let path = || format!("{path}.regulations.{j}");
                if let Some(route) = self.next_route(body, path) {
                    self.routes.push(route.clone());
                    table.add(&host, route);
                }
            }
        }
        table
    }

    /// Returns the next route: a known one, or parsed from its own text, or from `body` where the document has it.
    fn next_route(&mut self, body: &Json, path: impl Fn() -> String) -> Option<Arc<Route>> {
        let position = self.routes.len();
        let known = self.known_routes.get(position).cloned().flatten();
        if let Some(known) = known.filter(|route| self.has_services_of(route)) {
            return Some(known);
        }
        let Some(range) = self.ranges.get(position) else {
            return self.route(body, &path()).map(Arc::new);
        };
        match jzon::parse(&self.text[range.clone()]) {
            Ok(body) => self.route(&body, &path()).map(Arc::new),
            Err(_) => {
                self.report(path(), body, "JSON");
                None
            }
        }
    }

    fn has_services_of(&self, route: &Route) -> bool {
        let mut destinations = route.destinations.iter();
        destinations.all(|destination| self.service_names.contains(&destination.service))
    }

    fn client_limits(&mut self, body: &Json) -> Option<ClientLimits> {
        let (default, path) = (ClientLimits::default(), "allowances");
        if !body.is_object() && !body.is_null() {
            self.report(path.into(), body, "an object");
        }
        let header_bytes = self.integer(
            body,
            path,
            "header_bytes",
            Some(default.header_bytes as u64),
        )?;
        Some(ClientLimits {
            header_bytes: header_bytes as usize,
            body_bytes: self.integer(body, path, "body_bytes", Some(default.body_bytes))?,
            header_timeout: self.duration(body, path, "header", Some(default.header_timeout))?,
            idle_timeout: self.duration(body, path, "idle", Some(default.idle_timeout))?,
        })
    }

    fn route(&mut self, body: &Json, path: &str) -> Option<Route> {
        let name = self.text(body, path, "name");
        let idempotency = self.idempotency(body, path);
        let dispatch = &body["dispatch"];
        let dispatch_path = child(path, "dispatch");
        let timeout = self.duration(dispatch, &dispatch_path, "give_up", None);
        if timeout.is_some_and(|timeout| timeout == 0 || timeout > MAX_TIMEOUT) {
            let path = child(&dispatch_path, "give_up");
            self.report(path, &dispatch["give_up"], "a time above 0, at most 600s");
        }
        let latency_target = self.duration(body, path, "target", timeout);
        self.check_target(body, path, latency_target, timeout);
        let precedence = self.integer(body, path, "precedence", Some(0));
        let max_attempts = self.integer(dispatch, &dispatch_path, "tries", Some(1));
        let prefix = self.text(&body["sorting"], &child(path, "sorting"), "lane_prefix");
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
                self.report(child(path, "sort"), &body["sort"], "'safe' or 'unsafe'");
                None
            }
        }
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
            let expected = format!(
                "less than 60s over its give_up of {}",
                durations::format(timeout)
            );
            self.report(child(path, "target"), &body["target"], &expected);
        }
    }

    /// Parses where a route's requests go: to one service, or to several with weights.
    fn destinations(&mut self, dispatch: &Json, path: &str) -> Option<Vec<Destination>> {
        if dispatch["apportion"].is_null() {
            let service = self.service(dispatch, path)?;
            return Some(vec![Destination {
                service,
                weight: 1.0,
            }]);
        }
        let path = child(path, "apportion");
        let mut destinations = Vec::new();
        for (i, body) in self.list(dispatch, "", "apportion").iter().enumerate() {
            destinations.extend(self.weighted_destination(body, &child(&path, i)));
        }
        destinations.retain(|destination| destination.weight > 0.0);
        if destinations.is_empty() {
            self.report(
                path,
                &dispatch["apportion"],
                "shares that add up to more than 0",
            );
            return None;
        }
        Some(destinations)
    }

    fn weighted_destination(&mut self, body: &Json, path: &str) -> Option<Destination> {
        let service = self.service(body, path);
        let weight = body["share"]
            .as_f64()
            .filter(|share| share.is_finite() && *share >= 0.0);
        if weight.is_none() {
            self.report(
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

    fn service(&mut self, body: &Json, path: &str) -> Option<Arc<str>> {
        let name = self.text(body, path, "service")?;
        let known = self.service_names.get(name).cloned();
        if known.is_none() {
            self.report(
                child(path, "service"),
                &body["service"],
                "the name of a fleet",
            );
        }
        known
    }
}
