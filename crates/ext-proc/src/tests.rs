//! A stand-in proxy that asks, and really forwards to stand-in nodes that count what they run.

use crate::call::call;
use crate::front::{serve, Front, Shelf};
use crate::messages::*;
use crate::table::Table;
use futures_util::future::LocalBoxFuture;
use magpieline::interface::Listed;
use magpieline_attempt_log::record::Record;
use magpieline_dispatch::{Chosen, End, Entry, Exchange, Load, Way, Ways};
use magpieline_operator_config::Schema;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::Streaming;
use tonic_prost::ProstCodec;

const FILE: &str = "<magpieline><extproc listen='127.0.0.1:0' MORE>
    <route prefix='/read' group='read' timeout-ms='1500' when-unsure='open'/>
    <route prefix='/pay' group='pay' timeout-ms='1500'/>
    <route prefix='/book' group='book' timeout-ms='1500'/></extproc></magpieline>";

fn run<F: Future>(seconds: u64, test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let timed = async {
        tokio::time::timeout(Duration::from_secs(seconds), test)
            .await
            .expect("a test ends in time")
    };
    tokio::task::LocalSet::new().block_on(&runtime, timed)
}

/// A node whose hits are the callers' to send.
struct There(SocketAddr);

impl Way for There {
    fn forward(&self, load: Rc<Load>, limit: Duration) -> LocalBoxFuture<'static, End> {
        match call(&load) {
            Some(call) => call.forward(self.0, limit),
            None => Box::pin(async { End::Nowhere }),
        }
    }
}

/// What nodes have run, by id.
type Runs = Rc<RefCell<HashMap<String, u32>>>;

/// A node that reads an id a connection, and does what the id says: `never` is turned away, `fails` errs, `slow` takes a
/// while; all but the first are run and counted.
async fn node(runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let runs = runs.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let runs = runs.clone();
            tokio::task::spawn_local(async move {
                let mut id = [0; 64];
                let n = stream.read(&mut id).await.unwrap_or(0);
                let id = String::from_utf8_lossy(&id[..n]).into_owned();
                let answer = if id.contains("never") {
                    "503 turned"
                } else {
                    *runs.borrow_mut().entry(id.clone()).or_default() += 1;
                    if id.contains("slow") {
                        tokio::time::sleep(Duration::from_millis(60)).await;
                    }
                    if id.contains("fails") {
                        "500"
                    } else {
                        "200"
                    }
                };
                let _ = stream.write_all(answer.as_bytes()).await; // the caller may have left
            });
        }
    });
    address
}

/// A processor, and where callers reach it.
struct Processor {
    exchange: Rc<Exchange>,
    at: SocketAddr,
}

fn exchange(nodes: &[SocketAddr]) -> Rc<Exchange> {
    let info = serde_json::json!({"classes": [
        {"name": "read", "repeat": "retryable", "hard_limit_us": 2000000},
        {"name": "pay", "repeat": "fragile", "hard_limit_us": 2000000},
        {"name": "book", "repeat": "dedup", "dedup_scope": "zone", "dedup_window_us": 600000, "hard_limit_us": 2000000}]});
    let ways: Ways = Box::new(|address, _| Ok(Rc::new(There(address))));
    let exchange =
        Rc::new(Exchange::new(1, &info, &Chosen::default(), None, ways).expect("an exchange"));
    list(&exchange, nodes, &[]);
    exchange
}

/// Lists these nodes, each in a zone of its own, those closed that are said to be.
fn list(exchange: &Exchange, nodes: &[SocketAddr], closed: &[SocketAddr]) {
    let entry = |(zone, address): (usize, &SocketAddr)| {
        let open = !closed.contains(address);
        let listed = Listed {
            node: 0,
            open,
            build: 1,
            zone,
            cell: 0,
            rating: 1.0,
            up_since: 0.0,
            speaks: 0,
        };
        Entry {
            uid: address.to_string(),
            listed,
            address: *address,
            gone: false,
        }
    };
    if !nodes.is_empty() {
        exchange.listed(true, true, nodes.iter().enumerate().map(entry).collect());
    }
}

async fn processor(
    nodes: &[SocketAddr],
    more: &str,
    shelf: Option<Rc<dyn Shelf>>,
    records: &[Record],
    from: f64,
) -> Processor {
    let exchange = exchange(nodes);
    let values = Schema::bundled()
        .check(&FILE.replace("MORE", more))
        .expect("a good file");
    let table = Table::read(&values, &exchange).expect("a table");
    let front = Rc::new(Front::new(
        exchange.clone(),
        table,
        "x-turned-away",
        shelf,
        records,
        from,
    ));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let at = listener.local_addr().expect("an address");
    tokio::task::spawn_local(serve(front, listener));
    Processor { exchange, at }
}

async fn plain(nodes: &[SocketAddr]) -> Processor {
    processor(nodes, "", None, &[], magpieline_dispatch::unix()).await
}

/// Waits until nothing is in hand: streams that were dropped are heard of as the machine gets round to it.
async fn until_idle(exchange: &Exchange) {
    while !exchange.idle() {
        tokio::time::sleep(Duration::from_millis(10)).await; // a test that never gets there ends by its own time
    }
}

/// A caller's connection.
async fn proxy(at: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{at}"))
        .expect("an address")
        .connect()
        .await
        .expect("connected")
}

/// One stream of a caller's.
struct Asking {
    say: mpsc::Sender<ProcessingRequest>,
    told: Streaming<ProcessingResponse>,
}

async fn open(proxy: &Channel) -> Result<Asking, tonic::Status> {
    let (say, said) = mpsc::channel(16);
    let mut grpc = tonic::client::Grpc::new(proxy.clone());
    grpc.ready()
        .await
        .map_err(|e| tonic::Status::unavailable(e.to_string()))?;
    let path = http::uri::PathAndQuery::from_static(
        "/envoy.service.ext_proc.v3.ExternalProcessor/Process",
    );
    let codec: ProstCodec<ProcessingRequest, ProcessingResponse> = ProstCodec::default();
    let answer = grpc
        .streaming(tonic::Request::new(ReceiverStream::new(said)), path, codec)
        .await?;
    Ok(Asking {
        say,
        told: answer.into_inner(),
    })
}

fn request(request: Shown) -> ProcessingRequest {
    ProcessingRequest {
        request: Some(request),
        observability_mode: false,
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Heard {
    /// Go to this node, within so many milliseconds.
    Go(SocketAddr, f64),
    /// Go on by itself.
    Own,
    Answer(i32),
    Gone,
}

impl Asking {
    async fn ask(&mut self, pairs: &[(&str, &str)]) -> Heard {
        let _ = self
            .say
            .send(request(Shown::RequestHeaders(HttpHeaders::alone(pairs))))
            .await; // it may be gone
        self.hear().await
    }

    async fn hear(&mut self) -> Heard {
        let Ok(Some(message)) = self.told.message().await else {
            return Heard::Gone;
        };
        match message.response {
            Some(Reply::ImmediateResponse(answer)) => {
                Heard::Answer(answer.status.expect("one").code)
            }
            Some(Reply::RequestHeaders(common)) => match common.response {
                None => Heard::Own,
                Some(common) => {
                    let set = common.header_mutation.expect("headers").set_headers;
                    let get = |name: &str| {
                        let found = set
                            .iter()
                            .filter_map(|s| s.header.as_ref())
                            .find(|h| h.key == name);
                        String::from_utf8(found.expect(name).raw_value.clone()).expect("text")
                    };
                    assert_eq!(get("x-envoy-max-retries"), "0");
                    let limit = get("x-envoy-upstream-rq-timeout-ms")
                        .parse()
                        .expect("a number");
                    Heard::Go(get("x-magpieline-node").parse().expect("an address"), limit)
                }
            },
            other => panic!("{other:?}"),
        }
    }

    /// Tells how the forward ended.
    async fn ended(&mut self, status: &str) {
        let mut pairs = vec![(":status", status.split(' ').next().unwrap_or_default())];
        if status.ends_with("turned") {
            pairs.push(("x-turned-away", "1"));
        }
        let _ = self
            .say
            .send(request(Shown::ResponseHeaders(HttpHeaders::alone(&pairs))))
            .await;
        let answer = self.told.message().await;
        assert!(matches!(
            answer.map(|a| a.and_then(|a| a.response)),
            Ok(Some(Reply::ResponseHeaders(CommonAnswer {
                response: None
            })))
        ));
    }
}

/// Sends a hit on as a proxy does; what the node answered.
async fn forward(node: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(node).await.expect("connected");
    stream.write_all(id.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await; // what came counts
    answer
}

/// A whole call: asked, forwarded, told.
async fn whole(proxy: &Channel, path: &str, id: &str) -> Heard {
    let mut asking = open(proxy).await.expect("a stream");
    let heard = asking.ask(&[(":path", path), ("x-request-id", id)]).await;
    if let Heard::Go(node, _) = heard {
        let status = forward(node, id).await;
        asking.ended(&status).await;
    }
    heard
}

#[test]
fn a_caller_is_told_where_to_go_and_tells_how_it_ended() {
    run(10, async {
        let runs = Runs::default();
        let (a, b) = (node(&runs).await, node(&runs).await);
        let p = plain(&[a, b]).await;
        let proxy = proxy(p.at).await;
        for i in 0..40 {
            let heard = whole(&proxy, "/pay/x?y", &format!("id{i}")).await;
            assert!(
                matches!(heard, Heard::Go(node, limit) if [a, b].contains(&node) && limit > 100.0),
                "{heard:?}"
            );
        }
        assert_eq!(runs.borrow().len(), 40);
        assert_eq!(
            whole(&proxy, "/elsewhere", "i").await,
            Heard::Own,
            "no row has it"
        );
        assert_eq!(
            whole(&proxy, "/payment", "i").await,
            Heard::Own,
            "a part of a word is no prefix"
        );
        let mut asking = open(&proxy).await.expect("a stream");
        assert_eq!(
            asking.ask(&[(":path", "/pay")]).await,
            Heard::Answer(400),
            "no id"
        );
        until_idle(&p.exchange).await;
    });
}

/// The caller tries again, two callers ask at once, before and after the first one's end: one run each.
#[test]
fn a_payment_that_is_asked_about_twice_runs_once() {
    run(10, async {
        let runs = Runs::default();
        let p = plain(&[node(&runs).await, node(&runs).await]).await;
        let (one, other) = (proxy(p.at).await, proxy(p.at).await);
        let pay = |id: &'static str| [(":path", "/pay"), ("x-request-id", id)];
        // Two callers, before the first one's end.
        let mut first = open(&one).await.expect("a stream");
        let Heard::Go(at, _) = first.ask(&pay("a")).await else {
            panic!("told where to go")
        };
        assert_eq!(whole(&other, "/pay", "a").await, Heard::Answer(409));
        let status = forward(at, "a").await;
        first.ended(&status).await;
        // After it.
        assert_eq!(whole(&other, "/pay", "a").await, Heard::Answer(409));
        // The caller goes away between the answer and the forward's end: it may have run.
        let mut first = open(&one).await.expect("a stream");
        assert!(matches!(first.ask(&pay("b")).await, Heard::Go(..)));
        drop(first);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(whole(&one, "/pay", "b").await, Heard::Answer(409));
        // A node that turned it away unseen: it never ran, and may go again.
        assert!(matches!(
            whole(&one, "/pay", "never-c").await,
            Heard::Go(..)
        ));
        tokio::time::sleep(Duration::from_millis(250)).await;
        assert!(matches!(
            whole(&one, "/pay", "never-c").await,
            Heard::Go(..)
        ));
        // A failure may have run. Nodes that turned hits away are left alone for a moment.
        tokio::time::sleep(Duration::from_millis(250)).await;
        assert!(matches!(
            whole(&one, "/pay", "fails-d").await,
            Heard::Go(..)
        ));
        assert_eq!(whole(&one, "/pay", "fails-d").await, Heard::Answer(409));
        // One that says it was asked before, of which nothing is known.
        let mut asking = open(&one).await.expect("a stream");
        let again = [&pay("e")[..], &[("x-envoy-attempt-count", "2")]].concat();
        assert_eq!(asking.ask(&again).await, Heard::Answer(409));
        assert!(
            runs.borrow().values().all(|n| *n == 1),
            "{:?}",
            runs.borrow()
        );
        until_idle(&p.exchange).await;
    });
}

/// A tagged hit goes again within its window, and only to the zone whose nodes know its repeats.
#[test]
fn a_tagged_hit_goes_again_only_where_it_is_known() {
    run(10, async {
        let runs = Runs::default();
        let p = plain(&[node(&runs).await, node(&runs).await, node(&runs).await]).await;
        let proxy = proxy(p.at).await;
        for i in 0..10 {
            let id = format!("fails-{i}");
            let Heard::Go(first, _) = whole(&proxy, "/book", &id).await else {
                panic!("told where to go")
            };
            for _ in 0..3 {
                match whole(&proxy, "/book", &id).await {
                    Heard::Go(again, _) => {
                        assert_eq!(again, first, "another zone knows nothing of it")
                    }
                    // The decisions may shun a node that fails: then it goes nowhere.
                    other => assert!(matches!(other, Heard::Answer(502 | 503)), "{other:?}"),
                }
            }
        }
        assert!(matches!(
            whole(&proxy, "/book", "fails-w").await,
            Heard::Go(..) | Heard::Answer(503)
        ));
        tokio::time::sleep(Duration::from_millis(650)).await;
        assert_eq!(
            whole(&proxy, "/book", "fails-0").await,
            Heard::Answer(409),
            "its window is over"
        );
    });
}

/// Streams that break, messages in odd orders, too much at once: nothing is left in hand, and service goes on.
#[test]
fn odd_callers_harm_nobody() {
    run(30, async {
        let runs = Runs::default();
        let p = plain(&[node(&runs).await]).await;
        let proxy = proxy(p.at).await;
        // Twice the request's headers.
        let mut asking = open(&proxy).await.expect("a stream");
        assert!(matches!(
            asking
                .ask(&[(":path", "/pay"), ("x-request-id", "t")])
                .await,
            Heard::Go(..)
        ));
        assert_eq!(
            asking
                .ask(&[(":path", "/pay"), ("x-request-id", "t")])
                .await,
            Heard::Gone
        );
        // The response first, bodies and trailers, and a message that says nothing.
        let mut asking = open(&proxy).await.expect("a stream");
        asking.ended("200").await;
        for part in [
            Shown::RequestBody(HttpBody::default()),
            Shown::RequestTrailers(HttpTrailers::default()),
            Shown::ResponseBody(HttpBody::default()),
            Shown::ResponseTrailers(HttpTrailers::default()),
        ] {
            asking.say.send(request(part)).await.expect("sent");
            assert!(asking.told.message().await.expect("an answer").is_some());
        }
        asking
            .say
            .send(ProcessingRequest::default())
            .await
            .expect("sent");
        assert!(matches!(
            asking.ask(&[(":path", "/read")]).await,
            Heard::Go(..)
        ));
        drop(asking);
        // A megabyte of headers.
        let mut asking = open(&proxy).await.expect("a stream");
        let long = "v".repeat(1 << 20);
        assert_eq!(
            asking.ask(&[(":path", "/read"), ("x-long", &long)]).await,
            Heard::Gone
        );
        // One that only watches is answered nothing, and nothing is taken for it.
        let mut asking = open(&proxy).await.expect("a stream");
        let watching = ProcessingRequest {
            observability_mode: true,
            ..request(Shown::RequestHeaders(HttpHeaders::alone(&[(
                ":path", "/read",
            )])))
        };
        asking.say.send(watching).await.expect("sent");
        assert!(
            tokio::time::timeout(Duration::from_millis(50), asking.told.message())
                .await
                .is_err()
        );
        drop(asking);
        // Streams that are opened and dropped at once.
        for i in 0..200 {
            let asking = open(&proxy).await.expect("a stream");
            let first =
                HttpHeaders::alone(&[(":path", "/pay"), ("x-request-id", &format!("d{i}"))]);
            let _ = asking.say.send(request(Shown::RequestHeaders(first))).await;
            drop(asking);
        }
        assert!(matches!(
            whole(&proxy, "/pay", "after").await,
            Heard::Go(..)
        ));
        until_idle(&p.exchange).await;
    });
}

/// Ten thousand streams at once on one connection: each is answered, none stays.
#[test]
fn ten_thousand_streams_on_one_connection() {
    run(240, async {
        let runs = Runs::default();
        let p = processor(
            &[node(&runs).await],
            "most-streams='10000'",
            None,
            &[],
            magpieline_dispatch::unix(),
        )
        .await;
        let proxy = proxy(p.at).await;
        let mut held = Vec::new();
        for i in 0..10_000 {
            let mut asking = open(&proxy).await.expect("a stream");
            if i % 100 == 0 {
                let heard = asking.ask(&[(":path", "/read")]).await;
                assert!(
                    matches!(heard, Heard::Go(..) | Heard::Answer(503)),
                    "{heard:?}"
                );
            }
            held.push(asking);
        }
        for asking in held.iter_mut().rev().step_by(500) {
            let heard = asking.ask(&[(":path", "/elsewhere")]).await;
            assert!(matches!(heard, Heard::Own), "{heard:?}");
        }
        drop(held);
        until_idle(&p.exchange).await;
        // Its node was silent for those that were held, so it may be left alone for now.
        let heard = whole(&proxy, "/pay", "after").await;
        assert!(
            matches!(heard, Heard::Go(..) | Heard::Answer(503)),
            "{heard:?}"
        );
    });
}

/// Without a list nothing can be decided: what may run twice goes on by itself, payments do not. A node that drains gets
/// nothing new.
#[test]
fn when_nothing_can_be_decided_payments_are_closed() {
    run(10, async {
        let p = plain(&[]).await;
        let proxy_one = proxy(p.at).await;
        assert_eq!(whole(&proxy_one, "/read", "r").await, Heard::Own);
        assert_eq!(whole(&proxy_one, "/pay", "p").await, Heard::Answer(503));
        let runs = Runs::default();
        let (a, b) = (node(&runs).await, node(&runs).await);
        list(&p.exchange, &[a, b], &[]);
        // Told to go there, then it drains: this one was told before.
        let mut asking = open(&proxy_one).await.expect("a stream");
        let Heard::Go(told, _) = asking
            .ask(&[(":path", "/pay"), ("x-request-id", "p")])
            .await
        else {
            panic!("bounced before, so it may go")
        };
        list(&p.exchange, &[a, b], &[told]);
        for i in 0..20 {
            let heard = whole(&proxy_one, "/pay", &format!("q{i}")).await;
            assert!(
                matches!(heard, Heard::Go(node, _) if node != told),
                "{heard:?}"
            );
        }
        let status = forward(told, "p").await;
        asking.ended(&status).await;
    });
}

/// On stopping streams in hand are finished and no more are taken.
#[test]
fn on_stopping_streams_in_hand_are_finished() {
    run(10, async {
        let runs = Runs::default();
        let p = plain(&[node(&runs).await]).await;
        let proxy = proxy(p.at).await;
        let mut asking = open(&proxy).await.expect("a stream");
        let Heard::Go(at, _) = asking
            .ask(&[(":path", "/pay"), ("x-request-id", "s")])
            .await
        else {
            panic!("told where to go")
        };
        p.exchange.stop();
        assert_eq!(
            whole(&proxy, "/pay", "late").await,
            Heard::Answer(503),
            "stopping"
        );
        p.exchange.closing.give();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let status = forward(at, "s").await;
        asking.ended(&status).await;
        drop(asking);
        assert!(open(&proxy).await.is_err());
        until_idle(&p.exchange).await;
    });
}

/// Connections beyond the bound are closed at once; when one ends there is room again.
#[test]
fn connections_are_bounded() {
    run(10, async {
        let runs = Runs::default();
        let p = plain(&[node(&runs).await]).await;
        let mut held = Vec::new();
        for _ in 0..64 {
            held.push(TcpStream::connect(p.at).await.expect("connected"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut more = TcpStream::connect(p.at).await.expect("connected");
        assert_eq!(
            more.read(&mut [0; 8]).await.unwrap_or(0),
            0,
            "closed at once"
        );
        held.clear();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(matches!(
            whole(&proxy(p.at).await, "/pay", "a").await,
            Heard::Go(..)
        ));
    });
}

#[test]
fn rows_that_must_not_be_are_refused() {
    run(5, async {
        let exchange = exchange(&[]);
        let told = |file: &str| {
            let values = Schema::bundled()
                .check(&file.replace("MORE", ""))
                .expect("good by the schema");
            Table::read(&values, &exchange).expect_err("refused")
        };
        assert!(told(&FILE.replace("group='pay'", "group='odd'")).contains("group: found 'odd'"));
        let open = FILE.replace(
            "group='pay' timeout-ms='1500'",
            "group='pay' timeout-ms='1500' when-unsure='open'",
        );
        assert!(told(&open).contains("'/pay': when-unsure: found open, expected closed"));
        assert!(told(&FILE.replace("'/book'", "'/pay'")).contains("found again"));
    });
}

/// A shelf in memory.
#[derive(Default)]
struct Kept(Rc<RefCell<Vec<Record>>>);

impl Shelf for Kept {
    fn write(&self, record: Record) -> LocalBoxFuture<'static, Result<(), String>> {
        self.0.borrow_mut().push(record);
        Box::pin(async { Ok(()) })
    }
}

/// Calls with faults: callers that leave at every point, ask again in time or late, by one proxy or another; processors
/// that end in the middle and start again with their records or without. Nodes count: no payment runs twice.
fn calls(many: u64) {
    run(3600, async {
        let runs = Runs::default();
        let nodes = [node(&runs).await, node(&runs).await, node(&runs).await];
        let (mut done, began) = (0, Instant::now());
        let (heard, times) = (
            Rc::new(RefCell::new([0u64; 4])),
            Rc::new(RefCell::new(Vec::new())),
        );
        let (records, mut from, mut round) = (
            Rc::new(RefCell::new(Vec::new())),
            magpieline_dispatch::unix(),
            0u64,
        );
        let next = Rc::new(Cell::new(0u64));
        while done < many {
            round += 1;
            let with_disk = round.is_multiple_of(2);
            if with_disk && round > 2 {
                // Its predecessor had none: nothing older is known.
                records.borrow_mut().clear();
                from = magpieline_dispatch::unix();
            }
            let shelf: Option<Rc<dyn Shelf>> = Some(Rc::new(Kept(records.clone())));
            let known = records.borrow().clone();
            let p = processor(&nodes, "", shelf, &known, from).await;
            let proxies = [proxy(p.at).await, proxy(p.at).await];
            let each = (many / 8).clamp(500, 20_000).min(many - done);
            let clients = (0..16u64).map(|c| {
                let (proxies, heard, times, next) =
                    (proxies.clone(), heard.clone(), times.clone(), next.clone());
                let mut chance = ChaCha8Rng::seed_from_u64(round << 8 | c);
                async move {
                    for _ in 0..each / 16 {
                        next.set(next.get() + 1);
                        let word =
                            ["", "", "", "", "fails", "never", "slow"][chance.gen_range(0..7)];
                        let (path, id) = (
                            ["/pay", "/pay", "/read", "/book"][chance.gen_range(0..4)],
                            format!("{word}-{}", next.get()),
                        );
                        // What comes late is still the first: only what is asked again says so.
                        for attempt in 1..=chance.gen_range(1..4) {
                            let begun = Instant::now();
                            let Ok(mut asking) = open(&proxies[chance.gen_range(0..2)]).await
                            else {
                                break;
                            };
                            let count = attempt.to_string();
                            let pairs = [
                                (":path", path),
                                ("x-request-id", id.as_str()),
                                ("x-envoy-attempt-count", count.as_str()),
                            ];
                            if chance.gen_range(0..50) == 0 {
                                let _ = asking
                                    .say
                                    .send(request(Shown::RequestHeaders(HttpHeaders::alone(
                                        &pairs,
                                    ))))
                                    .await;
                                continue; // it leaves before the answer
                            }
                            let said = asking.ask(&pairs).await;
                            times.borrow_mut().push(begun.elapsed().as_secs_f64());
                            heard.borrow_mut()[match &said {
                                Heard::Go(..) => 0,
                                Heard::Answer(503 | 502) => 1,
                                Heard::Answer(_) => 2,
                                _ => 3,
                            }] += 1;
                            let Heard::Go(at, _) = said else { continue };
                            match chance.gen_range(0..50) {
                                0 => {}                                               // it leaves before it forwards
                                1 => drop(forward(at, &format!("{path}{id}")).await), // and before it tells
                                _ => {
                                    let status = forward(at, &format!("{path}{id}")).await;
                                    asking.ended(&status).await;
                                }
                            }
                        }
                    }
                }
            });
            futures_util::future::join_all(clients).await;
            done += each;
            // The processor ends as by a crash: streams break, nothing more is written.
        }
        let paid: Vec<u32> = runs
            .borrow()
            .iter()
            .filter(|(id, _)| id.starts_with("/pay"))
            .map(|(_, n)| *n)
            .collect();
        let mut times = times.borrow_mut();
        times.sort_by(f64::total_cmp);
        let at = |part: f64| 1e3 * times[(times.len() as f64 * part) as usize];
        println!(
            "{done} hits, {} calls in {:.1} s: go {}, bounced {}, refused {}, else {}; {} payments ran; answer p50 {:.2} ms, p99 {:.2} ms",
            times.len(), began.elapsed().as_secs_f64(), heard.borrow()[0], heard.borrow()[1], heard.borrow()[2], heard.borrow()[3], paid.len(), at(0.5), at(0.99)
        );
        assert!(paid.len() as u64 > done / 4, "{}", paid.len());
        assert!(paid.iter().all(|n| *n == 1), "a payment ran twice");
        assert!(heard.borrow()[2] > 0, "none was refused: nothing was shown");
    });
}

#[test]
fn no_payment_runs_twice() {
    calls(4_000);
}

/// By hand: `cargo test --release -p magpieline-ext-proc many_calls -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn many_calls() {
    calls(200_000);
}
