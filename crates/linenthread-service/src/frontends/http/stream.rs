//! The stream of a client connection, which reads only as much as the state of the connection allows.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection::ClientConnection;

/// The stream of a client connection.
///
/// To close the connection, the stream ends as if the client had closed it, but only once everything that has arrived
/// is read: between requests, or within a request that is overdue or whose connection is evicted. While a request
/// awaits its response, the stream reads nothing and only detects whether the client disconnects, so that further
/// requests do not accumulate. The service must allow half-closed connections; otherwise actix-http would drop a
/// request that is read together with input that cannot be parsed.
pub(super) struct ClientStream {
    pub(super) io: TcpStream,
    pub(super) connection: Rc<ClientConnection>,
}

impl ClientStream {
    /// Detects whether the client has disconnected, without reading anything.
    fn poll_client_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.set_read_waker(cx.waker());
        match self.io.poll_peek(cx, &mut ReadBuf::new(&mut [0])) {
            Poll::Ready(Ok(0)) => {
                self.connection.on_client_disconnected();
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Ok(_)) | Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.discards_input() {
            return Poll::Ready(Ok(()));
        }
        if self.connection.awaits_response() {
            return self.poll_client_disconnected(cx);
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let connection = &self.connection;
        if buf.filled().len() > before {
            connection.on_request_bytes();
        }
        if read.is_pending() {
            if connection.must_close() {
                return Poll::Ready(Ok(()));
            }
            connection.set_read_waker(cx.waker());
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl ActixStream for ClientStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.io, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.io, cx)
    }
}
