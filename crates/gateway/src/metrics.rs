//! Figures that an agent tells of itself, in the OpenMetrics text format.
//!
//! Each role registers its own figures; this module holds what both have in common: how they are encoded and answered over HTTP,
//! and how the readings of the platform's list are counted.

use crate::clock::{now, Micros};
use crate::net::{self, HyperIo};
use crate::platform_client::ListError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::convert::Infallible;
use std::net::SocketAddrV4;

/// Where the figures are read: beside the readiness probe at a proxy, beside the operators' calls at a controller.
pub const PATH: &str = "/metrics";
/// The media type of the format.
const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Between two tries to accept where the system has no descriptor left.
const ACCEPT_BACKOFF: Micros = 1_000_000;
/// Upper bounds of the buckets for ages and durations, in seconds. The bounds on draining of the deployments known are 2.5 s and
/// 3 s.
pub(crate) const SECONDS_BUCKETS: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 5.0];

/// Counts events from the start of the process on.
pub(crate) type EventCount = prometheus_client::metrics::counter::Counter;

/// Converts microseconds to seconds.
pub(crate) fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

/// Returns a histogram of seconds.
pub(crate) fn seconds_histogram() -> Histogram {
    Histogram::new(SECONDS_BUCKETS)
}

/// Answers a request for the figures of a registry.
pub(crate) fn response(registry: &Registry) -> Response<Full<Bytes>> {
    let mut text = String::new();
    encode(&mut text, registry).expect("a string can be written to");
    let mut response = Response::new(Full::new(text.into()));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    response
}

/// Answers requests for the figures at an address of their own, for ever. An address that is not to be had is logged: figures are
/// no reason to serve nobody.
pub(crate) async fn serve<F>(address: SocketAddrV4, figures: F)
where
    F: Fn() -> Response<Full<Bytes>> + Clone + Send + 'static,
{
    let listener = match net::listen(address) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::warn!(target: "metrics", "{error}.");
            return;
        }
    };
    loop {
        let stream = net::accept(&listener, ACCEPT_BACKOFF).await;
        let figures = figures.clone();
        let service = service_fn(move |request: hyper::Request<_>| {
            let response = match request.uri().path() {
                PATH => figures(),
                _ => not_found(),
            };
            async move { Ok::<_, Infallible>(response) }
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(HyperIo(stream), service);
        tokio::spawn(connection);
    }
}

fn not_found() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

/// How a reading of the platform's list ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ReadResult {
    /// All pages were read, and what they say was taken over.
    Applied,
    /// All pages were read; something newer was known by then, or the reader was no longer the one to read.
    Outdated,
    /// The platform turned the call away (429).
    Throttled,
    /// No answer in time, or none that is a list.
    Failed,
}

impl From<&ListError> for ReadResult {
    fn from(error: &ListError) -> ReadResult {
        match error.is_throttled() {
            true => ReadResult::Throttled,
            false => ReadResult::Failed,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReadLabels {
    result: ReadResult,
}

/// Readings of the platform's list of endpoints.
#[derive(Clone, Debug)]
pub(crate) struct ListReadMetrics {
    reads: Family<ReadLabels, EventCount>,
    duration: Histogram,
}

impl ListReadMetrics {
    pub(crate) fn register(registry: &mut Registry) -> ListReadMetrics {
        let metrics = ListReadMetrics {
            reads: Family::default(),
            duration: seconds_histogram(),
        };
        registry.register(
            "endpoint_list_reads",
            "Readings of the platform's list of endpoints",
            metrics.reads.clone(),
        );
        registry.register(
            "endpoint_list_read_seconds",
            "Time from the first call of a reading to its end",
            metrics.duration.clone(),
        );
        metrics
    }

    /// Counts a reading that began at `started_at` and has just ended.
    pub(crate) fn on_read(&self, started_at: Micros, result: ReadResult) {
        self.reads.get_or_create(&ReadLabels { result }).inc();
        self.duration
            .observe(seconds(now().saturating_sub(started_at)));
    }
}
