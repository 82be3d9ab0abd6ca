//! How counters and sorting machines keep together.
//!
//! - [`records`]: what the sorting machines agree on, and the commands that change it.
//! - [`orders`]: whether what an operator sends is the same thing again.
//! - [`form`]: format numbers of what is stored and sent.
//! - [`delta`]: a new edition as what has changed since another one; long messages and commands in fewer bytes.
//! - [`feed`]: how editions go out to counters, piece by piece, behind all that is more urgent.
//! - [`intake`]: how a counter puts the pieces together.
//! - [`words`]: what counters and sorting machines say to each other.
//! - [`tendril`]: a counter's hold on the leading sorting machine, found through seeds that may be old.
//! - [`roster`]: the leader's view of the counters, and what each of them has to be told.
//!
//! No I/O and no clock: events and the time go in, actions come out. Times are microseconds on the steady clock of
//! the machine that runs the code.

pub mod codec;
pub mod config_receiver;
pub mod config_sender;
pub mod controller_client;
pub mod deduplication;
pub mod delta;
pub mod messages;
pub mod proxy_registry;
pub mod state_machine;

/// A time span or an instant on a steady clock, in microseconds.
pub type Micros = u64;
