//! The control plane at the size to design for: one leader's sending state machine and as many proxies' receiving ones, in one
//! process and without a network. The proxies share one text, but each receives its chunks by itself and acknowledges them.
//! Printed: processor time of one core, bytes, memory. `docs/CAPACITY.md` says what follows.

mod texts;

use gumdrop::Options;
use magpieline_config::gateway_config::GatewayConfig;
use magpieline_control_plane::config_receiver::{ConfigReceiver, Received};
use magpieline_control_plane::config_sender::{Action, ConfigSender, Event};
use magpieline_control_plane::messages::{
    decode_frame, encode_frame, ControllerMessage, EndpointUpdate, Fenced, Hello, Report,
};
use magpieline_control_plane::proxy_registry::ProxyRegistry;
use magpieline_control_plane::state_machine::{Command, StoredConfig};
use std::collections::VecDeque;
use texts::{ListedEndpoint, Texts};

/// A leader sends a heartbeat to each proxy this often, in seconds.
const HEARTBEAT_INTERVAL_S: f64 = 0.3;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this")]
    help: bool,
    #[options(help = "proxies", default = "1400")]
    proxies: usize,
    #[options(help = "routes of the configuration", default = "37000")]
    routes: usize,
    #[options(
        help = "routes that a change adds, and as many that it alters",
        default = "5"
    )]
    change: usize,
    #[options(help = "services", default = "360")]
    services: usize,
    #[options(help = "endpoints", default = "22000")]
    endpoints: usize,
}

/// Returns the milliseconds that this process has had of a processor.
fn processor_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    stat.split(' ')
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1e6
}

/// Returns the MB of memory in use.
fn memory_mb() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    stat.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 4096.0
        / 1e6
}

/// Runs a part so many times and prints the median of what it took.
fn measure<T>(name: &str, times: usize, mut run: impl FnMut() -> T) -> T {
    let (mut spent, mut result) = (Vec::new(), None);
    for _ in 0..times {
        let started = processor_ms();
        result = Some(run());
        spent.push(processor_ms() - started);
    }
    spent.sort_by(f64::total_cmp);
    println!("{name:<66} {:>10.3} ms", spent[times / 2]);
    result.expect("run at least once")
}

fn print_value(name: &str, value: f64, unit: &str) {
    println!("{name:<66} {value:>10.1} {unit}");
}

/// What one configuration took on its way to all proxies.
#[derive(Default)]
struct Distribution {
    leader_ms: f64,
    proxies_ms: f64,
    frames: usize,
    bytes: usize,
    max_in_flight: usize,
}

/// Sends a configuration to all proxies, each of which has `current`, and back what they acknowledge.
fn distribute(
    sender: &mut ConfigSender,
    receivers: &mut [ConfigReceiver],
    current: Option<&StoredConfig>,
    events: Vec<Event>,
) -> Distribution {
    let mut distribution = Distribution::default();
    let mut next: VecDeque<Event> = events.into();
    let mut now = 0;
    while let Some(event) = next.pop_front() {
        now += 10;
        let began = processor_ms();
        let actions = sender.step(now, event);
        let sent = processor_ms();
        distribution.leader_ms += sent - began;
        distribution.max_in_flight = distribution.max_in_flight.max(sender.in_flight());
        for action in actions {
            let Action::Send { session, frame } = action else {
                continue;
            };
            distribution.frames += 1;
            distribution.bytes += frame.len();
            let Ok(Some(Fenced {
                message: ControllerMessage::ConfigChunk(chunk),
                ..
            })) = decode_frame::<Fenced<ControllerMessage>>(&mut frame.to_vec())
            else {
                panic!("a chunk was sent")
            };
            next.push_back(match receivers[session as usize].receive(current, &chunk) {
                Received::Incomplete(received) => Event::ChunkReceived {
                    session,
                    version: chunk.version,
                    received,
                },
                Received::Complete(config) => Event::ConfigApplied {
                    session,
                    version: Some(config.version),
                },
                other => panic!("{other:?}"),
            });
        }
        distribution.proxies_ms += processor_ms() - sent;
    }
    distribution
}

fn print_distribution(name: &str, distribution: &Distribution, proxies: usize) {
    println!("{name}, to {proxies} proxies:");
    print_value("  leader: processor time", distribution.leader_ms, "ms");
    print_value("  leader: bytes", distribution.bytes as f64 / 1e3, "KB");
    print_value(
        "  leader: most bytes on their way at once",
        distribution.max_in_flight as f64 / 1e3,
        "KB",
    );
    print_value("  leader: frames", distribution.frames as f64, "");
    print_value(
        "  each proxy: processor time to put it together",
        distribution.proxies_ms / proxies as f64,
        "ms",
    );
    print_value(
        "  each proxy: bytes",
        distribution.bytes as f64 / proxies as f64,
        "bytes",
    );
}

/// The configurations that are sent.
struct Configs {
    first: StoredConfig,
    /// The first one with a few routes added and altered.
    changed: StoredConfig,
    /// The changed one with a tenth more routes.
    grown: StoredConfig,
}

impl Configs {
    fn new(arguments: &Arguments, texts: &Texts) -> Configs {
        let stored = |version, routes: &[String]| StoredConfig {
            version,
            text: texts.configuration(version, routes).into(),
        };
        let mut routes = texts.routes(1, arguments.routes);
        let first = stored(1, &routes);
        for i in 0..arguments.change {
            routes[i * 7] = routes[i * 7].replace("\"tries\":2", "\"tries\":3");
        }
        routes.extend(texts.routes(2, arguments.change));
        let changed = stored(2, &routes);
        routes.extend(texts.routes(3, arguments.routes / 10));
        let grown = stored(3, &routes);
        Configs {
            first,
            changed,
            grown,
        }
    }
}

/// Measures what a controller does with a configuration.
fn measure_controller(configs: &Configs) {
    println!("\na controller");
    let base = memory_mb();
    let before = measure("  reads a configuration after none", 1, || {
        GatewayConfig::parse_after(&configs.first.text, None).expect("valid")
    });
    print_value(
        "  memory after it, on top, at most",
        memory_mb() - base,
        "MB",
    );
    let after = || GatewayConfig::parse_after(&configs.changed.text, Some(&before)).expect("valid");
    measure("  reads a change after the one before", 5, after);
    let command = measure("  packs it for the log", 5, || {
        Command::ReplaceConfig(configs.changed.clone()).encode()
    });
    let kilobytes = command.len() as f64 / 1e3;
    print_value(
        "  bytes in the log, and to each other machine",
        kilobytes,
        "KB",
    );
    measure("  reads it from the log", 5, || {
        Command::decode(&command).expect("encoded here")
    });
}

/// Measures how configurations reach all proxies.
fn measure_distribution(configs: &Configs, proxies: usize) {
    println!("\nconfigurations");
    let mut receivers: Vec<ConfigReceiver> =
        (0..proxies).map(|_| ConfigReceiver::default()).collect();
    let sessions = || 0..proxies as u64;
    let mut sender = ConfigSender::default();
    sender.step(0, Event::NewConfig(configs.first.clone()));
    for session in sessions() {
        sender.step(
            0,
            Event::Opened {
                session,
                version: Some(1),
            },
        );
    }
    let events = vec![Event::NewConfig(configs.changed.clone())];
    let change = distribute(&mut sender, &mut receivers, Some(&configs.first), events);
    print_distribution("a change", &change, proxies);
    let events = vec![Event::NewConfig(configs.grown.clone())];
    let grown = distribute(&mut sender, &mut receivers, Some(&configs.changed), events);
    print_distribution("a tenth more routes", &grown, proxies);
    let mut new_leader = ConfigSender::default();
    new_leader.step(0, Event::NewConfig(configs.grown.clone()));
    let opened = sessions()
        .map(|session| Event::Opened {
            session,
            version: None,
        })
        .collect();
    let full = distribute(&mut new_leader, &mut receivers, None, opened);
    print_distribution("the whole", &full, proxies);
    let megabytes = sender.memory_bytes() as f64 / 1e6;
    print_value(
        "  leader: memory of texts and what is told",
        megabytes,
        "MB",
    );
}

fn endpoints_message(is_full: bool, endpoints: &[ListedEndpoint]) -> Fenced<ControllerMessage> {
    Fenced {
        term: 1,
        message: ControllerMessage::Endpoints(EndpointUpdate {
            is_full,
            endpoints: endpoints.to_vec(),
        }),
    }
}

/// Measures how endpoints are sent to proxies.
fn measure_endpoints(endpoints: &[ListedEndpoint]) {
    println!("\nthe list of {} endpoints", endpoints.len());
    let full = endpoints_message(true, endpoints);
    let frame = measure("  leader: the whole as a frame, once for all", 5, || {
        encode_frame(&full)
    });
    print_value(
        "  each proxy: bytes of the whole",
        frame.len() as f64 / 1e3,
        "KB",
    );
    measure("  each proxy: reads the whole", 5, || {
        decode_frame::<Fenced<ControllerMessage>>(&mut frame.clone()).expect("encoded here")
    });
    let change = endpoints_message(false, &endpoints[..endpoints.len().min(20)]);
    let name = "  leader: twenty that have changed, as a frame";
    let frame = measure(name, 9, || encode_frame(&change));
    print_value(
        "  each proxy: bytes of twenty that have changed",
        frame.len() as f64,
        "bytes",
    );
}

/// Measures the proxies' reports, and the heartbeats to them.
fn measure_reports(proxies: usize) {
    println!("\nreports");
    let mut registry = ProxyRegistry::default();
    registry.set_leadership(Some(1));
    for session in 0..proxies as u64 {
        let hello = Hello {
            node: format!("proxy-{session}"),
            zone: "zone".to_owned(),
            incarnation: 1,
            config_version: Some(1),
            term: 1,
            sent_at: 0,
        };
        registry.register(0, session, 1, &hello);
    }
    let report = Report {
        config_version: Some(2),
        evidence: Vec::new(),
        term: 1,
        sent_at: 1,
    };
    measure(
        "  leader: a report of each proxy (each sends two a second)",
        9,
        || {
            for session in 0..proxies as u64 {
                registry.on_report(1, session, report.clone());
            }
        },
    );
    let message = ControllerMessage::Heartbeat {
        proxies: proxies as u32,
        confirmed_at: 1 << 40,
        config_version: Some(2),
    };
    let heartbeat = encode_frame(&Fenced { term: 1, message });
    let per_second = heartbeat.len() as f64 * proxies as f64 / HEARTBEAT_INTERVAL_S;
    print_value(
        "  leader: bytes of heartbeats, a second",
        per_second / 1e3,
        "KB",
    );
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let texts = Texts::new(arguments.services);
    let configs = Configs::new(&arguments, &texts);
    print_value(
        "configuration",
        configs.changed.text.len() as f64 / 1e3,
        "KB",
    );
    measure_controller(&configs);
    measure_distribution(&configs, arguments.proxies);
    measure_endpoints(&texts.endpoints(arguments.endpoints));
    measure_reports(arguments.proxies);
    print_value(
        "\nmemory of this process, with all that is above",
        memory_mb(),
        "MB",
    );
}
