//! Clients: they keep their connections until these end, send several requests at once, half a body, and leave early by a close or
//! a reset.

use crate::agents::Network;
use crate::entry::Entry;
use crate::recorder::{ClientOutcome, Micros, Recorder, SentRequest};
use crate::surroundings::Surroundings;
use crate::SeededRng;
use magpieline_proxy_simulation::http_reader::{Message, ReadError, Reader};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long clients wait, in milliseconds; the routes wait as long.
const TIME_LEFT_MS: u64 = 2_500;
/// An answer that comes later than this is none: beyond the deadline, on a machine that is busy with all processes of a run.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(TIME_LEFT_MS + 1_500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Clients that leave early in ordinary times, and requests whose body is sent half.
const USUAL_LEAVING: f64 = 0.03;
const HALF_BODY: f64 = 0.01;
/// A client leaves so many milliseconds after it has sent its request.
const LEAVES_AFTER_MS: std::ops::Range<u64> = 1..400;
pub(crate) const BODY: &str = "0123456789";
/// What long bodies are filled with.
const FILLER: u8 = b'x';

/// What clients share.
pub(crate) struct World {
    pub(crate) network: Network,
    pub(crate) entry: Entry,
    pub(crate) recorder: Recorder,
    pub(crate) surroundings: Arc<Surroundings>,
    /// No more requests are sent.
    pub(crate) is_over: AtomicBool,
}

struct Client {
    world: Arc<World>,
    number: usize,
    requests: u64,
    rng: SeededRng,
}

/// A connection to a proxy.
struct Connection {
    proxy: usize,
    stream: TcpStream,
    reader: Reader,
}

/// Runs a client until the run is over.
pub(crate) async fn run(world: Arc<World>, number: usize, rng: SeededRng) {
    let mut client = Client {
        world,
        number,
        requests: 0,
        rng,
    };
    while !client.is_over() {
        if !client.use_connection().await {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Client {
    fn is_over(&self) -> bool {
        self.world.is_over.load(Ordering::Relaxed)
    }

    /// Sends requests on a new connection until that ends. Returns false if there was none.
    async fn use_connection(&mut self) -> bool {
        let proxy = self.world.entry.choose(&mut self.rng);
        let address = SocketAddr::V4(self.world.network.clients(proxy));
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let mut connection = Connection {
            proxy,
            stream,
            reader: Reader::default(),
        };
        while !self.is_over() {
            let goes_on = match self.rng.gen_bool(HALF_BODY) {
                true => self.send_half(&mut connection).await,
                false => self.send_batch(&mut connection).await,
            };
            if !goes_on {
                return true;
            }
            sleep(Duration::from_millis(self.rng.gen_range(0..60))).await;
        }
        true
    }

    fn next_id(&mut self) -> String {
        self.requests += 1;
        format!("c{}-{}", self.number, self.requests)
    }

    /// Sends half a request and leaves.
    async fn send_half(&mut self, connection: &mut Connection) -> bool {
        let id = self.next_id();
        let text = request_text(&id, false, 0);
        let half = &text[..text.len() - BODY.len() / 2];
        let _ = connection.stream.write_all(half).await;
        sleep(Duration::from_millis(self.rng.gen_range(0..200))).await;
        false
    }

    /// Sends one request, or several idempotent ones at once, and reads the answers unless it leaves. Returns whether the
    /// connection goes on.
    async fn send_batch(&mut self, connection: &mut Connection) -> bool {
        let count = if self.rng.gen_bool(0.2) {
            self.rng.gen_range(2..5)
        } else {
            1
        };
        let is_idempotent = count > 1 || self.rng.gen_bool(0.6);
        let ids: Vec<String> = (0..count).map(|_| self.next_id()).collect();
        let extra_bytes = self.world.surroundings.draw_extra_bytes();
        for id in &ids {
            let text = request_text(id, is_idempotent, extra_bytes);
            self.record(id, connection.proxy, is_idempotent);
            if connection.stream.write_all(&text).await.is_err() {
                self.close_all(&ids);
                return false;
            }
        }
        let leaves = self.world.surroundings.draws_leaving(USUAL_LEAVING);
        let leaves_after = Duration::from_millis(self.rng.gen_range(LEAVES_AFTER_MS));
        let extra_bytes = if is_idempotent { extra_bytes } else { 0 };
        let pause = self.world.surroundings.draw_read_pause();
        let reading = read_answers(&self.world.recorder, connection, &ids, extra_bytes, pause);
        let patience = if leaves {
            leaves_after
        } else {
            (ANSWER_TIMEOUT + pause) * count as u32
        };
        match timeout(patience, reading).await {
            Ok(goes_on) => goes_on,
            Err(_) => {
                self.leave(connection, &ids, leaves);
                false
            }
        }
    }

    fn record(&self, id: &str, proxy: usize, is_idempotent: bool) {
        let sent_at = self.world.recorder.now();
        let request = SentRequest {
            proxy,
            is_idempotent,
            sent_at,
            deadline: sent_at + TIME_LEFT_MS * 1_000,
            outcome: None,
            is_behind_close: false,
        };
        self.world
            .recorder
            .lock()
            .requests
            .insert(id.to_owned(), request);
    }

    fn close_all(&self, ids: &[String]) {
        for id in ids {
            self.world.recorder.on_outcome(id, ClientOutcome::Closed);
            mark_behind_close(&self.world.recorder, std::slice::from_ref(id));
        }
    }

    /// Leaves, by a close or a reset. One that waited for long enough was not answered.
    fn leave(&mut self, connection: &mut Connection, ids: &[String], leaves: bool) {
        if self.rng.gen_bool(0.5) {
            let _ = connection.stream.set_zero_linger();
        }
        let outcome = match leaves {
            true => ClientOutcome::Left,
            false => ClientOutcome::Silent,
        };
        for id in ids {
            let is_open = {
                let recording = self.world.recorder.lock();
                recording
                    .requests
                    .get(id)
                    .is_some_and(|request| request.outcome.is_none())
            };
            if is_open {
                self.world.recorder.on_outcome(id, outcome.clone());
            }
        }
    }
}

/// Reads the answers to requests in their order, with a pause before each body; their bodies have so many bytes more than usual.
/// Returns whether the connection goes on.
async fn read_answers(
    recorder: &Recorder,
    connection: &mut Connection,
    ids: &[String],
    extra_bytes: usize,
    pause: Duration,
) -> bool {
    for (i, id) in ids.iter().enumerate() {
        let begun_at = recorder.now();
        match read_answer(connection, pause).await {
            Ok(answer) => {
                recorder.on_outcome(id, outcome_of(&answer, id, extra_bytes));
                on_latency(recorder, id, begun_at);
                if answer.is_last() {
                    for behind in &ids[i + 1..] {
                        recorder.on_outcome(behind, ClientOutcome::Closed);
                    }
                    mark_behind_close(recorder, &ids[i + 1..]);
                    return false;
                }
            }
            Err(error) => {
                let outcome = match error {
                    ReadError::End => ClientOutcome::Closed,
                    ReadError::ConnectionLost => ClientOutcome::Truncated,
                };
                recorder.on_outcome(id, outcome);
                for behind in &ids[i + 1..] {
                    recorder.on_outcome(behind, ClientOutcome::Closed);
                }
                mark_behind_close(recorder, &ids[i + 1..]);
                return false;
            }
        }
    }
    true
}

async fn read_answer(connection: &mut Connection, pause: Duration) -> Result<Message, ReadError> {
    let Connection { stream, reader, .. } = connection;
    let mut answer = reader.read_head(stream).await?;
    if !pause.is_zero() {
        sleep(pause).await;
    }
    reader.read_body(stream, &mut answer).await?;
    Ok(answer)
}

fn outcome_of(answer: &Message, id: &str, extra_bytes: usize) -> ClientOutcome {
    let is_own = answer.header("try-id") == Some(id);
    ClientOutcome::Answered {
        status: answer.status(),
        has_postmark: answer.header("postmark").is_some(),
        is_own: is_own && answer.body == filled(id, extra_bytes),
    }
}

/// Returns a body that begins so, and goes on with so many bytes.
pub(crate) fn filled(begin: &str, extra_bytes: usize) -> Vec<u8> {
    [begin.as_bytes(), &vec![FILLER; extra_bytes]].concat()
}

/// Takes note of the time from a request's sending, or its turn on its connection, to its answer.
fn on_latency(recorder: &Recorder, id: &str, begun_at: Micros) {
    let now = recorder.now();
    let recording = &mut *recorder.lock();
    if let Some(request) = recording.requests.get(id) {
        let latency = now.saturating_sub(request.sent_at.max(begun_at));
        recording.latencies.push(latency);
    }
}

fn mark_behind_close(recorder: &Recorder, ids: &[String]) {
    let recording = &mut *recorder.lock();
    for id in ids {
        if let Some(request) = recording.requests.get_mut(id) {
            request.is_behind_close = true;
        }
    }
}

/// Returns a request. The response to an idempotent one, or else its own body, has so many bytes more than usual; a body of an odd
/// length is sent in chunks.
fn request_text(id: &str, is_idempotent: bool, extra_bytes: usize) -> Vec<u8> {
    let head = format!(
        "{id}?extra={extra_bytes} HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\nTime-Left-Ms: {TIME_LEFT_MS}\r\n"
    );
    if is_idempotent {
        return format!("GET /safe/{head}\r\n").into();
    }
    let length = BODY.len() + extra_bytes;
    let is_chunked = length % 2 == 1;
    let framing = match is_chunked {
        true => format!("Transfer-Encoding: chunked\r\n\r\n{length:x}"),
        false => format!("Content-Length: {length}\r\n"),
    };
    let mut text = filled(
        &format!("POST /once/{head}{framing}\r\n{BODY}"),
        extra_bytes,
    );
    if is_chunked {
        text.extend_from_slice(b"\r\n0\r\n\r\n");
    }
    text
}
