//! What the cases of the review share: a small deployment on loopback, and stand-ins for the platform, appliances, clients and
//! the operator. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const CONTROL_PORT: u16 = 8166;
pub const FRONT_PORT: u16 = 8161;
pub const READY_PORT: u16 = 8167;
pub const PLATFORM_PORT: u16 = 8169;
pub const INNER_PORTS: (u16, u16) = (7720, 7735);
pub const ZONE: &str = "sala-bilbao";
pub const HOST: &str = "hornos.example";

/// The deployment's `memory_mb`: of proxies and of controllers.
pub const PROXY_MEMORY_MB: u64 = 260;
pub const CONTROLLER_MEMORY_MB: u64 = 256;

/// A case ends by itself after this.
const LONGEST_RUN: Duration = Duration::from_secs(115);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ends with 2: the case could not run.
pub fn cannot_run(world: Option<&World>, why: &str) -> ! {
    if let Some(world) = world {
        world.record(&format!("the case could not run: {why}"));
        world.end();
    }
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads bytes of a connection into messages.
pub struct Reader {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            held: Vec::new(),
        }
    }

    fn more(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0; 64 << 10];
        let n = self.stream.read(&mut bytes)?;
        self.held.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    /// Reads the head of the next message; none at an orderly end.
    pub fn head(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.held.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.more()? == 0 {
                return match self.held.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.held[..end]).into_owned();
        self.held.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        };
        let headers = lines.filter_map(header).collect();
        Ok(Some(Message {
            first,
            headers,
            body: Vec::new(),
        }))
    }

    /// Reads so many bytes.
    pub fn exactly(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        while self.held.len() < length {
            if self.more()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.held.drain(..length).collect())
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(at) = self.held.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.held[..at]).into_owned();
                self.held.drain(..at + 2);
                return Ok(line);
            }
            if self.more()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Message) -> std::io::Result<Vec<u8>> {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if chunked {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.line()?;
            }
        }
        let length = head
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        self.exactly(length)
    }

    /// Reads a whole message; none at an orderly end.
    pub fn message(&mut self) -> std::io::Result<Option<Message>> {
        let Some(mut head) = self.head()? else {
            return Ok(None);
        };
        head.body = self.body(&head)?;
        Ok(Some(head))
    }
}

pub fn connect(to: SocketAddrV4, within: Duration) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to.into(), within)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Makes one call on a connection of its own. `patience`: without a byte.
pub fn call(
    to: SocketAddrV4,
    head: &str,
    body: &[u8],
    patience: Duration,
) -> std::io::Result<Message> {
    let mut stream = connect(to, ms(1000))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let answer = Reader::new(stream).message()?;
    answer.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

// ---------------------------------------------------------------- appliances

/// How an appliance treats the requests that it runs.
#[derive(Clone)]
pub struct Work {
    pub time: Duration,
    /// Bytes of the answer's body.
    pub answer_bytes: usize,
    /// Requests that it works on at a time.
    pub berths: u32,
}

pub struct Appliance {
    pub id: String,
    pub service: String,
    pub edition: String,
    pub address: SocketAddrV4,
    pub work: Work,
    /// Requests that it works on at a time.
    pub berths: u32,
    /// Listed as leaving.
    pub closing: AtomicBool,
    /// It has crashed: its listener and its connections are gone.
    pub crashed: AtomicBool,
    running: Mutex<u32>,
    berth_free: Condvar,
    waiting: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
    /// Ids of the requests that it began to run.
    pub ran: Arc<Mutex<Vec<(String, String)>>>,
}

const QUEUED: usize = 8;

impl Appliance {
    fn serve(self: Arc<Appliance>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().unwrap().push(copy);
        }
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            let answer = self.answer(&request);
            if self.crashed.load(Ordering::SeqCst) || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let path = request.first.split(' ').nth(1).unwrap_or("");
        let id = request.header("try-id").unwrap_or("").to_owned();
        let closing = self.closing.load(Ordering::SeqCst);
        if path == "/health" {
            let status = if closing {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return self.bytes(status, "", &[format!("Appliance-Id: {}", self.id)], b"");
        }
        let not_run = ["Not-Delivered: 1".to_owned()];
        if id.is_empty() {
            return self.bytes("400 Bad Request", "", &not_run, b"");
        }
        if request.header("addressee").is_some_and(|to| to != self.id) {
            return self.bytes("421 Misdirected Request", &id, &not_run, b"");
        }
        let left = request
            .header("time-left-ms")
            .and_then(|v| v.parse::<u64>().ok());
        let due = Instant::now() + ms(left.unwrap_or(60_000));
        if !self.take_berth(due) {
            return self.bytes("503 Service Unavailable", &id, &not_run, b"");
        }
        self.ran.lock().unwrap().push((id.clone(), self.id.clone()));
        let time = self
            .work
            .time
            .min(due.saturating_duration_since(Instant::now()));
        thread::sleep(time);
        *self.running.lock().unwrap() -= 1;
        self.berth_free.notify_one();
        let mark = [format!("Postmark: {}.{id}", self.id)];
        self.bytes("200 OK", &id, &mark, &body_of(&id, self.work.answer_bytes))
    }

    fn take_berth(&self, due: Instant) -> bool {
        let mut running = self.running.lock().unwrap();
        if *running >= self.berths && self.waiting.load(Ordering::SeqCst) >= QUEUED {
            return false;
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while *running >= self.berths && Instant::now() < due {
            let left = due.saturating_duration_since(Instant::now());
            running = self.berth_free.wait_timeout(running, left).unwrap().0;
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        if *running >= self.berths {
            return false;
        }
        *running += 1;
        true
    }

    fn bytes(&self, status: &str, id: &str, more: &[String], body: &[u8]) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        if !id.is_empty() {
            head += &format!("Try-Id: {id}\r\n");
        }
        let (running, waiting) = (
            *self.running.lock().unwrap(),
            self.waiting.load(Ordering::SeqCst),
        );
        head += &format!("Load: {running},{waiting},{}\r\n", self.berths);
        for line in more {
            head += &format!("{line}\r\n");
        }
        if self.closing.load(Ordering::SeqCst) {
            head += "Connection: close\r\n";
        }
        let mut bytes = format!("{head}\r\n").into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Ends at once, for good; its connections are reset or closed by the system.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address.into(), ms(200));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// The body that an appliance answers a request with.
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    let mut body = format!("{id} done\n").into_bytes();
    while body.len() < length {
        let rest = (length - body.len()).min(1 << 16);
        body.extend(std::iter::repeat_n(b'.', rest));
    }
    body
}

// ---------------------------------------------------------------- the deployment

struct Listed {
    appliance: Arc<Appliance>,
    /// The list is behind by `LAG`.
    shown_from: Instant,
    closing_shown_from: Option<Instant>,
    gone_from: Option<Instant>,
}

/// `lag` of the list, and its calls a second.
const LAG: Duration = Duration::from_millis(800);
const PER_S: u32 = 47;
/// One that has crashed stays on the list for some seconds.
const CRASHED_LISTED_FOR: Duration = Duration::from_millis(4000);

pub struct World {
    pub root: PathBuf,
    pub dir: PathBuf,
    net: [u8; 2],
    controllers: u8,
    started: Instant,
    record: Mutex<File>,
    children: Mutex<BTreeMap<String, Child>>,
    appliances: Mutex<Vec<Listed>>,
    next_id: AtomicUsize,
    /// Ids of requests that clients got no answer to, where a case keeps them.
    pub unanswered: Mutex<Vec<String>>,
    pub ran: Arc<Mutex<Vec<(String, String)>>>,
}

fn random(seed: u64) -> u64 {
    let mut bytes = [0; 8];
    if let Ok(mut file) = File::open("/dev/urandom") {
        let _ = file.read_exact(&mut bytes);
    }
    u64::from_le_bytes(bytes) ^ seed
}

impl World {
    /// A deployment with so many controllers; nothing runs yet. The first argument is the folder of the case.
    pub fn new(controllers: u8) -> Arc<World> {
        let case = std::env::args().nth(1).map(PathBuf::from);
        let Some(case) = case else {
            cannot_run(None, "no folder was named")
        };
        let Ok(root) = std::env::current_dir() else {
            cannot_run(None, "no working folder")
        };
        let Ok(record) = File::create(case.join("record.txt")) else {
            cannot_run(None, "record.txt can't be written")
        };
        let dir = std::env::temp_dir().join(format!("magpieline-review-{:x}", random(0)));
        if std::fs::create_dir_all(&dir).is_err() {
            cannot_run(None, "no temporary folder");
        }
        let net = (0..200).map(|n| random(n).to_le_bytes()).find_map(|b| {
            let net = [64 + b[0] % 128, 1 + b[1] % 250];
            let free = |host: u8, port| {
                TcpListener::bind(SocketAddrV4::new(
                    Ipv4Addr::new(127, net[0], net[1], host),
                    port,
                ))
                .is_ok()
            };
            (free(11, CONTROL_PORT) && free(21, FRONT_PORT) && free(1, PLATFORM_PORT))
                .then_some(net)
        });
        let Some(net) = net else {
            cannot_run(None, "no free addresses")
        };
        let world = Arc::new(World {
            root,
            dir,
            net,
            controllers,
            started: Instant::now(),
            record: Mutex::new(record),
            children: Mutex::default(),
            appliances: Mutex::default(),
            next_id: AtomicUsize::new(1),
            unanswered: Mutex::default(),
            ran: Arc::default(),
        });
        let watched = world.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST_RUN);
            cannot_run(Some(&watched), "it took too long");
        });
        world
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    pub fn controller_ip(&self, n: u8) -> Ipv4Addr {
        self.ip(10 + n)
    }

    pub fn proxy_ip(&self, n: u8) -> Ipv4Addr {
        self.ip(20 + n)
    }

    pub fn front(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.proxy_ip(n), FRONT_PORT)
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record, with the time.
    pub fn record(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        print!("{line}");
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record only.
    pub fn detail(&self, text: &str) {
        let _ = self
            .record
            .lock()
            .unwrap()
            .write_all(format!("{text}\n").as_bytes());
    }

    /// Writes which requests each appliance has run.
    pub fn record_runs(&self) {
        let mut by_appliance: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (id, appliance) in self.ran.lock().unwrap().iter() {
            by_appliance
                .entry(appliance.clone())
                .or_default()
                .push(id.clone());
        }
        for (appliance, ids) in by_appliance {
            self.detail(&format!(
                "run by {appliance}: {} requests: {}",
                ids.len(),
                ids.join(" ")
            ));
        }
    }

    /// Ends all that was started, and removes the temporary folder.
    pub fn end(&self) {
        for (_, mut child) in std::mem::take(&mut *self.children.lock().unwrap()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }

    /// Ends the case by its verdict.
    pub fn finish(&self, broken: bool, verdict: &str) -> ! {
        self.record(verdict);
        self.record(if broken {
            "verdict: the rule was broken"
        } else {
            "verdict: the rule held"
        });
        self.end();
        std::process::exit(i32::from(broken));
    }

    // ------------------------------------------------ processes

    /// The command of a role, by the deploy file.
    fn command(&self, role: &str) -> Vec<String> {
        let file =
            std::fs::read_to_string(self.root.join("deploy/system.toml")).unwrap_or_default();
        let section = file.split(&format!("[roles.{role}]")).nth(1).unwrap_or("");
        let run = section
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|rest| rest.split('"').next()).unwrap_or("");
        run.split(' ').map(str::to_owned).collect()
    }

    fn settings(&self, name: &str, role: &str, ip: Ipv4Addr, first_run: bool) -> String {
        let (class, serves, memory, disk) = match role {
            "proxy" => ("counter", "counter", PROXY_MEMORY_MB, 0),
            _ => ("sorting", "control", CONTROLLER_MEMORY_MB, 256),
        };
        let posts = match role {
            "proxy" => format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n"),
            _ => format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
        };
        let store = match role {
            "proxy" => String::new(),
            _ => format!("store_dir = \"{}\"\n", self.dir.join(name).display()),
        };
        let seeds: Vec<String> = (1..=self.controllers.min(3))
            .map(|n| format!("\"{}:{CONTROL_PORT}\"", self.controller_ip(n)))
            .collect();
        format!(
            "[self]\nnode = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\ncarries = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{ZONE}\"\nregion = \"cantabrico\"\ncounted_loss = {}\nfirst_run = {first_run}\n{store}\
             [self.allowances]\ncpu_portion = 0.2\ncore_count = 1\nmemory_mb = {memory}\nfile_handles = 4100\n\
             link_mbps = 1000.0\ndisk_mb = {disk}\n\
             [network]\ninner_ports = [{}, {}]\nseed_depots = [{}]\n[network.posts]\n{posts}\
             [network.zones]\n{ZONE} = \"cantabrico\"\n\
             [carrier]\nfind_by = \"carrier\"\nentrance = \"vip\"\nbeat = \"1500ms\"\nconfig_kind = \"highest\"\n\
             [carrier.carrier_api]\naddress = \"{}:{PLATFORM_PORT}\"\nper_s = {PER_S}.0\nrounds = []\nlag = \"{}ms\"\n\
             [provisions]\nagreements = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"rollout\"]\n\
             [provisions.withstand]\nmachines = 1\nzones = 0\nregions = 0\n\
             [provisions.guarantees]\nseed_lag = \"3s\"\nreuse_after = \"2s\"\ncontact = \"3000ms\"\nreceipt = \"5000ms\"\n\
             catch_up = \"4s\"\ndrain = \"2500ms\"\ngrace = \"6s\"\nlost_slack = \"200ms\"\nedition_time = \"2500ms\"\n\
             back_slack = \"250ms\"\nouter = \"8000ms\"\nretry_ratio = 0.2\nretry_window = \"10s\"\nretry_slack = 58\n\
             expose_share = 0.1\nexpose_slack = 50\nrecall = \"5000ms\"\nrecover = \"15s\"\n",
            role != "proxy", INNER_PORTS.0, INNER_PORTS.1, seeds.join(", "), self.ip(1), LAG.as_millis(),
        )
    }

    /// Starts an agent, for the first time or again.
    pub fn start_agent(&self, role: &str, n: u8, first_run: bool) {
        let name = format!("{role}-{n}");
        let ip = if role == "proxy" {
            self.proxy_ip(n)
        } else {
            self.controller_ip(n)
        };
        let path = self.dir.join(format!("{name}.toml"));
        let _ = std::fs::create_dir_all(self.dir.join(&name));
        if std::fs::write(&path, self.settings(&name, role, ip, first_run)).is_err() {
            cannot_run(Some(self), "settings can't be written");
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")));
        let words = self.command(role);
        let mut command = Command::new(self.root.join(words.first().map_or("", String::as_str)));
        command
            .args(words.iter().skip(1))
            .current_dir(&self.root)
            .env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command
            .env("MAGPIELINE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        if let Ok(log) = log {
            command.stderr(log);
        }
        match command.spawn() {
            Ok(child) => {
                self.note_pid(child.id());
                self.record(&format!("{name} starts at {ip}, process {}", child.id()));
                if let Some(mut old) = self.children.lock().unwrap().insert(name, child) {
                    let _ = old.kill();
                    let _ = old.wait();
                }
            }
            Err(error) => cannot_run(Some(self), &format!("{name}: {error}")),
        }
    }

    /// Tells the script which process to end, should it be ended itself.
    fn note_pid(&self, pid: u32) {
        if let Some(path) = std::env::var_os("REVIEW_PIDS") {
            if let Ok(mut file) = File::options().create(true).append(true).open(path) {
                let _ = writeln!(file, "{pid}");
            }
        }
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.lock().unwrap().get(name).map(Child::id)
    }

    /// Sends a signal to a process that this case has started.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(pid) = self.pid(name) {
            self.record(&format!("{name} gets SIG{signal}"));
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// Kills a process, and waits until it is gone.
    pub fn kill(&self, name: &str) {
        let child = self.children.lock().unwrap().remove(name);
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.record(&format!("{name} is killed"));
        }
    }

    /// Whether a process has ended by itself; with its status.
    pub fn ended(&self, name: &str) -> Option<String> {
        let mut children = self.children.lock().unwrap();
        let child = children.get_mut(name)?;
        child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Lines of a process's log that hold a text.
    pub fn log_lines(&self, name: &str, text: &str) -> Vec<String> {
        let log = std::fs::read(self.dir.join(format!("{name}.log"))).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    // ------------------------------------------------ the platform

    /// Serves the list of appliances.
    pub fn start_platform(self: &Arc<World>) {
        let at = SocketAddrV4::new(self.ip(1), PLATFORM_PORT);
        let Ok(listener) = TcpListener::bind(at) else {
            cannot_run(Some(self), "the platform's address is taken")
        };
        let (world, calls) = (self.clone(), Arc::new(Mutex::new((0u64, 0u32))));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, calls) = (world.clone(), calls.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(request)) = reader.message() {
                        let is_allowed = {
                            let (second, mut calls) =
                                (world.started.elapsed().as_secs(), calls.lock().unwrap());
                            *calls = if calls.0 == second {
                                (second, calls.1 + 1)
                            } else {
                                (second, 1)
                            };
                            calls.1 <= PER_S
                        };
                        let (status, body) = match is_allowed {
                            true => ("200 OK", world.list(&request.first)),
                            false => ("429 Too Many Requests", String::new()),
                        };
                        let answer = format!(
                            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if writer.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn list(&self, request: &str) -> String {
        let now = Instant::now();
        let appliances = self.appliances.lock().unwrap();
        let shown = appliances
            .iter()
            .filter(|l| now >= l.shown_from && l.gone_from.is_none_or(|at| now < at));
        let page = request.split("page=p-").nth(1).and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<usize>()
                .ok()
        });
        let from = page.unwrap_or(0);
        let shown: Vec<_> = shown.collect();
        let entries: Vec<String> = shown
            .iter()
            .skip(from)
            .take(50)
            .map(|l| {
                let a = &l.appliance;
                let leaves = l.closing_shown_from.is_some_and(|at| now >= at);
                format!(
                    "\"{}\":{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"edition\":\"{}\",\"berths\":{},\
                     \"state\":\"{}\",\"cold_left\":\"0ms\"}}",
                    a.id, a.service, a.address, a.edition, a.berths, if leaves { "closing_out" } else { "ready" }
                )
            })
            .collect();
        let next = if from + 50 < shown.len() {
            format!("\"p-{}\"", from + 50)
        } else {
            "null".into()
        };
        format!(
            "{{\"appliances\":{{{}}},\"next\":{next}}}",
            entries.join(",")
        )
    }

    /// Starts appliances of a service.
    pub fn start_appliances(
        self: &Arc<World>,
        service: &str,
        edition: &str,
        count: usize,
        work: &Work,
    ) -> Vec<Arc<Appliance>> {
        let mut started = Vec::new();
        for _ in 0..count {
            let Ok(listener) = TcpListener::bind(SocketAddrV4::new(self.ip(1), 0)) else {
                cannot_run(Some(self), "no port for an appliance")
            };
            let Ok(std::net::SocketAddr::V4(address)) = listener.local_addr() else {
                cannot_run(Some(self), "no address for an appliance")
            };
            let appliance = Arc::new(Appliance {
                id: format!("i-{:04x}", self.next_id.fetch_add(1, Ordering::SeqCst)),
                service: service.to_owned(),
                edition: edition.to_owned(),
                address,
                work: work.clone(),
                berths: work.berths,
                closing: AtomicBool::new(false),
                crashed: AtomicBool::new(false),
                running: Mutex::new(0),
                berth_free: Condvar::new(),
                waiting: AtomicUsize::new(0),
                open: Mutex::default(),
                ran: self.ran.clone(),
            });
            let serving = appliance.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    if serving.crashed.load(Ordering::SeqCst) {
                        return;
                    }
                    let serving = serving.clone();
                    thread::spawn(move || serving.serve(stream));
                }
            });
            self.appliances.lock().unwrap().push(Listed {
                appliance: appliance.clone(),
                shown_from: Instant::now() + LAG,
                closing_shown_from: None,
                gone_from: None,
            });
            started.push(appliance);
        }
        self.record(&format!(
            "{count} appliances of {service}, edition {edition}, start"
        ));
        started
    }

    /// An appliance crashes for good. It stays on the list for some seconds.
    pub fn crash(&self, appliance: &Arc<Appliance>) {
        appliance.crash();
        let gone_from = Instant::now() + CRASHED_LISTED_FOR;
        for listed in self.appliances.lock().unwrap().iter_mut() {
            if listed.appliance.id == appliance.id {
                listed.gone_from = Some(gone_from);
            }
        }
        self.record(&format!(
            "{} of {} {} crashes for good",
            appliance.id, appliance.service, appliance.edition
        ));
    }

    /// An appliance is emptied and taken away: listed as leaving, it serves on for `drain` and a little longer, then it is gone.
    pub fn scale_in(self: &Arc<World>, appliance: &Arc<Appliance>) {
        let shown = Instant::now() + LAG;
        let gone = shown + ms(2500) + ms(1500);
        for listed in self.appliances.lock().unwrap().iter_mut() {
            if listed.appliance.id == appliance.id {
                (listed.closing_shown_from, listed.gone_from) = (Some(shown), Some(gone));
            }
        }
        self.record(&format!(
            "{} of {} is to leave: closing_out on the list from {:.1} s on, gone at {:.1} s",
            appliance.id,
            appliance.service,
            self.seconds() + 0.8,
            self.seconds() + 4.8
        ));
        let (world, appliance) = (self.clone(), appliance.clone());
        thread::spawn(move || {
            thread::sleep(LAG);
            appliance.closing.store(true, Ordering::SeqCst);
            thread::sleep(gone.saturating_duration_since(Instant::now()));
            appliance.crash();
            world.record(&format!("{} is gone", appliance.id));
        });
    }

    /// What the platform sees at a proxy's `ready` address: a status, 0 for silence.
    pub fn ready(&self, n: u8) -> u16 {
        let at = SocketAddrV4::new(self.proxy_ip(n), READY_PORT);
        let head = format!("GET /v1/ready HTTP/1.1\r\nHost: {at}\r\n\r\n");
        call(at, &head, b"", ms(1000)).map_or(0, |answer| answer.status())
    }

    /// Waits until a proxy calls itself ready.
    pub fn until_ready(&self, n: u8, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.ready(n) == 200 {
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }

    // ------------------------------------------------ the operator

    /// Sends an order as the operator does: to one controller after the other, 307 followed twice, until it has a clear answer.
    pub fn order(&self, what: &str, query: &str, body: &str, within: Duration) -> Option<Message> {
        let until = Instant::now() + within;
        let mut pause = ms(100);
        let mut n = 0u8;
        while Instant::now() < until {
            n = n % self.controllers + 1;
            let mut to = SocketAddrV4::new(self.controller_ip(n), CONTROL_PORT);
            for _ in 0..3 {
                let head = format!(
                    "POST /v1/rpc?{query} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                // A second of silence; more for large bodies, and for a configuration that spreads first.
                let Ok(answer) = call(to, &head, body.as_bytes(), ms(4000)) else {
                    break;
                };
                let status = answer.status();
                let location = answer.header("location").and_then(|l| {
                    l.strip_prefix("http://")?
                        .split('/')
                        .next()?
                        .parse::<SocketAddrV4>()
                        .ok()
                });
                match (status, location) {
                    (307, Some(address)) => to = address,
                    (408 | 429 | 500..=599 | 307, _) => break,
                    _ => {
                        self.record(&format!(
                            "operator: {what}: {status} from {to} {}",
                            short(&answer.text())
                        ));
                        return Some(answer);
                    }
                }
            }
            thread::sleep(pause);
            pause = (pause * 2).min(ms(800));
        }
        self.record(&format!(
            "operator: {what}: no clear answer within {:.1} s",
            within.as_secs_f64()
        ));
        None
    }
}

pub fn short(text: &str) -> String {
    let line: String = text.chars().take(160).filter(|c| *c != '\n').collect();
    line
}

/// Whether the disruption is left out.
pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
