//! Sorting machines and counters as nodes of a simulated world: the cores of the programs, and in between what the
//! programs do around them.

use crate::pipe::{Pipe, Segment};
use bytes::Bytes;
use magpieline_control_plane::config_receiver::{ConfigReceiver, Received};
use magpieline_control_plane::config_sender::{self, ConfigSender};
use magpieline_control_plane::controller_client::{self, ControllerClient};
use magpieline_control_plane::messages::{
    decode_frame, encode_frame, ControllerMessage, Fenced, Hello, ProxyMessage, Report,
};
use magpieline_control_plane::proxy_registry::ProxyRegistry;
use magpieline_control_plane::state_machine::{Command, ControlState, StoredConfig};
use magpieline_raft::{
    Action, Config, Envelope, Event, Outcome, PersistentState, RaftNode, Role, Term, WriteBatch,
};
use magpieline_raft_simulation::{BootOptions, Effect, Input, Micros, Process, MILLI};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

const BEAT: Micros = 300 * MILLI;

#[derive(Clone)]
pub enum Message {
    Raft(Envelope),
    Link {
        from: SocketAddrV4,
        link: u64,
        segment: Segment,
    },
}

pub enum Call {
    /// An operator sends this edition.
    Replace(u64),
}

pub enum Observation {
    /// An edition was acknowledged, by the leader of this term.
    Acknowledged { number: u64, term: Term },
    /// A counter has taken in what was said in this term.
    Took { term: u64 },
}

pub enum Machine {
    Sorting(Box<Sorting>),
    Counter(Box<Counter>),
}

pub struct Sorting {
    address: SocketAddrV4,
    core: RaftNode,
    records: ControlState,
    registry: ProxyRegistry,
    config_sender: ConfigSender,
    links: BTreeMap<u64, (SocketAddrV4, Pipe)>,
    /// Counters that wait for a read, with the term in which it was asked.
    asked: BTreeMap<u64, (u64, Hello, Option<Term>)>,
    /// Editions that wait for their acknowledgement.
    sent: BTreeMap<u64, u64>,
    welcomes: BTreeMap<u64, Bytes>,
    next_ticket: u64,
    beat_at: Micros,
}

pub struct Counter {
    address: SocketAddrV4,
    incarnation: u64,
    next_link: u64,
    /// The clock at the last step.
    pub now: Micros,
    pub controller_client: ControllerClient,
    pub edition: u64,
    config: Option<StoredConfig>,
    config_receiver: ConfigReceiver,
    link: Option<(u64, SocketAddrV4, Pipe)>,
    welcomed: bool,
}

type Effects = Vec<Effect<Machine>>;

impl Sorting {
    fn leading(&self) -> Option<Term> {
        (self.core.role() == Role::Leader).then_some(self.core.term())
    }

    fn event(&mut self, now: Micros, event: Event, effects: &mut Effects) {
        let actions = self.core.step(now, event);
        self.carry_out(now, actions, effects);
    }

    fn carry_out(&mut self, now: Micros, actions: Vec<Action>, effects: &mut Effects) {
        let mut answered = Vec::new();
        for action in actions {
            match action {
                Action::Send(envelope) => {
                    effects.push(Effect::Send {
                        to: envelope.to.address,
                        message: Message::Raft(envelope),
                    });
                }
                Action::Write { serial, batch } => effects.push(Effect::Write {
                    serial,
                    write: batch,
                }),
                Action::Apply { index, command } => {
                    self.records
                        .apply(index, &Command::decode(&command).expect("encoded here"));
                    self.newest(now, effects);
                }
                Action::Restore { state, .. } => {
                    self.records = ControlState::decode(&state).expect("encoded here");
                    self.newest(now, effects);
                }
                Action::Complete {
                    request_id,
                    outcome,
                } => answered.push((request_id, outcome)),
            }
        }
        // As the driver shows it, before anybody acts on the outcomes.
        if self.registry.set_leadership(self.leading()) {
            for (link, (to, _)) in std::mem::take(&mut self.links) {
                self.say(to, link, Segment::Reset, effects);
            }
            self.welcomes.clear();
            self.feed(
                now,
                config_sender::Event::LeadershipChanged {
                    term: self.leading(),
                },
                effects,
            );
        }
        for (request_id, outcome) in answered {
            let committed = matches!(outcome, Outcome::Committed { .. });
            if let Some(number) = self.sent.remove(&request_id).filter(|_| committed) {
                effects.push(Effect::Observation(Observation::Acknowledged {
                    number,
                    term: self.core.term(),
                }));
            }
            if let Some((link, hello, term)) = self.asked.remove(&request_id) {
                let confirmed = term.filter(|_| committed && self.leading() == term);
                self.answer(now, link, hello, confirmed, effects);
            }
        }
        if self.core.should_compact() {
            let event = Event::Compact {
                index: self.core.applied_index(),
                state: self.records.encode(),
            };
            self.event(now, event, effects);
        }
    }

    fn newest(&mut self, now: Micros, effects: &mut Effects) {
        if let Some(config) = self.records.config.clone() {
            self.feed(now, config_sender::Event::NewConfig(config), effects);
        }
    }

    fn answer(
        &mut self,
        now: Micros,
        link: u64,
        hello: Hello,
        confirmed: Option<Term>,
        effects: &mut Effects,
    ) {
        let core: Vec<SocketAddrV4> = self
            .core
            .voters()
            .iter()
            .map(|node_id| node_id.address)
            .collect();
        match confirmed.filter(|term| self.registry.register(now, link, *term, &hello)) {
            Some(term) => {
                let services = self.records.services.clone().into_iter().collect();
                self.tell(
                    now,
                    link,
                    Fenced {
                        term,
                        message: ControllerMessage::Services(services),
                    },
                    effects,
                );
                let counters = self.registry.count(now);
                let message = ControllerMessage::Welcome {
                    controllers: core,
                    proxies: counters,
                    confirmed_at: hello.sent_at,
                };
                self.welcomes
                    .insert(link, encode_frame(&Fenced { term, message }).into());
                self.feed(
                    now,
                    config_sender::Event::Opened {
                        session: link,
                        version: hello.config_version,
                    },
                    effects,
                );
            }
            None => {
                let leader = self.core.leader().filter(|leader| *leader != self.address);
                let told = Fenced {
                    term: self.core.term(),
                    message: ControllerMessage::Redirect {
                        leader,
                        controllers: core,
                    },
                };
                // The counter ends the link.
                self.tell(now, link, told, effects);
            }
        }
    }

    fn tell(
        &mut self,
        now: Micros,
        link: u64,
        told: Fenced<ControllerMessage>,
        effects: &mut Effects,
    ) {
        self.tell_frame(now, link, encode_frame(&told).into(), effects);
    }

    fn tell_frame(&mut self, now: Micros, link: u64, bytes: Bytes, effects: &mut Effects) {
        let Some((to, pipe)) = self.links.get_mut(&link) else {
            return;
        };
        let (to, segment) = (*to, pipe.send(now, bytes));
        self.say(to, link, segment, effects);
    }

    fn say(&self, to: SocketAddrV4, link: u64, segment: Segment, effects: &mut Effects) {
        effects.push(Effect::Send {
            to,
            message: Message::Link {
                from: self.address,
                link,
                segment,
            },
        });
    }

    fn feed(&mut self, now: Micros, event: config_sender::Event, effects: &mut Effects) {
        for action in self.config_sender.step(now, event) {
            match action {
                config_sender::Action::Send {
                    session: link,
                    frame,
                } => self.tell_frame(now, link, frame, effects),
                config_sender::Action::UpToDate { session: link } => {
                    if let Some(welcome) = self.welcomes.remove(&link) {
                        self.tell_frame(now, link, welcome, effects);
                    }
                }
                config_sender::Action::Applied { .. } => {}
            }
        }
    }

    fn let_go(&mut self, now: Micros, link: u64, effects: &mut Effects) {
        if self.links.remove(&link).is_some() {
            self.registry.on_closed(link);
            self.welcomes.remove(&link);
            self.feed(now, config_sender::Event::Closed { session: link }, effects);
        }
    }

    fn segment(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        link: u64,
        segment: Segment,
        effects: &mut Effects,
    ) {
        match segment {
            Segment::Open => {
                self.links
                    .entry(link)
                    .or_insert_with(|| (from, Pipe::default()));
                self.say(from, link, Segment::Opened, effects);
            }
            Segment::Reset => self.let_go(now, link, effects),
            Segment::Ack { upto } => {
                if let Some((_, pipe)) = self.links.get_mut(&link) {
                    pipe.acked(now, upto);
                }
            }
            Segment::Frame { place, bytes } => {
                let Some((_, pipe)) = self.links.get_mut(&link) else {
                    return self.say(from, link, Segment::Reset, effects);
                };
                let (frames, ack) = pipe.take(place, bytes);
                self.say(from, link, ack, effects);
                for bytes in frames {
                    let up = decode_frame::<ProxyMessage>(&mut bytes.to_vec())
                        .expect("encoded here")
                        .expect("whole");
                    self.heard(now, link, up, effects);
                }
            }
            Segment::Opened => {}
        }
    }

    fn heard(&mut self, now: Micros, link: u64, up: ProxyMessage, effects: &mut Effects) {
        match up {
            ProxyMessage::Hello(hello) => {
                self.next_ticket += 1;
                let request_id = self.next_ticket;
                self.asked.insert(request_id, (link, hello, self.leading()));
                self.event(now, Event::Read { request_id }, effects);
            }
            ProxyMessage::Report(report) => {
                if !self.registry.on_report(now, link, report) {
                    let to = self.links.get(&link).map(|(to, _)| *to);
                    self.let_go(now, link, effects);
                    to.into_iter()
                        .for_each(|to| self.say(to, link, Segment::Reset, effects));
                }
            }
            ProxyMessage::ChunkReceived { version, received } => self.feed(
                now,
                config_sender::Event::ChunkReceived {
                    session: link,
                    version,
                    received,
                },
                effects,
            ),
            ProxyMessage::ConfigApplied { version } => self.feed(
                now,
                config_sender::Event::ConfigApplied {
                    session: link,
                    version,
                },
                effects,
            ),
        }
    }

    fn tick(&mut self, now: Micros, effects: &mut Effects) {
        if now >= self.beat_at {
            self.beat_at = now + BEAT;
            if let (true, Some(term)) = (self.core.holds_lease(now), self.registry.term()) {
                let counters = self.registry.count(now);
                let edition = self
                    .records
                    .config
                    .as_ref()
                    .map_or(0, |config| config.version);
                let asked: Vec<(u64, Micros)> = self.registry.report_times().collect();
                for (link, asked) in asked {
                    let message = ControllerMessage::Heartbeat {
                        proxies: counters,
                        confirmed_at: asked,
                        config_version: edition,
                    };
                    self.tell(now, link, Fenced { term, message }, effects);
                }
                self.feed(now, config_sender::Event::Tick, effects);
            }
        }
        let links: Vec<u64> = self.links.keys().copied().collect();
        for link in links {
            let (to, pipe) = self.links.get_mut(&link).expect("listed");
            let to = *to;
            match pipe.tick(now) {
                Some(again) => again
                    .into_iter()
                    .for_each(|segment| self.say(to, link, segment, effects)),
                None => self.let_go(now, link, effects),
            }
        }
    }
}

impl Counter {
    /// Whether it says that it is ready, and serves.
    pub fn knows(&self) -> bool {
        self.welcomed && self.edition > 0
    }

    fn act(
        &mut self,
        now: Micros,
        actions: Vec<controller_client::Action>,
        word: Option<&ControllerMessage>,
        effects: &mut Effects,
    ) {
        for action in actions {
            let up = match action {
                controller_client::Action::Connect(to) => {
                    self.next_link += 1;
                    self.config_receiver = ConfigReceiver::default();
                    self.link = Some((self.incarnation ^ self.next_link, to, Pipe::default()));
                    self.say(Segment::Open, effects);
                    continue;
                }
                controller_client::Action::Disconnect => {
                    self.say(Segment::Reset, effects);
                    self.link = None;
                    continue;
                }
                controller_client::Action::SendHello => ProxyMessage::Hello(Hello {
                    node: self.address.to_string(),
                    zone: "z".into(),
                    incarnation: self.incarnation,
                    config_version: self.edition,
                    term: self.controller_client.term(),
                    sent_at: now,
                }),
                controller_client::Action::SendReport => {
                    let (edition, term) = (self.edition, self.controller_client.term());
                    ProxyMessage::Report(Report {
                        config_version: edition,
                        evidence: Vec::new(),
                        term,
                        sent_at: now,
                    })
                }
                controller_client::Action::Accept => {
                    effects.push(Effect::Observation(Observation::Took {
                        term: self.controller_client.term(),
                    }));
                    let answer = word.and_then(|word| self.take(word));
                    self.controller_client.set_config_version(self.edition);
                    match answer {
                        Some(up) => up,
                        None => continue,
                    }
                }
            };
            if let Some((_, _, pipe)) = &mut self.link {
                let segment = pipe.send(now, encode_frame(&up).into());
                self.say(segment, effects);
            }
        }
    }

    fn take(&mut self, word: &ControllerMessage) -> Option<ProxyMessage> {
        match word {
            ControllerMessage::Welcome { .. } => self.welcomed = true,
            ControllerMessage::ConfigChunk(piece) => {
                let taken = self.config_receiver.receive(self.config.as_ref(), piece);
                if let Received::Incomplete(received) = taken {
                    return Some(ProxyMessage::ChunkReceived {
                        version: piece.version,
                        received,
                    });
                }
                if let Received::Complete(config) = taken {
                    (self.edition, self.config) = (config.version, Some(config));
                }
                return Some(ProxyMessage::ConfigApplied {
                    version: self.edition,
                });
            }
            _ => {}
        }
        None
    }

    fn say(&self, segment: Segment, effects: &mut Effects) {
        if let Some((link, to, _)) = &self.link {
            let message = Message::Link {
                from: self.address,
                link: *link,
                segment,
            };
            effects.push(Effect::Send { to: *to, message });
        }
    }

    fn event(&mut self, now: Micros, event: controller_client::Event, effects: &mut Effects) {
        let actions = self.controller_client.step(now, event);
        self.act(now, actions, None, effects);
    }

    fn segment(&mut self, now: Micros, link: u64, segment: Segment, effects: &mut Effects) {
        let Some((_, _, pipe)) = self.link.as_mut().filter(|(own, ..)| *own == link) else {
            return;
        };
        match segment {
            Segment::Opened => self.event(now, controller_client::Event::Connected, effects),
            Segment::Reset => {
                self.link = None;
                self.event(now, controller_client::Event::Disconnected, effects);
            }
            Segment::Ack { upto } => pipe.acked(now, upto),
            Segment::Frame { place, bytes } => {
                let (frames, ack) = pipe.take(place, bytes);
                self.say(ack, effects);
                for bytes in frames {
                    // What comes behind the end of a link is not heard.
                    if self.link.as_ref().is_none_or(|(own, ..)| *own != link) {
                        return;
                    }
                    let told = decode_frame::<Fenced<ControllerMessage>>(&mut bytes.to_vec())
                        .expect("encoded here")
                        .expect("whole");
                    let actions = self
                        .controller_client
                        .step(now, controller_client::Event::Received(&told));
                    self.act(now, actions, Some(&told.message), effects);
                }
            }
            Segment::Open => {}
        }
    }

    fn tick(&mut self, now: Micros, effects: &mut Effects) {
        match self.link.as_mut().map(|(_, _, pipe)| pipe.tick(now)) {
            Some(Some(again)) => again
                .into_iter()
                .for_each(|segment| self.say(segment, effects)),
            Some(None) => {
                self.link = None;
                self.event(now, controller_client::Event::Disconnected, effects);
            }
            None => {}
        }
        self.event(now, controller_client::Event::Tick, effects);
    }
}

impl Machine {
    pub fn counter(&self) -> Option<&Counter> {
        match self {
            Machine::Counter(counter) => Some(counter),
            Machine::Sorting(_) => None,
        }
    }

    pub fn core(&self) -> Option<&RaftNode> {
        match self {
            Machine::Sorting(sorting) => Some(&sorting.core),
            Machine::Counter(_) => None,
        }
    }
}

impl Process for Machine {
    type Message = Message;
    type Write = WriteBatch;
    type Disk = PersistentState;
    type Call = Call;
    type Observation = Observation;

    fn start(boot: &BootOptions, now: Micros, disk: &PersistentState) -> (Machine, Effects) {
        let BootOptions {
            address,
            seeds,
            first_run,
            seed,
            tolerated_failures,
            recovery_interval,
            ..
        } = boot.clone();
        let mut effects = Vec::new();
        if seeds.contains(&address) {
            let (core, actions) = RaftNode::start(
                now,
                Config {
                    address,
                    seeds,
                    first_run,
                    seed,
                    tolerated_failures,
                    recovery_interval,
                },
                disk.clone(),
            );
            let mut sorting = Sorting {
                address,
                core,
                records: ControlState::default(),
                registry: ProxyRegistry::default(),
                config_sender: ConfigSender::default(),
                links: BTreeMap::new(),
                asked: BTreeMap::new(),
                sent: BTreeMap::new(),
                welcomes: BTreeMap::new(),
                next_ticket: 0,
                beat_at: now,
            };
            sorting.carry_out(now, actions, &mut effects);
            return (Machine::Sorting(Box::new(sorting)), effects);
        }
        let mut counter = Counter {
            address,
            incarnation: seed,
            next_link: 0,
            now,
            controller_client: ControllerClient::new(now, seeds, seed as usize % 1000),
            edition: 0,
            config: None,
            config_receiver: ConfigReceiver::default(),
            link: None,
            welcomed: false,
        };
        counter.tick(now, &mut effects);
        (Machine::Counter(Box::new(counter)), effects)
    }

    fn step(&mut self, now: Micros, input: Input<Machine>) -> Effects {
        let mut effects = Vec::new();
        match self {
            Machine::Sorting(sorting) => {
                match input {
                    Input::Tick => {}
                    Input::Message(Message::Raft(envelope)) => {
                        sorting.event(now, Event::Receive(envelope), &mut effects);
                    }
                    Input::Message(Message::Link {
                        from,
                        link,
                        segment,
                    }) => {
                        sorting.segment(now, from, link, segment, &mut effects);
                    }
                    Input::Synced(serial) => {
                        sorting.event(now, Event::Persisted { serial }, &mut effects)
                    }
                    Input::Refused(serial) => {
                        sorting.event(now, Event::WriteFailed { serial }, &mut effects)
                    }
                    Input::Call(Call::Replace(number)) => {
                        sorting.next_ticket += 1;
                        let request_id = sorting.next_ticket;
                        sorting.sent.insert(request_id, number);
                        // Some take one piece, some several.
                        let text =
                            format!("{number} ").repeat(if number % 3 == 0 { 9_000 } else { 9 });
                        let command = Command::ReplaceConfig(StoredConfig {
                            version: number,
                            text: text.into(),
                        })
                        .encode();
                        sorting.event(
                            now,
                            Event::Propose {
                                request_id,
                                command,
                            },
                            &mut effects,
                        );
                    }
                }
                sorting.event(now, Event::Tick, &mut effects);
                sorting.tick(now, &mut effects);
            }
            Machine::Counter(counter) => {
                counter.now = now;
                if let Input::Message(Message::Link { link, segment, .. }) = input {
                    counter.segment(now, link, segment, &mut effects);
                }
                counter.tick(now, &mut effects);
            }
        }
        effects
    }

    fn next_wake(&self) -> Option<Micros> {
        match self {
            Machine::Sorting(sorting) => {
                let pipes = sorting.links.values().filter_map(|(_, pipe)| pipe.due());
                pipes
                    .chain([sorting.core.next_wake(), sorting.beat_at])
                    .min()
            }
            Machine::Counter(counter) => {
                let pipe = counter.link.as_ref().and_then(|(_, _, pipe)| pipe.due());
                pipe.into_iter()
                    .chain([counter.controller_client.next_wake()])
                    .min()
            }
        }
    }

    fn put(disk: &mut PersistentState, write: WriteBatch) {
        write.apply(disk);
    }
}
