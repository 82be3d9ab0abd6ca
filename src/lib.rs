//! magpieline: a sidecar that routes hits over two builds and votes on staged releases.
//!
//! A [`Balancer`] makes every decision, in `policy/`; [`interface`] holds the types it is reached by. A front
//! (the agent's, or the bench's adapter in `tools/bench-adapter/`) turns what it hears into calls and what it gets
//! back into its own words. The rule of its two arms is a library of its own: [`Duel`].
//!
//! ```
//! use magpieline::interface::*;
//! use magpieline::Balancer;
//!
//! let mut named = Named::new();
//! named.insert("classes.0.name".into(), Value::Text("read".into()));
//! named.insert("classes.0.repeat".into(), Value::Text("retryable".into()));
//! named.insert("classes.0.hard_limit_s".into(), Value::Number(2.0));
//! let mut balancer = Balancer::start(1, 0.0, None, named)?;
//!
//! let line = Listed { node: 0, open: true, build: 41, zone: 0, cell: 0, rating: 1.0, up_since: 0.0, speaks: 0 };
//! balancer.listed(0.0, true, true, &[line]);
//! let (handle, next) = balancer.take(0.1, Arrival { remaining: 2.0, ..Arrival::default() });
//! assert!(matches!(next, Next::Forward { node: 0, .. }));
//!
//! let end = Return { ending: Ending::Delivered, spent: 0.05, over: true };
//! assert_eq!(handle.returned(&mut balancer, 0.15, end), Next::Nothing);
//! assert!(!handle.pending(&balancer));
//! # Ok::<(), String>(())
//! ```

mod arms;
mod calls;
pub mod interface;
pub mod names;
mod policy;
mod state;

pub use arms::{Count, Duel, Evidence, EARLIER, TRIAL};
pub use state::Balancer;
