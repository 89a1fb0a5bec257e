use super::*;

/// Guards against settings with a slip that an operator would only notice at run time.
#[test]
fn faults_are_reported() {
    let text = r#"{"process": "entry 1", "zone": 4, "listen": "localhost", "store": [],
        "stop_delay": "5", "log": "inf", "workers": 0, "seed": []}"#;
    let entry = Entry::parse("entry.jsonc", text).unwrap_err();
    let agent = Agent::parse("agent.jsonc", r#"{"kind": "engin"}"#).unwrap_err();
    insta::assert_snapshot!(format!("{entry}\n{agent}"));
}

/// Guards against a missing file that is reported without its name.
#[test]
fn missing_file_is_reported() {
    insta::assert_snapshot!(Entry::open("missing.jsonc").expect_err("no such file"));
}
