//! Runs the `mulberrymill` binary and checks its exit status and standard error.

use std::{env, fs, net::TcpListener, process::Command};

use serde_json::json;

/// Guards against an entry that panics when its port is in use, which hid the cause of the error.
#[test]
fn port_in_use_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("the listener is bound");
    let settings = json!({
        "process": "entry-1",
        "zone": "a",
        "listen": address,
        "store": [address],
        "operator_key_sha256": "0".repeat(64),
        "log": "error",
    });
    let name = format!("mulberrymill-{}-port-in-use.jsonc", std::process::id());
    let file = env::temp_dir().join(name);
    fs::write(&file, settings.to_string()).expect("the temporary directory is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_mulberrymill"))
        .args(["entry", "--settings"])
        .arg(&file)
        .output()
        .expect("the binary starts");
    fs::remove_file(&file).expect("the settings file exists");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
    let expected = format!("cannot listen on {address}: Address already in use");
    assert!(stderr.contains(&expected), "{stderr}");
}

/// Guards against a process that starts with invalid settings instead of exiting with status 2.
#[test]
fn invalid_settings_exit_with_status_2() {
    let name = format!("mulberrymill-{}-invalid-settings.jsonc", std::process::id());
    let file = env::temp_dir().join(name);
    fs::write(&file, "{\"process\": \"entry 1\"}").expect("the temporary directory is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_mulberrymill"))
        .args(["entry", "--settings"])
        .arg(&file)
        .output()
        .expect("the binary starts");
    fs::remove_file(&file).expect("the settings file exists");
    assert_eq!(output.status.code(), Some(2));
}
