//! What operators may ask of the agent.

use serde::{Deserialize, Serialize};

/// A call of an operator, one line of JSON each.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "call")]
pub enum Call {
    /// Checks a file and gives it a number.
    Stage {
        /// The file.
        text: String,
        /// The operator's reason.
        why: String,
    },
    /// Applies a staged version.
    Apply {
        /// Its number.
        number: u64,
    },
    /// Ends the watch of the version that was applied: it stays.
    Keep {
        /// The operator's reason.
        why: String,
    },
    /// Goes back to the version before.
    Undo {
        /// The operator's reason.
        why: String,
    },
    /// Which version runs.
    Status,
    /// All versions that are remembered.
    History,
    /// The text of a version.
    Text {
        /// Its number.
        number: u64,
    },
    /// How the levels stand.
    Levels,
    /// Holds a level for some time.
    HoldLevel {
        /// The level's name.
        level: String,
        /// For so long, in seconds.
        seconds: f64,
    },
    /// Ends the holding of a level.
    ReleaseLevel,
}
