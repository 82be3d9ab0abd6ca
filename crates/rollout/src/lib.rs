//! Rollouts: versions of a service on trial beside the earlier one.
//!
//! In every proxy a [`trial::Trial`] plays the two arms, the earlier version and the one on trial, by magpieline's
//! Efficient-UCBV ([`magpieline::Duel`]): the index chooses first attempts within the allowed share, and an elimination votes.
//! On the leading controller an [`analysis::RolloutAnalysis`] plays the same duel on the outcomes of all proxies, weighs the
//! votes and the evidence, and moves the rollout on.
//!
//! No I/O and no clock.

#![warn(missing_docs, unreachable_pub)]

pub mod analysis;
pub mod trial;

/// An instant on a monotonic clock, or a span of time, in microseconds.
pub type Micros = u64;
