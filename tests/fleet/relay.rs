//! A relay whose open connections can go silent while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Debug)]
pub struct Relay {
    silenced: Arc<watch::Sender<u64>>,
}

impl Relay {
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let relay = Self {
            silenced: Arc::new(watch::Sender::new(0)),
        };
        let listener = TcpListener::bind(from).await.unwrap();
        let silenced = Arc::clone(&relay.silenced);
        tokio::spawn(async move {
            while let Ok((mut inside, _)) = listener.accept().await {
                let mut silenced = silenced.subscribe();
                tokio::spawn(async move {
                    let Ok(mut outside) = TcpStream::connect(to).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut inside, &mut outside) => {}
                        _ = silenced.changed() => {
                            // Held open, neither read nor written any more.
                            std::future::pending::<()>().await;
                        }
                    }
                });
            }
        });
        relay
    }

    /// Silences every connection that is open now.
    pub fn silence(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }
}
