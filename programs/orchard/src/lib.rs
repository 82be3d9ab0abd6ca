//! The gateway: counters that carry the traffic, and sorting machines that keep its state. The program is `main.rs`; what it
//! runs is a library, so that rigs play it on streams of their own.

pub mod carrier;
pub mod clock;
pub mod commands;
pub mod counter;
pub mod log;
pub mod net;
pub mod settings;
pub mod signals;
pub mod sorting;
pub mod view;
