use super::*;

/// Guards against a violation that does not fail a test.
#[test]
#[should_panic(expected = "invariant no-revert does not hold: 4 after 5")]
fn violation_panics_in_tests() {
    check(Invariant::NoRevert, false, || "4 after 5".to_owned());
}
