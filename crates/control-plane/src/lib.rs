//! How proxies and controllers work together: the replicated state, the messages, and the sessions between them.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`codec`] | format numbers of what is stored and sent |
//! | [`delta`] | a text as its difference from another one; compression |
//! | [`digest`] | whether two configurations are the same |
//! | [`deduplication`] | whether an operator's order is the same one again |
//! | [`state_machine`] | the replicated state, and the commands that change it |
//! | [`messages`] | what proxies and controllers say to each other |
//! | [`config_sender`] | how configurations go out to proxies, in chunks behind all that is more urgent |
//! | [`config_receiver`] | how a proxy puts the chunks together |
//! | [`endpoint_list`] | the leader's copy of the platform's list, and what proxies are sent of it |
//! | [`endpoint_view`] | what a proxy knows of the endpoints, merged from all that it hears |
//! | [`controller_client`] | a proxy's session with the leader, found through seeds that may be out of date |
//! | [`reading_schedule`] | when a proxy reads the platform's list itself |
//! | [`proxy_registry`] | the leader's view of the proxies |
//!
//! No I/O and no clock: events and the time go in, actions come out.

#![warn(missing_docs, unreachable_pub)]

pub mod codec;
pub mod config_receiver;
pub mod config_sender;
pub mod controller_client;
pub mod deduplication;
pub mod delta;
pub mod digest;
pub mod endpoint_list;
pub mod endpoint_view;
pub mod messages;
pub mod proxy_registry;
pub mod reading_schedule;
pub mod state_machine;

/// An instant on the monotonic clock of the machine that runs the code, or a span of time, in microseconds.
pub type Micros = u64;
