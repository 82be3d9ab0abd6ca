//! The node list: the whole of it once, then a watch on its changes.

use crate::memory::exchange::{Exchange, Line};
use crate::wire::{line, whole};
use awc::Client;
use magpieline::interface::Listed;
use magpieline::names::Message;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long one call of a watch may wait. What is told while it waits arrives at once; a shorter wait finds a
/// dead connection sooner, a call in five seconds costs nothing.
const WAIT: Duration = Duration::from_secs(5);
/// How much longer than that an answer may take: the list counts as told two seconds after the wait.
const SLACK: Duration = Duration::from_secs(1);
/// The list's own bound: some thousand lines.
const LIST_MOST: usize = 1 << 20;
/// A new connection is made for each call that has been idle for that long: calls follow one another at once.
const IDLE: Duration = Duration::from_secs(1);

/// Takes a list in: from the configuration (`fresh` is false) or from discovery. Answers its revision.
pub fn take(exchange: &Exchange, list: &Json, fresh: bool) -> Result<u64, String> {
    let list = Message { name: "list", body: list };
    let mut lines = Vec::new();
    for body in list.list("targets")? {
        lines.push(entry(exchange, Message { name: "list: targets", body })?);
    }
    let rev = list.whole("rev")?;
    exchange.listed(list.mark("all")?, fresh, lines);
    Ok(rev)
}

fn entry(exchange: &Exchange, entry: Message) -> Result<Line, String> {
    let wrong = |field: &str, expected: &str| Err(entry.wrong(field, expected));
    let state = entry.text("state")?;
    if !["ready", "draining", "gone"].contains(&state) {
        return wrong("state", "ready, draining or gone");
    }
    let build = entry.whole("build")?;
    let Ok(address) = entry.text("endpoint")?.parse::<SocketAddr>() else {
        return wrong("endpoint", "an address and a port");
    };
    let listed = Listed {
        node: exchange.node(entry.text("uid")?),
        open: state == "ready",
        build: u32::try_from(build).map_err(|_| entry.wrong("build", "a small number"))?,
        zone: exchange.zone(entry.text_or_none("az")?.unwrap_or("")),
        cell: entry.number_or("pod_group", 0.0)? as i64,
        rating: entry.number_or("capacity_hint", 1.0)?,
        up_since: entry.number_or("boot_ms", 0.0)? / 1e3,
    };
    Ok(Line { listed, address, gone: state == "gone" })
}

async fn call(client: &Client, at: &str, query: &str) -> Result<Json, String> {
    let uri = format!("http://{at}/discovery/hosts{query}");
    let asked = async {
        let mut answer = client.get(uri).send().await.map_err(|e| e.to_string())?;
        if answer.status().as_u16() != 200 {
            return Err(format!("answered {}", answer.status()));
        }
        let body = whole(&mut answer, LIST_MOST).await.map_err(|e| format!("{e:?}"))?;
        serde_json::from_slice(&body).map_err(|e| format!("expected JSON: {e}"))
    };
    tokio::time::timeout(WAIT + SLACK, asked).await.unwrap_or_else(|_| Err("no answer".into()))
}

/// Follows the list for as long as the program runs. When to ask again after a failure is not decided here.
pub async fn follow(exchange: Rc<Exchange>, at: String) {
    let client = line::client(SLACK, IDLE);
    loop {
        exchange.to_follow().await;
        let mut rev = None;
        let failed = loop {
            let query =
                rev.map_or(String::new(), |r: u64| format!("?after={r}&wait_ms={}", WAIT.as_millis()));
            match call(&client, &at, &query).await.and_then(|list| take(&exchange, &list, true)) {
                Ok(new) => rev = Some(new),
                Err(e) => break e,
            }
        };
        exchange.complain("list", &failed);
        exchange.list_failed();
    }
}
