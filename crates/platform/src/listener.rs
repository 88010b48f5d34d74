//! The listening socket.

use crate::error::PlatformError;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted; the system may allow fewer. The usual 128 places are full when very many
/// clients connect at once, and a client without a place tries again only after a second, collectors too.
const BACKLOG: u32 = 4_096;

pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, PlatformError> {
    bind(address).map_err(|source| PlatformError::Listen { address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // After a kill the address can be bound again at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
