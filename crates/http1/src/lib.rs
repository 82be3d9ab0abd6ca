//! What happens to one request, from its last byte read to its one answer.
//!
//! No I/O and no clock. [`framing`] says where messages begin and end, and whose they are. [`journey`] is the one place
//! where the ending of a forward becomes an answer, and the one that says whether a request may be sent again. [`orders`]
//! remembers those that may run once only, in case their client comes back with one.

pub mod attempt_outcome;
pub mod framing;
pub mod orders;

/// A time span or an instant on a steady clock, in microseconds.
pub type Micros = u64;
