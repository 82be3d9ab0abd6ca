//! Endpoints and the platform's list of them.

use crate::clients::{filled, BODY};
use crate::plan::Illness;
use crate::recorder::{EndpointSize, Recorder, Run};
use crate::surroundings::Surroundings;
use magpieline_proxy_simulation::http_reader::{Message, Reader};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Requests that wait at an endpoint, beside those at work.
const MAX_QUEUED: usize = 8;
/// The stamp of what ran, as a header.
const STAMP: &str = "Postmark: stamped\r\n";

/// An endpoint.
pub(crate) struct Endpoint {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) address: SocketAddr,
    /// Requests that it works on at a time.
    pub(crate) concurrency: usize,
    pub(crate) is_draining: AtomicBool,
    /// By how little it gets illnesses, from 0 to 1.
    resistance: f64,
    at_work: AtomicUsize,
    recorder: Recorder,
    surroundings: Arc<Surroundings>,
}

/// Counts a request at work, however it ends.
struct AtWork<'a>(&'a AtomicUsize);

impl Drop for AtWork<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    pub(crate) async fn start(
        id: String,
        service: &'static str,
        recorder: Recorder,
        surroundings: Arc<Surroundings>,
    ) -> std::io::Result<Arc<Endpoint>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = Arc::new(Endpoint {
            id,
            service,
            address: listener.local_addr()?,
            concurrency: surroundings.draw_concurrency(),
            is_draining: AtomicBool::new(false),
            resistance: surroundings.draw_resistance(),
            at_work: AtomicUsize::new(0),
            recorder,
            surroundings,
        });
        let size = EndpointSize {
            service,
            concurrency: endpoint.concurrency,
        };
        endpoint
            .recorder
            .lock()
            .endpoints
            .insert(endpoint.id.clone(), size);
        tokio::spawn(endpoint.clone().serve(listener));
        Ok(endpoint)
    }

    async fn serve(self: Arc<Endpoint>, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    connections.spawn(self.clone().serve_connection(stream));
                },
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    }

    async fn serve_connection(self: Arc<Endpoint>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(mut request) = reader.read_head(&mut stream).await {
            if reader.read_body(&mut stream, &mut request).await.is_err() {
                return;
            }
            if !self.handle(&mut stream, &mut reader, &request).await {
                return;
            }
        }
    }

    /// Handles a request. Returns whether the connection goes on.
    async fn handle(&self, stream: &mut TcpStream, reader: &mut Reader, request: &Message) -> bool {
        let id = request.header("try-id").unwrap_or("").to_owned();
        let is_other = request
            .header("addressee")
            .is_some_and(|other| other != self.id);
        if is_other {
            return self.reject(stream, &id, 421).await;
        }
        let number = self.record_arrival(&id);
        let is_full = self.at_work.load(Ordering::Relaxed) >= self.concurrency + MAX_QUEUED;
        if is_full {
            return self.reject(stream, &id, 503).await;
        }
        self.at_work.fetch_add(1, Ordering::Relaxed);
        let _at_work = AtWork(&self.at_work);
        let illness = self.surroundings.illness(self.resistance);
        let now = self.recorder.now();
        self.recorder.lock().runs[number].began_at = Some(now);
        // Nothing may come while it works: what ends the work is the end of the connection.
        let is_interrupted = tokio::select! {
            () = self.work(illness) => false,
            _ = reader.read_more(stream) => true,
        };
        let extra_bytes = self.check_body(request, &id);
        let has_answered = !is_interrupted && self.respond(stream, &id, illness, extra_bytes).await;
        let now = self.recorder.now();
        let run = &mut self.recorder.lock().runs[number];
        (run.stopped_at, run.has_answered) = (Some(now), has_answered);
        has_answered && !self.is_draining.load(Ordering::Relaxed)
    }

    fn record_arrival(&self, id: &str) -> usize {
        let arrived_at = self.recorder.now();
        let mut recording = self.recorder.lock();
        recording.runs.push(Run {
            id: id.to_owned(),
            endpoint: self.id.clone(),
            arrived_at,
            began_at: None,
            stopped_at: None,
            has_answered: false,
        });
        recording.runs.len() - 1
    }

    /// Works on a request; never ends if the endpoint is silent.
    async fn work(&self, illness: Option<Illness>) {
        match illness {
            Some(Illness::Failing) => return,
            Some(Illness::Silent) => return pending().await,
            None => {}
        }
        tokio::time::sleep(Duration::from_millis(self.surroundings.draw_work_ms())).await;
    }

    /// Checks that a body arrived as it was sent. Returns how many bytes more than usual the response is to have.
    fn check_body(&self, request: &Message, id: &str) -> usize {
        let target = request.start_line.split(' ').nth(1).unwrap_or("");
        let extra = target.split_once("?extra=");
        let extra_bytes = extra.and_then(|(_, bytes)| bytes.parse().ok()).unwrap_or(0);
        if request.start_line.starts_with("GET ") {
            return extra_bytes;
        }
        if request.body != filled(BODY, extra_bytes) {
            let length = request.body.len();
            let text = format!("{id} arrived with another body, of {length} bytes: {target}");
            self.recorder.lock().altered.push(text);
        }
        0
    }

    async fn respond(
        &self,
        stream: &mut TcpStream,
        id: &str,
        illness: Option<Illness>,
        extra_bytes: usize,
    ) -> bool {
        match illness {
            Some(_) => self.write(stream, id, 500, STAMP, b"ill").await,
            None => self.answer(stream, id, extra_bytes).await,
        }
    }

    async fn answer(&self, stream: &mut TcpStream, id: &str, extra_bytes: usize) -> bool {
        self.write(stream, id, 200, STAMP, &filled(id, extra_bytes))
            .await
    }

    async fn reject(&self, stream: &mut TcpStream, id: &str, status: u16) -> bool {
        self.write(stream, id, status, "Not-Delivered: full\r\n", b"")
            .await
    }

    async fn write(
        &self,
        stream: &mut TcpStream,
        id: &str,
        status: u16,
        headers: &str,
        body: &[u8],
    ) -> bool {
        let load = self.at_work.load(Ordering::Relaxed);
        let close = match self.is_draining.load(Ordering::Relaxed) {
            true => "Connection: close\r\n",
            false => "",
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\nTry-Id: {id}\r\nLoad: {load},0,{}\r\n{headers}{close}Content-Length: {}\r\n\r\n",
            self.concurrency,
            body.len()
        );
        let text = [text.as_bytes(), body].concat();
        stream.write_all(&text).await.is_ok()
    }
}
