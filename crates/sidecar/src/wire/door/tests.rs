use super::*;
use actix_http::test::TestRequest;

fn status(method: Method, path: &str, headers: &[(&'static str, &'static str)]) -> u16 {
    let mut request = TestRequest::default();
    request.method(method).uri(path);
    for (name, value) in headers {
        request.append_header((*name, *value));
    }
    let read = arrival(&crate::testing::exchange(), request.finish().head());
    read.map_or_else(|response| response.status().as_u16(), |_| 200)
}

#[test]
fn only_what_fits_its_path_group_comes_in() {
    let good = [
        ("x-txn", "a1"),
        ("x-remaining-ms", "400"),
        ("x-entity", "e"),
    ];
    let with = |more| [&good[..], &[more]].concat();
    assert_eq!(status(Method::GET, "/read/x", &good), 200);
    assert_eq!(
        status(Method::POST, "/pay", &with(("content-length", "10"))),
        200
    );
    assert_eq!(
        status(Method::POST, "/book", &with(("idempotency-key", "k"))),
        200
    );
    assert_eq!(status(Method::GET, "/other", &good), 404);
    assert_eq!(status(Method::POST, "/read", &good), 405);
    assert_eq!(status(Method::HEAD, "/read", &good), 405);
    assert_eq!(status(Method::GET, "/pay", &good), 405);
    assert_eq!(status(Method::POST, "/book", &good), 405);
    assert_eq!(
        status(Method::POST, "/pay", &with(("idempotency-key", "k"))),
        405
    );
    assert_eq!(
        status(Method::POST, "/pay", &with(("content-length", "65537"))),
        413
    );
    for more in [
        ("x-txn", "a2"),
        ("x-entity", "f"),
        ("x-remaining-ms", "400"),
        ("content-length", "3"),
    ] {
        assert_eq!(status(Method::GET, "/read", &with(more)), 400, "{more:?}");
    }
    for remaining in ["", "soon", "-5", "+5", "1e3", "99999999999"] {
        assert_eq!(
            status(
                Method::GET,
                "/read",
                &[("x-txn", "a1"), ("x-remaining-ms", remaining)]
            ),
            400
        );
    }
    assert_eq!(
        status(Method::GET, "/read", &[("x-remaining-ms", "400")]),
        400
    );
    assert_eq!(
        status(
            Method::GET,
            "/read",
            &[("x-txn", " "), ("x-remaining-ms", "400")]
        ),
        400
    );
}
