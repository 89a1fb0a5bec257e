//! Open connections to the store go silent for good, while new ones work. The configuration changes right
//! after that.

#[path = "../stand/mod.rs"]
mod stand;

use std::{path::Path, thread};

use stand::{Engine, Gateway, Record, Store, Temp, config, route, run_clients, sleep_until, sound, t, trouble, verdict};

/// `stableWindowMs`: so long after the connections went silent the machines are in touch again.
const WINDOW: f64 = 3.0;
/// `configApplyMs`.
const APPLY: f64 = 2.0;
/// Added to the bounds, for the measurement.
const MARGIN: f64 = 0.05;
const SILENT_AT: f64 = 10.0;
const CHANGED_AT: f64 = 10.2;

fn main() {
    let record = Record::create(Path::new("review/4"));
    let broken = {
        let temp = Temp::create();
        let store = Store::start(&record);
        let routes = |service: &str| {
            [
                route("pay", "/pay/", "non_idempotent", service, 600, 1),
                route("balance", "/balance/", "idempotent", service, 600, 2),
            ]
        };
        let services = ["app-old", "app-new"];
        store.put("op/config", &config(3, &routes("app-old"), &services));
        let old: Vec<_> = (1..=3).map(|n| Engine::start(&format!("old-{n}"), "app-old", sound(15), &record)).collect();
        let new: Vec<_> = (1..=3).map(|n| Engine::start(&format!("new-{n}"), "app-new", sound(15), &record)).collect();
        for engine in old.iter().chain(&new) {
            engine.register(&store);
            stand::sleep_ms(170);
        }
        let gateways: Vec<_> = (1..=5).map(|n| Gateway::start(&format!("edge-{n}"), store.address, &temp.0)).collect();
        gateways.iter().for_each(Gateway::wait_ready);
        let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.listen).collect();
        let clients = {
            let record = record.clone();
            thread::spawn(move || run_clients(&addresses, 10, 100, SILENT_AT + 9.0, &[("POST", "/pay/2f"), ("GET", "/balance/2f")], &record))
        };
        sleep_until(SILENT_AT);
        let silent_at = t();
        if trouble() {
            record.tell(format!("{} open connections to the store go silent; new ones work", store.silence_open_connections()));
        }
        sleep_until(CHANGED_AT);
        store.put("op/config", &config(7, &routes("app-new"), &services));
        let acknowledged = t();
        record.tell("version 7 is acknowledged: all routes lead to app-new");
        let done = clients.join().unwrap_or_default();

        let in_touch = if trouble() { silent_at + WINDOW } else { 0.0 };
        let judged_from = (acknowledged + APPLY).max(in_touch) + MARGIN;
        let mut late = 0;
        for gateway in &gateways {
            let sent: Vec<_> = done.iter().filter(|e| e.gateway == gateway.listen && e.sent_at > acknowledged).collect();
            let run_by_old = |e: &&&stand::Exchange| e.answer.head.get("server-stamp").is_some_and(|stamp| stamp.starts_with("old-"));
            let last = sent.iter().filter(run_by_old).map(|e| e.sent_at).fold(acknowledged, f64::max);
            let own = sent.iter().filter(run_by_old).filter(|e| e.sent_at > judged_from).count();
            record.tell(format!(
                "{}: last request that app-old ran was sent {:.2} s after the acknowledgement, {:.2} s after the silence; {own} requests count",
                gateway.name, last - acknowledged, last - silent_at
            ));
            late += own;
        }
        let served = done.iter().filter(|e| e.answer.status == 200).count();
        record.tell(format!("{} requests, {served} served; {late} handled as only version 3 allows", done.len()));
        if served * 2 < done.len() {
            stand::cannot_run("less than half of the requests were served");
        }
        late > 0
    };
    verdict(&record, broken, "CONFIG, a request sent later than configApplyMs after the acknowledgement is run by the old service");
}
