//! magpieline: a sidecar that routes hits over two builds and votes on staged releases.
//!
//! [`balance`] makes every decision; [`interface`] holds the types it is reached by. A front (today the
//! bench's adapter in `benchlink/`) turns what it hears into calls and what it gets back into its own words.

pub mod balance;
pub mod interface;
mod state;
