//! Parses a configuration's document: as a whole, or route by route, reusing what an earlier document's routes were parsed to.
//!
//! Both give the same result, whatever was parsed before. What a route says is a function of its own text alone
//! ([`crate::route_parser`]) and may be reused; whether the document has the services that it names is checked each time.

use crate::diagnostic::{quoted, Diagnostic};
use crate::fields::Fields;
use crate::gateway_config::{ClientLimits, GatewayConfig, ServiceConfig};
use crate::parsed_routes::{without_routes, ParsedRoutes};
use crate::route_parser::{self, ParsedRoute};
use crate::route_ranges::route_ranges;
use crate::route_table::RouteTable;
use jzon::JsonValue as Json;
use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::sync::Arc;

/// What becomes of a document whose routes name services that it doesn't have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownServices {
    /// It is invalid.
    Refused,
    /// They are recorded in the configuration.
    Recorded,
}

/// Parses a document as a whole.
///
/// # Errors
///
/// All that is wrong with it.
pub(crate) fn parse_whole(
    text: &str,
    unknown_services: UnknownServices,
) -> Result<GatewayConfig, Vec<Diagnostic>> {
    let root = jzon::parse(text).map_err(|error| {
        let found = quoted(&error.to_string());
        vec![Diagnostic::new("document", found, "JSON, whole")]
    })?;
    let mut parser = ConfigParser::new(unknown_services);
    let config = parser.config(&root);
    match config.filter(|_| parser.fields.diagnostics.is_empty()) {
        Some(config) => Ok(config),
        None => Err(parser.fields.diagnostics),
    }
}

/// Parses a document, and reuses what the configuration before has of routes with the same text.
///
/// # Errors
///
/// As [`parse_whole`].
pub(crate) fn parse_after(
    text: &Arc<str>,
    before: Option<&GatewayConfig>,
    unknown_services: UnknownServices,
) -> Result<GatewayConfig, Vec<Diagnostic>> {
    // An invalid one is parsed as a whole, for its diagnostics.
    parse_by_route(text, before, unknown_services)
        .map_or_else(|| parse_whole(text, unknown_services), Ok)
}

fn parse_by_route(
    text: &Arc<str>,
    before: Option<&GatewayConfig>,
    unknown_services: UnknownServices,
) -> Option<GatewayConfig> {
    let ranges = route_ranges(text)?;
    let none = ParsedRoutes::default();
    let parsed_before = before.map_or(&none, |before| &before.parsed_routes);
    let known_routes = parsed_before.known(text, &ranges);
    let mut parser = ConfigParser {
        text,
        ranges: &ranges,
        known_routes,
        ..ConfigParser::new(unknown_services)
    };
    let root = jzon::parse(&without_routes(text, &ranges)).ok()?;
    let mut config = parser.config(&root)?;
    let is_complete = parser.routes.len() == ranges.len();
    let is_valid = parser.fields.diagnostics.is_empty() && is_complete;
    let routes = std::mem::take(&mut parser.routes);
    config.parsed_routes = ParsedRoutes::new(text, ranges.into_iter().zip(routes));
    is_valid.then_some(config)
}

/// Parses one document, and gathers what is wrong with it.
struct ConfigParser<'a> {
    fields: Fields,
    unknown_services: UnknownServices,
    /// The names of services that were recorded as unknown.
    recorded: Vec<Diagnostic>,
    /// The text, where routes aren't in what is parsed.
    text: &'a str,
    /// Where the routes' texts stand in it, in order.
    ranges: &'a [Range<usize>],
    /// What is known of these routes, in the same order.
    known_routes: Vec<Option<Arc<ParsedRoute>>>,
    /// All routes met so far.
    routes: Vec<Arc<ParsedRoute>>,
    service_names: HashSet<Arc<str>>,
}

impl ConfigParser<'_> {
    /// Creates a parser of a document as a whole.
    fn new(unknown_services: UnknownServices) -> ConfigParser<'static> {
        ConfigParser {
            fields: Fields::default(),
            unknown_services,
            recorded: Vec::new(),
            text: "",
            ranges: &[],
            known_routes: Vec::new(),
            routes: Vec::new(),
            service_names: HashSet::new(),
        }
    }

    fn config(&mut self, root: &Json) -> Option<GatewayConfig> {
        if !root.is_object() {
            self.fields.report("document".into(), root, "an object");
            return None;
        }
        let version = self.fields.integer(root, "", "edition", None);
        let client_limits = self.client_limits(&root["allowances"]);
        let services = self.services(root);
        let routes = self.route_table(root);
        Some(GatewayConfig {
            version: version?,
            client_limits: client_limits?,
            services,
            unknown_services: std::mem::take(&mut self.recorded),
            routes,
            parsed_routes: ParsedRoutes::default(),
        })
    }

    fn client_limits(&mut self, body: &Json) -> Option<ClientLimits> {
        let (default, path) = (ClientLimits::default(), "allowances");
        let fields = &mut self.fields;
        if !body.is_object() && !body.is_null() {
            fields.report(path.into(), body, "an object");
        }
        let header_bytes = Some(default.header_bytes as u64);
        let header_bytes = fields.integer(body, path, "header_bytes", header_bytes)?;
        Some(ClientLimits {
            header_bytes: header_bytes as usize,
            body_bytes: fields.integer(body, path, "body_bytes", Some(default.body_bytes))?,
            header_timeout: fields.duration(body, path, "header", Some(default.header_timeout))?,
            idle_timeout: fields.duration(body, path, "idle", Some(default.idle_timeout))?,
        })
    }

    fn services(&mut self, root: &Json) -> HashMap<Arc<str>, ServiceConfig> {
        let bodies = self.fields.list(root, "", "fleets").iter().enumerate();
        let services = bodies.filter_map(|(i, body)| self.service(body, &format!("fleets.{i}")));
        let services: HashMap<_, _> = services
            .map(|service| (service.name.clone(), service))
            .collect();
        self.service_names = services.keys().cloned().collect();
        services
    }

    fn service(&mut self, body: &Json, path: &str) -> Option<ServiceConfig> {
        let unlimited = Some(u64::from(u32::MAX));
        let name = self.fields.text(body, path, "name");
        let max_connections = self.fields.integer(body, path, "conn_cap", unlimited);
        Some(ServiceConfig {
            name: name?.into(),
            health_path: body["health_path"].as_str().unwrap_or("/health").to_owned(),
            max_connections: u32::try_from(max_connections?).unwrap_or(u32::MAX),
        })
    }

    fn route_table(&mut self, root: &Json) -> RouteTable {
        let mut table = RouteTable::default();
        for (i, wicket) in self.fields.list(root, "", "wickets").iter().enumerate() {
            let path = format!("wickets.{i}");
            let host = self.fields.text(wicket, &path, "depot");
            let host = host.unwrap_or_default().to_owned();
            let bodies = self.fields.list(wicket, &path, "regulations");
            for (j, body) in bodies.iter().enumerate() {
                let parsed = self.next_route(body, &|| format!("{path}.regulations.{j}"));
                if let Some(route) = &parsed.route {
                    table.add(&host, route.clone());
                }
                self.routes.push(parsed);
            }
        }
        table
    }

    /// Returns what the next route says, and checks that the services exist that it names.
    fn next_route(&mut self, body: &Json, path: &dyn Fn() -> String) -> Arc<ParsedRoute> {
        let position = self.routes.len();
        let known = self.known_routes.get(position).cloned().flatten();
        let parsed = known.unwrap_or_else(|| Arc::new(self.parse_route(position, body, &path())));
        self.check_references(&parsed, path);
        parsed
    }

    /// Parses a route from its own text, or from `body` where the document has it.
    fn parse_route(&mut self, position: usize, body: &Json, path: &str) -> ParsedRoute {
        let names = &self.service_names;
        let Some(range) = self.ranges.get(position) else {
            return route_parser::parse(&mut self.fields, names, body, path);
        };
        match jzon::parse(&self.text[range.clone()]) {
            Ok(body) => route_parser::parse(&mut self.fields, names, &body, path),
            Err(_) => {
                self.fields.report(path.to_owned(), body, "JSON");
                ParsedRoute::default()
            }
        }
    }

    fn check_references(&mut self, route: &ParsedRoute, path: &dyn Fn() -> String) {
        for reference in &route.references {
            if self.service_names.contains(&reference.name) {
                continue;
            }
            let path = format!("{}.{}", path(), reference.path());
            let found = quoted(&reference.name);
            let diagnostic = Diagnostic::new(path, found, "the name of a fleet");
            match self.unknown_services {
                UnknownServices::Refused => self.fields.diagnostics.push(diagnostic),
                UnknownServices::Recorded => self.recorded.push(diagnostic),
            }
        }
    }
}
