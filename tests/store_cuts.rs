//! Answers of the store that end at any byte, by a close or a reset.

use std::time::Duration;

use chicorywing::gateway::store::{Platform, Records, StoreError, Stream};
use chicorywing::platform::PlatformStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// How an answer ends early.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Close,
    Reset,
}

/// Starts a store that cuts its first answer, and gives the whole one on later connections.
async fn cutting_store(answer: Vec<u8>, at: usize, ending: Ending) -> PlatformStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = PlatformStore::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        for length in [at, answer.len()] {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; 65_536];
            let _ = stream.read(&mut bytes).await.unwrap();
            stream.write_all(&answer[..length]).await.unwrap();
            if matches!(ending, Ending::Reset) && length < answer.len() {
                // What was written must arrive before the reset.
                sleep(Duration::from_millis(2)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    store
}

fn answer(head: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// A version in the log: offsets, length, key and value.
fn log_body() -> Vec<u8> {
    let offsets = [8_u64.to_be_bytes(), 0_u64.to_be_bytes()].concat();
    [&offsets[..], b"\0\0\0\x08\x06configA"].concat()
}

async fn call(store: &PlatformStore, is_snapshot: bool) -> Result<Records, StoreError> {
    if is_snapshot {
        return store.newest(Stream::Operator).await;
    }
    store.read(Stream::Operator, 7, Duration::ZERO).await
}

// Guards against an answer of the store that was cut off being read as a whole one with
// fewer records, and against its connection being used again.
#[tokio::test]
async fn an_answer_of_the_store_cut_at_any_byte_is_not_read() {
    let page = br#"{"items":[{"key":"config","value":"QQ==","offset":7}],"more":false,"end":8}"#;
    let log = log_body();
    let chunked = [
        b"4\r\n",
        &log[..4],
        b"\r\n18\r\n",
        &log[4..],
        b"\r\n0\r\n\r\n",
    ]
    .concat();
    let with_length = |body: &[u8]| answer(&format!("content-length: {}", body.len()), body);
    for (is_snapshot, whole) in [
        (true, with_length(page)),
        (false, with_length(&log)),
        (false, answer("transfer-encoding: chunked", &chunked)),
    ] {
        for at in 0..whole.len() {
            for ending in [Ending::Close, Ending::Reset] {
                let store = cutting_store(whole.clone(), at, ending).await;

                let first = call(&store, is_snapshot).await;
                let second = call(&store, is_snapshot).await;

                let is_lost = matches!(first, Err(StoreError::Unreachable(_)));
                assert!(is_lost, "at {at}, {ending:?}: {first:?}");
                let values: Vec<_> = second
                    .unwrap()
                    .records
                    .into_iter()
                    .map(|one| one.value)
                    .collect();
                assert_eq!(values, [Some(b"A".to_vec())], "at {at}, {ending:?}");
            }
        }
    }
}
