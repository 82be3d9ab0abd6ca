//! Load balancing and the retry budget of one proxy.
//!
//! No I/O and no clock: instants are passed in. [`endpoint_selection::LoadBalancer`] knows the endpoints of all services and
//! chooses one for each attempt; [`retry_budget::RetryBudget`] holds this proxy's part of a sum that all proxies together
//! must keep.

#![warn(missing_docs, unreachable_pub)]

mod assessment;
mod endpoint;
pub mod endpoint_selection;
mod fading_mean;
pub mod retry_budget;

/// An instant on a monotonic clock, or a span of time, in microseconds.
pub type Micros = u64;
