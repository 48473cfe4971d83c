//! Blocking HTTP/1.1 messages over TCP, for the stand-ins and the clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response that was read.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<()> {
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        } else {
            self.stream.set_read_timeout(None)?;
        }
        let mut bytes = [0_u8; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a message with a length, in chunks or without a body.
    pub fn read(&mut self, deadline: Option<Instant>) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                break end;
            }
            self.fill(deadline)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.line(deadline)?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::ErrorKind::InvalidData)?;
                let piece = self.exact(size, deadline)?;
                message.body.extend_from_slice(&piece);
                self.line(deadline)?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|length| length.parse().ok());
        message.body = self.exact(length.unwrap_or(0), deadline)?;
        Ok(message)
    }

    fn line(&mut self, deadline: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill(deadline)?;
        }
    }

    fn exact(&mut self, length: usize, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill(deadline)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
