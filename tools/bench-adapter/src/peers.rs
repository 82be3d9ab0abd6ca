//! What agents tell each other, as short text: `1 start build stage informed [doubt]+place...`. Numbers
//! are in base 36; a node goes by a short code of its word, since ids differ from agent to agent.
//! What is malformed, of another version or too long is no message.

use magpieline::interface::{Tidings, Totals};
use std::collections::HashMap;

/// The wire's bound on a message, in bytes.
const MOST: usize = 256;
/// The version of this text; others are not read.
const VERSION: &str = "1";

/// Nodes by their codes; `None` where two words share one.
#[derive(Default)]
pub struct Codes(HashMap<u64, Option<usize>>);

/// The first 30 bits of a word's FNV-1a hash.
fn code(word: &str) -> u64 {
    let hash = word.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash >> 34
}

impl Codes {
    pub fn learn(&mut self, word: &str, node: usize) {
        let held = self.0.entry(code(word)).or_insert(Some(node));
        *held = held.filter(|n| *n == node);
    }
    fn node(&self, part: Option<&str>) -> Option<usize> {
        self.0.get(&read(part)?).copied().flatten()
    }
}

fn base36(mut n: u64, out: &mut String) {
    let from = out.len();
    loop {
        let digit = (n % 36) as u8;
        out.insert(
            from,
            char::from(if digit < 10 {
                b'0' + digit
            } else {
                b'a' + digit - 10
            }),
        );
        n /= 36;
        if n == 0 {
            return;
        }
    }
}

/// A signed number in hundredths, so that small ones stay short.
fn hundredths(x: f64) -> u64 {
    let n = (x * 100.0).round().clamp(-1e9, 1e9) as i64;
    ((n << 1) ^ (n >> 63)) as u64
}

fn read(part: Option<&str>) -> Option<u64> {
    part.filter(|p| p.len() <= 12)
        .and_then(|p| u64::from_str_radix(p, 36).ok())
}

fn read_hundredths(part: Option<&str>) -> Option<f64> {
    let n = read(part)?;
    Some(((n >> 1) as i64 ^ -((n & 1) as i64)) as f64 / 100.0)
}

/// The messages for these tidings: as many as their length asks for.
pub fn write(tidings: &Tidings, word: impl Fn(usize) -> String) -> Vec<String> {
    let mut head = format!("{VERSION} ");
    for n in [
        u64::from(tidings.start),
        u64::from(tidings.build),
        tidings.stage as u64,
    ] {
        base36(n, &mut head);
        head.push(' ');
    }
    head.push(if tidings.informed { 'y' } else { 'n' });
    head.push_str(tidings.doubt.map_or("", |d| if d { " y" } else { " n" }));
    let mut out = vec![head.clone()];
    for (node, group, t) in &tidings.totals {
        let counts = [
            t.answers,
            t.faults,
            t.outcomes,
            t.pulls,
            t.in_time,
            t.complaints,
            t.times,
        ];
        let mut part = String::from('+');
        base36(code(&word(*node)), &mut part);
        let numbers = [*group as u64]
            .into_iter()
            .chain(counts.map(u64::from))
            .chain([hundredths(t.slow)]);
        for n in numbers {
            part.push('.');
            base36(n, &mut part);
        }
        if out.last().is_none_or(|m| m.len() + part.len() > MOST) {
            out.push(head.clone());
        }
        out.last_mut().into_iter().for_each(|m| m.push_str(&part));
    }
    out
}

/// The tidings of a message, or nothing. Nodes that this agent does not know are passed over.
pub fn parse(text: &str, codes: &Codes) -> Option<Tidings> {
    if text.len() > MOST || !text.is_ascii() {
        return None;
    }
    let mut parts = text.split('+');
    let mut fields = parts.next()?.split(' ');
    if fields.next() != Some(VERSION) {
        return None;
    }
    let start = u32::try_from(read(fields.next())?).ok()?;
    let build = u32::try_from(read(fields.next())?).ok()?;
    let stage = usize::try_from(read(fields.next())?).ok()?;
    let mark = |part: Option<&str>| match part {
        Some("y") => Some(true),
        Some("n") => Some(false),
        _ => None,
    };
    let informed = mark(fields.next())?;
    let doubt = match fields.next() {
        Some(part) => Some(mark(Some(part))?),
        None => None,
    };
    if fields.next().is_some() {
        return None;
    }
    let mut tidings = Tidings {
        start,
        build,
        stage,
        informed,
        doubt,
        ..Tidings::default()
    };
    for part in parts {
        let mut numbers = part.split('.');
        let node = codes.node(numbers.next());
        let mut count = || u32::try_from(read(numbers.next())?).ok();
        let group = count()? as usize;
        let [answers, faults, outcomes] = [count()?, count()?, count()?];
        let [pulls, in_time, complaints, times] = [count()?, count()?, count()?, count()?];
        let slow = read_hundredths(numbers.next())?;
        let t = Totals {
            answers,
            faults,
            outcomes,
            pulls,
            in_time,
            complaints,
            times,
            slow,
        };
        if numbers.next().is_some() {
            return None;
        }
        tidings.totals.extend(node.map(|node| (node, group, t)));
    }
    Some(tidings)
}

#[cfg(test)]
mod tests;
