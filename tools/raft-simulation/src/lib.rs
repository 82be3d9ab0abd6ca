//! A simulated network, disk and clock, seeded, on which any number of processes run: what takes days of bad luck on machines
//! takes milliseconds here, and comes again from its seed.
//!
//! [`Simulator`] knows nothing of what runs on it: anything that is a [`Process`] does, and an [`Observer`] sees all that it sends
//! and does. [`FaultInjector`] breaks things at random and repairs them. [`Cluster`] is the Raft nodes of the controllers on it,
//! with clients and with checks after every step. [`LongRun`] is all of a controller below its sockets, with the state agreed
//! on and the real store, over hundreds of large changes. [`OperatorWorkload`] is the controllers as operators call them, with a
//! check that what operators saw is linearizable ([`linearizability`]).

#![warn(missing_docs, unreachable_pub)]

mod bounded_losses;
mod cluster;
mod cluster_checks;
mod fault_injection;
pub mod linearizability;
mod long_run;
mod memory_store;
mod operator_node;
mod operator_workload;
mod raft_process;
mod simulated_node;
mod simulator;
mod store_node;

pub use cluster::{Cluster, ClusterConfig, RunTotals};
pub use fault_injection::{Fault, FaultInjector};
pub use long_run::{Disruption, LongRun, LongRunConfig, LongRunSummary};
pub use operator_node::{OperatorNode, OperatorRequest, OperatorResponse};
pub use operator_workload::{OperatorWorkload, WorkloadTotals};
pub use simulated_node::{Call, Observation, SimulatedNode};
pub use simulator::{
    address, BootOptions, DiskFault, Effect, Input, NetworkProfile, Observer, Process, Simulator,
};

/// An instant or a span of time, in microseconds.
pub type Micros = u64;
/// A second.
pub const SECOND: Micros = 1_000_000;
/// A millisecond.
pub const MILLI: Micros = 1_000;
