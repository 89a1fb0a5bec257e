use super::*;

/// Checks that mistakes in a settings file are all reported when it is read, not at run time.
#[test]
fn faults_are_reported() {
    let text = r#"{"process": "entry 1", "zone": 4, "listen": "localhost", "store": [],
        "stop_delay": "5", "log": "inf", "workers": 0, "seed": []}"#;
    let entry = Entry::parse("entry.jsonc", text).unwrap_err();
    let agent = Agent::parse("agent.jsonc", r#"{"kind": "engin"}"#).unwrap_err();
    insta::assert_snapshot!(format!("{entry}\n{agent}"));
}

/// Checks that the fault for a missing file contains its name.
#[test]
fn missing_file_is_reported() {
    insta::assert_snapshot!(Entry::open("missing.jsonc").expect_err("no such file"));
}

/// Guards against a setting that is ignored, or against another default.
#[test]
fn overload_is_read() {
    let read = |overload: &str| {
        let text = format!(
            r#"{{"process": "g1", "zone": "a", "listen": "127.0.0.1:1",
                "readiness": "127.0.0.1:2", "store": "127.0.0.1:3"{overload}}}"#
        );
        match Gateway::parse("gateway.jsonc", &text) {
            Ok(settings) => settings.overload.to_string(),
            Err(faults) => faults.render(),
        }
    };
    let overloads = [
        "",
        r#", "overload": "by-cost""#,
        r#", "overload": "by-price""#,
    ];
    insta::assert_snapshot!(overloads.map(read).join("\n"));
}
