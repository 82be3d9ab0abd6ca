//! Case: the largest appliance of a service is taken away in order; those that stay have room for all requests.

mod common;

use common::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: u8 = 6;
const LARGE_BERTHS: u32 = 16;
const SMALL: usize = 8;
const SMALL_BERTHS: u32 = 2;
const WORK_MS: u64 = 150;
/// Requests a second for `calendario`, and for the other service. 80 a second of 150 ms each are 12 at a time: the small
/// appliances alone have room for 16.
const PER_S: f64 = 80.0;
const OTHER_PER_S: f64 = 10.0;
const BEFORE: f64 = 10.0;
const AFTER: f64 = 60.0;
const WORKERS: usize = 120;

fn config() -> String {
    let route = |name: &str, sort: &str, precedence: u32, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"sort\":\"{sort}\",\"target\":\"600ms\",\"precedence\":{precedence},\"sorting\":{{\"lane_prefix\":\"{prefix}\"}},\
             \"dispatch\":{{\"service\":\"{service}\",\"give_up\":\"2500ms\",\"tries\":2}}}}"
        )
    };
    let fleet = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"conn_cap\":110,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"edition\":1,\"allowances\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\"header\":\"3000ms\",\"idle\":\"15000ms\"}},\
         \"wickets\":[{{\"depot\":\"{HOST}\",\"regulations\":[{},{}]}}],\"fleets\":[{},{}]}}",
        route("slot-lookup", "safe", 2, "/slots/", "calendario"),
        route("firing-confirm", "unsafe", 0, "/firings/", "cocciones"),
        fleet("calendario"),
        fleet("cocciones"),
    )
}

/// One request of a client, and once more to another proxy where it was promised that it never ran. Returns the last status.
fn request(world: &World, number: u32, method: &str, path: &str) -> u16 {
    let mut status = 0;
    let first = number.wrapping_mul(2_654_435_761) >> 8;
    for attempt in 0..2u32 {
        let n = ((first + attempt) % u32::from(PROXIES) + 1) as u8;
        let body = if method == "GET" {
            ""
        } else {
            "Content-Length: 0\r\n"
        };
        let id = format!("t{number:06x}{attempt}");
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: 2500\r\n{body}Connection: close\r\n\r\n"
        );
        let answer = call(world.front(n), &head, b"", ms(2700));
        status = answer.as_ref().map_or(0, |answer| answer.status());
        world.detail(&format!(
            "{:.3} sent {id} {method} to proxy-{n}: {status}",
            world.seconds()
        ));
        let Ok(answer) = answer else { return 0 };
        if !matches!(status, 429 | 503) {
            return status;
        }
        let wait = answer
            .header("retry-after")
            .and_then(|v| v.parse::<f64>().ok())
            .unwrap_or(0.1);
        thread::sleep(Duration::from_secs_f64(wait.min(0.8)));
    }
    status
}

/// Sends requests at a rate; by second: sent, served.
fn traffic(
    world: &Arc<World>,
    from: u32,
    rate: f64,
    span: f64,
    method: &'static str,
    path: &'static str,
) -> Vec<(u32, u32)> {
    let counts: Arc<Vec<[AtomicU32; 2]>> =
        Arc::new((0..span as usize + 1).map(|_| Default::default()).collect());
    let next = Arc::new(Mutex::new((0.0f64, from)));
    let started = Instant::now();
    let workers: Vec<_> = (0..WORKERS)
        .map(|_| {
            let (world, counts, next) = (world.clone(), counts.clone(), next.clone());
            thread::spawn(move || loop {
                let (at, number) = {
                    let mut next = next.lock().unwrap();
                    if next.0 >= span {
                        return;
                    }
                    let due = *next;
                    *next = (due.0 + 1.0 / rate, due.1 + 1);
                    due
                };
                thread::sleep(Duration::from_secs_f64(at).saturating_sub(started.elapsed()));
                let status = request(&world, number, method, path);
                counts[at as usize][0].fetch_add(1, Ordering::SeqCst);
                counts[at as usize][1].fetch_add(u32::from(status == 200), Ordering::SeqCst);
            })
        })
        .collect();
    for worker in workers {
        let _ = worker.join();
    }
    counts
        .iter()
        .map(|c| (c[0].load(Ordering::SeqCst), c[1].load(Ordering::SeqCst)))
        .collect()
}

fn main() {
    let world = World::new(3);
    let trouble = is_trouble();
    world.start_platform();
    let work = |berths| Work {
        time: ms(WORK_MS),
        answer_bytes: 600,
        berths,
    };
    let large = world.start_appliances("calendario", "v1", 1, &work(LARGE_BERTHS));
    let small = world.start_appliances("calendario", "v1", SMALL, &work(SMALL_BERTHS));
    world.start_appliances("cocciones", "v1", 6, &work(2));
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
    let span = BEFORE + AFTER;
    let calendario = {
        let world = world.clone();
        thread::spawn(move || traffic(&world, 0, PER_S, span, "GET", "/slots/3"))
    };
    let cocciones = {
        let world = world.clone();
        thread::spawn(move || traffic(&world, 1 << 20, OTHER_PER_S, span, "PUT", "/firings/3"))
    };
    thread::sleep(Duration::from_secs_f64(BEFORE));
    if trouble {
        world.scale_in(&large[0]);
    }
    let (calendario, cocciones) = (
        calendario.join().unwrap_or_default(),
        cocciones.join().unwrap_or_default(),
    );
    for (second, (one, other)) in calendario.iter().zip(&cocciones).enumerate() {
        world.record(&format!(
            "second {second:2} of traffic: calendario {} of {} served, cocciones {} of {}",
            one.1, one.0, other.1, other.0
        ));
    }
    let ready: Vec<u16> = (1..=PROXIES).map(|n| world.ready(n)).collect();
    world.record(&format!(
        "the proxies answer the platform's question whether they are ready with {ready:?}"
    ));
    for small in &small {
        let health = format!("GET /health HTTP/1.1\r\nHost: {}\r\n\r\n", small.address);
        let answer = call(small.address, &health, b"", ms(500));
        let load = answer
            .as_ref()
            .ok()
            .and_then(|a| a.header("load"))
            .unwrap_or("?")
            .to_owned();
        world.record(&format!(
            "{}: health {}, Load (running, waiting, berths) {load}",
            small.id,
            answer.map_or(0, |a| a.status())
        ));
    }
    let sum = |counts: &[(u32, u32)]| {
        counts
            .iter()
            .fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1))
    };
    let (one, other) = (sum(&calendario), sum(&cocciones));
    let unserved = one.0 + other.0 - one.1 - other.1;
    world.record(&format!(
        "in all: calendario {} of {}, cocciones {} of {}",
        one.1, one.0, other.1, other.0
    ));
    world.record_runs();
    let share = f64::from(unserved) / f64::from(one.0 + other.0);
    world.finish(
        share > 0.6,
        &format!(
            "refused and failed: {:.1}% of all requests (Gate: 60% at most)",
            share * 100.0
        ),
    );
}
