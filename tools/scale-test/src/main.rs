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
use std::sync::Arc;

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
    let (mut all, mut made) = (Vec::new(), None);
    for _ in 0..times {
        let began = processor_ms();
        made = Some(run());
        all.push(processor_ms() - began);
    }
    all.sort_by(f64::total_cmp);
    println!("{name:<66} {:>10.3} ms", all[times / 2]);
    made.expect("run at least once")
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
    let (mut distribution, mut next): (Distribution, VecDeque<Event>) =
        (Distribution::default(), events.into());
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
                panic!("a piece was sent")
            };
            next.push_back(match receivers[session as usize].receive(current, &chunk) {
                Received::Incomplete(received) => Event::ChunkReceived {
                    session,
                    version: chunk.version,
                    received,
                },
                Received::Complete(config) => Event::ConfigApplied {
                    session,
                    version: config.version,
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

fn fenced(update: EndpointUpdate) -> Fenced<ControllerMessage> {
    Fenced {
        term: 1,
        message: ControllerMessage::Endpoints(update),
    }
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let texts = texts::Texts::new(arguments.services);
    let mut routes = texts.routes(1, arguments.routes);
    let text =
        |number, routes: &[String]| -> Arc<str> { texts.configuration(number, routes).into() };
    let first = StoredConfig {
        version: 1,
        text: text(1, &routes),
    };
    for i in 0..arguments.change {
        routes[i * 7] = routes[i * 7].replace("\"tries\":2", "\"tries\":3");
    }
    routes.extend(texts.routes(2, arguments.change));
    let second = StoredConfig {
        version: 2,
        text: text(2, &routes),
    };
    print_value("configuration", second.text.len() as f64 / 1e3, "KB");
    let large = text(3, &{
        let mut large = routes.clone();
        large.extend(texts.routes(3, arguments.routes / 10));
        large
    });

    println!("\na controller");
    let base = memory_mb();
    let before = measure("  reads a configuration after none", 1, || {
        GatewayConfig::parse_after(&first.text, None).expect("sound")
    });
    print_value(
        "  memory after it, on top, at most",
        memory_mb() - base,
        "MB",
    );
    let after = || GatewayConfig::parse_after(&second.text, Some(&before)).expect("sound");
    measure("  reads a change after the one before", 5, after);
    let command = measure("  packs it for the log", 5, || {
        Command::ReplaceConfig(second.clone()).encode()
    });
    print_value(
        "  bytes in the log, and to each other machine",
        command.len() as f64 / 1e3,
        "KB",
    );
    measure("  reads it from the log", 5, || {
        Command::decode(&command).expect("packed here")
    });

    println!("\nconfigurations");
    let mut receivers: Vec<ConfigReceiver> = (0..arguments.proxies)
        .map(|_| ConfigReceiver::default())
        .collect();
    let mut sender = ConfigSender::default();
    sender.step(0, Event::NewConfig(first.clone()));
    (0..arguments.proxies as u64).for_each(|session| {
        _ = sender.step(
            0,
            Event::Opened {
                session,
                version: 1,
            },
        )
    });
    let change = distribute(
        &mut sender,
        &mut receivers,
        Some(&first),
        vec![Event::NewConfig(second.clone())],
    );
    print_distribution("a change", &change, arguments.proxies);
    let large = StoredConfig {
        version: 3,
        text: large,
    };
    let grown = distribute(
        &mut sender,
        &mut receivers,
        Some(&second),
        vec![Event::NewConfig(large.clone())],
    );
    print_distribution("a tenth more routes", &grown, arguments.proxies);
    let mut anew = ConfigSender::default();
    anew.step(0, Event::NewConfig(large));
    let opened = (0..arguments.proxies as u64)
        .map(|session| Event::Opened {
            session,
            version: 0,
        })
        .collect();
    print_distribution(
        "the whole",
        &distribute(&mut anew, &mut receivers, None, opened),
        arguments.proxies,
    );
    print_value(
        "  leader: memory of texts and what is told",
        sender.memory_bytes() as f64 / 1e6,
        "MB",
    );

    println!("\nthe list of {} endpoints", arguments.endpoints);
    let list = texts.endpoints(arguments.endpoints);
    let whole = fenced(EndpointUpdate {
        is_full: true,
        endpoints: list.clone(),
    });
    let said = measure("  leader: the whole as a frame, once for all", 5, || {
        encode_frame(&whole)
    });
    print_value(
        "  each proxy: bytes of the whole",
        said.len() as f64 / 1e3,
        "KB",
    );
    measure("  each proxy: reads the whole", 5, || {
        decode_frame::<Fenced<ControllerMessage>>(&mut said.clone()).expect("encoded here")
    });
    let some = fenced(EndpointUpdate {
        is_full: false,
        endpoints: list[..list.len().min(20)].to_vec(),
    });
    let said = measure("  leader: twenty that have changed, as a frame", 9, || {
        encode_frame(&some)
    });
    print_value(
        "  each proxy: bytes of twenty that have changed",
        said.len() as f64,
        "bytes",
    );

    println!("\nreports");
    let mut registry = ProxyRegistry::default();
    registry.set_leadership(Some(1));
    for session in 0..arguments.proxies as u64 {
        let (node, zone) = (format!("proxy-{session}"), "zone".to_owned());
        registry.register(
            0,
            session,
            1,
            &Hello {
                node,
                zone,
                incarnation: 1,
                config_version: 1,
                term: 1,
                sent_at: 0,
            },
        );
    }
    measure(
        "  leader: a report of each proxy (each sends two a second)",
        9,
        || {
            for session in 0..arguments.proxies as u64 {
                registry.on_report(
                    1,
                    session,
                    Report {
                        config_version: 2,
                        evidence: Vec::new(),
                        term: 1,
                        sent_at: 1,
                    },
                );
            }
        },
    );
    let message = ControllerMessage::Heartbeat {
        proxies: arguments.proxies as u32,
        confirmed_at: 1 << 40,
        config_version: 2,
    };
    let beat = encode_frame(&Fenced { term: 1, message });
    print_value(
        "  leader: bytes of heartbeats, a second",
        beat.len() as f64 * arguments.proxies as f64 / 0.3 / 1e3,
        "KB",
    );
    print_value(
        "\nmemory of this process, with all that is above",
        memory_mb(),
        "MB",
    );
}
