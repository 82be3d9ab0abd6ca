//! The corpus of the fuzz targets (`fuzz/`), replayed: what they have found or begun with holds on stable, too.

#[path = "../fuzz/checks.rs"]
mod checks;

fn replay(target: &str, check: fn(&[u8])) {
    let folder = format!("{}/fuzz/corpus/{target}", env!("CARGO_MANIFEST_DIR"));
    let mut played = 0;
    for file in std::fs::read_dir(folder)
        .expect("a corpus")
        .map(|file| file.expect("a file").path())
    {
        let input = std::fs::read(&file).expect("bytes");
        println!("{}", file.display());
        check(&input);
        // Cut otherwise, and cut short, it holds as well.
        for cut in 0..8 {
            check(&[&[cut], input.get(1..).unwrap_or_default()].concat());
        }
        check(&input[..input.len() / 2]);
        played += 1;
    }
    assert!(played >= 30, "{played}");
}

/// Guards against panics, and against boundaries that depend on the pieces a client's bytes come in.
#[test]
fn clients_bytes() {
    replay("request_framing", checks::request_framing);
}

/// Guards against panics, and against anything but the response that is due among an endpoint's bytes.
#[test]
fn endpoints_bytes() {
    replay("response_framing", checks::response_framing);
}
