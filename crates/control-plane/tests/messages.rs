//! Messages as frames.

use magpieline_control_plane::messages::{frame, unframe, Down, Fenced, Report, Up};

/// Guards against frames that are taken apart wrongly where they arrive in pieces or are not ours.
#[test]
fn frames_are_whole_or_wait_or_are_refused() {
    let (first, second) = (
        Up::Report(Report {
            edition: 3,
            ..Report::default()
        }),
        Fenced {
            term: 4,
            word: Down::Beat {
                counters: 9,
                asked: 5,
                edition: 0,
            },
        },
    );
    let mut bytes = frame(&first);
    bytes.extend(frame(&second));
    let (mut came, mut read) = (Vec::new(), Vec::new());
    for byte in bytes {
        came.push(byte);
        if read.is_empty() {
            read.extend(unframe::<Up>(&mut came).expect("ours"));
        }
    }
    assert_eq!(
        (read, unframe::<Fenced<Down>>(&mut came)),
        (vec![first], Ok(Some(second)))
    );
    assert!(unframe::<Up>(&mut b"GET / HTTP/1.1".to_vec()).is_err());
}
