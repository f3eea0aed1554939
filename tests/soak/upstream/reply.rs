//! Answers to requests that have run.

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::{Fault, Upstream};
use crate::env::TestEnv;
use crate::wire::Message;

impl Upstream {
    /// Writes the answer as the fault demands. Returns whether the connection stays
    /// open.
    pub(super) async fn reply(
        &self,
        env: &TestEnv,
        fault: Fault,
        request: &Message,
        stream: &mut BufReader<TcpStream>,
    ) -> bool {
        let id = request.header("x-request-id");
        let (method, target) = request.start_fields();
        let body = format!(
            "{id} {method} {target} {}",
            String::from_utf8_lossy(&request.body)
        );
        let limit = self.told_limit(env);
        let mut headers = vec![
            ("x-request-id", id),
            ("x-server-stamp", self.config.id.as_str()),
        ];
        headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
        let ok_line = "HTTP/1.1 200 OK";
        match fault {
            Fault::Errors => {
                let start_line = "HTTP/1.1 500 Failed";
                self.write(stream, start_line, &headers, b"failed")
                    .await
                    .is_ok()
            }
            Fault::LosesAnswers => false,
            Fault::Truncates => {
                let text = format!(
                    "{ok_line}\r\nx-request-id: {id}\r\nx-server-stamp: s\r\ncontent-length: 9999\r\n\r\n{id}"
                );
                // The connection closes here even if the write fails.
                let _ = stream.get_mut().write_all(text.as_bytes()).await;
                false
            }
            Fault::SendsStrayAnswers => {
                let stray = [("x-request-id", "stray"), ("x-server-stamp", "s")];
                let written = self.write(stream, ok_line, &stray, b"stray").await;
                written.is_ok()
                    && self
                        .write(stream, ok_line, &headers, body.as_bytes())
                        .await
                        .is_ok()
            }
            Fault::SendsEndlessAnswers => {
                let head = format!(
                    "{ok_line}\r\nx-request-id: {id}\r\nx-server-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
                let mut is_open = stream.get_mut().write_all(head.as_bytes()).await.is_ok();
                while is_open {
                    is_open = stream.get_mut().write_all(chunk.as_bytes()).await.is_ok();
                }
                false
            }
            _ => self
                .write(stream, ok_line, &headers, body.as_bytes())
                .await
                .is_ok(),
        }
    }
}
