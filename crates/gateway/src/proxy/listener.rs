//! Accepts clients' connections and serves them.

use super::client_connection::{ClientConnection, ClientIo};
use super::client_stream::ClientStream;
use super::{request_handler, Proxy};
use crate::clock::{self, now, Micros};
use crate::net;
use hyper::service::service_fn;
use magpieline_http1::framing::request_framing::RequestLimits;
use magpieline_memory_budget::Purpose;
use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// hyper reads no longer heads than this; the framing refuses those beyond the configuration's limit, which may change while a
/// connection lives.
const MAX_HEAD_BYTES: usize = 1 << 20;
/// Between two tries to accept where the system has no descriptor left.
const ACCEPT_BACKOFF: Micros = 20_000;
/// An idle connection is probed from here on, as its client may be gone.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(10);

/// Accepts connections until the proxy shuts down and some time beyond, then waits until all have ended, but not for longer than
/// the shutdown lasts.
pub async fn run(proxy: Arc<Proxy>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    accept(&proxy, &listener, &mut connections).await;
    drop(listener);
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        () = proxy.shutdown_ends() => {}
    }
}

/// Accepts connections until the proxy shuts down, and then for a while.
async fn accept(proxy: &Arc<Proxy>, listener: &TcpListener, connections: &mut JoinSet<()>) {
    let mut newest_at = now();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    newest_at = now();
                    connections.spawn(serve_socket(proxy.clone(), stream));
                }
                Err(_) => clock::sleep(ACCEPT_BACKOFF).await,
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = accepting_ends(proxy, newest_at) => return,
        }
    }
}

/// Waits until nothing more is accepted, by when the newest connection came.
async fn accepting_ends(proxy: &Proxy, newest_at: Micros) {
    let deadlines = proxy.shutdown.begun().await;
    clock::sleep_until(deadlines.accept_until(newest_at)).await;
}

/// Counts a client's connection while it is served, however it ends.
struct OpenConnection<'a>(&'a Proxy);

impl OpenConnection<'_> {
    fn new(proxy: &Proxy) -> OpenConnection<'_> {
        proxy.client_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection(proxy)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.client_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_socket(proxy: Arc<Proxy>, stream: TcpStream) {
    let _open = OpenConnection::new(&proxy);
    if net::configure_client_stream(&stream).is_err() {
        return;
    }
    let _ = net::enable_keepalive(&stream, KEEPALIVE_AFTER);
    serve_connection(proxy.clone(), stream).await;
}

/// Serves a client's connection to its end.
pub async fn serve_connection<S: ClientStream + 'static>(proxy: Arc<Proxy>, stream: S) {
    let input_reservation = proxy.memory.empty(Purpose::Request);
    let connection = ClientConnection::new(stream, limits(&proxy), input_reservation);
    let service = {
        let (proxy, connection) = (proxy.clone(), connection.clone());
        service_fn(move |request| {
            let (proxy, connection) = (proxy.clone(), connection.clone());
            async move {
                Ok::<_, Infallible>(request_handler::handle(&proxy, &connection, request).await)
            }
        })
    };
    let mut builder = hyper::server::conn::http1::Builder::new();
    // Its flushing of several responses at once stays off: it keeps a response back while bytes of a body are unread.
    builder.max_buf_size(MAX_HEAD_BYTES);
    let serving = builder.serve_connection(ClientIo(connection.clone()), service);
    let shutdown = async {
        proxy.shutdown.begun().await;
    };
    let given_up_after = connection
        .run(
            serving,
            || limits(&proxy),
            shutdown,
            |request| request_handler::start_early(&proxy, request, connection.client_left()),
        )
        .await;
    if let Some(time) = given_up_after {
        proxy.metrics.on_client_left(time);
    }
}

fn limits(proxy: &Proxy) -> RequestLimits {
    let limits = proxy
        .state()
        .config
        .as_ref()
        .map(|config| config.client_limits);
    let limits = limits.unwrap_or_default();
    // A longer idle timeout may be in force for a client before it is here.
    let delay = proxy.settings_at_start.guarantees.edition_time;
    RequestLimits {
        head_bytes: limits.header_bytes,
        head_timeout: limits.header_timeout,
        body_idle_timeout: limits.idle_timeout,
        keep_alive_timeout: limits.idle_timeout.saturating_add(delay),
    }
}
