//! One appliance: works on a few requests at a time, queues a few more, turns the rest away.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};

/// Requests that one appliance works on at a time; so many more wait.
pub const BERTHS: usize = 4;
const QUEUED: usize = 4;
/// Slow for so long after its start, so many times.
pub const COLD: Duration = Duration::from_secs(3);
const COLD_SLOW: f64 = 1.5;

/// What all appliances of a service and version have run.
#[derive(Default)]
pub struct Tally {
    /// By service and version: requests run, and those of them that failed.
    pub run: BTreeMap<(String, String), (u64, u64)>,
    /// How often each request that must not be repeated was run.
    orders: BTreeMap<String, u32>,
}

impl Tally {
    pub fn twice(&self) -> usize {
        self.orders.values().filter(|times| **times > 1).count()
    }
}

pub struct Appliance {
    pub id: String,
    pub service: String,
    pub version: String,
    pub fail: f64,
    pub slow: f64,
    pub began: Instant,
    pub closing: Cell<bool>,
    /// Told when it has ended.
    pub ended: Notify,
    pub berths: Semaphore,
    pub waiting: Cell<usize>,
    pub tally: Rc<RefCell<Tally>>,
}

/// Serves until it is told to end.
pub async fn run(appliance: Rc<Appliance>, door: TcpListener) {
    let mut open = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            taken = door.accept() => match taken {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            () = appliance.ended.notified() => return, // connections end with the set
        };
        let _ = stream.set_nodelay(true);
        let appliance = appliance.clone();
        open.spawn_local(async move {
            let service = service_fn(move |request| {
                let appliance = appliance.clone();
                async move { Ok::<_, Infallible>(appliance.answer(request).await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

type Reply = Response<Full<Bytes>>;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Appliance {
    /// Time that is left of its being slow from its start.
    pub fn cold_left(&self) -> Duration {
        COLD.saturating_sub(self.began.elapsed())
    }

    fn reply(&self, status: u16, text: &str) -> Reply {
        let mut reply = Response::new(Full::from(text.to_owned()));
        *reply.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let running = BERTHS - self.berths.available_permits();
        let load = format!("{running},{},{BERTHS}", self.waiting.get());
        let headers = reply.headers_mut();
        headers.insert("load", HeaderValue::from_str(&load).expect("digits"));
        headers.insert(
            "appliance-id",
            HeaderValue::from_str(&self.id).expect("letters"),
        );
        if self.closing.get() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// An answer that says that the request was not run.
    fn not_run(&self, status: u16, why: &str) -> Reply {
        let mut reply = self.reply(status, why);
        reply
            .headers_mut()
            .insert("not-delivered", HeaderValue::from_static("1"));
        reply
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/health" {
            return self.reply(if self.closing.get() { 503 } else { 200 }, "");
        }
        let arrived = Instant::now();
        let id = head.headers.get("try-id").cloned();
        let mut reply = match (&id, text(&head.headers, "addressee")) {
            (None, _) => self.not_run(400, "expected Try-Id\n"),
            (_, Some(other)) if other != self.id => self.not_run(421, "another appliance\n"),
            (Some(id), _) => {
                let _ = body.collect().await;
                let left = text(&head.headers, "time-left-ms").and_then(|l| l.parse().ok());
                let due = arrived + Duration::from_millis(left.unwrap_or(60_000));
                self.work(
                    &head.method,
                    head.uri.path(),
                    id.to_str().unwrap_or(""),
                    due,
                )
                .await
            }
        };
        if let Some(id) = id {
            reply.headers_mut().insert("try-id", id);
        }
        reply
    }

    /// Waits for a berth and works.
    async fn work(&self, method: &hyper::Method, path: &str, id: &str, due: Instant) -> Reply {
        if self.berths.available_permits() == 0 && self.waiting.get() >= QUEUED {
            return self.not_run(503, "full\n");
        }
        self.waiting.set(self.waiting.get() + 1);
        let berth = tokio::time::timeout_at(due.into(), self.berths.acquire()).await;
        self.waiting.set(self.waiting.get() - 1);
        let Ok(Ok(_berth)) = berth else {
            return self.not_run(503, "no berth in time\n");
        };
        let key = (self.service.clone(), self.version.clone());
        self.tally
            .borrow_mut()
            .run
            .entry(key.clone())
            .or_default()
            .0 += 1;
        if method == hyper::Method::POST {
            *self
                .tally
                .borrow_mut()
                .orders
                .entry(id.to_owned())
                .or_default() += 1;
        }
        let (usual, failed) = {
            let mut rng = rand::thread_rng();
            (rng.gen_range(20.0..60.0), rng.gen_bool(self.fail))
        };
        let cold = if self.cold_left().is_zero() {
            1.0
        } else {
            COLD_SLOW
        };
        let done = Instant::now() + Duration::from_secs_f64(usual * self.slow * cold / 1e3);
        tokio::time::sleep_until(done.min(due).into()).await;
        let status = match (done > due, failed) {
            (true, _) => 504,
            (_, true) => 500,
            _ => 200,
        };
        if status != 200 {
            self.tally.borrow_mut().run.entry(key).or_default().1 += 1;
        }
        let mut reply = self.reply(
            status,
            &format!("{} {} {path}\n", self.service, self.version),
        );
        let mark = HeaderValue::from_str(&format!("{}.{status}", self.id)).expect("letters");
        reply.headers_mut().insert("postmark", mark);
        reply
    }
}
