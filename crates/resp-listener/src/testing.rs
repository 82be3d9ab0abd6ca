//! Stand-ins for nodes on loopback, and a runtime.

use crate::front::{serve, Front};
use crate::table::Table;
use crate::way::{Command, Pipes, SPEAKS};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use magpieline::interface::Listed;
use magpieline_dispatch::{Chosen, Crowd, Entry, Exchange, Load, Ways};
use magpieline_operator_config::Setting;
use magpieline_resp::{Limits, Reader, Value, Version};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub fn run<F: Future>(test: F) -> F::Output {
    run_within(30, test)
}

pub fn run_within<F: Future>(seconds: u64, test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let timed = async {
        tokio::time::timeout(Duration::from_secs(seconds), test)
            .await
            .expect("a test ends in time")
    };
    tokio::task::LocalSet::new().block_on(&runtime, timed)
}

pub fn encoded(command: &str) -> Bytes {
    let mut text = BytesMut::new();
    let words = command
        .split(' ')
        .map(|w| Value::Bulk(Bytes::copy_from_slice(w.as_bytes())));
    Value::Array(words.collect()).write(Version::Resp2, &mut text);
    text.freeze()
}

pub fn load(command: &str) -> Rc<Load> {
    Rc::new(Load {
        id: 1,
        head: Box::new(Command),
        body: encoded(command),
    })
}

pub async fn served<F: Future + 'static>(script: impl Fn(TcpStream) -> F + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(script(stream));
        }
    });
    address
}

/// The next command; none once the other side has ended.
pub async fn next(stream: &mut TcpStream, reader: &mut Reader) -> Option<Vec<Bytes>> {
    loop {
        if let Some(words) = reader.next_command().ok()? {
            return Some(words);
        }
        let mut piece = BytesMut::with_capacity(64 << 10);
        if stream.read_buf(&mut piece).await.ok()? == 0 {
            return None;
        }
        reader.feed(&piece);
    }
}

pub async fn greeted(stream: &mut TcpStream, reader: &mut Reader) {
    let words = next(stream, reader).await.unwrap_or_default();
    assert_eq!(words.first().map(|w| &w[..]), Some(&b"HELLO"[..]));
    let _ = stream.write_all(b"%1\r\n+proto\r\n:3\r\n").await;
}

/// A node that answers each command with its second word, after a while each.
pub struct Echo {
    pub address: SocketAddr,
    pub connections: Rc<Cell<usize>>,
    /// How often each command came.
    pub seen: Rc<RefCell<BTreeMap<String, u32>>>,
}

pub async fn echo(after: Duration) -> Echo {
    let (connections, seen) = (
        Rc::new(Cell::new(0)),
        Rc::new(RefCell::new(BTreeMap::new())),
    );
    let (made, came) = (connections.clone(), seen.clone());
    let address = served(move |mut stream| {
        made.set(made.get() + 1);
        let came = came.clone();
        async move {
            let mut reader = Reader::new(Limits::default());
            greeted(&mut stream, &mut reader).await;
            while let Some(words) = next(&mut stream, &mut reader).await {
                let text = words
                    .iter()
                    .map(|w| String::from_utf8_lossy(w))
                    .collect::<Vec<_>>()
                    .join(" ");
                *came.borrow_mut().entry(text).or_default() += 1;
                tokio::time::sleep(after).await;
                let mut out = BytesMut::new();
                Value::Bulk(words.get(1).cloned().unwrap_or_default())
                    .write(Version::Resp3, &mut out);
                if stream.write_all(&out).await.is_err() {
                    return;
                }
            }
        }
    })
    .await;
    Echo {
        address,
        connections,
        seen,
    }
}

/// A node whose connections, in turn, wait for what comes within a moment, write this, and end.
pub async fn scripted(texts: Vec<Vec<u8>>) -> SocketAddr {
    let turn = Rc::new(Cell::new(0));
    served(move |mut stream| {
        let text = texts.get(turn.get()).cloned().unwrap_or_default();
        turn.set(turn.get() + 1);
        async move {
            let mut reader = Reader::new(Limits::default());
            greeted(&mut stream, &mut reader).await;
            next(&mut stream, &mut reader).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
            let _ = stream
                .read_buf(&mut BytesMut::with_capacity(64 << 10))
                .now_or_never();
            let _ = stream.write_all(&text).await;
        }
    })
    .await
}

/// A node that writes this once a command has come, and then nothing, on a connection that stays.
pub async fn held(text: Vec<u8>) -> SocketAddr {
    served(move |mut stream| {
        let text = text.clone();
        async move {
            let mut reader = Reader::new(Limits::default());
            greeted(&mut stream, &mut reader).await;
            next(&mut stream, &mut reader).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
            let _ = stream.write_all(&text).await;
            while next(&mut stream, &mut reader).await.is_some() {}
        }
    })
    .await
}

/// A node that is greeted, reads nothing more, and ends after a while.
pub async fn deaf(after: Duration) -> SocketAddr {
    served(move |mut stream| async move {
        greeted(&mut stream, &mut Reader::new(Limits::default())).await;
        tokio::time::sleep(after).await;
    })
    .await
}

/// A node that does not know the greeting.
pub async fn older() -> SocketAddr {
    served(|mut stream| async move {
        let mut reader = Reader::new(Limits::default());
        while let Some(words) = next(&mut stream, &mut reader).await {
            let mut out = BytesMut::new();
            let reply = match &words[0][..] {
                b"HELLO" => Value::Error("ERR unknown command 'HELLO'".into()),
                _ => Value::Bulk(words[1].clone()),
            };
            reply.write(Version::Resp2, &mut out);
            let _ = stream.write_all(&out).await;
        }
    })
    .await
}

/// An address at which nothing listens.
pub async fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .await
        .and_then(|l| l.local_addr())
        .expect("an address")
}

/// GET is a read, SET a payment, BOOK a booking that the second argument marks, WAITS a read that says how long.
pub fn table(exchange: &Exchange) -> Table {
    let rows = [
        ("get", "read", 1, 0, 0),
        ("SET", "pay", 1, 0, 0),
        ("BOOK", "book", 1, 2, 0),
        ("WAITS", "read", 1, 0, 2),
    ];
    let mut values = magpieline_operator_config::Values::new();
    for (i, (name, group, key, mark, at)) in rows.into_iter().enumerate() {
        let mut put =
            |what: &str, setting| values.insert(format!("resp.command.{i}.{what}"), setting);
        put("name", Setting::Text(name.into()));
        put("group", Setting::Text(group.into()));
        put("key", Setting::Number(f64::from(key)));
        put("mark", Setting::Number(f64::from(mark)));
        put("timeout_ms", Setting::Number(1500.0));
        put("timeout_at", Setting::Number(f64::from(at)));
    }
    Table::read(&values, exchange).expect("a table")
}

/// A front over these nodes, and where clients reach it.
pub async fn front(nodes: &[SocketAddr], password: Option<&str>) -> (Rc<Exchange>, SocketAddr) {
    let info = serde_json::json!({"classes": [
        {"name": "read", "repeat": "retryable", "hard_limit_us": 2000000},
        {"name": "pay", "repeat": "fragile", "hard_limit_us": 2000000},
        {"name": "book", "repeat": "dedup", "dedup_scope": "all", "dedup_window_us": 1000000, "hard_limit_us": 2000000}]});
    let second = Duration::from_secs(1);
    let ways: Ways =
        Box::new(move |address, _| Ok(Rc::new(Pipes::new(address, second, 9 * second, None, 1))));
    let exchange = Exchange::new(1, &info, &Chosen::default(), None, ways).expect("an exchange");
    let exchange = Rc::new(exchange);
    if !nodes.is_empty() {
        exchange.listed(true, true, nodes.iter().map(|a| entry(*a, true)).collect());
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (table, crowd) = (table(&exchange), Rc::new(Crowd::new(1000)));
    let front = Front::new(
        exchange.clone(),
        crowd,
        1.0,
        table,
        password.map(str::to_owned),
    );
    tokio::task::spawn_local(serve(Rc::new(front), listener));
    (exchange, address)
}

/// A line of the list.
pub fn entry(address: SocketAddr, open: bool) -> Entry {
    let listed = Listed {
        node: 0,
        open,
        build: 1,
        zone: 0,
        cell: 0,
        rating: 1.0,
        up_since: 0.0,
        speaks: SPEAKS,
    };
    Entry {
        uid: address.to_string(),
        listed,
        address,
        gone: false,
    }
}
