//! LOST: an order for a version that was returned is acknowledged after the controllers were killed, and is never carried out.

use crate::deployment::{configuration, Agent, Deployment, CONTROLLERS};
use crate::http::{read_message, Message};
use crate::record::Record;
use crate::Verdict;
use std::io::Write;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 2;
const CLIENTS: usize = 6;
const ORDER: &str = r#"{"service":"calendario","to_edition":"v2","within":"12s"}"#;
const RECEIPT: Duration = Duration::from_secs(5);
/// When the controllers are killed, and when the version is ordered anew, after the first order: that is no copy of it any more, as
/// one is sent again for `receipt` at most.
const KILLED_AFTER: Duration = Duration::from_millis(6_000);
const ORDERED_ANEW_AFTER: Duration = Duration::from_millis(9_000);
/// A core that is killed may return within a second.
const DOWN: Duration = Duration::from_millis(500);
/// The term of the order, and some time more.
const WATCHED: Duration = Duration::from_secs(15);

fn controllers() -> Vec<Agent> {
    (0..CONTROLLERS).map(Agent::Controller).collect()
}

/// Sends lookups on one connection until it is over.
fn client(to: SocketAddrV4, number: usize, is_over: &AtomicBool, answers: &AtomicUsize) {
    let mut sent = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut held = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            sent += 1;
            let request = format!("GET /slots/1 HTTP/1.1\r\nHost: kilns.example\r\nTry-Id: l{number}-{sent}\r\nTime-Left-Ms: 2500\r\n\r\n");
            let answer = stream
                .write_all(request.as_bytes())
                .and_then(|()| read_message(&mut stream, &mut held));
            if !matches!(answer, Ok(Some(_))) {
                break;
            }
            answers.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(40));
        }
    }
}

/// Returns the state of the service's rollout.
fn state(deployment: &Deployment) -> Option<String> {
    let answer = deployment.operate(
        "call=editions.read&of=calendario",
        "",
        Duration::from_secs(3),
    )?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let rest = text.split(r#""state":"#).nth(1)?;
    rest.split('"').nth(1).map(str::to_owned)
}

fn kill_and_return(deployment: &mut Deployment) -> Result<(), String> {
    deployment.kill(&controllers());
    thread::sleep(DOWN);
    for controller in controllers() {
        deployment.start(controller, false)?;
    }
    Ok(())
}

fn sleep_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

pub fn run(record: &Record, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::prepare(record, PROXIES)?;
    let work = Duration::from_millis(10);
    let good = move |_: &Message| {
        thread::sleep(work);
        (200, b"free".to_vec())
    };
    let bad = move |_: &Message| {
        thread::sleep(work);
        (500, b"broken".to_vec())
    };
    for _ in 0..4 {
        deployment.start_endpoint("calendario", "v1", Arc::new(good))?;
    }
    deployment.start_endpoint("cocciones", "v1", Arc::new(good))?;
    deployment.start_all(true)?;
    deployment
        .operate(
            "call=config.replace",
            &configuration(1),
            Duration::from_secs(15),
        )
        .ok_or("no configuration")?;
    deployment.wait_until_ready(Duration::from_secs(15))?;
    let (is_over, answers) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    for number in 0..CLIENTS {
        let (to, is_over, answers) = (
            deployment.clients(number % PROXIES),
            is_over.clone(),
            answers.clone(),
        );
        thread::spawn(move || client(to, number, &is_over, &answers));
    }
    thread::sleep(Duration::from_secs(3));

    // The version is ordered and bad, and returned.
    for _ in 0..4 {
        deployment.start_endpoint("calendario", "v2", Arc::new(bad))?;
    }
    let ordered_at = Instant::now();
    let first = deployment
        .operate("call=editions.begin", ORDER, RECEIPT)
        .ok_or("no answer to the first order")?;
    if first.status() != 200 {
        return Err(format!("the first order was answered {}", first.status()));
    }
    while state(&deployment).as_deref() != Some("returned") {
        if ordered_at.elapsed() > KILLED_AFTER {
            return Err("the bad version was not returned in time".into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    deployment.retire("v2");

    sleep_until(ordered_at + KILLED_AFTER);
    if with_trouble {
        kill_and_return(&mut deployment)?;
    }

    // What was wrong with it is mended; it is ordered anew.
    sleep_until(ordered_at + ORDERED_ANEW_AFTER - Duration::from_millis(500));
    for _ in 0..4 {
        deployment.start_endpoint("calendario", "v2", Arc::new(good))?;
    }
    sleep_until(ordered_at + ORDERED_ANEW_AFTER);
    let second = deployment
        .operate("call=editions.begin", ORDER, RECEIPT)
        .ok_or("no answer to the second order")?;
    if second.status() != 200 {
        return Err(format!("the second order was answered {}", second.status()));
    }
    let acknowledged_at = record.now();
    if with_trouble {
        kill_and_return(&mut deployment)?;
    }
    let watched_until = Instant::now() + WATCHED;
    let mut states = Vec::new();
    while Instant::now() < watched_until {
        states.extend(state(&deployment));
        thread::sleep(Duration::from_millis(500));
    }
    is_over.store(true, Ordering::Relaxed);
    let runs = deployment.runs.lock().unwrap();
    let tried = runs
        .iter()
        .filter(|run| run.version == "v2" && run.at > acknowledged_at)
        .count();
    let answers = answers.load(Ordering::Relaxed);
    record.line(format!("{answers} lookups were answered; the version ran {tried} requests after the second order was acknowledged"));
    record.line(format!(
        "the state read after that, each half second: {states:?}"
    ));
    if states.is_empty() {
        return Err("the state could not be read".into());
    }
    // It is gone if nothing but the end of the first rollout is ever read, and nothing was sent to the version.
    let is_gone = states.iter().all(|state| state == "returned") && tried == 0;
    Ok(!is_gone)
}
