//! The memory of a real proxy process while clients and an endpoint send long bodies: it stays within `memory_mb`, and short
//! requests are served beside them.

#[path = "common/agents.rs"]
#[allow(dead_code)]
mod agents;

use agents::{accept, controller_settings, proxy_settings, status, Connection, Process, TIMEOUT};
use magpieline_control_plane::delta;
use magpieline_control_plane::messages::{
    ConfigChunk, ControllerMessage, Endpoint, EndpointState, EndpointUpdate, Hello, ProxyMessage,
};
use rstest::rstest;
use std::fmt::Debug;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// `memory_mb` of the proxy.
const MEMORY_MB: u64 = 72;
/// Bytes of a long body: a few of them take more than the proxy has.
const LONG_BYTES: usize = 12_000_000;
const CLIENTS: usize = 12;
/// Bytes that are written and read at once.
const PIECE_BYTES: usize = 64 << 10;
const CONFIG: &str = r#"{"edition":1,"fleets":[{"name":"s"}],"wickets":[{"depot":"h","regulations":[
{"name":"r","sort":"safe","target":"1s","sorting":{"lane_prefix":"/get/"},"dispatch":{"service":"s","give_up":"20s","tries":2}},
{"name":"u","sort":"unsafe","target":"1s","sorting":{"lane_prefix":"/post/"},"dispatch":{"service":"s","give_up":"20s","tries":2}}]}]}"#;

/// Reads a head; returns its lines, none at the end of the stream.
fn read_head(from: &mut impl BufRead) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        let length = from.read_line(&mut line).unwrap_or(0);
        let line = line.trim_end().to_owned();
        if length == 0 || line.is_empty() {
            return lines;
        }
        lines.push(line);
    }
}

fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let mut fields = head.iter().filter_map(|line| line.split_once(": "));
    let field = fields.find(|(found, _)| found.eq_ignore_ascii_case(name));
    field.map(|(_, value)| value)
}

/// Reads and drops so many bytes; false if there are fewer.
fn skip(from: &mut impl Read, bytes: usize) -> bool {
    std::io::copy(&mut from.take(bytes as u64), &mut std::io::sink()).ok() == Some(bytes as u64)
}

fn content_length(head: &[String]) -> usize {
    header(head, "content-length").map_or(0, |length| length.parse().expect("a number"))
}

/// Answers requests on a connection: `/get/N` with N bytes, all others with one.
fn serve(stream: TcpStream) {
    let mut to = stream.try_clone().expect("a second handle");
    let mut from = BufReader::new(stream);
    loop {
        let head = read_head(&mut from);
        let Some(first) = head.first() else { return };
        let path = first.split(' ').nth(1).unwrap_or("");
        let bytes = path
            .strip_prefix("/get/")
            .and_then(|n| n.parse().ok())
            .unwrap_or(1);
        if !skip(&mut from, content_length(&head)) {
            return;
        }
        let id = header(&head, "try-id").unwrap_or("");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nPostmark: p\r\nContent-Length: {bytes}\r\n\r\n"
        );
        if to
            .write_all(answer.as_bytes())
            .and_then(|()| write_bytes(&mut to, bytes))
            .is_err()
        {
            return;
        }
    }
}

fn write_bytes(to: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
    let piece = [b'x'; PIECE_BYTES];
    let mut left = bytes;
    while left > 0 {
        let some = left.min(piece.len());
        to.write_all(&piece[..some])?;
        left -= some;
    }
    Ok(())
}

fn serve_endpoint(listener: TcpListener) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// A proxy process, the leader that it follows, and an endpoint.
struct Fixture {
    process: Process,
    clients: SocketAddrV4,
    _leader: Connection,
}

/// Tells a proxy all that it needs to serve.
fn lead(inner: &TcpListener, endpoint: SocketAddrV4) -> Connection {
    let (mut connection, hello): (Connection, Hello) = accept(inner);
    let endpoint = Endpoint {
        service: "s".into(),
        address: endpoint,
        zone: "a".into(),
        version: "v1".into(),
        concurrency: 100,
        state: EndpointState::Ready,
        warmup_left: 0,
    };
    let update = EndpointUpdate {
        is_full: true,
        endpoints: vec![("i-1".into(), Some(endpoint))],
    };
    connection.send(1, ControllerMessage::Services(Vec::new()));
    connection.send(1, ControllerMessage::Endpoints(update));
    let bytes = delta::diff("", CONFIG);
    let chunk = ConfigChunk {
        version: 1,
        base_version: None,
        total_bytes: bytes.len() as u32,
        offset: 0,
        bytes,
    };
    connection.send(1, ControllerMessage::ConfigChunk(chunk));
    let applied = connection.next::<ProxyMessage>();
    assert_eq!(
        applied,
        Some(ProxyMessage::ConfigApplied { version: Some(1) })
    );
    let welcome = ControllerMessage::Welcome {
        controllers: Vec::new(),
        proxies: 1,
        confirmed_at: hello.sent_at,
    };
    connection.send(1, welcome);
    connection
}

impl Fixture {
    fn new(test: u8) -> Fixture {
        let net = format!("127.{}.{}", 75 + test, std::process::id() % 250);
        let endpoint: SocketAddrV4 = format!("{net}.50:8080").parse().expect("an address");
        serve_endpoint(TcpListener::bind(endpoint).expect("free"));
        let inner = TcpListener::bind(format!("{net}.1:7720")).expect("free");
        let limits = format!("[self.allowances]\nmemory_mb = {MEMORY_MB}\n");
        let process = Process::start(
            "proxy",
            &format!("memory-{test}"),
            &proxy_settings(&net, &limits),
        );
        let leader = lead(&inner, endpoint);
        let ready = format!("{net}.9:7001").parse().expect("an address");
        let until = Instant::now() + TIMEOUT;
        while status(ready, "GET /v1/ready", "") != Some(200) {
            assert!(Instant::now() < until, "it becomes ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        Fixture {
            process,
            clients: format!("{net}.9:7000").parse().expect("an address"),
            _leader: leader,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.clients).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        stream
    }

    /// Sends short requests, one after the other, while `others` goes on. Returns how many were sent and how many served.
    fn short_requests_beside<T: Send>(
        &self,
        others: impl FnOnce() -> T + Send,
    ) -> (T, usize, usize) {
        let is_over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let short = scope.spawn(|| {
                let (mut sent, mut served) = (0, 0);
                while !is_over.load(Ordering::SeqCst) {
                    sent += 1;
                    let answered = post(self.connect(), &format!("short-{sent}"), Body::Known(300));
                    served += usize::from(answered == Some(200));
                    std::thread::sleep(Duration::from_millis(20));
                }
                (sent, served)
            });
            let result = others();
            is_over.store(true, Ordering::SeqCst);
            let (sent, served) = short.join().expect("no panic");
            (result, sent, served)
        })
    }
}

/// Does something so many times at once. Returns the results in order.
fn all_at_once<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> Vec<T> {
    std::thread::scope(|scope| {
        let work = &work;
        let threads: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || work(number)))
            .collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results.map(|result| result.expect("no panic")).collect()
    })
}

/// How a body of so many bytes is sent.
#[derive(Clone, Copy)]
enum Body {
    /// With its length.
    Known(usize),
    /// In chunks.
    Chunked(usize),
}

/// Sends a request and returns the status; none without an answer.
fn post(mut stream: TcpStream, id: &str, body: Body) -> Option<u16> {
    let framing = match body {
        Body::Known(bytes) => format!("Content-Length: {bytes}"),
        Body::Chunked(_) => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /post/a HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\nTime-Left-Ms: 20000\r\nConnection: close\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    // A refused body is answered before it has come; what is sent then is read and dropped.
    let _ = match body {
        Body::Known(bytes) => write_bytes(&mut stream, bytes),
        Body::Chunked(bytes) => write_chunks(&mut stream, bytes),
    };
    read_status(&read_head(&mut BufReader::new(stream)))
}

fn write_chunks(to: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
    let mut left = bytes;
    while left > 0 {
        let some = left.min(PIECE_BYTES);
        to.write_all(format!("{some:x}\r\n").as_bytes())?;
        write_bytes(to, some)?;
        to.write_all(b"\r\n")?;
        left -= some;
    }
    to.write_all(b"0\r\n\r\n")
}

fn read_status(head: &[String]) -> Option<u16> {
    head.first()?.split(' ').nth(1)?.parse().ok()
}

fn assert_within_memory(process: &Process, memory_mb: u64, results: &dyn Debug) {
    let peak = process.peak_memory();
    assert!(
        peak <= memory_mb * 1_000_000,
        "{peak} bytes at the peak, {results:?}"
    );
}

fn assert_served_or_refused(statuses: &[Option<u16>]) {
    let is_proper = |status: &Option<u16>| matches!(status, Some(200 | 503));
    assert!(statuses.iter().all(is_proper), "{statuses:?}");
}

/// As many are served, at least, as find room at once: long requests may have 36 MB of the 72.
///
/// Guards against: five clients that sent 64 MB each, within `body_bytes`, took a proxy over `memory_mb`; it was killed, and
/// requests that had run were never answered.
#[rstest]
#[case::known_length(0, Body::Known(LONG_BYTES), 2)]
#[case::chunked(1, Body::Chunked(LONG_BYTES), 2)]
#[case::long_and_chunked(5, Body::Chunked(2 * LONG_BYTES), 1)]
fn long_requests_stay_within_the_memory(
    #[case] test: u8,
    #[case] body: Body,
    #[case] fit_at_once: usize,
) {
    let fixture = Fixture::new(test);
    let send = |client| post(fixture.connect(), &format!("long-{client}"), body);
    let send_all = || all_at_once(CLIENTS, send);
    let (statuses, sent, served) = fixture.short_requests_beside(send_all);
    assert_within_memory(&fixture.process, MEMORY_MB, &statuses);
    assert_served_or_refused(&statuses);
    let is_served = |status: &&Option<u16>| **status == Some(200);
    assert!(
        statuses.iter().filter(is_served).count() >= fit_at_once,
        "{statuses:?}"
    );
    assert_eq!(served, sent, "short requests");
}

/// Guards against: long responses were held without a bound on their sum, several copies of each.
#[rstest]
#[case::read_at_once(2, 0)]
#[case::read_slowly(3, 400)]
fn long_responses_stay_within_the_memory(#[case] test: u8, #[case] pause_ms: u64) {
    let fixture = Fixture::new(test);
    let get = |client: usize| {
        let mut stream = fixture.connect();
        let head = format!(
            "GET /get/{LONG_BYTES} HTTP/1.1\r\nHost: h\r\nTry-Id: long-{client}\r\nTime-Left-Ms: 20000\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("sent");
        let mut from = BufReader::new(stream);
        let head = read_head(&mut from);
        std::thread::sleep(Duration::from_millis(pause_ms));
        let is_whole = skip(&mut from, content_length(&head));
        (read_status(&head), is_whole)
    };
    let get_all = || all_at_once(CLIENTS, get);
    let (results, sent, served) = fixture.short_requests_beside(get_all);
    assert_within_memory(&fixture.process, MEMORY_MB, &results);
    assert_eq!(results, vec![(Some(200), true); CLIENTS]);
    assert_eq!(served, sent, "short requests");
}

/// Guards against: a connection kept a buffer as long as the longest response that it had carried.
#[test]
fn kept_connections_hold_no_memory_of_former_responses() {
    let fixture = Fixture::new(4);
    let connections: Vec<TcpStream> = (0..CLIENTS).map(|_| fixture.connect()).collect();
    for (client, stream) in connections.iter().enumerate() {
        let mut stream = stream;
        let head = format!("GET /get/{LONG_BYTES} HTTP/1.1\r\nHost: h\r\nTry-Id: kept-{client}\r\nTime-Left-Ms: 20000\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        let mut from = BufReader::new(stream);
        let head = read_head(&mut from);
        assert_eq!(read_status(&head), Some(200));
        assert!(skip(&mut from, LONG_BYTES));
    }
    assert_within_memory(&fixture.process, MEMORY_MB, &());
}

/// `memory_mb` of the controller.
const CONTROLLER_MEMORY_MB: u64 = 56;
/// Routes of a long configuration, and how many come at once.
const ROUTES: usize = 4_000;
const DOCUMENTS: usize = 24;

fn document(version: u64) -> String {
    let route = |i: usize| {
        format!(
            r#"{{"name":"r-{i}","sort":"safe","target":"{}ms","sorting":{{"lane_prefix":"/p{i}/"}},"dispatch":{{"service":"s","give_up":"1500ms","tries":2}}}}"#,
            600 + version
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let routes = routes.join(",");
    format!(
        r#"{{"edition":{version},"wickets":[{{"depot":"h","regulations":[{routes}]}}],"fleets":[{{"name":"s"}}]}}"#
    )
}

/// Guards against: several long configurations at once took a controller over `memory_mb`, as each pending one was held with all
/// that was parsed of it. Those that find no memory are told so, and all are acknowledged in the end.
#[test]
fn long_configurations_at_once_stay_within_the_memory_of_a_controller() {
    let net = format!("127.81.{}", std::process::id() % 250);
    let limits = format!("[self.allowances]\nmemory_mb = {CONTROLLER_MEMORY_MB}\n");
    let settings = controller_settings(&net, 1, 1, &limits);
    let process = Process::start("controller", "memory-controller", &settings);
    let control = format!("{net}.1:7080").parse().expect("an address");
    let send_until_acknowledged = |document: &str| {
        let until = Instant::now() + TIMEOUT;
        let mut statuses = Vec::new();
        while statuses.last() != Some(&Some(200)) {
            assert!(Instant::now() < until, "{statuses:?}");
            statuses.push(status(
                control,
                "POST /v1/rpc?call=config.replace",
                document,
            ));
            std::thread::sleep(Duration::from_millis(100));
        }
        statuses
    };
    send_until_acknowledged(&document(1));
    let send = |sender| send_until_acknowledged(&document(2 + sender as u64));
    let statuses = all_at_once(DOCUMENTS, send).concat();
    assert_within_memory(&process, CONTROLLER_MEMORY_MB, &statuses);
    assert_served_or_refused(&statuses);
}
