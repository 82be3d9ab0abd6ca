//! Forms of what is stored and sent: of earlier releases, of this one, and of none.

use magpieline_control_plane::codec::{self, DecodeError};
use magpieline_control_plane::messages::{decode_frame, encode_frame, ConnectionPurpose};
use magpieline_control_plane::state_machine::{Command, ControlState, StoredConfig};

fn state() -> ControlState {
    let mut records = ControlState::default();
    let texts = [(7, "{\"edition\":7}")];
    for (index, (number, text)) in (1..).zip(texts) {
        records.apply(
            index,
            &Command::ReplaceConfig(StoredConfig {
                version: number,
                text: text.into(),
            }),
        );
    }
    records.apply(
        2,
        &Command::SetVersion {
            service: "calendar".into(),
            version: "v1".into(),
        },
    );
    records
}

fn command() -> Command {
    Command::SetVersion {
        service: "calendar".into(),
        version: "v1".into(),
    }
}

/// Guards against a release that misreads what a newer one wrote: it says what it found and what it knows.
#[test]
fn a_newer_form_is_refused_with_its_number() {
    let raised = |mut bytes: Vec<u8>, at: usize| {
        bytes[at] = codec::FORMAT_COMPRESSED + 1;
        bytes
    };
    let told = |wrong: DecodeError| {
        (
            wrong.subject,
            wrong.found,
            wrong.expected,
            wrong.is_newer_format,
        )
    };
    let wrong = told(ControlState::decode(&raised(state().encode(), 0)).expect_err("newer"));
    assert_eq!(
        wrong,
        (
            "snapshot's state",
            "format 18".into(),
            "format 16 or 17".into(),
            true
        )
    );
    let wrong = told(Command::decode(&raised(command().encode(), 0)).expect_err("newer"));
    assert_eq!(
        wrong,
        (
            "command",
            "format 18".into(),
            "format 16 or 17".into(),
            true
        )
    );
    let wrong =
        decode_frame::<ConnectionPurpose>(&mut raised(encode_frame(&ConnectionPurpose::View), 4))
            .expect_err("newer");
    assert_eq!(
        told(wrong),
        ("frame", "format 18".into(), "format 16 or 17".into(), true)
    );
}

/// Guards against a frame of the first release, which had no number, that is taken for one of this.
#[test]
fn a_frame_without_a_number_is_refused() {
    let mut bytes = encode_frame(&ConnectionPurpose::View);
    bytes.remove(4);
    bytes[0] -= 1;
    let wrong = decode_frame::<ConnectionPurpose>(&mut bytes).expect_err("no number");
    assert_eq!(
        (wrong.found.as_str(), wrong.is_newer_format),
        ("no format number", false)
    );
}

/// Guards against state that is cut short, or has bytes left over, and is read all the same: a member would go on with
/// another state than the others.
#[test]
fn what_does_not_end_where_its_bytes_do_is_refused() {
    for bytes in [state().encode(), command().encode()] {
        for end in 0..bytes.len() {
            assert!(
                ControlState::decode(&bytes[..end]).is_err()
                    && Command::decode(&bytes[..end]).is_err()
            );
        }
    }
    let more = |mut bytes: Vec<u8>| {
        bytes.push(0);
        bytes
    };
    let wrong = Command::decode(&more(command().encode())).expect_err("too long");
    assert_eq!((wrong.subject, wrong.is_newer_format), ("command", false));
    assert!(wrong.found.starts_with("1 bytes after its end"), "{wrong}");
    assert!(ControlState::decode(&more(state().encode())).is_err());
    let mut long = encode_frame(&ConnectionPurpose::View);
    long.push(0);
    long[0] += 1;
    assert!(decode_frame::<ConnectionPurpose>(&mut long).is_err());
}

/// Guards long values: they are squeezed, cut short they are refused, and a few bytes don't become more than memory holds.
#[test]
fn long_values_are_squeezed_and_read_again() {
    let text: String = (0..20_000)
        .map(|i| format!("{{\"route\":\"r-{i}\"}},"))
        .collect();
    let command = Command::ReplaceConfig(StoredConfig {
        version: 7,
        text: text.as_str().into(),
    });
    let bytes = command.encode();
    assert_eq!(bytes[0], codec::FORMAT_COMPRESSED);
    assert!(
        bytes.len() < text.len() / 4,
        "{} of {}",
        bytes.len(),
        text.len()
    );
    assert_eq!(Command::decode(&bytes), Ok(command));
    assert!(Command::decode(&bytes[..bytes.len() / 2]).is_err());
    let bomb = codec::encode(&"z".repeat(65 << 20));
    assert!(bomb.len() < 1 << 20 && Command::decode(&bomb).is_err());
}

/// Guards the rule by which forms without a number are known: none of this release's begins like one.
#[test]
fn forms_are_numbered_and_read_again() {
    let (state, command) = (state(), command());
    assert!(state.encode()[0] >= codec::MIN_FORMAT && command.encode()[0] >= codec::MIN_FORMAT);
    assert_eq!(
        (
            ControlState::decode(&state.encode()),
            Command::decode(&command.encode())
        ),
        (Ok(state), Ok(command))
    );
}

/// Guards against commands and frames of the first release, which had neither number nor squeezing, that can't be read
/// any more (its snapshots: `crates/gateway/tests/kept_store.rs`); and against bytes that begin like a squeezed value.
#[test]
fn what_the_first_release_packed_is_read() {
    let long: String = (0..40_000u32)
        .map(|i| char::from(b'a' + (i % 26) as u8))
        .collect();
    for text in ["", "{}", &long] {
        let command = Command::ReplaceConfig(StoredConfig {
            version: 3,
            text: text.into(),
        });
        let before = postcard::to_stdvec(&command).expect("plain data can be written");
        assert_eq!(
            Command::decode(&before),
            Ok(command.clone()),
            "as packed before"
        );
        assert_eq!(Command::decode(&command.encode()), Ok(command));
    }
    assert!(
        Command::ReplaceConfig(StoredConfig {
            version: 3,
            text: long.into()
        })
        .encode()
        .len()
            < 2000
    );
    assert!(Command::decode(&[codec::FORMAT_COMPRESSED, 1, 2]).is_err());
}
