//! A store that speaks the platform's protocol and takes any bytes as keys and values.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::upstream::read_request;

/// Most items in one page of the newest records.
const PAGE_ITEMS: usize = 500;
/// Size at which a page or a read ends.
const PAGE_BYTES: usize = 1024 * 1024;

/// The records of a topic, and the offset of the newest one of each key.
#[derive(Default)]
struct Log {
    records: Vec<(Vec<u8>, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, usize>,
}

/// A running store; its answers name no era.
#[derive(Clone)]
pub struct RawStore {
    pub address: SocketAddr,
    logs: Arc<Mutex<HashMap<String, Log>>>,
    written: Arc<watch::Sender<usize>>,
}

impl RawStore {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            logs: Arc::default(),
            written: Arc::new(watch::Sender::new(0)),
        };
        let server = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        store
    }

    pub fn write(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut logs = self.logs.lock().unwrap();
        let log = logs.entry(topic.to_owned()).or_default();
        log.newest.insert(key.to_vec(), log.records.len());
        log.records.push((key.to_vec(), value.to_vec()));
        drop(logs);
        self.written.send_modify(|count| *count += 1);
    }

    async fn serve(self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        while let Some(head) = read_request(&mut stream).await {
            let target = head.split(' ').nth(1).unwrap();
            let (path, query) = target.split_once('?').unwrap();
            let query: HashMap<&str, &str> = query
                .split('&')
                .filter_map(|part| part.split_once('='))
                .collect();
            let body = match path {
                "/api/log-newest" => self.newest_page(&query),
                "/api/log-read" => self.read(&query).await,
                _ => b"{}".to_vec(),
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let response = [head.into_bytes(), body].concat();
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    }

    /// A page of JSON, in which keys stand as the bytes that they are.
    fn newest_page(&self, query: &HashMap<&str, &str>) -> Vec<u8> {
        let after = query.get("after").map(|text| percent_decoded(text));
        let after = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut logs = self.logs.lock().unwrap();
        let log = logs.entry(query["topic"].to_owned()).or_default();
        let mut body = b"{\"items\":[".to_vec();
        let mut has_more = false;
        for (items, (key, offset)) in log.newest.range((after, Bound::Unbounded)).enumerate() {
            let value = &log.records[*offset].1;
            if items == PAGE_ITEMS || (items > 0 && body.len() + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            if items > 0 {
                body.push(b',');
            }
            let value = STANDARD.encode(value);
            body.extend_from_slice(b"{\"key\":\"");
            body.extend_from_slice(key);
            body.extend_from_slice(
                format!("\",\"value\":\"{value}\",\"offset\":{offset}}}").as_bytes(),
            );
        }
        let end = log.records.len();
        body.extend_from_slice(format!("],\"more\":{has_more},\"end\":{end}}}").as_bytes());
        body
    }

    async fn read(&self, query: &HashMap<&str, &str>) -> Vec<u8> {
        let from: usize = query["from"].parse().unwrap();
        let wait = Duration::from_millis(query["wait-ms"].parse().unwrap());
        let topic = query["topic"];
        let mut written = self.written.subscribe();
        let has_news = |_: &usize| {
            let logs = self.logs.lock().unwrap();
            logs.get(topic).is_some_and(|log| log.records.len() > from)
        };
        // Without news, the answer is empty.
        let _ = timeout(wait, written.wait_for(has_news)).await;
        let mut logs = self.logs.lock().unwrap();
        let log = &logs.entry(topic.to_owned()).or_default().records;
        let mut body = [(log.len() as u64).to_be_bytes(), [0; 8]].concat();
        for (key, value) in log.iter().skip(from) {
            let length = u32::try_from(1 + key.len() + value.len()).unwrap();
            if body.len() + value.len() > PAGE_BYTES && body.len() > 16 {
                break;
            }
            body.extend_from_slice(&length.to_be_bytes());
            body.push(u8::try_from(key.len()).unwrap());
            body.extend_from_slice(key);
            body.extend_from_slice(value);
        }
        body
    }
}

fn percent_decoded(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, others @ ..] = rest {
        rest = others;
        if *first == b'%' {
            let digits = std::str::from_utf8(&others[..2]).unwrap();
            bytes.push(u8::from_str_radix(digits, 16).unwrap());
            rest = &others[2..];
        } else {
            bytes.push(*first);
        }
    }
    bytes
}
