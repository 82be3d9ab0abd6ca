//! LOST: a client that pauses for two seconds before it reads loses an answer that was made for it.

use crate::deployment::{configuration, Deployment};
use crate::http::{read_message, Message};
use crate::record::Record;
use crate::Verdict;
use std::ffi::c_void;
use std::io::{self, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 10;
const PROXIES: usize = 2;
/// As long as the longest answers of the site.
const ANSWER_BYTES: usize = 30_000;
/// A small window, in bytes, as the pages tell of them.
static WINDOW_BYTES: i32 = 4096;
/// Below the client's deadline and the route's timeout, and a small part of `idle`, which is 15 s.
const PAUSE: Duration = Duration::from_millis(2_000);
const DEADLINE_MS: u64 = 3_000;
/// More than three connections that are closed without an answer break the rule.
const ALLOWED: usize = 3;

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
    fn connect(socket: i32, address: *const c_void, length: u32) -> i32;
}

/// An address of the system's, for IPv4.
#[repr(C)]
struct SystemAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects with a small window: it has to be set before the connection comes up.
fn connect_with_small_window(to: SocketAddrV4) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOCK_CLOEXEC: i32 = 0o2_000_000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let address = SystemAddress {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    let is_done = |result: i32| match result {
        -1 => Err(io::Error::last_os_error()),
        result => Ok(result),
    };
    // SAFETY: the pointers are to values that live until the calls return, with their lengths; the socket is owned by the stream.
    unsafe {
        let own = is_done(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))?;
        let stream = TcpStream::from_raw_fd(own);
        is_done(setsockopt(
            own,
            SOL_SOCKET,
            SO_RCVBUF,
            (&raw const WINDOW_BYTES).cast(),
            4,
        ))?;
        is_done(connect(
            own,
            (&raw const address).cast(),
            size_of::<SystemAddress>() as u32,
        ))?;
        Ok(stream)
    }
}

/// What a client saw of its order.
#[derive(Debug)]
enum Outcome {
    Answered(u16),
    /// The connection ended before the answer was complete.
    Closed(String),
}

fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: kilns.example\r\nTry-Id: {id}\r\nTime-Left-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a lookup and then an order on one connection, and pauses before it reads the answer to the order.
fn client(
    record: &Record,
    to: SocketAddrV4,
    number: usize,
    pause: Duration,
) -> io::Result<Outcome> {
    let mut stream = connect_with_small_window(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut held = Vec::new();
    let lookup = format!("lookup-{number}");
    stream.write_all(request("GET", "/slots/1", &lookup, "").as_bytes())?;
    let answer = read_message(&mut stream, &mut held)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.line(format!(
        "client {number}: {lookup} is answered {} on a connection that is kept",
        answer.status()
    ));
    let order = format!("order-{number}");
    let sent_at = Instant::now();
    stream.write_all(request("PUT", "/firings/1", &order, "chamber 7").as_bytes())?;
    record.line(format!(
        "client {number}: sends {order}, pauses for {} ms",
        pause.as_millis()
    ));
    thread::sleep(pause);
    let answer = read_message(&mut stream, &mut held);
    let ms = sent_at.elapsed().as_millis();
    let outcome = match answer {
        Ok(Some(answer)) => Outcome::Answered(answer.status()),
        Ok(None) => Outcome::Closed("closed".into()),
        Err(error) => Outcome::Closed(format!("{error}, after {} bytes", held.len())),
    };
    record.line(format!(
        "client {number}: {order}: {outcome:?}, {ms} ms after it was sent"
    ));
    Ok(outcome)
}

pub fn run(record: &Record, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::prepare(record, PROXIES)?;
    let long_answer = |_: &Message| (200, vec![b'x'; ANSWER_BYTES]);
    for _ in 0..4 {
        deployment.start_endpoint(
            "calendario",
            "v1",
            Arc::new(|_: &Message| (200, b"free".to_vec())),
        )?;
        deployment.start_endpoint("cocciones", "v1", Arc::new(long_answer))?;
    }
    deployment.start_all(true)?;
    let receipt = Duration::from_secs(15);
    deployment
        .operate("call=config.replace", &configuration(1), receipt)
        .ok_or("no configuration")?;
    deployment.wait_until_ready(Duration::from_secs(15))?;
    // Nothing has happened for longer than `contact`: the machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let pause = if with_trouble { PAUSE } else { Duration::ZERO };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, to) = (record.clone(), deployment.clients(number % PROXIES));
            thread::spawn(move || client(&record, to, number, pause))
        })
        .collect();
    let mut closed = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let outcome = client.join().map_err(|_| "a client panicked")?;
        let outcome = outcome.map_err(|error| format!("client {number}: {error}"))?;
        let order = format!("order-{number}");
        let runs = deployment
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.id == order)
            .count();
        match outcome {
            Outcome::Answered(200) if runs == 1 => {}
            Outcome::Closed(why) if runs == 1 => {
                closed += 1;
                record.line(format!("{order} ran once and has no answer: {why}"));
            }
            other => return Err(format!("{order} ran {runs} times: {other:?}")),
        }
    }
    record.line(format!("{closed} of {CLIENTS} orders ran, and their connections were closed without a complete answer; {ALLOWED} are allowed"));
    Ok(closed <= ALLOWED)
}
