//! Control at the size to design for: one leader's sending core and as many counters' receiving cores, in one process and
//! without a network. Counters are hollow: they hold on to one text together, but each takes in what it is told by itself,
//! and acknowledges it. Printed: processor time of one core, bytes, memory. `docs/CAPACITY.md` says what follows.

mod texts;

use gumdrop::Options;
use magpieline_config::gateway_config::Edition;
use magpieline_control_plane::config_receiver::{Intake, Taken};
use magpieline_control_plane::config_sender::{Action, Event, Feeds};
use magpieline_control_plane::messages::{frame, unframe, Down, Fenced, Hello, Listing, Report};
use magpieline_control_plane::proxy_registry::Roster;
use magpieline_control_plane::state_machine::{Command, Kept};
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Options)]
struct Asked {
    #[options(help = "print this")]
    help: bool,
    #[options(help = "counters", default = "1400")]
    counters: usize,
    #[options(help = "routes of the configuration", default = "37000")]
    routes: usize,
    #[options(
        help = "routes that a change adds, and as many that it alters",
        default = "5"
    )]
    change: usize,
    #[options(help = "services", default = "360")]
    services: usize,
    #[options(help = "appliances", default = "22000")]
    appliances: usize,
}

/// Milliseconds that this process has had of a processor.
fn spent() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    stat.split(' ')
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1e6
}

/// MB of memory in use.
fn memory() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    stat.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 4096.0
        / 1e6
}

/// Runs a part and tells what it took; the median of so many.
fn timed<T>(name: &str, times: usize, mut run: impl FnMut() -> T) -> T {
    let (mut all, mut made) = (Vec::new(), None);
    for _ in 0..times {
        let began = spent();
        made = Some(run());
        all.push(spent() - began);
    }
    all.sort_by(f64::total_cmp);
    println!("{name:<66} {:>10.3} ms", all[times / 2]);
    made.expect("run at least once")
}

fn told(name: &str, value: f64, unit: &str) {
    println!("{name:<66} {value:>10.1} {unit}");
}

/// What one edition took on its way to all counters.
#[derive(Default)]
struct Spread {
    leader_ms: f64,
    counters_ms: f64,
    frames: usize,
    bytes: usize,
    most_flying: usize,
}

/// Brings an edition to all counters, each holding `held`, and back what they acknowledge.
fn spread(
    feeds: &mut Feeds,
    intakes: &mut [Intake],
    held: Option<&Kept>,
    events: Vec<Event>,
) -> Spread {
    let (mut spread, mut next): (Spread, VecDeque<Event>) = (Spread::default(), events.into());
    let mut now = 0;
    while let Some(event) = next.pop_front() {
        now += 10;
        let began = spent();
        let actions = feeds.step(now, event);
        let sent = spent();
        spread.leader_ms += sent - began;
        spread.most_flying = spread.most_flying.max(feeds.flying());
        for action in actions {
            let Action::Send { link, frame } = action else {
                continue;
            };
            spread.frames += 1;
            spread.bytes += frame.len();
            let Ok(Some(Fenced {
                word: Down::Piece(piece),
                ..
            })) = unframe::<Fenced<Down>>(&mut frame.to_vec())
            else {
                panic!("a piece was sent")
            };
            next.push_back(match intakes[link as usize].take(held, &piece) {
                Taken::More(upto) => Event::Got {
                    link,
                    number: piece.number,
                    upto,
                },
                Taken::Whole(kept) => Event::Holds {
                    link,
                    edition: kept.number,
                },
                other => panic!("{other:?}"),
            });
        }
        spread.counters_ms += spent() - sent;
    }
    spread
}

fn show(name: &str, spread: &Spread, counters: usize) {
    println!("{name}, to {counters} counters:");
    told("  leader: processor time", spread.leader_ms, "ms");
    told("  leader: bytes", spread.bytes as f64 / 1e3, "KB");
    told(
        "  leader: most bytes on their way at once",
        spread.most_flying as f64 / 1e3,
        "KB",
    );
    told("  leader: frames", spread.frames as f64, "");
    told(
        "  each counter: processor time to put it together",
        spread.counters_ms / counters as f64,
        "ms",
    );
    told(
        "  each counter: bytes",
        spread.bytes as f64 / counters as f64,
        "bytes",
    );
}

fn fenced(listing: Listing) -> Fenced<Down> {
    Fenced {
        term: 1,
        word: Down::Listing(listing),
    }
}

fn main() {
    let asked = Asked::parse_args_default_or_exit();
    let texts = texts::Texts::new(asked.services);
    let mut routes = texts.routes(1, asked.routes);
    let text =
        |number, routes: &[String]| -> Arc<str> { texts.configuration(number, routes).into() };
    let first = Kept {
        number: 1,
        text: text(1, &routes),
    };
    for i in 0..asked.change {
        routes[i * 7] = routes[i * 7].replace("\"tries\":2", "\"tries\":3");
    }
    routes.extend(texts.routes(2, asked.change));
    let second = Kept {
        number: 2,
        text: text(2, &routes),
    };
    told("configuration", second.text.len() as f64 / 1e3, "KB");
    let large = text(3, &{
        let mut large = routes.clone();
        large.extend(texts.routes(3, asked.routes / 10));
        large
    });

    println!("\nan operator's machine");
    let base = memory();
    let before = timed("  reads a configuration after none", 1, || {
        Edition::read_after(&first.text, None).expect("sound")
    });
    told("  memory after it, on top, at most", memory() - base, "MB");
    let after = || Edition::read_after(&second.text, Some(&before)).expect("sound");
    timed("  reads a change after the one before", 5, after);
    let command = timed("  packs it for the log", 5, || {
        Command::Replace(second.clone()).pack()
    });
    told(
        "  bytes in the log, and to each other machine",
        command.len() as f64 / 1e3,
        "KB",
    );
    timed("  reads it from the log", 5, || {
        Command::unpack(&command).expect("packed here")
    });

    println!("\neditions");
    let mut intakes: Vec<Intake> = (0..asked.counters).map(|_| Intake::default()).collect();
    let mut feeds = Feeds::default();
    feeds.step(0, Event::Edition(first.clone()));
    (0..asked.counters as u64).for_each(|link| _ = feeds.step(0, Event::Opened { link, held: 1 }));
    let change = spread(
        &mut feeds,
        &mut intakes,
        Some(&first),
        vec![Event::Edition(second.clone())],
    );
    show("a change", &change, asked.counters);
    let large = Kept {
        number: 3,
        text: large,
    };
    let grown = spread(
        &mut feeds,
        &mut intakes,
        Some(&second),
        vec![Event::Edition(large.clone())],
    );
    show("a tenth more routes", &grown, asked.counters);
    let mut anew = Feeds::default();
    anew.step(0, Event::Edition(large));
    let opened = (0..asked.counters as u64)
        .map(|link| Event::Opened { link, held: 0 })
        .collect();
    show(
        "the whole",
        &spread(&mut anew, &mut intakes, None, opened),
        asked.counters,
    );
    told(
        "  leader: memory of texts and what is told",
        feeds.kept_bytes() as f64 / 1e6,
        "MB",
    );

    println!("\nthe list of {} appliances", asked.appliances);
    let list = texts.list(asked.appliances);
    let whole = fenced(Listing {
        whole: true,
        entries: list.clone(),
    });
    let said = timed("  leader: the whole as a frame, once for all", 5, || {
        frame(&whole)
    });
    told(
        "  each counter: bytes of the whole",
        said.len() as f64 / 1e3,
        "KB",
    );
    timed("  each counter: reads the whole", 5, || {
        unframe::<Fenced<Down>>(&mut said.clone()).expect("ours")
    });
    let some = fenced(Listing {
        whole: false,
        entries: list[..list.len().min(20)].to_vec(),
    });
    let said = timed("  leader: twenty that have changed, as a frame", 9, || {
        frame(&some)
    });
    told(
        "  each counter: bytes of twenty that have changed",
        said.len() as f64,
        "bytes",
    );

    println!("\nreports");
    let mut roster = Roster::default();
    roster.leads_in(Some(1));
    for link in 0..asked.counters as u64 {
        let (node, zone) = (format!("counter-{link}"), "zone".to_owned());
        roster.hello(
            0,
            link,
            1,
            &Hello {
                node,
                zone,
                life: 1,
                edition: 1,
                term: 1,
                at: 0,
            },
        );
    }
    timed(
        "  leader: a report of each counter (each sends two a second)",
        9,
        || {
            for link in 0..asked.counters as u64 {
                roster.report(
                    1,
                    link,
                    Report {
                        edition: 2,
                        evidence: Vec::new(),
                        term: 1,
                        at: 1,
                    },
                );
            }
        },
    );
    let word = Down::Beat {
        counters: asked.counters as u32,
        asked: 1 << 40,
        edition: 2,
    };
    let beat = frame(&Fenced { term: 1, word });
    told(
        "  leader: bytes of signs of life, a second",
        beat.len() as f64 * asked.counters as f64 / 0.3 / 1e3,
        "KB",
    );
    told(
        "\nmemory of this process, with all that is above",
        memory(),
        "MB",
    );
}
