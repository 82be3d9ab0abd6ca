//! Agents as real processes on loopback, and connections to them that a test plays the other side of.

use magpieline_control_plane::messages::{
    decode_frame, encode_frame, ConnectionPurpose, ControllerMessage, Fenced, Hello, ProxyMessage,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Longest wait for what is to come; many times what it takes where other tests take the processor.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A process of the program, ended with the test.
pub struct Process(Child, PathBuf);

impl Process {
    pub fn start(role: &str, name: &str, settings: &str) -> Process {
        let folder = std::env::temp_dir().join(format!(
            "magpieline-gateway-contact-{name}-{}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("settings.toml");
        std::fs::write(
            &file,
            settings.replace("STORE", &folder.display().to_string()),
        )
        .expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_magpieline-gateway"));
        command
            .args([role, "--log", "warn", "--settings"])
            .arg(&file);
        let started = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn();
        Process(started.expect("the program starts"), folder)
    }
}

impl Process {
    /// Returns the most memory that was resident at once, in bytes.
    #[allow(dead_code)] // not every test binary with this module asks
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("a number") * 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

/// The status of one call; None without an answer.
pub fn status(at: SocketAddr, head: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// One end of a connection between agents.
pub struct Connection {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        Connection {
            stream,
            bytes: Vec::new(),
        }
    }

    /// The next message; None at the end.
    pub fn next<T: for<'a> serde::Deserialize<'a>>(&mut self) -> Option<T> {
        loop {
            if let Some(message) = decode_frame(&mut self.bytes).expect("ours") {
                return Some(message);
            }
            let mut room = [0; 4096];
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(length) => self.bytes.extend_from_slice(&room[..length]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing comes: {e}"),
            }
        }
    }

    pub fn send(&mut self, term: u64, message: ControllerMessage) {
        match self
            .stream
            .write_all(&encode_frame(&Fenced { term, message }))
        {
            // It rejected a message before this one and has ended the connection: what is read next tells.
            Err(e) if matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => {}
            written => written.expect("taken"),
        }
    }

    /// Reads on until the other side ends the connection.
    pub fn wait_for_end(mut self) {
        while self.next::<ProxyMessage>().is_some() {}
    }
}

/// Accepts a proxy's session and its hello.
pub fn accept(inner: &TcpListener) -> (Connection, Hello) {
    loop {
        let (stream, _) = inner.accept().expect("a proxy");
        let mut connection = Connection::new(stream);
        let opened = connection.next::<ConnectionPurpose>();
        if let (Some(ConnectionPurpose::ProxySession), Some(ProxyMessage::Hello(hello))) =
            (opened, connection.next::<ProxyMessage>())
        {
            return (connection, hello);
        }
    }
}

/// Waits for a report, by which all that was said before has been taken in.
pub fn reported_version(connection: &mut Connection) -> Option<u64> {
    loop {
        match connection
            .next::<ProxyMessage>()
            .expect("the connection stands")
        {
            ProxyMessage::Report(report) => return report.config_version,
            _ => continue,
        }
    }
}

/// Returns the settings of a proxy at `{net}.9` that asks a controller at `{net}.1`; `more` is added at the end.
pub fn proxy_settings(net: &str, more: &str) -> String {
    format!(
        r#"
[self]
node = "counter-1"
machine_class = "counter"
ip = "{net}.9"
zone = "a"
region = "r"
[network]
inner_ports = [7720, 7735]
seed_depots = ["{net}.1:7080"]
[network.posts]
front = "{net}.9:7000"
ready = "{net}.9:7001"
{more}"#
    )
}

/// Returns the settings of the `number`th of `count` controllers, from `{net}.1` on; `more` is added at the end.
pub fn controller_settings(net: &str, number: usize, count: usize, more: &str) -> String {
    let seeds: Vec<String> = (1..=count).map(|i| format!("\"{net}.{i}:7080\"")).collect();
    let seeds = seeds.join(", ");
    format!(
        r#"
[self]
node = "sorting-{number}"
machine_class = "sorting"
ip = "{net}.{number}"
zone = "a"
region = "r"
store_dir = "STORE"
first_run = true
[network]
inner_ports = [7720, 7735]
seed_depots = [{seeds}]
[network.posts]
control = "{net}.{number}:7080"
{more}"#
    )
}
