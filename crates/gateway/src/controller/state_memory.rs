//! The memory that a controller's state takes: it is not there for the documents that operators send.

use super::ControllerState;
use magpieline_raft::LOG_BYTES;

/// The newest configuration takes so many times the bytes of its text: the replicated state, its snapshot, the copies of it in the
/// log, and what is parsed of the last valid document.
const CONFIG_FACTOR: usize = 8;

/// Returns the bytes that the state takes, roughly: the newest configuration, those that proxies may still have, and the log.
pub(super) fn bytes(state: &ControllerState) -> u64 {
    let newest = state.control.config.as_ref();
    let config_bytes = newest.map_or(0, |config| CONFIG_FACTOR * config.text.len());
    let remembered_bytes = state.config_sender.memory_bytes();
    (config_bytes + remembered_bytes + LOG_BYTES) as u64
}
