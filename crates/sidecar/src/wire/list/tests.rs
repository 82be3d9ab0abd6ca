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
        let _ = tokio::time::timeout(Duration::from_millis(200), follow(exchange.clone(), around))
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
