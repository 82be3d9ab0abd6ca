//! A toy to try magpieline with: eight nodes, the node list and the platform, all in one program on loopback.
//! Five seconds after its start it offers build 42 on trial. Votes move it on or back. With `bad` as its
//! argument the nodes of build 42 fail every third hit.
//!
//! It keeps nothing, checks little, and speaks just enough of each protocol for one agent.

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::Bytes;
use futures_util::{stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

const LIST: &str = "127.0.0.1:8500";
const PLATFORM: &str = "127.0.0.1:6400";
const FIRST_NODE_PORT: u16 = 9101;
const OLD: u32 = 41;
const NEW: u32 = 42;
/// By stage: the cap, and how many of the four new nodes run.
const STAGES: [(f64, usize); 3] = [(0.25, 1), (0.6, 2), (1.0, 4)];
const OFFERED_AFTER: Duration = Duration::from_secs(5);
/// A stage's least time.
const SOAK: Duration = Duration::from_millis(1500);

struct World {
    rev: u64,
    build: u32,
    stage: usize,
    progress: &'static str,
    since: Instant,
}

type Shared = Rc<RefCell<World>>;

impl World {
    fn become_(&mut self, build: u32, stage: usize, progress: &'static str) {
        (self.build, self.stage, self.progress, self.since) =
            (build, stage, progress, Instant::now());
        self.rev += 1;
        println!("build {build}, stage {stage}: {progress}");
    }

    fn cap(&self) -> f64 {
        if self.progress == "ROLLED_BACK" {
            0.0
        } else {
            STAGES[self.stage].0
        }
    }

    fn fields(&self) -> [(&'static str, String); 5] {
        [
            ("image", self.build.to_string()),
            ("ring", self.stage.to_string()),
            ("progress", self.progress.to_owned()),
            ("ceiling", self.cap().to_string()),
            ("lag_ms", self.since.elapsed().as_millis().to_string()),
        ]
    }

    fn list(&self) -> serde_json::Value {
        let new = match (self.build, self.progress) {
            (OLD, _) | (_, "ROLLED_BACK") => 0,
            _ => STAGES[self.stage].1,
        };
        let old = if (self.build, self.progress) == (NEW, "COMPLETE") {
            0
        } else {
            4
        };
        let line = |i: usize, build: u32| {
            let endpoint = format!("127.0.0.1:{}", FIRST_NODE_PORT + i as u16);
            serde_json::json!({"uid": format!("s-{i}"), "endpoint": endpoint, "az": "a", "model": "toy",
                "pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0, "build": build})
        };
        let targets: Vec<_> = (0..old)
            .map(|i| line(i, OLD))
            .chain((4..4 + new).map(|i| line(i, NEW)))
            .collect();
        serde_json::json!({"rev": self.rev, "all": true, "targets": targets})
    }

    /// Takes a vote: what the platform answers.
    fn vote(&mut self, form: &HashMap<String, String>) -> Result<(), &'static str> {
        let said = |name: &str| form.get(name).map_or("", String::as_str);
        if said("Action") != "RecordOpinion" {
            return Err("invalid");
        }
        if said("image") != self.build.to_string() {
            return Err("conflict");
        }
        println!(
            "  vote: {} on build {}, stage {}",
            said("opinion"),
            said("image"),
            said("ring")
        );
        match said("opinion") {
            "approve" if said("ring") != self.stage.to_string() => return Err("conflict"),
            "approve" if self.progress == "IN_PROGRESS" && self.since.elapsed() >= SOAK => {
                let last = self.stage + 1 == STAGES.len();
                let stage = if last { self.stage } else { self.stage + 1 };
                self.become_(NEW, stage, if last { "COMPLETE" } else { "IN_PROGRESS" });
            }
            "reject" if self.build == NEW && self.progress != "ROLLED_BACK" => {
                self.become_(NEW, self.stage, "ROLLED_BACK");
            }
            _ => {}
        }
        Ok(())
    }
}

fn pairs(text: &str) -> HashMap<String, String> {
    form_urlencoded::parse(text.as_bytes())
        .into_owned()
        .collect()
}

fn answer(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(body))
}

async fn node(build: u32, bad: bool, hits: Rc<Cell<u64>>) -> Response<BoxBody> {
    tokio::time::sleep(Duration::from_millis(20)).await;
    hits.set(hits.get() + 1);
    match bad && build == NEW && hits.get().is_multiple_of(3) {
        true => answer(StatusCode::INTERNAL_SERVER_ERROR, "no\n".into()),
        false => answer(StatusCode::OK, format!("served by build {build}\n")),
    }
}

async fn list(world: Shared, request: Request) -> Response<BoxBody> {
    let asked = pairs(request.uri().query().unwrap_or(""));
    let number = |name: &str| asked.get(name).and_then(|v| v.parse::<u64>().ok());
    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
    while number("after").is_some_and(|after| after >= world.borrow().rev) && Instant::now() < until
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    answer(StatusCode::OK, world.borrow().list().to_string())
}

/// The state of the newest build whenever it changes, and a sign of life each second.
async fn tell(
    world: Shared,
    told: u64,
    signs: u32,
) -> Option<(Result<Bytes, Infallible>, (Shared, u64, u32))> {
    if told > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let rev = world.borrow().rev;
    let text = if rev != told {
        let fields = world
            .borrow()
            .fields()
            .map(|(name, value)| format!("{name}={value}"))
            .join("&");
        format!("event: ROLLOUT\ndata: {fields}\n\n")
    } else if signs.is_multiple_of(20) {
        ":\n".to_owned()
    } else {
        String::new()
    };
    Some((Ok(Bytes::from(text)), (world, rev, signs + 1)))
}

async fn platform(world: Shared, mut request: Request) -> Response<BoxBody> {
    if request.path() == "/api/bulletin" {
        let told = stream::unfold((world, 0, 1), |(world, told, signs)| {
            tell(world, told, signs)
        });
        let told =
            told.filter(|piece| std::future::ready(!piece.as_ref().is_ok_and(Bytes::is_empty)));
        let mut response = Response::build(StatusCode::OK);
        return response
            .content_type("text/event-stream")
            .message_body(BodyStream::new(Box::pin(told)).boxed())
            .unwrap();
    }
    let mut form = Vec::new();
    let mut body = request.take_payload();
    while let Some(Ok(piece)) = body.next().await {
        form.extend_from_slice(&piece);
    }
    let mut world = world.borrow_mut();
    match world.vote(&pairs(&String::from_utf8_lossy(&form))) {
        Ok(()) => {
            let item: String = world
                .fields()
                .iter()
                .map(|(name, value)| format!("<{name}>{value}</{name}>"))
                .collect();
            let text =
                format!("<?xml version=\"1.0\"?>\n<Response><groups><item>{item}</item></groups></Response>");
            answer(StatusCode::OK, text)
        }
        Err(code) => answer(
            StatusCode::BAD_REQUEST,
            format!("<Error><Code>{code}</Code></Error>"),
        ),
    }
}

/// Serves one address.
async fn serve<F>(address: String, respond: impl Fn(Request) -> F + Clone + 'static)
where
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = TcpListener::bind(&address)
        .await
        .unwrap_or_else(|e| panic!("{address}: {e}"));
    let service = HttpService::build()
        .client_request_timeout(Duration::ZERO)
        .h1(fn_service(move |request| {
            let response = respond(request);
            async move { Ok::<_, Infallible>(response.await) }
        }));
    let handler = Rc::new(service.new_service(()).await.expect("a handler"));
    while let Ok((stream, peer)) = listener.accept().await {
        let handler = handler.clone();
        actix_rt::spawn(async move { handler.call((stream, Some(peer))).await.ok() });
    }
}

fn main() {
    let bad = std::env::args().nth(1).as_deref() == Some("bad");
    let began = World {
        rev: 1,
        build: OLD,
        stage: 2,
        progress: "COMPLETE",
        since: Instant::now(),
    };
    let world: Shared = Rc::new(RefCell::new(began));
    actix_rt::System::new().block_on(async move {
        for i in 0..8 {
            let (build, hits) = (if i < 4 { OLD } else { NEW }, Rc::new(Cell::new(0)));
            let address = format!("127.0.0.1:{}", FIRST_NODE_PORT + i);
            actix_rt::spawn(serve(address, move |_| node(build, bad, hits.clone())));
        }
        let (lists, votes) = (world.clone(), world.clone());
        actix_rt::spawn(serve(LIST.into(), move |request| list(lists.clone(), request)));
        actix_rt::spawn(serve(PLATFORM.into(), move |request| platform(votes.clone(), request)));
        println!("node list on {LIST}, platform on {PLATFORM}; build {NEW} is offered in {OFFERED_AFTER:?}");
        tokio::time::sleep(OFFERED_AFTER).await;
        world.borrow_mut().become_(NEW, 0, "IN_PROGRESS");
        std::future::pending::<()>().await;
    });
}
