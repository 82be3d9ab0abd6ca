//! What several tests need: a runtime, small servers that play a script, an exchange.

use crate::wire::nodes;
use crate::wire::place::Around;
use magpieline::interface::Listed;
use magpieline_dispatch::{Chosen, Entry, Exchange};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

pub const SETTINGS: &str = r#"{"discovery":"pushed","classes":[
    {"name":"read","repeat":"retryable","hard_limit_us":2000000},
    {"name":"pay","repeat":"fragile","hard_limit_us":2000000},
    {"name":"book","repeat":"dedup","dedup_scope":"all","hard_limit_us":2000000}]}"#;

/// A folder of a test's own, empty.
pub fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("magpieline-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// Plays a test on one thread, within five seconds.
pub fn run<F: Future>(test: F) -> F::Output {
    run_within(5, test)
}

/// The same within so many seconds: where much is sent, a busy machine takes longer.
pub fn run_within<F: Future>(seconds: u64, test: F) -> F::Output {
    let timed = async { tokio::time::timeout(Duration::from_secs(seconds), test).await };
    actix_rt::System::new()
        .block_on(timed)
        .expect("a test ends in time")
}

/// Partners at addresses where nobody is.
pub fn around() -> Rc<Around> {
    let info = serde_json::from_str(SETTINGS).expect("settings");
    Rc::new(Around::new(
        "127.0.0.1:1".into(),
        "127.0.0.1:1".into(),
        &info,
    ))
}

pub fn exchange() -> Rc<Exchange> {
    exchange_told(SETTINGS)
}

/// An exchange told these settings.
pub fn exchange_told(settings: &str) -> Rc<Exchange> {
    let info = serde_json::from_str(settings).expect("settings");
    let ways = nodes::ways(around().times.clone(), None, 1);
    Rc::new(Exchange::new(1, &info, &Chosen::default(), None, ways).expect("an exchange"))
}

/// An exchange that knows these nodes.
pub fn exchange_of(nodes: &[SocketAddr]) -> Rc<Exchange> {
    let exchange = exchange();
    exchange.listed(
        true,
        true,
        nodes.iter().map(|address| entry(*address, 0)).collect(),
    );
    exchange
}

/// The line of an open node that speaks this protocol.
pub fn entry(address: SocketAddr, speaks: u8) -> Entry {
    let listed = Listed {
        node: 0,
        open: true,
        build: 1,
        zone: 0,
        cell: 0,
        rating: 1.0,
        up_since: 0.0,
        speaks,
    };
    Entry {
        uid: address.to_string(),
        listed,
        address,
        gone: false,
    }
}

/// Listens on loopback and plays the script on each connection.
pub async fn server<F: Future + 'static>(script: impl Fn(TcpStream) -> F + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(script(stream));
        }
    });
    address
}

/// The same, counting the connections made.
pub async fn counted<F: Future + 'static>(
    script: impl Fn(TcpStream) -> F + 'static,
) -> (SocketAddr, Rc<Cell<usize>>) {
    let made = Rc::new(Cell::new(0));
    let count = made.clone();
    let address = server(move |stream| {
        count.set(count.get() + 1);
        script(stream)
    });
    (address.await, made)
}

/// Reads one message: its head, and its body by `content-length`.
pub async fn message(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    loop {
        let mut piece = [0; 4096];
        let n = stream.read(&mut piece).await.unwrap_or(0);
        text.extend_from_slice(&piece[..n]);
        let read = String::from_utf8_lossy(&text).into_owned();
        let Some((head, body)) = read.split_once("\r\n\r\n") else {
            if n == 0 {
                return read;
            }
            continue;
        };
        let length = head.lines().find_map(|l| {
            l.to_lowercase()
                .strip_prefix("content-length: ")?
                .parse()
                .ok()
        });
        if n == 0 || body.len() >= length.unwrap_or(0) {
            return read;
        }
    }
}

pub async fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes()).await; // the other side may be gone by intention
}

/// A server that answers each message with the same text, and keeps its connections.
pub async fn answering(text: &'static str) -> SocketAddr {
    server(move |mut stream| async move {
        while !message(&mut stream).await.is_empty() {
            write(&mut stream, text).await;
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

/// An address at which connections never come up: its queue is full and nobody accepts. Both are to be held.
pub async fn full() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("bound");
    let listener = socket.listen(1).expect("a listener");
    let (address, mut held) = (listener.local_addr().expect("an address"), Vec::new());
    while let Ok(stream) =
        tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    {
        held.push(stream.expect("connected"));
    }
    (address, listener, held)
}
