//! HTTP/1.1 exchanges with a scripted server that sends incomplete, stray or
//! malformed responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicorywing::connection::exchange::{Connection, ExchangeError, HttpRequest, HttpResponse};
use chicorywing::connection::response_memory::ResponseMemory;
use googletest::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const ID: HeaderName = HeaderName::from_static("x-id");
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// What the server does after each read.
#[derive(Clone, Copy)]
enum ServerAction {
    Write(&'static str),
    Close,
    Reset,
}

/// Starts a server that runs a script on its first connection, one action after
/// each read, and sends on what it read.
async fn server(script: Vec<ServerAction>) -> (SocketAddr, mpsc::UnboundedReceiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for action in script {
            let mut bytes = vec![0; 65_536];
            let count = stream.read(&mut bytes).await.unwrap_or(0);
            bytes.truncate(count);
            let _ = sender.send(bytes);
            match action {
                ServerAction::Write(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                ServerAction::Close => return,
                ServerAction::Reset => {
                    let option = socket2::SockRef::from(&stream);
                    option.set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
            }
        }
        // Keeps the connection open until the test ends.
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await.unwrap_or(0) > 0 {}
    });
    (address, receiver)
}

fn request(id: &'static str, method: Method, body: &'static str) -> HttpRequest {
    let mut headers = HeaderMap::new();
    headers.insert(ID, HeaderValue::from_static(id));
    HttpRequest {
        method,
        target: "/path?query".to_owned(),
        headers,
        body: Bytes::from_static(body.as_bytes()),
    }
}

async fn get(
    connection: &mut Connection,
    id: &'static str,
) -> std::result::Result<HttpResponse, ExchangeError> {
    let request = request(id, Method::GET, "");
    connection.exchange(&request, Some(&ID)).await
}

async fn open(address: SocketAddr) -> Connection {
    Connection::open(address, TEST_TIMEOUT).await.unwrap()
}

#[gtest]
#[tokio::test]
async fn a_complete_response_keeps_the_connection_usable() {
    let text = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 3\r\n\r\nabc";
    let (address, mut read) = server(vec![ServerAction::Write(text)]).await;
    let mut connection = open(address).await;

    let response = get(&mut connection, "a").await.unwrap();

    expect_that!(&response.body[..], eq(b"abc"));
    expect_that!(connection.is_usable(), eq(true));
    let sent = String::from_utf8(read.recv().await.unwrap()).unwrap();
    expect_that!(sent, eq("GET /path?query HTTP/1.1\r\nx-id: a\r\n\r\n"));
}

#[gtest]
#[tokio::test]
async fn a_response_to_an_earlier_request_is_skipped() {
    let text = "HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 3\r\n\r\noldHTTP/1.1 200 OK\r\n\
                x-id: b\r\ncontent-length: 3\r\n\r\nnew";
    let (address, _read) = server(vec![ServerAction::Write(text)]).await;
    let mut connection = open(address).await;

    let response = get(&mut connection, "b").await.unwrap();

    expect_that!(&response.body[..], eq(b"new"));
    expect_that!(
        connection.is_usable(),
        eq(false),
        "another stray response may follow"
    );
}

#[gtest]
#[tokio::test]
async fn bytes_after_a_response_make_the_connection_unusable() {
    let text = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
    let (address, _read) = server(vec![ServerAction::Write(text)]).await;
    let mut connection = open(address).await;

    let response = get(&mut connection, "a").await.unwrap();

    expect_that!(&response.body[..], eq(b"a"));
    expect_that!(connection.is_usable(), eq(false));
}

#[gtest]
#[tokio::test]
async fn a_chunked_body_is_reassembled() {
    let text = "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n\
                3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nt: u\r\n\r\n";
    let (address, _read) = server(vec![ServerAction::Write(text)]).await;
    let mut connection = open(address).await;

    let response = get(&mut connection, "a").await.unwrap();

    expect_that!(&response.body[..], eq(b"abcde"));
    expect_that!(connection.is_usable(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_body_without_a_length_ends_at_connection_close() {
    let text = "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\nabc";
    let (address, _read) = server(vec![ServerAction::Write(text), ServerAction::Close]).await;
    let mut connection = open(address).await;
    let exchange = get(&mut connection, "a");
    let early = tokio::time::timeout(Duration::from_millis(200), exchange).await;
    expect_that!(early.is_err(), eq(true), "the body is not complete yet");

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1_024];
        let _ = stream.read(&mut bytes).await;
        stream.write_all(text.as_bytes()).await.unwrap();
    });
    let mut connection = open(address).await;
    let response = get(&mut connection, "a").await.unwrap();

    expect_that!(&response.body[..], eq(b"abc"));
    expect_that!(connection.is_usable(), eq(false));
}

#[gtest]
#[tokio::test]
async fn a_truncated_response_is_a_disconnect_error() {
    for text in [
        "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 30\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-le",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 1_024];
            let _ = stream.read(&mut bytes).await;
            stream.write_all(text.as_bytes()).await.unwrap();
        });
        let mut connection = open(address).await;

        let ended = get(&mut connection, "a").await;

        expect_that!(
            matches!(ended, Err(ExchangeError::Disconnected(_))),
            eq(true),
            "{text}"
        );
        expect_that!(connection.is_usable(), eq(false));
    }
}

#[gtest]
#[tokio::test]
async fn a_reset_before_the_response_is_a_disconnect_error() {
    let (address, _read) = server(vec![ServerAction::Reset]).await;
    let mut connection = open(address).await;

    let ended = get(&mut connection, "a").await;

    expect_that!(
        matches!(ended, Err(ExchangeError::Disconnected(_))),
        eq(true)
    );
}

#[gtest]
#[tokio::test]
async fn malformed_responses_are_rejected() {
    for text in [
        "hello there\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: -3\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n+3\r\nabc\r\n",
    ] {
        let (address, _read) = server(vec![ServerAction::Write(text)]).await;
        let mut connection = open(address).await;

        let ended = get(&mut connection, "a").await;

        expect_that!(
            matches!(ended, Err(ExchangeError::InvalidResponse(_))),
            eq(true),
            "{text}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn an_informational_response_is_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nx-id: a\r\n\r\n";
    let (address, _read) = server(vec![ServerAction::Write(text)]).await;
    let mut connection = open(address).await;

    let response = get(&mut connection, "a").await.unwrap();

    expect_that!(response.status.as_u16(), eq(204));
    expect_that!(connection.is_usable(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_response_before_the_body_is_sent_makes_the_connection_unusable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 512];
        let _ = stream.read(&mut bytes).await;
        let text = "HTTP/1.1 413 Too Long\r\nx-id: a\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(text.as_bytes()).await.unwrap();
        // Stops reading, so that the client cannot send the rest of the body.
        tokio::time::sleep(TEST_TIMEOUT).await;
    });
    let mut connection = open(address).await;
    let mut request = request("a", Method::POST, "");
    request.body = Bytes::from(vec![b'x'; 32 * 1024 * 1024]);

    let response = connection.exchange(&request, Some(&ID)).await.unwrap();

    expect_that!(response.status.as_u16(), eq(413));
    expect_that!(connection.is_usable(), eq(false));
}

#[gtest]
#[tokio::test]
async fn every_post_carries_its_content_length() {
    let text = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 0\r\n\r\n";
    let (address, mut read) =
        server(vec![ServerAction::Write(text), ServerAction::Write(text)]).await;
    let mut connection = open(address).await;

    for body in ["abc", ""] {
        let request = request("a", Method::POST, body);
        connection.exchange(&request, Some(&ID)).await.unwrap();
    }

    let mut sent = String::from_utf8(read.recv().await.unwrap()).unwrap();
    if !sent.ends_with("abc") {
        sent.push_str(&String::from_utf8(read.recv().await.unwrap()).unwrap());
    }
    expect_that!(sent, contains_substring("content-length: 3\r\n\r\nabc"));
    let sent = String::from_utf8(read.recv().await.unwrap()).unwrap();
    expect_that!(sent, contains_substring("content-length: 0\r\n\r\n"));
}

#[gtest]
#[tokio::test]
async fn a_closed_idle_connection_is_detected_before_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connection = open(address).await;
    let (stream, _) = listener.accept().await.unwrap();
    expect_that!(connection.is_usable(), eq(true));

    drop(stream);
    let ended = tokio::time::timeout(TEST_TIMEOUT, async {
        while connection.is_usable() {
            tokio::task::yield_now().await;
        }
    });

    expect_that!(ended.await.is_ok(), eq(true));
}

// Guards against a second copy of an answer, without an id, being taken for the answer to
// the next request on the connection.
#[gtest]
#[tokio::test]
async fn a_response_without_an_id_is_not_taken_from_a_server_that_sends_ids() {
    let (address, _) = server(vec![
        ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\nfirst"),
        ServerAction::Write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst"),
    ])
    .await;
    let mut connection = open(address).await;
    let first = get(&mut connection, "1").await.unwrap();
    expect_that!(&first.body[..], eq(b"first"));

    let second = get(&mut connection, "2").await;

    expect_that!(second, err(anything()));
    expect_that!(connection.is_usable(), eq(false));
}

#[gtest]
#[tokio::test]
async fn a_server_that_sends_no_ids_is_answered_in_order() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (address, _) = server(vec![ServerAction::Write(answer); 2]).await;
    let mut connection = open(address).await;

    for id in ["1", "2"] {
        expect_that!(get(&mut connection, id).await, ok(anything()));
    }
}

// Guards against probes failing on connections whose other responses carry ids.
#[gtest]
#[tokio::test]
async fn a_probe_is_answered_without_an_id() {
    let (address, _) = server(vec![
        ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n"),
        ServerAction::Write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
    ])
    .await;
    let mut connection = open(address).await;
    get(&mut connection, "1").await.unwrap();
    let memory = ResponseMemory::new(1_000);

    let probe = request("probe-1", Method::GET, "");
    let probed = connection.probe_within(&probe, Some(&ID), &memory).await;

    expect_that!(probed, ok(anything()));
    expect_that!(connection.is_usable(), eq(true));
}

// Guards against a check for parts of two heads that rejects proper ones, too.
#[gtest]
#[tokio::test]
async fn a_head_that_names_versions_in_its_values_is_accepted() {
    let text = "HTTP/1.1 200 HTTP/1.1\r\nx-id: a\r\nvia: HTTP/1.1 near, HTTP/1.0 500-proxy\r\n\
                upgrade: HTTP/2.0\r\ncontent-length: 1\r\n\r\na";
    let (address, _read) = server(vec![ServerAction::Write(text)]).await;
    let mut connection = open(address).await;

    let response = get(&mut connection, "a").await.unwrap();

    expect_that!(response.status.as_u16(), eq(200));
    expect_that!(connection.is_usable(), eq(true));
}

// Guards against an idle timeout beyond what a clock can hold, which ended the caller's
// connection without an answer.
#[gtest]
#[tokio::test]
async fn a_connection_survives_any_announced_idle_timeout() {
    for (timeout, is_usable) in [
        ("18446744073709551615", true),
        ("18446744073709551616", true),
        ("9223372036854775807", true),
        ("-1", true),
        ("0", false),
    ] {
        let response: &'static str = Box::leak(
            format!(
                "HTTP/1.1 200 OK\r\nx-id: 1\r\nkeep-alive: timeout={timeout}\r\n\
                 content-length: 4\r\n\r\ngood"
            )
            .into_boxed_str(),
        );
        let (address, _) = server(vec![ServerAction::Write(response)]).await;
        let mut connection = open(address).await;

        let answer = get(&mut connection, "1").await.unwrap();

        expect_that!(&answer.body[..], eq(b"good"), "{timeout}");
        expect_that!(connection.is_usable(), eq(is_usable), "{timeout}");
    }
}
