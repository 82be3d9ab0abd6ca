//! The replicated state: the newest configuration, for each service which version serves it and how far its rollout is, and
//! which documents and orders have been accepted before, so that each is accepted once.
//!
//! A plain state machine: the same commands in the same order give the same state on every controller. What an operator is told
//! is what applying the command did ([`Effect`]), never that it was committed.

use crate::codec::{self, DecodeError, Encoded};
use crate::digest::Digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Configuration versions whose documents are remembered: hundreds of changes come in a day, and an old one may come again all
/// day long. 43 KB at most.
pub const MAX_REMEMBERED_CONFIGS: usize = 1024;
/// Orders of a service that are remembered, one for each content. One is sent again for a few seconds, in which hardly two can be accepted one after
/// the other.
pub const MAX_REMEMBERED_ORDERS: usize = 16;
/// Versions of a service that are remembered as rejected.
const MAX_REJECTED_VERSIONS: usize = 8;

/// How far a rollout is. The order of the variants is the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The new version is on trial beside the old one.
    Trial,
    /// Decided for: proxies send nothing more to the old version, and finish what they have there.
    Promoting,
    /// Nothing goes to the old version any more.
    Completed,
    /// Decided against: the old version stays.
    RolledBack,
}

impl Phase {
    /// Whether a rollout in this phase is under way.
    pub fn is_active(self) -> bool {
        match self {
            Phase::Trial | Phase::Promoting => true,
            Phase::Completed | Phase::RolledBack => false,
        }
    }
}

/// A service's move to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version to move to.
    pub target_version: String,
    /// Microseconds from the order within which it should be completed.
    pub within: u64,
    /// How far it is.
    pub phase: Phase,
    /// The log index of its order; tells rollouts to the same version apart.
    pub id: u64,
}

/// The state of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// The version that serves it; none until one was seen alone.
    pub version: Option<String>,
    /// The newest rollout.
    pub rollout: Option<Rollout>,
    /// Versions that were rolled back or replaced; they get nothing until they are ordered again.
    pub rejected_versions: Vec<String>,
}

/// A configuration as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The version in it (`edition` in the document).
    pub version: u64,
    /// The document.
    pub text: Arc<str>,
}

/// A rollout order that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// The version to move to.
    pub target_version: String,
    /// Microseconds, as ordered.
    pub within: u64,
    /// Its log index.
    pub id: u64,
    /// The time of day at the controller that proposed it, in microseconds since 1970; 0 where it isn't known.
    pub accepted_at: u64,
}

/// For how long an accepted order has been accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAge {
    /// The order's id.
    pub id: u64,
    /// Microseconds for which it had been accepted at least when this was proposed.
    pub at_least: u64,
}

/// Begins a state with recorded ages. One without them is written as by earlier releases, which began it with the tag of an
/// option: 0 or 1.
const WITH_ORDER_AGES: u8 = 2;

/// All of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The configuration in force.
    pub config: Option<StoredConfig>,
    /// The services, by name.
    pub services: BTreeMap<String, ServiceState>,
    /// Which document was acknowledged under which version, whether it ever came into force or was superseded before: the
    /// newest [`MAX_REMEMBERED_CONFIGS`] versions.
    pub acknowledged_configs: BTreeMap<u64, Digest>,
    /// Nothing is known of versions below this one any more: they are acknowledged without a comparison.
    pub known_from: u64,
    /// The last accepted orders of each service, one for each content and [`MAX_REMEMBERED_ORDERS`] at most, in log order.
    pub orders: BTreeMap<String, Vec<AcceptedOrder>>,
    /// By id, the age that was last recorded of each of these orders, in microseconds; none before the first record.
    pub order_ages: BTreeMap<u64, u64>,
}

/// What an order is to the last accepted one of its content, as its proposer knows it. Without effect if that is no longer the last
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRelation {
    /// A new one: the time of the order with this id is over. 0 where none is known, or it may not be over.
    NewAfter(u64),
    /// A copy of the order with this id. It begins nothing; as its own copies may come later than those of the first, it is
    /// remembered.
    CopyOf(u64),
}

/// A change of the state. New commands go to the end: the order of the variants is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration; without effect unless its version is the highest.
    ReplaceConfig(StoredConfig),
    /// Begins a rollout, as the first release proposed it; only read from its logs.
    BeginRolloutV1 {
        /// The service to move.
        service: String,
        /// The version to move it to.
        target_version: String,
        /// Microseconds that it may take.
        within: u64,
    },
    /// Moves a rollout on; without effect unless it is this one, and the phase is one that may follow.
    AdvanceRollout {
        /// The service.
        service: String,
        /// The rollout's id.
        id: u64,
        /// Its next phase.
        phase: Phase,
    },
    /// Sets the version of a service that was seen with one version alone; without effect if one is known.
    SetVersion {
        /// The service.
        service: String,
        /// Its version.
        version: String,
    },
    /// Begins a rollout, as earlier releases proposed it that took what they couldn't tell for a copy; only read from their logs.
    BeginRolloutV2 {
        /// The service to move.
        service: String,
        /// The version to move it to.
        target_version: String,
        /// Microseconds that it may take.
        within: u64,
        /// The last order of the same content that the proposer took for finished, as its time was over; 0 if none.
        finished_id: u64,
        /// The proposer's time of day, in microseconds since 1970.
        accepted_at: u64,
    },
    /// An order to begin a rollout. Two copies of one order never both begin, whoever proposes them and whenever they are
    /// committed.
    BeginRollout {
        /// The service to move.
        service: String,
        /// The version to move it to.
        target_version: String,
        /// Microseconds that it may take.
        within: u64,
        /// What the order is to the last one of its content.
        relation: OrderRelation,
        /// The proposer's time of day when it arrived there, in microseconds since 1970.
        accepted_at: u64,
    },
    /// Records for how long orders have been accepted, so that whoever leads next need not guess it.
    RecordOrderAges {
        /// The ages.
        ages: Vec<OrderAge>,
    },
}

/// What applying a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A configuration came into force.
    ConfigReplaced,
    /// The state of a service changed.
    ServiceChanged,
    /// The same document or order was accepted before, or a rollout as ordered is under way: acknowledged, and nothing begins.
    Duplicate,
    /// Acknowledged, and nothing had to change: a higher version is in force, or the service has the version ordered.
    Unchanged,
    /// Rejected: another document was acknowledged under this version.
    VersionConflict(Digest),
    /// Rejected: this other rollout of the service is under way.
    RolloutConflict(Rollout),
    /// Nothing: a rollout's step, or a service's version, that was overtaken.
    Ignored,
    /// Nothing: an order of the same content was accepted that the proposer had not taken for finished. It is to be decided
    /// anew whether this one is a copy of it.
    Overtaken,
    /// Nothing that anyone asked for: ages of orders are on record.
    OrderAgesRecorded,
}

impl Effect {
    /// Whether the operator who asked for it is to be told that it was accepted.
    pub fn is_accepted(&self) -> bool {
        match self {
            Effect::ConfigReplaced
            | Effect::ServiceChanged
            | Effect::Duplicate
            | Effect::Unchanged => true,
            Effect::VersionConflict(_)
            | Effect::RolloutConflict(_)
            | Effect::Ignored
            | Effect::Overtaken
            | Effect::OrderAgesRecorded => false,
        }
    }
}

impl ServiceState {
    /// Moves the rollout on, if it is this one and the phase may follow.
    fn advance_rollout(&mut self, id: u64, phase: Phase) -> Effect {
        let Some(rollout) = self.rollout.as_mut().filter(|rollout| rollout.id == id) else {
            return Effect::Ignored;
        };
        let may_follow = matches!(
            (rollout.phase, phase),
            (Phase::Trial, Phase::Promoting | Phase::RolledBack)
                | (Phase::Promoting, Phase::Completed | Phase::RolledBack)
        );
        if !may_follow {
            return Effect::Ignored;
        }
        rollout.phase = phase;
        match phase {
            Phase::Completed => {
                let replaced = self.version.replace(rollout.target_version.clone());
                self.rejected_versions.extend(replaced);
            }
            Phase::RolledBack => self.rejected_versions.push(rollout.target_version.clone()),
            Phase::Trial | Phase::Promoting => {}
        }
        drop_oldest(&mut self.rejected_versions, MAX_REJECTED_VERSIONS);
        Effect::ServiceChanged
    }
}

/// Drops elements from the front until at most `max` are left.
fn drop_oldest<T>(list: &mut Vec<T>, max: usize) {
    let excess = list.len().saturating_sub(max);
    list.drain(..excess);
}

impl ControlState {
    /// Applies a command; `index` is its position in the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Effect {
        match command {
            Command::ReplaceConfig(config) => self.replace_config(config),
            Command::BeginRolloutV1 {
                service,
                target_version,
                within,
            } => {
                let order = AcceptedOrder {
                    target_version: target_version.clone(),
                    within: *within,
                    id: index,
                    accepted_at: 0,
                };
                // The first release took an order for a new one unless it was under way.
                self.begin_rollout_v2(service, order, index)
            }
            Command::BeginRolloutV2 {
                service,
                target_version,
                within,
                finished_id,
                accepted_at,
            } => {
                let order = AcceptedOrder {
                    target_version: target_version.clone(),
                    within: *within,
                    id: index,
                    accepted_at: *accepted_at,
                };
                self.begin_rollout_v2(service, order, *finished_id)
            }
            Command::BeginRollout {
                service,
                target_version,
                within,
                relation,
                accepted_at,
            } => {
                let order = AcceptedOrder {
                    target_version: target_version.clone(),
                    within: *within,
                    id: index,
                    accepted_at: *accepted_at,
                };
                self.begin_rollout(service, order, *relation)
            }
            Command::AdvanceRollout { service, id, phase } => {
                match self.services.get_mut(service) {
                    Some(service) => service.advance_rollout(*id, *phase),
                    None => Effect::Ignored,
                }
            }
            Command::SetVersion { service, version } => self.set_version(service, version),
            Command::RecordOrderAges { ages } => self.record_order_ages(ages),
        }
    }

    fn set_version(&mut self, service: &str, version: &str) -> Effect {
        let service = self.services.entry(service.to_owned()).or_default();
        if service.version.is_some() {
            return Effect::Ignored;
        }
        service.version = Some(version.to_owned());
        Effect::ServiceChanged
    }

    /// Returns what became of a document under a version, where that can't change any more.
    pub fn known_outcome(&self, version: u64, digest: &Digest) -> Option<Effect> {
        match self.acknowledged_configs.get(&version) {
            Some(known) if known == digest => Some(Effect::Duplicate),
            Some(known) => Some(Effect::VersionConflict(*known)),
            None if version < self.known_from => Some(Effect::Unchanged),
            None => None,
        }
    }

    /// Returns the version under which a document was acknowledged, if it was.
    pub fn acknowledged_version(&self, digest: &Digest) -> Option<u64> {
        let mut newest_first = self.acknowledged_configs.iter().rev();
        newest_first
            .find(|(_, known)| *known == digest)
            .map(|(version, _)| *version)
    }

    fn replace_config(&mut self, config: &StoredConfig) -> Effect {
        let digest = Digest::of(&config.text);
        if let Some(effect) = self.known_outcome(config.version, &digest) {
            return effect;
        }
        self.remember_config(config.version, digest);
        let is_superseded = |current: &StoredConfig| current.version > config.version;
        if self.config.as_ref().is_some_and(is_superseded) {
            return Effect::Unchanged;
        }
        self.config = Some(config.clone());
        Effect::ConfigReplaced
    }

    fn remember_config(&mut self, version: u64, digest: Digest) {
        self.acknowledged_configs.insert(version, digest);
        while self.acknowledged_configs.len() > MAX_REMEMBERED_CONFIGS {
            if let Some((lowest, _)) = self.acknowledged_configs.pop_first() {
                self.known_from = self.known_from.max(lowest + 1);
            }
        }
    }

    /// Returns the last accepted order of this content.
    pub fn accepted_order(
        &self,
        service: &str,
        target_version: &str,
        within: u64,
    ) -> Option<&AcceptedOrder> {
        let mut newest_first = self.orders.get(service)?.iter().rev();
        newest_first.find(|order| order.target_version == target_version && order.within == within)
    }

    /// Returns the service's rollout that is under way.
    pub fn active_rollout(&self, service: &str) -> Option<&Rollout> {
        let rollout = self.services.get(service)?.rollout.as_ref();
        rollout.filter(|rollout| rollout.phase.is_active())
    }

    /// Returns the id of the last accepted order of this one's content; 0 if there is none.
    fn previous_id(&self, service: &str, order: &AcceptedOrder) -> u64 {
        let previous = self.accepted_order(service, &order.target_version, order.within);
        previous.map_or(0, |previous| previous.id)
    }

    fn begin_rollout(
        &mut self,
        service: &str,
        order: AcceptedOrder,
        relation: OrderRelation,
    ) -> Effect {
        let content = (&order.target_version, order.within);
        let previous = self.previous_id(service, &order);
        let active = self.active_rollout(service);
        let is_under_way =
            active.is_some_and(|active| (&active.target_version, active.within) == content);
        match (relation, active) {
            (OrderRelation::CopyOf(original), _) if original != previous => Effect::Overtaken,
            (OrderRelation::CopyOf(_), _) => {
                self.remember_order(service, order);
                Effect::Duplicate
            }
            // Whoever asks for what is under way has it, however long ago that was ordered.
            (OrderRelation::NewAfter(_), _) if is_under_way => {
                self.remember_order(service, order);
                Effect::Duplicate
            }
            (OrderRelation::NewAfter(finished), _) if previous > finished => Effect::Overtaken,
            (OrderRelation::NewAfter(_), Some(other)) => Effect::RolloutConflict(other.clone()),
            (OrderRelation::NewAfter(_), None) => {
                self.remember_order(service, order.clone());
                self.start_trial(service, order)
            }
        }
    }

    /// Begins a rollout as earlier releases did: an order is a duplicate if the last one of its content came after `finished_id`.
    fn begin_rollout_v2(
        &mut self,
        service: &str,
        order: AcceptedOrder,
        finished_id: u64,
    ) -> Effect {
        let content = (&order.target_version, order.within);
        let is_copy = self.previous_id(service, &order) > finished_id;
        match self.active_rollout(service) {
            Some(active) if (&active.target_version, active.within) == content => {
                return Effect::Duplicate
            }
            _ if is_copy => return Effect::Duplicate,
            Some(other) => return Effect::RolloutConflict(other.clone()),
            None => {}
        }
        let accepted = self.orders.entry(service.to_owned()).or_default();
        accepted.push(order.clone());
        drop_oldest(accepted, MAX_REMEMBERED_ORDERS);
        self.start_trial(service, order)
    }

    fn start_trial(&mut self, service: &str, order: AcceptedOrder) -> Effect {
        let service = self.services.entry(service.to_owned()).or_default();
        if service.version.as_ref() == Some(&order.target_version) {
            return Effect::Unchanged;
        }
        service
            .rejected_versions
            .retain(|version| *version != order.target_version);
        let AcceptedOrder {
            target_version,
            within,
            id,
            ..
        } = order;
        service.rollout = Some(Rollout {
            target_version,
            within,
            phase: Phase::Trial,
            id,
        });
        Effect::ServiceChanged
    }

    /// Remembers an order in place of an earlier one of its content.
    fn remember_order(&mut self, service: &str, order: AcceptedOrder) {
        let accepted = self.orders.entry(service.to_owned()).or_default();
        accepted.retain(|earlier| {
            earlier.target_version != order.target_version || earlier.within != order.within
        });
        accepted.push(order);
        drop_oldest(accepted, MAX_REMEMBERED_ORDERS);
        let remembered = self.remembered_ids();
        self.order_ages.retain(|id, _| remembered.contains(id));
    }

    fn remembered_ids(&self) -> BTreeSet<u64> {
        let orders = self.orders.values().flatten();
        orders.map(|order| order.id).collect()
    }

    fn record_order_ages(&mut self, ages: &[OrderAge]) -> Effect {
        let remembered = self.remembered_ids();
        for age in ages.iter().filter(|age| remembered.contains(&age.id)) {
            let recorded = self.order_ages.entry(age.id).or_default();
            *recorded = age.at_least.max(*recorded);
        }
        Effect::OrderAgesRecorded
    }

    /// Encodes the state, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let state = (
            &self.config,
            &self.services,
            &self.acknowledged_configs,
            &self.known_from,
            &self.orders,
        );
        if self.order_ages.is_empty() {
            codec::encode(&state)
        } else {
            codec::encode(&(WITH_ORDER_AGES, state, &self.order_ages))
        }
    }

    /// Decodes what [`ControlState::encode`] of this release or an earlier one wrote.
    ///
    /// # Errors
    ///
    /// If the bytes are no state, or of a newer release.
    pub fn decode(bytes: &[u8]) -> Result<ControlState, DecodeError> {
        const SUBJECT: &str = "snapshot's state";
        match codec::read_format(SUBJECT, bytes)? {
            Encoded::Unversioned(value) => {
                codec::decode_exact::<ControlStateV1>(SUBJECT, value).map(ControlState::from)
            }
            Encoded::Current(value) => match value.split_first() {
                Some((&WITH_ORDER_AGES, rest)) => {
                    let (state, order_ages) = codec::decode_exact(SUBJECT, rest)?;
                    Ok(StoredState::with_order_ages(state, order_ages))
                }
                _ => codec::decode_exact(SUBJECT, &value)
                    .map(|state| StoredState::with_order_ages(state, BTreeMap::new())),
            },
        }
    }
}

/// The state as it is written, but for the recorded ages.
#[derive(Deserialize)]
struct StoredState {
    config: Option<StoredConfig>,
    services: BTreeMap<String, ServiceState>,
    acknowledged_configs: BTreeMap<u64, Digest>,
    known_from: u64,
    orders: BTreeMap<String, Vec<AcceptedOrder>>,
}

impl StoredState {
    fn with_order_ages(self, order_ages: BTreeMap<u64, u64>) -> ControlState {
        ControlState {
            config: self.config,
            services: self.services,
            acknowledged_configs: self.acknowledged_configs,
            known_from: self.known_from,
            orders: self.orders,
            order_ages,
        }
    }
}

/// The state as the first release wrote it.
#[derive(Deserialize)]
struct ControlStateV1 {
    config: Option<StoredConfig>,
    services: BTreeMap<String, ServiceState>,
}

impl From<ControlStateV1> for ControlState {
    /// What the first release had acknowledged under lower versions is not known.
    fn from(first: ControlStateV1) -> ControlState {
        let mut state = ControlState {
            config: first.config,
            services: first.services,
            ..ControlState::default()
        };
        if let Some(config) = &state.config {
            state
                .acknowledged_configs
                .insert(config.version, Digest::of(&config.text));
            state.known_from = config.version;
        }
        for (name, service) in &state.services {
            if let Some(Rollout {
                target_version,
                within,
                id,
                ..
            }) = service.rollout.clone()
            {
                let order = AcceptedOrder {
                    target_version,
                    within,
                    id,
                    accepted_at: 0,
                };
                state.orders.insert(name.clone(), vec![order]);
            }
        }
        state
    }
}

impl Command {
    /// Encodes the command, for the log.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes what [`Command::encode`] of this release or an earlier one wrote.
    ///
    /// # Errors
    ///
    /// If the bytes are no command, or of a newer release.
    pub fn decode(bytes: &[u8]) -> Result<Command, DecodeError> {
        const SUBJECT: &str = "command";
        match codec::read_format(SUBJECT, bytes)? {
            // The first release's commands are the first of this one's.
            Encoded::Unversioned(value) => codec::decode_exact(SUBJECT, value),
            Encoded::Current(value) => codec::decode_exact(SUBJECT, &value),
        }
    }
}
