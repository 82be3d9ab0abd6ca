//! The gateway: counters that carry the traffic, and sorting machines that keep its state. The program is `main.rs`; what it
//! runs is a library, so that rigs play it on streams of their own.

pub mod clock;
pub mod commands;
pub mod controller;
pub mod log;
pub mod net;
pub mod platform_client;
pub mod proxy;
pub mod settings;
pub mod signals;
pub mod view;
