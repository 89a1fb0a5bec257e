use std::sync::{Arc, Mutex};

use ::log::{Level, Log, Metadata, Record, kv};

use super::imp::Named;

/// Keeps the attributes of the last record as text.
#[derive(Default)]
struct Last(Arc<Mutex<String>>);

struct Text(String);

impl<'kvs> kv::VisitSource<'kvs> for Text {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0 = format!("{}{key}={value} ", self.0);
        Ok(())
    }
}

impl Log for Last {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut text = Text(String::new());
        record.key_values().visit(&mut text).expect("text only");
        *self.0.lock().expect("one thread") = text.0;
    }

    fn flush(&self) {}
}

/// Guards against log lines that lose their attributes or do not name their process.
#[test]
fn records_name_their_process() {
    let last = Arc::new(Mutex::new(String::new()));
    let named = Named {
        inner: Box::new(Last(Arc::clone(&last))),
        process: "entry-1".to_owned(),
    };
    let pairs = [("request", "2a"), ("class", "verdict")];
    let record = Record::builder()
        .level(Level::Info)
        .key_values(&pairs)
        .build();
    named.log(&record);
    insta::assert_snapshot!(last.lock().expect("one thread"));
}
