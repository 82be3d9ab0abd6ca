//! Case: a few clients send long bodies, within `body_bytes`, at the same time.

mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: u8 = 2;
/// Bytes of one long body: `body_bytes` of the configuration is 67,108,864.
const BODY_BYTES: usize = 64_000_000;
/// Clients that send one at a time to each proxy.
const CLIENTS: usize = 5;
/// Bytes a second of one of these clients: a line of 100 Mbit/s. All of them take half of a machine's `link_mbps`.
const BYTES_PER_S: u64 = 12_500_000;
/// What those clients send without the disruption.
const USUAL_BYTES: usize = 24_000;
const ROUNDS: usize = 3;
/// A process that ends is started again after this.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn config() -> String {
    format!(
        "{{\"edition\":1,\"allowances\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\"header\":\"3000ms\",\"idle\":\"15000ms\"}},\
         \"wickets\":[{{\"depot\":\"{HOST}\",\"regulations\":[\
         {{\"name\":\"tentative-hold\",\"sort\":\"unsafe\",\"target\":\"800ms\",\"precedence\":1,\"sorting\":{{\"lane_prefix\":\"/holds/\"}},\
         \"dispatch\":{{\"service\":\"calendario\",\"give_up\":\"10000ms\",\"tries\":2}}}}]}}],\
         \"fleets\":[{{\"name\":\"calendario\",\"health_path\":\"/health\",\"conn_cap\":110,\"protocol\":\"h1\",\"tls\":false}}]}}"
    )
}

/// Sends a request with a body of so many bytes. Returns the status; 0: no answer.
fn upload(world: &World, n: u8, id: &str, bytes: usize) -> u16 {
    let head = format!(
        "POST /holds/7 HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: 10000\r\nContent-Length: {bytes}\r\nConnection: close\r\n\r\n"
    );
    let send = || -> std::io::Result<Message> {
        let mut stream = connect(world.front(n), ms(1000))?;
        stream.set_read_timeout(Some(ms(10_500)))?;
        stream.set_write_timeout(Some(ms(10_500)))?;
        stream.write_all(head.as_bytes())?;
        let piece = vec![b'x'; 64 << 10];
        let (started, mut left) = (Instant::now(), bytes);
        while left > 0 {
            let due = Duration::from_micros((bytes - left) as u64 * 1_000_000 / BYTES_PER_S);
            thread::sleep(due.saturating_sub(started.elapsed()));
            let some = left.min(piece.len());
            stream.write_all(&piece[..some])?;
            left -= some;
        }
        Reader::new(stream)
            .message()?
            .ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    };
    let status = send().map_or(0, |answer| answer.status());
    world.detail(&format!(
        "{:.3} sent {id}, {bytes} bytes, to proxy-{n}: {status}",
        world.seconds()
    ));
    if status == 0 {
        world.unanswered.lock().unwrap().push(id.to_owned());
    }
    status
}

fn resident_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

/// The platform: kills a process that goes over its `memory_mb`, and starts it again.
fn watch(
    world: &Arc<World>,
    n: u8,
    kills: &Arc<Mutex<Vec<u8>>>,
    peaks: &Arc<Mutex<Vec<u64>>>,
    over: &Arc<AtomicBool>,
) {
    let name = format!("proxy-{n}");
    while !over.load(Ordering::SeqCst) {
        thread::sleep(ms(2));
        let Some(pid) = world.pid(&name) else {
            continue;
        };
        let resident = resident_mb(pid);
        let peak = &mut peaks.lock().unwrap()[usize::from(n)];
        *peak = resident.max(*peak);
        if resident > PROXY_MEMORY_MB {
            world.record(&format!(
                "the platform: {name} takes {resident} MB, over its {PROXY_MEMORY_MB}"
            ));
            world.kill(&name);
            kills.lock().unwrap().push(n);
            thread::sleep(RESTART_DELAY);
            world.start_agent("proxy", n, false);
        }
    }
}

fn main() {
    let world = World::new(3);
    let trouble = is_trouble();
    let bytes = if trouble { BODY_BYTES } else { USUAL_BYTES };
    world.record(&format!(
        "{CLIENTS} clients at each of {PROXIES} proxies send bodies of {bytes} bytes"
    ));
    world.start_platform();
    world.start_appliances(
        "calendario",
        "v1",
        6,
        &Work {
            time: ms(200),
            answer_bytes: 400,
            berths: 2,
        },
    );
    for n in 1..=3 {
        world.start_agent("controller", n, true);
    }
    for n in 1..=PROXIES {
        world.start_agent("proxy", n, true);
    }
    let answer = world.order("edition 1", "call=config.replace", &config(), ms(10_000));
    if answer.is_none_or(|answer| answer.status() != 200) {
        cannot_run(Some(&world), "the configuration was not acknowledged");
    }
    for n in 1..=PROXIES {
        if !world.until_ready(n, ms(10_000)) {
            cannot_run(Some(&world), "a proxy did not become ready");
        }
    }
    let (kills, over): (Arc<Mutex<Vec<u8>>>, Arc<AtomicBool>) = Default::default();
    let peaks = Arc::new(Mutex::new(vec![0u64; usize::from(PROXIES) + 1]));
    let watchers: Vec<_> = (1..=PROXIES)
        .map(|n| {
            let (world, kills, peaks, over) =
                (world.clone(), kills.clone(), peaks.clone(), over.clone());
            thread::spawn(move || watch(&world, n, &kills, &peaks, &over))
        })
        .collect();

    // Other clients send short requests all the time.
    let others: Vec<_> = (1..=PROXIES)
        .map(|n| {
            let (world, over) = (world.clone(), over.clone());
            thread::spawn(move || {
                let mut statuses = Vec::new();
                for i in 0..1500 {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    statuses.push(upload(&world, n, &format!("short-{n}-{i:04}"), 300));
                    thread::sleep(ms(50));
                }
                statuses
            })
        })
        .collect();
    for round in 1..=ROUNDS {
        let sending: Vec<_> = (1..=PROXIES)
            .flat_map(|n| (0..CLIENTS).map(move |client| (n, client)))
            .map(|(n, client)| {
                let world = world.clone();
                thread::spawn(move || {
                    (
                        n,
                        upload(&world, n, &format!("long-{round}-{n}-{client}"), bytes),
                    )
                })
            })
            .collect();
        let statuses: Vec<(u8, u16)> = sending
            .into_iter()
            .map(|s| s.join().unwrap_or((0, 0)))
            .collect();
        world.record(&format!(
            "round {round}: (proxy, status; 0: no answer): {statuses:?}"
        ));
        let until = Instant::now() + ms(8_000);
        while Instant::now() < until && !(1..=PROXIES).all(|n| world.ready(n) == 200) {
            thread::sleep(ms(200));
        }
        thread::sleep(ms(2000));
    }
    over.store(true, Ordering::SeqCst);
    for watcher in watchers {
        let _ = watcher.join();
    }
    for (n, other) in others.into_iter().enumerate() {
        let statuses = other.join().unwrap_or_default();
        let served = statuses.iter().filter(|status| **status == 200).count();
        let silent = statuses.iter().filter(|status| **status == 0).count();
        world.record(&format!(
            "short requests at proxy {}: {} sent, {served} served, {silent} without an answer",
            n + 1,
            statuses.len()
        ));
    }
    world.record_runs();
    let unanswered = world.unanswered.lock().unwrap().clone();
    let lost = world
        .ran
        .lock()
        .unwrap()
        .iter()
        .filter(|(id, _)| unanswered.contains(id))
        .count();
    world.record(&format!("{} requests without an answer (a refused connection among them); {lost} of them had been run", unanswered.len()));
    let kills = kills.lock().unwrap().clone();
    let by_proxy: Vec<usize> = (1..=PROXIES)
        .map(|n| kills.iter().filter(|k| **k == n).count())
        .collect();
    world.record(&format!(
        "peak memory by proxy, MB: {:?}; ended over the limit: {by_proxy:?} times",
        &peaks.lock().unwrap()[1..]
    ));
    let often = by_proxy.iter().filter(|count| **count >= 3).count();
    world.finish(often >= 2, &format!("{often} of {PROXIES} proxies ended three times over their memory, with no trouble there"));
}
