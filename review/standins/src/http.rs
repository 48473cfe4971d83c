//! Blocking HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Only delays small messages if it fails.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads a message whose body has a length; `None` at the end of the connection, an error or a read time-out.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next()?.to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
        let length = message
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Some(message)
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Some(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Formats a response with a length.
pub fn response(status: u16, header_lines: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{header_lines}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Calls `serve` in a thread of its own for each connection to a listener.
pub fn listen(listener: TcpListener, serve: impl Fn(Connection) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// Sends one request on a new connection and returns the answer, or `None` if there is none within `limit`.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let started = Instant::now();
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let mut connection = Connection::new(stream);
    let remaining = limit
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(remaining)).ok()?;
    if !connection.write(request) {
        return None;
    }
    connection.read()
}
