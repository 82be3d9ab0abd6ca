//! What the sorting machines agree on: the newest configuration, and for each service which version stands and how
//! far its rollout is. A plain state machine: the same commands in the same order give the same state everywhere.

use crate::delta;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How far a rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The new version is on trial beside the old one.
    Trial,
    /// Decided for: counters stop sending to the old version and finish what they have there.
    Moving,
    /// Nothing goes to the old version any more.
    Delivered,
    /// Decided against: the old version stands.
    Returned,
}

/// An order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    pub to: String,
    /// Within this many microseconds of the order it should be delivered.
    pub within: u64,
    pub phase: Phase,
    /// Place of the order in the log; tells orders for the same version apart.
    pub order: u64,
}

/// How a service stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The version that carries the service; none until one has been seen alone.
    pub version: Option<String>,
    /// The newest order.
    pub rollout: Option<Rollout>,
    /// Versions that were returned; they get nothing until they are ordered again.
    pub barred: Vec<String>,
}

/// A configuration as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    pub number: u64,
    pub text: Arc<str>,
}

/// All that is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    pub edition: Option<Kept>,
    pub services: BTreeMap<String, Standing>,
}

/// A change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A configuration; without effect unless its number is the highest.
    Replace(Kept),
    /// An order to move a service.
    Begin { service: String, to: String, within: u64 },
    /// A rollout gets on; without effect unless it is this order's and the step is one that may follow.
    Advance { service: String, order: u64, phase: Phase },
    /// A service was seen with one version alone; without effect if one is known.
    Stands { service: String, version: String },
}

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Edition,
    Service,
    /// Nothing: it was overtaken, or came twice.
    None,
}

impl Records {
    /// Carries a command out. `index` is its place in the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Effect {
        match command {
            Command::Replace(kept) => {
                if self.edition.as_ref().is_some_and(|held| held.number >= kept.number) {
                    return Effect::None;
                }
                self.edition = Some(kept.clone());
                Effect::Edition
            }
            Command::Begin { service, to, within } => {
                let standing = self.services.entry(service.clone()).or_default();
                let under_way = |r: &Rollout| matches!(r.phase, Phase::Trial | Phase::Moving);
                if standing.rollout.as_ref().is_some_and(under_way) || standing.version.as_ref() == Some(to) {
                    return Effect::None;
                }
                standing.barred.retain(|v| v != to);
                standing.rollout =
                    Some(Rollout { to: to.clone(), within: *within, phase: Phase::Trial, order: index });
                Effect::Service
            }
            Command::Advance { service, order, phase } => {
                let Some(standing) = self.services.get_mut(service) else { return Effect::None };
                let Some(rollout) = standing.rollout.as_mut().filter(|r| r.order == *order) else {
                    return Effect::None;
                };
                let follows = matches!(
                    (rollout.phase, phase),
                    (Phase::Trial, Phase::Moving | Phase::Returned)
                        | (Phase::Moving, Phase::Delivered | Phase::Returned)
                );
                if !follows {
                    return Effect::None;
                }
                rollout.phase = *phase;
                match phase {
                    Phase::Delivered => {
                        let old = standing.version.replace(rollout.to.clone());
                        standing.barred.extend(old);
                    }
                    Phase::Returned => standing.barred.push(rollout.to.clone()),
                    Phase::Trial | Phase::Moving => {}
                }
                // More than a few are never met again.
                let beyond = standing.barred.len().saturating_sub(MOST_BARRED);
                standing.barred.drain(..beyond);
                Effect::Service
            }
            Command::Stands { service, version } => {
                let standing = self.services.entry(service.clone()).or_default();
                if standing.version.is_some() {
                    return Effect::None;
                }
                standing.version = Some(version.clone());
                Effect::Service
            }
        }
    }

    /// All of it in bytes, for a snapshot.
    pub fn pack(&self) -> Vec<u8> {
        delta::pack(postcard::to_stdvec(self).expect("plain data can be written"))
    }

    /// Reads what [`Records::pack`] wrote.
    pub fn unpack(bytes: &[u8]) -> Option<Records> {
        postcard::from_bytes(&delta::unpack(bytes)?).ok()
    }
}

/// Versions of a service that are remembered as barred.
const MOST_BARRED: usize = 8;

impl Command {
    pub fn pack(&self) -> Vec<u8> {
        delta::pack(postcard::to_stdvec(self).expect("plain data can be written"))
    }

    pub fn unpack(bytes: &[u8]) -> Option<Command> {
        postcard::from_bytes(&delta::unpack(bytes)?).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn replace(number: u64, text: &str) -> Command {
        Command::Replace(Kept { number, text: text.into() })
    }

    /// Guards against an older configuration, late or sent again, that takes the place of a newer one.
    #[test]
    fn the_highest_edition_holds_whatever_the_order() {
        let mut records = Records::default();
        let effects = [replace(7, "a"), replace(5, "b"), replace(7, "c"), replace(9, "d")]
            .map(|command| records.apply(1, &command));
        assert_eq!(effects, [Effect::Edition, Effect::None, Effect::None, Effect::Edition]);
        assert_eq!(records.edition.as_ref().map(|k| &*k.text), Some("d"));
        assert_eq!(Records::unpack(&records.pack()), Some(records));
    }

    /// Guards against a late word of an old leader that decides a newer order, and against steps back.
    #[test]
    fn a_rollout_takes_only_steps_that_may_follow_and_only_its_own() {
        let mut records = Records::default();
        let advance = |order, phase| Command::Advance { service: "s".into(), order, phase };
        let begin = |to: &str| Command::Begin { service: "s".into(), to: to.into(), within: 1 };
        records.apply(1, &Command::Stands { service: "s".into(), version: "v1".into() });
        records.apply(2, &begin("v2"));
        assert_eq!(records.apply(3, &begin("v2")), Effect::None, "the same order again");
        assert_eq!(records.apply(4, &advance(2, Phase::Delivered)), Effect::None, "no move before");
        records.apply(5, &advance(2, Phase::Returned));
        assert_eq!(records.apply(6, &advance(2, Phase::Moving)), Effect::None, "decided");
        records.apply(7, &begin("v3"));
        assert_eq!(records.apply(8, &advance(2, Phase::Moving)), Effect::None, "another order");
        records.apply(9, &advance(7, Phase::Moving));
        records.apply(10, &advance(7, Phase::Delivered));
        let standing = &records.services["s"];
        assert_eq!(standing.version.as_deref(), Some("v3"));
        assert_eq!(standing.barred, ["v2", "v1"]);
    }
}
