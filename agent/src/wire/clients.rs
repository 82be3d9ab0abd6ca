//! The clients' side: reads hits, hands them to the exchange, words the answers.

use crate::memory::exchange::{Answer, Exchange};
use crate::memory::signal::Signal;
use crate::wire::door::{self, plain};
use crate::wire::line::Line;
use crate::wire::nodes::Parcel;
use crate::wire::{guarded, headers, whole, Unread, BODY_MOST};
use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// How long a client that has been answered early may go on sending what nobody reads: the answer would be
/// lost if its connection were closed under it.
const LINGER: Duration = Duration::from_secs(1);
/// Before accepting again when that failed or there is no room: some connections end in that time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// Descriptors for all but clients and nodes: log, signals, timers, list, news, votes, listener.
const OTHERS: usize = 32;
/// A connection that waits for a hit for that long is closed: clients that ask once and stay would hold all
/// places, and others allow it by then (2 s, with some room for clocks).
const IDLE: Duration = Duration::from_millis(2050);
/// A hit whose bytes have begun to come is waited for this long at least: what comes drop by drop never ends.
const PIECES: Duration = Duration::from_millis(900);
/// When room is short a connection that has been idle for that long may go: its answer is long out.
const SHORT: Duration = Duration::from_secs(1);
/// A connection that has brought nothing yet is left alone for that long: its hit may be on the way.
const GREET: Duration = Duration::from_millis(100);
/// The same for one that has been answered, while connections are many: well past the way of its answer.
const BRIEF: Duration = Duration::from_millis(250);
/// How many are asked to go at once when room is short: as many as come in a moment when hundreds do.
const AT_ONCE: usize = 8;
/// On stopping, how long a connection that came late is kept open for its first hit.
const FRESH: Duration = Duration::from_millis(300);
/// On stopping, how long after idle connections begin to close new ones are still taken. What comes later
/// could not be answered before the end that others set.
const LAST: Duration = Duration::from_millis(200);

/// A client's connection, as those see it who look for room.
struct Visit {
    /// Whether a hit of it is in hand.
    busy: Cell<bool>,
    /// Whether it has ever brought a hit.
    known: Cell<bool>,
    /// Since when it has waited for a hit.
    since: Cell<Instant>,
    /// When the first byte of that hit came.
    heard: Rc<Cell<Option<Instant>>>,
    evict: Notify,
}

impl Visit {
    fn new(heard: Rc<Cell<Option<Instant>>>) -> Visit {
        let (busy, known) = Default::default();
        Visit { busy, known, since: Instant::now().into(), heard, evict: Notify::new() }
    }

    /// It has brought one.
    fn brought(&self) {
        self.busy.set(true);
        self.known.set(true);
    }

    /// It waits for the next hit from now on.
    fn wait(&self) {
        self.busy.set(false);
        self.since.set(Instant::now());
        self.heard.set(None);
    }

    /// Whether it has waited for a hit for longer than this.
    fn waited(&self, long: Duration) -> bool {
        !self.busy.get() && self.since.get().elapsed() > long
    }

    /// Until when a hit has to have come whole.
    fn due(&self) -> Instant {
        let idle = self.since.get() + IDLE;
        self.heard.get().map_or(idle, |heard| idle.max(heard + PIECES))
    }

    /// Ends once no hit has come in time.
    async fn overdue(&self) {
        loop {
            let due = if self.busy.get() { Instant::now() + IDLE } else { self.due() };
            if due <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
        }
    }
}

/// The clients' connections, oldest first. At most so many that each could have a node's beside it.
pub struct Crowd {
    visits: RefCell<BTreeMap<u64, Rc<Visit>>>,
    next: Cell<u64>,
    most: usize,
    /// Beyond so many, a quarter of the descriptors, each new one sends an idle one away: clients may hold a
    /// third, and those that ask once and stay would use it up for all others.
    ample: usize,
}

impl Crowd {
    pub fn new(descriptors: usize) -> Crowd {
        Crowd {
            visits: RefCell::default(),
            next: Cell::default(),
            most: (descriptors.saturating_sub(OTHERS) / 2).max(1),
            ample: descriptors / 4,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.visits.borrow().is_empty()
    }

    /// Whether one more may be accepted; if not, some are asked to go: those that never brought a hit first,
    /// then those that have long been idle.
    fn room(&self, bound: usize) -> bool {
        let visits = self.visits.borrow();
        if visits.len() < self.most.min(bound) {
            return true;
        }
        let strange = visits.values().filter(|v| !v.known.get() && v.waited(GREET));
        let idle = visits.values().filter(|v| v.known.get() && v.waited(SHORT));
        strange.chain(idle).take(AT_ONCE).for_each(|v| v.evict.notify_one());
        false
    }

    /// Whether there are more than operators allow by now: each that is answered then leaves with its answer.
    fn over(&self, bound: usize) -> bool {
        self.visits.borrow().len() > bound
    }

    fn enter(&self, visit: Visit) -> (u64, Rc<Visit>) {
        if self.visits.borrow().len() >= self.ample {
            let visits = self.visits.borrow();
            let idle = visits.values().filter(|v| v.waited(BRIEF));
            idle.min_by_key(|v| v.since.get()).into_iter().for_each(|v| v.evict.notify_one());
        }
        let (place, visit) = (self.next.get(), Rc::new(visit));
        self.next.set(place + 1);
        self.visits.borrow_mut().insert(place, visit.clone());
        (place, visit)
    }
}

async fn hit(
    exchange: &Rc<Exchange>,
    visit: &Rc<Visit>,
    mut request: Request,
) -> Result<Answer, Response<BoxBody>> {
    let begun = Instant::now();
    let mut arrival = door::arrival(exchange, request.head())?;
    let body = match whole(request.take_payload(), BODY_MOST).await {
        Ok(body) => body,
        Err(Unread::TooLarge) => return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n")),
        Err(Unread::Broken(e)) => return Err(plain(StatusCode::BAD_REQUEST, format!("body: {e}\n"))),
    };
    arrival.remaining -= begun.elapsed().as_secs_f64();
    let departure = request.conn_data::<Rc<Signal>>().cloned().unwrap_or_default();
    let head = request.head();
    let Some(target) = head.uri.path_and_query().cloned() else {
        return Err(plain(StatusCode::BAD_REQUEST, "expected a path\n"));
    };
    let mut passed = HeaderMap::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        if !headers::OF_ONE_CONNECTION.contains(&name.as_str()) {
            passed.append(name.clone(), value.clone());
        }
    }
    let parcel = Parcel { method: head.method.clone(), target, headers: passed, body };
    let Some(mut ticket) = exchange.take(arrival, parcel) else {
        return Err(plain(StatusCode::CONFLICT, "a hit in hand bears this id\n"));
    };
    visit.brought();
    tokio::select! {
        biased;
        answer = ticket.answer() => return Ok(answer),
        () = departure.wait() => ticket.leave(),
    }
    // It may have ended its sending only: what is under way is still passed on.
    Ok(ticket.answer().await)
}

fn worded(answer: Answer) -> Response<BoxBody> {
    match answer {
        Answer::Delivered { kind, body } => {
            let mut response = Response::build(StatusCode::OK);
            if let Some(kind) = kind {
                response.insert_header((CONTENT_TYPE, kind));
            }
            response
                .message_body(BoxBody::new(body))
                .unwrap_or_else(|e| plain(StatusCode::BAD_GATEWAY, e.to_string()))
        }
        Answer::Bounced { again_after } => {
            let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
            if again_after > 0.0 {
                response.insert_header((RETRY_AFTER, format!("{again_after:.3}")));
            }
            response.body("try again\n").map_into_boxed_body()
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed; it may have run\n"),
    }
}

async fn respond(
    exchange: Rc<Exchange>,
    crowd: Rc<Crowd>,
    visit: Rc<Visit>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let mut response = match request.path() {
        "/up" | "/alive" if exchange.ready() => plain(StatusCode::OK, "up\n"),
        "/up" => plain(StatusCode::SERVICE_UNAVAILABLE, "not yet\n"),
        "/alive" => plain(StatusCode::OK, "alive\n"),
        _ => match guarded("clients", hit(&exchange, &visit, request)).await {
            Some(Ok(answer)) => worded(answer),
            Some(Err(response)) => response,
            None => worded(Answer::Failed),
        },
    };
    visit.wait();
    if exchange.stopping() || crowd.over(exchange.clients_most.get()) {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response)
}

/// Accepts connections until the program stops; what the kernel has accepted by then is taken first.
pub async fn serve(exchange: Rc<Exchange>, listener: Rc<TcpListener>, crowd: Rc<Crowd>) {
    let stopped = async {
        exchange.closing.wait().await;
        tokio::time::sleep(LAST).await;
    };
    tokio::pin!(stopped);
    loop {
        if !crowd.room(exchange.clients_most.get()) {
            exchange.complain("accept", "as many connections as there is room for");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut stopped => return,
        };
        match accepted {
            Ok((stream, _)) => {
                actix_rt::spawn(attend(exchange.clone(), crowd.clone(), Line::new(stream)));
            }
            Err(e) => {
                exchange.complain("accept", &e.to_string());
                exchange.drop_idle();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection to its end.
async fn attend(exchange: Rc<Exchange>, crowd: Rc<Crowd>, line: Line) {
    let ((place, visit), begun) = (crowd.enter(Visit::new(line.heard.clone())), Instant::now());
    let (own, asked, closing) = (exchange.clone(), visit.clone(), exchange.clone());
    let others = crowd.clone();
    let service = HttpService::<Line, _, _>::build()
        // The library's own time-outs would answer or close in the decisions' stead.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        .h1_allow_half_closed(true)
        .graceful_shutdown_signal(move || {
            let closing = closing.clone();
            async move {
                closing.closing.wait().await;
                tokio::time::sleep(FRESH.saturating_sub(begun.elapsed())).await;
            }
        })
        .on_connect_ext(|line: &Line, data| {
            data.insert(line.departure.clone());
        })
        .h1(fn_service(move |request| respond(own.clone(), others.clone(), asked.clone(), request)));
    let serving = async {
        if let Ok(handler) = service.new_service(()).await {
            if let Err(e) = handler.call((line, None)).await {
                log::debug!("client: {e}");
            }
        }
    };
    tokio::select! {
        _ = guarded("clients", serving) => {}
        () = visit.evict.notified() => {}
        () = visit.overdue() => {}
    }
    crowd.visits.borrow_mut().remove(&place);
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;

    const SERVED: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/odd\r\ncontent-length: 4\r\n\r\nbody";
    const HIT: &str = "GET /read/x HTTP/1.1\r\nhost: a\r\nx-txn: 1\r\nx-remaining-ms: 400\r\n\r\n";

    /// Opens a connection to a front over these nodes.
    async fn opened(exchange: &Rc<Exchange>) -> TcpStream {
        let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(serve(exchange.clone(), listener, Rc::new(Crowd::new(100))));
        TcpStream::connect(address).await.expect("connected")
    }

    async fn asked(stream: &mut TcpStream, text: &str) -> String {
        write(stream, text).await;
        message(stream).await
    }

    #[test]
    fn a_hit_gets_the_node_s_body_and_the_connection_stays() {
        run(async {
            let exchange = exchange_of(&[answering(SERVED).await]);
            let mut stream = opened(&exchange).await;
            for _ in 0..2 {
                let answer = asked(&mut stream, HIT).await;
                assert!(
                    answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.ends_with("\r\n\r\nbody"),
                    "{answer}"
                );
                assert!(answer.contains("content-type: text/odd\r\n"), "{answer}");
            }
            assert!(exchange.idle());
        });
    }

    #[test]
    fn bad_input_is_answered_at_once_and_reaches_no_node() {
        run(async {
            let exchange = exchange_of(&[server(|_| async { panic!("reached a node") }).await]);
            let head = "POST /pay HTTP/1.1\r\nhost: a\r\nx-txn: 1\r\nx-remaining-ms: 400\r\n";
            let with = |more: &str| format!("{head}{more}\r\n\r\n0123456789");
            let large = format!("{head}transfer-encoding: chunked\r\n\r\n10001\r\n{}", "a".repeat(65537));
            for (text, status) in [
                ("GET /other/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: 400\r\n\r\n", "404"),
                ("GET /read/x HTTP/1.1\r\nhost: a\r\n\r\n", "400"),
                ("GET /read/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: soon\r\n\r\n", "400"),
                ("GET /read/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: 1e300\r\n\r\n", "400"),
                ("PUT /read/x HTTP/1.1\r\nhost: a\r\nx-remaining-ms: 400\r\n\r\n", "405"),
                (&large, "413"),
                (&with("content-length: 62914560"), "413"),
                (&with("content-length: -1"), "400"),
                (&with("content-length: +10"), "400"),
                (&with("content-length: 99999999999999999999"), "400"),
                (&with("content-length: 10\r\ncontent-length: 10"), "400"),
                (&with("content-length: 10, 10"), "400"),
                (&with("content-length: 10\r\ntransfer-encoding: chunked"), "400"),
                (&with("transfer-encoding: gzip, chunked"), "400"),
                (&with("transfer-encoding : chunked"), "400"),
                ("what is this\r\n\r\n", "400"),
            ] {
                let answer = asked(&mut opened(&exchange).await, text).await;
                assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{text:.60}: {answer}");
            }
            assert!(exchange.idle());
        });
    }

    #[test]
    fn it_is_up_once_a_list_is_known() {
        run(async {
            let (exchange, text) = (exchange(), "GET /up HTTP/1.1\r\nhost: a\r\n\r\n");
            let mut stream = opened(&exchange).await;
            assert!(asked(&mut stream, text).await.starts_with("HTTP/1.1 503 "));
            exchange.listed(true, true, Vec::new());
            assert!(asked(&mut stream, text).await.starts_with("HTTP/1.1 200 "));
        });
    }

    /// Without a node that may be sent to, the hit has not run: trying again is harmless.
    #[test]
    fn what_cannot_be_sent_is_refused_at_once_and_what_may_have_run_has_failed() {
        run(async {
            let begun = Instant::now();
            let mut stream = opened(&exchange_of(&[])).await;
            assert!(asked(&mut stream, HIT).await.starts_with("HTTP/1.1 503 "));
            assert!(begun.elapsed() < Duration::from_millis(200));
            let drops = server(|mut stream| async move { message(&mut stream).await }).await;
            let mut stream = opened(&exchange_of(&[drops])).await;
            let pay = HIT.replace("GET /read", "POST /pay");
            assert!(asked(&mut stream, &pay).await.starts_with("HTTP/1.1 502 "));
        });
    }

    #[test]
    fn answers_are_worded_by_kind() {
        let bounced = worded(Answer::Bounced { again_after: 0.05 });
        assert_eq!(bounced.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(bounced.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok()), Some("0.050"));
        assert!(!worded(Answer::Bounced { again_after: 0.0 }).headers().contains_key(RETRY_AFTER));
        assert_eq!(worded(Answer::Failed).status(), StatusCode::BAD_GATEWAY);
    }

    /// Silence of a node ends with the client's own time, not after it.
    #[test]
    fn a_hit_without_an_answer_fails_by_its_client_timeout() {
        run(async {
            let silent = server(|_stream| std::future::pending::<()>()).await;
            let exchange = exchange_of(&[silent]);
            let mut stream = opened(&exchange).await;
            let begun = Instant::now();
            let answer = asked(&mut stream, &HIT.replace("GET /read", "POST /pay")).await;
            assert!(answer.starts_with("HTTP/1.1 5"), "{answer}");
            assert!(begun.elapsed() < Duration::from_millis(450), "{:?}", begun.elapsed());
            assert!(exchange.idle());
        });
    }

    /// The library's own time-outs stay out of it: a head that comes late and in pieces, two hits at once, a
    /// client that has ended its sending, all get their answers.
    #[test]
    fn late_joined_and_half_closed_hits_are_served() {
        run(async {
            let exchange = exchange_of(&[answering(SERVED).await]);
            let mut stream = opened(&exchange).await;
            let (start, rest) = HIT.split_at(9);
            for part in [start, rest] {
                tokio::time::sleep(Duration::from_millis(100)).await;
                write(&mut stream, part).await;
            }
            assert!(message(&mut stream).await.ends_with("body"));
            write(&mut stream, &HIT.repeat(2)).await;
            stream.shutdown().await.expect("half closed");
            let mut both = String::new();
            stream.read_to_string(&mut both).await.expect("answers");
            assert_eq!(both.matches("HTTP/1.1 200 OK").count(), 2, "{both}");
        });
    }

    /// A client that leaves gets no further forward; once the one under way has ended nothing of it is kept.
    #[test]
    fn a_client_that_leaves_is_forgotten() {
        run(async {
            let came = Rc::new(Cell::new(0));
            let count = came.clone();
            let slow = server(move |mut stream| {
                let count = count.clone();
                async move {
                    while !message(&mut stream).await.is_empty() {
                        count.set(count.get() + 1);
                        tokio::time::sleep(Duration::from_millis(100)).await;
                        write(&mut stream, "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n").await;
                    }
                }
            });
            let exchange = exchange_of(&[slow.await]);
            let mut stream = opened(&exchange).await;
            write(&mut stream, HIT).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            drop(stream);
            assert!(!exchange.idle());
            tokio::time::sleep(Duration::from_millis(150)).await;
            assert!(exchange.idle());
            assert_eq!(came.get(), 1, "a second forward");
        });
    }

    /// On stopping a hit in hand is answered and a late one too; each answer closes its connection.
    #[test]
    fn stopping_serves_what_still_arrives_and_closes_behind_it() {
        run(async {
            let exchange = exchange_of(&[answering(SERVED).await]);
            let mut stream = opened(&exchange).await;
            exchange.stop();
            exchange.closing.give();
            let mut answer = String::new();
            write(&mut stream, HIT).await;
            stream.read_to_string(&mut answer).await.expect("an answer and the end");
            assert!(answer.contains("connection: close\r\n") && answer.ends_with("body"), "{answer}");
        });
    }

    #[test]
    fn when_room_is_short_strangers_go_first_then_the_longest_idle() {
        let (crowd, visit) = (Crowd::new(OTHERS + 6), || Visit::new(Rc::default()));
        let (_, busy) = crowd.enter(visit());
        busy.brought();
        let (_, idle) = crowd.enter(visit());
        idle.brought();
        idle.wait();
        assert!(crowd.room(usize::MAX));
        let (place, stranger) = crowd.enter(visit());
        assert!(!crowd.room(usize::MAX));
        let long_ago = Instant::now().checked_sub(2 * SHORT).expect("a clock that has run");
        stranger.since.set(long_ago);
        assert!(!crowd.room(usize::MAX));
        run(stranger.evict.notified());
        stranger.known.set(true);
        stranger.wait();
        [&busy, &idle].iter().for_each(|visit| visit.since.set(long_ago));
        assert!(!crowd.room(usize::MAX));
        run(idle.evict.notified());
        crowd.visits.borrow_mut().remove(&place);
        assert!(crowd.room(usize::MAX));
    }

    /// While connections are many a new one sends the longest idle away, one with a hit in hand never.
    #[test]
    fn who_asks_once_and_stays_gives_way_to_new_clients() {
        let (crowd, visit) = (Crowd::new(12), || Visit::new(Rc::default()));
        let all = [crowd.enter(visit()).1, crowd.enter(visit()).1, crowd.enter(visit()).1];
        all.iter().for_each(|v| v.brought());
        all[1..].iter().for_each(|v| v.wait());
        let ago = |n| Instant::now().checked_sub(n * BRIEF).expect("a clock that has run");
        all.iter().zip([9, 2, 3]).for_each(|(v, n)| v.since.set(ago(n)));
        crowd.enter(visit());
        run(all[2].evict.notified());
        run(async {
            let other = futures_util::future::select(
                Box::pin(all[0].evict.notified()),
                Box::pin(all[1].evict.notified()),
            );
            assert!(tokio::time::timeout(GREET, other).await.is_err());
        });
    }

    /// Whoever brings no whole hit is closed: after silence, half a head, a body that comes drop by drop, an
    /// answer with nothing behind it. A hit that takes longer than that is waited for.
    #[test]
    fn who_brings_no_hit_in_time_is_closed_and_who_waits_for_an_answer_is_not() {
        run(async {
            let slow = server(|mut stream| async move {
                message(&mut stream).await;
                tokio::time::sleep(Duration::from_millis(2500)).await;
                write(&mut stream, SERVED).await;
            });
            let exchange = exchange_of(&[slow.await]);
            let closed = |text: &'static str, drops: bool| {
                let exchange = exchange.clone();
                async move {
                    let (mut stream, begun) = (opened(&exchange).await, Instant::now());
                    write(&mut stream, text).await;
                    let mut answer = [0; 512];
                    while begun.elapsed() < Duration::from_secs(4) {
                        let step = Duration::from_millis(if drops { 100 } else { 4000 });
                        match tokio::time::timeout(step, stream.read(&mut answer)).await {
                            Ok(Ok(0) | Err(_)) => break,
                            Ok(Ok(_)) => {}
                            Err(_) => write(&mut stream, "a").await,
                        }
                    }
                    begun.elapsed()
                }
            };
            let pay = "POST /pay HTTP/1.1\r\nhost: a\r\nx-txn: 5\r\nx-remaining-ms: 400\r\n\
                content-length: 999\r\n\r\n";
            let all = [("", false), ("GET /re", false), ("GET /re", true), (pay, true)];
            let all = futures_util::future::join_all(all.map(|(text, drops)| closed(text, drops)));
            let wait = HIT.replace("400", "4000").replace("GET /read", "POST /pay");
            let served = async { asked(&mut opened(&exchange).await, &wait).await };
            let (all, served) = futures_util::future::join(all, served).await;
            assert!(all.iter().all(|t| t.as_secs_f64() > 1.9 && t.as_secs_f64() < 2.9), "{all:?}");
            assert!(served.ends_with("body"), "{served}");
        });
    }
    /// Guards a bound that shrinks below what is in use: whoever has a hit in hand gets its answer and leaves with
    /// it, who has been idle goes, and a new one waits until there is room.
    #[test]
    fn a_bound_that_shrinks_lets_connections_leave_in_order() {
        run(async {
            let slow = server(|mut stream| async move {
                while !message(&mut stream).await.is_empty() {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    write(&mut stream, SERVED).await;
                }
            });
            let exchange = exchange_of(&[slow.await]);
            let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
            let address = listener.local_addr().expect("an address");
            let crowd = Rc::new(Crowd::new(100));
            actix_rt::spawn(serve(exchange.clone(), listener, crowd.clone()));
            let mut all = Vec::new();
            for i in 0..6 {
                let mut stream = TcpStream::connect(address).await.expect("connected");
                let text = HIT.replace("x-txn: 1", &format!("x-txn: {i}"));
                write(&mut stream, &text).await;
                all.push(stream);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            exchange.clients_most.set(2);
            let mut closing = 0;
            for stream in &mut all {
                let answer = message(stream).await;
                assert!(answer.ends_with("body"), "{answer}");
                closing += usize::from(answer.contains("connection: close"));
            }
            assert!((4..6).contains(&closing), "{closing}");
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(crowd.visits.borrow().len() <= 2);
            // A newcomer is served once one of those that stay has been idle for a while.
            let mut late = TcpStream::connect(address).await.expect("in the kernel's queue");
            let answer = asked(&mut late, &HIT.replace("x-txn: 1", "x-txn: 9")).await;
            assert!(answer.ends_with("body"), "{answer}");
        });
    }
}
