//! A stream or a listener that is a Unix or a TCP one.

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
    /// Over TCP, without Nagle's algorithm.
    Tcp(TcpStream),
}

impl Stream {
    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// Nobody listens there, or the socket cannot be set up.
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

/// A listener; a Unix one removes its file when it ends.
#[derive(Debug)]
pub enum Listener {
    /// At a socket file, with its path.
    Unix(UnixListener, PathBuf),
    /// At a TCP port.
    Tcp(TcpListener),
}

impl Listener {
    /// Listens at an endpoint. A socket file that nobody listens at is left over from a killed process and is replaced.
    ///
    /// # Errors
    ///
    /// The address is in use, or cannot be bound.
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
    /// The system cannot accept one, such as without free file descriptors.
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
            // The error is dropped on purpose: a file that was removed already needs no removal.
            std::fs::remove_file(path).ok();
        }
    }
}

/// Whether a socket file exists that nobody listens at.
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
