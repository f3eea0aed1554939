//! Asks the kernel for the socket of one connection, by netlink (`sock_diag(7)`): the time
//! that takes does not depend on the number of connections.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// Sizes of `nlmsghdr`, `inet_diag_req_v2` and `inet_diag_msg`.
const HEADER_BYTES: usize = 16;
const REQUEST_BYTES: usize = 56;
const ANSWER_BYTES: usize = 72;
/// Position of the message's type in its header.
const TYPE_AT: usize = 4;
/// Position of the inode in an answer, after its header.
const INODE_AT: usize = 68;
/// Time in which the kernel must answer; it does so before the request returns.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A netlink socket.
#[derive(Debug)]
pub struct SockDiag(Socket);

impl SockDiag {
    pub fn open() -> io::Result<Self> {
        let protocol = Some(Protocol::from(NETLINK_SOCK_DIAG));
        let socket = Socket::new(Domain::from(AF_NETLINK), Type::RAW, protocol)?;
        socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Self(socket))
    }

    /// Returns the inode of the socket at the `from` end of a connection; `None` if it is
    /// closed already.
    pub fn inode(&mut self, from: SocketAddr, to: SocketAddr) -> io::Result<Option<u32>> {
        let (SocketAddr::V4(from), SocketAddr::V4(to)) = (from, to) else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        self.0.write_all(&request(from, to))?;
        let mut bytes = [0; 1024];
        let count = self.0.read(&mut bytes)?;
        let kind = u16::from_ne_bytes([bytes[TYPE_AT], bytes[TYPE_AT + 1]]);
        // Otherwise an error: there is no such connection.
        if kind != SOCK_DIAG_BY_FAMILY || count < HEADER_BYTES + ANSWER_BYTES {
            return Ok(None);
        }
        let inode = bytes[HEADER_BYTES + INODE_AT..].first_chunk().copied();
        let inode = u32::from_ne_bytes(inode.unwrap_or_default());
        Ok((inode != 0).then_some(inode))
    }
}

fn request(from: SocketAddrV4, to: SocketAddrV4) -> Vec<u8> {
    let length = u32::try_from(HEADER_BYTES + REQUEST_BYTES).unwrap();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + REQUEST_BYTES);
    bytes.extend(length.to_ne_bytes());
    bytes.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence and port; only one request is in flight.
    bytes.extend([0; 8]);
    bytes.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // Connections in every state.
    bytes.extend(u32::MAX.to_ne_bytes());
    bytes.extend(from.port().to_be_bytes());
    bytes.extend(to.port().to_be_bytes());
    for address in [from, to] {
        bytes.extend(address.ip().octets());
        bytes.extend([0; 12]);
    }
    // Any interface, and no cookie.
    bytes.extend(0_u32.to_ne_bytes());
    bytes.extend([u8::MAX; 8]);
    bytes
}
