//! Builds on trial.
//!
//! In every counter `trial::Trial` plays the two arms, the earlier and the trial build, by magpieline's
//! Efficient-UCBV (`magpieline::duel::Duel`): the index chooses first sends within the told share, an elimination
//! votes. On the leading sorting machine `analysis::Jury` plays the same duel on the outcomes of all, weighs the votes
//! and the evidence, and moves the rollout. No I/O and no clock.

pub mod analysis;
pub mod trial;

/// A time span or an instant on a steady clock, in microseconds.
pub type Micros = u64;
