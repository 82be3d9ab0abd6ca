//! Nodes over RESP: a few connections each, commands pipelined on them to a stated depth, replies owed in order.
//!
//! What proves that a command never ran: it was never written whole. Everything else that breaks may have run.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use magpieline_dispatch::{End, Load, Way};
use magpieline_resp::{Limits, ParseError, Reader, Value, Version};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// Commands on one connection whose replies are owed: each may have to wait for all before it.
const DEPTH: usize = 64;
/// Another connection is opened, while there may be one, rather than wait behind so many.
const CROWDED: usize = 4;
/// Connections to one node. They cost it descriptors and memory, and this agent too.
const MOST: usize = 4;
/// A connection whose oldest reply was given up is left alone, and closed if that has not come by then: what is
/// behind it on the same connection waits no longer.
const GIVEN_UP: Duration = Duration::from_secs(2);
/// Before a node that could not be connected is tried again: soon, doubling to 32 times that, spread out.
const PAUSE: Duration = Duration::from_millis(50);
/// A node that takes no byte for so long, while some wait to be written, is left: those commands never ran and may go
/// elsewhere at once, and none reaches it late, after it was told to drain perhaps. Well below any drain's grace,
/// well above a pause of the kernel's.
const STUCK: Duration = Duration::from_millis(500);
/// Bytes that wait to be written; more commands wait with those who sent them, and can be withdrawn.
const OUT_MOST: usize = 16 << 10;
/// A part of a reply read at once.
const PIECE: usize = 16 << 10;
/// Error words by which a node says that it has not begun a command, by the published meaning of each.
const UNSEEN: [&[u8]; 8] = [
    b"TRYAGAIN",
    b"LOADING",
    b"BUSY",
    b"CLUSTERDOWN",
    b"MASTERDOWN",
    b"READONLY",
    b"OOM",
    b"NOAUTH",
];

/// How the decisions count this protocol; HTTP/1.1 is 0.
pub const SPEAKS: u8 = 1;

/// The head of a hit that came as a command; its bytes are the load's body.
pub struct Command;

/// The name and password that nodes ask for.
#[derive(Clone, Debug)]
pub struct Login {
    pub user: String,
    pub password: String,
}

/// A command on its way to a connection.
struct Order {
    bytes: Bytes,
    /// Some of it may have been written.
    begun: Rc<Cell<bool>>,
    /// Nobody waits for it any more: what has not begun must not.
    withdrawn: Rc<Cell<bool>>,
    reply: oneshot::Sender<End>,
}

/// A connection, as those see it who look for one.
struct Line {
    orders: mpsc::UnboundedSender<Order>,
    /// Replies owed, and orders that wait to be written.
    owed: Cell<usize>,
    /// When somebody gave up waiting while replies were owed; until one comes nothing new goes there.
    given_up: Cell<Option<Instant>>,
}

struct Node {
    address: SocketAddr,
    connect: Duration,
    idle: Duration,
    login: Option<Login>,
    lines: RefCell<Vec<Rc<Line>>>,
    /// Connects that failed in a row, and until when there is no other.
    failures: Cell<u32>,
    again_at: Cell<Option<Instant>>,
    chance: RefCell<ChaCha8Rng>,
}

/// The way to one node.
pub struct Pipes(Rc<Node>);

impl Pipes {
    /// A way that connects within `connect`, keeps idle connections for `idle`, and spreads its pauses by `seed`.
    pub fn new(
        address: SocketAddr,
        connect: Duration,
        idle: Duration,
        login: Option<Login>,
        seed: u64,
    ) -> Pipes {
        let (lines, failures, again_at) = Default::default();
        let chance = ChaCha8Rng::seed_from_u64(seed).into();
        Pipes(Rc::new(Node {
            address,
            connect,
            idle,
            login,
            lines,
            failures,
            again_at,
            chance,
        }))
    }
}

impl Way for Pipes {
    fn forward(&self, load: Rc<Load>, limit: Duration) -> LocalBoxFuture<'static, End> {
        let node = self.0.clone();
        Box::pin(async move {
            if load.head.downcast_ref::<Command>().is_none() {
                return End::Nowhere; // another front's hit
            }
            node.forward(load.body.clone(), limit).await
        })
    }
}

impl Drop for Pipes {
    /// The node is gone, or is reached anew: its connections close once nothing is owed on them.
    fn drop(&mut self) {
        self.0.lines.borrow_mut().clear();
    }
}

impl Node {
    async fn forward(self: &Rc<Self>, bytes: Bytes, limit: Duration) -> End {
        let line = match self.line() {
            Ok(line) => line,
            Err(end) => return end,
        };
        let (begun, withdrawn) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let (reply, answer) = oneshot::channel();
        let order = Order {
            bytes,
            begun: begun.clone(),
            withdrawn: withdrawn.clone(),
            reply,
        };
        line.owed.set(line.owed.get() + 1);
        if line.orders.send(order).is_err() {
            return End::CutBefore; // it ended a moment ago
        }
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(end)) => end,
            // The connection's task is gone and had not even begun with it, or it would have said so.
            Ok(Err(_)) if !begun.get() => End::CutBefore,
            Ok(Err(_)) => End::CutAfter,
            Err(_) => {
                withdrawn.set(true);
                if !begun.get() {
                    return End::NeverUp;
                }
                line.given_up
                    .set(line.given_up.get().or(Some(Instant::now())));
                End::Silent
            }
        }
    }

    /// The connection with the least owed, a new one where that is better, or why there is none.
    fn line(self: &Rc<Self>) -> Result<Rc<Line>, End> {
        let mut lines = self.lines.borrow_mut();
        lines.retain(|l| !l.orders.is_closed());
        let least = lines
            .iter()
            .filter(|l| l.given_up.get().is_none())
            .min_by_key(|l| l.owed.get())
            .cloned();
        if let Some(line) = least.as_ref().filter(|l| l.owed.get() < CROWDED) {
            return Ok(line.clone());
        }
        let paused = self.again_at.get().is_some_and(|at| Instant::now() < at);
        if lines.len() < MOST && !paused {
            let (orders, taken) = mpsc::unbounded_channel();
            let (owed, given_up) = Default::default();
            let line = Rc::new(Line {
                orders,
                owed,
                given_up,
            });
            lines.push(line.clone());
            // The task holds the line weakly: it ends once nobody can order any more and nothing is owed.
            tokio::task::spawn_local(attend(self.clone(), Rc::downgrade(&line), taken));
            return Ok(line);
        }
        match least.filter(|l| l.owed.get() < DEPTH) {
            Some(line) => Ok(line),
            None if lines.is_empty() => Err(End::Refused),
            None => Err(End::Busy),
        }
    }

    fn connected(&self, up: bool) {
        if up {
            self.failures.set(0);
            self.again_at.set(None);
            return;
        }
        let doubled = 2f64.powi(self.failures.get().min(5) as i32);
        self.failures.set(self.failures.get().saturating_add(1));
        let spread = self.chance.borrow_mut().gen_range(0.5..1.5);
        self.again_at
            .set(Some(Instant::now() + PAUSE.mul_f64(doubled * spread)));
    }
}

/// A reply that is owed.
struct Owed {
    /// How much has been written once this command has been written whole.
    whole_at: u64,
    reply: oneshot::Sender<End>,
}

/// Opens a connection, and greets the node: the newer version if it speaks that. What came behind the greeting's
/// reply is read on.
async fn open(node: &Node) -> Result<(TcpStream, Reader), End> {
    let refused = |e: std::io::Error| {
        log::debug!("forward: {}: {e}", node.address);
        match e.raw_os_error() {
            Some(23 | 24) => End::NoRoom, // ENFILE, EMFILE
            _ => End::Refused,
        }
    };
    let mut stream = TcpStream::connect(node.address).await.map_err(refused)?;
    stream.set_nodelay(true).map_err(refused)?;
    let mut reader = Reader::new(Limits::default());
    let mut hello = vec!["HELLO", "3"];
    if let Some(Login { user, password }) = &node.login {
        hello.extend(["AUTH", user, password]);
    }
    if ask(&mut stream, &mut reader, &hello).await?.is_error() {
        // An older one: it knows no greeting, and a password only.
        if let Some(Login { password, .. }) = &node.login {
            if ask(&mut stream, &mut reader, &["AUTH", password])
                .await?
                .is_error()
            {
                log::warn!("node {}: does not take this agent's password", node.address);
                return Err(End::Refused);
            }
        }
    }
    Ok((stream, reader))
}

async fn ask(stream: &mut TcpStream, reader: &mut Reader, words: &[&str]) -> Result<Value, End> {
    let mut text = BytesMut::new();
    let words = words
        .iter()
        .map(|w| Value::Bulk(Bytes::copy_from_slice(w.as_bytes())));
    Value::Array(words.collect()).write(Version::Resp2, &mut text);
    stream.write_all(&text).await.map_err(|_| End::Refused)?;
    loop {
        match reader.next_value() {
            Ok(Some(Value::Push(_))) => continue,
            Ok(Some(value)) => return Ok(value),
            Ok(None) => {}
            Err(_) => return Err(End::Refused),
        }
        let mut piece = BytesMut::with_capacity(PIECE);
        if stream
            .read_buf(&mut piece)
            .await
            .map_err(|_| End::Refused)?
            == 0
        {
            return Err(End::Refused);
        }
        reader.feed(&piece);
    }
}

/// Serves one connection to its end.
async fn attend(
    node: Rc<Node>,
    line: std::rc::Weak<Line>,
    mut orders: mpsc::UnboundedReceiver<Order>,
) {
    let opened = tokio::time::timeout(node.connect, open(&node))
        .await
        .unwrap_or(Err(End::NeverUp));
    node.connected(opened.is_ok());
    let (stream, mut reader) = match opened {
        Ok(opened) => opened,
        Err(end) => {
            orders.close();
            while let Ok(order) = orders.try_recv() {
                let _ = order.reply.send(end.clone()); // whoever waited may have left
            }
            return;
        }
    };
    let (mut from, mut to) = stream.into_split();
    let mut owed: VecDeque<Owed> = VecDeque::new();
    let (mut out, mut queued, mut written) = (BytesMut::new(), 0u64, 0u64);
    let count = |owed: &VecDeque<Owed>, orders: &mpsc::UnboundedReceiver<Order>| {
        line.upgrade()
            .iter()
            .for_each(|l| l.owed.set(owed.len() + orders.len()));
    };
    let (mut ordering, mut moved) = (true, Instant::now());
    let spoilt = loop {
        count(&owed, &orders);
        let given_up = line.upgrade().and_then(|l| l.given_up.get());
        let close_at = match given_up {
            _ if !out.is_empty() => moved + STUCK,
            Some(since) => since + GIVEN_UP,
            None if owed.is_empty() => Instant::now() + node.idle,
            None => Instant::now() + Duration::from_secs(3600), // forwards have limits of their own
        };
        let mut piece = BytesMut::with_capacity(PIECE);
        tokio::select! {
            order = orders.recv(), if ordering && owed.len() < DEPTH && out.len() < OUT_MOST => match order {
                None => {
                    ordering = false;
                    if owed.is_empty() {
                        break None;
                    }
                }
                Some(order) if order.withdrawn.get() => {}
                Some(order) => {
                    order.begun.set(true);
                    if out.is_empty() {
                        moved = Instant::now();
                    }
                    queued += order.bytes.len() as u64;
                    out.extend_from_slice(&order.bytes);
                    owed.push_back(Owed { whole_at: queued, reply: order.reply });
                }
            },
            sent = to.write(&out), if !out.is_empty() => match sent {
                Ok(n) if n > 0 => {
                    out.advance(n);
                    (written, moved) = (written + n as u64, Instant::now());
                }
                _ => break None,
            },
            came = from.read_buf(&mut piece) => match came {
                Ok(n) if n > 0 => {
                    reader.feed(&piece);
                    match replies(&mut reader, &mut owed) {
                        Ok(0) => {}
                        Ok(_) => line.upgrade().iter().for_each(|l| l.given_up.set(None)),
                        Err(spoilt) => break Some(spoilt),
                    }
                    if owed.is_empty() && !ordering {
                        break None;
                    }
                }
                _ => break None,
            },
            () = tokio::time::sleep_until(close_at.into()) => break None,
        }
    };
    orders.close();
    if let Some(ParseError(why)) = &spoilt {
        log::debug!("forward: {}: {why}", node.address);
        if let Some(first) = owed.pop_front() {
            let end = if first.whole_at > written {
                End::CutBefore
            } else {
                End::Unreadable
            };
            let _ = first.reply.send(end);
        }
    }
    for each in owed {
        let end = if each.whole_at > written {
            End::CutBefore
        } else {
            End::CutAfter
        };
        let _ = each.reply.send(end);
    }
    while let Ok(order) = orders.try_recv() {
        let _ = order.reply.send(End::CutBefore);
    }
}

/// Gives replies that have come to those they are owed to, in order; how many. Pushes answer nothing.
fn replies(reader: &mut Reader, owed: &mut VecDeque<Owed>) -> Result<usize, ParseError> {
    let mut many = 0;
    while let Some(value) = reader.next_value()? {
        let pushed = match &value {
            Value::WithAttributes(_, inner) => matches!(**inner, Value::Push(_)),
            value => matches!(value, Value::Push(_)),
        };
        if pushed {
            continue;
        }
        let Some(first) = owed.pop_front() else {
            return Err(ParseError("a reply that nobody is owed"));
        };
        many += 1;
        let _ = first.reply.send(end(value)); // given up meanwhile, perhaps
    }
    Ok(many)
}

/// What a reply means. An error that says the command was not begun proves it; others are failures.
fn end(value: Value) -> End {
    match value.error() {
        Some(text) => {
            let word = text.split(|b| *b == b' ').next().unwrap_or_default();
            if UNSEEN.contains(&word) {
                End::TurnedAway
            } else {
                End::Failed
            }
        }
        None => {
            let mut body = BytesMut::new();
            value.write(Version::Resp3, &mut body);
            End::Answered {
                kind: None,
                body: body.freeze(),
            }
        }
    }
}

#[cfg(test)]
mod tests;
