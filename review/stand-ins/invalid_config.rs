//! Case: an operator removes a service while a route still names it, with a share of 0.

mod common;

use common::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: u8 = 3;
/// `recover` of the settings.
const RECOVER: Duration = Duration::from_secs(15);
/// How long all processes stay down, as in the site file's closing faults.
const DOWN: Duration = Duration::from_millis(1300);

fn config(edition: u32, firing: &str, fleets: &[&str]) -> String {
    let fleets: Vec<String> = fleets
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"conn_cap\":110,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"edition\":{edition},\"allowances\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\"header\":\"3000ms\",\"idle\":\"15000ms\"}},\
         \"wickets\":[{{\"depot\":\"{HOST}\",\"regulations\":[\
         {{\"name\":\"slot-lookup\",\"sort\":\"safe\",\"target\":\"600ms\",\"precedence\":2,\"sorting\":{{\"lane_prefix\":\"/slots/\"}},\
         \"dispatch\":{{\"service\":\"calendario\",\"give_up\":\"2500ms\",\"tries\":2}}}},\
         {{\"name\":\"firing-confirm\",\"sort\":\"unsafe\",\"target\":\"400ms\",\"precedence\":0,\"sorting\":{{\"lane_prefix\":\"/firings/\"}},\
         \"dispatch\":{{{firing},\"give_up\":\"1500ms\",\"tries\":2}}}}]}}],\
         \"fleets\":[{}]}}",
        fleets.join(",")
    )
}

/// Sends requests to all proxies for a while, both kinds by turns. Returns how many there were, how many were served, and the
/// statuses of the others.
fn requests(world: &Arc<World>, tag: &str, span: Duration) -> (u32, u32, Vec<u16>) {
    let until = Instant::now() + span;
    let (mut sent, mut served, mut others) = (0, 0, Vec::new());
    while Instant::now() < until && sent < 2000 {
        for n in 1..=PROXIES {
            sent += 1;
            let id = format!("{tag}{sent:05x}");
            let (method, path, body) = match sent % 2 {
                0 => ("PUT", "/firings/12", "{}"),
                _ => ("GET", "/slots/12", ""),
            };
            let length = if body.is_empty() {
                String::new()
            } else {
                format!("Content-Length: {}\r\n", body.len())
            };
            let head = format!(
                "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\nTime-Left-Ms: 1500\r\n{length}Connection: close\r\n\r\n"
            );
            let answer = call(world.front(n), &head, body.as_bytes(), ms(1700));
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            world.detail(&format!("sent {id} {method} {path} to proxy-{n}: {status}"));
            match answer {
                Ok(answer) if status == 200 && answer.header("postmark").is_some() => served += 1,
                _ => others.push(status),
            }
        }
        thread::sleep(ms(100));
    }
    let mut kinds: Vec<(u16, usize)> = Vec::new();
    for status in &others {
        match kinds.iter_mut().find(|(known, _)| known == status) {
            Some((_, count)) => *count += 1,
            None => kinds.push((*status, 1)),
        }
    }
    let kinds: Vec<String> = kinds
        .iter()
        .map(|(status, count)| format!("{count} with status {status}"))
        .collect();
    world.record(&format!(
        "clients, {tag}: {sent} sent, {served} served; others: {} (0: no answer)",
        kinds.join(", ")
    ));
    (sent, served, others)
}

fn start_all(world: &World, first_run: bool) {
    for n in 1..=3 {
        world.start_agent("controller", n, first_run);
    }
    for n in 1..=PROXIES {
        world.start_agent("proxy", n, first_run);
    }
}

fn main() {
    let world = World::new(3);
    let trouble = is_trouble();
    world.record(if trouble {
        "with the invalid configuration"
    } else {
        "TROUBLE=0: all configurations are valid"
    });
    world.start_platform();
    let work = Work {
        time: ms(60),
        answer_bytes: 600,
        berths: 2,
    };
    world.start_appliances("calendario", "v1", 4, &work);
    world.start_appliances("cocciones", "v1", 3, &work);
    world.start_appliances("cocciones-antiguo", "v1", 2, &work);
    start_all(&world, true);

    let all = ["calendario", "cocciones", "cocciones-antiguo"];
    let split = |new: u32, old: u32| {
        format!("\"apportion\":[{{\"service\":\"cocciones\",\"share\":{new}}},{{\"service\":\"cocciones-antiguo\",\"share\":{old}}}]")
    };
    let receipt = ms(5000);
    for (edition, firing) in [(1, split(50, 50)), (2, split(100, 0))] {
        let document = config(edition, &firing, &all);
        let answer = world.order(
            &format!("edition {edition}, valid"),
            "call=config.replace",
            &document,
            receipt * 2,
        );
        if answer.is_none_or(|answer| answer.status() != 200) {
            cannot_run(Some(&world), "a valid configuration was not acknowledged");
        }
    }
    for n in 1..=PROXIES {
        if !world.until_ready(n, ms(10_000)) {
            cannot_run(Some(&world), "a proxy did not become ready");
        }
    }
    let (sent, served, _) = requests(&world, "before", ms(3000));
    if served * 10 < sent * 9 {
        cannot_run(
            Some(&world),
            "requests were not served before the disruption",
        );
    }

    // The old service leaves. The route that names it is left as it is, or names the new one alone.
    let firing = if trouble {
        split(100, 0)
    } else {
        "\"service\":\"cocciones\"".to_owned()
    };
    let third = config(3, &firing, &all[..2]);
    let name = if trouble {
        "edition 3, invalid: a route names a service that is not in it"
    } else {
        "edition 3, valid"
    };
    let answer = world.order(name, "call=config.replace", &third, receipt);
    let status = answer.map_or(0, |answer| answer.status());
    if !trouble && status != 200 {
        cannot_run(
            Some(&world),
            "the valid third configuration was not acknowledged",
        );
    }
    requests(&world, "after", ms(2000));

    // The closing fault: something kills all processes, right after a configuration was acknowledged.
    for n in 1..=3 {
        world.kill(&format!("controller-{n}"));
    }
    for n in 1..=PROXIES {
        world.kill(&format!("proxy-{n}"));
    }
    thread::sleep(DOWN);
    start_all(&world, false);
    let back = Instant::now();
    let read = world.order("config.read", "call=config.read", "", RECOVER);
    let read = read.map_or(String::new(), |answer| answer.text());
    let held = if read == third {
        "edition 3"
    } else if read.starts_with("{\"edition\":2,") {
        "edition 2"
    } else {
        "something else"
    };
    world.record(&format!("config.read after the restart: {held}"));
    let again = world.order(
        "edition 3 again, unchanged",
        "call=config.replace",
        &third,
        receipt,
    );
    let again = again.map_or(0, |answer| answer.status());
    thread::sleep(RECOVER.saturating_sub(back.elapsed()));
    let ready: Vec<u16> = (1..=PROXIES).map(|n| world.ready(n)).collect();
    world.record(&format!("the platform asks the proxies whether they are ready, {RECOVER:?} after the restart: {ready:?}"));
    let (sent, served, _) = requests(&world, "recovered", ms(5000));
    for line in world.log_lines("proxy-1", "can't be").iter().take(2) {
        world.record(&format!("log of proxy-1: {line}"));
    }

    let is_acknowledged = trouble && status == 200;
    let is_refused_again = status == 200 && (400..500).contains(&again);
    let is_down = served * 4 < sent;
    if is_acknowledged {
        world.record("CONFIG: an invalid change was acknowledged");
    }
    if is_refused_again {
        world.record("CONFIG: a change that was acknowledged was sent again, and refused");
    }
    if is_down {
        world.record("RECOVER: less than a quarter is served more than `recover` after the processes are back");
    }
    world.record_runs();
    let broken = is_acknowledged || is_refused_again || is_down;
    world.finish(broken, &format!("edition 3 was answered {status}, and {again} when sent again; served after the restart: {served} of {sent}"));
}
