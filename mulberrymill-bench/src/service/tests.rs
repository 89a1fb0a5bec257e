use super::*;

async fn print(service: &Handle, key: &str) -> String {
    let url = format!("http://{}/print", service.address());
    let request = awc::Client::default()
        .post(url)
        .insert_header(("idempotency-key", key));
    match request.send_body("labels").await {
        Ok(mut response) => match response.body().await {
            Ok(body) => format!("{} {}", response.status(), String::from_utf8_lossy(&body)),
            Err(_error) => "answer lost".to_owned(),
        },
        Err(_error) => "no connection".to_owned(),
    }
}

/// Guards against executions that are not counted, and against faults with the wrong effect: an
/// operation whose response is lost must be executed, and a refused one must not.
#[actix_web::test]
async fn executions_are_counted_through_faults() {
    let service = bind(Config::default()).expect("bound");
    let mut lines = vec![print(&service, "a").await, print(&service, "a").await];
    for (fault, key) in [
        (Fault::LoseNextAnswer, "lost"),
        (Fault::Refuse { count: 1 }, "refused"),
        (Fault::Down, "down"),
        (Fault::Up, "up"),
    ] {
        service.fault(fault).await.expect("injected");
        lines.push(print(&service, key).await);
    }
    let executions = service.executions().await.expect("running");
    insta::assert_debug_snapshot!((lines, executions));
}
