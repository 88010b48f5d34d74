//! Streams and listeners over Unix sockets or TCP.

use pondarch_config::Endpoint;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};

/// A connected stream.
#[derive(Debug)]
pub enum Stream {
    /// Over a Unix socket.
    Unix(UnixStream),
    /// Over TCP, with Nagle's algorithm disabled.
    Tcp(TcpStream),
}

impl Stream {
    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// The endpoint refuses the connection, or the socket options cannot be set.
    pub async fn connect(endpoint: &Endpoint) -> io::Result<Stream> {
        match endpoint {
            Endpoint::Unix(path) => UnixStream::connect(path).await.map(Stream::Unix),
            Endpoint::Tcp(addr) => {
                let stream = TcpStream::connect(addr).await?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream))
            }
        }
    }
}

/// A listening socket. A Unix listener removes its socket file when it is dropped.
#[derive(Debug)]
pub enum Listener {
    /// Over a Unix socket, with the path of its socket file.
    Unix(UnixListener, PathBuf),
    /// Over TCP.
    Tcp(TcpListener),
}

impl Listener {
    /// Listens on an endpoint. A stale socket file, left behind by a killed process, is replaced.
    ///
    /// # Errors
    ///
    /// The address is in use or cannot be bound.
    pub async fn bind(endpoint: &Endpoint) -> io::Result<Listener> {
        match endpoint {
            Endpoint::Tcp(addr) => TcpListener::bind(addr).await.map(Listener::Tcp),
            Endpoint::Unix(path) => {
                if is_stale(path).await {
                    std::fs::remove_file(path)?;
                }
                Ok(Listener::Unix(UnixListener::bind(path)?, path.clone()))
            }
        }
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// The system cannot accept a connection, for example because no file descriptors are free.
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Unix(listener, _) => listener
                .accept()
                .await
                .map(|(stream, _)| Stream::Unix(stream)),
            Listener::Tcp(listener) => {
                let (stream, _) = listener.accept().await?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream))
            }
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Listener::Unix(_, path) = self {
            // The error is ignored because the file may already have been removed.
            std::fs::remove_file(path).ok();
        }
    }
}

/// Whether the socket file exists without a process that listens on it.
async fn is_stale(path: &Path) -> bool {
    path.exists() && UnixStream::connect(path).await.is_err()
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Unix(stream) => Pin::new(stream).poll_read(cx, buf),
            Stream::Tcp(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Unix(stream) => Pin::new(stream).poll_write(cx, buf),
            Stream::Tcp(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Unix(stream) => Pin::new(stream).poll_flush(cx),
            Stream::Tcp(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Unix(stream) => Pin::new(stream).poll_shutdown(cx),
            Stream::Tcp(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
