//! How a proxy receives configurations: chunks are put together, and the difference is applied to the configuration in force.

use crate::delta;
use crate::messages::{ConfigChunk, MAX_FRAME_BYTES};
use crate::state_machine::StoredConfig;

/// The configuration that is arriving in one session; a new session begins with a new one.
#[derive(Debug, Default)]
pub struct ConfigReceiver {
    version: u64,
    base_version: Option<u64>,
    /// What has arrived; its length is where the next chunk begins.
    bytes: Vec<u8>,
}

/// What a chunk led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// More chunks are to come; so many bytes are here.
    Incomplete(u32),
    /// A complete configuration, newer than the one in force.
    Complete(StoredConfig),
    /// Nothing: as new a configuration is in force.
    Stale,
    /// It does not apply to the configuration in force; all of it is needed.
    BaseMismatch,
}

impl ConfigReceiver {
    /// Takes in a chunk; `current` is the configuration in force.
    pub fn receive(&mut self, current: Option<&StoredConfig>, chunk: &ConfigChunk) -> Received {
        if current.is_some_and(|current| current.version >= chunk.version) {
            *self = ConfigReceiver::default();
            return Received::Stale;
        }
        if chunk.offset == 0 {
            (self.version, self.base_version) = (chunk.version, chunk.base_version);
            self.bytes.clear();
        }
        if !self.is_next(chunk) {
            *self = ConfigReceiver::default();
            return Received::BaseMismatch;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if self.bytes.len() < chunk.total_bytes as usize {
            return Received::Incomplete(self.bytes.len() as u32);
        }
        let difference = std::mem::take(self).bytes;
        let base = match current {
            _ if chunk.base_version.is_none() => Some(""),
            Some(current) if Some(current.version) == chunk.base_version => Some(&*current.text),
            _ => None,
        };
        match base.and_then(|base| delta::apply(base, &difference, MAX_FRAME_BYTES)) {
            Some(text) => Received::Complete(StoredConfig {
                version: chunk.version,
                text: text.into(),
            }),
            None => Received::BaseMismatch,
        }
    }

    /// Whether the chunk follows what has arrived, and fits into the total that it states.
    fn is_next(&self, chunk: &ConfigChunk) -> bool {
        let (offset, total) = (chunk.offset as usize, chunk.total_bytes as usize);
        let is_same = (self.version, self.base_version) == (chunk.version, chunk.base_version);
        is_same
            && self.bytes.len() == offset
            && chunk.bytes.len() <= total.saturating_sub(offset)
            && total <= MAX_FRAME_BYTES
    }
}
