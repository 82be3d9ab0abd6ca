//! Endpoints, healthy or in trouble.

use crate::http_reader::{Message, ReadError, Reader};
use crate::memory_stream::MemoryStream;
use crate::recorder::{Micros, Recorder};
use crate::scenario::draw;
use crate::SeededRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// After this an idle connection is closed, unless the endpoint has said otherwise.
const DEFAULT_KEEP_ALIVE_MS: u64 = 5_000;
/// A request whose deadline is nearer than this may be interrupted.
const DEADLINE_MARGIN: Micros = 1_000;
/// Longer than any request is held.
const FOREVER: Duration = Duration::from_secs(60);

/// What an endpoint may do with a request, other than to answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Misbehaviour {
    /// Rejects it: a status, with `Not-Delivered`.
    Reject(u16),
    /// Rejects it before it has read its body, and reads nothing more.
    RejectEarly,
    /// Runs it, and answers with a status that promises the opposite.
    FalsePromise(u16),
    Fail,
    /// Ends the connection within the response.
    Truncate,
    Garbage,
    /// Sends a second response behind the first, at once or after a moment.
    Duplicate,
    DuplicateLate,
    /// Sends a response to another request before its own.
    StaleFirst,
    /// Sends only a response to another request.
    StaleOnly,
    /// Sends interim responses first.
    Interim,
    Silent,
    /// Resets the connection.
    ResetBeforeWork,
    ResetAfterWork,
    Close,
    NoLength,
    Encoded,
    NoId,
    NoPostmark,
    /// Says when it closes idle connections.
    KeepAlive,
}

const MISBEHAVIOURS: &[Misbehaviour] = &[
    Misbehaviour::Reject(503),
    Misbehaviour::Reject(429),
    Misbehaviour::Reject(421),
    Misbehaviour::Reject(408),
    Misbehaviour::RejectEarly,
    Misbehaviour::FalsePromise(503),
    Misbehaviour::FalsePromise(429),
    Misbehaviour::FalsePromise(408),
    Misbehaviour::Fail,
    Misbehaviour::Truncate,
    Misbehaviour::Garbage,
    Misbehaviour::Duplicate,
    Misbehaviour::DuplicateLate,
    Misbehaviour::StaleFirst,
    Misbehaviour::StaleOnly,
    Misbehaviour::Interim,
    Misbehaviour::Silent,
    Misbehaviour::ResetBeforeWork,
    Misbehaviour::ResetAfterWork,
    Misbehaviour::Close,
    Misbehaviour::NoLength,
    Misbehaviour::Encoded,
    Misbehaviour::NoId,
    Misbehaviour::NoPostmark,
    Misbehaviour::KeepAlive,
];

impl Misbehaviour {
    /// Whether it sends what no request was for: what the proxy does then is the endpoint's own fault.
    fn is_unsolicited(self) -> bool {
        matches!(
            self,
            Misbehaviour::Garbage
                | Misbehaviour::Duplicate
                | Misbehaviour::DuplicateLate
                | Misbehaviour::StaleFirst
                | Misbehaviour::StaleOnly
        )
    }

    /// Returns the name that it is counted by.
    fn name(self) -> &'static str {
        match self {
            Misbehaviour::Reject(_) | Misbehaviour::RejectEarly => "turned away",
            Misbehaviour::FalsePromise(_) => "a promise that is none",
            Misbehaviour::Fail => "failed",
            Misbehaviour::Truncate => "answer cut",
            Misbehaviour::Garbage => "garbage",
            Misbehaviour::Duplicate => "doubled answer",
            Misbehaviour::DuplicateLate => "doubled answer, late",
            Misbehaviour::StaleFirst => "late answer first",
            Misbehaviour::StaleOnly => "another's answer",
            Misbehaviour::Interim => "interim answers",
            Misbehaviour::Silent => "silence",
            Misbehaviour::ResetBeforeWork => "reset before the work",
            Misbehaviour::ResetAfterWork => "reset after the work",
            Misbehaviour::Close => "closing answer",
            Misbehaviour::NoLength => "answer without an end",
            Misbehaviour::Encoded => "encoded answer",
            Misbehaviour::NoId => "answer without an id",
            Misbehaviour::NoPostmark => "answer without a stamp",
            Misbehaviour::KeepAlive => "keep-alive told",
        }
    }
}

/// How often endpoints misbehave. Rates are 1 in so many; 0: never.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointBehaviour {
    /// Requests that are not simply answered.
    pub(crate) misbehaviour_rate: u32,
    /// Waits for a request that end with the connection forgotten, or closed.
    pub(crate) forget_rate: u32,
    /// Work takes up to so many milliseconds.
    pub(crate) max_work_ms: u64,
}

/// Returns the bytes that belong to a request, and to no other.
pub(crate) fn token(id: &str, method: &str, path: &str, body: &[u8]) -> String {
    let add = |sum: u64, byte: &u8| sum.wrapping_mul(31).wrapping_add(u64::from(*byte));
    let sum = body.iter().fold(0u64, add);
    format!("{id}|{method}|{path}|{}:{sum}|", body.len())
}

fn response(status: u16, id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nTry-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Inserts a header line at the beginning of a response.
fn with_header(response: &str, header: &str) -> String {
    response.replacen("\r\n", &format!("\r\n{header}\r\n"), 1)
}

/// What an endpoint sends for a request that has run.
struct Reply {
    text: String,
    /// Whether the connection goes on after it.
    is_kept: bool,
}

/// Serves one connection of an endpoint.
pub(crate) struct Server {
    id: String,
    connection: usize,
    behaviour: EndpointBehaviour,
    recorder: Recorder,
    rng: SeededRng,
    keep_alive_ms: u64,
    previous_id: Option<String>,
    has_sent_unsolicited: bool,
}

impl Server {
    /// Creates the server of the endpoint with an id.
    pub(crate) fn new(
        id: String,
        connection: usize,
        behaviour: EndpointBehaviour,
        recorder: Recorder,
        rng: SeededRng,
    ) -> Server {
        Server {
            id,
            connection,
            behaviour,
            recorder,
            rng,
            keep_alive_ms: DEFAULT_KEEP_ALIVE_MS,
            previous_id: None,
            has_sent_unsolicited: false,
        }
    }

    /// Serves the connection until it ends.
    pub(crate) async fn serve(mut self, mut stream: MemoryStream) {
        let mut reader = Reader::default();
        while let Some(request) = self.next_request(&mut reader, &mut stream).await {
            if !self.handle(&mut reader, &mut stream, request).await {
                return;
            }
        }
    }

    /// Waits for the head of a request, for as long as the connection is kept.
    async fn next_request(
        &mut self,
        reader: &mut Reader,
        stream: &mut MemoryStream,
    ) -> Option<Message> {
        let wait_ms = match draw(&mut self.rng, self.behaviour.forget_rate) {
            true => self.rng.gen_range(0..400),
            false => self.keep_alive_ms,
        };
        let head = timeout(Duration::from_millis(wait_ms), reader.read_head(stream)).await;
        if let Ok(head) = head {
            return head.ok();
        }
        if wait_ms < self.keep_alive_ms && self.rng.gen() {
            self.recorder.count("forgotten");
            stream.forget();
        }
        None
    }

    /// Handles a request. Returns whether the connection goes on.
    async fn handle(
        &mut self,
        reader: &mut Reader,
        stream: &mut MemoryStream,
        mut request: Message,
    ) -> bool {
        let misbehaves = draw(&mut self.rng, self.behaviour.misbehaviour_rate);
        let misbehaviour = misbehaves.then(|| *MISBEHAVIOURS.choose(&mut self.rng).expect("some"));
        let id = request.header("try-id").unwrap_or("").to_owned();
        if misbehaviour == Some(Misbehaviour::RejectEarly) {
            return self.reject_early(stream, &request, &id).await;
        }
        if misbehaviour == Some(Misbehaviour::ResetBeforeWork) {
            self.recorder.count("reset before the work");
            stream.reset();
            return false;
        }
        if reader.read_body(stream, &mut request).await.is_err() {
            return false;
        }
        if request
            .header("addressee")
            .is_some_and(|addressee| addressee != self.id)
        {
            self.recorder.count("another appliance");
            self.reject(stream, 421, &id, "").await;
            return true;
        }
        if let Some(Misbehaviour::Reject(status)) = misbehaviour {
            self.recorder.count("turned away");
            self.reject(stream, status, &id, "Not-Delivered: full\r\n")
                .await;
            return true;
        }
        self.recorder
            .update_arrival(self.connection, |arrival| arrival.has_run = true);
        if !self.work(reader, stream, &id).await {
            return false;
        }
        if !self.respond(stream, &request, &id, misbehaviour).await {
            if misbehaviour == Some(Misbehaviour::ResetAfterWork) {
                stream.reset();
            }
            return false;
        }
        self.previous_id = Some(id);
        self.has_sent_unsolicited |= misbehaviour.is_some_and(Misbehaviour::is_unsolicited);
        true
    }

    /// Rejects a request before its body is read. Returns whether the connection goes on.
    async fn reject_early(
        &mut self,
        stream: &mut MemoryStream,
        request: &Message,
        id: &str,
    ) -> bool {
        self.recorder.count("turned away early");
        self.reject(stream, 503, id, "Not-Delivered: full\r\n")
            .await;
        let has_body = request
            .header("content-length")
            .is_some_and(|length| length != "0");
        if has_body {
            sleep(FOREVER).await;
        }
        !has_body
    }

    async fn reject(&mut self, stream: &mut MemoryStream, status: u16, id: &str, headers: &str) {
        let text = response(status, id, headers, "");
        if stream.write_all(text.as_bytes()).await.is_ok() {
            let now = self.recorder.now();
            let set = |arrival: &mut crate::recorder::Arrival| arrival.rejected_at = Some(now);
            self.recorder.update_arrival(self.connection, set);
        }
    }

    /// Works on a request. Returns false if the proxy has interrupted it.
    async fn work(&mut self, reader: &mut Reader, stream: &mut MemoryStream, id: &str) -> bool {
        self.recorder
            .lock()
            .in_progress
            .insert(self.connection, id.to_owned());
        let work = sleep(Duration::from_millis(
            self.rng.gen_range(0..=self.behaviour.max_work_ms),
        ));
        let read = tokio::select! {
            () = work => None,
            read = reader.read_more(stream) => Some(read),
        };
        if let Some(read) = read {
            self.check_interruption(stream, id, read);
        }
        self.recorder.lock().in_progress.remove(&self.connection);
        let now = self.recorder.now();
        self.recorder
            .update_arrival(self.connection, |arrival| arrival.stopped_at = Some(now));
        read.is_none()
    }

    /// Nothing may come on a connection whose request is at work, and it may not be closed while its client waits. One that is not
    /// idempotent is not cut off either way: its effect would be unknown for nothing.
    fn check_interruption(&self, stream: &MemoryStream, id: &str, read: Result<(), ReadError>) {
        if read.is_ok() {
            self.recorder.violation(format!(
                "bytes on a connection whose request {id} is at work"
            ));
            return;
        }
        let now = self.recorder.now();
        let sent = self
            .recorder
            .lock()
            .sent
            .get(id)
            .and_then(|sent| sent.first())
            .cloned();
        let is_idempotent = |id: &str| {
            let recording = self.recorder.lock();
            let mut arrivals = recording.arrivals.iter();
            arrivals.any(|arrival| arrival.id == id && arrival.is_idempotent)
        };
        let is_waited_for = sent.as_ref().is_some_and(|sent| {
            let may_be_cancelled = sent.client_left_at.is_some() && is_idempotent(id);
            now + DEADLINE_MARGIN < sent.deadline && !may_be_cancelled
        });
        if is_waited_for && !self.has_sent_unsolicited && !stream.was_reset_by_network() {
            let (connection, previous) = (self.connection, &self.previous_id);
            self.recorder.violation(format!(
                "{id} was interrupted at work on {connection}, behind {previous:?}: {sent:?}"
            ));
        }
    }

    /// Answers a request that has run. Returns whether the connection goes on.
    async fn respond(
        &mut self,
        stream: &mut MemoryStream,
        request: &Message,
        id: &str,
        misbehaviour: Option<Misbehaviour>,
    ) -> bool {
        let Some(reply) = self.reply(stream, request, id, misbehaviour).await else {
            return false;
        };
        let pieces = self.rng.gen_range(1..4);
        for piece in reply
            .text
            .as_bytes()
            .chunks((reply.text.len() / pieces).max(1))
        {
            if stream.write_all(piece).await.is_err() {
                return false;
            }
            if self.rng.gen_ratio(1, 8) {
                sleep(Duration::from_millis(self.rng.gen_range(0..20))).await;
            }
        }
        reply.is_kept
    }

    /// Returns what is sent; none: nothing, and the connection ends.
    async fn reply(
        &mut self,
        stream: &mut MemoryStream,
        request: &Message,
        id: &str,
        misbehaviour: Option<Misbehaviour>,
    ) -> Option<Reply> {
        let mut words = request.start_line.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let body = token(id, method, path, &request.body) + &self.id;
        // The length of a body is told to a HEAD, too; the body does not follow.
        let head_only = |text: String| match method == "HEAD" {
            true => text[..text.find("\r\n\r\n").map_or(0, |at| at + 4)].to_owned(),
            false => text,
        };
        let genuine = head_only(response(200, id, "Postmark: p\r\n", &body));
        let other_id = self.previous_id.clone().unwrap_or_else(|| "zz".into());
        let other_body = token(&other_id, "GET", "/safe/zz", b"");
        let stale = head_only(response(200, &other_id, "Postmark: p\r\n", &other_body));
        let kept = |text| {
            Some(Reply {
                text,
                is_kept: true,
            })
        };
        let closed = |text| {
            Some(Reply {
                text,
                is_kept: false,
            })
        };
        let Some(misbehaviour) = misbehaviour else {
            return kept(genuine);
        };
        self.recorder.count(misbehaviour.name());
        match misbehaviour {
            Misbehaviour::FalsePromise(status) => kept(head_only(response(status, id, "", "busy"))),
            Misbehaviour::Fail => kept(head_only(response(500, id, "", "failed"))),
            Misbehaviour::Truncate => {
                let len = self.rng.gen_range(0..genuine.len());
                closed(genuine[..len].to_owned())
            }
            Misbehaviour::Garbage => kept("\u{1}garbage\r\n\r\n".to_owned() + &genuine),
            Misbehaviour::Duplicate => kept(genuine.repeat(2)),
            Misbehaviour::DuplicateLate => {
                stream.write_all(genuine.as_bytes()).await.ok()?;
                sleep(Duration::from_millis(self.rng.gen_range(0..50))).await;
                kept(genuine)
            }
            Misbehaviour::StaleFirst => kept(stale + &genuine),
            Misbehaviour::StaleOnly => kept(stale),
            Misbehaviour::Interim => {
                let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\n";
                kept(interim.to_owned() + &genuine)
            }
            Misbehaviour::Silent => {
                sleep(FOREVER).await;
                None
            }
            Misbehaviour::ResetAfterWork => None,
            Misbehaviour::Close => closed(with_header(&genuine, "Connection: close")),
            Misbehaviour::NoLength => closed(genuine.replacen("Content-Length", "X-Length", 1)),
            Misbehaviour::Encoded => kept(with_header(&genuine, "Content-Encoding: gzip")),
            Misbehaviour::NoId => kept(genuine.replacen("Try-Id", "X-Id", 1)),
            Misbehaviour::NoPostmark => kept(genuine.replacen("Postmark", "X-Mark", 1)),
            Misbehaviour::KeepAlive => {
                let seconds = self.rng.gen_range(1..4);
                self.keep_alive_ms = seconds * 1000;
                kept(with_header(
                    &genuine,
                    &format!("Keep-Alive: timeout={seconds}"),
                ))
            }
            Misbehaviour::Reject(_) | Misbehaviour::RejectEarly | Misbehaviour::ResetBeforeWork => {
                kept(genuine)
            }
        }
    }
}
