//! What was seen on the streams, and what was wrong with it.

use crate::plain;
use crate::stream::Tap;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// A time since a play began, in microseconds.
pub type Micros = u64;

/// What is looked at at the moment of writing is written within this: the connection's task comes to its turn.
const AT_ONCE: Micros = 2_000;

/// A request of which at least one byte was written to an appliance.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    /// It may run once only.
    pub once: bool,
    pub appliance: String,
    pub service: String,
    pub connection: usize,
    pub at: Micros,
    /// The appliance has begun to work on it.
    pub ran: bool,
    /// The appliance has written whole that it did not and will not.
    pub cleared: Option<Micros>,
}

/// A request as its client knows it.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    pub path: String,
    /// When its first byte was written, and when its last.
    pub first: Micros,
    pub last: Option<Micros>,
    pub due: Micros,
    /// How long it may be held, from when its head was read.
    pub span: Micros,
    /// The status of its answer, and whether it was one of the gateway's own.
    pub answer: Option<(u16, bool)>,
    /// Its client left, or never meant to wait.
    pub left: bool,
    /// It was sent behind an answer that closed the connection.
    pub unread: bool,
    /// The same id was sent before.
    pub again: bool,
}

/// Which appliance is told of at an address.
#[derive(Clone, Debug)]
pub struct Listing {
    pub id: String,
    pub service: String,
    pub version: String,
    pub open: bool,
}

/// A configuration as it came into force: which service a prefix went to.
#[derive(Clone, Debug)]
pub struct InForce {
    pub at: Micros,
    pub number: u64,
    pub to: BTreeMap<String, String>,
}

#[derive(Default)]
pub struct Pages {
    pub arrivals: Vec<Arrival>,
    pub sent: BTreeMap<String, Vec<Sent>>,
    pub listed: HashMap<SocketAddrV4, Listing>,
    /// The version of a service that stands, where one does, and since when.
    pub stands: HashMap<String, (String, Micros)>,
    /// Which appliance is at an address, told or not.
    pub there: HashMap<SocketAddrV4, String>,
    pub editions: Vec<InForce>,
    /// How long connections may rest, as clients know.
    pub idle: Micros,
    pub wrong: Vec<String>,
    /// Further tallies, to show that a play met what it is about.
    pub met: BTreeMap<&'static str, u64>,
    pub connections: usize,
    /// Requests that appliances work on, by connection.
    pub at_work: BTreeMap<usize, String>,
    /// SIGTERM came.
    pub leaves: Option<Micros>,
}

/// Shared by all who see something.
#[derive(Clone)]
pub struct Book {
    pages: Arc<Mutex<Pages>>,
    begun: Instant,
}

impl Book {
    pub fn new() -> Book {
        Book {
            pages: Arc::default(),
            begun: Instant::now(),
        }
    }

    pub fn open(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }

    pub fn wrong(&self, what: String) {
        let now = self.now();
        self.open()
            .wrong
            .push(format!("{:.3} s: {what}", now as f64 / 1e6));
    }

    pub fn met(&self, what: &'static str) {
        *self.open().met.entry(what).or_default() += 1;
    }

    /// The newest arrival on a connection.
    pub fn arrival(&self, connection: usize, note: impl FnOnce(&mut Arrival)) {
        let mut pages = self.open();
        if let Some(arrival) = pages
            .arrivals
            .iter_mut()
            .rev()
            .find(|a| a.connection == connection)
        {
            note(arrival);
        }
    }
}

impl Default for Book {
    fn default() -> Book {
        Book::new()
    }
}

/// Notes what the counter writes on one connection.
pub struct Noted {
    pub book: Book,
    pub connection: usize,
    pub address: SocketAddrV4,
    /// The appliance and its service that were listed there when it came up.
    pub listed: Listing,
    /// Bytes of the newest request that are not written yet.
    pub left: usize,
}

impl Tap for Noted {
    fn written(&mut self, offered: &[u8], taken: usize) {
        let at = self.book.now();
        if self.left > 0 {
            self.left = self.left.saturating_sub(taken);
            return;
        }
        let Some((head, len)) = plain::head(offered) else {
            self.book
                .wrong(format!("no head: {:?}", String::from_utf8_lossy(offered)));
            return;
        };
        let length: usize = head
            .field("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        self.left = len + length - taken.min(len + length);
        let id = head.field("try-id").unwrap_or("").to_owned();
        let path = head.first.split(' ').nth(1).unwrap_or("").to_owned();
        let addressee = head.field("addressee").unwrap_or("");
        if addressee != self.listed.id {
            self.book.wrong(format!(
                "{id} for {addressee} on a connection to {}",
                self.listed.id
            ));
        }
        let mut pages = self.book.open();
        let Listing {
            service, version, ..
        } = &self.listed;
        let old = pages
            .stands
            .get(service)
            .is_some_and(|(v, since)| v != version && at > since + AT_ONCE);
        let closed = pages
            .listed
            .get(&self.address)
            .is_none_or(|l| l.id != self.listed.id || !l.open);
        pages.arrivals.push(Arrival {
            id: id.clone(),
            once: path.starts_with("/once/"),
            appliance: self.listed.id.clone(),
            service: self.listed.service.clone(),
            connection: self.connection,
            at,
            ran: false,
            cleared: None,
        });
        drop(pages);
        if old {
            let stands = self.book.open().stands.clone();
            self.book.wrong(format!(
                "{id} to {:?}, of a version that does not stand: {stands:?}",
                self.listed
            ));
        }
        if closed {
            self.book.wrong(format!(
                "{id} to {}, which closes or is gone",
                self.listed.id
            ));
        }
    }
}
