//! A simulated network, disk and clock, seeded, on which any number of cores run: what takes days of bad luck on machines
//! takes milliseconds here, and comes again from its seed.
//!
//! [`World`] knows nothing of what runs on it: anything that is a [`Node`] does, and a [`Watch`] sees all that it sends
//! and does. [`Chaos`] breaks things by chance and mends them. [`Grove`] is the agreement of the sorting machines on it,
//! with its clients and the checks after every step. [`Season`] is the whole of a sorting machine below its sockets, with the
//! state that it agrees on and the real store, over hundreds of large changes. [`Office`] is the sorting machines as
//! operators call them, with a check of what these saw ([`history`]).

mod bounded_losses;
mod cluster;
mod fault_injection;
pub mod linearizability;
mod long_run;
mod operator_node;
mod operator_workload;
mod simulator;

pub use cluster::{Call, Grove, Note, Planting, Played, Tree};
pub use fault_injection::{Chaos, Fault};
pub use long_run::{Harvest, Season, Sowing, Trial};
pub use operator_node::{Answer, Asked, Desk};
pub use operator_workload::{Called, Office};
pub use simulator::{address, Boot, Effect, Input, Net, Node, Trouble, Watch, World};

/// A time, in microseconds.
pub type Micros = u64;
/// A second.
pub const SECOND: Micros = 1_000_000;
/// A millisecond.
pub const MILLI: Micros = 1_000;
