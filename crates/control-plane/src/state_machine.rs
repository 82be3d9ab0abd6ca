//! What the sorting machines agree on: the newest configuration, and for each service which version stands and how
//! far its rollout is; and which documents and orders have been taken before, so that each is taken once. A plain state
//! machine: the same commands in the same order give the same state everywhere. What an operator is told is what
//! applying the command did ([`Effect`]), never that it was agreed on.

use crate::codec::{self, Form, Unreadable};
use crate::deduplication::Digest;
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

/// An order to move a service that has been taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    pub to: String,
    /// Microseconds, as ordered.
    pub within: u64,
    /// Its place in the log.
    pub order: u64,
    /// The time of day at the machine that proposed it, in microseconds since 1970; 0 where it isn't known.
    pub at: u64,
}

/// All that is agreed on. New fields go to the end: [`Records::unpack`] tells the first release's form by where the
/// bytes end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    pub edition: Option<Kept>,
    pub services: BTreeMap<String, Standing>,
    /// Under which numbers which documents were acknowledged, the newest [`MOST_DOCUMENTS`] numbers, whether the document
    /// ever came into force or was overtaken before.
    pub documents: BTreeMap<u64, Digest>,
    /// Of numbers below this one nothing is known any more: they are acknowledged without a comparison.
    pub known_from: u64,
    /// The last [`MOST_ORDERS`] orders of each service that were taken, in the order of the log.
    pub orders: BTreeMap<String, Vec<Taken>>,
}

/// A change. New ones go to the end: what is stored names them by their place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A configuration; without effect unless its number is the highest.
    Replace(Kept),
    /// An order to move a service, as the first release proposed it; only read from its logs.
    Begin {
        service: String,
        to: String,
        within: u64,
    },
    /// A rollout gets on; without effect unless it is this order's and the step is one that may follow.
    Advance {
        service: String,
        order: u64,
        phase: Phase,
    },
    /// A service was seen with one version alone; without effect if one is known.
    Stands { service: String, version: String },
    /// An order to move a service. `after` is the place of the last order of the same content that the proposer held for
    /// another one, as its time was over; 0 if none. So two copies of one order never both begin, whoever proposes them
    /// and whenever they are agreed on. `at` is the proposer's time of day, in microseconds since 1970.
    Order {
        service: String,
        to: String,
        within: u64,
        after: u64,
        at: u64,
    },
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A configuration came into force.
    Edition,
    /// A service stands differently now.
    Service,
    /// The same document, or order, was taken before: acknowledged again, nothing changed.
    Again,
    /// Acknowledged, and nothing had to change: a higher number is in force, or the version ordered stands.
    Idle,
    /// Refused: under this number another document was acknowledged.
    OtherDocument(Digest),
    /// Refused: this other rollout of the service is under way.
    OtherRollout(Rollout),
    /// Nothing: a rollout's step or a sighting that was overtaken.
    None,
}

impl Effect {
    /// Whether the operator who asked for it is to be told that it was taken.
    pub fn is_taken(&self) -> bool {
        match self {
            Effect::Edition | Effect::Service | Effect::Again | Effect::Idle => true,
            Effect::OtherDocument(_) | Effect::OtherRollout(_) | Effect::None => false,
        }
    }
}

/// Numbers whose documents are remembered: hundreds of changes come in a day, and an old one may come again all day
/// long. 43 KB at most.
pub const MOST_DOCUMENTS: usize = 1024;
/// Orders of a service that are remembered. One is sent again for a few seconds, in which hardly two can be taken one
/// after the other.
pub const MOST_ORDERS: usize = 16;

impl Records {
    /// Carries a command out. `index` is its place in the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Effect {
        match command {
            Command::Replace(kept) => self.replace(kept),
            Command::Begin {
                service,
                to,
                within,
            } => {
                // The first release took an order for another one unless it was under way.
                self.order(
                    service,
                    Taken {
                        to: to.clone(),
                        within: *within,
                        order: index,
                        at: 0,
                    },
                    index,
                )
            }
            Command::Order {
                service,
                to,
                within,
                after,
                at,
            } => self.order(
                service,
                Taken {
                    to: to.clone(),
                    within: *within,
                    order: index,
                    at: *at,
                },
                *after,
            ),
            Command::Advance {
                service,
                order,
                phase,
            } => {
                let Some(standing) = self.services.get_mut(service) else {
                    return Effect::None;
                };
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

    /// What became of a document under a number, where that can't change any more.
    pub fn settled(&self, number: u64, digest: &Digest) -> Option<Effect> {
        match self.documents.get(&number) {
            Some(known) if known == digest => Some(Effect::Again),
            Some(known) => Some(Effect::OtherDocument(*known)),
            None if number < self.known_from => Some(Effect::Idle),
            None => None,
        }
    }

    fn replace(&mut self, kept: &Kept) -> Effect {
        let digest = Digest::of(&kept.text);
        if let Some(effect) = self.settled(kept.number, &digest) {
            return effect;
        }
        self.remember(kept.number, digest);
        if self
            .edition
            .as_ref()
            .is_some_and(|held| held.number > kept.number)
        {
            return Effect::Idle;
        }
        self.edition = Some(kept.clone());
        Effect::Edition
    }

    fn remember(&mut self, number: u64, digest: Digest) {
        self.documents.insert(number, digest);
        while self.documents.len() > MOST_DOCUMENTS {
            if let Some((lowest, _)) = self.documents.pop_first() {
                self.known_from = self.known_from.max(lowest + 1);
            }
        }
    }

    /// The last order of this content that was taken.
    pub fn taken(&self, service: &str, to: &str, within: u64) -> Option<&Taken> {
        self.orders
            .get(service)?
            .iter()
            .rev()
            .find(|t| t.to == to && t.within == within)
    }

    /// The rollout of the service that is under way.
    pub fn under_way(&self, service: &str) -> Option<&Rollout> {
        let rollout = self.services.get(service)?.rollout.as_ref();
        rollout.filter(|r| matches!(r.phase, Phase::Trial | Phase::Moving))
    }

    fn order(&mut self, service: &str, order: Taken, after: u64) -> Effect {
        let before = self
            .taken(service, &order.to, order.within)
            .map(|t| t.order);
        match self.under_way(service) {
            // Whoever asks for what is under way has it, however long ago that was ordered.
            Some(r) if (&r.to, r.within) == (&order.to, order.within) => return Effect::Again,
            _ if before.is_some_and(|before| before > after) => return Effect::Again,
            Some(other) => return Effect::OtherRollout(other.clone()),
            None => {}
        }
        let taken = self.orders.entry(service.to_owned()).or_default();
        taken.push(order.clone());
        let beyond = taken.len().saturating_sub(MOST_ORDERS);
        taken.drain(..beyond);
        let standing = self.services.entry(service.to_owned()).or_default();
        if standing.version.as_ref() == Some(&order.to) {
            return Effect::Idle;
        }
        standing.barred.retain(|v| *v != order.to);
        let Taken {
            to, within, order, ..
        } = order;
        standing.rollout = Some(Rollout {
            to,
            within,
            phase: Phase::Trial,
            order,
        });
        Effect::Service
    }

    /// All of it in bytes, for a snapshot.
    pub fn pack(&self) -> Vec<u8> {
        codec::pack(self)
    }

    /// Reads what [`Records::pack`] wrote, in this release or an earlier one.
    pub fn unpack(bytes: &[u8]) -> Result<Records, Unreadable> {
        match codec::open(STATE, bytes)? {
            Form::First(value) => codec::whole::<FirstRecords>(STATE, value).map(Records::from),
            Form::Known(value) => codec::whole(STATE, &value),
        }
    }
}

/// What can't be read, in the words of a complaint.
const STATE: &str = "snapshot's state";
const COMMAND: &str = "command";

/// What was agreed on, as the first release wrote it.
#[derive(Deserialize)]
struct FirstRecords {
    edition: Option<Kept>,
    services: BTreeMap<String, Standing>,
}

impl From<FirstRecords> for Records {
    /// What the first release had acknowledged under lower numbers is not known.
    fn from(first: FirstRecords) -> Records {
        let mut records = Records {
            edition: first.edition,
            services: first.services,
            ..Records::default()
        };
        if let Some(held) = &records.edition {
            records
                .documents
                .insert(held.number, Digest::of(&held.text));
            records.known_from = held.number;
        }
        for (service, standing) in &records.services {
            if let Some(Rollout {
                to, within, order, ..
            }) = standing.rollout.clone()
            {
                records.orders.insert(
                    service.clone(),
                    vec![Taken {
                        to,
                        within,
                        order,
                        at: 0,
                    }],
                );
            }
        }
        records
    }
}

/// Versions of a service that are remembered as barred.
const MOST_BARRED: usize = 8;

impl Command {
    pub fn pack(&self) -> Vec<u8> {
        codec::pack(self)
    }

    /// Reads what [`Command::pack`] wrote, in this release or an earlier one.
    pub fn unpack(bytes: &[u8]) -> Result<Command, Unreadable> {
        match codec::open(COMMAND, bytes)? {
            // The first release's commands are the first of this one's.
            Form::First(value) => codec::whole(COMMAND, value),
            Form::Known(value) => codec::whole(COMMAND, &value),
        }
    }
}
