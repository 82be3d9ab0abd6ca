//! Clients: they send one behind the other or several at once, in pieces, slowly, leave, and come back.

use crate::appliance::token;
use crate::book::{Micros, Sent};
use crate::plain::{NoMore, Reader};
use crate::play::World;
use crate::stream::{pair, End};
use crate::Dice;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

#[derive(Clone, Debug)]
struct Request {
    id: String,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    chunked: bool,
    left_ms: u64,
}

impl Request {
    fn bytes(&self) -> Vec<u8> {
        let Request {
            id,
            method,
            path,
            body,
            left_ms,
            ..
        } = self;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h\r\nTry-Id: {id}\r\nTime-Left-Ms: {left_ms}\r\n"
        );
        if self.chunked {
            let mut bytes = (head + "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
            for piece in body.chunks(700) {
                bytes.extend(format!("{:x}\r\n", piece.len()).bytes());
                bytes.extend([piece, b"\r\n"].concat());
            }
            return [bytes, b"0\r\n\r\n".to_vec()].concat();
        }
        match body.is_empty() && *method != "POST" {
            true => (head + "\r\n").into_bytes(),
            false => [
                format!("{head}Content-Length: {}\r\n\r\n", body.len()).as_bytes(),
                body,
            ]
            .concat(),
        }
    }
}

/// One client, from its first request to its last.
pub async fn run(world: Arc<World>, number: usize, mut dice: Dice) {
    let mut made = 0;
    let mut back: Option<Request> = None;
    for _ in 0..dice.gen_range(1..4) {
        if world.leaving() {
            return;
        }
        let (mut near, far) = pair(&mut dice, world.late, None);
        world.serve(far);
        let mut reader = Reader::default();
        for _ in 0..dice.gen_range(1..4) {
            let requests: Vec<Request> = match back.take() {
                Some(request) => vec![request],
                None => {
                    let kind = dice.gen_range(0..4);
                    let several = if kind == 0 { 1 } else { dice.gen_range(1..5) };
                    let which = |i: usize, dice: &mut Dice| {
                        kind == 0 && dice.gen() || kind == 3 && i % 2 == 1
                    };
                    let fresh = |i, dice: &mut Dice| {
                        made += 1;
                        request(&world, format!("c{number}-{made}"), which(i, dice), dice)
                    };
                    let mut fresh = fresh;
                    (0..several).map(|i| fresh(i, &mut dice)).collect()
                }
            };
            match batch(&world, &mut near, &mut reader, &requests, &mut dice).await {
                Then::On => {}
                Then::Ended => break,
                Then::Left(how) => {
                    let orders: Vec<&Request> = requests
                        .iter()
                        .filter(|r| r.path.starts_with("/once/"))
                        .collect();
                    if !orders.is_empty() && dice.gen() {
                        back = Some(orders[dice.gen_range(0..orders.len())].clone());
                        world.book.met("client back with the same id");
                        sleep(Duration::from_millis(dice.gen_range(0..60))).await;
                    }
                    if how {
                        near.reset();
                    }
                    break;
                }
            }
            if !rest(&world, &mut near, &mut dice).await {
                break;
            }
        }
    }
}

fn request(world: &World, id: String, once: bool, dice: &mut Dice) -> Request {
    let path = format!("/{}/{id}", if once { "once" } else { "safe" });
    let bodied = once || dice.gen_ratio(1, 6);
    let body = match bodied {
        true => (0..[0, 3, 900, 4_900, 9_000][dice.gen_range(0..if world.calm { 4 } else { 5 })])
            .map(|i| i as u8)
            .collect(),
        false => Vec::new(),
    };
    let method = match bodied {
        true => "POST",
        false if dice.gen_ratio(1, 5) => "HEAD",
        false => "GET",
    };
    let left_ms = if world.calm {
        9_000
    } else {
        dice.gen_range(20..3_000)
    };
    Request {
        id,
        method,
        path,
        chunked: bodied && dice.gen_ratio(1, 3),
        body,
        left_ms,
    }
}

enum Then {
    On,
    /// The connection is over.
    Ended,
    /// The client went away; by a reset.
    Left(bool),
}

async fn batch(
    world: &World,
    near: &mut End,
    reader: &mut Reader,
    requests: &[Request],
    dice: &mut Dice,
) -> Then {
    let leaves = match !world.calm && dice.gen_ratio(1, 6) {
        true => Duration::from_millis(dice.gen_range(0..500)),
        false => Duration::from_secs(3600),
    };
    let by_reset = dice.gen();
    let talk = async {
        if !send(world, near, requests, dice).await {
            return Then::Ended;
        }
        for (i, request) in requests.iter().enumerate() {
            match hear(world, near, reader, request).await {
                Heard::Whole => {}
                Heard::Last => {
                    // Those behind it are taken to be unread.
                    for behind in &requests[i + 1..] {
                        note(world, behind, |s| (s.left, s.unread) = (true, true));
                    }
                    return Then::Ended;
                }
                Heard::Nothing => return Then::Ended,
            }
        }
        Then::On
    };
    match timeout(leaves, talk).await {
        Ok(then) => then,
        Err(_) => {
            world.book.met("client left");
            requests
                .iter()
                .for_each(|r| note(world, r, |s| s.left = true));
            Then::Left(by_reset)
        }
    }
}

fn note(world: &World, request: &Request, change: impl FnOnce(&mut Sent)) {
    if let Some(sent) = world
        .book
        .open()
        .sent
        .get_mut(&request.id)
        .and_then(|s| s.last_mut())
    {
        change(sent);
    }
}

async fn send(world: &World, near: &mut End, requests: &[Request], dice: &mut Dice) -> bool {
    for request in requests {
        let now = world.book.now();
        {
            let mut pages = world.book.open();
            let all = pages.sent.entry(request.id.clone()).or_default();
            let again = !all.is_empty();
            let span = (request.left_ms * 1000).min(world.give_up);
            all.push(Sent {
                path: request.path.clone(),
                first: now,
                due: now + span,
                span,
                again,
                ..Sent::default()
            });
        }
        let bytes = request.bytes();
        let slow = !world.calm && !request.body.is_empty() && dice.gen_ratio(1, 4);
        let pieces = if slow { 3 } else { 1 };
        for (i, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
            if i > 0 {
                sleep(Duration::from_millis(dice.gen_range(0..450))).await;
            }
            if near.write_all(piece).await.is_err() {
                note(world, request, |s| s.left = true);
                return true; // what was answered is read all the same
            }
        }
        let now = world.book.now();
        note(world, request, |s| s.last = Some(now));
    }
    true
}

enum Heard {
    Whole,
    /// Whole, and nothing comes behind it.
    Last,
    Nothing,
}

async fn hear(world: &World, near: &mut End, reader: &mut Reader, request: &Request) -> Heard {
    let (id, book) = (&request.id, &world.book);
    let due = book
        .open()
        .sent
        .get(id)
        .and_then(|s| s.last())
        .map_or(0, |s| s.due.max(s.last.unwrap_or(0)));
    let patience = due.saturating_sub(book.now()) + 2_500_000;
    let answer = timeout(Duration::from_micros(patience), async {
        loop {
            let mut answer = reader.head(near).await?;
            if (100..200).contains(&answer.status()) {
                continue;
            }
            if request.method != "HEAD" {
                reader
                    .body(near, &mut answer)
                    .await
                    .map_err(|_| NoMore::Broken)?;
            }
            return Ok::<_, NoMore>(answer);
        }
    });
    let answer = match answer.await {
        Ok(Ok(answer)) => answer,
        Ok(Err(how)) => {
            let pages = book.open();
            let unsent = pages
                .sent
                .get(id)
                .and_then(|s| s.last())
                .is_none_or(|s| s.last.is_none() || s.left);
            let arrived = pages.arrivals.iter().any(|a| a.id == *id);
            let leaving = pages.leaves.is_some();
            drop(pages);
            if !unsent && (arrived || !leaving) {
                let pages = book.open();
                let (sent, arrivals) = (&pages.sent, pages.arrivals.iter().filter(|a| a.id == *id));
                let what = format!(
                    "{id} was read and its connection ended with no answer ({how:?}): {sent:?}, {:?}",
                    arrivals.collect::<Vec<_>>()
                );
                drop(pages);
                book.wrong(what);
            }
            return Heard::Nothing;
        }
        Err(_) => {
            book.wrong(format!("{id} has no answer"));
            return Heard::Nothing;
        }
    };
    let (status, own) = (answer.status(), answer.field("try-id").is_none());
    note(world, request, |s| s.answer = Some((status, own)));
    if answer.field("try-id").is_some_and(|t| t != id) {
        book.wrong(format!(
            "{id} got the answer of {:?}",
            answer.field("try-id")
        ));
    }
    if own && !matches!(status, 400 | 404 | 408 | 409 | 413 | 431 | 502 | 503 | 504) {
        book.wrong(format!("{id} got {} of nobody's", answer.first));
    }
    if (200..300).contains(&status) && request.method != "HEAD" {
        let token = token(id, request.method, &request.path, &request.body);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        if !body.starts_with(&token)
            || answer.field("postmark").is_none()
            || answer.field("content-encoding").is_some()
        {
            book.wrong(format!("{id} got {body:?}"));
        }
    }
    if world.calm && status != 200 {
        book.wrong(format!("{id} got {} on a calm day", answer.first));
    }
    if answer.closes() {
        Heard::Last
    } else {
        Heard::Whole
    }
}

/// Rests for a part, up to four fifths, of what is allowed as far as is known by then; whether the connection is still
/// there.
async fn rest(world: &World, near: &mut End, dice: &mut Dice) -> bool {
    let part = if dice.gen_ratio(1, 3) {
        dice.gen_range(0.0..0.8)
    } else {
        dice.gen_range(0.0..0.01)
    };
    let begun = world.book.now();
    let mut byte = [0];
    loop {
        let (idle, rested) = (world.idle(), world.book.now() - begun);
        let left = ((idle as f64 * part) as Micros).saturating_sub(rested);
        if left == 0 {
            return true;
        }
        if let Ok(read) = timeout(
            Duration::from_micros(left.min(50_000)),
            near.read(&mut byte),
        )
        .await
        {
            if !world.leaving() {
                world.book.wrong(format!(
                    "{read:?} on a connection that has rested for {rested} of {idle} us"
                ));
            }
            return false;
        }
    }
}
