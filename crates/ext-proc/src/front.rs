//! The gRPC server, on the program's one thread: HTTP/2 connections in bounds, a task a stream.

use crate::messages::{ProcessingRequest, ProcessingResponse};
use crate::stream;
use crate::table::Table;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use magpieline_attempt_log::log::AttemptLog;
use magpieline_attempt_log::record::Record;
use magpieline_attempt_log::request::{AttemptRequest, FirstAttempt, Outcome, Rejection};
use magpieline_dispatch::{guarded, Exchange};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::server::{Grpc, StreamingService};
use tonic::{Status, Streaming};
use tonic_prost::ProstCodec;

const PROCESS: &str = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";
/// The longest message: headers of a caller are some kilobytes, the largest that common proxies take some sixty.
const MESSAGE: usize = 256 << 10;
/// The longest list of HTTP/2 headers of a stream itself; the caller's own are within messages.
const HEADER_LIST: u32 = 16 << 10;
/// Streams that were reset before they were taken, and those that we reset: beyond that it is a flood, and the
/// connection ends.
const RESETS: usize = 64;
/// A connection that does not answer a ping for so long is gone.
const PING: Duration = Duration::from_secs(20);
const PONG: Duration = Duration::from_secs(10);
/// Answers of one stream that wait to be sent.
const ANSWERS: usize = 8;
/// Connections at most: callers hold one or a few each for hours, and each costs a descriptor.
const CONNECTIONS: usize = 64;
/// Before accepting again when that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Where records of the ledger are kept: each call is over once it outlives the program.
pub trait Shelf {
    fn write(&self, record: Record) -> LocalBoxFuture<'static, Result<(), String>>;
}

/// What all connections of this front share.
pub struct Front {
    pub exchange: Rc<Exchange>,
    pub table: Table,
    /// The header by which a node says that it has turned a hit away unseen.
    pub turned_away: String,
    ledger: RefCell<AttemptLog>,
    shelf: Option<Rc<dyn Shelf>>,
    connections: Cell<usize>,
}

impl Front {
    /// `records`: what a shelf holds, all of it since `knows_from` (Unix time).
    pub fn new(
        exchange: Rc<Exchange>,
        table: Table,
        turned_away: &str,
        shelf: Option<Rc<dyn Shelf>>,
        records: &[Record],
        knows_from: f64,
    ) -> Front {
        let now = exchange.now();
        let ledger = AttemptLog::recover(now, table.bounds, records, knows_from.min(now)).into();
        let (turned_away, connections) = (turned_away.to_owned(), Cell::default());
        Front {
            exchange,
            table,
            turned_away,
            ledger,
            shelf,
            connections,
        }
    }

    pub fn ask(&self, ask: &AttemptRequest) -> Result<Option<FirstAttempt>, Rejection> {
        self.ledger.borrow_mut().begin(self.exchange.now(), ask)
    }

    /// One in hand is about to be told to its caller; an error says why it can't be written down.
    pub async fn sent(&self, id: u64, address: SocketAddr) -> Result<(), String> {
        let (zone, cell) = self.exchange.place_of(address).unwrap_or_default();
        let record = self
            .ledger
            .borrow_mut()
            .on_sent(self.exchange.now(), id, zone, cell);
        match (&self.shelf, record) {
            (Some(shelf), Some(record)) => shelf.write(record).await,
            _ => Ok(()),
        }
    }

    /// One in hand is over.
    pub fn over(&self, id: u64, sent: bool, ran: Outcome) {
        let record = self
            .ledger
            .borrow_mut()
            .on_end(self.exchange.now(), id, sent, ran);
        // That it never ran may be lost: then it counts as if it had.
        if let (Some(shelf), Some(record)) = (&self.shelf, record) {
            let written = shelf.write(record);
            tokio::task::spawn_local(async move {
                if let Err(e) = written.await {
                    log::debug!("ledger: {e}");
                }
            });
        }
    }

    /// What a new journal has to begin with.
    pub fn snapshot(&self) -> Vec<Record> {
        self.ledger.borrow().snapshot()
    }
}

/// Streams on this thread.
#[derive(Clone)]
struct Here;

impl<F: Future + 'static> hyper::rt::Executor<F> for Here {
    fn execute(&self, task: F) {
        tokio::task::spawn_local(async move { drop(task.await) });
    }
}

/// What is said to a caller, as a stream.
type Answers = ReceiverStream<Result<ProcessingResponse, Status>>;

/// A stream, and where its answers go.
type Begun = (
    Streaming<ProcessingRequest>,
    mpsc::Sender<Result<ProcessingResponse, Status>>,
);

/// Hands streams over: this may be asked for from any thread by its type, though it never is.
struct Process(mpsc::UnboundedSender<Begun>);

impl StreamingService<ProcessingRequest> for Process {
    type Response = ProcessingResponse;
    type ResponseStream = Answers;
    type Future = std::future::Ready<Result<tonic::Response<Answers>, Status>>;

    fn call(&mut self, request: tonic::Request<Streaming<ProcessingRequest>>) -> Self::Future {
        let (say, said) = mpsc::channel(ANSWERS);
        let begun = self.0.send((request.into_inner(), say));
        std::future::ready(match begun {
            Ok(()) => Ok(tonic::Response::new(Answers::new(said))),
            Err(_) => Err(Status::unavailable("stopping")),
        })
    }
}

/// Accepts connections until the program stops.
pub async fn serve(front: Rc<Front>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = front.exchange.closing.wait() => return,
        };
        match accepted {
            Ok(_) if front.connections.get() >= CONNECTIONS => {
                front
                    .exchange
                    .complain("extproc", "as many connections as there is room for");
            }
            Ok((stream, _)) => {
                let front = front.clone();
                front.connections.set(front.connections.get() + 1);
                tokio::task::spawn_local(async move {
                    guarded("extproc", attend(front.clone(), stream)).await;
                    front
                        .connections
                        .set(front.connections.get().saturating_sub(1));
                });
            }
            Err(e) => {
                front.exchange.complain("extproc", &e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn handle(
    begun: mpsc::UnboundedSender<Begun>,
    request: Request<Incoming>,
) -> Result<Response<tonic::body::Body>, Infallible> {
    if request.uri().path() != PROCESS {
        return Ok(Status::unimplemented("only Process is served here").into_http());
    }
    let mut grpc = Grpc::new(ProstCodec::default()).max_decoding_message_size(MESSAGE);
    Ok(grpc.streaming(Process(begun), request).await)
}

/// Serves one connection to its end; when the program stops its streams are finished, and no more are taken.
async fn attend(front: Rc<Front>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // No more streams than the connection may have wait here.
    let (begin, mut begun) = mpsc::unbounded_channel::<Begun>();
    let own = front.clone();
    tokio::task::spawn_local(async move {
        while let Some((asks, say)) = begun.recv().await {
            let front = own.clone();
            tokio::task::spawn_local(async move {
                guarded("extproc", stream::talk(front, asks, say)).await
            });
        }
    });
    let service = service_fn(move |request| handle(begin.clone(), request));
    let mut http = hyper::server::conn::http2::Builder::new(Here);
    http.timer(TokioTimer::new())
        .max_concurrent_streams(front.table.streams)
        .max_header_list_size(HEADER_LIST)
        .max_pending_accept_reset_streams(RESETS)
        .max_local_error_reset_streams(RESETS)
        .keep_alive_interval(PING)
        .keep_alive_timeout(PONG);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = front.exchange.closing.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("extproc: {e}");
    }
}
