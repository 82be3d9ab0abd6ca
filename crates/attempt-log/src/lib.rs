//! Which requests callers have asked for, by their ids, and where an attempt may have run: so that a request that is asked for
//! twice (by a caller that retries, by two callers, before or after the first attempt's end) runs twice only where that does no
//! harm.
//!
//! [`log`] holds the state machine, [`record`] what is kept on disk, [`request`] what callers ask and are told. No I/O and no
//! clock: times are passed in, in seconds. The log is bounded in count and age; what can't be known is refused, never risked.

#![warn(missing_docs, unreachable_pub)]

pub mod log;
pub mod record;
pub mod request;

#[cfg(test)]
mod tests;
