//! Serves the calls of other instances; [`Peer`] is the protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::{Stream, StreamExt};
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel, Config as ChannelConfig};
use tarpc::tokio_serde::formats::Bincode;

use super::holder;
use super::keyed;
use super::keys::{ClaimResponse, KeyRecord};
use super::members::Member;
use super::node::Node;
use super::pool_choice::PoolName;
use crate::connection::wire::{
    ClaimRequest, GossipMessage, JoinState, MAX_CALLS_PER_CONNECTION, MAX_FRAME_BYTES,
    OutcomeReport, Peer, ReleasedPool, RunRequest, RunResponse, Snapshot,
};
use crate::request::call::Call;
use crate::request::outcome::Outcome;

#[derive(Clone)]
struct PeerServer {
    node: Arc<Node>,
}

impl Peer for PeerServer {
    async fn gossip(self, _: context::Context, message: GossipMessage) -> GossipMessage {
        self.node.on_gossip(&message);
        self.node.gossip_message()
    }

    async fn run(self, _: context::Context, request: RunRequest) -> RunResponse {
        holder::run_in_pool(&self.node, &request).await
    }

    async fn run_keyed(self, _: context::Context, call: Arc<Call>) -> Outcome {
        keyed::run_for_peer(&self.node, &call).await
    }

    async fn claim(self, _: context::Context, request: ClaimRequest) -> ClaimResponse {
        keyed::on_claim(&self.node, &request)
    }

    async fn record_outcome(self, _: context::Context, report: OutcomeReport) {
        keyed::on_outcome(&self.node, &report);
    }

    async fn replicate_keys(self, _: context::Context, records: Vec<KeyRecord>) {
        let now_ms = self.node.clock.now_ms();
        let mut key_table = self.node.key_table();
        for record in &records {
            key_table.merge(now_ms, record);
        }
    }

    async fn join(self, _: context::Context, member: Arc<Member>) -> JoinState {
        tracing::info!(target: "membership", member = %member.name, "a process is joining");
        let now_ms = self.node.clock.now_ms();
        let (recent_views, member_losses) = {
            let members = self.node.members();
            (
                members.views_for_joining(now_ms, &member),
                members.member_losses(now_ms),
            )
        };
        let records = self.node.key_table().records(now_ms);
        JoinState {
            records,
            recent_views,
            member_losses,
            records_incomplete_ms: self.node.records_incomplete_ms(),
        }
    }

    async fn release(self, _: context::Context, pool: PoolName) -> ReleasedPool {
        holder::release_pool(&self.node, &pool).await
    }

    async fn running_calls(self, _: context::Context, pool: PoolName) -> ReleasedPool {
        holder::running_calls(&self.node, &pool).await
    }

    async fn snapshot(self, _: context::Context) -> Snapshot {
        let accepted = self.node.accepted.load_full();
        let now_ms = self.node.clock.now_ms();
        let list = self.node.list.load_full();
        Snapshot {
            version: accepted.version,
            id: Arc::clone(&accepted.id),
            author: Arc::clone(&accepted.author),
            text: Arc::clone(&accepted.text),
            list: list.map(|copy| Arc::clone(&copy.text)),
            list_age_ms: self.node.fence.list_age_ms(now_ms),
        }
    }
}

/// Binds `address` and serves other instances in the background.
///
/// # Errors
/// Returns the error of the system if the address cannot be bound.
pub async fn listen(node: Arc<Node>, address: SocketAddr) -> std::io::Result<()> {
    let mut incoming = tcp::listen(address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    tokio::spawn(accept(node, incoming));
    Ok(())
}

async fn accept<S, T>(node: Arc<Node>, mut incoming: S)
where
    S: Stream<Item = std::io::Result<T>> + Unpin,
    T: PeerTransport,
{
    while let Some(transport) = incoming.next().await {
        let Ok(transport) = transport else {
            continue;
        };
        transport.set_nodelay();
        let config = ChannelConfig {
            pending_response_buffer: MAX_CALLS_PER_CONNECTION,
        };
        let channel = BaseChannel::new(config, transport);
        let server = PeerServer {
            node: Arc::clone(&node),
        };
        tokio::spawn(
            channel
                .execute(server.serve())
                .for_each(|response| async move {
                    tokio::spawn(response);
                }),
        );
    }
}

trait PeerTransport:
    tarpc::Transport<
        tarpc::Response<crate::connection::wire::PeerResponse>,
        tarpc::ClientMessage<crate::connection::wire::PeerRequest>,
    > + Send
    + 'static
{
    /// Sends small frames without waiting for acknowledgements of earlier ones.
    fn set_nodelay(&self);
}

type TcpPeerTransport = tarpc::serde_transport::Transport<
    tokio::net::TcpStream,
    tarpc::ClientMessage<crate::connection::wire::PeerRequest>,
    tarpc::Response<crate::connection::wire::PeerResponse>,
    Bincode<
        tarpc::ClientMessage<crate::connection::wire::PeerRequest>,
        tarpc::Response<crate::connection::wire::PeerResponse>,
    >,
>;

impl PeerTransport for TcpPeerTransport {
    fn set_nodelay(&self) {
        if let Err(error) = self.get_ref().set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY on a peer's connection; small frames may be delayed");
        }
    }
}
