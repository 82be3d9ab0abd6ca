//! The budget for bodies and heads, as clients meet it.

use crate::fixture::{in_chunks, numbered_body, request, rest, run, until, Fixture, CONFIG};
use magpieline_memory_budget::{Limits, Purpose};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A machine so small that a megabyte counts.
const MEMORY_MB: u64 = 3;

/// The limits beside a configuration, which takes eight times its text.
fn limits(config: &str) -> Limits {
    Limits::of_memory(MEMORY_MB * 1_000_000 - 8 * config.len() as u64)
}

/// The head of a request with a body of so many bytes.
fn head(id: &str, bytes: u64) -> String {
    let length = format!("\r\nContent-Length: {bytes}\r\n\r\n");
    request("PUT", "/once/a", id).replace("\r\n\r\n", &length)
}

async fn send(client: &mut TcpStream, bytes: impl AsRef<[u8]>) {
    client.write_all(bytes.as_ref()).await.expect("sent");
}

/// Waits until so many bytes are reserved for requests.
async fn until_reserved(fixture: &Fixture, bytes: u64) {
    while fixture.proxy.memory_use().reserved[Purpose::Request as usize] != bytes {
        tokio::task::yield_now().await;
    }
}

async fn until_waiting(fixture: &Fixture, count: usize) {
    while fixture.proxy.memory_use().waiting != count {
        tokio::task::yield_now().await;
    }
}

/// A long body takes all that long ones may have; short ones are served beside it, a second long one waits and is served once
/// the first is over, and all is given back in the end.
#[test]
fn a_long_body_waits_for_memory_and_short_ones_pass_by() {
    let long = limits(CONFIG).large(Purpose::Request);
    run(async {
        let mut fixture = Fixture::with_memory(MEMORY_MB, CONFIG).await;
        let (mut first, mut second) = (fixture.client().await, fixture.client().await);
        send(&mut first, head("t1", long)).await;
        until_reserved(&fixture, long).await;
        send(&mut second, head("t2", long)).await;
        until_waiting(&fixture, 1).await;
        let mut short = fixture.client().await;
        send(&mut short, head("t3", 3) + "abc").await;
        fixture.asked().await.answer("", "");
        until(&mut short, "\r\n\r\nt3").await;
        let body = vec![b'x'; long as usize];
        for (client, id) in [(&mut first, "t1"), (&mut second, "t2")] {
            send(client, &body).await;
            let asked = fixture.asked().await;
            assert_eq!(asked.id(), id);
            asked.answer("", "");
            until(client, id).await;
        }
        until_reserved(&fixture, 0).await;
        assert_eq!(fixture.proxy.memory_use().waiting, 0);
    });
}

/// Guards against a promise that is broken, and against one who waits for what never comes: what finds no memory is answered 503,
/// with a time to come back, and reaches nobody.
#[test]
fn what_never_finds_memory_is_refused_at_once() {
    run(async {
        let mut fixture = Fixture::with_memory(MEMORY_MB, CONFIG).await;
        let longest = limits(CONFIG).longest(Purpose::Request);
        let mut known = fixture.client().await;
        send(&mut known, head("t1", longest + 1)).await;
        let mut chunked = fixture.client().await;
        let start = request("PUT", "/once/a", "t2");
        let start = start.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
        let size = longest + 1;
        send(&mut chunked, format!("{start}{size:x}\r\n")).await;
        let body = vec![b'x'; size as usize];
        send(&mut chunked, &body).await;
        for mut client in [known, chunked] {
            client.shutdown().await.expect("sent");
            let text = rest(&mut client).await;
            assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
            assert!(text.contains("retry-after: 1.000\r\n"), "{text}");
            assert!(text.contains("connection: close"), "{text}");
        }
        assert!(fixture.asked.try_recv().is_err(), "nothing was asked");
        until_reserved(&fixture, 0).await;
    });
}

/// Guards against memory that a client keeps that has left: one in the middle of its body, and one that waits.
#[test]
fn clients_that_leave_give_their_memory_back() {
    let long = limits(CONFIG).large(Purpose::Request);
    run(async {
        let fixture = Fixture::with_memory(MEMORY_MB, CONFIG).await;
        let (mut holding, mut waiting) = (fixture.client().await, fixture.client().await);
        send(&mut holding, head("t1", long) + "abc").await;
        until_reserved(&fixture, long).await;
        send(&mut waiting, head("t2", long)).await;
        until_waiting(&fixture, 1).await;
        drop(waiting);
        until_waiting(&fixture, 0).await;
        assert_eq!(fixture.proxy.memory_use().reserved[0], long);
        drop(holding);
        until_reserved(&fixture, 0).await;
    });
}

/// Guards against heads that are each within their bound and together beyond all memory: clients are held up while others are
/// served, and all are served in the end.
#[test]
fn heads_wait_for_memory() {
    const CLIENTS: usize = 200;
    const HEAD_BYTES: usize = 15_000;
    let config = CONFIG.replace("2000", r#"16000,"header":"25s""#);
    run(async {
        let mut fixture = Fixture::with_memory(MEMORY_MB, &config).await;
        let filler = format!("X-Filler: {}\r\n", "x".repeat(HEAD_BYTES));
        let mut clients = Vec::new();
        for i in 0..CLIENTS {
            let mut client = fixture.client().await;
            let text = request("GET", "/safe/a", &format!("t{i}"));
            let begin = text.strip_suffix("\r\n").expect("an empty line").to_owned();
            send(&mut client, begin + &filler).await;
            clients.push(client);
        }
        for (i, client) in clients.iter_mut().enumerate() {
            send(client, "\r\n").await;
            fixture.asked().await.answer("", "");
            let id = format!("t{i}");
            let text = until(client, &id).await;
            assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
        }
        let usage = fixture.proxy.memory_use();
        assert!(
            usage.peak <= limits(CONFIG).all(Purpose::Request),
            "{usage:?}"
        );
        assert!(
            usage.peak > limits(CONFIG).large(Purpose::Request) / 2,
            "{usage:?}"
        );
    });
}

/// A response's bytes are given back once its client has them, also those of requests that were started early.
#[test]
fn responses_give_their_memory_back() {
    run(async {
        let mut fixture = Fixture::with_memory(MEMORY_MB, CONFIG).await;
        let mut client = fixture.client().await;
        for round in 0..3 {
            let sent: String = (0..5)
                .map(|i| request("GET", "/safe/a", &format!("r{round}-{i}")))
                .collect();
            send(&mut client, sent).await;
            for _ in 0..5 {
                fixture.asked().await.answer("", "");
            }
            until(&mut client, &format!("\r\n\r\nr{round}-4")).await;
        }
        let mut nothing = [0];
        client.shutdown().await.expect("sent");
        assert_eq!(client.read(&mut nothing).await.expect("the end"), 0);
        while fixture.proxy.memory_use().reserved != [0, 0] {
            tokio::task::yield_now().await;
        }
        assert!(fixture.proxy.memory_use().peak > 0);
    });
}

/// Guards against a byte that is lost, changed or doubled where a body is held in several pieces, of requests and of responses.
#[rstest]
#[case::empty(0)]
#[case::one_byte(1)]
#[case::nearly_one_piece((16 << 10) - 1)]
#[case::one_piece(16 << 10)]
#[case::two_pieces((16 << 10) + 1)]
#[case::two_full_pieces(80 << 10)]
#[case::many_pieces(300_001)]
fn bodies_arrive_unchanged(#[case] bytes: usize) {
    let body = numbered_body(bytes);
    let known = format!("Content-Length: {bytes}\r\n\r\n{body}");
    let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{}", in_chunks(&body));
    run(async {
        let mut fixture = Fixture::new().await;
        let mut client = fixture.client().await;
        for (id, framed) in [("t1", known), ("t2", chunked)] {
            let head = request("PUT", "/once/a", id);
            let head = head.strip_suffix("\r\n").expect("an empty line");
            send(&mut client, format!("{head}{framed}")).await;
            let asked = fixture.asked().await;
            let (_, arrived) = asked.text.split_once("\r\n\r\n").expect("a head");
            assert!(
                arrived == body,
                "{} bytes arrived of {bytes}",
                arrived.len()
            );
            asked.answer_in_chunks(&body);
            let text = until(&mut client, &format!("\r\n\r\n{body}")).await;
            assert!(
                text.contains(&format!("content-length: {bytes}\r\n")),
                "{bytes}"
            );
        }
    });
}
