//! What is decided of an attempt before it starts.

use magpieline_config::route_table::Route;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// What an attempt is for, and by what it was decided on.
pub(super) struct Attempt {
    /// The endpoint's handle, which may pass to another endpoint while a connection comes up.
    pub(super) endpoint: usize,
    /// The endpoint's id.
    pub(super) id: Arc<str>,
    pub(super) address: SocketAddrV4,
    pub(super) service: Arc<str>,
    pub(super) route: Arc<Route>,
    /// The version of the configuration by which it goes there.
    pub(super) config_version: u64,
    /// It goes to a version on trial.
    pub(super) is_trial: bool,
    /// It is the first attempt of its request.
    pub(super) is_first: bool,
    /// The endpoint was warming up when it was chosen.
    pub(super) is_warming_up: bool,
}
