use super::*;
use crate::testing::*;
use std::cell::Cell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SERVED: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/odd\r\ncontent-length: 4\r\n\r\nbody";
const HIT: &str = "GET /read/x HTTP/1.1\r\nhost: a\r\nx-txn: 1\r\nx-remaining-ms: 400\r\n\r\n";

/// Opens a connection to a front over these nodes.
async fn opened(exchange: &Rc<Exchange>) -> TcpStream {
    let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(serve(exchange.clone(), listener, Rc::new(Crowd::new(100))));
    TcpStream::connect(address).await.expect("connected")
}

async fn asked(stream: &mut TcpStream, text: &str) -> String {
    write(stream, text).await;
    message(stream).await
}

#[test]
fn a_hit_gets_the_node_s_body_and_the_connection_stays() {
    run(async {
        let exchange = exchange_of(&[answering(SERVED).await]);
        let mut stream = opened(&exchange).await;
        for _ in 0..2 {
            let answer = asked(&mut stream, HIT).await;
            assert!(
                answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.ends_with("\r\n\r\nbody"),
                "{answer}"
            );
            assert!(answer.contains("content-type: text/odd\r\n"), "{answer}");
        }
        assert!(exchange.idle());
    });
}

#[test]
fn bad_input_is_answered_at_once_and_reaches_no_node() {
    run(async {
        let exchange = exchange_of(&[server(|_| async { panic!("reached a node") }).await]);
        let head = "POST /pay HTTP/1.1\r\nhost: a\r\nx-txn: 1\r\nx-remaining-ms: 400\r\n";
        let with = |more: &str| format!("{head}{more}\r\n\r\n0123456789");
        let large = format!(
            "{head}transfer-encoding: chunked\r\n\r\n10001\r\n{}",
            "a".repeat(65537)
        );
        for (text, status) in [
            (
                "GET /other/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: 400\r\n\r\n",
                "404",
            ),
            ("GET /read/x HTTP/1.1\r\nhost: a\r\n\r\n", "400"),
            (
                "GET /read/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: soon\r\n\r\n",
                "400",
            ),
            (
                "GET /read/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: 1e300\r\n\r\n",
                "400",
            ),
            (
                "PUT /read/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: 400\r\n\r\n",
                "405",
            ),
            (&large, "413"),
            (&with("content-length: 62914560"), "413"),
            (&with("content-length: -1"), "400"),
            (&with("content-length: +10"), "400"),
            (&with("content-length: 99999999999999999999"), "400"),
            (&with("content-length: 10\r\ncontent-length: 10"), "400"),
            (&with("content-length: 10, 10"), "400"),
            (
                &with("content-length: 10\r\ntransfer-encoding: chunked"),
                "400",
            ),
            (&with("transfer-encoding: gzip, chunked"), "400"),
            (&with("transfer-encoding : chunked"), "400"),
            ("what is this\r\n\r\n", "400"),
        ] {
            let answer = asked(&mut opened(&exchange).await, text).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status} ")),
                "{text:.60}: {answer}"
            );
        }
        assert!(exchange.idle());
    });
}

#[test]
fn it_is_up_once_a_list_is_known() {
    run(async {
        let (exchange, text) = (exchange(), "GET /up HTTP/1.1\r\nhost: a\r\n\r\n");
        let mut stream = opened(&exchange).await;
        assert!(asked(&mut stream, text).await.starts_with("HTTP/1.1 503 "));
        exchange.listed(true, true, Vec::new());
        assert!(asked(&mut stream, text).await.starts_with("HTTP/1.1 200 "));
    });
}

/// Without a node that may be sent to, the hit has not run: trying again is harmless.
#[test]
fn what_cannot_be_sent_is_refused_at_once_and_what_may_have_run_has_failed() {
    run(async {
        let begun = Instant::now();
        let mut stream = opened(&exchange_of(&[])).await;
        assert!(asked(&mut stream, HIT).await.starts_with("HTTP/1.1 503 "));
        assert!(begun.elapsed() < Duration::from_millis(200));
        let drops = server(|mut stream| async move { message(&mut stream).await }).await;
        let mut stream = opened(&exchange_of(&[drops])).await;
        let pay = HIT.replace("GET /read", "POST /pay");
        assert!(asked(&mut stream, &pay).await.starts_with("HTTP/1.1 502 "));
    });
}

#[test]
fn answers_are_worded_by_kind() {
    let bounced = worded(Answer::Bounced { again_after: 0.05 });
    assert_eq!(bounced.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        bounced
            .headers()
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok()),
        Some("0.050")
    );
    assert!(!worded(Answer::Bounced { again_after: 0.0 })
        .headers()
        .contains_key(RETRY_AFTER));
    assert_eq!(worded(Answer::Failed).status(), StatusCode::BAD_GATEWAY);
}

/// Silence of a node ends with the client's own time, not after it.
#[test]
fn a_hit_without_an_answer_fails_by_its_client_timeout() {
    run(async {
        let silent = server(|_stream| std::future::pending::<()>()).await;
        let exchange = exchange_of(&[silent]);
        let mut stream = opened(&exchange).await;
        let begun = Instant::now();
        let answer = asked(&mut stream, &HIT.replace("GET /read", "POST /pay")).await;
        assert!(answer.starts_with("HTTP/1.1 5"), "{answer}");
        assert!(
            begun.elapsed() < Duration::from_millis(450),
            "{:?}",
            begun.elapsed()
        );
        assert!(exchange.idle());
    });
}

/// The library's own time-outs stay out of it: a head that comes late and in pieces, two hits at once, a
/// client that has ended its sending, all get their answers.
#[test]
fn late_joined_and_half_closed_hits_are_served() {
    run(async {
        let exchange = exchange_of(&[answering(SERVED).await]);
        let mut stream = opened(&exchange).await;
        let (start, rest) = HIT.split_at(9);
        for part in [start, rest] {
            tokio::time::sleep(Duration::from_millis(100)).await;
            write(&mut stream, part).await;
        }
        assert!(message(&mut stream).await.ends_with("body"));
        write(&mut stream, &HIT.repeat(2)).await;
        stream.shutdown().await.expect("half closed");
        let mut both = String::new();
        stream.read_to_string(&mut both).await.expect("answers");
        assert_eq!(both.matches("HTTP/1.1 200 OK").count(), 2, "{both}");
    });
}

/// A client that leaves gets no further forward; once the one under way has ended nothing of it is kept.
#[test]
fn a_client_that_leaves_is_forgotten() {
    run(async {
        let came = Rc::new(Cell::new(0));
        let count = came.clone();
        let slow = server(move |mut stream| {
            let count = count.clone();
            async move {
                while !message(&mut stream).await.is_empty() {
                    count.set(count.get() + 1);
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    write(&mut stream, "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n").await;
                }
            }
        });
        let exchange = exchange_of(&[slow.await]);
        let mut stream = opened(&exchange).await;
        write(&mut stream, HIT).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        drop(stream);
        assert!(!exchange.idle());
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert!(exchange.idle());
        assert_eq!(came.get(), 1, "a second forward");
    });
}

/// On stopping a hit in hand is answered and a late one too; each answer closes its connection.
#[test]
fn stopping_serves_what_still_arrives_and_closes_behind_it() {
    run(async {
        let exchange = exchange_of(&[answering(SERVED).await]);
        let mut stream = opened(&exchange).await;
        exchange.stop();
        exchange.closing.give();
        let mut answer = String::new();
        write(&mut stream, HIT).await;
        stream
            .read_to_string(&mut answer)
            .await
            .expect("an answer and the end");
        assert!(
            answer.contains("connection: close\r\n") && answer.ends_with("body"),
            "{answer}"
        );
    });
}

/// Whoever brings no whole hit is closed: after silence, half a head, a body that comes drop by drop, an
/// answer with nothing behind it. A hit that takes longer than that is waited for.
#[test]
fn who_brings_no_hit_in_time_is_closed_and_who_waits_for_an_answer_is_not() {
    run(async {
        let slow = server(|mut stream| async move {
            message(&mut stream).await;
            tokio::time::sleep(Duration::from_millis(2500)).await;
            write(&mut stream, SERVED).await;
        });
        let exchange = exchange_of(&[slow.await]);
        let closed = |text: &'static str, drops: bool| {
            let exchange = exchange.clone();
            async move {
                let (mut stream, begun) = (opened(&exchange).await, Instant::now());
                write(&mut stream, text).await;
                let mut answer = [0; 512];
                while begun.elapsed() < Duration::from_secs(4) {
                    let step = Duration::from_millis(if drops { 100 } else { 4000 });
                    match tokio::time::timeout(step, stream.read(&mut answer)).await {
                        Ok(Ok(0) | Err(_)) => break,
                        Ok(Ok(_)) => {}
                        Err(_) => write(&mut stream, "a").await,
                    }
                }
                begun.elapsed()
            }
        };
        let pay = "POST /pay HTTP/1.1\r\nhost: a\r\nx-txn: 5\r\nx-remaining-ms: 400\r\n\
                content-length: 999\r\n\r\n";
        let all = [
            ("", false),
            ("GET /re", false),
            ("GET /re", true),
            (pay, true),
        ];
        let all = futures_util::future::join_all(all.map(|(text, drops)| closed(text, drops)));
        let wait = HIT.replace("400", "4000").replace("GET /read", "POST /pay");
        let served = async { asked(&mut opened(&exchange).await, &wait).await };
        let (all, served) = futures_util::future::join(all, served).await;
        assert!(
            all.iter()
                .all(|t| t.as_secs_f64() > 1.9 && t.as_secs_f64() < 2.9),
            "{all:?}"
        );
        assert!(served.ends_with("body"), "{served}");
    });
}
/// Guards a bound that shrinks below what is in use: whoever has a hit in hand gets its answer and leaves with
/// it, who has been idle goes, and a new one waits until there is room.
#[test]
fn a_bound_that_shrinks_lets_connections_leave_in_order() {
    run(async {
        let slow = server(|mut stream| async move {
            while !message(&mut stream).await.is_empty() {
                tokio::time::sleep(Duration::from_millis(200)).await;
                write(&mut stream, SERVED).await;
            }
        });
        let exchange = exchange_of(&[slow.await]);
        let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
        let address = listener.local_addr().expect("an address");
        let crowd = Rc::new(Crowd::new(100));
        actix_rt::spawn(serve(exchange.clone(), listener, crowd.clone()));
        let mut all = Vec::new();
        for i in 0..6 {
            let mut stream = TcpStream::connect(address).await.expect("connected");
            let text = HIT.replace("x-txn: 1", &format!("x-txn: {i}"));
            write(&mut stream, &text).await;
            all.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        exchange.clients_most.set(2);
        let mut closing = 0;
        for stream in &mut all {
            let answer = message(stream).await;
            assert!(answer.ends_with("body"), "{answer}");
            closing += usize::from(answer.contains("connection: close"));
        }
        assert!((4..6).contains(&closing), "{closing}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(crowd.len() <= 2);
        // A newcomer is served once one of those that stay has been idle for a while.
        let mut late = TcpStream::connect(address)
            .await
            .expect("in the kernel's queue");
        let answer = asked(&mut late, &HIT.replace("x-txn: 1", "x-txn: 9")).await;
        assert!(answer.ends_with("body"), "{answer}");
    });
}
