//! Every way in which a forward can end, and what each means to the decisions.

use bytes::Bytes;
use magpieline::interface::Ending;

/// How a forward's connection ended.
#[derive(Clone, Debug)]
pub enum End {
    /// An answer that counts, whole.
    Answered { kind: Option<Bytes>, body: Bytes },
    /// Any other whole answer that does not prove that the hit was turned away.
    Failed,
    /// The node's word that it was turned away unseen.
    TurnedAway,
    /// The connection was refused, or could not be made at once.
    Refused,
    /// The connection did not come up in time.
    NeverUp,
    /// No descriptor was left to connect with.
    NoRoom,
    /// It ended, or was given up, before the last byte was written: the node never had the whole hit.
    CutBefore,
    /// It ended after that, before the answer or within it.
    CutAfter,
    /// What came is no answer of the protocol.
    Unreadable,
    /// The answer's body is larger than the protocol allows.
    TooLarge,
    /// Nothing whole came in the time allowed.
    Silent,
    /// Whoever it was for has called it off on the way: it may have run, and nothing is held against the node.
    CalledOff,
    /// This program failed while it was on its way: it may have run.
    Fault,
    /// The node has no address here: nothing was sent.
    Nowhere,
    /// As many as may be are on their way to it: nothing was sent.
    Busy,
}

impl End {
    /// The one place where it is said what may have run.
    pub fn ending(&self) -> Ending {
        match self {
            End::Answered { .. } => Ending::Delivered,
            End::Failed => Ending::Errored,
            End::Unreadable | End::TooLarge => Ending::Spoilt,
            End::TurnedAway | End::Busy => Ending::TurnedAway,
            End::Refused | End::NeverUp | End::CutBefore => Ending::NoConnection,
            End::CutAfter | End::Fault => Ending::Broken,
            End::Silent => Ending::NoAnswer,
            End::CalledOff => Ending::CalledOff,
            End::NoRoom | End::Nowhere => Ending::NeverSent,
        }
    }
}

#[cfg(test)]
mod tests;
