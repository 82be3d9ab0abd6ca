//! What becomes of clients that go on sending while the proxy shuts down.

use crate::fixture::{request, run, Fixture};
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The grace period of the fixture's settings.
const GRACE: Duration = Duration::from_secs(3);
/// Between the connections of a client that never pauses: the pause for which the proxy once waited was 500 ms.
const CONNECTION_INTERVAL: Duration = Duration::from_millis(20);
/// An endpoint's work.
const WORK: Duration = Duration::from_millis(30);

/// What a client saw of a request.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Answered {
        status: u16,
        is_closing: bool,
    },
    /// The connection ended without a byte of an answer.
    Closed,
    /// The connection ended within an answer.
    Truncated(String),
}

/// Sends a request on a connection and reads its answer.
async fn exchange(stream: &mut TcpStream, id: &str) -> Outcome {
    let sent = request("POST", "/once/order", id);
    if stream.write_all(sent.as_bytes()).await.is_err() {
        return Outcome::Closed;
    }
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(outcome) = answer(&text) {
            return outcome;
        }
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return match text.is_empty() {
                true => Outcome::Closed,
                false => Outcome::Truncated(text),
            };
        }
    }
}

/// Parses a whole answer.
fn answer(text: &str) -> Option<Outcome> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length: usize = header("content-length: ")?.parse().ok()?;
    (body.len() >= length).then(|| Outcome::Answered {
        status: head[9..12].parse().expect("a status"),
        is_closing: header("connection: ") == Some("close"),
    })
}

/// Sends requests on a connection until one is not answered or says that it is the last.
async fn use_connection(
    address: SocketAddrV4,
    name: String,
    pause: Duration,
    seen: UnboundedSender<(String, Outcome)>,
) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    for number in 0.. {
        let id = format!("{name}-{number}");
        let outcome = exchange(&mut stream, &id).await;
        let goes_on = matches!(
            outcome,
            Outcome::Answered {
                is_closing: false,
                ..
            }
        );
        let _ = seen.send((id, outcome));
        if !goes_on {
            return;
        }
        sleep(pause).await;
    }
}

/// A proxy that got SIGTERM went on accepting for as long as a connection came each 500 ms, until it was killed at the end of the
/// grace period with the newest requests at work: "Shutting down: 3 requests in progress", then one 200 after another that said
/// `close` on ever new connections, until 57 ms before the kill. Each new event prolonged the wait. Where too few proxies of a
/// zone are ready, clients are sent to all of them, so connections never pause.
#[test]
fn a_proxy_shuts_down_within_the_grace_period_while_clients_go_on() {
    run(async {
        let mut fixture = Fixture::new().await;
        let (clients, proxy) = (fixture.clients, fixture.proxy.clone());
        let (seen, mut outcomes) = tokio::sync::mpsc::unbounded_channel();
        let (arrived, mut at_endpoint) = tokio::sync::mpsc::unbounded_channel();
        let endpoint = tokio::spawn(async move {
            while let Some(asked) = fixture.asked.recv().await {
                let _ = arrived.send(asked.id());
                tokio::spawn(async move {
                    sleep(WORK).await;
                    asked.answer("", "");
                });
            }
        });
        let mut connections = JoinSet::new();
        for kept in 0..4 {
            let pause = Duration::from_millis(100 * kept);
            connections.spawn(use_connection(
                clients,
                format!("kept{kept}"),
                pause,
                seen.clone(),
            ));
        }
        let coming = tokio::spawn(async move {
            for number in 0.. {
                let name = format!("new{number}");
                connections.spawn(use_connection(clients, name, WORK, seen.clone()));
                sleep(CONNECTION_INTERVAL).await;
            }
        });
        sleep(WORK * 4).await;
        let shutdown_at = Instant::now();
        proxy.shut_down();
        let ended = timeout(GRACE * 2, fixture.serving).await;
        let shut_down_after = shutdown_at.elapsed();
        assert!(ended.is_ok(), "it still serves after {shut_down_after:?}");
        assert!(shut_down_after < GRACE, "{shut_down_after:?}");
        proxy.drained().await;
        coming.abort();
        endpoint.abort();
        let mut ids = HashSet::new();
        while let Ok(id) = at_endpoint.try_recv() {
            assert!(ids.insert(id.clone()), "{id} ran twice");
        }
        let mut answered = 0;
        while let Ok((id, outcome)) = outcomes.try_recv() {
            match outcome {
                Outcome::Answered { status: 200, .. } => answered += 1,
                Outcome::Answered { status: 503, .. } | Outcome::Closed => {
                    assert!(!ids.contains(&id), "{id} ran, and got {outcome:?}");
                }
                _ => panic!("{id} got {outcome:?}"),
            }
        }
        assert!(answered > 20, "{answered}");
    });
}
