//! The sorting machine: keeps what is agreed on, and while it leads tells the counters.

mod endpoint_discovery;
pub mod leader_redirect;
mod operator_api;
mod proxy_outbox;
mod proxy_sessions;
pub mod raft_driver;
mod rollout_controller;
pub mod store_recovery;

use crate::clock::{self, now, Micros};
use crate::net;
use crate::platform_client::Reading;
use crate::settings::Held;
use jzon::JsonValue as Json;
use magpieline_config::gateway_config::Edition;
use magpieline_config::node_settings::Machine;
use magpieline_config::place::Complaint;
use magpieline_control_plane::config_sender::Feeds;
use magpieline_control_plane::deduplication::Witness;
use magpieline_control_plane::messages::{self, Down, Listing, Stage};
use magpieline_control_plane::proxy_registry::Roster;
use magpieline_control_plane::state_machine::{Command, Effect, Records};
use magpieline_raft::NodeId;
use raft_driver::Council;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};

/// After the last word of the agreement calls in hand are answered for so long: those that wait for a leader find one
/// within it.
const GIVE_WAY: Micros = 100_000;
/// So much of `grace` is left for that and for the end of the process: less on a machine short of processor time.
const GRACE_LEFT: Micros = 1_000_000;

/// What all parts of a sorting machine share. Locks are held for a few microseconds, never across a wait.
pub struct Sorting {
    /// The settings as it began.
    pub machine: Machine,
    /// The settings in force.
    pub settings: Held,
    state: Mutex<State>,
    pub council: Council,
    /// The last sound configuration that an operator sent here: the next one is read after it.
    sent: Mutex<Option<Arc<Edition>>>,
}

/// What a sorting machine knows.
pub struct State {
    pub records: Records,
    /// For how long this process has known of the orders in `records`.
    pub witness: Witness,
    pub roster: Roster,
    /// What counters that hold on to this machine are told.
    mouth: proxy_outbox::Mouth,
    /// How editions go out to them.
    feeds: Feeds,
    /// How far trials are open, by service: the order and its stage.
    stages: BTreeMap<String, (u64, Stage)>,
    /// The list as last read under this leadership.
    pub list: Option<Reading>,
}

impl State {
    fn new(witness: Witness) -> State {
        State {
            records: Records::default(),
            witness,
            roster: Roster::default(),
            mouth: proxy_outbox::Mouth::default(),
            feeds: Feeds::default(),
            stages: BTreeMap::new(),
            list: None,
        }
    }
}

impl Sorting {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Reads and checks a configuration that an operator sends.
    pub fn sound(&self, text: &str) -> Result<Arc<Edition>, Vec<Complaint>> {
        let mut sent = self
            .sent
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let edition = Arc::new(Edition::read_after(&text.into(), sent.as_deref())?);
        *sent = Some(edition.clone());
        Ok(edition)
    }

    /// The address of agents among themselves.
    pub fn inner(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.machine.ip, self.machine.inner_ports.0)
    }

    /// The inner addresses of the other sorting machines that are known here.
    fn others(&self) -> Vec<SocketAddrV4> {
        let seeds = self
            .machine
            .seeds
            .iter()
            .map(|s| SocketAddrV4::new(*s.ip(), self.machine.inner_ports.0));
        let mut others: Vec<SocketAddrV4> =
            self.council.members().into_iter().chain(seeds).collect();
        others.retain(|other| *other != self.inner());
        others.sort();
        others.dedup();
        others
    }

    /// Where operators call the machine that has this inner address: ports are alike on all machines.
    pub fn control_of(&self, inner: SocketAddrV4) -> Option<SocketAddrV4> {
        let own = self.machine.posts.get("control")?;
        Some(SocketAddrV4::new(*inner.ip(), own.port()))
    }

    /// This machine's view of things, for operators.
    pub fn shown(&self) -> Json {
        let view = self.council.view();
        let seats = |seats: &[NodeId]| -> Vec<Json> {
            seats
                .iter()
                .map(|s| jzon::object! { address: s.address.to_string(), life: s.incarnation })
                .collect()
        };
        let at = now();
        let state = self.state();
        let counters: Vec<Json> = state
            .roster
            .all()
            .map(|(node, c)| {
                jzon::object! { counter: node.as_str(), zone: c.zone.as_str(), edition: c.edition,
                heard_ms_ago: at.saturating_sub(c.heard_at) / 1000, there: !c.away(at) }
            })
            .collect();
        let mut services = Json::new_object();
        for (name, standing) in &state.records.services {
            let rollout = standing.rollout.as_ref().map_or(Json::Null, |r| {
                jzon::object! { to: r.to.as_str(), phase: format!("{:?}", r.phase), order: r.order,
                within_ms: r.within / 1000 }
            });
            let shown = jzon::object! { version: standing.version.as_deref(), barred: standing.barred.clone(),
            rollout: rollout };
            let _ = services.insert(name, shown);
        }
        let contacts: Vec<Json> = view
            .contacts
            .iter()
            .map(|c| {
                jzon::object! { address: c.id.address.to_string(), matched: c.match_index,
                votes: c.is_voter, heard_ms_ago: at.saturating_sub(c.heard_at) / 1000 }
            })
            .collect();
        jzon::object! {
            node: self.machine.node.as_str(),
            role: format!("{:?}", view.role),
            leads: self.council.leads(),
            term: view.term,
            leader: view.leader.map(|l| l.to_string()),
            own: jzon::object! { address: view.me.address.to_string(), life: view.me.incarnation },
            voters: seats(&view.voters),
            learners: seats(&view.learners),
            contacts: contacts,
            log: jzon::object! { in_force: view.commit, applied: view.applied, on_disk: view.durable,
                disk_troubled: view.disk_troubled },
            edition: state.records.edition.as_ref().map(|k| k.number),
            telling: state.telling(),
            appliances: state.list.as_ref().map(|l| l.list.len()),
            services: services,
            counters: counters
        }
    }

    /// This machine leads in this term from now on, or no longer. Links of before end; whoever leads now hears from the
    /// counters anew.
    pub fn leads_in(&self, term: Option<u64>) {
        let mut state = self.state();
        if state.roster.leads_in(term) {
            state.hang_up(term);
            state.stages.clear();
            state.list = None;
        }
    }

    /// The agreement's state was read from disk, or sent by the leader.
    pub fn restored(&self, records: Records) {
        let state = &mut *self.state();
        state.records = records;
        state.witness.applied(now(), &state.records);
        state.feed_newest();
    }

    /// A command has been agreed on; what it did.
    pub fn applied(&self, index: u64, command: &Command) -> Effect {
        let state = &mut *self.state();
        let effect = state.records.apply(index, command);
        let service = match command {
            Command::Replace(_) => None,
            Command::Begin { service, .. } | Command::Order { service, .. } => {
                state.witness.applied(now(), &state.records);
                Some(service)
            }
            Command::Advance { service, .. } | Command::Stands { service, .. } => Some(service),
        };
        let down = match &effect {
            Effect::Edition => {
                state.feed_newest();
                None
            }
            Effect::Service => service.and_then(|service| {
                let standing = state.records.services.get(service).cloned();
                standing.map(|s| Down::Services(vec![(service.clone(), s)]))
            }),
            Effect::Again
            | Effect::Idle
            | Effect::OtherDocument(_)
            | Effect::OtherRollout(_)
            | Effect::None => None,
        };
        if let Some(down) = down {
            state.tell_all(&down);
        }
        effect
    }
}

impl State {
    /// All that a counter has to know besides the edition, in the order in which it is to take it in.
    fn all(&self) -> Vec<Down> {
        let mut all = vec![Down::Services(
            self.records.services.clone().into_iter().collect(),
        )];
        all.extend(
            self.stages
                .iter()
                .map(|(s, (order, stage))| Down::Stage(s.as_str().into(), *order, *stage)),
        );
        all.extend(self.listing().map(Down::Listing));
        all
    }

    /// The list as last read, whole.
    fn listing(&self) -> Option<Listing> {
        let reading = self.list.as_ref()?;
        let age = now().saturating_sub(reading.at);
        let entries = reading.list.iter().map(|(id, entry)| {
            let cold = entry.cold.saturating_sub(age);
            (
                id.clone(),
                Some(messages::Entry {
                    cold,
                    ..entry.clone()
                }),
            )
        });
        Some(Listing {
            whole: true,
            entries: entries.collect(),
        })
    }
}

/// Serves until SIGTERM, in more than one life where its store can't be read.
pub async fn run(settings: Held, life: u64) -> std::io::Result<()> {
    let mut life = life;
    while live(settings.clone(), life).await? {
        life = rand::random::<u64>().max(1);
    }
    Ok(())
}

/// One life. True: another one is to follow.
async fn live(settings: Held, life: u64) -> std::io::Result<bool> {
    let machine = Machine::clone(&settings.borrow());
    let Some(control) = machine.posts.get("control").copied() else {
        return Err(std::io::Error::other("network.posts: expected control"));
    };
    let Some(store) = machine.store.clone().map(PathBuf::from) else {
        return Err(std::io::Error::other(
            "self.store_dir: expected a folder for what is agreed on",
        ));
    };
    let inner = SocketAddrV4::new(machine.ip, machine.inner_ports.0);
    // Nobody is kept waiting at a door behind which nothing runs yet.
    let Some((council, driver)) = store_recovery::open(&machine, &store, life).await else {
        return Ok(false);
    };
    let door = net::listen(control)?;
    let inner = net::listen(inner)?;
    let state = State::new(Witness::new(now(), clock::day()));
    let sorting = Arc::new(Sorting {
        machine,
        settings,
        state: Mutex::new(state),
        council,
        sent: Mutex::default(),
    });
    let mut driving = tokio::spawn(driver.run(sorting.clone()));
    let others = [
        tokio::spawn(proxy_sessions::run(sorting.clone(), inner)),
        tokio::spawn(operator_api::run(sorting.clone(), door)),
        tokio::spawn(endpoint_discovery::run(sorting.clone())),
        tokio::spawn(rollout_controller::run(sorting.clone())),
    ];
    tokio::select! {
        () = crate::signals::terminated() => {}
        stop = &mut driving => {
            for other in others {
                other.abort();
                let _ = other.await; // its door is free again, for the next life
            }
            let stop = stop.map_err(|broken| std::io::Error::other(format!("the agreement broke: {broken}")))?;
            let others = sorting.others();
            return Ok(store_recovery::begin_anew(&stop, &store, &others).await);
        }
    }
    let begun = now();
    tracing::info!(target: "sorting", "Leaving.");
    sorting
        .council
        .leave(begun + sorting.machine.terms.grace.saturating_sub(GRACE_LEFT))
        .await;
    tokio::time::sleep(crate::clock::span(GIVE_WAY)).await;
    let handed_on = sorting.council.view().left;
    tracing::info!(target: "sorting", "Left after {} ms{}.", (now() - begun) / 1000,
        if handed_on { "" } else { ", still needed" });
    Ok(false)
}
