use super::*;

/// Configuration with customers, in which `/plain/` is public.
fn config_with_customers(version: u64) -> Value {
    let mut config = config(version, "s1");
    config["routes"][0]["public"] = json!(true);
    config["tenants"] = json!([
        {"name": "hule930", "apiKeys": ["k-1"], "priority": 3},
        {"name": "fida11", "apiKeys": ["k-2"]},
    ]);
    config
}

/// Status of a request with this key.
async fn status(harness: &Harness, target: &str, key: Option<&str>) -> u16 {
    let url = format!("http://{}{target}", harness.gateway.address());
    let mut request = harness
        .client
        .post(url)
        .insert_header(("Host", "kitchen.example"))
        .insert_header(("Token-Count", "8,2"))
        .insert_header(("Tenant", "forged"));
    if let Some(key) = key {
        request = request.insert_header(("Authorization", format!("Bearer {key}")));
    }
    let mut response = request.send_body("print 7").await.expect("a response");
    response.body().await.expect("a whole body");
    response.status().as_u16()
}

/// What the endpoint last received of the sender and of the priority.
fn received(endpoint: &Endpoint) -> Vec<String> {
    let last = endpoint.seen().pop().expect("a request");
    let mut lines: Vec<String> = last
        .headers
        .iter()
        .filter(|(name, _)| {
            ["authorization", "tenant", "request-priority"].contains(&name.as_str())
        })
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    lines.sort();
    lines
}

/// Guards against a request that is served without a key, or passed on with the key or with a name that
/// the client chose; and against a change for those who configure no customers.
#[actix_web::test]
async fn keys_are_replaced_by_the_names_of_customers() {
    let (harness, [endpoint, _other]) = Harness::with_two_services().await;
    let mut steps = vec!["without customers".to_owned()];
    steps.push(status(&harness, "/once/1", Some("k-9")).await.to_string());
    steps.push(received(&endpoint).join(", "));
    harness.store.put("op/config", &config_with_customers(4));
    for _ in 0..MAX_POLLS {
        if status(&harness, "/once/1", None).await == 401 {
            break;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    for target in ["/once/1", "/plain/1", "/unknown/1"] {
        for key in [None, Some("k-1"), Some("k-2"), Some("k-9")] {
            let before = endpoint.seen().len();
            let status = status(&harness, target, key).await;
            let headers = if endpoint.seen().len() > before {
                received(&endpoint).join(", ")
            } else {
                "not sent".to_owned()
            };
            steps.push(format!("{target} {key:?}: {status}, {headers}"));
        }
    }
    insta::assert_debug_snapshot!(steps);
}

/// Waits until a request has this status.
async fn wait_for_status(harness: &Harness, target: &str, key: &str, expected: u16) {
    for _ in 0..MAX_POLLS {
        if status(harness, target, Some(key)).await == expected {
            return;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    panic!("{target} never had status {expected}");
}

/// Guards against a removed key that is accepted without end by a gateway that does not reach the store,
/// against requests on public routes that are refused with it, and against a gateway that accepts no keys
/// after the store has returned.
#[actix_web::test]
async fn keys_are_refused_while_the_plan_is_not_confirmed() {
    let settings = format!(r#"{STOP_SETTINGS}, "key_revocation": "3s""#);
    let harness = Harness::with_settings(&settings).await;
    let endpoint = Endpoint::bind("e1").expect("a free port");
    let entry = endpoint.entry("s1", "ready");
    harness.store.put("servers/e1", &entry);
    harness.store.put("op/config", &config_with_customers(4));
    wait_for_status(&harness, "/once/1", "k-1", 200).await;
    harness.store.port().down().await;
    wait_for_status(&harness, "/once/1", "k-1", 503).await;
    assert_eq!(status(&harness, "/once/1", None).await, 401);
    assert_eq!(status(&harness, "/plain/1", Some("k-1")).await, 200);
    assert_eq!(received(&endpoint), ["request-priority: 0"]);
    assert_eq!(harness.readiness_status().await, 503);
    let mut without_key = config_with_customers(5);
    without_key["tenants"][0]["apiKeys"] = json!([]);
    harness.store.put("op/config", &without_key);
    harness.store.port().up().await.expect("the port is free");
    wait_for_status(&harness, "/once/1", "k-2", 200).await;
    assert_eq!(status(&harness, "/once/1", Some("k-1")).await, 401);
    assert_eq!(harness.readiness_status().await, 200);
}
