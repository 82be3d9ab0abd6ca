#[test]
fn the_interval_is_the_tables_own() {
    // 0 of 300: 1 - 0.025^(1/300); 5 of 100: from printed tables.
    assert!((super::exact(0, 300).1 - 0.012_220).abs() < 1e-5);
    let (low, high) = super::exact(5, 100);
    assert!(
        (low - 0.016_432).abs() < 1e-5 && (high - 0.112_835).abs() < 1e-5,
        "{low} {high}"
    );
    assert_eq!(super::exact(7, 7).1, 1.0);
}
