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
mod tests {
    use super::*;
    use crate::testing::*;
    use crate::wire::nodes::Head;
    use magpieline_dispatch::{End, Load};
    use std::cell::RefCell;

    fn list(all: bool, targets: &[(&str, &str, &str)]) -> Json {
        let target = |(uid, endpoint, state): &(&str, &str, &str)| {
            let build = 41;
            serde_json::json!({"uid": uid, "endpoint": endpoint, "state": state, "build": build, "az": "a"})
        };
        serde_json::json!({"rev": 7, "all": all, "targets": targets.iter().map(target).collect::<Vec<_>>()})
    }

    /// Forwards something to a node, whatever the decisions would say.
    async fn try_node(exchange: &Exchange, uid: &str) {
        let headers = awc::http::header::HeaderMap::new();
        let target = http::uri::PathAndQuery::from_static("/read");
        let head = Box::new(Head {
            method: http::Method::GET,
            target,
            headers,
        });
        let load = Rc::new(Load {
            id: 1,
            head,
            body: Default::default(),
        });
        let end = exchange.way(uid).expect("a node").forward(load, WAIT).await;
        assert!(matches!(end, End::Answered { .. }), "{end:?}");
    }

    #[test]
    fn what_is_gone_or_absent_from_a_whole_list_is_no_longer_reached() {
        run(async {
            let exchange = exchange();
            let (a, b) = (("a", "127.0.0.1:1", "ready"), ("b", "127.0.0.1:2", "ready"));
            assert_eq!(take(&exchange, &list(true, &[a, b]), true), Ok(7));
            assert_eq!(exchange.nodes_known(), 2);
            let gone = ("b", "127.0.0.1:2", "gone");
            assert_eq!(take(&exchange, &list(false, &[gone]), true), Ok(7));
            assert_eq!(exchange.nodes_known(), 1);
            assert_eq!(take(&exchange, &list(true, &[b]), true), Ok(7));
            assert_eq!(exchange.nodes_known(), 1);
        });
    }

    /// A name that comes back as another process, or at another address, is reached by connections of its own;
    /// one that is merely told of again keeps those it has.
    #[test]
    fn another_process_under_the_same_name_gets_fresh_connections() {
        run(async {
            let (at, made) = counted(|mut stream| async move {
                while !message(&mut stream).await.is_empty() {
                    write(
                        &mut stream,
                        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                    )
                    .await;
                }
            })
            .await;
            let (exchange, at) = (exchange(), at.to_string());
            let told = |build: u32, boot_ms: u32, connections: usize| {
                let mut body = list(false, &[("a", &at, "ready")]);
                (body["targets"][0]["build"], body["targets"][0]["boot_ms"]) =
                    (build.into(), boot_ms.into());
                assert_eq!(take(&exchange, &body, true), Ok(7));
                let (exchange, made) = (exchange.clone(), made.clone());
                async move {
                    try_node(&exchange, "a").await;
                    assert_eq!(made.get(), connections);
                }
            };
            told(41, 0, 1).await;
            told(41, 0, 1).await;
            told(42, 0, 2).await;
            told(42, 9, 3).await;
        });
    }

    /// A list that can't be read changes nothing, not by half either.
    #[test]
    fn an_unreadable_list_leaves_what_was_known() {
        run(async {
            let exchange = exchange();
            let (a, b) = (("a", "127.0.0.1:1", "ready"), ("b", "here", "ready"));
            let complaint = "list: targets: endpoint: expected an address and a port";
            assert_eq!(
                take(&exchange, &list(true, &[a, b]), true),
                Err(complaint.into())
            );
            let complaint = "list: targets: state: expected ready, draining or gone";
            let odd = ("b", "127.0.0.1:2", "odd");
            assert_eq!(
                take(&exchange, &list(true, &[a, odd]), true),
                Err(complaint.into())
            );
            assert_eq!((exchange.nodes_known(), exchange.ready()), (0, false));
        });
    }

    /// Discovery that answers its calls with these texts, then is silent; and what was asked of it.
    async fn discovery(texts: &'static [&'static str]) -> (String, Rc<RefCell<Vec<String>>>) {
        let asked = Rc::new(RefCell::new(Vec::new()));
        let noted = asked.clone();
        let at = server(move |mut stream| {
            let noted = noted.clone();
            async move {
                loop {
                    let came = message(&mut stream).await;
                    if came.is_empty() {
                        return;
                    }
                    let text = texts.get(noted.borrow().len());
                    noted
                        .borrow_mut()
                        .push(came.lines().next().unwrap_or("").to_owned());
                    let Some(text) = text else {
                        return std::future::pending().await;
                    };
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
                    write(&mut stream, &(head + text)).await;
                }
            }
        });
        (at.await.to_string(), asked)
    }

    const SEVEN: &str = r#"{"rev":7,"all":true,"targets":[]}"#;
    const EIGHT: &str = r#"{"rev":8,"all":false,"targets":[]}"#;

    /// The first call asks for all; each later one goes on from the revision held, on the same connection.
    #[test]
    fn a_watch_goes_on_from_the_revision_held() {
        run(async {
            let (at, asked) = discovery(&[SEVEN, EIGHT]).await;
            let exchange = exchange();
            let around = around();
            around.discovery.set(&at);
            let _ =
                tokio::time::timeout(Duration::from_millis(200), follow(exchange.clone(), around))
                    .await;
            let watch = |rev| format!("GET /discovery/hosts?after={rev}&wait_ms=2000 HTTP/1.1");
            assert_eq!(
                *asked.borrow(),
                [
                    "GET /discovery/hosts HTTP/1.1".to_owned(),
                    watch(7),
                    watch(8)
                ]
            );
            assert!(exchange.ready());
        });
    }

    /// After a failure the list is asked for again when the decisions' review says so, and in whole.
    #[test]
    fn a_list_that_failed_is_asked_for_again() {
        run(async {
            let (at, asked) = discovery(&["odd", SEVEN]).await;
            let exchange = exchange();
            let around = around();
            actix_rt::spawn(
                exchange
                    .clone()
                    .review(Rc::new(crate::wire::platform::Clerk(around.clone()))),
            );
            around.discovery.set(&at);
            actix_rt::spawn(follow(exchange.clone(), around));
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(!exchange.ready());
            while !exchange.ready() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(asked.borrow()[..2], ["GET /discovery/hosts HTTP/1.1"; 2]);
        });
    }

    /// A hundred agents that start, or start anew, would ask a shared discovery for a hundred whole lists at once.
    #[test]
    fn a_shared_list_is_gone_on_with_from_the_revision_held() {
        run(async {
            let (at, asked) = discovery(&["odd", EIGHT]).await;
            let (exchange, around) = (
                exchange_told(&SETTINGS.replace("pushed", "on_request")),
                around(),
            );
            around.list_held.set(Some(7));
            around.discovery.set(&at);
            actix_rt::spawn(
                exchange
                    .clone()
                    .review(Rc::new(crate::wire::platform::Clerk(around.clone()))),
            );
            actix_rt::spawn(follow(exchange.clone(), around));
            while asked.borrow().len() < 3 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let watch = |rev| format!("GET /discovery/hosts?after={rev}&wait_ms=2000 HTTP/1.1");
            assert_eq!(*asked.borrow(), [watch(7), watch(7), watch(8)]);
        });
    }

    /// Where lists are pushed a discovery that is down is silent: an agent that waits for it as for a change hears too
    /// late that it is back, and sends to nodes that drain by then.
    #[test]
    fn a_pushed_list_that_is_silent_is_asked_for_again_soon() {
        run(async {
            let (at, asked) = discovery(&[]).await;
            let (exchange, around) = (exchange(), around());
            around.discovery.set(&at);
            actix_rt::spawn(
                exchange
                    .clone()
                    .review(Rc::new(crate::wire::platform::Clerk(around.clone()))),
            );
            actix_rt::spawn(follow(exchange, around));
            tokio::time::sleep(Duration::from_millis(2400)).await;
            assert!(asked.borrow().len() >= 2, "{:?}", asked.borrow());
        });
    }
}
