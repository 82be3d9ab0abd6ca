//! The platform: starts and stops appliances, and lists them.

use crate::appliance::{self, Appliance, Tally, BERTHS};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};

/// Appliances serve for so long after they were first listed as leaving.
const DRAIN: Duration = Duration::from_millis(4000);
/// Entries on one page of the list, and calls a second.
const PAGE: usize = 5;
const PER_S: u32 = 20;

struct Platform {
    appliances: RefCell<Vec<(SocketAddr, Rc<Appliance>)>>,
    /// Appliances ever started.
    started: Cell<u32>,
    tally: Rc<RefCell<Tally>>,
    /// The second that calls are counted in, and how many there were.
    calls: Cell<(u64, u32)>,
    began: Instant,
}

/// Serves until the process ends. It begins with a first version of both services.
pub async fn run(at: SocketAddr) -> Result<(), String> {
    let door = TcpListener::bind(at)
        .await
        .map_err(|e| format!("{at}: can't listen: {e}"))?;
    let platform = Rc::new(Platform {
        appliances: RefCell::new(Vec::new()),
        started: Cell::new(0),
        tally: Rc::default(),
        calls: Cell::new((0, 0)),
        began: Instant::now(),
    });
    let tasks = tokio::task::LocalSet::new();
    tasks
        .run_until(async {
            platform.start("calendar", "v1", 6, 0.0, 1.0).await?;
            platform.start("firing", "v1", 3, 0.0, 1.0).await?;
            println!(
                "platform: the list is at {at}; {} appliances run",
                platform.started.get()
            );
            loop {
                let Ok((stream, _)) = door.accept().await else {
                    continue;
                };
                let platform = platform.clone();
                tokio::task::spawn_local(async move {
                    let service = service_fn(move |request| {
                        let platform = platform.clone();
                        async move { Ok::<_, Infallible>(platform.answer(request).await) }
                    });
                    let io = TokioIo::new(stream);
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(io, service)
                        .await;
                });
            }
        })
        .await
}

fn reply(status: u16, text: String) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::from(text));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply
}

impl Platform {
    async fn start(
        &self,
        service: &str,
        version: &str,
        count: u32,
        fail: f64,
        slow: f64,
    ) -> Result<(), String> {
        for _ in 0..count {
            // Any free port: an address is handed out again only after a while.
            let door = TcpListener::bind("127.0.0.1:0")
                .await
                .map_err(|e| format!("no port: {e}"))?;
            let at = door.local_addr().map_err(|e| format!("no port: {e}"))?;
            self.started.set(self.started.get() + 1);
            let appliance = Rc::new(Appliance {
                id: format!("i-{}", self.started.get()),
                service: service.to_owned(),
                version: version.to_owned(),
                fail: fail.clamp(0.0, 1.0),
                slow: slow.max(0.0),
                began: Instant::now(),
                closing: Cell::new(false),
                ended: Notify::new(),
                berths: Semaphore::new(BERTHS),
                waiting: Cell::new(0),
                tally: self.tally.clone(),
            });
            self.appliances.borrow_mut().push((at, appliance.clone()));
            tokio::task::spawn_local(appliance::run(appliance, door));
        }
        Ok(())
    }

    /// Lists a version's appliances as leaving, and ends them once nobody should send to them any more.
    fn stop(self: &Rc<Platform>, service: &str, version: &str) -> usize {
        let leaving: Vec<Rc<Appliance>> = self
            .appliances
            .borrow()
            .iter()
            .filter(|(_, a)| a.service == service && a.version == version && !a.closing.get())
            .map(|(_, a)| a.clone())
            .collect();
        leaving.iter().for_each(|a| a.closing.set(true));
        let (platform, count) = (self.clone(), leaving.len());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(DRAIN).await;
            for appliance in leaving {
                platform
                    .appliances
                    .borrow_mut()
                    .retain(|(_, a)| a.id != appliance.id);
                appliance.ended.notify_one();
            }
        });
        count
    }

    async fn answer(self: &Rc<Platform>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let query = request.uri().query().unwrap_or("").to_owned();
        let asked = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or("")
                .to_owned()
        };
        let number = |name: &str, otherwise: f64| asked(name).parse::<f64>().unwrap_or(otherwise);
        let (service, version) = (asked("service"), asked("version"));
        match request.uri().path() {
            "/appliances" => self.list(&asked("zone"), asked("page").parse().unwrap_or(0)),
            "/start" => {
                let count = number("count", 1.0) as u32;
                match self
                    .start(
                        &service,
                        &version,
                        count,
                        number("fail", 0.0),
                        number("slow", 1.0),
                    )
                    .await
                {
                    Ok(()) => reply(
                        200,
                        format!("{count} appliances of {service} {version} started\n"),
                    ),
                    Err(wrong) => reply(500, wrong),
                }
            }
            "/stop" => {
                let count = self.stop(&service, &version);
                reply(
                    200,
                    format!("{count} appliances of {service} {version} are leaving\n"),
                )
            }
            "/tally" => reply(200, self.tallied()),
            other => reply(
                404,
                format!("found {other}, expected /appliances, /start, /stop or /tally\n"),
            ),
        }
    }

    fn list(&self, zone: &str, from: usize) -> Response<Full<Bytes>> {
        let second = self.began.elapsed().as_secs();
        let (counted, calls) = self.calls.get();
        let calls = if counted == second { calls + 1 } else { 1 };
        self.calls.set((second, calls));
        if calls > PER_S {
            return reply(429, String::new());
        }
        let all = self.appliances.borrow();
        let mut page = jzon::JsonValue::new_object();
        // All stand in one zone.
        for (at, appliance) in all
            .iter()
            .skip(from)
            .take(PAGE)
            .filter(|_| zone.is_empty() || zone == "hall")
        {
            let entry = jzon::object! {
                service: appliance.service.as_str(), address: at.to_string(), zone: "hall",
                edition: appliance.version.as_str(), berths: BERTHS,
                state: if appliance.closing.get() { "closing_out" } else { "ready" },
                cold_left: format!("{}ms", appliance.cold_left().as_millis())
            };
            let _ = page.insert(&appliance.id, entry);
        }
        let next = (from + PAGE < all.len()).then(|| (from + PAGE).to_string());
        reply(200, jzon::object! { appliances: page, next: next }.dump())
    }

    fn tallied(&self) -> String {
        let tally = self.tally.borrow();
        let mut text: String = tally
            .run
            .iter()
            .map(|((service, version), (run, failed))| {
                format!("{service} {version}: {run} requests run, {failed} of them failed\n")
            })
            .collect();
        text.push_str(&format!("orders run twice: {}\n", tally.twice()));
        text
    }
}
