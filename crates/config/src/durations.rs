//! Durations as operators write them: a number and its unit, `1500ms` or `2.5s`.

use crate::Micros;

/// The longest duration that is read: some thirty years.
const MAX_MICROS: f64 = 1e15;

/// Parses a duration. None where the text is no number of 0 or more followed at once by `ms` or `s`.
pub fn parse(text: &str) -> Option<Micros> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('s')?, 1e6),
    };
    let is_plain = number
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain {
        return None; // no signs, no exponents, no words
    }
    let micros = number.parse::<f64>().ok()? * unit;
    (micros <= MAX_MICROS).then_some(micros.round() as Micros)
}

/// Formats a duration as operators write it, in milliseconds.
pub fn format(micros: Micros) -> String {
    if micros.is_multiple_of(1000) {
        format!("{}ms", micros / 1000)
    } else {
        format!("{}ms", micros as f64 / 1e3)
    }
}
