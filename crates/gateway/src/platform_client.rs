//! The platform's list of endpoints: calls to it, and what its answers say.

use crate::clock::{duration, now, sleep, Micros};
use crate::net::{self, HyperIo};
use crate::settings::SettingsWatch;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::Request;
use jzon::JsonValue as Json;
use magpieline_config::durations;
use magpieline_control_plane::endpoint_list::EndpointMap;
use magpieline_control_plane::messages::{Endpoint, EndpointState};
use magpieline_control_plane::reading_schedule::ReadingCost;
use std::fmt;
use std::net::SocketAddrV4;

/// A call takes a few milliseconds; the list is wanted every second.
const CALL_TIMEOUT: Micros = 800_000;
/// Before a call that was turned away is made again, at least.
const MIN_THROTTLE_PAUSE: Micros = 20_000;
/// Too many requests.
const TOO_MANY_REQUESTS: u16 = 429;
/// Longest page that is read, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Pages of one list; more than a million endpoints are not meant.
const MAX_PAGES: u32 = 20_000;

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListError {
    /// No answer, or no complete one, came in time.
    NoAnswer,
    /// It was answered with this status.
    Status(u16),
    /// The answer is no list.
    Malformed(&'static str),
}

impl ListError {
    /// Whether the platform turned a call away as there were too many.
    pub fn is_throttled(&self) -> bool {
        *self == ListError::Status(TOO_MANY_REQUESTS)
    }
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::NoAnswer => write!(f, "no answer in time"),
            ListError::Status(status) => write!(f, "answered with status {status}"),
            ListError::Malformed(what) => write!(f, "found {what}, expected a list of appliances"),
        }
    }
}

impl std::error::Error for ListError {}

/// Reads the list; it keeps its connection, and follows the address in the settings.
pub struct PlatformClient {
    address: SocketAddrV4,
    settings: SettingsWatch,
    connection: Option<SendRequest<Empty<Bytes>>>,
    reading_cost: ReadingCost,
}

impl PlatformClient {
    /// None where the settings name no list at the start.
    pub fn new(settings: &SettingsWatch) -> Option<PlatformClient> {
        let address = settings.borrow().platform.address?;
        Some(PlatformClient {
            address,
            settings: settings.clone(),
            connection: None,
            reading_cost: ReadingCost::default(),
        })
    }

    /// Returns how many calls a reading of a list of `endpoints` takes.
    pub fn calls_per_reading(&self, endpoints: usize) -> u32 {
        self.reading_cost.calls(endpoints)
    }

    /// Reads the complete list, all its pages. Where the platform turns a call away as there are too many, the call is made again,
    /// until `patience` has passed since the first one; without patience the reading ends there.
    ///
    /// # Errors
    ///
    /// If a page can't be read.
    pub async fn list(&mut self, patience: Micros) -> Result<EndpointMap, ListError> {
        self.follow_settings();
        let until = now() + patience;
        let mut endpoints = EndpointMap::new();
        let mut page = None;
        for number in 1..=MAX_PAGES {
            let text = self.unthrottled_page(page.as_deref(), until).await?;
            page = parse_page(&text, &mut endpoints)?;
            if page.is_none() {
                self.reading_cost.on_completed(number);
                return Ok(endpoints);
            }
            self.reading_cost.on_page(endpoints.len(), number);
        }
        Err(ListError::Malformed("a list without an end"))
    }

    fn follow_settings(&mut self) {
        let configured = self.settings.borrow().platform.address;
        if let Some(address) = configured.filter(|address| *address != self.address) {
            self.address = address;
            self.connection = None;
        }
    }

    /// Reads a page, again and again while the platform turns the call away, until `until`.
    async fn unthrottled_page(
        &mut self,
        page: Option<&str>,
        until: Micros,
    ) -> Result<String, ListError> {
        loop {
            let answer = self.page(page).await;
            let pause = self.throttle_pause();
            match answer {
                Err(error) if error.is_throttled() && now() + pause < until => sleep(pause).await,
                answer => return answer,
            }
        }
    }

    /// Returns the time in which the platform takes another call from somebody.
    fn throttle_pause(&self) -> Micros {
        let calls_per_second = self.settings.borrow().platform.calls_per_second;
        let pause = (1e6 / calls_per_second.max(1.0)) as Micros;
        pause.max(MIN_THROTTLE_PAUSE)
    }

    async fn page(&mut self, page: Option<&str>) -> Result<String, ListError> {
        let path = match page {
            None => "/appliances".to_owned(),
            Some(page) => {
                let page: String = form_urlencoded::byte_serialize(page.as_bytes()).collect();
                format!("/appliances?page={page}")
            }
        };
        let answer = tokio::time::timeout(duration(CALL_TIMEOUT), self.call(&path)).await;
        let answer = answer.unwrap_or(Err(ListError::NoAnswer));
        if answer.as_ref().is_err_and(|error| !error.is_throttled()) {
            self.connection = None;
        }
        answer
    }

    async fn call(&mut self, path: &str) -> Result<String, ListError> {
        let mut connection = match self
            .connection
            .take()
            .filter(|connection| !connection.is_closed())
        {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.ready().await.map_err(|_| ListError::NoAnswer)?;
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|_| ListError::Malformed("a page that fits no path"))?;
        let answer = connection
            .send_request(request)
            .await
            .map_err(|_| ListError::NoAnswer)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MAX_PAGE_BYTES);
        let body = body.collect().await.map_err(|_| ListError::NoAnswer)?;
        self.connection = Some(connection);
        if status != 200 {
            return Err(ListError::Status(status));
        }
        String::from_utf8(body.to_bytes().into()).map_err(|_| ListError::Malformed("no text"))
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, ListError> {
        let stream = net::connect(self.address, CALL_TIMEOUT).await;
        let stream = stream.map_err(|_| ListError::NoAnswer)?;
        let handshake = hyper::client::conn::http1::handshake(HyperIo(stream)).await;
        let (connection, driver) = handshake.map_err(|_| ListError::NoAnswer)?;
        tokio::spawn(driver);
        Ok(connection)
    }
}

/// Parses one page into `endpoints`. Returns the name of the next page, if there is one.
fn parse_page(text: &str, endpoints: &mut EndpointMap) -> Result<Option<String>, ListError> {
    let page = jzon::parse(text).map_err(|_| ListError::Malformed("no JSON"))?;
    let Json::Object(appliances) = &page["appliances"] else {
        return Err(ListError::Malformed("no table of appliances"));
    };
    for (id, body) in appliances.iter() {
        // One that can't be parsed is as good as not listed.
        if let Some(endpoint) = parse_endpoint(body) {
            endpoints.insert(id.into(), endpoint);
        }
    }
    Ok(page["next"].as_str().map(str::to_owned))
}

fn parse_endpoint(body: &Json) -> Option<Endpoint> {
    let is_ready = body["state"].as_str() == Some("ready");
    Some(Endpoint {
        service: body["service"].as_str()?.into(),
        address: body["address"].as_str()?.parse().ok()?,
        zone: body["zone"].as_str()?.into(),
        version: body["edition"].as_str()?.into(),
        concurrency: body["berths"].as_u32().unwrap_or(1),
        // What it does not say to be ready is not sent to.
        state: if is_ready {
            EndpointState::Ready
        } else {
            EndpointState::Draining
        },
        warmup_left: body["cold_left"]
            .as_str()
            .and_then(durations::parse)
            .unwrap_or(0),
    })
}
