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
mod tests {
    use super::*;
    use crate::testing::*;
    use magpieline_operator_config::Setting;
    use std::net::SocketAddr;

    /// Sends text, and what comes back until the other side ends or nothing more comes for a while.
    async fn told(stream: &mut TcpStream, text: &[u8]) -> String {
        stream.write_all(text).await.expect("sent");
        let mut all = BytesMut::new();
        while let Ok(Ok(n)) =
            tokio::time::timeout(Duration::from_millis(300), stream.read_buf(&mut all)).await
        {
            if n == 0 {
                all.extend_from_slice(b"<end>");
                break;
            }
        }
        String::from_utf8_lossy(&all).into_owned()
    }

    async fn client(address: SocketAddr) -> TcpStream {
        TcpStream::connect(address).await.expect("connected")
    }

    #[test]
    fn replies_come_in_the_order_of_commands_whatever_nodes_do() {
        run(async {
            let (slow, quick) = (
                echo(Duration::from_millis(40)).await,
                echo(Duration::ZERO).await,
            );
            let (exchange, at) = front(&[slow.address, quick.address], None).await;
            let mut stream = client(at).await;
            let mut text = Vec::new();
            let mut expected = String::new();
            for i in 0..30 {
                text.extend_from_slice(&encoded(&format!("GET k{i}")));
                let word = format!("k{i}");
                expected += &format!("${}\r\n{word}\r\n", word.len());
                if i % 10 == 0 {
                    text.extend_from_slice(b"PING\r\n");
                    expected += "+PONG\r\n";
                }
            }
            assert_eq!(told(&mut stream, &text).await, expected);
            assert!(exchange.idle());
            assert!(slow.connections.get() > 0 && quick.connections.get() > 0);
        });
    }

    #[test]
    fn what_is_asked_of_the_connection_is_answered_here() {
        run(async {
            let (_, at) = front(&[echo(Duration::ZERO).await.address], None).await;
            let mut stream = client(at).await;
            for (text, reply) in [
                ("PING", "+PONG\r\n"),
                ("PING a", "$1\r\na\r\n"),
                ("CLIENT SETNAME me", "+OK\r\n"),
                ("CLIENT GETNAME", "$2\r\nme\r\n"),
                ("COMMAND COUNT", ":4\r\n"),
                ("COMMAND DOCS", "*0\r\n"),
                (
                    "AUTH x",
                    "-ERR AUTH called without a password being set here\r\n",
                ),
                ("HELLO 9", "-NOPROTO unsupported protocol version\r\n"),
                (
                    "MULTI",
                    "-ERR 'MULTI' is not served here: a hit has no state of its connection\r\n",
                ),
                (
                    "SUBSCRIBE c",
                    "-ERR 'SUBSCRIBE' is not served here: a hit has no state of its connection\r\n",
                ),
                ("FLUSHALL", "-ERR unknown command 'FLUSHALL'\r\n"),
                (
                    "BOOK k",
                    "-ERR BOOK: argument 2: expected the mark that tells repeats\r\n",
                ),
                (
                    "WAITS k soon",
                    "-ERR WAITS: argument 2: expected whole milliseconds\r\n",
                ),
                ("WAITS k 900", "$1\r\nk\r\n"),
                ("get k", "$1\r\nk\r\n"),
                ("RESET", "+RESET\r\n"),
                ("CLIENT GETNAME", "$-1\r\n"),
            ] {
                assert_eq!(
                    told(&mut stream, format!("{text}\r\n").as_bytes()).await,
                    reply,
                    "{text}"
                );
            }
            let hello = told(&mut stream, b"HELLO 3 SETNAME you\r\n").await;
            assert!(
                hello.starts_with("%7\r\n$6\r\nserver\r\n$10\r\nmagpieline\r\n"),
                "{hello}"
            );
            assert_eq!(
                told(&mut stream, b"PING\r\nQUIT\r\nPING\r\n").await,
                "+PONG\r\n+OK\r\n<end>"
            );
        });
    }

    #[test]
    fn without_the_password_nothing_is_a_hit() {
        run(async {
            let node = echo(Duration::ZERO).await;
            let (_, at) = front(&[node.address], Some("secret")).await;
            let mut stream = client(at).await;
            assert_eq!(
                told(&mut stream, b"GET k\r\n").await,
                "-NOAUTH Authentication required.\r\n"
            );
            assert_eq!(
                told(&mut stream, b"HELLO 3\r\n").await,
                "-NOAUTH HELLO must be called with AUTH here\r\n"
            );
            assert_eq!(
                told(&mut stream, b"AUTH wrong\r\n").await,
                "-WRONGPASS invalid name or password\r\n"
            );
            assert!(node.seen.borrow().is_empty());
            assert!(told(&mut stream, b"HELLO 3 AUTH default secret\r\n")
                .await
                .starts_with("%7\r\n"));
            assert_eq!(told(&mut stream, b"GET k\r\n").await, "$1\r\nk\r\n");
        });
    }

    #[test]
    fn a_bounce_says_that_nothing_ran_and_a_failure_promises_nothing() {
        run(async {
            let (_, at) = front(&[nobody().await], None).await;
            let bounced = told(&mut client(at).await, b"GET k\r\n").await;
            assert!(bounced.starts_with("-TRYAGAIN nothing ran"), "{bounced}");
            let (_, at) = front(&[scripted(vec![]).await], None).await;
            assert_eq!(
                told(&mut client(at).await, b"SET k v\r\n").await,
                "-FAILED it may have run\r\n"
            );
            let (_, at) = front(&[], None).await;
            assert!(told(&mut client(at).await, b"GET k\r\n")
                .await
                .starts_with("-LOADING"));
        });
    }

    #[test]
    fn what_cannot_be_read_gets_one_error_and_a_close() {
        run(async {
            let (_, at) = front(&[echo(Duration::ZERO).await.address], None).await;
            for (text, before) in [
                (&b"*1\r\n:1\r\n"[..], ""),
                (b"*1\r\n*1\r\n", ""),
                (b"*100000\r\n", ""),
                (b"*1\r\n$4294967296\r\n", ""),
                (b"PING\r\n*1\r\n$x\r\nPING\r\n", "+PONG\r\n"),
                (b"GET k\r\nPING\nPING\r\n", "$1\r\nk\r\n"),
            ] {
                let answer = told(&mut client(at).await, text).await;
                let rest = answer.strip_prefix(before).expect(&answer);
                assert!(
                    rest.starts_with("-ERR Protocol error: ") && rest.ends_with("\r\n<end>"),
                    "{answer}"
                );
                assert_eq!(rest.matches("-ERR").count(), 1);
            }
        });
    }

    #[test]
    fn ten_thousand_in_one_write_are_answered_one_by_one() {
        run(async {
            let node = echo(Duration::ZERO).await;
            let (exchange, at) = front(&[node.address], None).await;
            let text: Vec<u8> = (0..10_000)
                .flat_map(|i| encoded(&format!("GET k{i}")))
                .collect();
            let stream = client(at).await;
            let (mut from, mut to) = stream.into_split();
            let sending = tokio::task::spawn_local(async move {
                to.write_all(&text).await.expect("sent");
                to
            });
            let mut reader = Reader::new(Limits::default());
            let (mut delivered, mut bounced) = (0, 0);
            while delivered + bounced < 10_000 {
                let mut piece = BytesMut::with_capacity(PIECE);
                assert!(from.read_buf(&mut piece).await.expect("read") > 0);
                reader.feed(&piece);
                while let Some(value) = reader.next_value().expect("readable") {
                    let i = delivered + bounced;
                    match value {
                        Value::Bulk(word) => {
                            assert_eq!(word, format!("k{i}"));
                            delivered += 1;
                        }
                        value => {
                            assert!(value.is_error(), "{value:?}");
                            bounced += 1;
                        }
                    }
                }
            }
            drop(sending.await.expect("sent"));
            assert!(delivered > 0, "{delivered} and {bounced}");
            assert!(exchange.idle());
        });
    }

    #[test]
    fn who_reads_nothing_is_closed_and_what_waits_for_it_is_bounded() {
        run(async {
            let (_, at) = front(&[], None).await;
            let mut stream = client(at).await;
            let ping = format!("PING {}\r\n", "a".repeat(1000)).repeat(100);
            let begun = Instant::now();
            let mut sent = 0;
            while let Ok(Ok(())) =
                tokio::time::timeout(Duration::from_secs(3), stream.write_all(ping.as_bytes()))
                    .await
            {
                sent += ping.len();
                assert!(begun.elapsed() < Duration::from_secs(10));
            }
            assert!(sent < 64 << 20, "{sent}"); // what the kernel holds both ways, and our own bounds
        });
    }

    /// What is under way when a client ends its sending is passed on; nothing is sent a second time for it.
    #[test]
    fn a_client_that_ends_its_sending_gets_what_is_under_way() {
        run(async {
            let node = echo(Duration::from_millis(50)).await;
            let (exchange, at) = front(&[node.address], None).await;
            let mut stream = client(at).await;
            stream
                .write_all(&[encoded("GET a"), encoded("GET b")].concat())
                .await
                .expect("sent");
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.shutdown().await.expect("shut");
            let mut all = Vec::new();
            stream.read_to_end(&mut all).await.expect("read");
            assert_eq!(String::from_utf8_lossy(&all), "$1\r\na\r\n$1\r\nb\r\n");
            // One that is gone altogether is forgotten.
            let mut stream = client(at).await;
            stream.write_all(&encoded("GET c")).await.expect("sent");
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(stream);
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert!(exchange.idle());
            assert!(node.seen.borrow().values().all(|n| *n == 1));
        });
    }

    #[test]
    fn on_stopping_what_was_taken_is_answered_and_connections_close() {
        run(async {
            let node = echo(Duration::from_millis(200)).await;
            let (exchange, at) = front(&[node.address], None).await;
            let (mut busy, mut idle) = (client(at).await, client(at).await);
            assert_eq!(told(&mut idle, b"PING\r\n").await, "+PONG\r\n");
            busy.write_all(&encoded("GET a")).await.expect("sent");
            tokio::time::sleep(Duration::from_millis(50)).await;
            exchange.stop();
            exchange.closing.give();
            assert_eq!(told(&mut busy, b"").await, "$1\r\na\r\n<end>");
            assert_eq!(told(&mut idle, b"").await, "<end>");
            assert!(exchange.idle());
        });
    }

    /// Batches go on while a node is told to drain: what it has is answered, nothing new comes to it, no hit is lost.
    #[test]
    fn a_drain_in_the_middle_of_a_batch_takes_nothing_new_there() {
        run(async {
            let (a, b) = (
                echo(Duration::from_millis(1)).await,
                echo(Duration::from_millis(1)).await,
            );
            let (exchange, at) = front(&[a.address, b.address], None).await;
            let over = Rc::new(Cell::new(false));
            let talk = |client_number: usize| {
                let over = over.clone();
                async move {
                    let mut stream = client(at).await;
                    let (mut reader, mut got, mut batch) = (Reader::new(Limits::default()), 0, 0);
                    while !over.get() {
                        let keys = (0..40).map(|i| format!("k{client_number}-{batch}-{i}"));
                        let text: Vec<u8> =
                            keys.flat_map(|k| encoded(&format!("GET {k}"))).collect();
                        stream.write_all(&text).await.expect("sent");
                        let owed = got + 40;
                        while got < owed {
                            match reader.next_value().expect("readable") {
                                Some(Value::Bulk(word)) => {
                                    assert_eq!(
                                        word,
                                        format!("k{client_number}-{batch}-{}", got % 40)
                                    );
                                    got += 1;
                                }
                                // The one node that is left may have no room for all.
                                Some(value) if value.is_error() => got += 1,
                                Some(other) => panic!("{other:?}"),
                                None => {
                                    let mut piece = BytesMut::with_capacity(PIECE);
                                    assert!(stream.read_buf(&mut piece).await.expect("read") > 0);
                                    reader.feed(&piece);
                                }
                            }
                        }
                        batch += 1;
                    }
                }
            };
            let drains = async {
                let seen = || a.seen.borrow().values().sum::<u32>();
                while seen() < 20 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                exchange.listed(
                    true,
                    true,
                    vec![entry(a.address, false), entry(b.address, true)],
                );
                // What it has on its connections by then, a millisecond each, however long the machine takes.
                let mut before = 0;
                while seen() != before {
                    before = seen();
                    tokio::time::sleep(Duration::from_millis(250)).await;
                }
                let all = b.seen.borrow().len();
                while b.seen.borrow().len() < all + 200 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                assert_eq!(seen(), before, "something new came to it");
                over.set(true);
            };
            futures_util::future::join(futures_util::future::join_all((0..4).map(talk)), drains)
                .await;
            assert!(exchange.idle());
        });
    }

    #[test]
    fn rows_that_do_not_fit_the_platform_s_groups_are_refused() {
        run(async {
            let (exchange, _) = front(&[], None).await;
            let row = |group: &str, mark: f64| {
                let mut values = magpieline_operator_config::Values::new();
                values.insert("resp.command.0.name".into(), Setting::Text("GET".into()));
                values.insert("resp.command.0.group".into(), Setting::Text(group.into()));
                values.insert("resp.command.0.mark".into(), Setting::Number(mark));
                Table::read(&values, &exchange).map(|_| ())
            };
            assert_eq!(row("read", 0.0), Ok(()));
            let told = |e: Result<(), String>| e.expect_err("refused");
            assert!(told(row("odd", 0.0)).contains("group: found 'odd'"));
            assert!(told(row("read", 2.0)).contains("mark: expected none"));
            assert!(told(row("book", 0.0)).contains("mark: expected, its group is tagged"));
        });
    }
    /// A client library from the registry, unmodified: single commands, a pipeline, the newer version, an error.
    #[test]
    fn a_client_library_talks_through_it() {
        run(async {
            let node = echo(Duration::from_millis(1)).await;
            let (_, at) = front(&[node.address], Some("secret")).await;
            let (done, answered) = tokio::sync::oneshot::channel();
            std::thread::spawn(move || {
                let talk = |query: &str| -> redis::RedisResult<()> {
                    let client = redis::Client::open(format!("redis://:secret@{at}/{query}"))?;
                    let mut connection = client.get_connection()?;
                    let one: String = redis::cmd("GET").arg("k").query(&mut connection)?;
                    assert_eq!(one, "k");
                    let mut pipe = redis::pipe();
                    for i in 0..50 {
                        pipe.cmd("GET").arg(format!("k{i}"));
                    }
                    let all: Vec<String> = pipe.query(&mut connection)?;
                    assert_eq!(all, (0..50).map(|i| format!("k{i}")).collect::<Vec<_>>());
                    let refused: redis::RedisResult<String> =
                        redis::cmd("FLUSHALL").query(&mut connection);
                    assert!(refused
                        .expect_err("refused")
                        .to_string()
                        .contains("unknown command"));
                    Ok(())
                };
                let _ = done.send(
                    talk("")
                        .and_then(|()| talk("?protocol=resp3"))
                        .map_err(|e| e.to_string()),
                );
            });
            assert_eq!(
                answered.await.expect("the client's thread ends well"),
                Ok(())
            );
        });
    }
}
