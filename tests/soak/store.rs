//! Stand-in for the platform's store, which can be slow, hang, refuse calls, lose
//! answers and compact its history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::wire::{self, Message};

/// How the store answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Healthy,
    /// Answers every call with 503.
    Refusing,
    /// Answers no call.
    Hanging,
    /// Delays every answer by this time.
    Slow(Duration),
    /// Executes writes, but closes their connections without an answer.
    LosingAnswers,
}

#[derive(Debug, Default)]
struct Topic {
    first_offset: u64,
    records: Vec<(String, Vec<u8>)>,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.records.len() as u64
    }
}

#[derive(Debug)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    write_count: watch::Sender<u64>,
    /// Number of returns from an older copy.
    era: AtomicU64,
    mode: watch::Sender<StoreMode>,
    /// A store that gets all that operators and upstreams write, too.
    mirror: Option<Arc<Self>>,
}

impl Store {
    pub async fn start(address: SocketAddr, mirror: Option<Arc<Self>>) -> Arc<Self> {
        let store = Arc::new(Self {
            topics: Mutex::default(),
            write_count: watch::Sender::new(0),
            era: AtomicU64::new(0),
            mode: watch::Sender::new(StoreMode::Healthy),
            mirror,
        });
        let listener = TcpListener::bind(address).await.unwrap();
        let server = Arc::clone(&store);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::clone(&server), stream));
            }
        });
        store
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.send_replace(mode);
    }

    /// Appends a record, as operators and upstreams do. An empty value deletes the
    /// key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        if let Some(mirror) = self.mirror.as_ref().filter(|_| topic != "keyed.instances") {
            mirror.put(topic, key, value);
        }
        let record = (key.to_owned(), value.to_vec());
        self.topics()
            .entry(topic.to_owned())
            .or_default()
            .records
            .push(record);
        self.write_count.send_modify(|count| *count += 1);
    }

    /// Compacts all topics: only the newest record of each key can still be read.
    pub fn compact(&self) {
        for topic in self.topics().values_mut() {
            topic.first_offset = topic.end_offset();
        }
    }

    /// Returns from a copy that lacks the newest records of each topic.
    pub fn return_from_copy(&self, lost: usize) {
        for topic in self.topics().values_mut() {
            let left = topic.records.len().saturating_sub(lost);
            topic.records.truncate(left);
            topic.first_offset = topic.first_offset.min(topic.end_offset());
        }
        self.era.fetch_add(1, Ordering::Relaxed);
        self.write_count.send_modify(|count| *count += 1);
    }

    fn topics(&self) -> MutexGuard<'_, BTreeMap<String, Topic>> {
        self.topics.lock().unwrap()
    }

    /// The newest record of each key, as the JSON body of an answer.
    fn newest_records(&self, name: &str) -> Vec<u8> {
        let mut topics = self.topics();
        let topic = topics.entry(name.to_owned()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut items = Vec::new();
        for (key, (offset, value)) in newest {
            if !value.is_empty() {
                let value = STANDARD.encode(value);
                items.push(json!({ "key": key, "value": value, "offset": offset }));
            }
        }
        let page = json!({ "items": items, "more": false, "end": topic.end_offset() });
        page.to_string().into_bytes()
    }

    /// The records from an offset on, as the body of an answer, and whether there are
    /// any. Returns `None` if they were compacted.
    fn read_from(&self, name: &str, from: u64) -> Option<(bool, Vec<u8>)> {
        let mut topics = self.topics();
        let topic = topics.entry(name.to_owned()).or_default();
        if from < topic.first_offset || from > topic.end_offset() {
            return None;
        }
        let mut body = topic.end_offset().to_be_bytes().to_vec();
        body.extend_from_slice(&topic.first_offset.to_be_bytes());
        let skipped = usize::try_from(from).unwrap();
        for (key, value) in topic.records.iter().skip(skipped) {
            let length = 1 + key.len() + value.len();
            body.extend_from_slice(&u32::try_from(length).unwrap().to_be_bytes());
            body.push(u8::try_from(key.len()).unwrap());
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Some((from < topic.end_offset(), body))
    }

    async fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query_parameter("topic");
        let from = request.query_parameter("from").parse().unwrap();
        let wait = Duration::from_millis(request.query_parameter("wait-ms").parse().unwrap_or(0));
        let mut write_count = self.write_count.subscribe();
        let wait_for_records = async {
            loop {
                write_count.borrow_and_update();
                let has_records = self
                    .read_from(topic, from)
                    .is_none_or(|(has_records, _)| has_records);
                if has_records || write_count.changed().await.is_err() {
                    return;
                }
            }
        };
        // After a timeout the answer holds no records.
        let _ = timeout(wait, wait_for_records).await;
        match self.read_from(topic, from) {
            Some((_, body)) => (200, body),
            None => (410, b"{}".to_vec()),
        }
    }

    fn append(&self, request: &Message) -> (u16, Vec<u8>) {
        let mut rest = &request.body[..];
        while let Some((length, more)) = rest.split_first_chunk::<4>() {
            let length = usize::try_from(u32::from_be_bytes(*length)).unwrap();
            let (record, more) = more.split_at(length);
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            self.put(request.query_parameter("topic"), &key, &record[key_end..]);
            rest = more;
        }
        (200, b"{\"offset\":0,\"end\":1}".to_vec())
    }
}

async fn serve(store: Arc<Store>, stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = wire::read(&mut stream).await {
        let mode = *store.mode.borrow();
        let target = request.start_fields().1;
        let is_write = target.starts_with("/api/log-append");
        let (status, body) = match mode {
            StoreMode::Hanging => {
                // The connection never yields anything again.
                std::future::pending().await
            }
            StoreMode::Refusing => (503, Vec::new()),
            _ if is_write => store.append(&request),
            _ if target.starts_with("/api/log-newest") => {
                (200, store.newest_records(request.query_parameter("topic")))
            }
            _ => store.read(&request).await,
        };
        match mode {
            StoreMode::Slow(delay) => sleep(delay).await,
            StoreMode::LosingAnswers if is_write => return,
            _ => {}
        }
        if *store.mode.borrow() == StoreMode::Hanging {
            std::future::pending::<()>().await;
        }
        let start_line = format!("HTTP/1.1 {status} Status");
        let era = store.era.load(Ordering::Relaxed).to_string();
        if wire::write(&mut stream, &start_line, &[("store-era", &era)], &body)
            .await
            .is_err()
        {
            return;
        }
    }
}
