//! One play: a proxy, its clients and appliances, what changes meanwhile, and what is checked at the end.

use crate::appliance::{self, Mood};
use crate::book::{Book, InForce, Listing, Micros, Noted, Pages};
use crate::stream::{pair, End};
use crate::{client, dice, Dice, GRACE};
use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::messages::{Endpoint, EndpointState, EndpointUpdate};
use magpieline_control_plane::state_machine::{ServiceState, StoredConfig};
use magpieline_gateway::proxy::connector::{Connector, Stream};
use magpieline_gateway::proxy::{close_idle_connections, listener, Proxy};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const SETTINGS: &str = r#"
[self]
node = "n-1"
machine_class = "proxy"
ip = "127.0.0.1"
zone = "a"
region = "r"
[network]
inner_ports = [7720,7735]
seed_depots = ["127.0.0.1:8166"]
[carrier.carrier_api]
address = "127.0.0.1:8169"
[provisions.guarantees]
edition_time = "1s"
grace = "6s"
retry_ratio = 0.5
retry_slack = 1000
"#;

/// By an edition that is no longer in force nothing is sent later than this: less than any guarantee.
const OVERTAKEN: Micros = 2_000;
/// A configuration is known to clients so long before the proxy, at most: the guarantee, less some room.
const BEHIND: u64 = 950;

/// A play's parts that its clients need.
pub struct World {
    pub book: Book,
    pub calm: bool,
    pub late: u32,
    pub give_up: Micros,
    proxy: Arc<Proxy>,
    served: Mutex<Vec<JoinHandle<()>>>,
}

impl World {
    pub fn leaving(&self) -> bool {
        self.proxy.is_shutting_down()
    }

    /// How long a connection may rest, as its client knows.
    pub fn idle(&self) -> Micros {
        self.book.open().idle
    }

    /// A client has connected.
    pub fn serve(&self, far: End) {
        let task = tokio::spawn(listener::serve_connection(self.proxy.clone(), far));
        self.served
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(task);
    }
}

/// How a play went.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub wrong: Vec<String>,
    pub requests: u64,
    pub arrivals: u64,
    pub served: u64,
    /// How often what was met.
    pub met: BTreeMap<&'static str, u64>,
}

/// What a play holds.
#[derive(Clone, Copy, Debug)]
struct Plot {
    mood: Mood,
    calm: bool,
    late: u32,
    /// Of so many connections one does not come up, or slowly; 0: none.
    dark: u32,
    /// Of so many connections one is reset after some bytes; 0: none.
    torn: u32,
    changes: bool,
    lists: bool,
    leaves: Option<u64>,
    clients: usize,
}

fn plot(dice: &mut Dice, even: bool) -> Plot {
    let calm = dice.gen_ratio(1, 10);
    let some = |dice: &mut Dice, of: [u32; 4]| if calm { 0 } else { of[dice.gen_range(0..4)] };
    Plot {
        calm,
        mood: Mood {
            odd: some(dice, [0, 2, 4, 10]),
            forgets: some(dice, [0, 0, 2, 6]),
            work: if calm {
                100
            } else {
                [30, 200, 600, 2_500][dice.gen_range(0..4)]
            },
        },
        late: [0, 3, 10, 40][dice.gen_range(0..4)],
        dark: some(dice, [0, 0, 3, 8]),
        torn: some(dice, [0, 0, 3, 8]),
        // On some calm days editions change while connections come up slowly: nobody may notice.
        changes: if calm { even } else { dice.gen() },
        lists: !calm && dice.gen(),
        leaves: (!calm && dice.gen_ratio(1, 3)).then(|| dice.gen_range(100..3_000)),
        clients: dice.gen_range(1..7),
    }
}

fn edition(number: u64, safe: &str, once: &str, give_up: u64, idle: u64) -> String {
    format!(
        r#"{{"edition":{number},"allowances":{{"header_bytes":2000,"body_bytes":5000,"idle":"{idle}ms"}},
"fleets":[{{"name":"s"}},{{"name":"t"}}],"wickets":[{{"depot":"h","regulations":[
{{"name":"r","sort":"safe","target":"1s","sorting":{{"lane_prefix":"/safe/"}},"dispatch":{{"service":"{safe}","give_up":"{give_up}ms","tries":3}}}},
{{"name":"u","sort":"unsafe","target":"1s","sorting":{{"lane_prefix":"/once/"}},"dispatch":{{"service":"{once}","give_up":"{give_up}ms","tries":3}}}}]}}]}}"#
    )
}

async fn change(proxy: &Proxy, book: &Book, number: u64, give_up: u64, dice: &mut Dice) {
    let service = |dice: &mut Dice| if dice.gen() { "s" } else { "t" };
    let (safe, once, idle) = (
        service(dice),
        service(dice),
        [4_000, 9_000, 15_000][dice.gen_range(0..3)],
    );
    let to =
        [("/safe/", safe), ("/once/", once)].map(|(prefix, to)| (prefix.to_owned(), to.to_owned()));
    book.open().idle = idle * 1000;
    if number > 1 {
        sleep(Duration::from_millis(dice.gen_range(0..BEHIND))).await;
    }
    proxy.apply_config(&StoredConfig {
        version: number,
        text: edition(number, safe, once, give_up, idle).into(),
    });
    let at = book.now();
    book.open().editions.push(InForce {
        at,
        number,
        to: to.into(),
    });
}

/// An appliance's version, by its place.
fn version(address: SocketAddrV4) -> &'static str {
    ["v2", "v1"][address.ip().octets()[3] as usize % 2]
}

fn endpoint(service: &str, address: SocketAddrV4, state: EndpointState) -> Endpoint {
    Endpoint {
        service: service.into(),
        address,
        zone: "a".into(),
        version: version(address).into(),
        concurrency: 30,
        state,
        warmup_left: 0,
    }
}

fn address(place: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, place].into(), 80)
}

/// Tells the proxy of one appliance: an open one, a closing one, or that it is gone.
fn tell(
    proxy: &Proxy,
    book: &Book,
    id: &str,
    service: &str,
    place: u8,
    state: Option<EndpointState>,
) {
    let entries = vec![(
        id.into(),
        state.map(|state| endpoint(service, address(place), state)),
    )];
    {
        let mut pages = book.open();
        let open = state == Some(EndpointState::Ready);
        if open {
            pages.there.insert(address(place), id.into());
        }
        let new = Listing {
            id: id.into(),
            service: service.into(),
            version: version(address(place)).into(),
            open,
        };
        match pages.listed.get_mut(&address(place)) {
            Some(old) if old.id == id => *old = new,
            Some(_) if !open => {}
            _ => drop(pages.listed.insert(address(place), new)),
        }
    }
    proxy.apply_endpoints(&EndpointUpdate {
        is_full: false,
        endpoints: entries,
    });
}

/// The list changes: appliances close, are gone, and others take their places, at new addresses or theirs.
async fn lists(proxy: Arc<Proxy>, book: Book, mut dice: Dice) {
    // Two of each service; those in the places 1 and 3 stay.
    let mut born = 10;
    let mut now: Vec<(String, &str, u8)> = vec![("i-2".into(), "s", 2), ("i-4".into(), "t", 4)];
    loop {
        sleep(Duration::from_millis(dice.gen_range(1..400))).await;
        let at = dice.gen_range(0..now.len());
        let (id, service, place) = now[at].clone();
        if dice.gen() {
            tell(
                &proxy,
                &book,
                &id,
                service,
                place,
                Some(EndpointState::Draining),
            );
            sleep(Duration::from_millis(dice.gen_range(0..200))).await;
        }
        born += 1;
        if dice.gen_ratio(1, 4) {
            // Another one is at its address before that is told.
            book.open()
                .there
                .insert(address(place), format!("i-{born}"));
            sleep(Duration::from_millis(dice.gen_range(0..200))).await;
        }
        tell(&proxy, &book, &id, service, place, None);
        let new = (
            format!("i-{born}"),
            if service == "s" { "t" } else { "s" },
            if dice.gen() { place } else { born },
        );
        tell(
            &proxy,
            &book,
            &new.0,
            new.1,
            new.2,
            Some(EndpointState::Ready),
        );
        book.met("appliance replaced");
        now[at] = new;
    }
}

fn dial(book: Book, plot: Plot, seed: u64) -> Connector {
    let chance = Arc::new(Mutex::new(dice(seed)));
    Arc::new(move |to, within| {
        let mut dice = dice(chance.lock().unwrap_or_else(PoisonError::into_inner).gen());
        let book = book.clone();
        Box::pin(async move {
            // Whom the proxy means is who is listed there when it begins.
            let listed = book.open().listed.get(&to).cloned();
            let dark = plot.dark > 0 && dice.gen_ratio(1, plot.dark);
            if dark && dice.gen() {
                book.met("no connection");
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            }
            let pause = match plot.calm && plot.changes {
                true => dice.gen_range(0..200) * 1000,
                false if dark => dice.gen_range(0..600) * 1000,
                false => 0,
            };
            if pause > within {
                book.met("no connection");
                sleep(Duration::from_micros(within)).await;
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            sleep(Duration::from_micros(pause)).await;
            let Some(listed) = listed else {
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            };
            let connection = {
                let mut pages = book.open();
                pages.connections += 1;
                pages.connections
            };
            let own = book
                .open()
                .there
                .get(&to)
                .cloned()
                .unwrap_or_else(|| listed.id.clone());
            let noted = Noted {
                book: book.clone(),
                connection,
                address: to,
                listed,
                left: 0,
            };
            let (near, far) = pair(&mut dice, plot.late, Some(Box::new(noted)));
            if plot.torn > 0 && dice.gen_ratio(1, plot.torn) {
                book.met("reset in the middle of a request");
                far.reset_after(dice.gen_range(1..2_000));
            }
            tokio::spawn(appliance::serve(
                far, own, connection, plot.mood, book, dice,
            ));
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    })
}

/// Services move from one version to another and back.
async fn moves(proxy: Arc<Proxy>, book: Book, mut dice: Dice) {
    loop {
        sleep(Duration::from_millis(dice.gen_range(1..300))).await;
        let service = if dice.gen() { "s" } else { "t" };
        let to = if dice.gen() { "v1" } else { "v2" };
        let since = book.now();
        book.open()
            .stands
            .insert(service.into(), (to.into(), since));
        proxy.apply_services(vec![(
            service.into(),
            ServiceState {
                version: Some(to.into()),
                ..ServiceState::default()
            },
        )]);
        book.met("version changed");
    }
}

/// Plays a seed.
pub fn play(seed: u64) -> Played {
    played_by(seed, false)
}

/// Plays a seed in which the services move between versions, too.
pub fn play_with_versions(seed: u64) -> Played {
    played_by(seed, true)
}

fn played_by(seed: u64, versions: bool) -> Played {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(played(seed, versions))
}

async fn played(seed: u64, versions: bool) -> Played {
    let mut chance = dice(seed);
    let plot = plot(&mut chance, seed.is_multiple_of(2));
    let book = Book::new();
    let machine = Arc::new(NodeSettings::parse(SETTINGS).expect("sound settings"));
    let held = tokio::sync::watch::channel(machine);
    let proxy = Arc::new(Proxy::new(
        held.1,
        seed,
        dial(book.clone(), plot, chance.gen()),
    ));
    let give_up = if plot.calm {
        9_000
    } else {
        [300, 1_500, 4_000][chance.gen_range(0..3)]
    };
    change(&proxy, &book, 1, give_up, &mut chance).await;
    for (place, service) in [(1, "s"), (2, "s"), (3, "t"), (4, "t")] {
        tell(
            &proxy,
            &book,
            &format!("i-{place}"),
            service,
            place,
            Some(EndpointState::Ready),
        );
    }
    proxy.on_confirmed();
    proxy.set_proxies(1);
    proxy.on_confirmed();
    let mut beside = vec![tokio::spawn(close_idle_connections(proxy.clone()))];
    if versions && !plot.calm {
        beside.push(tokio::spawn(moves(
            proxy.clone(),
            book.clone(),
            dice(!seed),
        )));
    }
    if plot.lists {
        beside.push(tokio::spawn(lists(
            proxy.clone(),
            book.clone(),
            dice(chance.gen()),
        )));
    }
    if plot.changes {
        let (proxy, book, mut dice) = (proxy.clone(), book.clone(), dice(chance.gen()));
        beside.push(tokio::spawn(async move {
            for number in 2.. {
                sleep(Duration::from_millis(dice.gen_range(1..1_500))).await;
                change(&proxy, &book, number * 3, give_up, &mut dice).await;
                book.met("edition changed");
            }
        }));
    }
    if let Some(at) = plot.leaves {
        let (proxy, book) = (proxy.clone(), book.clone());
        beside.push(tokio::spawn(async move {
            sleep(Duration::from_millis(at)).await;
            let now = book.now();
            book.open().leaves = Some(now);
            book.met("SIGTERM");
            proxy.shut_down();
        }));
    }
    let world = Arc::new(World {
        book: book.clone(),
        calm: plot.calm,
        late: plot.late,
        give_up: give_up * 1000,
        proxy: proxy.clone(),
        served: Mutex::default(),
    });
    let clients: Vec<JoinHandle<()>> = (0..plot.clients)
        .map(|n| tokio::spawn(client::run(world.clone(), n, dice(chance.gen()))))
        .collect();
    for client in clients {
        if client.await.is_err() {
            book.wrong("a client broke".into());
        }
    }
    let served = std::mem::take(&mut *world.served.lock().unwrap_or_else(PoisonError::into_inner));
    for task in served {
        match timeout(Duration::from_secs(40), task).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => book.wrong(format!("a connection broke: {e}")),
            Err(_) => book.wrong("a connection never ends".into()),
        }
    }
    if plot.leaves.is_some() {
        if !proxy.is_shutting_down() {
            proxy.shut_down();
        }
        proxy.drained().await;
        let now = book.now();
        let mut pages = book.open();
        let early = pages.leaves.is_some_and(|l| now < l + GRACE / 2);
        let Pages {
            at_work,
            sent,
            wrong,
            ..
        } = &mut *pages;
        for id in at_work.values().filter(|_| early) {
            if sent
                .get(id)
                .and_then(|s| s.first())
                .is_some_and(|s| now + 1_000 < s.due)
            {
                wrong.push(format!(
                    "{id} was broken off at work by the end of the process"
                ));
            }
        }
    } else {
        // What comes later than all answers may still run, and may not be answered for.
        sleep(Duration::from_secs(10)).await;
    }
    beside.iter().for_each(JoinHandle::abort);
    let mut pages = book.open();
    let wrong = checked(&pages);
    pages.wrong.extend(wrong);
    let answers = pages
        .sent
        .values()
        .flatten()
        .filter(|s| s.answer.is_some_and(|(status, _)| status == 200));
    Played {
        requests: pages.sent.values().map(|s| s.len() as u64).sum(),
        arrivals: pages.arrivals.len() as u64,
        served: answers.count() as u64,
        wrong: std::mem::take(&mut pages.wrong),
        met: std::mem::take(&mut pages.met),
    }
}

/// What is wrong with what was seen, as a whole.
fn checked(pages: &Pages) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut by_id: BTreeMap<&str, Vec<&crate::book::Arrival>> = BTreeMap::new();
    for arrival in &pages.arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    for (id, arrivals) in &by_id {
        let Some(all) = pages.sent.get(*id) else {
            wrong.push(format!("{id} was sent by nobody"));
            continue;
        };
        if all.iter().all(|s| s.last.is_none()) {
            wrong.push(format!("{id} was passed on before it had come whole"));
        }
        let once = arrivals[0].once;
        let open = arrivals.iter().position(|a| a.cleared.is_none());
        if let Some(open) = open.filter(|open| once && open + 1 < arrivals.len()) {
            wrong.push(format!(
                "{id} may run once only and was sent on after {:?}",
                arrivals[open]
            ));
        }
        let promised = all
            .iter()
            .filter_map(|s| s.answer)
            .find(|(s, _)| matches!(s, 408 | 421 | 429 | 503));
        if let (true, Some(_), Some((status, _))) = (once, open, promised) {
            wrong.push(format!("{id} was answered with {status}, and may have run"));
        }
        if all.iter().all(|s| s.unread) {
            wrong.push(format!(
                "{id} was passed on behind an answer that closes: {:?}",
                arrivals[0]
            ));
        }
        // Time counts from when its head was read: a moment after its last byte was sent, at the latest.
        let due = all
            .iter()
            .map(|s| s.last.unwrap_or(s.first) + s.span)
            .max()
            .unwrap_or(0)
            + 5_000;
        if let Some(late) = arrivals.iter().find(|a| a.at > due) {
            wrong.push(format!("{id} was passed on after {due}: {late:?}"));
        }
        let known = arrivals
            .iter()
            .all(|a| a.cleared.is_some_and(|at| at + 50_000 < due));
        if known && all.len() == 1 && matches!(all[0].answer, Some((502 | 504, true))) {
            wrong.push(format!(
                "{id} never ran, and was answered as if it might have: {:?}",
                all[0]
            ));
        }
        if all.len() == 1 {
            arrivals
                .iter()
                .filter(|a| a.cleared.is_none())
                .for_each(|a| wrong.extend(outdated(pages, &all[0], a)));
        }
    }
    for (id, all) in &pages.sent {
        let never = !by_id.contains_key(id.as_str());
        let failed = all
            .iter()
            .any(|s| matches!(s.answer, Some((502 | 504, true))));
        if never && failed && all.len() == 1 {
            wrong.push(format!(
                "{id} was answered as if it might have run: {:?}",
                all[0]
            ));
        }
    }
    wrong
}

/// Whether a request went where only an edition allowed that was not in force any more.
fn outdated(
    pages: &Pages,
    sent: &crate::book::Sent,
    arrival: &crate::book::Arrival,
) -> Option<String> {
    let from = sent.last.unwrap_or(sent.first);
    let mut allowed = BTreeSet::new();
    for (i, edition) in pages.editions.iter().enumerate() {
        let until = pages
            .editions
            .get(i + 1)
            .map_or(Micros::MAX, |next| next.at);
        if edition.at <= arrival.at
            && until >= from
            && arrival.at <= until.saturating_add(OVERTAKEN)
        {
            allowed.extend(
                edition
                    .to
                    .iter()
                    .filter(|(p, _)| arrival.id_path_begins(p))
                    .map(|(_, s)| s.clone()),
            );
        }
    }
    (!allowed.contains(&arrival.service))
        .then(|| format!("{arrival:?} goes by an older edition than {sent:?} allows"))
}

impl crate::book::Arrival {
    fn id_path_begins(&self, prefix: &str) -> bool {
        (prefix == "/once/") == self.once
    }
}
