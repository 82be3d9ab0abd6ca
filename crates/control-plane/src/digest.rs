//! The digest by which configurations are compared.
//!
//! A configuration is compared by its bytes, not by its meaning: what is read back is then exactly what was acknowledged,
//! fields that this release doesn't know count, and two releases never differ on whether two documents are the same. Callers
//! send a document whose answer was unclear again unchanged.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// SHA-256 of a configuration, displayed as `sha256sum` does.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of a text.
    pub fn of(text: &str) -> Digest {
        Digest(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
