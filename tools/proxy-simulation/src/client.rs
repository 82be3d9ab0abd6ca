//! Clients: they send one request behind the other or several at once, in pieces, slowly, go away, and come back.

use crate::endpoint::token;
use crate::http_reader::{Message, ReadError, Reader};
use crate::memory_stream::{pair, MemoryStream};
use crate::recorder::{Micros, SeenResponse, SentRequest};
use crate::simulation::World;
use crate::SeededRng;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

/// A response comes within so long of its request's deadline.
const RESPONSE_TOLERANCE: Micros = 2_500_000;
/// Bytes of a chunk of a body.
const CHUNK_BYTES: usize = 700;
/// Statuses that the gateway may answer with itself.
const OWN_STATUSES: [u16; 9] = [400, 404, 408, 409, 413, 431, 502, 503, 504];

#[derive(Clone, Debug)]
struct Request {
    id: String,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    is_chunked: bool,
    timeout_ms: u64,
}

impl Request {
    fn draw(world: &World, id: String, is_idempotent: bool, rng: &mut SeededRng) -> Request {
        let path = format!("/{}/{id}", if is_idempotent { "safe" } else { "once" });
        let has_body = !is_idempotent || rng.gen_ratio(1, 6);
        let sizes: &[u32] = match world.is_calm {
            true => &[0, 3, 900, 4_900],
            false => &[0, 3, 900, 4_900, 9_000],
        };
        let body = match has_body {
            true => (0..sizes[rng.gen_range(0..sizes.len())])
                .map(|i| i as u8)
                .collect(),
            false => Vec::new(),
        };
        let method = match has_body {
            true => "POST",
            false if rng.gen_ratio(1, 5) => "HEAD",
            false => "GET",
        };
        let timeout_ms = match world.is_calm {
            true => 9_000,
            false => rng.gen_range(20..3_000),
        };
        Request {
            id,
            method,
            path,
            is_chunked: has_body && rng.gen_ratio(1, 3),
            body,
            timeout_ms,
        }
    }

    fn is_idempotent(&self) -> bool {
        self.path.starts_with("/safe/")
    }

    fn bytes(&self) -> Vec<u8> {
        let (method, path, id, timeout_ms) = (self.method, &self.path, &self.id, self.timeout_ms);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\nTime-Left-Ms: {timeout_ms}\r\n"
        );
        if self.is_chunked {
            let mut bytes = (head + "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
            for chunk in self.body.chunks(CHUNK_BYTES) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend([chunk, b"\r\n"].concat());
            }
            bytes.extend(b"0\r\n\r\n");
            return bytes;
        }
        if self.body.is_empty() && method != "POST" {
            return (head + "\r\n").into_bytes();
        }
        let length = self.body.len();
        let head = format!("{head}Content-Length: {length}\r\n\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// How a batch of requests ended.
enum BatchEnd {
    /// The connection may be used again.
    Open,
    /// The connection is over.
    Closed,
    /// The client went away; whether by a reset.
    Abandoned { by_reset: bool },
}

/// How a response ended.
enum ResponseEnd {
    /// It was complete.
    Complete,
    /// It was complete, and the last on its connection.
    Last,
    /// There was none.
    Missing,
}

/// Runs one client, from its first request to its last.
pub(crate) async fn run(world: Arc<World>, number: usize, rng: SeededRng) {
    let mut client = Client {
        world,
        number,
        rng,
        requests: 0,
        repeated: None,
    };
    for _ in 0..client.rng.gen_range(1..4) {
        if client.world.is_shutting_down() {
            return;
        }
        client.use_connection().await;
    }
}

struct Client {
    world: Arc<World>,
    number: usize,
    rng: SeededRng,
    /// How many requests were made.
    requests: u64,
    /// A request that is to be sent again, as its response was not waited for.
    repeated: Option<Request>,
}

impl Client {
    /// Sends batches of requests on a new connection, and closes it.
    async fn use_connection(&mut self) {
        let (mut stream, far) = pair(&mut self.rng, self.world.delay_rate, None);
        self.world.accept(far);
        let mut sent = Vec::new();
        let is_reset = self.send_batches(&mut stream, &mut sent).await;
        self.record_leaving(&sent);
        if is_reset {
            stream.reset();
        }
    }

    /// Sends batches of requests until the client is done with the connection; they are added to `sent`. Returns whether it resets
    /// the connection.
    async fn send_batches(&mut self, stream: &mut MemoryStream, sent: &mut Vec<Request>) -> bool {
        let mut reader = Reader::default();
        for _ in 0..self.rng.gen_range(1..4) {
            let requests = self.next_batch();
            sent.extend_from_slice(&requests);
            match self.send_batch(stream, &mut reader, &requests).await {
                BatchEnd::Open => {}
                BatchEnd::Closed => return false,
                BatchEnd::Abandoned { by_reset } => {
                    self.may_repeat(&requests).await;
                    return by_reset;
                }
            }
            if !self.rest(stream).await {
                return false;
            }
        }
        false
    }

    /// Draws a batch: one request, several idempotent ones, or both kinds in turn.
    fn next_batch(&mut self) -> Vec<Request> {
        if let Some(request) = self.repeated.take() {
            return vec![request];
        }
        let kind = self.rng.gen_range(0..4);
        let count = if kind == 0 {
            1
        } else {
            self.rng.gen_range(1..5)
        };
        let draw = |i: usize| {
            self.requests += 1;
            let id = format!("c{}-{}", self.number, self.requests);
            let is_once = kind == 0 && self.rng.gen() || kind == 3 && i % 2 == 1;
            Request::draw(&self.world, id, !is_once, &mut self.rng)
        };
        (0..count).map(draw).collect()
    }

    /// Draws whether a request of an abandoned batch is sent again.
    async fn may_repeat(&mut self, requests: &[Request]) {
        let once: Vec<&Request> = requests
            .iter()
            .filter(|request| !request.is_idempotent())
            .collect();
        if once.is_empty() || !self.rng.gen::<bool>() {
            return;
        }
        self.repeated = Some(once[self.rng.gen_range(0..once.len())].clone());
        self.world.recorder.count("client back with the same id");
        sleep(Duration::from_millis(self.rng.gen_range(0..60))).await;
    }

    /// Sends requests and reads their responses, unless it goes away meanwhile.
    async fn send_batch(
        &mut self,
        stream: &mut MemoryStream,
        reader: &mut Reader,
        requests: &[Request],
    ) -> BatchEnd {
        let patience = match !self.world.is_calm && self.rng.gen_ratio(1, 6) {
            true => Duration::from_millis(self.rng.gen_range(0..500)),
            false => Duration::from_secs(3600),
        };
        let by_reset = self.rng.gen();
        match timeout(patience, self.exchange(stream, reader, requests)).await {
            Ok(end) => end,
            Err(_) => {
                self.world.recorder.count("client left");
                for request in requests {
                    self.update(request, |sent| sent.is_abandoned = true);
                }
                BatchEnd::Abandoned { by_reset }
            }
        }
    }

    async fn exchange(
        &mut self,
        stream: &mut MemoryStream,
        reader: &mut Reader,
        requests: &[Request],
    ) -> BatchEnd {
        for request in requests {
            // What was answered is read all the same.
            if !self.send(stream, request).await {
                break;
            }
        }
        for (i, request) in requests.iter().enumerate() {
            match self.receive(stream, reader, request).await {
                ResponseEnd::Complete => {}
                ResponseEnd::Missing => return BatchEnd::Closed,
                ResponseEnd::Last => {
                    // Those behind it are taken to be unread.
                    for behind in &requests[i + 1..] {
                        self.update(behind, |sent| {
                            sent.is_abandoned = true;
                            sent.is_behind_close = true;
                        });
                    }
                    return BatchEnd::Closed;
                }
            }
        }
        BatchEnd::Open
    }

    /// Updates what is recorded of a request's newest sending.
    fn update(&self, request: &Request, update: impl FnOnce(&mut SentRequest)) {
        let mut recording = self.world.recorder.lock();
        let sent = recording.sent.get_mut(&request.id);
        if let Some(sent) = sent.and_then(|sent| sent.last_mut()) {
            update(sent);
        }
    }

    fn record_leaving(&self, requests: &[Request]) {
        let now = self.world.recorder.now();
        for request in requests {
            self.update(request, |sent| sent.client_left_at = Some(now));
        }
    }

    /// Sends a request, now and then slowly. Returns false if the connection has ended.
    async fn send(&mut self, stream: &mut MemoryStream, request: &Request) -> bool {
        self.record_start(request);
        let bytes = request.bytes();
        let may_be_slow = !self.world.is_calm && !request.body.is_empty();
        let is_slow = may_be_slow && self.rng.gen_ratio(1, 4);
        let pieces = if is_slow { 3 } else { 1 };
        for (i, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
            if i > 0 {
                sleep(Duration::from_millis(self.rng.gen_range(0..450))).await;
            }
            if stream.write_all(piece).await.is_err() {
                self.update(request, |sent| sent.is_abandoned = true);
                return false;
            }
        }
        let now = self.world.recorder.now();
        self.update(request, |sent| sent.finished_at = Some(now));
        true
    }

    fn record_start(&self, request: &Request) {
        let now = self.world.recorder.now();
        let timeout = (request.timeout_ms * 1000).min(self.world.timeout);
        let mut recording = self.world.recorder.lock();
        let sent = recording.sent.entry(request.id.clone()).or_default();
        sent.push(SentRequest {
            started_at: now,
            deadline: now + timeout,
            timeout,
            ..SentRequest::default()
        });
    }

    /// Reads the response to a request and checks it.
    async fn receive(
        &mut self,
        stream: &mut MemoryStream,
        reader: &mut Reader,
        request: &Request,
    ) -> ResponseEnd {
        let patience = Duration::from_micros(self.response_patience(request));
        let response = match timeout(patience, read_response(stream, reader, request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                self.check_missing(request, error);
                return ResponseEnd::Missing;
            }
            Err(_) => {
                self.world
                    .recorder
                    .violation(format!("{} has no answer", request.id));
                return ResponseEnd::Missing;
            }
        };
        self.check_response(request, &response);
        match response.is_last() {
            true => ResponseEnd::Last,
            false => ResponseEnd::Complete,
        }
    }

    fn response_patience(&self, request: &Request) -> Micros {
        let now = self.world.recorder.now();
        let recording = self.world.recorder.lock();
        let sent = recording.sent.get(&request.id).and_then(|sent| sent.last());
        let due = sent.map_or(0, |sent| sent.deadline.max(sent.finished_at.unwrap_or(0)));
        due.saturating_sub(now) + RESPONSE_TOLERANCE
    }

    /// A request may only go unanswered if it was not sent completely, or has reached no endpoint at a shutdown.
    fn check_missing(&self, request: &Request, error: ReadError) {
        let id = &request.id;
        let violation = {
            let recording = self.world.recorder.lock();
            let newest = recording.sent.get(id).and_then(|sent| sent.last());
            let is_unsent =
                newest.is_none_or(|sent| sent.finished_at.is_none() || sent.is_abandoned);
            let arrivals: Vec<_> = recording.arrivals.iter().filter(|a| a.id == *id).collect();
            let may_be_unread = arrivals.is_empty() && recording.shutdown_at.is_some();
            if is_unsent || may_be_unread {
                return;
            }
            let sent = &recording.sent[id];
            format!("{id} was read and its connection ended with no answer ({error:?}): {sent:?}, {arrivals:?}")
        };
        self.world.recorder.violation(violation);
    }

    fn check_response(&self, request: &Request, response: &Message) {
        let (id, recorder) = (&request.id, &self.world.recorder);
        let (status, response_id) = (response.status(), response.header("try-id"));
        let is_own = response_id.is_none();
        self.update(request, |sent| {
            sent.response = Some(SeenResponse { status, is_own })
        });
        if response_id.is_some_and(|response_id| response_id != id) {
            recorder.violation(format!("{id} got the answer of {response_id:?}"));
        }
        if is_own && !OWN_STATUSES.contains(&status) {
            recorder.violation(format!("{id} got {} of nobody's", response.start_line));
        }
        if (200..300).contains(&status) && request.method != "HEAD" {
            let token = token(id, request.method, &request.path, &request.body);
            let body = String::from_utf8_lossy(&response.body).into_owned();
            let is_genuine = body.starts_with(&token)
                && response.header("postmark").is_some()
                && response.header("content-encoding").is_none();
            if !is_genuine {
                recorder.violation(format!("{id} got {body:?}"));
            }
        }
        if self.world.is_calm && status != 200 {
            recorder.violation(format!("{id} got {} on a calm day", response.start_line));
        }
    }

    /// Rests for a part, up to four fifths, of the idle timeout as far as it is known by then. Returns whether the connection is
    /// still there.
    async fn rest(&mut self, stream: &mut MemoryStream) -> bool {
        let part = match self.rng.gen_ratio(1, 3) {
            true => self.rng.gen_range(0.0..0.8),
            false => self.rng.gen_range(0.0..0.01),
        };
        let world = &self.world;
        let started_at = world.recorder.now();
        let mut byte = [0];
        loop {
            let (idle_timeout, rested) = (world.idle_timeout(), world.recorder.now() - started_at);
            let left = ((idle_timeout as f64 * part) as Micros).saturating_sub(rested);
            if left == 0 {
                return true;
            }
            let wait = Duration::from_micros(left.min(50_000));
            let Ok(read) = timeout(wait, stream.read(&mut byte)).await else {
                continue;
            };
            if !world.is_shutting_down() {
                world.recorder.violation(format!(
                    "{read:?} on a connection that has rested for {rested} of {idle_timeout} us"
                ));
            }
            return false;
        }
    }
}

/// Reads the response to a request, passing over interim ones.
async fn read_response(
    stream: &mut MemoryStream,
    reader: &mut Reader,
    request: &Request,
) -> Result<Message, ReadError> {
    loop {
        let mut response = reader.read_head(stream).await?;
        if (100..200).contains(&response.status()) {
            continue;
        }
        if request.method != "HEAD" {
            reader.read_body(stream, &mut response).await?;
        }
        return Ok(response);
    }
}
