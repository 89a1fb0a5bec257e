use super::{
    Line,
    sample::{field, ticks},
    sections,
};

/// Guards against a fit that does not reproduce a known line.
#[test]
fn line_recovers_slope_and_intercept() {
    let exact = Line::fit(&[(10.0, 25.0), (100.0, 205.0), (300.0, 605.0)]);
    let off = Line::fit(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]);
    let single = Line::fit(&[(7.0, 4.0)]);
    insta::assert_debug_snapshot!([exact, off, single].map(|line| {
        let round = |value: f64| (value * 1e6).round() / 1e6;
        [line.slope, line.intercept, line.residual].map(round)
    }));
}

/// Guards against misreading `/proc/PID/stat` when the process name contains spaces and
/// parentheses, which shifts the fields.
#[test]
fn proc_files_are_parsed() {
    let stat = "42 (a ) b) S 1 42 42 0 -1 4194304 100 0 0 0 17 5 0 0 20 0 3 0 100";
    let status = "Name:\tx\nVmRSS:\t    1234 kB\nRssAnon:\t     567 kB\n";
    insta::assert_debug_snapshot!((
        ticks(stat).ok(),
        ticks("42 (x").ok(),
        field(status, "VmRSS:"),
        field(status, "RssAnon:"),
        field(status, "VmSwap:"),
    ));
}

/// Guards against a `callers` section that is much larger or smaller than requested, which would
/// make the measured document sizes wrong.
#[test]
fn callers_section_has_requested_size() {
    for size in [20_000, 100_000, 400_000] {
        let length = sections::callers(size).len();
        assert!(
            length.abs_diff(size) < 500,
            "{length} bytes instead of {size}"
        );
    }
}
