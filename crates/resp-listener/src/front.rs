//! Clients over RESP: commands in, each handed to the exchange or answered here, replies out in their order.

use crate::table::{Odd, Table};
use crate::way::{Command, SPEAKS};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesOrdered;
use futures_util::{FutureExt, StreamExt};
use magpieline::interface::Arrival;
use magpieline_dispatch::{accept, guarded, Answer, Crowd, Exchange, Load, Signal, Visit};
use magpieline_resp::{Limits, Reader, Value, Version};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Commands of one connection in hand at once; more are not read until some are answered.
const IN_HAND: usize = 256;
/// Bytes of replies that wait for a client to read them; more are not made ready.
const OUT_MOST: usize = 256 << 10;
/// A client that has read nothing for so long, while replies wait for it, is closed.
#[cfg(not(test))]
const UNREAD: Duration = Duration::from_secs(5);
#[cfg(test)]
const UNREAD: Duration = Duration::from_millis(400);
/// A command that has begun to come has to come whole in so long.
const PIECES: Duration = Duration::from_secs(5);
/// A part of what a client sends, read at once.
const PIECE: usize = 16 << 10;
/// What a command may be: strings in an array, of the size of a hit's body at most, and a little more in all.
const COMMAND: Limits = Limits {
    depth: 1,
    values: 1024,
    string_bytes: 64 << 10,
    line_bytes: 64 << 10,
    message_bytes: 128 << 10,
};
/// Commands that speak of a connection's state or wait on it, which a hit can't: refused by name unless a row allows one.
const REFUSED: [&str; 18] = [
    "MULTI",
    "EXEC",
    "DISCARD",
    "WATCH",
    "UNWATCH",
    "SUBSCRIBE",
    "PSUBSCRIBE",
    "SSUBSCRIBE",
    "UNSUBSCRIBE",
    "MONITOR",
    "BLPOP",
    "BRPOP",
    "BLMOVE",
    "BZPOPMIN",
    "BZPOPMAX",
    "XREAD",
    "WAIT",
    "SYNC",
];

/// What all connections of this front share.
pub struct Front {
    exchange: Rc<Exchange>,
    crowd: Rc<Crowd>,
    /// Its number among the crowd's fronts.
    place: usize,
    table: Table,
    /// What clients have to say before anything else, if so.
    password: Option<String>,
    /// Numbers for connections.
    next: Cell<u64>,
}

impl Front {
    /// `weight`: its part of the places for clients' connections, HTTP/1.1's being 1.
    pub fn new(
        exchange: Rc<Exchange>,
        crowd: Rc<Crowd>,
        weight: f64,
        table: Table,
        password: Option<String>,
    ) -> Front {
        let place = crowd.join(weight);
        Front {
            exchange,
            crowd,
            place,
            table,
            password,
            next: Cell::new(1),
        }
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get().wrapping_add(1))
    }
}

/// Accepts connections until the program stops; what the kernel has accepted by then is taken first.
pub async fn serve(front: Rc<Front>, listener: TcpListener) {
    let next = || async { Ok(listener.accept().await?.0) };
    let attend = |stream| drop(tokio::task::spawn_local(attend(front.clone(), stream)));
    accept(&front.exchange, &front.crowd, front.place, next, attend).await;
}

/// Serves one connection to its end.
async fn attend(front: Rc<Front>, stream: TcpStream) {
    let (place, visit) = front.crowd.enter(Visit::to(front.place, Rc::default()));
    tokio::select! {
        _ = guarded("clients", talk(&front, &visit, stream)) => {}
        () = visit.evicted() => {}
    }
    front.crowd.leave(place);
}

/// How a connection stands.
struct Talk {
    version: Version,
    number: u64,
    name: Bytes,
    /// It has said the password, or needs none.
    known: bool,
    /// Nothing more is read: it has said goodbye, or what came can't be read.
    over: bool,
}

/// A reply that is owed, in order.
type Owed = LocalBoxFuture<'static, Reply>;

enum Reply {
    Own(Value),
    Node(Answer),
}

async fn talk(front: &Rc<Front>, visit: &Visit, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut from, mut to) = stream.into_split();
    let (mut reader, mut out) = (Reader::new(COMMAND), BytesMut::new());
    let mut owed: FuturesOrdered<Owed> = FuturesOrdered::new();
    let gone = Rc::new(Signal::default());
    let known = front.password.is_none();
    let mut talk = Talk {
        version: Version::Resp2,
        number: front.number(),
        name: Bytes::new(),
        known,
        over: false,
    };
    // When a command began to come that is not whole yet, and when replies last could not all be written.
    let (mut part_since, mut stuck_since): (Option<Instant>, Option<Instant>) = (None, None);
    loop {
        while !talk.over && owed.len() < IN_HAND {
            match reader.next_command() {
                Ok(Some(words)) => {
                    part_since = None;
                    let reply = talk.answer(front, visit, &gone, words);
                    owed.push_back(reply);
                }
                Ok(None) => break,
                Err(odd) => {
                    talk.over = true;
                    let text = format!("ERR Protocol error: {}", odd.0);
                    owed.push_back(own(Value::Error(text.into())));
                }
            }
        }
        if owed.is_empty() {
            visit.wait();
        }
        let stopping = front.exchange.stopping() && front.exchange.closing.given();
        if owed.is_empty() && out.is_empty() && (talk.over || stopping) {
            let _ = to.shutdown().await; // it may be gone already
            return;
        }
        part_since = if reader.is_empty() {
            None
        } else {
            part_since.or(Some(Instant::now()))
        };
        stuck_since = if out.is_empty() {
            None
        } else {
            stuck_since.or(Some(Instant::now()))
        };
        let far = Instant::now() + Duration::from_secs(3600);
        let reading =
            !talk.over && owed.len() < IN_HAND && reader.buffered() <= 2 * COMMAND.message_bytes;
        let patience = stuck_since
            .map_or(far, |s| s + UNREAD)
            .min(match part_since {
                Some(since) if reading => since + PIECES,
                _ => far,
            });
        let mut piece = BytesMut::with_capacity(PIECE);
        tokio::select! {
            came = from.read_buf(&mut piece), if reading => match came {
                Ok(n) if n > 0 => reader.feed(&piece),
                // It has ended its sending: what is under way is still passed on, and nothing is sent again.
                Ok(_) => {
                    talk.over = true;
                    gone.give();
                }
                Err(_) => return,
            },
            Some(reply) = owed.next(), if !owed.is_empty() && out.len() < OUT_MOST => {
                talk.word(reply, &mut out);
                // Replies that are ready go out together.
                while out.len() < OUT_MOST {
                    match owed.next().now_or_never() {
                        Some(Some(reply)) => talk.word(reply, &mut out),
                        _ => break,
                    }
                }
            }
            sent = to.write(&out), if !out.is_empty() => match sent {
                Ok(n) if n > 0 => {
                    out.advance(n);
                    stuck_since = None;
                }
                _ => return,
            },
            () = front.exchange.closing.wait(), if !stopping => {}
            () = tokio::time::sleep_until(patience.into()) => return,
        }
    }
}

fn own(value: Value) -> Owed {
    std::future::ready(Reply::Own(value)).boxed_local()
}

fn error(text: impl Into<Bytes>) -> Owed {
    own(Value::Error(text.into()))
}

fn ok() -> Owed {
    own(Value::Simple(Bytes::from_static(b"OK")))
}

fn bulk(text: &'static str) -> Value {
    Value::Bulk(Bytes::from_static(text.as_bytes()))
}

impl Talk {
    /// The reply to a command, now or later.
    fn answer(
        &mut self,
        front: &Rc<Front>,
        visit: &Visit,
        gone: &Rc<Signal>,
        words: Vec<Bytes>,
    ) -> Owed {
        let name = words[0].to_ascii_uppercase();
        let name = String::from_utf8_lossy(&name).into_owned();
        match (name.as_str(), words.len()) {
            ("HELLO", _) => return self.hello(front, &words),
            ("AUTH", 2 | 3) => return self.auth(front, &words[words.len() - 1]),
            ("QUIT", _) => {
                self.over = true;
                return ok();
            }
            _ if !self.known => return error("NOAUTH Authentication required."),
            _ => {}
        }
        if let Some(row) = front.table.row(name.as_bytes()) {
            return match row.remaining(&words) {
                Err(Odd(why)) => error(format!("ERR {name}: {why}")),
                Ok(remaining) => {
                    let key = row
                        .key(&words)
                        .map(|k| front.exchange.key(&String::from_utf8_lossy(k)));
                    let arrival = Arrival {
                        group: row.group,
                        key,
                        account: usize::MAX,
                        remaining,
                        speaks: SPEAKS,
                        ..Arrival::default()
                    };
                    self.hit(front, visit, gone, arrival, &words)
                }
            };
        }
        match (name.as_str(), words.len()) {
            ("PING", 1) => own(Value::Simple(Bytes::from_static(b"PONG"))),
            ("PING", 2) => own(Value::Bulk(words[1].clone())),
            ("RESET", _) => {
                (self.version, self.name, self.known) =
                    (Version::Resp2, Bytes::new(), front.password.is_none());
                own(Value::Simple(Bytes::from_static(b"RESET")))
            }
            ("CLIENT", 2..) => self.client(&words),
            ("COMMAND", 2..) if words[1].eq_ignore_ascii_case(b"COUNT") => {
                own(Value::Integer(front.table.len() as i64))
            }
            ("COMMAND", _) => own(Value::Array(Vec::new())),
            (refused, _) if REFUSED.contains(&refused) => error(format!(
                "ERR '{refused}' is not served here: a hit has no state of its connection"
            )),
            (other, _) => {
                let shown: String = other.chars().filter(|c| !c.is_control()).take(64).collect();
                error(format!("ERR unknown command '{shown}'"))
            }
        }
    }

    /// Hands a hit in.
    fn hit(
        &self,
        front: &Rc<Front>,
        visit: &Visit,
        gone: &Rc<Signal>,
        arrival: Arrival,
        words: &[Bytes],
    ) -> Owed {
        if !front.exchange.ready() {
            return error("LOADING no node list yet, or stopping");
        }
        let mut body = BytesMut::new();
        Value::Array(words.iter().cloned().map(Value::Bulk).collect())
            .write(Version::Resp2, &mut body);
        // No id comes with a command: each is a hit of its own.
        let load = Load {
            id: front.exchange.unnamed(),
            head: Box::new(Command),
            body: body.freeze(),
        };
        let Some(mut ticket) = front.exchange.take(arrival, load) else {
            return error("ERR a hit in hand bears this id");
        };
        visit.brought();
        let gone = gone.clone();
        Box::pin(async move {
            tokio::select! {
                biased;
                answer = ticket.answer() => return Reply::Node(answer),
                () = gone.wait() => ticket.leave(),
            }
            Reply::Node(ticket.answer().await)
        })
    }

    /// Writes a reply down in this connection's version.
    fn word(&self, reply: Reply, out: &mut BytesMut) {
        let value = match reply {
            Reply::Own(value) => value,
            Reply::Node(Answer::Delivered { body, .. }) => {
                if self.version == Version::Resp3 {
                    return out.extend_from_slice(&body); // as nodes' replies are kept
                }
                let mut reader = Reader::new(Limits::default());
                reader.feed(&body);
                match reader.next_value() {
                    Ok(Some(value)) => value,
                    _ => Value::Error(Bytes::from_static(
                        b"FAILED no reply of this protocol; it may have run",
                    )),
                }
            }
            Reply::Node(Answer::Bounced { again_after }) if again_after > 0.0 => {
                let ms = (again_after * 1e3).ceil();
                Value::Error(format!("TRYAGAIN nothing ran; come back in {ms} ms").into())
            }
            Reply::Node(Answer::Bounced { .. }) => {
                Value::Error(Bytes::from_static(b"TRYAGAIN nothing ran"))
            }
            Reply::Node(Answer::Failed) => {
                Value::Error(Bytes::from_static(b"FAILED it may have run"))
            }
        };
        value.write(self.version, out);
    }

    fn auth(&mut self, front: &Front, password: &[u8]) -> Owed {
        match &front.password {
            None => error("ERR AUTH called without a password being set here"),
            Some(expected) if same(expected.as_bytes(), password) => {
                self.known = true;
                ok()
            }
            Some(_) => error("WRONGPASS invalid name or password"),
        }
    }

    /// The greeting: the version, and a login and a name on the way.
    fn hello(&mut self, front: &Front, words: &[Bytes]) -> Owed {
        let version = match words.get(1).map(|w| &w[..]) {
            None => self.version,
            Some(b"2") => Version::Resp2,
            Some(b"3") => Version::Resp3,
            Some(_) => return error("NOPROTO unsupported protocol version"),
        };
        let (mut rest, mut name, mut password) = (words.get(2..).unwrap_or_default(), None, None);
        while let Some(option) = rest.first() {
            match (option.to_ascii_uppercase().as_slice(), rest) {
                (b"AUTH", [_, _, word, more @ ..]) => (password, rest) = (Some(word.clone()), more),
                (b"SETNAME", [_, word, more @ ..]) => (name, rest) = (Some(word.clone()), more),
                _ => return error("ERR HELLO: expected AUTH and two words, or SETNAME and one"),
            }
        }
        if let Some(password) = password {
            let expected = front.password.as_deref().unwrap_or_default();
            if front.password.is_none() || !same(expected.as_bytes(), &password) {
                return error("WRONGPASS invalid name or password");
            }
            self.known = true;
        }
        if !self.known {
            return error("NOAUTH HELLO must be called with AUTH here");
        }
        (self.version, self.name) = (version, name.unwrap_or(std::mem::take(&mut self.name)));
        let proto = if version == Version::Resp3 { 3 } else { 2 };
        own(Value::Map(vec![
            (bulk("server"), bulk("magpieline")),
            (bulk("version"), bulk(env!("CARGO_PKG_VERSION"))),
            (bulk("proto"), Value::Integer(proto)),
            (bulk("id"), Value::Integer(self.number as i64)),
            (bulk("mode"), bulk("standalone")),
            (bulk("role"), bulk("master")),
            (bulk("modules"), Value::Array(Vec::new())),
        ]))
    }

    fn client(&mut self, words: &[Bytes]) -> Owed {
        match (words[1].to_ascii_uppercase().as_slice(), words.len()) {
            (b"ID", 2) => own(Value::Integer(self.number as i64)),
            (b"GETNAME", 2) if self.name.is_empty() => own(Value::Null),
            (b"GETNAME", 2) => own(Value::Bulk(self.name.clone())),
            (b"SETNAME", 3) => {
                self.name = words[2].clone();
                ok()
            }
            (b"SETINFO", 4) | (b"NO-EVICT" | b"NO-TOUCH", 3) => ok(),
            _ => error("ERR CLIENT: expected ID, GETNAME, SETNAME or SETINFO"),
        }
    }
}

/// Whether two words are the same, in a time that does not tell where they differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}

#[cfg(test)]
mod tests;
