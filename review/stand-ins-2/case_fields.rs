//! RECOVER: after all processes were killed they return with settings that have gained a field, and none of them starts.

use crate::deployment::{configuration, Deployment};
use crate::http::{read_message, Message};
use crate::record::Record;
use crate::Verdict;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 2;
/// Of the settings.
const RECOVER: Duration = Duration::from_secs(15);
/// How long requests are sent before, and after `recover`.
const TRAFFIC: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// A new field beside the known posts: more addresses, in a list as `seed_depots` is one.
const NEW_FIELD: &str = r#"more_fronts = ["127.0.0.1:8162"]"#;

/// Sends requests for a while. Returns how many were served, and how many were sent.
fn send_requests(record: &Record, deployment: &mut Deployment) -> Result<(usize, usize), String> {
    let (mut served, mut sent) = (0, 0_usize);
    let deadline = Instant::now() + TRAFFIC;
    while Instant::now() < deadline {
        if sent.is_multiple_of(5) {
            deployment.restart_ended()?;
        }
        let to = SocketAddr::V4(deployment.clients(sent % PROXIES));
        sent += 1;
        let outcome = lookup(to, sent);
        served += usize::from(matches!(outcome, Ok(200)));
        record.line(format!(
            "request {sent} to proxy {}: {outcome:?}",
            sent % PROXIES
        ));
        thread::sleep(REQUEST_INTERVAL);
    }
    Ok((served, sent))
}

/// Makes one lookup on a connection of its own. Returns the status.
fn lookup(to: SocketAddr, number: usize) -> Result<u16, String> {
    let within = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to, within).map_err(|error| error.to_string())?;
    stream
        .set_read_timeout(Some(within))
        .map_err(|error| error.to_string())?;
    let request = format!("GET /slots/1 HTTP/1.1\r\nHost: kilns.example\r\nTry-Id: lookup-{number}\r\nTime-Left-Ms: 1000\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .map_err(|error| error.to_string())?;
    let answer = read_message(&mut stream, &mut Vec::new());
    let answer = answer.map_err(|error| error.to_string())?;
    answer
        .map(|answer| answer.status())
        .ok_or_else(|| "closed".into())
}

pub fn run(record: &Record, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::prepare(record, PROXIES)?;
    for service in ["calendario", "calendario", "cocciones"] {
        deployment.start_endpoint(
            service,
            "v1",
            Arc::new(|_: &Message| (200, b"free".to_vec())),
        )?;
    }
    deployment.start_all(true)?;
    let receipt = Duration::from_secs(15);
    deployment
        .operate("call=config.replace", &configuration(1), receipt)
        .ok_or("no configuration")?;
    deployment.wait_until_ready(Duration::from_secs(15))?;
    let (served, sent) = send_requests(record, &mut deployment)?;
    record.line(format!("before: {served} of {sent} requests served"));
    if served != sent {
        return Err("not all requests were served before".into());
    }
    deployment
        .operate("call=config.replace", &configuration(2), receipt)
        .ok_or("no second configuration")?;
    let all = deployment.agents();
    deployment.kill(&all);
    if with_trouble {
        record.line(format!(
            "the settings files gain a field in [network.posts]: {NEW_FIELD}"
        ));
        deployment.new_field = Some(NEW_FIELD);
    }
    thread::sleep(Duration::from_secs(1));
    deployment.start_all(false)?;
    let returned_at = Instant::now();
    let mut ends = 0;
    while returned_at.elapsed() < RECOVER {
        thread::sleep(RESTART_DELAY);
        ends += deployment.restart_ended()?;
    }
    record.line(format!(
        "{ends} times a process ended by itself within `recover`"
    ));
    let (served, sent) = send_requests(record, &mut deployment)?;
    record.line(format!("later than `recover` after the return: {served} of {sent} requests served; a quarter at least is to be"));
    let read = deployment.operate("call=config.read", "", Duration::from_secs(5));
    let edition = read.map(|answer| {
        String::from_utf8_lossy(&answer.body[..13.min(answer.body.len())]).into_owned()
    });
    record.line(format!(
        "the configuration read back begins with {edition:?}; edition 2 was acknowledged"
    ));
    Ok(4 * served >= sent)
}
