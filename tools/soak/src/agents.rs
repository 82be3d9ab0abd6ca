//! The agents: the real program as processes on loopback, each at an address of its own, started again when it has ended.

use crate::checks::{GRACE, MEMORY_MB};
use crate::plan::{Agent, Size};
use crate::recorder::{Recorder, Shutdown};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// Between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The platform kills what has not ended by then.
const KILL_AFTER: Duration = Duration::from_micros(GRACE);
/// How often it is looked whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const CONTROL_PORT: u16 = 7080;
const CLIENT_PORT: u16 = 7000;
const READINESS_PORT: u16 = 7001;
const PLATFORM_PORT: u16 = 7100;

/// The addresses of a run: a /16 of loopback.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network(pub(crate) u8);

impl Network {
    /// Returns the address of an agent.
    fn address(self, agent: Agent) -> Ipv4Addr {
        let (third, fourth) = match agent {
            Agent::Controller(number) => (1, number),
            Agent::Proxy(number) => (2 + number / 200, number % 200),
        };
        Ipv4Addr::new(127, self.0, third as u8, fourth as u8 + 1)
    }

    pub(crate) fn platform(self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.0, 0, 1), PLATFORM_PORT)
    }

    pub(crate) fn clients(self, proxy: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(Agent::Proxy(proxy)), CLIENT_PORT)
    }

    pub(crate) fn readiness(self, proxy: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(Agent::Proxy(proxy)), READINESS_PORT)
    }

    pub(crate) fn control(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(Agent::Controller(controller)), CONTROL_PORT)
    }
}

struct Process {
    child: Child,
    pid: Pid,
    /// It got a signal that ends it.
    is_ending: bool,
}

/// All agents of a run.
pub(crate) struct Agents {
    program: PathBuf,
    dir: PathBuf,
    network: Network,
    size: Size,
    recorder: Recorder,
    processes: Mutex<BTreeMap<Agent, Process>>,
}

impl Agents {
    /// Starts all agents. `dir` takes settings, stores and logs.
    pub(crate) fn start(
        program: &Path,
        dir: &Path,
        network: Network,
        size: Size,
        recorder: Recorder,
    ) -> std::io::Result<Agents> {
        let agents = Agents {
            program: program.to_owned(),
            dir: dir.to_owned(),
            network,
            size,
            recorder,
            processes: Mutex::default(),
        };
        let controllers = (0..size.controllers).map(Agent::Controller);
        for agent in controllers.chain((0..size.proxies).map(Agent::Proxy)) {
            agents.write_settings(agent, true)?;
            agents.spawn(agent)?;
        }
        Ok(agents)
    }

    fn processes(&self) -> MutexGuard<'_, BTreeMap<Agent, Process>> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn file(&self, agent: Agent, suffix: &str) -> PathBuf {
        let name = agent.to_string().replace(' ', "-");
        self.dir.join(format!("{name}{suffix}"))
    }

    fn write_settings(&self, agent: Agent, is_first_run: bool) -> std::io::Result<()> {
        let ip = self.network.address(agent);
        let seeds: Vec<String> = (0..self.size.controllers.min(3))
            .map(|number| format!("\"{}\"", self.network.control(number)))
            .collect();
        let (class, posts) = match agent {
            Agent::Proxy(_) => (
                "counter",
                format!("front = \"{ip}:{CLIENT_PORT}\"\nready = \"{ip}:{READINESS_PORT}\""),
            ),
            Agent::Controller(_) => ("sorting", format!("control = \"{ip}:{CONTROL_PORT}\"")),
        };
        let store = match agent {
            Agent::Proxy(_) => String::new(),
            Agent::Controller(_) => {
                let store = self.file(agent, "-store");
                std::fs::create_dir_all(&store)?;
                format!("store_dir = \"{}\"\n", store.display())
            }
        };
        let text = format!(
            "[self]\nnode = \"{agent}\"\nmachine_class = \"{class}\"\nip = \"{ip}\"\nzone = \"hall\"\nregion = \"valley\"\n\
             first_run = {is_first_run}\n{store}\
             [self.allowances]\nmemory_mb = {MEMORY_MB}\n\
             [network]\ninner_ports = [7720, 7735]\nseed_depots = [{}]\n[network.posts]\n{posts}\n\
             [network.zones]\nhall = \"valley\"\n\
             [carrier.carrier_api]\naddress = \"{}\"\nper_s = 200.0\nlag = \"200ms\"\n\
             [provisions.guarantees]\ngrace = \"6s\"\ndrain = \"2500ms\"\nedition_time = \"2500ms\"\ncontact = \"3s\"\n\
             catch_up = \"4s\"\nretry_ratio = 0.2\nretry_slack = 100\n",
            seeds.join(", "),
            self.network.platform(),
        );
        std::fs::write(self.file(agent, ".toml"), text)
    }

    fn spawn(&self, agent: Agent) -> std::io::Result<()> {
        let role = match agent {
            Agent::Proxy(_) => "proxy",
            Agent::Controller(_) => "controller",
        };
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.file(agent, ".log"))?;
        let child = Command::new(&self.program)
            .args([role, "--settings"])
            .arg(self.file(agent, ".toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = child
            .id()
            .and_then(|id| Pid::from_raw(id as i32))
            .ok_or_else(|| std::io::Error::other("the process has ended at once"))?;
        let process = Process {
            child,
            pid,
            is_ending: false,
        };
        self.processes().insert(agent, process);
        Ok(())
    }

    /// Sends a signal, unless the process is ending or gone.
    fn signal(&self, agent: Agent, signal: Signal, ends: bool) -> bool {
        let mut processes = self.processes();
        let Some(process) = processes.get_mut(&agent) else {
            return false;
        };
        if process.is_ending || matches!(process.child.try_wait(), Ok(Some(_))) {
            return false;
        }
        process.is_ending = ends;
        kill_process(process.pid, signal).is_ok()
    }

    /// Takes a process that has ended out; none while it runs.
    fn reap(&self, agent: Agent) -> Option<ExitStatus> {
        let mut processes = self.processes();
        let status = processes.get_mut(&agent)?.child.try_wait().ok()??;
        processes.remove(&agent);
        Some(status)
    }

    async fn wait_for_end(&self, agent: Agent) -> Option<ExitStatus> {
        loop {
            if let Some(status) = self.reap(agent) {
                return Some(status);
            }
            if !self.processes().contains_key(&agent) {
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn start_again(&self, agent: Agent) {
        sleep(RESTART_DELAY).await;
        let started = self
            .write_settings(agent, false)
            .and_then(|()| self.spawn(agent));
        if let Err(error) = started {
            self.recorder
                .lock()
                .exits
                .push(format!("{agent} can't be started: {error}"));
        }
    }

    /// Sends SIGHUP to an agent.
    pub(crate) fn hang_up(&self, agent: Agent) {
        self.signal(agent, Signal::HUP, false);
    }

    /// Sends SIGTERM to an agent, waits for its end, and starts it again.
    pub(crate) async fn terminate(&self, agent: Agent) {
        if !self.signal(agent, Signal::TERM, true) {
            return;
        }
        let (at, started) = (self.recorder.now(), Instant::now());
        let ended = timeout(KILL_AFTER, self.wait_for_end(agent)).await;
        let took = match ended {
            Ok(status) => {
                if let Some(status) = status.filter(|status| !status.success()) {
                    let exit = format!("{agent} ended with {status} after SIGTERM");
                    self.recorder.lock().exits.push(exit);
                }
                Some(started.elapsed().as_micros() as u64)
            }
            Err(_) => {
                self.end_by_force(agent).await;
                None
            }
        };
        self.recorder
            .lock()
            .shutdowns
            .push(Shutdown { agent, at, took });
        self.start_again(agent).await;
    }

    async fn end_by_force(&self, agent: Agent) {
        if let Some(process) = self.processes().get(&agent) {
            let _ = kill_process(process.pid, Signal::KILL);
        }
        self.wait_for_end(agent).await;
    }

    /// Kills an agent, and starts it again.
    pub(crate) async fn kill(&self, agent: Agent) {
        if self.signal(agent, Signal::KILL, true) {
            self.wait_for_end(agent).await;
            self.start_again(agent).await;
        }
    }

    /// Makes an agent stand still for some time.
    pub(crate) async fn freeze(&self, agent: Agent, time: Duration) {
        if !self.signal(agent, Signal::STOP, false) {
            return;
        }
        let pid = self.processes().get(&agent).map(|process| process.pid);
        sleep(time).await;
        // It may have been ended meanwhile, and its successor needs no signal.
        let is_same = |process: &Process| Some(process.pid) == pid;
        if self.processes().get(&agent).is_some_and(is_same) {
            if let Some(pid) = pid {
                let _ = kill_process(pid, Signal::CONT);
            }
        }
    }

    /// Records processes that have ended although nothing was done to them, and starts them again; for ever.
    pub(crate) async fn watch(&self) {
        loop {
            sleep(POLL_INTERVAL * 5).await;
            self.record_memory();
            let agents: Vec<Agent> = {
                let processes = self.processes();
                let unasked = processes.iter().filter(|(_, process)| !process.is_ending);
                unasked.map(|(agent, _)| *agent).collect()
            };
            for agent in agents {
                let Some(status) = self.reap(agent) else {
                    continue;
                };
                let exit = format!("{agent} ended by itself with {status}");
                self.recorder.lock().exits.push(exit);
                self.start_again(agent).await;
            }
        }
    }

    /// Records the most memory that each process has had.
    fn record_memory(&self) {
        let processes = self.processes();
        let peaks = &mut self.recorder.lock().memory_peaks;
        for (agent, process) in processes.iter() {
            let peak_kb = memory_kb(process.pid.as_raw_nonzero().get(), "VmHWM:");
            let known = peaks.entry(*agent).or_default();
            *known = peak_kb.max(*known);
        }
    }

    /// Records what each agent holds.
    pub(crate) fn record_resources(&self) {
        let processes = self.processes();
        let resources = processes.iter().map(|(agent, process)| {
            let pid = process.pid.as_raw_nonzero();
            (
                *agent,
                memory_kb(pid.get(), "VmRSS:"),
                descriptors(pid.get()),
            )
        });
        self.recorder.lock().resources = resources.collect();
    }
}

/// Returns a figure of a process's memory, in kB: `VmRSS:` is what it has, `VmHWM:` the most that it has had.
fn memory_kb(pid: i32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
    number.unwrap_or(0)
}

/// Returns how many descriptors a process has open.
fn descriptors(pid: i32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
