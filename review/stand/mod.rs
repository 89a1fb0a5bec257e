//! Stand-ins for the scripts of the review: the platform's store, engines, clients, and a starter for
//! gateways with the command and the template of the deploy file. Standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------------------------------------
// Time and record

static START: OnceLock<Instant> = OnceLock::new();

/// Seconds since the script began.
pub fn t() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until `seconds` after the start of the script.
pub fn sleep_until(seconds: f64) {
    let left = seconds - t();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(folder: &Path) -> Self {
        t();
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(Arc::new(Mutex::new(file)))
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", t(), text.as_ref());
        if let Ok(mut file) = self.0.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Writes a line to the record and to the standard output.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", t(), text.as_ref());
        self.say(text);
    }
}

/// Ids of the processes that the script started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script: the case could not run. Ends the processes that it started.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    let children = CHILDREN.lock().map(|ids| ids.clone()).unwrap_or_default();
    for id in children {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    std::process::exit(2)
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> String {
        self.head.get("request-id").unwrap_or("").to_owned()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').find_map(|pair| {
            let (n, value) = pair.split_once('=')?;
            (n == name).then(|| value.to_owned())
        })?;
        Some(percent_decode(&pair))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(byte);
                i += 3;
                continue;
            }
        }
        out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        if !line.ends_with(b"\n") {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line;
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    read_chunks_into(reader, &mut body)?;
    Ok(body)
}

fn read_chunks_into(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        if size > 1 << 26 {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "chunk size"));
        }
        let mut part = vec![0; size];
        reader.read_exact(&mut part)?;
        body.extend_from_slice(&part);
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(head) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = head.first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let body = if head.get("transfer-encoding").is_some() {
        read_chunks(reader)?
    } else {
        let length = head.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(Request { method, target, head, body }))
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub complete: bool,
    pub error: String,
    /// Seconds of the script at the end of the answer.
    pub at: f64,
}

/// Connection of a client to a gateway.
pub struct Caller {
    pub reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads one answer by the framing of HTTP/1.1.
    pub fn receive(&mut self) -> Answer {
        let mut answer = Answer::default();
        if let Err(error) = self.receive_into(&mut answer) {
            answer.error = error.to_string();
        }
        answer.at = t();
        answer
    }

    fn receive_into(&mut self, answer: &mut Answer) -> io::Result<()> {
        let head = read_head(&mut self.reader)?
            .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))?;
        answer.status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let chunked = head
            .get("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
        let length: Option<usize> = head.get("content-length").and_then(|l| l.parse().ok());
        answer.head = head;
        if matches!(answer.status, 204 | 304) {
            // No body.
        } else if chunked {
            read_chunks_into(&mut self.reader, &mut answer.body)?;
        } else if let Some(length) = length {
            while answer.body.len() < length {
                let mut part = vec![0; (length - answer.body.len()).min(65_536)];
                let read = self.reader.read(&mut part)?;
                if read == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                answer.body.extend_from_slice(&part[..read]);
            }
        } else {
            self.reader.read_to_end(&mut answer.body)?;
        }
        answer.complete = true;
        Ok(())
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Answer {
    match Caller::open(address, limit) {
        Ok(mut caller) => match caller.send(request.as_bytes()) {
            Ok(()) => caller.receive(),
            Err(error) => Answer { error: format!("send: {error}"), at: t(), ..Answer::default() },
        },
        Err(error) => Answer { error: format!("connect: {error}"), at: t(), ..Answer::default() },
    }
}

/// A request of a client with an id and a deadline.
pub fn request_text(method: &str, host: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{length}\r\n{body}")
}

// ---------------------------------------------------------------------------------------------
// Base64 and JSON

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let n = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= group.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// The text of a field of a flat JSON object, without its quotes.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = text[at..].trim_start().strip_prefix(':')?.trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return rest.split('"').next().map(str::to_owned);
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Keys {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Stand-in of the platform's store, by PROTOCOL.md.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    keys: Arc<(Mutex<Keys>, Condvar)>,
    connections: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    /// Connections that have gone silent; they stay open.
    kept: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let store = Self {
            address,
            keys: Arc::default(),
            connections: Arc::default(),
            kept: Arc::default(),
            record: record.clone(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(50);
                expiry.expire();
            }
        });
        store
    }

    /// All open connections go silent for good; new ones work. Returns how many there are.
    pub fn silence_open_connections(&self) -> usize {
        let open = std::mem::take(&mut *self.connections.lock().unwrap());
        let live: Vec<_> = open.into_iter().filter(|c| Arc::strong_count(c) > 1).collect();
        for connection in &live {
            connection.store(true, Ordering::SeqCst);
        }
        live.len()
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.put_base64(key, base64(value.as_bytes()), 0)
    }

    fn put_base64(&self, key: &str, value: String, lease: u64) -> u64 {
        let (lock, changed) = &*self.keys;
        let mut keys = lock.lock().unwrap();
        keys.rev += 1;
        let rev = keys.rev;
        let created = keys.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created, lease };
        keys.items.insert(key.to_owned(), item.clone());
        keys.history.push((rev, key.to_owned(), Some(item)));
        changed.notify_all();
        rev
    }

    pub fn remove(&self, key: &str) {
        let (lock, changed) = &*self.keys;
        let mut keys = lock.lock().unwrap();
        if keys.items.remove(key).is_some() {
            keys.rev += 1;
            let rev = keys.rev;
            keys.history.push((rev, key.to_owned(), None));
            changed.notify_all();
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        let gone: Vec<String> = {
            let mut keys = self.keys.0.lock().unwrap();
            let ended: Vec<u64> = keys.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
            for id in &ended {
                keys.leases.remove(id);
            }
            let items = keys.items.iter().filter(|(_, item)| item.lease > 0 && ended.contains(&item.lease));
            items.map(|(key, _)| key.clone()).collect()
        };
        for key in gone {
            self.remove(&key);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let silent = Arc::new(AtomicBool::new(false));
        self.connections.lock().unwrap().push(Arc::clone(&silent));
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            if silent.load(Ordering::SeqCst) {
                break;
            }
            let (status, body) = self.answer(&request, &silent);
            if silent.load(Ordering::SeqCst) {
                break;
            }
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            (&stream).write_all(text.as_bytes())?;
        }
        if silent.load(Ordering::SeqCst) {
            self.kept.lock().unwrap().push(stream);
        }
        Ok(())
    }

    fn answer(&self, request: &Request, silent: &AtomicBool) -> (&'static str, String) {
        let path = request.path().strip_prefix("/mulberrymill/").unwrap_or("").to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let keys = self.keys.0.lock().unwrap();
                let found = keys.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                ("200 OK", format!("{{\"items\":[{}],\"truncated\":false,\"asOf\":{}}}", items.join(","), keys.rev))
            }
            ("GET", "kv-key") => {
                let key = request.query("key").unwrap_or_default();
                let keys = self.keys.0.lock().unwrap();
                match keys.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        ("200 OK", format!("{},\"asOf\":{}}}", &text[..text.len() - 1], keys.rev))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "kv-watch") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after: u64 = request.query("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let (lock, changed) = &*self.keys;
                let mut keys = lock.lock().unwrap();
                loop {
                    let events: Vec<String> = keys
                        .history
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix))
                        .map(|(rev, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"removed\":true}}"),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end || silent.load(Ordering::SeqCst) {
                        let text = format!("{{\"events\":[{}],\"asOf\":{}}}", events.join(","), keys.rev);
                        return ("200 OK", text);
                    }
                    keys = changed.wait_timeout(keys, end - now).unwrap().0;
                }
            }
            ("POST", "kv-lease") => {
                let ttl: u64 = json_field(&body, "ttlMs").and_then(|t| t.parse().ok()).unwrap_or(1000);
                let mut keys = self.keys.0.lock().unwrap();
                keys.next_lease += 1;
                let id = 70_000 + keys.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                keys.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
                ("200 OK", format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", "kv-txn") => {
                // The gateway writes its own entry and has no conditions.
                let key = json_field(&body, "key").unwrap_or_default();
                let value = json_field(&body, "value").unwrap_or_default();
                let lease = json_field(&body, "lease").and_then(|l| l.parse().ok()).unwrap_or(0);
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return ("403 Forbidden", "{}".to_owned());
                }
                let rev = self.put_base64(&key, value, lease);
                ("200 OK", format!("{{\"rev\":{rev}}}"))
            }
            ("POST", keep) if keep.starts_with("kv-keep/") => {
                let id: u64 = keep[8..].parse().unwrap_or(0);
                let mut keys = self.keys.0.lock().unwrap();
                match keys.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        ("200 OK", format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", end) if end.starts_with("kv-lease-end/") => {
                let id: u64 = end[13..].parse().unwrap_or(0);
                if let Some(lease) = self.keys.0.lock().unwrap().leases.get_mut(&id) {
                    lease.0 = Instant::now();
                }
                self.expire();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"createRev\":{},\"lease\":{}}}",
        item.value, item.rev, item.created, item.lease
    )
}

// ---------------------------------------------------------------------------------------------
// Engines

/// A request that an engine got.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub at: f64,
    pub request: Request,
    /// Whether the engine ran it.
    pub ran: bool,
}

/// How an engine answers a request that it runs. Returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Engine, &Request, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// Stand-in of an endpoint of a plain service, by PROTOCOL.md.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub draining: Arc<AtomicBool>,
    pub seq: Arc<AtomicU64>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    stopped: Arc<AtomicBool>,
    behaviour: Behaviour,
    pub record: Record,
}

impl Engine {
    pub fn start(id: &str, service: &str, behaviour: Behaviour, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string())),
            born: unix_ms(),
            draining: Arc::default(),
            seq: Arc::default(),
            runs: Arc::default(),
            stopped: Arc::default(),
            behaviour,
            record: record.clone(),
        };
        let server = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        engine
    }

    /// The entry in the store, with the next number.
    pub fn entry(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        self.entry_with(seq, self.draining.load(Ordering::SeqCst))
    }

    pub fn entry_with(&self, seq: u64, draining: bool) -> String {
        let state = if draining { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    pub fn beat(&self, store: &Store) -> u64 {
        store.put(&format!("servers/{}", self.id), &self.entry())
    }

    /// Writes the entry now and about every 1.2 s.
    pub fn register(&self, store: &Store) {
        let (engine, store) = (self.clone(), store.clone());
        engine.beat(&store);
        thread::spawn(move || {
            loop {
                sleep_ms(1_200);
                if engine.stopped.load(Ordering::SeqCst) {
                    return;
                }
                engine.beat(&store);
            }
        });
    }

    /// Writes no more entries.
    pub fn stop_beats(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader)? {
            let meant = request.head.get("expect-instance").is_none_or(|id| id == self.id);
            let run = Run { engine: self.id.clone(), at: t(), request: request.clone(), ran: meant };
            self.runs.lock().unwrap().push(run);
            self.record.say(format!("engine {} got {} {} id={} ran={meant}", self.id, request.method, request.target, request.id()));
            if !meant {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nRequest-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id, request.id());
                stream.write_all(text.as_bytes())?;
                continue;
            }
            if !(self.behaviour)(self, &request, &mut stream)? {
                return stream.shutdown(Shutdown::Write);
            }
        }
        Ok(())
    }

    /// Head of an answer: status line, the id, the signature, and the notice of an engine that leaves.
    pub fn head(&self, status: &str, request: &Request) -> String {
        let leaving = if self.draining.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        format!("HTTP/1.1 {status}\r\nRequest-Id: {}\r\nServer-Stamp: {}.{}\r\n{leaving}", request.id(), self.id, request.id())
    }
}

/// The body that engines send for a request.
pub fn body_of(request: &Request) -> String {
    format!("<answer to {} {}>", request.id(), "x".repeat(200))
}

/// Answers with 200 and a length after some time.
pub fn sound(work_ms: u64) -> Behaviour {
    Arc::new(move |engine, request, stream| {
        sleep_ms(work_ms);
        let body = body_of(request);
        let text = format!("{}Content-Length: {}\r\n\r\n{body}", engine.head("200 OK", request), body.len());
        stream.write_all(text.as_bytes())?;
        Ok(true)
    })
}

// ---------------------------------------------------------------------------------------------
// Gateways

/// A gateway, started with the command and the template of the deploy file. Killed on drop.
pub struct Gateway {
    pub name: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    child: Child,
}

pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().map_or(0, |address| address.port())
}

impl Gateway {
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let (listen, ready, peers) = (free_port(), free_port(), free_port());
        let template = fs::read_to_string("deploy/gateway.jsonc").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let local = |port: u16| format!("127.0.0.1:{port}");
        let mut settings = template;
        for (place, value) in [
            ("{{nodeName|json}}", format!("\"{name}\"")),
            ("{{zone|json}}", "\"zone-a\"".to_owned()),
            ("{{listen.frontend|json}}", format!("\"{}\"", local(listen))),
            ("{{listen.readyAddr|json}}", format!("\"{}\"", local(ready))),
            ("{{ip}}:{{portRange.0}}", local(peers)),
            ("{{platform.address|json}}", format!("\"{store}\"")),
            ("{{heartbeatMs}}", "1200".to_owned()),
            ("{{bounds.drainMs}}", "2000".to_owned()),
            ("{{bounds.graceS}}", "8".to_owned()),
        ] {
            settings = settings.replace(place, &value);
        }
        if settings.contains("{{") {
            cannot_run("the template of the settings has other fields");
        }
        let file = folder.join(format!("{name}.jsonc"));
        fs::write(&file, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let mut words = run.unwrap_or_else(|| cannot_run("no run command in the deploy file")).split(' ');
        let log = folder.join(format!("{name}.log"));
        let out = File::create(&log).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let err = out.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new(words.next().unwrap_or(""))
            .args(words)
            .env("MULBERRYMILL_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the gateway does not start: {e}")));
        if let Ok(mut ids) = CHILDREN.lock() {
            ids.push(child.id());
        }
        Self {
            name: name.to_owned(),
            listen: ([127, 0, 0, 1], listen).into(),
            ready: ([127, 0, 0, 1], ready).into(),
            log,
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let text = "GET /mulberrymill/readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
        call(self.ready, text, Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep_ms(50);
        }
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        eprintln!("{log}");
        cannot_run(&format!("gateway {} does not become ready", self.name));
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut ids) = CHILDREN.lock() {
            ids.retain(|id| *id != self.child.id());
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by the id of the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed on drop.
pub struct Temp(pub PathBuf);

impl Temp {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(path)
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        } else {
            eprintln!("kept {}", self.0.display());
        }
    }
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":100,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":{attempts}}}"
    )
}

/// A configuration.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------------------------------------
// Traffic

/// One request of a client and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub path: String,
    /// Address of the gateway.
    pub gateway: SocketAddr,
    /// Whether the connection had served a request before.
    pub kept: bool,
    pub sent_at: f64,
    pub answer: Answer,
}

static IDS: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let n = IDS.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{n:08x}", std::process::id())
}

/// Clients with kept connections, each of which sends a request, waits for its answer, and sends the next
/// one `pause_ms` later, in turn to the given paths, until `end` (seconds of the script).
pub fn run_clients(
    gateways: &[SocketAddr],
    clients: usize,
    pause_ms: u64,
    end: f64,
    paths: &[(&'static str, &'static str)],
    record: &Record,
) -> Vec<Exchange> {
    let all = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..clients)
        .map(|number| {
            let gateway = gateways[number % gateways.len()];
            let paths = paths.to_vec();
            let (all, record) = (Arc::clone(&all), record.clone());
            thread::spawn(move || {
                sleep_ms(pause_ms * number as u64 / clients as u64);
                let mut caller: Option<Caller> = None;
                let mut turn = number;
                while t() < end {
                    let (method, path) = paths[turn % paths.len()];
                    turn += 1;
                    let kept = caller.is_some();
                    let opened = caller.take().map_or_else(|| Caller::open(gateway, Duration::from_secs(3)), Ok);
                    let id = new_id();
                    let sent_at = t();
                    let body = if method == "POST" { "amount=1" } else { "" };
                    let text = request_text(method, "shop.example", path, &id, 600, body);
                    let mut answer = Answer { at: t(), ..Answer::default() };
                    match opened {
                        Ok(mut open) => {
                            answer = match open.send(text.as_bytes()) {
                                Ok(()) => open.receive(),
                                Err(error) => Answer { error: error.to_string(), at: t(), ..answer },
                            };
                            let close = answer.head.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                            if answer.complete && !close {
                                caller = Some(open);
                            }
                        }
                        Err(error) => answer.error = error.to_string(),
                    }
                    record.say(format!(
                        "client {number} {method} {path} id={id} kept={kept}: status={} complete={} bytes={} stamp={:?} {}",
                        answer.status, answer.complete, answer.body.len(), answer.head.get("server-stamp"), answer.error
                    ));
                    all.lock().unwrap().push(Exchange { id, path: path.to_owned(), gateway, kept, sent_at, answer });
                    sleep_ms(pause_ms);
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let all = all.lock().unwrap().clone();
    all
}

/// Ends the script with the verdict, after what it started has ended.
pub fn verdict(record: &Record, broken: bool, text: &str) -> ! {
    record.tell(format!("{}: {text}", if broken { "BROKEN" } else { "held" }));
    std::process::exit(i32::from(broken))
}
