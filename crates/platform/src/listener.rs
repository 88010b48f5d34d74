//! The listening socket.

use crate::error::PlatformError;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted; the system may allow fewer. The usual 128 are exceeded when
/// very many clients connect at once, and a client over the limit, collectors included, retries only after a second.
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
    // Allows the address to be bound again at once after the program was killed.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
