//! A simulated network, disk and clock, seeded, on which any number of cores run: what takes days of bad luck on machines
//! takes milliseconds here, and comes again from its seed.
//!
//! [`Simulator`] knows nothing of what runs on it: anything that is a [`Process`] does, and a [`Observer`] sees all that it sends
//! and does. [`FaultInjector`] breaks things by chance and mends them. [`Cluster`] is the agreement of the sorting machines on it,
//! with its clients and the checks after every step. [`LongRun`] is the whole of a sorting machine below its sockets, with the
//! state that it agrees on and the real store, over hundreds of large changes. [`OperatorWorkload`] is the sorting machines as
//! operators call them, with a check of what these saw ([`history`]).

mod bounded_losses;
mod cluster;
mod fault_injection;
pub mod linearizability;
mod long_run;
mod operator_node;
mod operator_workload;
mod simulator;

pub use cluster::{Call, Cluster, ClusterConfig, Observation, RunTotals, SimulatedNode};
pub use fault_injection::{Fault, FaultInjector};
pub use long_run::{Disruption, LongRun, LongRunConfig, LongRunSummary};
pub use operator_node::{OperatorNode, OperatorRequest, OperatorResponse};
pub use operator_workload::{OperatorWorkload, WorkloadTotals};
pub use simulator::{
    address, BootOptions, DiskFault, Effect, Input, NetworkProfile, Observer, Process, Simulator,
};

/// A time, in microseconds.
pub type Micros = u64;
/// A second.
pub const SECOND: Micros = 1_000_000;
/// A millisecond.
pub const MILLI: Micros = 1_000;
