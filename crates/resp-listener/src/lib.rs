//! RESP on the exchange: [`serve`] meets clients, [`Pipes`] reach nodes over pooled, pipelined connections; what a
//! command is to the decisions is said by a [`Table`].

#[cfg(test)]
mod faults;
mod front;
mod table;
#[cfg(test)]
mod testing;
mod way;

pub use front::{serve, Front};
pub use table::{Row, Table};
pub use way::{Command, Login, Pipes, SPEAKS};
