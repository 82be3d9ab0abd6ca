//! The node list: the whole of it once, then a watch on its changes.

use crate::wire::place::Around;
use crate::wire::{line, whole};
use awc::Client;
use magpieline::interface::Listed;
use magpieline::names::Message;
use magpieline_dispatch::{Entry, Exchange};
use serde_json::Value as Json;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long one call of a watch may wait. What is told while it waits arrives at once; a shorter wait finds a
/// dead connection sooner, a call every other second costs nothing.
const WAIT: Duration = Duration::from_secs(2);
/// How much longer than that an answer may take: the list counts as told two seconds after the wait, and asking
/// anew needs a part of that.
const SLACK: Duration = Duration::from_millis(500);
/// The list's own bound: some thousand lines.
const LIST_MOST: usize = 1 << 20;
/// A new connection is made for each call that has been idle for that long: calls follow one another at once.
const IDLE: Duration = Duration::from_secs(1);

/// Takes a list in: from the configuration (`fresh` is false) or from discovery. Answers its revision.
pub fn take(exchange: &Exchange, list: &Json, fresh: bool) -> Result<u64, String> {
    let list = Message {
        name: "list",
        body: list,
    };
    let mut lines = Vec::new();
    for body in list.list("targets")? {
        lines.push(entry(
            exchange,
            Message {
                name: "list: targets",
                body,
            },
        )?);
    }
    let rev = list.whole("rev")?;
    exchange.listed(list.mark("all")?, fresh, lines);
    Ok(rev)
}

fn entry(exchange: &Exchange, entry: Message) -> Result<Entry, String> {
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
        node: 0, // given when the list is taken in
        open: state == "ready",
        build: u32::try_from(build).map_err(|_| entry.wrong("build", "a small number"))?,
        zone: exchange.zone(entry.text_or_none("az")?.unwrap_or("")),
        cell: entry.number_or("pod_group", 0.0)? as i64,
        rating: entry.number_or("capacity_hint", 1.0)?,
        up_since: entry.number_or("boot_ms", 0.0)? / 1e3,
        speaks: match entry.text_or_none("speaks")? {
            None | Some("http") => 0,
            Some("resp") => magpieline_resp_listener::SPEAKS,
            Some(_) => return wrong("speaks", "http or resp"),
        },
    };
    Ok(Entry {
        uid: entry.text("uid")?.to_owned(),
        listed,
        address,
        gone: state == "gone",
    })
}

/// Asks once; `patience` is how long an answer may take.
async fn call(client: &Client, at: &str, query: &str, patience: Duration) -> Result<Json, String> {
    let uri = format!("http://{at}/discovery/hosts{query}");
    let asked = async {
        let mut answer = client.get(uri).send().await.map_err(|e| e.to_string())?;
        if answer.status().as_u16() != 200 {
            return Err(format!("answered {}", answer.status()));
        }
        let body = whole(&mut answer, LIST_MOST)
            .await
            .map_err(|e| format!("{e:?}"))?;
        serde_json::from_slice(&body).map_err(|e| format!("expected JSON: {e}"))
    };
    tokio::time::timeout(patience, asked)
        .await
        .unwrap_or_else(|_| Err("no answer".into()))
}

/// Asks for what is new and watches that until it fails. Where lists are pushed the own machine holds the whole of it
/// and answers at once: one that does not is silent. Else discovery answers all agents, the later the more ask, and
/// what they ask for has its price: `held`, the revision that this agent has, is gone on from.
async fn watch(exchange: &Exchange, at: &str, held: &Cell<Option<u64>>) -> String {
    let client = line::client(SLACK, IDLE, Some(LIST_MOST));
    let (mut rev, mut patience) = if exchange.pushed() {
        (None, SLACK)
    } else {
        (held.get(), WAIT + SLACK)
    };
    loop {
        let query = rev.map_or(String::new(), |r: u64| {
            format!("?after={r}&wait_ms={}", WAIT.as_millis())
        });
        match call(&client, at, &query, patience)
            .await
            .and_then(|list| take(exchange, &list, true))
        {
            Ok(new) => (rev, patience) = (Some(new), WAIT + SLACK),
            Err(e) => return e,
        }
        held.set(rev);
    }
}

/// Follows the list for as long as the program runs, at once wherever a new configuration puts it. When to
/// ask again after a failure is not decided here.
pub async fn follow(exchange: Rc<Exchange>, around: Rc<Around>) -> Infallible {
    let (place, held) = (&around.discovery, &around.list_held);
    exchange.follow.wait().await;
    loop {
        let (turn, at) = (place.turn(), place.address());
        let failed = tokio::select! {
            failed = watch(&exchange, &at, held) => failed,
            () = place.left(turn) => {
                held.set(None); // another place may count otherwise
                continue;
            }
        };
        exchange.complain("list", &failed);
        exchange.list_failed();
        tokio::select! {
            () = exchange.follow.wait() => {}
            () = place.left(turn) => held.set(None),
        }
    }
}

#[cfg(test)]
mod tests;
