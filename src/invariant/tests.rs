use super::*;

/// Guards against a breach that passes a test run unnoticed.
#[test]
#[should_panic(expected = "invariant no-revert does not hold: 4 after 5")]
fn breach_is_fatal_under_test() {
    check(Point::NoRevert, false, || "4 after 5".to_owned());
}
