//! The platform: its news as an event stream, and votes as forms answered in XML.

use crate::memory::exchange::Exchange;
use crate::wire::{line, whole, BODY_MOST};
use futures_util::StreamExt;
use magpieline::interface::{News, Phase, Receipt, Verdict, Vote};
use quick_xml::events::Event;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A sign of life comes every second: after four missed ones the stream is taken for dead.
const SILENCE: Duration = Duration::from_secs(5);
/// Before a stream is asked for anew: soon, since what is told meanwhile is lost, but a few times a second.
const PAUSE: Duration = Duration::from_millis(250);
/// The longest line of an event; the platform's are a hundred bytes.
const LINE_MOST: usize = 4 << 10;
/// How long a connection to the platform may take to come up.
const CONNECT: Duration = Duration::from_secs(1);

/// Names and values, as they stand in a form, an event or an answer's item.
pub type Fields = BTreeMap<String, String>;

pub fn form(text: &str) -> Fields {
    form_urlencoded::parse(text.as_bytes()).into_owned().collect()
}

fn number(fields: &Fields, name: &str) -> Result<f64, String> {
    let value = fields.get(name).and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite() && *v >= 0.0);
    value.ok_or_else(|| format!("news: {name}: expected a number, 0 or more"))
}

/// The state of the newest build.
pub fn news(fields: &Fields) -> Result<News, String> {
    let phase = match fields.get("progress").map(String::as_str) {
        Some("IN_PROGRESS") => Phase::Trial,
        Some("ROLLING_BACK") => Phase::GoingBack,
        Some("COMPLETE") => Phase::Released,
        Some("ROLLED_BACK") => Phase::Withdrawn,
        _ => return Err("news: progress: expected a phase".into()),
    };
    let since = number(fields, "lag_ms")? / 1e3;
    let (build, stage) = (number(fields, "image")? as u32, number(fields, "ring")? as usize);
    Ok(News { build, stage, phase, since, cap: number(fields, "ceiling")? })
}

/// The leaves of an XML answer, by their names; of equal names the first counts.
fn leaves(xml: &str) -> Result<Fields, String> {
    let mut reader = quick_xml::Reader::from_str(xml);
    let (mut fields, mut open, mut text, mut depth) = (Fields::new(), String::new(), String::new(), 0);
    loop {
        match reader.read_event().map_err(|e| format!("expected XML: {e}"))? {
            Event::Start(tag) => {
                depth += 1;
                open = tag.local_name().as_ref().to_owned();
                text.clear();
            }
            Event::Text(part) => text += &part,
            Event::End(_) => {
                depth -= 1;
                if !open.is_empty() {
                    fields.entry(std::mem::take(&mut open)).or_insert(text.trim().to_owned());
                }
            }
            Event::Eof if depth == 0 && !fields.is_empty() => return Ok(fields),
            Event::Eof => return Err("expected XML that is whole".into()),
            _ => {}
        }
    }
}

/// What an answer to a vote means, by the platform's own table, and the news that come with one that counts.
fn receipt(status: u16, body: &str) -> (Receipt, Option<News>) {
    let fields = leaves(body).unwrap_or_default();
    match (status, fields.get("Code").map(String::as_str)) {
        (200, _) => news(&fields).map_or((Receipt::Unknown, None), |news| (Receipt::Counted, Some(news))),
        (400, Some("conflict")) => (Receipt::Moot, None),
        (400, Some("throttled" | "invalid")) | (500, Some("internal")) => (Receipt::Refused, None),
        _ => (Receipt::Unknown, None), // it can't be read: the vote may have been carried out
    }
}

/// Casts a vote on a connection of its own: the platform closes idle ones when it likes.
pub async fn cast(at: &str, vote: Vote, limit: Duration) -> (Receipt, Option<News>) {
    let opinion = match vote.verdict {
        Verdict::Clear => "clear",
        Verdict::On => "approve",
        Verdict::Hold => "wait",
        Verdict::Back => "reject",
    };
    let form = form_urlencoded::Serializer::new(String::new())
        .append_pair("Action", "RecordOpinion")
        .append_pair("image", &vote.build.to_string())
        .append_pair("ring", &vote.stage.to_string())
        .append_pair("opinion", opinion)
        .finish();
    let call = async {
        let call = line::client(CONNECT, Duration::ZERO).post(format!("http://{at}/api/")).force_close();
        let call = call.content_type("application/x-www-form-urlencoded");
        let mut answer = call.send_body(form).await.map_err(|e| e.to_string())?;
        let body = whole(&mut answer, BODY_MOST).await.map_err(|e| format!("{e:?}"))?;
        Ok::<_, String>((answer.status().as_u16(), String::from_utf8_lossy(&body).into_owned()))
    };
    let (answered, trace) = line::traced(tokio::time::timeout(limit, call)).await;
    match answered {
        Ok(Ok((status, body))) => receipt(status, &body),
        failed => {
            log::info!("vote: no answer: {failed:?}");
            let sent = trace.begun.get() && !trace.short.get();
            (if sent { Receipt::Unknown } else { Receipt::Refused }, None)
        }
    }
}

/// Events out of a stream whose pieces may end anywhere.
#[derive(Default)]
struct Events {
    line: Vec<u8>,
    event: String,
    data: String,
}

impl Events {
    /// Takes a piece in and hands on each event that it completes: its kind and its data.
    fn feed(&mut self, piece: &[u8], mut each: impl FnMut(&str, &str)) -> Result<(), String> {
        for byte in piece {
            if *byte != b'\n' {
                self.line.push(*byte);
                if self.line.len() > LINE_MOST {
                    return Err(format!("a line longer than {LINE_MOST} bytes"));
                }
                continue;
            }
            let line = String::from_utf8_lossy(&self.line).trim_end_matches('\r').to_owned();
            self.line.clear();
            match line.split_once(':').unwrap_or((&line, "")) {
                ("event", kind) => self.event = kind.trim().to_owned(),
                ("data", data) => self.data = data.trim().to_owned(),
                ("", "") if line.is_empty() => {
                    if !self.event.is_empty() {
                        each(&self.event, &self.data);
                    }
                    (self.event, self.data) = Default::default();
                }
                _ => {} // a sign of life
            }
        }
        Ok(())
    }
}

fn told(exchange: &Exchange, kind: &str, data: &str) {
    let fields = form(data);
    match kind {
        "ROLLOUT" => match news(&fields) {
            Ok(news) => exchange.heard(news),
            Err(e) => exchange.complain("news", &e),
        },
        "DISPUTE" => exchange.complained(fields.get("host").map_or("", String::as_str)),
        // Tallies say less than an agent's own answers.
        "SAMPLE" => {}
        _ => exchange.complain("news", &format!("{kind}: expected an event of the platform")),
    }
}

async fn listen(exchange: &Exchange, at: &str) -> Result<(), String> {
    let client = line::client(CONNECT, Duration::ZERO);
    let asked = client.get(format!("http://{at}/api/bulletin")).send();
    let asked = tokio::time::timeout(SILENCE, asked).await.map_err(|_| "no answer")?;
    let mut answer = asked.map_err(|e| e.to_string())?;
    if answer.status().as_u16() != 200 {
        return Err(format!("answered {}", answer.status()));
    }
    let mut events = Events::default();
    loop {
        match tokio::time::timeout(SILENCE, answer.next()).await {
            Ok(Some(Ok(piece))) => events.feed(&piece, |kind, data| told(exchange, kind, data))?,
            Ok(Some(Err(e))) => return Err(e.to_string()),
            Ok(None) => return Err("the stream ended".into()),
            Err(_) => return Err("no sign of life".into()),
        }
    }
}

/// Follows the news for as long as the program runs.
pub async fn follow(exchange: Rc<Exchange>, at: String) {
    loop {
        if let Err(e) = listen(&exchange, &at).await {
            exchange.complain("news", &e);
        }
        tokio::time::sleep(PAUSE).await;
    }
}
