//! The binary, as an operator runs it.

use std::{env, fs, net::TcpListener, process::Command};

use serde_json::json;

/// Guards against a panic of an entry whose port is in use, which hid the reason.
#[test]
fn taken_port_is_reported() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = taken.local_addr().expect("bound");
    let settings = json!({
        "process": "entry-1",
        "zone": "a",
        "listen": address,
        "store": [address],
        "operator_key_sha256": "0".repeat(64),
        "log": "error",
    });
    let name = format!("mulberrymill-{}-taken-port.jsonc", std::process::id());
    let file = env::temp_dir().join(name);
    fs::write(&file, settings.to_string()).expect("writable folder");
    let output = Command::new(env!("CARGO_BIN_EXE_mulberrymill"))
        .args(["entry", "--settings"])
        .arg(&file)
        .output()
        .expect("the binary runs");
    fs::remove_file(&file).expect("written above");
    let complaint = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{complaint}");
    assert!(!complaint.contains("panicked"), "{complaint}");
    let expected = format!("cannot listen on {address}: Address already in use");
    assert!(complaint.contains(&expected), "{complaint}");
}

/// Guards against settings with faults that a process starts with all the same.
#[test]
fn faults_of_settings_end_the_process() {
    let name = format!("mulberrymill-{}-faults.jsonc", std::process::id());
    let file = env::temp_dir().join(name);
    fs::write(&file, "{\"process\": \"entry 1\"}").expect("writable folder");
    let output = Command::new(env!("CARGO_BIN_EXE_mulberrymill"))
        .args(["entry", "--settings"])
        .arg(&file)
        .output()
        .expect("the binary runs");
    fs::remove_file(&file).expect("written above");
    assert_eq!(output.status.code(), Some(2));
}
