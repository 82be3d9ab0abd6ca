//! The gateway: proxies that forward clients' requests to the endpoints of services, and controllers that store the
//! configuration by consensus and move rollouts on.
//!
//! The program is `main.rs`; what it runs is this library, so that simulations play it on streams of their own.

#![warn(missing_docs, unreachable_pub)]

mod body_pieces;
pub mod clock;
pub mod commands;
pub mod controller;
mod held_body;
pub mod logging;
pub mod memory;
mod memory_metrics;
pub mod metrics;
pub mod net;
pub mod platform_client;
pub mod proxy;
pub mod settings;
pub mod signals;
pub mod view;
