//! Messages as frames.

use magpieline_control_plane::messages::{
    decode_frame, encode_frame, ControllerMessage, Fenced, ProxyMessage, Report,
};

/// Frames that arrive in parts wait until they are complete, and foreign bytes are refused.
#[test]
fn frames_are_complete_or_wait_or_are_refused() {
    let (first, second) = (
        ProxyMessage::Report(Report {
            config_version: Some(3),
            ..Report::default()
        }),
        Fenced {
            term: 4,
            message: ControllerMessage::Heartbeat {
                proxies: 9,
                confirmed_at: 5,
                config_version: None,
            },
        },
    );
    let mut bytes = encode_frame(&first);
    bytes.extend(encode_frame(&second));
    let (mut came, mut read) = (Vec::new(), Vec::new());
    for byte in bytes {
        came.push(byte);
        if read.is_empty() {
            read.extend(decode_frame::<ProxyMessage>(&mut came).expect("ours"));
        }
    }
    assert_eq!(
        (read, decode_frame::<Fenced<ControllerMessage>>(&mut came)),
        (vec![first], Ok(Some(second)))
    );
    assert!(decode_frame::<ProxyMessage>(&mut b"GET / HTTP/1.1".to_vec()).is_err());
}
