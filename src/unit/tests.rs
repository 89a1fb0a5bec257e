use proptest::prelude::*;

use super::*;

fn text_or_error<T: std::fmt::Display>(parsed: Result<T>) -> String {
    match parsed {
        Ok(value) => value.to_string(),
        Err(error) => error.to_string(),
    }
}

/// Guards against a quantity that is accepted with a wrong unit or without one.
#[test]
fn wrong_units_are_rejected() {
    let texts = [
        "64KiB",
        "100 tokens",
        "50/s",
        "25%",
        "101%",
        "250ms",
        "1.5s",
        "9",
        "-1/s",
        "NaN/s",
    ];
    let table: Vec<String> = texts
        .iter()
        .map(|text| {
            [
                format!("{text:?}"),
                text_or_error(text.parse::<Bytes>()),
                text_or_error(text.parse::<Tokens>()),
                text_or_error(text.parse::<Rate>()),
                text_or_error(text.parse::<Share>()),
                text_or_error(period::parse(text).map(period::print)),
            ]
            .join(" | ")
        })
        .collect();
    insta::assert_debug_snapshot!(table);
}

proptest! {
    /// Guards against an overflow or panic on a quantity in a document.
    #[test]
    fn parsing_never_panics(text in "[0-9]{0,25}(B|KiB|MiB|GiB|ms|s|min|%|/s| tokens)?") {
        let _bytes = text.parse::<Bytes>();
        let _tokens = text.parse::<Tokens>();
        let _rate = text.parse::<Rate>();
        let _share = text.parse::<Share>();
        let _slowdown = text.parse::<Slowdown>();
        let _period = period::parse(&text);
    }

    /// Guards against a size whose text form parses to another size.
    #[test]
    fn sizes_round_trip(number in any::<u64>()) {
        let bytes = Bytes::new(number);
        prop_assert_eq!(bytes.to_string().parse(), Ok(bytes));
    }
}

/// Guards against a slowdown of zero, which makes work take no time.
#[test]
fn slowdowns_are_bounded() {
    let texts = ["130%", "1%", "0%", "99999%", "4294967296%", "-5%", "130"];
    let table = texts.map(|text| format!("{text:?} | {}", text_or_error(text.parse::<Slowdown>())));
    insta::assert_debug_snapshot!(table);
}
