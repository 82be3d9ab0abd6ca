//! The platform's list of appliances: calls to it, and what its answers say.

use crate::clock::{now, span, Micros};
use crate::net::{self, Wire};
use crate::settings::Held;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::Request;
use jzon::JsonValue as Json;
use magpieline_config::durations;
use magpieline_control_plane::messages::{Entry, State};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A call takes a few milliseconds; the list is wanted every second.
const WITHIN: Micros = 800_000;
/// Longest page that is read.
const LONGEST: usize = 4 << 20;
/// Pages of one list; more than a million appliances are not meant.
const MOST_PAGES: usize = 20_000;

/// All appliances by id, as one reading found them.
pub type List = BTreeMap<Arc<str>, Entry>;

/// Why a list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    /// Nothing, or no whole answer, came in time.
    Silent,
    /// It was answered, with this status.
    Refused(u16),
    /// What came is no list.
    Unreadable(&'static str),
}

/// A caller of the list, who keeps its connection and goes where the settings say.
pub struct Carrier {
    address: SocketAddrV4,
    settings: Held,
    line: Option<SendRequest<Empty<Bytes>>>,
}

impl Carrier {
    /// None where the settings name no list at the start.
    pub fn of(settings: &Held) -> Option<Carrier> {
        let address = settings.borrow().carrier.address?;
        Some(Carrier {
            address,
            settings: settings.clone(),
            line: None,
        })
    }

    /// Reads the whole list, all its pages.
    pub async fn list(&mut self) -> Result<List, Failed> {
        let told = self
            .settings
            .borrow()
            .carrier
            .address
            .filter(|to| *to != self.address);
        if let Some(address) = told {
            (self.address, self.line) = (address, None);
        }
        let (mut list, mut page) = (List::new(), None);
        for _ in 0..MOST_PAGES {
            let text = self.page(page.as_deref()).await?;
            page = read(&text, &mut list)?;
            if page.is_none() {
                return Ok(list);
            }
        }
        Err(Failed::Unreadable("a list without an end"))
    }

    async fn page(&mut self, page: Option<&str>) -> Result<String, Failed> {
        let path = page.map_or("/appliances".to_owned(), |p| {
            format!("/appliances?page={p}")
        });
        match tokio::time::timeout(span(WITHIN), self.call(&path)).await {
            Ok(Ok(text)) => Ok(text),
            Ok(Err(failed)) => {
                self.line = None;
                Err(failed)
            }
            Err(_) => {
                self.line = None;
                Err(Failed::Silent)
            }
        }
    }

    async fn call(&mut self, path: &str) -> Result<String, Failed> {
        let mut line = match self.line.take().filter(|l| !l.is_closed()) {
            Some(line) => line,
            None => {
                let stream = net::connect(self.address, WITHIN)
                    .await
                    .map_err(|_| Failed::Silent)?;
                let (line, rest) = hyper::client::conn::http1::handshake(Wire(stream))
                    .await
                    .map_err(|_| Failed::Silent)?;
                tokio::spawn(rest);
                line
            }
        };
        line.ready().await.map_err(|_| Failed::Silent)?;
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|_| Failed::Unreadable("a page that fits no path"))?;
        let answer = line
            .send_request(request)
            .await
            .map_err(|_| Failed::Silent)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), LONGEST)
            .collect()
            .await
            .map_err(|_| Failed::Silent)?;
        self.line = Some(line);
        if status != 200 {
            return Err(Failed::Refused(status));
        }
        String::from_utf8(body.to_bytes().into()).map_err(|_| Failed::Unreadable("no text"))
    }
}

/// Reads one page into `list`; the name of the next page, if there is one.
fn read(text: &str, list: &mut List) -> Result<Option<String>, Failed> {
    let page = jzon::parse(text).map_err(|_| Failed::Unreadable("no JSON"))?;
    let Json::Object(appliances) = &page["appliances"] else {
        return Err(Failed::Unreadable("no table of appliances"));
    };
    for (id, body) in appliances.iter() {
        // One that can't be read is as good as not listed.
        if let Some(entry) = entry(body) {
            list.insert(id.into(), entry);
        }
    }
    Ok(page["next"].as_str().map(str::to_owned))
}

fn entry(body: &Json) -> Option<Entry> {
    Some(Entry {
        service: body["service"].as_str()?.into(),
        address: body["address"].as_str()?.parse().ok()?,
        zone: body["zone"].as_str()?.into(),
        version: body["edition"].as_str()?.into(),
        berths: body["berths"].as_u32().unwrap_or(1),
        // What it does not say to be ready is not sent to.
        state: if body["state"].as_str() == Some("ready") {
            State::Ready
        } else {
            State::Closing
        },
        cold: body["cold_left"]
            .as_str()
            .and_then(durations::read)
            .unwrap_or(0),
    })
}

/// When a list was read.
pub struct Reading {
    pub at: Micros,
    pub list: List,
}

impl Reading {
    pub fn new(list: List) -> Reading {
        Reading { at: now(), list }
    }
}
