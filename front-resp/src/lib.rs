//! RESP on the exchange: [`Pipes`] reach nodes over pooled, pipelined connections; what a command is to the
//! decisions is said by a [`Table`].

#[cfg(test)]
mod testing;
mod way;

pub use way::{Command, Login, Pipes};
