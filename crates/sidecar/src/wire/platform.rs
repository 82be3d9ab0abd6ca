//! The platform: its news as an event stream, and votes as forms answered in XML.

use crate::wire::place::{Around, Place};
use crate::wire::{line, whole, BODY_MOST};
use futures_util::future::LocalBoxFuture;
use futures_util::StreamExt;
use magpieline::interface::{News, Phase, Receipt, Tally, Verdict, Vote};
use magpieline_dispatch::{Desk, Exchange};
use quick_xml::events::Event;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// A sign of life comes every second: after two missed ones the stream is taken for dead. A new one tells how
/// the newest build stands, so it costs little to be wrong.
const SILENCE: Duration = Duration::from_millis(2500);
/// Before a stream is asked for anew: soon, since what is told meanwhile is lost, but a few times a second.
const PAUSE: Duration = Duration::from_millis(250);
/// The longest line of an event; the platform's are a hundred bytes.
const LINE_MOST: usize = 4 << 10;
/// How long a connection to the platform may take to come up, and the head of a stream to come: at once.
const CONNECT: Duration = Duration::from_secs(1);

/// Names and values, as they stand in a form, an event or an answer's item.
pub type Fields = BTreeMap<String, String>;

pub fn form(text: &str) -> Fields {
    form_urlencoded::parse(text.as_bytes())
        .into_owned()
        .collect()
}

fn number(fields: &Fields, name: &str) -> Result<f64, String> {
    let value = fields
        .get(name)
        .and_then(|v| v.parse::<f64>().ok())
        .filter(|v| v.is_finite() && *v >= 0.0);
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
    let (build, stage) = (
        number(fields, "image")? as u32,
        number(fields, "ring")? as usize,
    );
    Ok(News {
        build,
        stage,
        phase,
        since,
        cap: number(fields, "ceiling")?,
    })
}

/// A count of one build's forwards: the path group's name, and the figures.
fn tally(fields: &Fields) -> Result<(&str, Tally), String> {
    let whole = |name| Ok::<_, String>(number(fields, name)? as u32);
    let (build, forwards, failed) = (whole("image")?, whole("n")?, whole("bad")?);
    let group = fields.get("type").map_or("", String::as_str);
    Ok((
        group,
        Tally {
            build,
            forwards,
            failed,
        },
    ))
}

/// The leaves of an XML answer, by their names; of equal names the first counts.
fn leaves(xml: &str) -> Result<Fields, String> {
    let mut reader = quick_xml::Reader::from_str(xml);
    let (mut fields, mut open, mut text, mut depth) =
        (Fields::new(), String::new(), String::new(), 0);
    loop {
        match reader
            .read_event()
            .map_err(|e| format!("expected XML: {e}"))?
        {
            Event::Start(tag) => {
                depth += 1;
                open = tag.local_name().as_ref().to_owned();
                text.clear();
            }
            Event::Text(part) => text += &part,
            Event::End(_) => {
                depth -= 1;
                if !open.is_empty() {
                    fields
                        .entry(std::mem::take(&mut open))
                        .or_insert(text.trim().to_owned());
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
        (200, _) => news(&fields).map_or((Receipt::Unknown, None), |news| {
            (Receipt::Counted, Some(news))
        }),
        (400, Some("conflict")) => (Receipt::Moot, None),
        (400, Some("throttled" | "invalid")) | (500, Some("internal")) => (Receipt::Refused, None),
        _ => (Receipt::Unknown, None), // it can't be read: the vote may have been carried out
    }
}

/// Casts votes wherever the platform is by now.
pub struct Clerk(pub Rc<Around>);

impl Desk for Clerk {
    fn cast(&self, vote: Vote) -> LocalBoxFuture<'static, (Receipt, Option<News>)> {
        let around = self.0.clone();
        Box::pin(async move { cast(&around.platform, vote, around.vote.get()).await })
    }
}

/// Casts a vote on a connection of its own: the platform closes idle ones when it likes. Should the platform
/// move, one that has gone out still gets its answer; one that has not is provably not cast.
pub async fn cast(place: &Place, vote: Vote, limit: Duration) -> (Receipt, Option<News>) {
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
    let (turn, at) = (place.turn(), place.address());
    let call = async {
        let call = line::client(CONNECT, Duration::ZERO, Some(BODY_MOST))
            .post(format!("http://{at}/api/"))
            .force_close();
        let call = call.content_type("application/x-www-form-urlencoded");
        let mut answer = call.send_body(form).await.map_err(|e| e.to_string())?;
        let body = whole(&mut answer, BODY_MOST)
            .await
            .map_err(|e| format!("{e:?}"))?;
        Ok::<_, String>((
            answer.status().as_u16(),
            String::from_utf8_lossy(&body).into_owned(),
        ))
    };
    let unsent = async {
        place.left(turn).await;
        if line::begun() {
            std::future::pending::<()>().await;
        }
        Err("the platform has moved".to_owned())
    };
    let either = async {
        tokio::select! {
            answered = call => answered,
            moved = unsent => moved,
        }
    };
    let (answered, trace) = line::traced(tokio::time::timeout(limit, either)).await;
    match answered {
        Ok(Ok((status, body))) => receipt(status, &body),
        failed => {
            log::info!("vote: no answer: {failed:?}");
            (
                if trace.carried() {
                    Receipt::Unknown
                } else {
                    Receipt::Refused
                },
                None,
            )
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
    fn feed(
        &mut self,
        piece: &[u8],
        mut each: impl FnMut(&str, &str) -> Result<(), String>,
    ) -> Result<(), String> {
        for byte in piece {
            if *byte != b'\n' {
                self.line.push(*byte);
                if self.line.len() > LINE_MOST {
                    return Err(format!("a line longer than {LINE_MOST} bytes"));
                }
                continue;
            }
            let line = String::from_utf8_lossy(&self.line)
                .trim_end_matches('\r')
                .to_owned();
            self.line.clear();
            match line.split_once(':').unwrap_or((&line, "")) {
                ("event", kind) => self.event = kind.trim().to_owned(),
                ("data", data) => self.data = data.trim().to_owned(),
                ("", "") if line.is_empty() => {
                    if !self.event.is_empty() {
                        each(&self.event, &self.data)?;
                    }
                    (self.event, self.data) = Default::default();
                }
                ("" | "id" | "retry", _) => {} // a sign of life, or what this reader has no use for
                _ => return Err(format!("{line:.40}: expected an event of the platform")),
            }
        }
        Ok(())
    }
}

/// Takes an event in. After one that can't be read nothing on its connection is of use.
fn told(exchange: &Exchange, kind: &str, data: &str) -> Result<(), String> {
    let fields = form(data);
    match kind {
        "ROLLOUT" => exchange.heard(news(&fields)?),
        "DISPUTE" => exchange.complained(fields.get("host").map_or("", String::as_str)),
        "SAMPLE" => {
            let (group, tally) = tally(&fields)?;
            exchange.tallied(group, tally);
        }
        _ => return Err(format!("{kind:.40}: expected an event of the platform")),
    }
    Ok(())
}

async fn listen(exchange: &Exchange, at: &str) -> Result<(), String> {
    let client = line::client(CONNECT, Duration::ZERO, None);
    let asked = client.get(format!("http://{at}/api/bulletin")).send();
    let asked = tokio::time::timeout(CONNECT, asked)
        .await
        .map_err(|_| "no answer")?;
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

/// Follows the news for as long as the program runs, at once wherever a new configuration puts the platform.
pub async fn follow(exchange: Rc<Exchange>, around: Rc<Around>) -> Infallible {
    let place = &around.platform;
    loop {
        let (turn, at) = (place.turn(), place.address());
        let listening = async {
            if let Err(e) = listen(&exchange, &at).await {
                exchange.complain("news", &e);
            }
            tokio::time::sleep(PAUSE).await;
        };
        tokio::select! {
            () = listening => {}
            () = place.left(turn) => {}
        }
    }
}

#[cfg(test)]
mod tests;
