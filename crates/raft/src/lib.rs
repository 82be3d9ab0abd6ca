//! The consensus among the controllers: a replicated log of commands that is the same on every member, and from which
//! nothing that was acknowledged is ever lost.
//!
//! The algorithm is Raft, as published in Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", and
//! in Ongaro's thesis, "Consensus: Bridging Theory and Practice" (cited here as *thesis*): pre-vote (section 9.6), membership
//! changes (chapter 4), learners (4.2.1), leadership transfer (3.10), read index and leases (6.4), and writing to the
//! leader's disk in parallel (10.2.1).
//!
//! The crate is a pure state machine: no I/O, no clock, no threads. [`RaftNode::step`] takes the time and one [`Event`], and
//! returns the [`Action`]s to be carried out, in their order. The same seed and the same events give the same actions.
//!
//! ```
//! use magpieline_raft::{Action, Config, Event, Outcome, PersistentState, RaftNode};
//!
//! let address = "10.1.0.16:7720".parse().unwrap();
//! let config = Config {
//!     address,
//!     seeds: vec![address],
//!     first_run: true,
//!     // From the system's source of randomness: a node that joins draws its incarnation from it.
//!     seed: 7,
//!     tolerated_failures: 0,
//!     recovery_interval: 4_000_000,
//! };
//! let (mut node, mut actions) = RaftNode::start(0, config, PersistentState::default());
//! let mut now = 0;
//! let mut outcome = None;
//! while outcome.is_none() {
//!     let mut next = Vec::new();
//!     for action in actions {
//!         match action {
//!             Action::Send(_envelope) => {} // to `envelope.to.address`, as it is; it may get lost
//!             // Written as a whole or not at all, then `Persisted`; `WriteFailed` if the disk refuses. Never two at a time.
//!             Action::Write { serial, batch: _ } => next.extend(node.step(now, Event::Persisted { serial })),
//!             Action::Apply { index: _, command } => assert_eq!(command, b"version 1"), // to the state machine
//!             Action::Restore { .. } => {} // the state machine takes on this snapshot
//!             Action::Complete { request_id: 1, outcome: result } => outcome = Some(result),
//!             Action::Complete { .. } => {}
//!         }
//!     }
//!     if node.holds_lease(now) && node.commit_index() == node.applied_index() && now < 2_000_000 {
//!         next.extend(node.step(now, Event::Propose { request_id: 1, command: b"version 1".to_vec() }));
//!         now = 2_000_000;
//!     } else if next.is_empty() {
//!         now = node.next_wake().max(now); // sleep until then, or until an event arrives
//!         next.extend(node.step(now, Event::Tick));
//!     }
//!     actions = next;
//! }
//! assert!(matches!(outcome, Some(Outcome::Committed { .. })));
//! ```
//!
//! Followers apply a command up to one heartbeat (100 ms) after the leader: a message of its own for that would cost more
//! than it brings. The owner may drop messages when a link is full.
//!
//! The owner also sends [`Event::Compact`] with the state machine's state when [`RaftNode::should_compact`] says so,
//! completes an [`Event::Read`] before it answers from its state, and sends [`Event::Leave`] before it stops.
//!
//! Modules, from the bottom up; each uses only those before it:
//!
//! | module | what it holds |
//! | --- | --- |
//! | `types` | node ids, indices, terms and limits |
//! | `voter_set`, `log`, `membership` | the data that is replicated, and the voter sets in it |
//! | `message`, `event` | what goes in and comes out |
//! | `persistence`, `snapshot_chunks`, `progress`, `pending_requests`, `departures`, `leader_state`, `join_state` | the parts of a node's state |
//! | `node` | the node itself, a file for each concern |

#![warn(missing_docs, unreachable_pub)]

mod departures;
mod event;
mod join_state;
mod leader_state;
mod log;
mod membership;
mod message;
mod node;
mod pending_requests;
mod persistence;
mod progress;
mod snapshot_chunks;
mod types;
mod voter_set;

pub use event::{Action, Config, Event, Outcome, Role};
pub use log::{Entry, Payload, Snapshot, LOG_BYTES};
pub use message::{Envelope, Message};
pub use node::{PeerStatus, RaftNode};
pub use persistence::{HardState, PersistentState, WriteBatch};
pub use types::{Index, Micros, NodeId, Term, CHUNK_BYTES, MAX_COMMAND_BYTES, MAX_VOTERS};
pub use voter_set::VoterSet;
