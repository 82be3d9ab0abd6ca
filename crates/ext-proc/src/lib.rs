//! Other proxies ask for each hit where it goes, by the published external-processing gRPC protocol: [`serve`] meets
//! them, a [`Table`] says what their headers are to the decisions, a ledger what has been asked for and may have run.
//! The forward is the caller's; what it was told counts as sent.

mod call;
mod front;
pub mod messages;
mod stream;
mod table;
#[cfg(test)]
mod tests;

pub use call::{call, Call};
pub use front::{serve, Front, Shelf};
pub use table::{Row, Table};
