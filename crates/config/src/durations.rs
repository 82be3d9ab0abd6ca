//! Times as operators write them: a number and its unit, `1500ms` or `2.5s`.

use crate::Micros;

/// Reads a time. `None` where the text is no number of 0 or more followed at once by `ms` or `s`.
pub fn read(text: &str) -> Option<Micros> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('s')?, 1e6),
    };
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None; // no signs, no exponents, no words
    }
    let micros = number.parse::<f64>().ok()? * unit;
    (micros <= 1e15).then_some(micros.round() as Micros)
}

/// Writes a time as operators do, in milliseconds.
pub fn write(micros: Micros) -> String {
    if micros.is_multiple_of(1000) {
        format!("{}ms", micros / 1000)
    } else {
        format!("{}ms", micros as f64 / 1e3)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    /// Guards against times taken in a wrong unit and against texts that only look like times.
    #[rstest]
    #[case("1500ms", Some(1_500_000))]
    #[case("2.5s", Some(2_500_000))]
    #[case("0ms", Some(0))]
    #[case("0.4ms", Some(400))]
    #[case("10", None)]
    #[case("-1s", None)]
    #[case("1e3s", None)]
    #[case("infs", None)]
    #[case("ms", None)]
    #[case("3 s", None)]
    #[case("3m", None)]
    fn times(#[case] text: &str, #[case] micros: Option<u64>) {
        assert_eq!(super::read(text), micros);
        assert!(micros.is_none_or(|m| super::read(&super::write(m)) == Some(m)));
    }
}
