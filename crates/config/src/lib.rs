//! What operators and the platform configure: the settings file of a node, and the gateway's configuration with its checks and
//! its table of routes.
//!
//! No I/O and no clock. Texts go in, values or [`diagnostic::Diagnostic`]s come out, which say where something stands, what was
//! found and what was expected.
//!
//! The words in the files are those of the operators' pages (`wickets`, `fleets`, `provisions` and so on); this crate maps them
//! to the terms of the field, and no other one knows them (`docs/GLOSSARY.md`).
//!
//! ```
//! use magpieline_config::gateway_config::GatewayConfig;
//!
//! let text = r#"{"edition": 3, "wickets": [{"depot": "a.example", "regulations": [{"name": "r", "sort": "safe",
//!   "target": "600ms", "sorting": {"lane_prefix": "/x/"}, "dispatch": {"service": "s", "give_up": "2s"}}]}],
//!   "fleets": [{"name": "s", "health_path": "/health", "conn_cap": 100}]}"#;
//! let config = GatewayConfig::parse(text).expect("valid");
//! let route = config.routes().find("A.example:80", "/x/y").expect("a route");
//! assert_eq!(route.timeout, 2_000_000);
//! assert!(config.routes().find("a.example", "/y/").is_none());
//! ```

#![warn(missing_docs, unreachable_pub)]

mod config_parser;
pub mod diagnostic;
pub mod durations;
mod fields;
pub mod gateway_config;
pub mod node_settings;
mod parsed_routes;
mod route_parser;
mod route_ranges;
pub mod route_table;
mod settings_reader;

/// An instant on a monotonic clock, or a span of time, in microseconds.
pub type Micros = u64;
