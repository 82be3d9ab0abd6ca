use super::*;
use crate::testing::*;
use magpieline_operator_config::Setting;
use std::net::SocketAddr;

/// Sends text, and what comes back until the other side ends or nothing more comes for a while.
async fn told(stream: &mut TcpStream, text: &[u8]) -> String {
    stream.write_all(text).await.expect("sent");
    let mut all = BytesMut::new();
    while let Ok(Ok(n)) =
        tokio::time::timeout(Duration::from_millis(300), stream.read_buf(&mut all)).await
    {
        if n == 0 {
            all.extend_from_slice(b"<end>");
            break;
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

async fn client(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("connected")
}

#[test]
fn replies_come_in_the_order_of_commands_whatever_nodes_do() {
    run(async {
        let (slow, quick) = (
            echo(Duration::from_millis(40)).await,
            echo(Duration::ZERO).await,
        );
        let (exchange, at) = front(&[slow.address, quick.address], None).await;
        let mut stream = client(at).await;
        let mut text = Vec::new();
        let mut expected = String::new();
        for i in 0..30 {
            text.extend_from_slice(&encoded(&format!("GET k{i}")));
            let word = format!("k{i}");
            expected += &format!("${}\r\n{word}\r\n", word.len());
            if i % 10 == 0 {
                text.extend_from_slice(b"PING\r\n");
                expected += "+PONG\r\n";
            }
        }
        assert_eq!(told(&mut stream, &text).await, expected);
        assert!(exchange.idle());
        assert!(slow.connections.get() > 0 && quick.connections.get() > 0);
    });
}

#[test]
fn what_is_asked_of_the_connection_is_answered_here() {
    run(async {
        let (_, at) = front(&[echo(Duration::ZERO).await.address], None).await;
        let mut stream = client(at).await;
        for (text, reply) in [
            ("PING", "+PONG\r\n"),
            ("PING a", "$1\r\na\r\n"),
            ("CLIENT SETNAME me", "+OK\r\n"),
            ("CLIENT GETNAME", "$2\r\nme\r\n"),
            ("COMMAND COUNT", ":4\r\n"),
            ("COMMAND DOCS", "*0\r\n"),
            (
                "AUTH x",
                "-ERR AUTH called without a password being set here\r\n",
            ),
            ("HELLO 9", "-NOPROTO unsupported protocol version\r\n"),
            (
                "MULTI",
                "-ERR 'MULTI' is not served here: a hit has no state of its connection\r\n",
            ),
            (
                "SUBSCRIBE c",
                "-ERR 'SUBSCRIBE' is not served here: a hit has no state of its connection\r\n",
            ),
            ("FLUSHALL", "-ERR unknown command 'FLUSHALL'\r\n"),
            (
                "BOOK k",
                "-ERR BOOK: argument 2: expected the mark that tells repeats\r\n",
            ),
            (
                "WAITS k soon",
                "-ERR WAITS: argument 2: expected whole milliseconds\r\n",
            ),
            ("WAITS k 900", "$1\r\nk\r\n"),
            ("get k", "$1\r\nk\r\n"),
            ("RESET", "+RESET\r\n"),
            ("CLIENT GETNAME", "$-1\r\n"),
        ] {
            assert_eq!(
                told(&mut stream, format!("{text}\r\n").as_bytes()).await,
                reply,
                "{text}"
            );
        }
        let hello = told(&mut stream, b"HELLO 3 SETNAME you\r\n").await;
        assert!(
            hello.starts_with("%7\r\n$6\r\nserver\r\n$10\r\nmagpieline\r\n"),
            "{hello}"
        );
        assert_eq!(
            told(&mut stream, b"PING\r\nQUIT\r\nPING\r\n").await,
            "+PONG\r\n+OK\r\n<end>"
        );
    });
}

#[test]
fn without_the_password_nothing_is_a_hit() {
    run(async {
        let node = echo(Duration::ZERO).await;
        let (_, at) = front(&[node.address], Some("secret")).await;
        let mut stream = client(at).await;
        assert_eq!(
            told(&mut stream, b"GET k\r\n").await,
            "-NOAUTH Authentication required.\r\n"
        );
        assert_eq!(
            told(&mut stream, b"HELLO 3\r\n").await,
            "-NOAUTH HELLO must be called with AUTH here\r\n"
        );
        assert_eq!(
            told(&mut stream, b"AUTH wrong\r\n").await,
            "-WRONGPASS invalid name or password\r\n"
        );
        assert!(node.seen.borrow().is_empty());
        assert!(told(&mut stream, b"HELLO 3 AUTH default secret\r\n")
            .await
            .starts_with("%7\r\n"));
        assert_eq!(told(&mut stream, b"GET k\r\n").await, "$1\r\nk\r\n");
    });
}

#[test]
fn a_bounce_says_that_nothing_ran_and_a_failure_promises_nothing() {
    run(async {
        let (_, at) = front(&[nobody().await], None).await;
        let bounced = told(&mut client(at).await, b"GET k\r\n").await;
        assert!(bounced.starts_with("-TRYAGAIN nothing ran"), "{bounced}");
        let (_, at) = front(&[scripted(vec![]).await], None).await;
        assert_eq!(
            told(&mut client(at).await, b"SET k v\r\n").await,
            "-FAILED it may have run\r\n"
        );
        let (_, at) = front(&[], None).await;
        assert!(told(&mut client(at).await, b"GET k\r\n")
            .await
            .starts_with("-LOADING"));
    });
}

#[test]
fn what_cannot_be_read_gets_one_error_and_a_close() {
    run(async {
        let (_, at) = front(&[echo(Duration::ZERO).await.address], None).await;
        for (text, before) in [
            (&b"*1\r\n:1\r\n"[..], ""),
            (b"*1\r\n*1\r\n", ""),
            (b"*100000\r\n", ""),
            (b"*1\r\n$4294967296\r\n", ""),
            (b"PING\r\n*1\r\n$x\r\nPING\r\n", "+PONG\r\n"),
            (b"GET k\r\nPING\nPING\r\n", "$1\r\nk\r\n"),
        ] {
            let answer = told(&mut client(at).await, text).await;
            let rest = answer.strip_prefix(before).expect(&answer);
            assert!(
                rest.starts_with("-ERR Protocol error: ") && rest.ends_with("\r\n<end>"),
                "{answer}"
            );
            assert_eq!(rest.matches("-ERR").count(), 1);
        }
    });
}

#[test]
fn ten_thousand_in_one_write_are_answered_one_by_one() {
    run(async {
        let node = echo(Duration::ZERO).await;
        let (exchange, at) = front(&[node.address], None).await;
        let text: Vec<u8> = (0..10_000)
            .flat_map(|i| encoded(&format!("GET k{i}")))
            .collect();
        let stream = client(at).await;
        let (mut from, mut to) = stream.into_split();
        let sending = tokio::task::spawn_local(async move {
            to.write_all(&text).await.expect("sent");
            to
        });
        let mut reader = Reader::new(Limits::default());
        let (mut delivered, mut bounced) = (0, 0);
        while delivered + bounced < 10_000 {
            let mut piece = BytesMut::with_capacity(PIECE);
            assert!(from.read_buf(&mut piece).await.expect("read") > 0);
            reader.feed(&piece);
            while let Some(value) = reader.next_value().expect("readable") {
                let i = delivered + bounced;
                match value {
                    Value::Bulk(word) => {
                        assert_eq!(word, format!("k{i}"));
                        delivered += 1;
                    }
                    value => {
                        assert!(value.is_error(), "{value:?}");
                        bounced += 1;
                    }
                }
            }
        }
        drop(sending.await.expect("sent"));
        assert!(delivered > 0, "{delivered} and {bounced}");
        assert!(exchange.idle());
    });
}

#[test]
fn who_reads_nothing_is_closed_and_what_waits_for_it_is_bounded() {
    run(async {
        let (_, at) = front(&[], None).await;
        let mut stream = client(at).await;
        let ping = format!("PING {}\r\n", "a".repeat(1000)).repeat(100);
        let begun = Instant::now();
        let mut sent = 0;
        while let Ok(Ok(())) =
            tokio::time::timeout(Duration::from_secs(3), stream.write_all(ping.as_bytes())).await
        {
            sent += ping.len();
            assert!(begun.elapsed() < Duration::from_secs(10));
        }
        assert!(sent < 64 << 20, "{sent}"); // what the kernel holds both ways, and our own bounds
    });
}

/// What is under way when a client ends its sending is passed on; nothing is sent a second time for it.
#[test]
fn a_client_that_ends_its_sending_gets_what_is_under_way() {
    run(async {
        let node = echo(Duration::from_millis(50)).await;
        let (exchange, at) = front(&[node.address], None).await;
        let mut stream = client(at).await;
        stream
            .write_all(&[encoded("GET a"), encoded("GET b")].concat())
            .await
            .expect("sent");
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.shutdown().await.expect("shut");
        let mut all = Vec::new();
        stream.read_to_end(&mut all).await.expect("read");
        assert_eq!(String::from_utf8_lossy(&all), "$1\r\na\r\n$1\r\nb\r\n");
        // One that is gone altogether is forgotten.
        let mut stream = client(at).await;
        stream.write_all(&encoded("GET c")).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(stream);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(exchange.idle());
        assert!(node.seen.borrow().values().all(|n| *n == 1));
    });
}

#[test]
fn on_stopping_what_was_taken_is_answered_and_connections_close() {
    run(async {
        let node = echo(Duration::from_millis(200)).await;
        let (exchange, at) = front(&[node.address], None).await;
        let (mut busy, mut idle) = (client(at).await, client(at).await);
        assert_eq!(told(&mut idle, b"PING\r\n").await, "+PONG\r\n");
        busy.write_all(&encoded("GET a")).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(50)).await;
        exchange.stop();
        exchange.closing.give();
        assert_eq!(told(&mut busy, b"").await, "$1\r\na\r\n<end>");
        assert_eq!(told(&mut idle, b"").await, "<end>");
        assert!(exchange.idle());
    });
}

/// Batches go on while a node is told to drain: what it has is answered, nothing new comes to it, no hit is lost.
#[test]
fn a_drain_in_the_middle_of_a_batch_takes_nothing_new_there() {
    run(async {
        let (a, b) = (
            echo(Duration::from_millis(1)).await,
            echo(Duration::from_millis(1)).await,
        );
        let (exchange, at) = front(&[a.address, b.address], None).await;
        let over = Rc::new(Cell::new(false));
        let talk = |client_number: usize| {
            let over = over.clone();
            async move {
                let mut stream = client(at).await;
                let (mut reader, mut got, mut batch) = (Reader::new(Limits::default()), 0, 0);
                while !over.get() {
                    let keys = (0..40).map(|i| format!("k{client_number}-{batch}-{i}"));
                    let text: Vec<u8> = keys.flat_map(|k| encoded(&format!("GET {k}"))).collect();
                    stream.write_all(&text).await.expect("sent");
                    let owed = got + 40;
                    while got < owed {
                        match reader.next_value().expect("readable") {
                            Some(Value::Bulk(word)) => {
                                assert_eq!(word, format!("k{client_number}-{batch}-{}", got % 40));
                                got += 1;
                            }
                            // The one node that is left may have no room for all.
                            Some(value) if value.is_error() => got += 1,
                            Some(other) => panic!("{other:?}"),
                            None => {
                                let mut piece = BytesMut::with_capacity(PIECE);
                                assert!(stream.read_buf(&mut piece).await.expect("read") > 0);
                                reader.feed(&piece);
                            }
                        }
                    }
                    batch += 1;
                }
            }
        };
        let drains = async {
            let seen = || a.seen.borrow().values().sum::<u32>();
            while seen() < 20 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            exchange.listed(
                true,
                true,
                vec![entry(a.address, false), entry(b.address, true)],
            );
            // What it has on its connections by then, a millisecond each, however long the machine takes.
            let mut before = 0;
            while seen() != before {
                before = seen();
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            let all = b.seen.borrow().len();
            while b.seen.borrow().len() < all + 200 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert_eq!(seen(), before, "something new came to it");
            over.set(true);
        };
        futures_util::future::join(futures_util::future::join_all((0..4).map(talk)), drains).await;
        assert!(exchange.idle());
    });
}

#[test]
fn rows_that_do_not_fit_the_platform_s_groups_are_refused() {
    run(async {
        let (exchange, _) = front(&[], None).await;
        let row = |group: &str, mark: f64| {
            let mut values = magpieline_operator_config::Values::new();
            values.insert("resp.command.0.name".into(), Setting::Text("GET".into()));
            values.insert("resp.command.0.group".into(), Setting::Text(group.into()));
            values.insert("resp.command.0.mark".into(), Setting::Number(mark));
            Table::read(&values, &exchange).map(|_| ())
        };
        assert_eq!(row("read", 0.0), Ok(()));
        let told = |e: Result<(), String>| e.expect_err("refused");
        assert!(told(row("odd", 0.0)).contains("group: found 'odd'"));
        assert!(told(row("read", 2.0)).contains("mark: expected none"));
        assert!(told(row("book", 0.0)).contains("mark: expected, its group is tagged"));
    });
}
/// A client library from the registry, unmodified: single commands, a pipeline, the newer version, an error.
#[test]
fn a_client_library_talks_through_it() {
    run(async {
        let node = echo(Duration::from_millis(1)).await;
        let (_, at) = front(&[node.address], Some("secret")).await;
        let (done, answered) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            let talk = |query: &str| -> redis::RedisResult<()> {
                let client = redis::Client::open(format!("redis://:secret@{at}/{query}"))?;
                let mut connection = client.get_connection()?;
                let one: String = redis::cmd("GET").arg("k").query(&mut connection)?;
                assert_eq!(one, "k");
                let mut pipe = redis::pipe();
                for i in 0..50 {
                    pipe.cmd("GET").arg(format!("k{i}"));
                }
                let all: Vec<String> = pipe.query(&mut connection)?;
                assert_eq!(all, (0..50).map(|i| format!("k{i}")).collect::<Vec<_>>());
                let refused: redis::RedisResult<String> =
                    redis::cmd("FLUSHALL").query(&mut connection);
                assert!(refused
                    .expect_err("refused")
                    .to_string()
                    .contains("unknown command"));
                Ok(())
            };
            let _ = done.send(
                talk("")
                    .and_then(|()| talk("?protocol=resp3"))
                    .map_err(|e| e.to_string()),
            );
        });
        assert_eq!(
            answered.await.expect("the client's thread ends well"),
            Ok(())
        );
    });
}
