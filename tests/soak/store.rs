//! A stand-in of the platform's store, which can be slow, silent, refusing,
//! lose answers and forget its history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
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

/// How the store serves the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Well,
    /// Every call is answered with 503.
    Refusing,
    /// No call is answered.
    Silent,
    /// Answers come so much later.
    Slow(Duration),
    /// Writes are done, and their connections are closed without an answer.
    LosingAnswers,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<(String, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

#[derive(Debug)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    written: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
}

impl Store {
    pub async fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            topics: Mutex::default(),
            written: watch::Sender::new(0),
            mode: watch::Sender::new(Mode::Well),
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

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Writes as operators and upstreams do; an empty value takes the key out.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = (key.to_owned(), value.to_vec());
        self.topics()
            .entry(topic.to_owned())
            .or_default()
            .records
            .push(record);
        self.written.send_modify(|count| *count += 1);
    }

    /// Drops the history of all topics; the newest record of each key stays.
    pub fn compact(&self) {
        for topic in self.topics().values_mut() {
            topic.first = topic.end();
        }
    }

    fn topics(&self) -> MutexGuard<'_, BTreeMap<String, Topic>> {
        self.topics.lock().unwrap()
    }

    fn newest(&self, name: &str) -> Vec<u8> {
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
        let page = json!({ "items": items, "more": false, "end": topic.end() });
        page.to_string().into_bytes()
    }

    /// The records from an offset on; `None` where they are gone.
    fn records(&self, name: &str, from: u64) -> Option<(bool, Vec<u8>)> {
        let mut topics = self.topics();
        let topic = topics.entry(name.to_owned()).or_default();
        if from < topic.first {
            return None;
        }
        let mut body = topic.end().to_be_bytes().to_vec();
        body.extend_from_slice(&topic.first.to_be_bytes());
        let skipped = usize::try_from(from).unwrap();
        for (key, value) in topic.records.iter().skip(skipped) {
            let length = 1 + key.len() + value.len();
            body.extend_from_slice(&u32::try_from(length).unwrap().to_be_bytes());
            body.push(u8::try_from(key.len()).unwrap());
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Some((from < topic.end(), body))
    }

    async fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic");
        let from = request.query("from").parse().unwrap();
        let wait = Duration::from_millis(request.query("wait-ms").parse().unwrap_or(0));
        let mut written = self.written.subscribe();
        let has_news = async {
            loop {
                written.borrow_and_update();
                let has_news = self
                    .records(topic, from)
                    .is_none_or(|(has_news, _)| has_news);
                if has_news || written.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without news the answer holds no record.
        let _ = timeout(wait, has_news).await;
        match self.records(topic, from) {
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
            self.put(request.query("topic"), &key, &record[key_end..]);
            rest = more;
        }
        (200, b"{\"offset\":0,\"end\":1}".to_vec())
    }
}

async fn serve(store: Arc<Store>, stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = wire::read(&mut stream).await {
        let mode = *store.mode.borrow();
        let target = request.words().1;
        let is_write = target.starts_with("/api/log-append");
        let (status, body) = match mode {
            Mode::Silent => {
                // A lost answer: the connection gives nothing more.
                std::future::pending().await
            }
            Mode::Refusing => (503, Vec::new()),
            _ if is_write => store.append(&request),
            _ if target.starts_with("/api/log-newest") => {
                (200, store.newest(request.query("topic")))
            }
            _ => store.read(&request).await,
        };
        match mode {
            Mode::Slow(delay) => sleep(delay).await,
            Mode::LosingAnswers if is_write => return,
            _ => {}
        }
        if *store.mode.borrow() == Mode::Silent {
            std::future::pending::<()>().await;
        }
        let first = format!("HTTP/1.1 {status} Status");
        if wire::write(&mut stream, &first, &[], &body).await.is_err() {
            return;
        }
    }
}
