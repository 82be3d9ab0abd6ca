//! Many commands through the front to nodes that fail in every way they know, counted at both ends.

use crate::testing::*;
use bytes::{Bytes, BytesMut};
use magpieline_resp::{Limits, Reader, Value, Version};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long nodes know a marked hit's repeats, by the settings of [`front`].
const WINDOW: Duration = Duration::from_secs(1);

/// Runs of each mutating command, by its key, over all nodes; and what nodes did.
#[derive(Default)]
struct Counted {
    runs: RefCell<HashMap<Bytes, u32>>,
    /// When a marked one came first: nodes know its repeats for the window, and run them no more.
    marked: RefCell<HashMap<Bytes, Instant>>,
    commands: Cell<u64>,
    faults: RefCell<std::collections::BTreeMap<&'static str, u64>>,
}

impl Counted {
    fn fault(&self, name: &'static str) {
        *self.faults.borrow_mut().entry(name).or_default() += 1;
    }

    fn ran(&self, key: &Bytes) -> u32 {
        self.runs.borrow().get(key).copied().unwrap_or_default()
    }
}

/// One connection of a node that fails by a draw, at most once in some hundred commands.
async fn failing(mut stream: TcpStream, counted: Rc<Counted>, seed: u64) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut reader = Reader::new(Limits::default());
    greeted(&mut stream, &mut reader).await;
    while let Some(words) = next(&mut stream, &mut reader).await {
        counted.commands.set(counted.commands.get() + 1);
        let draw = chance.gen_range(0..2000);
        // Turned away unseen: it does not run.
        if draw == 0 {
            counted.fault("turned away");
            if stream.write_all(b"-TRYAGAIN later\r\n").await.is_err() {
                return;
            }
            continue;
        }
        if draw == 1 {
            counted.fault("ended before it ran");
            return;
        }
        let key = words.get(1).cloned().unwrap_or_default();
        let first = *counted
            .marked
            .borrow_mut()
            .entry(key.clone())
            .or_insert_with(Instant::now);
        if words[0] == "SET" || words[0] == "BOOK" && counted.ran(&key) == 0 {
            *counted.runs.borrow_mut().entry(key.clone()).or_default() += 1;
        } else if words[0] == "BOOK" {
            assert!(
                first.elapsed() < WINDOW,
                "a repeat that nodes no longer know"
            );
            counted.fault("repeat known by its mark");
        }
        let mut out = BytesMut::new();
        match draw {
            2 => {
                counted.fault("ended after it ran");
                return;
            }
            3 => {
                counted.fault("failed");
                Value::Error("ERR after all".into()).write(Version::Resp3, &mut out);
            }
            4..=8 => {
                counted.fault("pushed first");
                Value::Push(vec![Value::Bulk("news".into())]).write(Version::Resp3, &mut out);
                Value::Bulk(key).write(Version::Resp3, &mut out);
            }
            9 => {
                counted.fault("cut within its reply");
                Value::Bulk(key).write(Version::Resp3, &mut out);
                out.truncate(chance.gen_range(1..out.len()));
                let _ = stream.write_all(&out).await; // it ends either way
                return;
            }
            10 => {
                counted.fault("no reply of the protocol");
                let _ = stream.write_all(b"?\r\n").await; // it ends either way
                return;
            }
            11 => {
                counted.fault("slow");
                tokio::time::sleep(Duration::from_millis(chance.gen_range(1..60))).await;
                Value::Bulk(key).write(Version::Resp3, &mut out);
            }
            _ => Value::Bulk(key).write(Version::Resp3, &mut out),
        }
        if stream.write_all(&out).await.is_err() {
            return;
        }
    }
}

/// What clients were told.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    delivered: u64,
    bounced: u64,
    failed: u64,
    /// Asked for by clients that left before the answer.
    left: u64,
}

/// A client that sends batches until it has sent so many commands; one batch in fifty it leaves in its middle.
async fn client(at: std::net::SocketAddr, number: u64, many: u64, counted: Rc<Counted>) -> Told {
    let mut chance = ChaCha8Rng::seed_from_u64(number);
    let (mut told, mut sent) = (Told::default(), 0);
    while sent < many {
        let mut stream = TcpStream::connect(at).await.expect("connected");
        let mut reader = Reader::new(Limits::default());
        let mut leaves = false;
        while sent < many && !leaves {
            let mut text = BytesMut::new();
            let batch: Vec<(&str, Bytes)> = (0..chance.gen_range(1..48.min(many - sent) + 1))
                .map(|i| {
                    let name = ["GET", "GET", "SET", "BOOK"][chance.gen_range(0..4)];
                    (name, Bytes::from(format!("{number}-{}", sent + i)))
                })
                .collect();
            sent += batch.len() as u64;
            for (name, key) in &batch {
                let key = std::str::from_utf8(key).expect("text");
                text.extend_from_slice(&encoded(&format!("{name} {key} m{key}")));
            }
            leaves = chance.gen_range(0..50) == 0;
            if leaves {
                text.truncate(chance.gen_range(1..text.len()));
            }
            stream.write_all(&text).await.expect("sent");
            let answers = if leaves {
                chance.gen_range(0..batch.len())
            } else {
                batch.len()
            };
            for (i, (name, key)) in batch.iter().enumerate() {
                // The cut may have left fewer whole ones than answers were drawn: then nothing more comes.
                let answer = if i < answers {
                    answer(&mut stream, &mut reader).await
                } else {
                    None
                };
                match answer {
                    Some(Value::Bulk(word)) => {
                        assert_eq!(&word, key, "another's reply");
                        assert!(
                            *name == "GET" || counted.ran(key) >= 1,
                            "delivered, yet it never ran"
                        );
                        told.delivered += 1;
                    }
                    Some(Value::Error(text)) if text.starts_with(b"TRYAGAIN") => {
                        assert_eq!(counted.ran(key), 0, "bounced, yet it ran");
                        told.bounced += 1;
                    }
                    Some(Value::Error(text)) if text.starts_with(b"FAILED") => told.failed += 1,
                    None if leaves => {
                        told.left += (batch.len() - i) as u64;
                        break;
                    }
                    other => panic!("{name} {key:?}: {other:?}"),
                }
            }
            if !leaves {
                // Exactly one each: nothing more is there, and the next batch's answers would show it too.
                assert_eq!(reader.buffered(), 0);
            }
        }
    }
    told
}

/// The next reply; none if the connection ends, or nothing comes for longer than any client waits.
async fn answer(stream: &mut TcpStream, reader: &mut Reader) -> Option<Value> {
    loop {
        if let Some(value) = reader.next_value().expect("readable") {
            return Some(value);
        }
        let mut piece = BytesMut::with_capacity(64 << 10);
        let read =
            tokio::time::timeout(Duration::from_millis(1700), stream.read_buf(&mut piece)).await;
        match read {
            Ok(Ok(n)) if n > 0 => reader.feed(&piece),
            _ => return None,
        }
    }
}

/// Sends so many commands from sixteen clients; what was told and what nodes counted.
fn sent(many: u64) -> (Told, Rc<Counted>) {
    run_within(3600, async {
        let counted = Rc::new(Counted::default());
        let mut nodes = Vec::new();
        for node in 0..4u64 {
            let (counted, turn) = (counted.clone(), Cell::new(0u64));
            let served = served(move |stream| {
                turn.set(turn.get() + 1);
                failing(stream, counted.clone(), node << 32 | turn.get())
            });
            nodes.push(served.await);
        }
        let (exchange, at) = front(&nodes, None).await;
        let clients = (0..16).map(|n| client(at, n, many / 16, counted.clone()));
        let all = futures_util::future::join_all(clients).await;
        let sum = |of: fn(&Told) -> u64| all.iter().map(of).sum();
        let told = Told {
            delivered: sum(|t| t.delivered),
            bounced: sum(|t| t.bounced),
            failed: sum(|t| t.failed),
            left: sum(|t| t.left),
        };
        tokio::time::sleep(Duration::from_millis(2200)).await;
        assert!(exchange.idle(), "a hit is still in hand");
        (told, counted)
    })
}

fn hold(many: u64) {
    let (told, counted) = sent(many);
    let faults = counted.faults.borrow();
    println!(
        "{many} commands: {told:?}; nodes saw {}, runs of {} mutating ones, faults {faults:?}",
        counted.commands.get(),
        counted.runs.borrow().len()
    );
    assert_eq!(
        told.delivered + told.bounced + told.failed + told.left,
        many / 16 * 16
    );
    assert!(told.delivered > many / 2, "{told:?}");
    assert!(faults.len() >= 9, "{faults:?}");
    let runs = counted.runs.borrow();
    assert!(
        runs.len() as u64 > many / 4 && runs.values().all(|n| *n == 1),
        "one ran twice"
    );
}

#[test]
fn each_command_has_one_answer_and_none_runs_twice() {
    hold(20_000);
}

/// By hand: `cargo test --release -p magpieline-resp-listener a_million -- --ignored --nocapture`, a minute or so.
#[test]
#[ignore = "takes a minute"]
fn a_million_commands_with_faults() {
    hold(1_000_000);
}
