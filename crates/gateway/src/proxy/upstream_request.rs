//! A request as it is sent to endpoints.

use crate::body_pieces::PiecesBody;
use crate::clock::{now, Micros};
use crate::held_body::HeldBody;
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};

/// Names one try of a client's request; an endpoint's response carries it back.
pub(super) const TRY_ID: HeaderName = HeaderName::from_static("try-id");
/// How long the sender waits, in milliseconds.
pub(super) const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
/// The endpoint that a request is for.
const ADDRESSEE: HeaderName = HeaderName::from_static("addressee");

/// What concerns one connection only. They are names already: nothing is parsed at each request.
static HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// A request as it is passed on, held until it is over.
pub(super) struct UpstreamRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: HeldBody,
    pub(super) deadline: Micros,
}

impl UpstreamRequest {
    /// Creates it from a client's request.
    pub(super) fn new(mut head: Parts, body: HeldBody, deadline: Micros) -> UpstreamRequest {
        if let (None, Some(host)) = (head.headers.get(HOST), head.uri.host()) {
            if let Ok(host) = HeaderValue::from_str(host) {
                head.headers.insert(HOST, host);
            }
        }
        // An endpoint is asked for the path, in whatever form its client has put it.
        let uri = match head.uri.path_and_query() {
            Some(path) if head.uri.scheme().is_some() => Uri::from(path.clone()),
            _ => head.uri,
        };
        UpstreamRequest {
            method: head.method,
            uri,
            headers: without_hop_by_hop(head.headers),
            body,
            deadline,
        }
    }

    /// Returns the host that it is for.
    pub(super) fn host(&self) -> &str {
        let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
        host.unwrap_or("")
    }

    /// Returns its id, as its client has given it.
    pub(super) fn try_id(&self) -> Option<&[u8]> {
        self.headers.get(TRY_ID).map(|id| id.as_bytes())
    }

    /// Returns what is sent to the endpoint with an id.
    pub(super) fn for_endpoint(&self, id: &str) -> Option<Request<PiecesBody>> {
        let mut request = Request::new(self.body.to_body());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(ADDRESSEE, HeaderValue::from_str(id).ok()?);
        let left_ms = self.deadline.saturating_sub(now()) / 1000;
        headers.insert(TIME_LEFT, HeaderValue::from(left_ms));
        Some(request)
    }
}

/// Removes headers that concern one connection only.
pub(super) fn without_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
