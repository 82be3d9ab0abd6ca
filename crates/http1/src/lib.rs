//! What happens to one request, from its last byte read to its one response.
//!
//! No I/O and no clock: instants are passed in. [`framing`] says where messages begin and end, and which request a response
//! belongs to. [`attempt_outcome`] is the one place where the outcome of an attempt becomes a response, and the one that
//! says whether a request may be sent again. [`deduplication`] remembers requests that are not idempotent, in case their
//! client repeats one.

#![warn(missing_docs, unreachable_pub)]

pub mod attempt_outcome;
pub mod deduplication;
pub mod framing;

/// An instant on a monotonic clock, or a span of time, in microseconds.
pub type Micros = u64;
