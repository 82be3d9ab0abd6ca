//! How configurations go out to proxies: for each proxy the version that it has, and the transfer in flight to it.
//!
//! - *Coalescing.* At most one configuration is in flight to a proxy. Once it is in force there, the newest one is sent as its
//!   difference from it; those in between are skipped.
//! - *Chunks and back-pressure.* A configuration goes out in chunks, a few unacknowledged ones at a time, so that whatever else
//!   is sent in the session (heartbeats, endpoints, service states) waits behind a few chunks at most.
//! - *Pacing.* Of all chunks together only so many bytes are in flight, round-robin: the leader's own link carries consensus
//!   messages too, and followers that don't hear their leader in time elect another one.
//! - What is the same for many proxies is encoded once, and shared.
//!
//! No I/O: events and the time go in, actions come out.

use crate::delta;
use crate::messages::{encode_frame, ConfigChunk, ControllerMessage, Fenced};
use crate::state_machine::StoredConfig;
use crate::Micros;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Bytes of a configuration in one chunk: a thirtieth of a second on 2 Mbit/s.
const CHUNK_BYTES: usize = 8 << 10;
/// Unacknowledged bytes of chunks in flight to one proxy. On 2 Mbit/s what is more urgent waits a tenth of a second behind
/// them, and with a round trip of 40 ms between regions 600 KB/s get through.
pub const WINDOW_BYTES: usize = 3 * CHUNK_BYTES;
/// Bytes of chunks in flight to all proxies: 80 ms on a link of 51 Mbit/s, which leaves room for a heartbeat every 100 ms to
/// followers that wait 400 ms; enough for twenty proxies at a time, which take it as fast as that.
pub const TOTAL_WINDOW_BYTES: usize = 512 << 10;
/// A proxy that has not acknowledged a chunk for so long no longer takes room from the others: it is cut off, suspended or far
/// slower than they are.
const STALLED_AFTER: Micros = 500_000;
/// Configurations that are remembered besides the newest, so that a proxy that has one is sent the difference only.
const MAX_REMEMBERED: usize = 8;
/// Bytes of them; the last one is kept whatever its length.
const MAX_REMEMBERED_BYTES: usize = 8 << 20;

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration was committed, or read from the store.
    NewConfig(StoredConfig),
    /// A proxy has opened a session.
    Opened {
        /// The session.
        session: u64,
        /// The version of the configuration in force there.
        version: Option<u64>,
    },
    /// A proxy has acknowledged chunks.
    ChunkReceived {
        /// The session.
        session: u64,
        /// The version in flight.
        version: u64,
        /// Bytes of it that are there.
        received: u32,
    },
    /// A transfer is over.
    ConfigApplied {
        /// The session.
        session: u64,
        /// The version in force there; none: the difference did not apply to the version that the proxy has.
        version: Option<u64>,
    },
    /// A session has ended.
    Closed {
        /// The session.
        session: u64,
    },
    /// This controller leads in this term from now on, or no longer: all sessions before have ended.
    LeadershipChanged {
        /// The term.
        term: Option<u64>,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to a proxy.
    Send {
        /// The session.
        session: u64,
        /// The frame.
        frame: Bytes,
    },
    /// The proxy has in force what was newest when its session opened, or something newer.
    UpToDate {
        /// The session.
        session: u64,
    },
    /// A configuration is in force at a proxy.
    Applied {
        /// The session.
        session: u64,
        /// The version.
        version: u64,
        /// Bytes that were sent for it.
        bytes: u32,
        /// Microseconds since it was committed here.
        elapsed: Micros,
    },
}

/// A frame with one chunk.
struct ChunkFrame {
    /// Where the chunk ends.
    end: u32,
    frame: Bytes,
}

/// The newest configuration, encoded for proxies that have a certain version.
struct EncodedConfig {
    version: u64,
    /// The version that it applies to; none: it is sent in full.
    base_version: Option<u64>,
    total_bytes: u32,
    chunks: Vec<ChunkFrame>,
}

impl EncodedConfig {
    fn new(term: u64, version: u64, base_version: Option<u64>, encoded: &[u8]) -> EncodedConfig {
        let total_bytes = encoded.len() as u32;
        let chunk_frame = |(i, bytes): (usize, &[u8])| {
            let offset = (i * CHUNK_BYTES) as u32;
            let chunk = ConfigChunk {
                version,
                base_version,
                total_bytes,
                offset,
                bytes: bytes.to_vec(),
            };
            let message = ControllerMessage::ConfigChunk(chunk);
            let frame = Bytes::from(encode_frame(&Fenced { term, message }));
            ChunkFrame {
                end: offset + bytes.len() as u32,
                frame,
            }
        };
        let chunks = encoded
            .chunks(CHUNK_BYTES)
            .enumerate()
            .map(chunk_frame)
            .collect();
        EncodedConfig {
            version,
            base_version,
            total_bytes,
            chunks,
        }
    }
}

/// A configuration in flight to a proxy.
struct Transfer {
    config: Arc<EncodedConfig>,
    /// Chunks that were sent.
    sent_chunks: usize,
    sent_bytes: u32,
    acknowledged_bytes: u32,
    /// When the last chunk was sent or acknowledged.
    progress_at: Micros,
    /// The proxy does not acknowledge: its bytes don't count among those in flight to all.
    is_stalled: bool,
}

impl Transfer {
    fn in_flight(&self) -> usize {
        (self.sent_bytes - self.acknowledged_bytes) as usize
    }

    /// Returns what counts among the bytes in flight to all.
    fn counted_in_flight(&self) -> usize {
        if self.is_stalled {
            0
        } else {
            self.in_flight()
        }
    }

    fn is_sent(&self) -> bool {
        self.sent_bytes == self.config.total_bytes
    }

    /// Whether the next chunk may be sent.
    fn is_ready(&self) -> bool {
        !self.is_sent() && self.in_flight() < WINDOW_BYTES
    }
}

/// One proxy's session.
struct Session {
    /// The version in force there.
    version: Option<u64>,
    /// The newest version when the session opened; none once the proxy has it.
    awaited_version: Option<u64>,
    transfer: Option<Transfer>,
    /// The proxy could not apply this version: it is not sent again.
    refused_version: Option<u64>,
    /// It waits in the queue for its turn.
    is_queued: bool,
}

/// Sends configurations to all proxies.
#[derive(Default)]
pub struct ConfigSender {
    /// The term that everything is sent in.
    term: u64,
    newest: Option<StoredConfig>,
    newest_since: Micros,
    /// Configurations before the newest, the last one at the end.
    earlier: VecDeque<StoredConfig>,
    sessions: BTreeMap<u64, Session>,
    /// The newest configuration, encoded by the version that the receiver has.
    encoded: BTreeMap<Option<u64>, Arc<EncodedConfig>>,
    /// Sessions that wait for their turn.
    queue: VecDeque<u64>,
    /// Bytes in flight to all proxies that aren't stalled.
    in_flight: usize,
    actions: Vec<Action>,
}

impl ConfigSender {
    /// Takes one event at `now`; returns what is to be done, in order.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match event {
            Event::NewConfig(config) => self.on_new_config(now, config),
            Event::Opened { session, version } => self.on_opened(session, version),
            Event::ChunkReceived {
                session,
                version,
                received,
            } => {
                self.on_chunk_received(now, session, version, received);
            }
            Event::ConfigApplied { session, version } => self.on_applied(now, session, version),
            Event::Closed { session } => self.remove(session),
            Event::LeadershipChanged { term } => self.on_leadership_change(term),
            Event::Tick => self.mark_stalled(now),
        }
        self.send_chunks(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the bytes in flight to proxies that acknowledge them.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the bytes kept: texts, and what is encoded of them.
    pub fn memory_bytes(&self) -> usize {
        let texts = self
            .earlier
            .iter()
            .chain(&self.newest)
            .map(|config| config.text.len());
        let encoded = self
            .encoded
            .values()
            .map(|config| config.total_bytes as usize);
        texts.chain(encoded).sum()
    }

    /// Returns how many proxies don't have the newest configuration in force.
    pub fn outdated_proxies(&self) -> usize {
        let newest = self.newest.as_ref().map(|newest| newest.version);
        self.sessions
            .values()
            .filter(|session| session.version < newest)
            .count()
    }

    /// Whether a version, or a newer one, is in force at all proxies with a session that can have it: those that don't acknowledge
    /// what they are sent, or could not apply it, are not waited for.
    pub fn is_distributed(&self, version: u64) -> bool {
        let has_or_cannot = |session: &Session| {
            let is_stalled = session
                .transfer
                .as_ref()
                .is_some_and(|transfer| transfer.is_stalled);
            session.version.max(session.refused_version) >= Some(version) || is_stalled
        };
        self.sessions.values().all(has_or_cannot)
    }

    fn on_new_config(&mut self, now: Micros, config: StoredConfig) {
        if self
            .newest
            .as_ref()
            .is_some_and(|newest| newest.version >= config.version)
        {
            return;
        }
        self.earlier.extend(self.newest.replace(config));
        self.newest_since = now;
        self.encoded.clear();
        while self.remembers_too_much() {
            self.earlier.pop_front();
        }
        let sessions: Vec<u64> = self.sessions.keys().copied().collect();
        for session in sessions {
            self.enqueue(session);
        }
    }

    fn remembers_too_much(&self) -> bool {
        let bytes: usize = self.earlier.iter().map(|config| config.text.len()).sum();
        let count = self.earlier.len();
        count > MAX_REMEMBERED || (count > 1 && bytes > MAX_REMEMBERED_BYTES)
    }

    fn on_opened(&mut self, session: u64, version: Option<u64>) {
        self.remove(session);
        let newest = self.newest.as_ref().map(|newest| newest.version);
        let awaited_version = newest.filter(|newest| Some(*newest) > version);
        let opened = Session {
            version,
            awaited_version,
            transfer: None,
            refused_version: None,
            is_queued: false,
        };
        self.sessions.insert(session, opened);
        match awaited_version {
            Some(_) => self.enqueue(session),
            None => self.actions.push(Action::UpToDate { session }),
        }
    }

    fn on_leadership_change(&mut self, term: Option<u64>) {
        self.term = term.unwrap_or(0);
        self.encoded.clear();
        self.sessions.clear();
        self.queue.clear();
        self.in_flight = 0;
    }

    /// Puts a session at the end of the queue, unless it is in it.
    fn enqueue(&mut self, session: u64) {
        if let Some(waiting) = self
            .sessions
            .get_mut(&session)
            .filter(|waiting| !waiting.is_queued)
        {
            waiting.is_queued = true;
            self.queue.push_back(session);
        }
    }

    fn remove(&mut self, session: u64) {
        let removed = self.sessions.remove(&session);
        if let Some(transfer) = removed.and_then(|removed| removed.transfer) {
            self.in_flight -= transfer.counted_in_flight();
        }
    }

    fn transfer(&mut self, session: u64) -> Option<&mut Transfer> {
        self.sessions.get_mut(&session)?.transfer.as_mut()
    }

    fn on_chunk_received(&mut self, now: Micros, session: u64, version: u64, received: u32) {
        let Some(transfer) = self.transfer(session) else {
            return;
        };
        let is_new = received > transfer.acknowledged_bytes && received <= transfer.sent_bytes;
        if transfer.config.version != version || !is_new {
            return;
        }
        let before = transfer.counted_in_flight();
        transfer.acknowledged_bytes = received;
        transfer.progress_at = now;
        transfer.is_stalled = false;
        let after = transfer.counted_in_flight();
        self.in_flight = self.in_flight - before + after;
        self.enqueue(session);
    }

    fn on_applied(&mut self, now: Micros, session: u64, mut version: Option<u64>) {
        let elapsed = now.saturating_sub(self.newest_since);
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        if let Some(transfer) = state.transfer.take() {
            self.in_flight -= transfer.counted_in_flight();
            let sent = &transfer.config;
            // What is sent in full always applies: this proxy has version 0, which a message can't tell from none.
            if version.is_none() && sent.version == 0 && sent.base_version.is_none() {
                version = Some(0);
            }
            if version == Some(sent.version) {
                self.actions.push(Action::Applied {
                    session,
                    version: sent.version,
                    bytes: sent.total_bytes,
                    elapsed,
                });
            } else if version < Some(sent.version)
                && (sent.base_version.is_none() || version.is_some())
            {
                state.refused_version = Some(sent.version);
            }
        }
        state.version = version;
        let done_with = version.max(state.refused_version);
        if state
            .awaited_version
            .is_some_and(|awaited| done_with >= Some(awaited))
        {
            state.awaited_version = None;
            self.actions.push(Action::UpToDate { session });
        }
        self.enqueue(session);
    }

    /// Stops counting what proxies don't acknowledge, so that it takes no room from the others.
    fn mark_stalled(&mut self, now: Micros) {
        for session in self.sessions.values_mut() {
            let Some(transfer) = &mut session.transfer else {
                continue;
            };
            let is_late = now >= transfer.progress_at + STALLED_AFTER;
            if !transfer.is_stalled && transfer.in_flight() > 0 && is_late {
                self.in_flight -= transfer.in_flight();
                transfer.is_stalled = true;
            }
        }
    }

    /// Sends what may be sent, round-robin.
    fn send_chunks(&mut self, now: Micros) {
        while self.in_flight < TOTAL_WINDOW_BYTES {
            let Some(session) = self.queue.pop_front() else {
                return;
            };
            if self.send_chunk(now, session) {
                self.queue.push_back(session);
            } else if let Some(state) = self.sessions.get_mut(&session) {
                state.is_queued = false;
            }
        }
    }

    /// Sends the next chunk to a proxy. Returns whether another one may follow.
    fn send_chunk(&mut self, now: Micros, session: u64) -> bool {
        if !self.start_transfer(now, session) {
            return false;
        }
        let Some(transfer) = self.transfer(session) else {
            return false;
        };
        if !transfer.is_ready() || transfer.is_stalled {
            return false;
        }
        let chunk = &transfer.config.chunks[transfer.sent_chunks];
        let chunk_bytes = (chunk.end - transfer.sent_bytes) as usize;
        let frame = chunk.frame.clone();
        transfer.sent_bytes = chunk.end;
        transfer.sent_chunks += 1;
        transfer.progress_at = now;
        let may_continue = transfer.is_ready();
        self.in_flight += chunk_bytes;
        self.actions.push(Action::Send { session, frame });
        may_continue
    }

    /// Starts a transfer of the newest configuration, unless one is in flight. Returns false if there is nothing to send.
    fn start_transfer(&mut self, now: Micros, session: u64) -> bool {
        let Some(newest) = self.newest.as_ref().map(|newest| newest.version) else {
            return false;
        };
        let Some(state) = self.sessions.get(&session) else {
            return false;
        };
        if state.transfer.is_some() {
            return true;
        }
        if state.version.max(state.refused_version) >= Some(newest) {
            return false;
        }
        let config = self.encoded_for(state.version);
        let transfer = Transfer {
            config,
            sent_chunks: 0,
            sent_bytes: 0,
            acknowledged_bytes: 0,
            progress_at: now,
            is_stalled: false,
        };
        if let Some(state) = self.sessions.get_mut(&session) {
            state.transfer = Some(transfer);
        }
        true
    }

    /// Returns the newest configuration as it is sent to a proxy that has `version`: in full where that one isn't remembered.
    fn encoded_for(&mut self, version: Option<u64>) -> Arc<EncodedConfig> {
        let newest = self.newest.as_ref().expect("asked for where there is one");
        // A message can't name version 0 as the base.
        let base_version = version.filter(|version| *version > 0);
        let mut earlier = self.earlier.iter();
        let base = earlier.find(|config| Some(config.version) == base_version);
        let (base_version, text) =
            base.map_or((None, ""), |base| (Some(base.version), &*base.text));
        let term = self.term;
        let encode = || {
            let difference = delta::diff(text, &newest.text);
            Arc::new(EncodedConfig::new(
                term,
                newest.version,
                base_version,
                &difference,
            ))
        };
        self.encoded
            .entry(base_version)
            .or_insert_with(encode)
            .clone()
    }
}
