//! A TCP proxy whose open connections can go silent while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Debug)]
pub struct Proxy {
    silence_signal: Arc<watch::Sender<u64>>,
}

impl Proxy {
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let proxy = Self {
            silence_signal: Arc::new(watch::Sender::new(0)),
        };
        let listener = TcpListener::bind(from).await.unwrap();
        let silence_signal = Arc::clone(&proxy.silence_signal);
        tokio::spawn(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let mut silence_signal = silence_signal.subscribe();
                tokio::spawn(async move {
                    let Ok(mut server) = TcpStream::connect(to).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut client, &mut server) => {}
                        _ = silence_signal.changed() => {
                            // Keeps the connection open without reading or writing.
                            std::future::pending::<()>().await;
                        }
                    }
                });
            }
        });
        proxy
    }

    /// Stops forwarding on every connection that is open now.
    pub fn silence_connections(&self) {
        self.silence_signal.send_modify(|count| *count += 1);
    }
}
