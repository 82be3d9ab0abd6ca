//! Against bytes that a complete set of the published types has written (a crate of them, once, by hand: it takes a
//! minute and a half to build).

use super::*;
use prost::Message;

const ASKS: [&str; 6] = [
    "121e0a1a0a0d0a053a7061746812042f7061790a090a04782d69641a013718015001",
    "1a1e0a1a0a0d0a053a7061746812042f7061790a090a04782d69641a013718015001",
    "22080a04626f647910015001",
    "2a080a04626f647910015001",
    "321c0a1a0a0d0a053a7061746812042f7061790a090a04782d69641a01375001",
    "3a1c0a1a0a0d0a053a7061746812042f7061790a090a04782d69641a01375001",
];

const ANSWERS: [&str; 7] = [
    "0a280a2612220a190a150a06782d6e6f64651a0b31302e302e302e313a383018021205782d6f6c642801",
    "12280a2612220a190a150a06782d6e6f64651a0b31302e302e302e313a383018021205782d6f6c642801",
    "1a280a2612220a190a150a06782d6e6f64651a0b31302e302e302e313a383018021205782d6f6c642801",
    "22280a2612220a190a150a06782d6e6f64651a0b31302e302e302e313a383018021205782d6f6c642801",
    "2a240a220a190a150a06782d6e6f64651a0b31302e302e302e313a383018021205782d6f6c64",
    "32240a220a190a150a06782d6e6f64651a0b31302e302e302e313a383018021205782d6f6c64",
    "3a390a0308f70312220a190a150a06782d6e6f64651a0b31302e302e302e313a383018021205782d6f6c641a056c617465722a07626f756e636564",
];

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal"))
        .collect()
}

fn header(key: &str, value: &str, raw: &[u8]) -> HeaderValue {
    HeaderValue {
        key: key.into(),
        value: value.into(),
        raw_value: raw.to_vec(),
    }
}

#[test]
fn field_numbers_are_the_published_ones() {
    let map = HeaderMap {
        headers: vec![header(":path", "/pay", b""), header("x-id", "", b"7")],
    };
    let headers = HttpHeaders {
        headers: Some(map.clone()),
        end_of_stream: true,
    };
    let body = HttpBody {
        body: b"body".to_vec(),
        end_of_stream: true,
    };
    let trailers = HttpTrailers {
        trailers: Some(map),
    };
    let asks = [
        Shown::RequestHeaders(headers.clone()),
        Shown::ResponseHeaders(headers),
        Shown::RequestBody(body.clone()),
        Shown::ResponseBody(body),
        Shown::RequestTrailers(trailers.clone()),
        Shown::ResponseTrailers(trailers),
    ];
    for (request, golden) in asks.into_iter().zip(ASKS) {
        let own = ProcessingRequest {
            request: Some(request),
            observability_mode: true,
        };
        assert_eq!(own.encode_to_vec(), bytes(golden));
        assert_eq!(ProcessingRequest::decode(&bytes(golden)[..]), Ok(own));
    }
    let append_action = AppendAction::OverwriteIfExistsOrAdd as i32;
    let set = HeaderValueOption {
        header: Some(header("x-node", "", b"10.0.0.1:80")),
        append_action,
    };
    let mutation = HeaderMutation {
        set_headers: vec![set],
        remove_headers: vec!["x-old".into()],
    };
    let response = Some(CommonResponse {
        header_mutation: Some(mutation.clone()),
        clear_route_cache: true,
    });
    let (common, trailers) = (
        CommonAnswer { response },
        TrailersAnswer {
            header_mutation: Some(mutation.clone()),
        },
    );
    let answers = [
        Reply::RequestHeaders(common.clone()),
        Reply::ResponseHeaders(common.clone()),
        Reply::RequestBody(common.clone()),
        Reply::ResponseBody(common),
        Reply::RequestTrailers(trailers.clone()),
        Reply::ResponseTrailers(trailers),
        Reply::ImmediateResponse(ImmediateResponse {
            status: Some(HttpStatus { code: 503 }),
            headers: Some(mutation),
            body: b"later".to_vec(),
            details: "bounced".into(),
        }),
    ];
    for (response, golden) in answers.into_iter().zip(ANSWERS) {
        let own = ProcessingResponse {
            response: Some(response),
        };
        assert_eq!(own.encode_to_vec(), bytes(golden));
        assert_eq!(ProcessingResponse::decode(&bytes(golden)[..]), Ok(own));
    }
}

/// Newer callers say more than is known here.
#[test]
fn fields_that_are_not_known_are_passed_over() {
    let mut more = bytes(ASKS[0]);
    more.extend([0xa2, 0x06, 3, 1, 2, 3]); // field 100, three bytes
    let known = ProcessingRequest::decode(&bytes(ASKS[0])[..]);
    assert_eq!(ProcessingRequest::decode(&more[..]), known);
}
