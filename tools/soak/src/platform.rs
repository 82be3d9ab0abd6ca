//! The platform: lists endpoints, and replaces them.

use crate::endpoint::Endpoint;
use crate::recorder::Recorder;
use crate::surroundings::Surroundings;
use magpieline_proxy_simulation::http_reader::Reader;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// The services, with their endpoints in the beginning.
pub(crate) const SERVICES: [(&str, usize); 2] = [("calendar", 6), ("firing", 4)];
/// An endpoint serves for so long after it was first listed as leaving.
const SERVES_ON: Duration = Duration::from_millis(6_000);

/// The platform and its endpoints.
pub(crate) struct Platform {
    endpoints: Mutex<Vec<Arc<Endpoint>>>,
    started: AtomicUsize,
    recorder: Recorder,
    surroundings: Arc<Surroundings>,
}

impl Platform {
    /// Starts the endpoints of the beginning, and answers with the list of them.
    pub(crate) async fn start(
        listener: TcpListener,
        recorder: Recorder,
        surroundings: Arc<Surroundings>,
    ) -> std::io::Result<Arc<Platform>> {
        let platform = Arc::new(Platform {
            endpoints: Mutex::default(),
            started: AtomicUsize::new(0),
            recorder,
            surroundings,
        });
        for (service, count) in SERVICES {
            for _ in 0..count {
                platform.start_endpoint(service).await?;
            }
        }
        tokio::spawn(platform.clone().serve(listener));
        Ok(platform)
    }

    fn endpoints(&self) -> MutexGuard<'_, Vec<Arc<Endpoint>>> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn start_endpoint(&self, service: &'static str) -> std::io::Result<()> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let (recorder, surroundings) = (self.recorder.clone(), self.surroundings.clone());
        let endpoint =
            Endpoint::start(format!("i-{number}"), service, recorder, surroundings).await?;
        self.endpoints().push(endpoint);
        Ok(())
    }

    /// Replaces the oldest endpoint that is not leaving: another one starts, it drains, and is gone some seconds later.
    pub(crate) async fn replace_oldest(&self) {
        let oldest = {
            let endpoints = self.endpoints();
            let mut staying = endpoints
                .iter()
                .filter(|endpoint| !endpoint.is_draining.load(Ordering::Relaxed));
            staying.next().cloned()
        };
        let Some(oldest) = oldest else { return };
        if self.start_endpoint(oldest.service).await.is_err() {
            return;
        }
        oldest.is_draining.store(true, Ordering::Relaxed);
        let now = self.recorder.now();
        self.recorder.lock().leaving.insert(oldest.id.clone(), now);
        tokio::time::sleep(SERVES_ON).await;
        self.endpoints()
            .retain(|endpoint| !Arc::ptr_eq(endpoint, &oldest));
    }

    async fn serve(self: Arc<Platform>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.clone().serve_connection(stream));
            }
        }
    }

    async fn serve_connection(self: Arc<Platform>, mut stream: TcpStream) {
        let mut reader = Reader::default();
        while reader.read_head(&mut stream).await.is_ok() {
            let body = self.list();
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Returns the list, on one page.
    fn list(&self) -> String {
        let mut entries = jzon::JsonValue::new_object();
        for endpoint in self.endpoints().iter() {
            let state = match endpoint.is_draining.load(Ordering::Relaxed) {
                true => "closing_out",
                false => "ready",
            };
            let entry = jzon::object! {
                service: endpoint.service,
                address: endpoint.address.to_string(),
                zone: "hall",
                edition: "v1",
                berths: endpoint.concurrency,
                state: state,
                cold_left: "0ms"
            };
            let _ = entries.insert(&endpoint.id, entry);
        }
        jzon::object! { appliances: entries, next: null }.dump()
    }
}
