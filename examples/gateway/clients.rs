//! Clients: requests at a steady rate, tried again as far as their kind allows, and a line on them every two seconds.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};

const HOST: &str = "booking.example";
/// Method, path, how long a client waits, and the share of the requests.
const KINDS: [(&str, &str, u64, f64); 3] = [
    ("GET", "/slots/", 2500, 0.6),
    ("POST", "/holds/", 3000, 0.2),
    ("POST", "/firings/", 1500, 0.2),
];
/// A line this often.
const LINE: Duration = Duration::from_secs(2);

#[derive(gumdrop::Options)]
pub struct Load {
    #[options(help = "prints this")]
    help: bool,
    #[options(free, required, help = "the proxies' addresses for clients")]
    fronts: Vec<SocketAddr>,
    #[options(help = "requests a second, of all clients", default = "80")]
    per_s: f64,
    #[options(help = "for so long", default = "10")]
    seconds: u64,
}

/// What has become of the requests since the last line, and of all.
#[derive(Default)]
struct Seen {
    sent: u64,
    failed: u64,
    /// Served, by what the answer says of its service and version.
    served: BTreeMap<String, u64>,
    /// Tries that were refused, or failed, and were made again.
    again: u64,
    millis: Vec<f64>,
}

impl Seen {
    fn line(&mut self) -> String {
        let served: u64 = self.served.values().sum();
        let by: Vec<String> = self
            .served
            .iter()
            .map(|(by, count)| format!("{by} {count}"))
            .collect();
        self.millis.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let last = self.millis.len().saturating_sub(1);
            self.millis
                .get((share * last as f64) as usize)
                .copied()
                .unwrap_or(0.0)
        };
        format!(
            "{} sent, {served} served ({}), {} failed, {} tried again; half within {:.0} ms, 99 of 100 within {:.0} ms",
            self.sent,
            by.join(", "),
            self.failed,
            self.again,
            at(0.5),
            at(0.99)
        )
    }

    fn add(&mut self, other: Seen) {
        self.sent += other.sent;
        self.failed += other.failed;
        self.again += other.again;
        other
            .served
            .into_iter()
            .for_each(|(by, count)| *self.served.entry(by).or_default() += count);
        self.millis.extend(other.millis);
    }
}

pub async fn run(load: Load) -> Result<(), String> {
    let tasks = tokio::task::LocalSet::new();
    let mut end = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    tasks
        .run_until(send(load, async move { end.recv().await }))
        .await;
    Ok(())
}

/// Sends until the time is over or SIGTERM has come; then waits for what is under way.
async fn send(load: Load, ended: impl Future<Output = Option<()>>) {
    let mut ended = pin!(ended);
    let seen = Rc::new(RefCell::new(Seen::default()));
    let (began, mut all) = (Instant::now(), Seen::default());
    let (end, mut line) = (began + Duration::from_secs(load.seconds), began + LINE);
    let mut open = tokio::task::JoinSet::new();
    let mut beat = tokio::time::interval(Duration::from_secs_f64(1.0 / load.per_s.max(0.1)));
    while Instant::now() < end {
        tokio::select! {
            _ = beat.tick() => {}
            _ = &mut ended => break,
        }
        while open.try_join_next().is_some() {}
        open.spawn_local(client(seen.clone(), load.fronts.clone()));
        if Instant::now() >= line {
            line += LINE;
            let mut last = seen_last(&seen);
            println!("clients: {}", last.line());
            all.add(last);
        }
    }
    while open.join_next().await.is_some() {}
    all.add(seen_last(&seen));
    println!("clients, in all: {}", all.line());
}

fn seen_last(seen: &Rc<RefCell<Seen>>) -> Seen {
    std::mem::take(&mut *seen.borrow_mut())
}

/// One client with one request.
async fn client(seen: Rc<RefCell<Seen>>, fronts: Vec<SocketAddr>) {
    let (draw, mut front, number) = {
        let mut rng = rand::thread_rng();
        (
            rng.gen_range(0.0..1.0),
            rng.gen_range(0..fronts.len()),
            rng.gen_range(0..1000),
        )
    };
    let mut left: f64 = draw;
    let kind = KINDS.iter().find(|kind| {
        left -= kind.3;
        left < 0.0
    });
    let (method, path, waits, _) = *kind.unwrap_or(&KINDS[0]);
    let (began, due) = (
        Instant::now(),
        Instant::now() + Duration::from_millis(waits),
    );
    seen.borrow_mut().sent += 1;
    loop {
        let id = format!("{:016x}", rand::thread_rng().gen::<u64>());
        let left = due.saturating_duration_since(Instant::now());
        let told = [
            ("try-id", id),
            ("time-left-ms", left.as_millis().to_string()),
        ];
        let at = fronts[front % fronts.len()];
        let request = request(method, &format!("{path}{number}"), HOST, &told);
        let answer = tokio::time::timeout(left, one(at, request)).await;
        let (again, pause) = match answer {
            Ok(Ok((200, headers, body))) if headers.contains_key("postmark") => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let by: Vec<&str> = text.split_whitespace().take(2).collect();
                let mut seen = seen.borrow_mut();
                *seen.served.entry(by.join(" ")).or_default() += 1;
                seen.millis.push(began.elapsed().as_secs_f64() * 1e3);
                return;
            }
            // A promise: it has not run.
            Ok(Ok((429 | 503 | 408 | 421, headers, _))) => {
                let told = headers
                    .get("retry-after")
                    .and_then(|h| h.to_str().ok()?.parse::<f64>().ok());
                (
                    true,
                    Duration::from_secs_f64(told.unwrap_or(0.1).clamp(0.0, 60.0)).min(left / 3),
                )
            }
            Ok(Err(Wrong::NoConnection(_))) => (true, Duration::from_millis(50)),
            // It may have run: only what may run again is sent again.
            _ => (method == "GET", Duration::from_millis(50)),
        };
        if !again || Instant::now() + pause >= due {
            seen.borrow_mut().failed += 1;
            return;
        }
        seen.borrow_mut().again += 1;
        tokio::time::sleep(pause).await;
        front += 1;
    }
}

/// A request with some headers.
pub fn request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", host);
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let body = if method == "POST" {
        Bytes::from_static(b"an order\n")
    } else {
        Bytes::new()
    };
    request
        .body(Full::new(body))
        .expect("a request of known parts")
}

/// Why there is no answer.
pub enum Wrong {
    NoConnection(std::io::Error),
    Broken(hyper::Error),
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Wrong::NoConnection(e) => write!(f, "no connection: {e}"),
            Wrong::Broken(e) => write!(f, "no whole answer: {e}"),
        }
    }
}

/// One request on a connection of its own.
pub async fn one(
    at: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(u16, HeaderMap, Bytes), Wrong> {
    let stream = TcpStream::connect(at).await.map_err(Wrong::NoConnection)?;
    let _ = stream.set_nodelay(true);
    let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut line, rest) = shaken.map_err(Wrong::Broken)?;
    tokio::spawn(rest);
    let answer = line.send_request(request).await.map_err(Wrong::Broken)?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(Wrong::Broken)?.to_bytes();
    Ok((head.status.as_u16(), head.headers, body))
}
