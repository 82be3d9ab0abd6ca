//! The exchange: the one place where fronts and nodes meet. It holds the decisions, the clock and the timers, knows
//! no protocol and opens no socket. A front hands a hit in as a [`Load`] and waits for its one [`Answer`]; a node
//! is reached by a [`Way`], whose forwards end in one of the ways that [`End`] names; votes are cast by a [`Desk`].

mod accept;
mod changes;
mod crowd;
mod end;
mod exchange;
mod guard;
mod keys;
mod nodes;
mod signal;

pub use accept::accept;
pub use changes::Changes;
pub use crowd::{Crowd, Visit};
pub use end::End;
pub use exchange::{
    seconds, unix, Answer, Chosen, Desk, Entry, Exchange, Load, Looked, Looks, Ticket, Way, Ways,
};
pub use guard::{guarded, kept};
pub use keys::hash;
pub use signal::Signal;
