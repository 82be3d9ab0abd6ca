//! What is needed of the published protocol (`envoy.service.ext_proc.v3`, with the types that it uses), written down by its
//! field numbers. What is not read here is passed over, as the encoding allows. A test holds these against bytes that
//! a complete set of the published types has written.

use prost::{Enumeration, Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub struct HeaderValue {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(string, tag = "2")]
    pub value: String,
    /// Used instead of `value` by newer callers: bytes that need not be text.
    #[prost(bytes = "vec", tag = "3")]
    pub raw_value: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub struct HeaderMap {
    #[prost(message, repeated, tag = "1")]
    pub headers: Vec<HeaderValue>,
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpHeaders {
    #[prost(message, optional, tag = "1")]
    pub headers: Option<HeaderMap>,
    #[prost(bool, tag = "3")]
    pub end_of_stream: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpBody {
    #[prost(bytes = "vec", tag = "1")]
    pub body: Vec<u8>,
    #[prost(bool, tag = "2")]
    pub end_of_stream: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpTrailers {
    #[prost(message, optional, tag = "1")]
    pub trailers: Option<HeaderMap>,
}

/// One message of a caller's.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingRequest {
    #[prost(oneof = "Shown", tags = "2, 3, 4, 5, 6, 7")]
    pub request: Option<Shown>,
    /// The caller does not wait for what is answered: it only shows what happens.
    #[prost(bool, tag = "10")]
    pub observability_mode: bool,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Shown {
    #[prost(message, tag = "2")]
    RequestHeaders(HttpHeaders),
    #[prost(message, tag = "3")]
    ResponseHeaders(HttpHeaders),
    #[prost(message, tag = "4")]
    RequestBody(HttpBody),
    #[prost(message, tag = "5")]
    ResponseBody(HttpBody),
    #[prost(message, tag = "6")]
    RequestTrailers(HttpTrailers),
    #[prost(message, tag = "7")]
    ResponseTrailers(HttpTrailers),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum AppendAction {
    AppendIfExistsOrAdd = 0,
    AddIfAbsent = 1,
    OverwriteIfExistsOrAdd = 2,
    OverwriteIfExists = 3,
}

#[derive(Clone, PartialEq, Message)]
pub struct HeaderValueOption {
    #[prost(message, optional, tag = "1")]
    pub header: Option<HeaderValue>,
    #[prost(enumeration = "AppendAction", tag = "3")]
    pub append_action: i32,
}

#[derive(Clone, PartialEq, Message)]
pub struct HeaderMutation {
    #[prost(message, repeated, tag = "1")]
    pub set_headers: Vec<HeaderValueOption>,
    #[prost(string, repeated, tag = "2")]
    pub remove_headers: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct CommonResponse {
    #[prost(message, optional, tag = "2")]
    pub header_mutation: Option<HeaderMutation>,
    #[prost(bool, tag = "5")]
    pub clear_route_cache: bool,
}

/// The answer to a message of headers, of a body or of trailers; that to trailers has no common part.
#[derive(Clone, PartialEq, Message)]
pub struct CommonAnswer {
    #[prost(message, optional, tag = "1")]
    pub response: Option<CommonResponse>,
}

#[derive(Clone, PartialEq, Message)]
pub struct TrailersAnswer {
    #[prost(message, optional, tag = "1")]
    pub header_mutation: Option<HeaderMutation>,
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpStatus {
    #[prost(int32, tag = "1")]
    pub code: i32,
}

/// The caller answers so at once, and sends nothing on.
#[derive(Clone, PartialEq, Message)]
pub struct ImmediateResponse {
    #[prost(message, optional, tag = "1")]
    pub status: Option<HttpStatus>,
    #[prost(message, optional, tag = "2")]
    pub headers: Option<HeaderMutation>,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// For the caller's log.
    #[prost(string, tag = "5")]
    pub details: String,
}

/// One message to a caller.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingResponse {
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub response: Option<Reply>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Reply {
    #[prost(message, tag = "1")]
    RequestHeaders(CommonAnswer),
    #[prost(message, tag = "2")]
    ResponseHeaders(CommonAnswer),
    #[prost(message, tag = "3")]
    RequestBody(CommonAnswer),
    #[prost(message, tag = "4")]
    ResponseBody(CommonAnswer),
    #[prost(message, tag = "5")]
    RequestTrailers(TrailersAnswer),
    #[prost(message, tag = "6")]
    ResponseTrailers(TrailersAnswer),
    #[prost(message, tag = "7")]
    ImmediateResponse(ImmediateResponse),
}

impl HeaderValue {
    /// A header as newer callers write it.
    pub fn of(key: &str, value: impl Into<Vec<u8>>) -> HeaderValue {
        HeaderValue {
            key: key.to_owned(),
            value: String::new(),
            raw_value: value.into(),
        }
    }
}

impl HttpHeaders {
    /// Headers with nothing behind them.
    pub fn alone(pairs: &[(&str, &str)]) -> HttpHeaders {
        let headers = pairs
            .iter()
            .map(|(key, value)| HeaderValue::of(key, *value))
            .collect();
        HttpHeaders {
            headers: Some(HeaderMap { headers }),
            end_of_stream: true,
        }
    }
}

impl HeaderMap {
    /// A header's value, as text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|h| h.key.eq_ignore_ascii_case(name))?;
        if found.raw_value.is_empty() {
            return Some(&found.value);
        }
        std::str::from_utf8(&found.raw_value).ok()
    }
}

impl HeaderMutation {
    /// Sets a header, whatever stood there.
    pub fn set(&mut self, key: &str, value: String) {
        let append_action = AppendAction::OverwriteIfExistsOrAdd as i32;
        self.set_headers.push(HeaderValueOption {
            header: Some(HeaderValue::of(key, value)),
            append_action,
        });
    }
}

#[cfg(test)]
#[path = "golden.rs"]
mod golden;
