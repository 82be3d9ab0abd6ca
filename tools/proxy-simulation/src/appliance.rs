//! Appliances, well or in trouble.

use crate::book::Book;
use crate::plain::{Message, NoMore, Reader};
use crate::stream::End;
use crate::Dice;
use rand::seq::SliceRandom;
use rand::Rng;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

/// What an appliance may do with a request, other than to answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Odd {
    /// Turns it away: a status, with `Not-Delivered`.
    Away(u16),
    /// Turns it away before it has read its body, and reads nothing more.
    AwayEarly,
    /// Runs it, and answers with a status that promises the opposite.
    Lies(u16),
    Fails,
    /// Breaks off the answer.
    Cut,
    Garbage,
    /// A second answer behind the first, at once or after a moment.
    Doubled,
    DoubledLate,
    /// An answer to another request before its own.
    Stale,
    /// Only an answer to another request.
    Swapped,
    /// Interim answers first.
    Interim,
    Silent,
    /// Resets the connection: after so many bytes of the request, before the work, or after it.
    ResetBefore,
    ResetAfter,
    Closes,
    Endless,
    Encoded,
    Nameless,
    Unstamped,
    /// Says when it closes idle connections.
    Keeps,
}

const ODD: &[Odd] = &[
    Odd::Away(503),
    Odd::Away(429),
    Odd::Away(421),
    Odd::Away(408),
    Odd::AwayEarly,
    Odd::Lies(503),
    Odd::Lies(429),
    Odd::Lies(408),
    Odd::Fails,
    Odd::Cut,
    Odd::Garbage,
    Odd::Doubled,
    Odd::DoubledLate,
    Odd::Stale,
    Odd::Swapped,
    Odd::Interim,
    Odd::Silent,
    Odd::ResetBefore,
    Odd::ResetAfter,
    Odd::Closes,
    Odd::Endless,
    Odd::Encoded,
    Odd::Nameless,
    Odd::Unstamped,
    Odd::Keeps,
];

/// How often, and how.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mood {
    /// Of so many requests one is treated oddly; 0: none.
    pub odd: u32,
    /// Of so many waits for a request one ends with the connection forgotten, or closed; 0: none.
    pub forgets: u32,
    /// Work takes up to so many milliseconds.
    pub work: u64,
}

/// The bytes that belong to a request, and to no other.
pub fn token(id: &str, method: &str, path: &str, body: &[u8]) -> String {
    let sum = body.iter().fold(0u64, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*b))
    });
    format!("{id}|{method}|{path}|{}:{sum}|", body.len())
}

fn answer(status: u16, id: &str, more: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nTry-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves one connection as appliance `own`, until it ends.
pub async fn serve(
    mut end: End,
    own: String,
    connection: usize,
    mood: Mood,
    book: Book,
    mut dice: Dice,
) {
    let mut reader = Reader::default();
    let mut kept = 5_000u64;
    let mut before: Option<String> = None;
    // It has sent what was not asked for: what comes of that is its own doing.
    let mut foul = false;
    loop {
        let wait = match mood.forgets > 0 && dice.gen_ratio(1, mood.forgets) {
            true => dice.gen_range(0..400),
            false => kept,
        };
        let Ok(head) = timeout(Duration::from_millis(wait), reader.head(&mut end)).await else {
            if wait < kept && dice.gen() {
                book.met("forgotten");
                end.forget();
            }
            return;
        };
        let Ok(mut head) = head else { return };
        let odd = (mood.odd > 0 && dice.gen_ratio(1, mood.odd))
            .then(|| *ODD.choose(&mut dice).expect("some"));
        let id = head.field("try-id").unwrap_or("").to_owned();
        if odd == Some(Odd::AwayEarly) {
            book.met("turned away early");
            let text = answer(503, &id, "Not-Delivered: full\r\n", "");
            if end.write_all(text.as_bytes()).await.is_ok() {
                let now = book.now();
                book.arrival(connection, |a| a.cleared = Some(now));
            }
            if head.field("content-length").is_some_and(|l| l != "0") {
                sleep(Duration::from_secs(60)).await;
                return;
            }
            continue;
        }
        if odd == Some(Odd::ResetBefore) {
            book.met("reset before the work");
            return end.reset();
        }
        if reader.body(&mut end, &mut head).await.is_err() {
            return;
        }
        if head.field("addressee").is_some_and(|a| a != own) {
            book.met("another appliance");
            let text = answer(421, &id, "", "");
            if end.write_all(text.as_bytes()).await.is_ok() {
                let now = book.now();
                book.arrival(connection, |a| a.cleared = Some(now));
            }
            continue;
        }
        if let Some(Odd::Away(status)) = odd {
            book.met("turned away");
            let text = answer(status, &id, "Not-Delivered: full\r\n", "");
            if end.write_all(text.as_bytes()).await.is_ok() {
                let now = book.now();
                book.arrival(connection, |a| a.cleared = Some(now));
            }
            continue;
        }
        book.arrival(connection, |a| a.ran = true);
        book.open().at_work.insert(connection, id.clone());
        let work = sleep(Duration::from_millis(dice.gen_range(0..=mood.work)));
        tokio::select! {
            () = work => {}
            more = reader_more(&mut reader, &mut end) => {
                let now = book.now();
                let sent = book.open().sent.get(&id).and_then(|s| s.first()).cloned();
                let waiting = !foul && !end.torn() && sent.as_ref().is_some_and(|s| now + 1_000 < s.due);
                book.open().at_work.remove(&connection);
                match more {
                    Ok(()) => book.wrong(format!("bytes on a connection whose request {id} is at work")),
                    Err(_) if waiting => book.wrong(format!("{id} was broken off at work on {connection}, behind {before:?}: {sent:?}")),
                    Err(_) => {}
                }
                return;
            }
        }
        book.open().at_work.remove(&connection);
        if !respond(
            &mut end, &head, &id, &own, odd, &mut kept, &before, &book, &mut dice,
        )
        .await
        {
            if odd == Some(Odd::ResetAfter) {
                end.reset();
            }
            return;
        }
        before = Some(id);
        foul |= matches!(
            odd,
            Some(Odd::DoubledLate | Odd::Stale | Odd::Swapped | Odd::Doubled | Odd::Garbage)
        );
    }
}

async fn reader_more(reader: &mut Reader, end: &mut End) -> Result<(), NoMore> {
    match end.read_buf(&mut reader.held).await {
        Ok(0) | Err(_) => Err(NoMore::Broken),
        Ok(_) => Ok(()),
    }
}

/// Answers a request that has run; whether the connection goes on.
#[allow(clippy::too_many_arguments)]
async fn respond(
    end: &mut End,
    head: &Message,
    id: &str,
    own: &str,
    odd: Option<Odd>,
    kept: &mut u64,
    before: &Option<String>,
    book: &Book,
    dice: &mut Dice,
) -> bool {
    let mut words = head.first.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let body = token(id, method, path, &head.body) + own;
    // To a HEAD the length of a body that does not follow is told.
    let shown = |text: String| match method == "HEAD" {
        true => text[..text.find("\r\n\r\n").map_or(0, |at| at + 4)].to_owned(),
        false => text,
    };
    let whole = shown(answer(200, id, "Postmark: p\r\n", &body));
    let other = before.clone().unwrap_or_else(|| "zz".into());
    let foreign = shown(answer(
        200,
        &other,
        "Postmark: p\r\n",
        &token(&other, "GET", "/safe/zz", b""),
    ));
    let (text, goes_on) = match odd {
        None => (whole, true),
        Some(odd) => {
            book.met(name(odd));
            match odd {
                Odd::Lies(status) => (shown(answer(status, id, "", "busy")), true),
                Odd::Fails => (shown(answer(500, id, "", "failed")), true),
                Odd::Cut => (whole[..dice.gen_range(0..whole.len())].to_owned(), false),
                Odd::Garbage => ("\u{1}garbage\r\n\r\n".to_owned() + &whole, true),
                Odd::Doubled => (whole.repeat(2), true),
                Odd::DoubledLate => {
                    if end.write_all(whole.as_bytes()).await.is_err() {
                        return false;
                    }
                    sleep(Duration::from_millis(dice.gen_range(0..50))).await;
                    (whole, true)
                }
                Odd::Stale => (foreign + &whole, true),
                Odd::Swapped => (foreign, true),
                Odd::Interim => (
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\n".to_owned()
                        + &whole,
                    true,
                ),
                Odd::Silent => {
                    sleep(Duration::from_secs(60)).await;
                    return false;
                }
                Odd::ResetAfter => return false,
                Odd::Closes => (
                    whole.replacen("\r\n", "\r\nConnection: close\r\n", 1),
                    false,
                ),
                Odd::Endless => (whole.replacen("Content-Length", "X-Length", 1), false),
                Odd::Encoded => (
                    whole.replacen("\r\n", "\r\nContent-Encoding: gzip\r\n", 1),
                    true,
                ),
                Odd::Nameless => (whole.replacen("Try-Id", "X-Id", 1), true),
                Odd::Unstamped => (whole.replacen("Postmark", "X-Mark", 1), true),
                Odd::Keeps => {
                    *kept = dice.gen_range(1..4) * 1000;
                    (
                        whole.replacen(
                            "\r\n",
                            &format!("\r\nKeep-Alive: timeout={}\r\n", *kept / 1000),
                            1,
                        ),
                        true,
                    )
                }
                Odd::Away(_) | Odd::AwayEarly | Odd::ResetBefore => (whole, true),
            }
        }
    };
    let pieces = dice.gen_range(1..4);
    for piece in text.as_bytes().chunks((text.len() / pieces).max(1)) {
        if end.write_all(piece).await.is_err() {
            return false;
        }
        if dice.gen_ratio(1, 8) {
            sleep(Duration::from_millis(dice.gen_range(0..20))).await;
        }
    }
    goes_on
}

fn name(odd: Odd) -> &'static str {
    match odd {
        Odd::Away(_) | Odd::AwayEarly => "turned away",
        Odd::Lies(_) => "a promise that is none",
        Odd::Fails => "failed",
        Odd::Cut => "answer cut",
        Odd::Garbage => "garbage",
        Odd::Doubled => "doubled answer",
        Odd::DoubledLate => "doubled answer, late",
        Odd::Stale => "late answer first",
        Odd::Swapped => "another's answer",
        Odd::Interim => "interim answers",
        Odd::Silent => "silence",
        Odd::ResetBefore => "reset before the work",
        Odd::ResetAfter => "reset after the work",
        Odd::Closes => "closing answer",
        Odd::Endless => "answer without an end",
        Odd::Encoded => "encoded answer",
        Odd::Nameless => "answer without an id",
        Odd::Unstamped => "answer without a stamp",
        Odd::Keeps => "keep-alive told",
    }
}
