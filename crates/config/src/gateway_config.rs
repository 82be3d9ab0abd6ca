//! The gateway's configuration: parsed from JSON, checked as a whole, and accepted or refused as a whole.

use crate::config_parser::{self, UnknownServices};
use crate::diagnostic::Diagnostic;
use crate::parsed_routes::ParsedRoutes;
use crate::route_table::RouteTable;
use crate::Micros;
use std::collections::HashMap;
use std::sync::Arc;

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
    /// The names of services that routes have and the configuration doesn't list; none but in a committed one of an earlier
    /// release.
    pub unknown_services: Vec<Diagnostic>,
    pub(crate) routes: RouteTable,
    pub(crate) parsed_routes: ParsedRoutes,
}

impl GatewayConfig {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// What is wrong with it, up to twenty diagnostics.
    pub fn parse(text: &str) -> Result<GatewayConfig, Vec<Diagnostic>> {
        GatewayConfig::parse_collecting_all(text).map_err(first_diagnostics)
    }

    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse_collecting_all(text: &str) -> Result<GatewayConfig, Vec<Diagnostic>> {
        config_parser::parse_whole(text, UnknownServices::Refused)
    }

    /// Parses and checks a configuration as [`GatewayConfig::parse`] does, with the same result, and reuses what the one before
    /// has of routes with the same text.
    ///
    /// # Errors
    ///
    /// As [`GatewayConfig::parse`].
    pub fn parse_after(
        text: &Arc<str>,
        before: Option<&GatewayConfig>,
    ) -> Result<GatewayConfig, Vec<Diagnostic>> {
        config_parser::parse_after(text, before, UnknownServices::Refused)
            .map_err(first_diagnostics)
    }

    /// Parses a configuration that was committed, as [`GatewayConfig::parse_after`] does. It is not refused because routes name
    /// unknown services, as earlier releases accepted that: they stand in [`GatewayConfig::unknown_services`].
    ///
    /// # Errors
    ///
    /// As [`GatewayConfig::parse`], but for unknown services.
    pub fn parse_committed(
        text: &Arc<str>,
        before: Option<&GatewayConfig>,
    ) -> Result<GatewayConfig, Vec<Diagnostic>> {
        config_parser::parse_after(text, before, UnknownServices::Recorded)
            .map_err(first_diagnostics)
    }

    /// Returns the table of routes.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }
}

fn first_diagnostics(mut diagnostics: Vec<Diagnostic>) -> Vec<Diagnostic> {
    diagnostics.truncate(MAX_DIAGNOSTICS);
    diagnostics
}

/// Returns the version that a text claims, without a check of the rest.
pub fn claimed_version(text: &str) -> Option<u64> {
    jzon::parse(text).ok()?["edition"].as_u64()
}
