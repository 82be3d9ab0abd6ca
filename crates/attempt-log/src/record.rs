//! What is kept on disk, where there is one: enough to know after a crash what may have run.

use crate::request::{FirstAttempt, Idempotency};
use serde::{Deserialize, Serialize};

/// A record of the journal. Its serialized names are those of the first release.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A request is about to be sent.
    Sent {
        /// The request's id.
        id: u64,
        /// How it may be repeated.
        #[serde(rename = "kind")]
        idempotency: Idempotency,
        /// When and where it is sent.
        #[serde(rename = "risk")]
        attempt: FirstAttempt,
    },
    /// An attempt has ended, and never ran.
    #[serde(rename = "Never")]
    NeverRan {
        /// The request's id.
        id: u64,
    },
}
