//! GONE: of clients that leave with many bytes of requests behind the first one, the work goes on, and more is begun.

use crate::deployment::{configuration, Deployment, Run};
use crate::http::{read_message, Message};
use crate::record::Record;
use crate::Verdict;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 2;
const CLIENTS: usize = 6;
/// Lookups that each client sends before the first one is answered.
const LOOKUPS: usize = 8;
/// A header of each, as cookies are; a head may have `header_bytes`, 16,384.
const COOKIE_BYTES: usize = 12_000;
const ENDPOINTS: usize = 16;
const WORK: Duration = Duration::from_millis(2_000);
/// When the clients leave: half of the aim of 600 ms.
const LEAVE_AFTER: Duration = Duration::from_millis(300);
const DEADLINE_MS: u64 = 2_500;
/// Of the rule, in seconds.
const MAX_WORK_AFTER_CLIENT: f64 = 0.5;

fn id(client: usize, lookup: usize) -> String {
    format!("lookup-{client}-{lookup}")
}

/// Sends all lookups at once. Returns the seconds at which the client left.
fn client(
    record: &Record,
    deployment: &Deployment,
    number: usize,
    leaves: bool,
) -> Result<f64, String> {
    let mut stream = TcpStream::connect(deployment.clients(number % PROXIES))
        .map_err(|error| error.to_string())?;
    let cookie = "c".repeat(COOKIE_BYTES);
    let lookup = |lookup: usize| {
        format!(
            "GET /slots/{lookup} HTTP/1.1\r\nHost: kilns.example\r\nTry-Id: {}\r\nTime-Left-Ms: {DEADLINE_MS}\r\nCookie: {cookie}\r\n\r\n",
            id(number, lookup)
        )
    };
    let requests: String = (0..LOOKUPS).map(lookup).collect();
    let sent_at = Instant::now();
    stream
        .write_all(requests.as_bytes())
        .map_err(|error| error.to_string())?;
    record.line(format!(
        "client {number}: sends {LOOKUPS} lookups, {} bytes",
        requests.len()
    ));
    if !leaves {
        let mut held = Vec::new();
        for _ in 0..LOOKUPS {
            let answer = read_message(&mut stream, &mut held);
            let answer = answer.map_err(|error| error.to_string())?.ok_or("closed")?;
            let own = answer.header("try-id").unwrap_or("none").to_owned();
            record.line(format!(
                "client {number}: {own} is answered {}",
                answer.status()
            ));
        }
    }
    thread::sleep(LEAVE_AFTER.saturating_sub(sent_at.elapsed()));
    drop(stream);
    let left_at = record.now();
    record.line(format!("client {number}: closes its connection"));
    Ok(left_at)
}

pub fn run(record: &Record, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::prepare(record, PROXIES)?;
    let answer = |_: &Message| (200, b"free".to_vec());
    for _ in 0..ENDPOINTS {
        deployment.start_working_endpoint("calendario", "v1", WORK, Arc::new(answer))?;
    }
    deployment.start_endpoint("cocciones", "v1", Arc::new(answer))?;
    deployment.start_all(true)?;
    deployment
        .operate(
            "call=config.replace",
            &configuration(1),
            Duration::from_secs(15),
        )
        .ok_or("no configuration")?;
    deployment.wait_until_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    let left_at = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let deployment = &deployment;
                scope.spawn(move || client(record, deployment, number, with_trouble))
            })
            .collect();
        let ends = clients
            .into_iter()
            .map(|client| client.join().map_err(|_| "a client panicked".to_owned())?);
        ends.collect::<Result<Vec<f64>, String>>()
    })?;
    thread::sleep(WORK * 3);
    let runs = deployment.runs.lock().unwrap().clone();
    let (mut lasting, mut working, mut late) = (0, 0, 0);
    for (number, left_at) in left_at.into_iter().enumerate() {
        let bound = left_at + MAX_WORK_AFTER_CLIENT;
        let is_own = |run: &&Run| (0..LOOKUPS).any(|lookup| run.id == id(number, lookup));
        for run in runs.iter().filter(is_own) {
            late += usize::from(run.at > bound);
            let would_last = run.at <= left_at && run.at + WORK.as_secs_f64() > bound;
            lasting += usize::from(would_last);
            working +=
                usize::from(would_last && run.ended_at.is_none_or(|ended_at| ended_at > bound));
        }
    }
    record.line(format!(
        "of {lasting} lookups at work when their clients left, that would have lasted for half a second more, {working} were worked on then; a quarter is allowed"
    ));
    record.line(format!(
        "{late} lookups reached an endpoint more than half a second after their client had left"
    ));
    if with_trouble && lasting == 0 {
        return Err("no lookup was at work when its client left".into());
    }
    Ok(4 * working <= lasting)
}
