//! What reaches an endpoint of what clients send, and what they are answered.

use crate::fixture::{request, rest, run, until, EndpointRequest, Fixture, CONFIG};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Guards against smuggling through the real server: what came before is served, the odd request is answered with
/// 400 by the proxy, what is hidden behind it goes nowhere, and the connection ends in order.
#[test]
fn a_hidden_request_reaches_nobody() {
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        let hidden = request("GET", "/safe/hidden", "hidden");
        let odd = "POST /once/a HTTP/1.1\r\nHost: h\r\nTry-Id: odd\r\nContent-Length: 4\r\n\
                   Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        let sent = [&request("GET", "/safe/a", "t1"), odd, &hidden].concat();
        client.write_all(sent.as_bytes()).await.expect("sent");
        fixture.asked().await.answer("", "");
        let text = rest(&mut client).await;
        assert!(
            text.starts_with("HTTP/1.1 200 OK") && text.contains("\r\n\r\nt1HTTP/1.1 400 Bad"),
            "{text}"
        );
        assert_eq!(
            (
                text.matches("HTTP/1.1").count(),
                text.matches("connection: close").count()
            ),
            (2, 1)
        );
        assert!(fixture.asked.try_recv().is_err(), "nothing more was asked");
    });
}

/// Guards against a body in chunks that goes on oddly: its request was begun, yet nothing of it reaches an endpoint.
#[test]
fn a_broken_body_is_answered_and_reaches_nobody() {
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        let head = request("PUT", "/once/a", "t1");
        let head = head.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
        client
            .write_all(format!("{head}3\r\nabc\r\n").as_bytes())
            .await
            .expect("sent");
        client
            .write_all(b"0x1\r\na\r\n0\r\n\r\nGET /safe/a HTTP/1.1\r\nHost: h\r\n\r\n")
            .await
            .expect("sent");
        let text = rest(&mut client).await;
        assert!(
            text.starts_with("HTTP/1.1 400 ") && text.contains("connection: close"),
            "{text}"
        );
        assert_eq!(text.matches("HTTP/1.1").count(), 1);
        assert!(fixture.asked.try_recv().is_err(), "nothing was asked");
        let mut long = fixture.client().await;
        long.write_all(format!("GET /{} HTTP/1.1\r\n", "y".repeat(2000)).as_bytes())
            .await
            .expect("sent");
        assert!(rest(&mut long).await.starts_with("HTTP/1.1 431 "));
    });
}

/// Guards against an answer lost to a body that nobody reads: what goes nowhere is answered before its body has come,
/// and its connection ends in order although more was sent.
#[test]
fn an_answer_does_not_wait_for_a_body() {
    run(async {
        let fixture = Fixture::new().await;
        for body in [
            "Content-Length: 9\r\n\r\nabc",
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\nabc\r\n3\r\na",
        ] {
            let mut client = fixture.client().await;
            let head = request("PUT", "/nowhere", "t1");
            client
                .write_all(head.replace("\r\n\r\n", &format!("\r\n{body}")).as_bytes())
                .await
                .expect("sent");
            let text = rest(&mut client).await;
            assert!(
                text.starts_with("HTTP/1.1 404 ") && text.contains("connection: close"),
                "{body}: {text}"
            );
        }
    });
}

/// Guards against idempotent requests that wait for one another, and against answers out of order: all are at the endpoint
/// before the first is answered, and are answered in the order they were sent. The one behind them that is not idempotent waits.
#[test]
fn pipelined_idempotent_requests_start_early_and_are_answered_in_order() {
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        let mut sent: String = (1..5)
            .map(|i| request("GET", &format!("/safe/{i}"), &format!("t{i}")))
            .collect();
        sent += &request("POST", "/once/5", "t5");
        client.write_all(sent.as_bytes()).await.expect("sent");
        let mut waiting = Vec::new();
        for _ in 1..5 {
            waiting.push(fixture.asked().await);
        }
        assert!(waiting.iter().all(|w| w.id() != "t5"));
        waiting.sort_by_key(EndpointRequest::id);
        for asked in waiting.into_iter().rev() {
            assert!(
                fixture.asked.try_recv().is_err(),
                "one that is not idempotent does not start early"
            );
            asked.answer("", "");
        }
        let last = fixture.asked().await;
        assert!(last.text.starts_with("POST /once/5 "));
        last.answer("", "");
        let text = until(&mut client, "\r\n\r\nt5").await;
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("try-id: "))
            .collect();
        assert_eq!(ids, ["t1", "t2", "t3", "t4", "t5"]);
    });
}

/// Guards against requests lost when the process shuts down: those that are at an endpoint are all answered, the last
/// of them closes, and a request that was sent behind them goes nowhere.
#[test]
fn shutdown_answers_what_was_started() {
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        let sent = [
            request("GET", "/safe/1", "t1"),
            request("GET", "/safe/2", "t2"),
        ]
        .concat();
        client.write_all(sent.as_bytes()).await.expect("sent");
        let both = [fixture.asked().await, fixture.asked().await];
        fixture.proxy.shut_down();
        client
            .write_all(request("POST", "/once/3", "t3").as_bytes())
            .await
            .expect("sent");
        both.into_iter().for_each(|asked| asked.answer("", ""));
        let text = rest(&mut client).await;
        let closing = text.find("connection: close").expect("told so");
        assert!(
            text.find("t2").expect("answered") < text.len()
                && text.find("\r\n\r\nt1") < Some(closing)
        );
        assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2);
        assert!(fixture.asked.try_recv().is_err(), "nothing more was asked");
    });
}

/// Guards against another request's answer (MIXED) and against requests lost to it: late answers are passed over,
/// and a connection on which more came than was asked for is not used again.
#[test]
fn answers_late_or_doubled_harm_nobody() {
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        let (mut connections, late, surplus) = (
            Vec::new(),
            EndpointRequest::whole("t0"),
            EndpointRequest::whole("t9"),
        );
        for (i, (before, behind)) in [
            ("", ""),
            (late.as_str(), ""),
            ("", surplus.as_str()),
            ("", ""),
        ]
        .iter()
        .enumerate()
        {
            let id = format!("t{i}");
            client
                .write_all(request("POST", "/once/a", &id).as_bytes())
                .await
                .expect("sent");
            let asked = fixture.asked().await;
            connections.push(asked.connection);
            asked.answer(before, behind);
            let text = until(&mut client, &format!("\r\n\r\n{id}")).await;
            assert!(
                text.starts_with("HTTP/1.1 200 OK") && !text.contains("t9"),
                "{text}"
            );
        }
        assert_eq!(connections, [0, 0, 0, 1]);
    });
}

/// Guards against refusing or holding up what is proper: a body that waits to be asked for, version 1.0 kept alive,
/// a target in absolute form, and requests behind a body.
#[test]
fn proper_oddities_are_served() {
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        let waits = "PUT /once/a HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
        client.write_all(waits.as_bytes()).await.expect("sent");
        assert_eq!(
            until(&mut client, "\r\n\r\n").await,
            "HTTP/1.1 100 Continue\r\n\r\n"
        );
        let old = "GET /safe/b HTTP/1.0\r\nHost: h\r\nTry-Id: t2\r\nConnection: keep-alive\r\n\r\n";
        let far = "BREW http://h/once/c?d HTTP/1.1\r\nHost: h\r\nTry-Id: t3\r\n\r\n";
        client
            .write_all(format!("abc\r\n{old}{far}").as_bytes())
            .await
            .expect("sent");
        for (begin, end) in [
            ("PUT /once/a ", "\r\n\r\nabc"),
            ("GET /safe/b ", "\r\n\r\n"),
            ("BREW /once/c?d ", "\r\n\r\n"),
        ] {
            let asked = fixture.asked().await;
            assert!(
                asked.text.starts_with(begin) && asked.text.ends_with(end),
                "{}",
                asked.text
            );
            asked.answer("", "");
        }
        let text = until(&mut client, "\r\n\r\nt3").await;
        assert_eq!(text.matches(" 200 OK").count(), 3, "{text}");
    });
}

/// Guards against a request that is never answered, as each byte of its body restarts the idle timeout: by its deadline it is
/// answered with 408, and reaches nobody.
#[test]
fn a_body_that_trickles_is_answered_by_its_deadline() {
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        let head = request("PUT", "/once/a", "t1").replace("9000", "400");
        let head = head.replace("\r\n\r\n", "\r\nContent-Length: 1000\r\n\r\n");
        client.write_all(head.as_bytes()).await.expect("sent");
        let (mut reader, mut writer) = client.split();
        let trickle = async {
            while writer.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(50)).await;
            }
            std::future::pending::<()>().await;
        };
        let mut text = String::new();
        tokio::select! {
            read = reader.read_to_string(&mut text) => drop(read),
            () = trickle => {}
        }
        assert!(
            text.starts_with("HTTP/1.1 408 ") && text.contains("connection: close"),
            "{text}"
        );
        assert!(fixture.asked.try_recv().is_err(), "nothing was asked");
    });
}

/// Guards against clients that hold connections for ever, and against ending one under a request: one that sends
/// nothing is let go, a head or a body that stops is answered with 408, and an endpoint may take its time.
#[test]
fn time_runs_out_for_clients_but_not_for_requests() {
    run(async {
        let short = r#""allowances":{"header":"150ms","idle":"300ms","#;
        let mut fixture = Fixture::with(&CONFIG.replace(r#""allowances":{"#, short)).await;
        let mut busy = fixture.client().await;
        busy.write_all(request("POST", "/once/a", "t1").as_bytes())
            .await
            .expect("sent");
        let mut head = fixture.client().await;
        head.write_all(b"GET /safe/b HTTP/1.1\r\nHo")
            .await
            .expect("sent");
        let mut body = fixture.client().await;
        let long =
            request("PUT", "/once/b", "t2").replace("\r\n\r\n", "\r\nContent-Length: 9\r\n\r\nabc");
        body.write_all(long.as_bytes()).await.expect("sent");
        let asked = fixture.asked().await;
        let mut idle = fixture.client().await;
        assert_eq!(rest(&mut idle).await, "");
        for late in [&mut head, &mut body] {
            let text = rest(late).await;
            assert!(
                text.starts_with("HTTP/1.1 408 ") && text.contains("connection: close"),
                "{text}"
            );
        }
        // All that time one was in work.
        asked.answer("", "");
        assert!(until(&mut busy, "\r\n\r\nt1")
            .await
            .starts_with("HTTP/1.1 200 OK"));
        assert_eq!(rest(&mut busy).await, "");
        assert!(fixture.asked.try_recv().is_err(), "nothing more was asked");
    });
}
