use super::*;

fn codes() -> Codes {
    let mut codes = Codes::default();
    ["a", "b", "c"]
        .iter()
        .enumerate()
        .for_each(|(i, w)| codes.learn(w, i));
    codes
}

fn tidings(places: usize) -> Tidings {
    let t = Totals {
        answers: 70,
        faults: 3,
        times: 9,
        slow: -1.25,
        ..Totals::default()
    };
    let totals = (0..places)
        .map(|i| {
            (
                i % 3,
                i % 2,
                Totals {
                    outcomes: i as u32,
                    ..t
                },
            )
        })
        .collect();
    Tidings {
        start: 99,
        build: 42,
        stage: 1,
        informed: true,
        doubt: Some(false),
        totals,
    }
}

fn word(node: usize) -> String {
    ["a", "b", "c"][node].to_owned()
}

#[test]
fn what_is_written_is_read_again_whole_however_long() {
    for places in [0, 1, 40] {
        let (told, messages) = (tidings(places), write(&tidings(places), word));
        assert!(messages.iter().all(|m| m.len() <= MOST), "{messages:?}");
        let read = messages.iter().map(|m| parse(m, &codes()).expect(m));
        let mut all = Tidings {
            totals: vec![],
            ..told.clone()
        };
        read.for_each(|t| all.totals.extend(t.totals));
        assert_eq!(all, told);
    }
}

#[test]
fn what_is_spoilt_is_no_message_and_never_a_panic() {
    let good = write(&tidings(3), word).remove(0);
    for i in 0..good.len() {
        for spoilt in [" ", "+", ".", "zzzzzzzzzzzzz", "\u{e9}", "-", "0"] {
            let text = format!("{}{spoilt}{}", &good[..i], &good[i + 1..]);
            let _ = parse(&text, &codes());
            let _ = parse(&good[..i], &codes());
        }
    }
    for text in [
        "",
        "2 1 1 1 y",
        "1 1 1 y",
        "1 1 1 1 y+0",
        "1 1 1 1 y!0.1",
        "1 1 1 1 x",
        "1 1 1 1 y y 0 0",
    ] {
        assert_eq!(parse(text, &codes()), None, "{text}");
    }
    assert_eq!(
        parse(&format!("1 1 1 1 y{}", " ".repeat(300)), &codes()),
        None
    );
}

#[test]
fn two_words_of_one_code_name_no_node() {
    let mut codes = codes();
    let clash = codes.0.keys().copied().next().expect("a code");
    codes.0.insert(clash, None);
    let read = write(&tidings(3), word)
        .iter()
        .filter_map(|m| parse(m, &codes))
        .collect::<Vec<_>>();
    assert_eq!(read.iter().map(|t| t.totals.len()).sum::<usize>(), 2);
}
