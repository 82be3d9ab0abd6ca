//! What operators say: the settings file of a machine, configurations with their checks, and the table of routes.
//!
//! No I/O and no clock. Texts go in, values or complaints come out. A complaint says where something stands, what
//! was found and what was expected, so that whoever wrote it can mend it.
//!
//! ```
//! use magpieline_config::gateway_config::Edition;
//!
//! let text = r#"{"edition": 3, "wickets": [{"depot": "a.example", "regulations": [{"name": "r", "sort": "safe",
//!   "target": "600ms", "sorting": {"lane_prefix": "/x/"}, "dispatch": {"service": "s", "give_up": "2s"}}]}],
//!   "fleets": [{"name": "s", "health_path": "/health", "conn_cap": 100}]}"#;
//! let edition = Edition::read(text).expect("sound");
//! let route = edition.table().find("A.example:80", "/x/y").expect("a route");
//! assert_eq!(route.give_up, 2_000_000);
//! assert!(edition.table().find("a.example", "/y/").is_none());
//! ```

pub mod durations;
pub mod gateway_config;
pub mod node_settings;
pub mod place;
mod reload;
pub mod route_table;

/// A time span or an instant on a steady clock, in microseconds.
pub type Micros = u64;
