//! Which appliance a request goes to, whether it is let in at all, and the budget for further forwards.
//!
//! No I/O and no clock. [`endpoint_selection::Field`] knows the appliances of all services, as listed and as met;
//! [`retry_budget::Budget`] holds this agent's part of a sum that all agents together must keep.

pub mod endpoint_selection;
pub mod retry_budget;

/// A time span or an instant on a steady clock, in microseconds.
pub type Micros = u64;
