//! A proxy on loopback, its clients, and an endpoint played by the tests.

use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::endpoint_view::UpdateSource;
use magpieline_control_plane::messages::{Endpoint, EndpointState, EndpointUpdate};
use magpieline_control_plane::state_machine::StoredConfig;
use magpieline_gateway::proxy::connector::{self, Connector};
use magpieline_gateway::proxy::{listener, Proxy};
use std::future::Future;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

const SETTINGS: &str = r#"
[self]
node = "n-1"
machine_class = "counter"
ip = "127.0.0.1"
zone = "a"
region = "r"
[network]
inner_ports = [7720,7735]
seed_depots = ["127.0.0.1:8166"]
[carrier.carrier_api]
address = "127.0.0.1:8169"
[provisions.guarantees]
edition_time = "200ms"
grace = "3s"
"#;

pub const CONFIG: &str = r#"{"edition":1,"allowances":{"header_bytes":2000},"fleets":[{"name":"s"}],
"wickets":[{"depot":"h","regulations":[
{"name":"r","sort":"safe","target":"1s","sorting":{"lane_prefix":"/safe/"},"dispatch":{"service":"s","give_up":"9s","tries":2}},
{"name":"u","sort":"unsafe","target":"1s","sorting":{"lane_prefix":"/once/"},"dispatch":{"service":"s","give_up":"9s","tries":2}}]}]}"#;

/// A request at the endpoint, by its connection; it waits for the bytes to answer with.
pub struct EndpointRequest {
    pub connection: usize,
    pub text: String,
    reply: oneshot::Sender<String>,
    /// Closed when the connection ends before there is an answer.
    connection_end: oneshot::Receiver<()>,
}

impl EndpointRequest {
    pub fn id(&self) -> String {
        let id = self
            .text
            .lines()
            .find_map(|line| line.strip_prefix("try-id: "));
        id.unwrap_or_default().to_owned()
    }

    pub fn whole(id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nPostmark: p\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        )
    }

    /// Waits until the proxy ends the connection, with no answer yet.
    pub async fn interrupted(&mut self) {
        let _ = (&mut self.connection_end).await;
    }

    /// Whether the proxy has ended the connection, with no answer yet.
    pub fn is_interrupted(&mut self) -> bool {
        self.connection_end.try_recv() == Err(oneshot::error::TryRecvError::Closed)
    }

    /// Answers in chunks of odd lengths.
    pub fn answer_in_chunks(self, body: &str) {
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nTry-Id: {}\r\nPostmark: p\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id()
        );
        text += &in_chunks(body);
        self.reply.send(text).expect("the connection is up");
    }

    /// Answers, with what stands before and behind the answer.
    pub fn answer(self, before: &str, behind: &str) {
        let answer = Self::whole(&self.id());
        self.reply
            .send(format!("{before}{answer}{behind}"))
            .expect("the connection is up");
    }
}

async fn serve_endpoint(listener: TcpListener, tell: mpsc::UnboundedSender<EndpointRequest>) {
    for connection in 0.. {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        let tell = tell.clone();
        tokio::spawn(async move {
            let mut bytes = Vec::new();
            while let Some(text) = next_request(&mut stream, &mut bytes).await {
                let (reply, mut answer) = oneshot::channel();
                let (_connection, connection_end) = oneshot::channel();
                let _ = tell.send(EndpointRequest {
                    connection,
                    text,
                    reply,
                    connection_end,
                });
                let answer = tokio::select! {
                    answer = &mut answer => answer,
                    () = end(&mut stream, &mut bytes) => return,
                };
                let Ok(answer) = answer else { return };
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
    }
}

/// Reads the next request with its body; None at the end.
async fn next_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let length = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.map_or(0, |l| l.parse().expect("a number"));
        let whole = text
            .find("\r\n\r\n")
            .map(|at| at + 4 + length)
            .filter(|end| *end <= bytes.len());
        if let Some(end) = whole {
            bytes.drain(..end);
            return Some(text[..end].into());
        }
        if stream.read_buf(bytes).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Reads to the end of a connection.
async fn end(stream: &mut TcpStream, bytes: &mut Vec<u8>) {
    while stream.read_buf(bytes).await.unwrap_or(0) > 0 {}
}

pub struct Fixture {
    pub proxy: Arc<Proxy>,
    pub clients: SocketAddrV4,
    pub asked: mpsc::UnboundedReceiver<EndpointRequest>,
    /// By which endpoints tell of their requests.
    requests: mpsc::UnboundedSender<EndpointRequest>,
    /// Ends once the proxy has shut down and serves no client any more.
    pub serving: JoinHandle<()>,
}

async fn local() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = listener.local_addr().expect("an address").port();
    (listener, SocketAddrV4::new([127, 0, 0, 1].into(), port))
}

impl Fixture {
    pub async fn new() -> Fixture {
        Fixture::with(CONFIG).await
    }

    pub async fn with(config: &str) -> Fixture {
        Fixture::connected_by(connector::tcp(), config).await
    }

    /// Creates a proxy that reaches its endpoint by `connector`.
    pub async fn connected_by(connector: Connector, config: &str) -> Fixture {
        Fixture::with_settings(SETTINGS, connector, config).await
    }

    /// Creates a proxy with so many megabytes of memory.
    pub async fn with_memory(memory_mb: u64, config: &str) -> Fixture {
        let limits = format!("{SETTINGS}[self.allowances]\nmemory_mb = {memory_mb}\n");
        Fixture::with_settings(&limits, connector::tcp(), config).await
    }

    /// Creates a proxy that may retry or hedge every request.
    pub async fn with_retries(config: &str) -> Fixture {
        let settings = format!("{SETTINGS}retry_ratio = 2.0\n");
        let fixture = Fixture::with_settings(&settings, connector::tcp(), config).await;
        fixture.proxy.set_proxies(1);
        fixture
    }

    async fn with_settings(settings: &str, connector: Connector, config: &str) -> Fixture {
        let (requests, asked) = mpsc::unbounded_channel();
        let proxy = Arc::new(Proxy::new(
            tokio::sync::watch::channel(Arc::new(NodeSettings::parse(settings).expect("sound"))).1,
            1,
            connector,
        ));
        let document = jzon::parse(config).expect("JSON");
        proxy.apply_config(&StoredConfig {
            version: document["edition"].as_u64().expect("a number"),
            text: config.into(),
        });
        let (near, clients) = local().await;
        let serving = tokio::spawn(listener::run(proxy.clone(), near));
        let fixture = Fixture {
            proxy,
            clients,
            asked,
            requests,
            serving,
        };
        fixture.start_endpoint("i-1").await;
        fixture.proxy.on_confirmed();
        fixture
    }

    /// Starts an endpoint and lists it beside those that are there.
    pub async fn start_endpoint(&self, id: &str) {
        let (far, address) = local().await;
        tokio::spawn(serve_endpoint(far, self.requests.clone()));
        let endpoint = Endpoint {
            service: "s".into(),
            address,
            zone: "a".into(),
            version: "v1".into(),
            concurrency: 30,
            state: EndpointState::Ready,
            warmup_left: 0,
        };
        let update = EndpointUpdate {
            is_full: false,
            endpoints: vec![(id.into(), Some(endpoint))],
        };
        self.proxy.apply_endpoints(UpdateSource::Leader, update);
    }

    pub async fn client(&self) -> TcpStream {
        TcpStream::connect(self.clients)
            .await
            .expect("a connection")
    }

    /// Waits until so many requests of clients are in progress.
    pub async fn until_in_progress(&self, requests: usize) {
        while self.proxy.requests_in_progress() != requests {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until so many attempts are in flight.
    pub async fn until_attempts_in_flight(&self, attempts: usize) {
        while self.proxy.attempts_in_flight() != attempts {
            tokio::task::yield_now().await;
        }
    }

    pub async fn asked(&mut self) -> EndpointRequest {
        self.asked.recv().await.expect("a request")
    }
}

pub fn request(method: &str, path: &str, id: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\nTime-Left-Ms: 9000\r\n\r\n")
}

/// Returns a body of so many bytes, in which each place can be told from the others.
pub fn numbered_body(bytes: usize) -> String {
    let numbers = (0u32..).flat_map(|i| format!("{i},").into_bytes());
    numbers.take(bytes).map(char::from).collect()
}

/// Returns a body in chunks of odd lengths.
pub fn in_chunks(body: &str) -> String {
    const CHUNK_BYTES: usize = 9_973;
    let chunk = |chunk: &[u8]| {
        let text = String::from_utf8_lossy(chunk);
        format!("{:x}\r\n{text}\r\n", chunk.len())
    };
    let chunks: String = body.as_bytes().chunks(CHUNK_BYTES).map(chunk).collect();
    chunks + "0\r\n\r\n"
}

/// Reads until the text ends so.
pub async fn until(client: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(end.as_bytes()) {
        assert!(
            client.read_buf(&mut bytes).await.expect("bytes") > 0,
            "{}",
            String::from_utf8_lossy(&bytes)
        );
    }
    String::from_utf8(bytes).expect("text")
}

pub async fn rest(client: &mut TcpStream) -> String {
    let mut text = String::new();
    client
        .read_to_string(&mut text)
        .await
        .expect("the end, in order");
    text
}

/// Runs a test; whoever waits for what never comes fails.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let within = async { tokio::time::timeout(Duration::from_secs(30), test).await };
    runtime.block_on(within).expect("what is waited for comes");
}
