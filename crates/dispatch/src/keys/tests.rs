use super::*;

#[test]
fn keys_keep_their_index_and_never_exceed_the_bound() {
    let mut keys = Keys::default();
    assert_eq!(
        (keys.index("a"), keys.index("b"), keys.index("a")),
        (0, 1, 0)
    );
    assert!((0..MOST + 1000).all(|i| keys.index(&i.to_string()) < MOST));
    assert_eq!((keys.places.len(), keys.index("b")), (MOST, 1));
}
