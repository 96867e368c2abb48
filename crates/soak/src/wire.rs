//! HTTP/1.1 on one raw socket, so that each end of a connection is seen exactly as it came.

use std::io;
use std::time::Duration;

use snafu::Snafu;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// No head in these runs is longer.
const MAX_HEAD: usize = 64 << 10;
const READ_SIZE: usize = 16 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a message could not be read whole.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The connection ended.
    #[snafu(display("the connection ended after {bytes} bytes"))]
    Ended {
        /// Bytes of the message that had come.
        bytes: usize,
    },
    /// The connection was reset or failed.
    #[snafu(display("the connection failed after {bytes} bytes: {source}"))]
    Failed {
        /// Bytes of the message that had come.
        bytes: usize,
        /// How.
        source: io::Error,
    },
    /// What came is no HTTP/1.1.
    #[snafu(display("no HTTP/1.1: {text}"))]
    Malformed {
        /// What is wrong.
        text: String,
    },
}

impl WireError {
    /// Whether nothing of the message had come.
    pub fn before_first_byte(&self) -> bool {
        matches!(self, WireError::Ended { bytes: 0 } | WireError::Failed { bytes: 0, .. })
    }
}

/// The head of a request or an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head without the empty line at its end.
    pub fn parse(text: &str) -> Option<Head> {
        let mut lines = text.split("\r\n");
        let first_line = lines.next().filter(|line| !line.is_empty())?.to_owned();
        let headers = lines.map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        });
        Some(Head { first_line, headers: headers.collect::<Option<_>>()? })
    }

    /// The value of a header; its name in lower case.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        let mut words = self.first_line.split(' ');
        words.next().filter(|version| version.starts_with("HTTP/1."))?;
        words.next()?.parse().ok()
    }

    /// Method and path of a request.
    pub fn method_and_path(&self) -> Option<(&str, &str)> {
        let mut words = self.first_line.split(' ');
        Some((words.next()?, words.next()?))
    }

    /// Whether the sender ends the connection behind this message.
    pub fn closes(&self) -> bool {
        self.value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    fn is_chunked(&self) -> bool {
        self.value("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.value("content-length")?.parse().ok()
    }
}

/// A message read whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Its head.
    pub head: Head,
    /// Its body, without the framing.
    pub body: Vec<u8>,
}

/// What a connection at rest was found to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// Open and silent.
    Open,
    /// Ended by the peer.
    Ended,
    /// Bytes came that belong to no request.
    Bytes,
}

/// One connection.
pub struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes of the message at hand that were taken out of the buffer.
    taken: usize,
}

impl Wire {
    /// A connection that is open.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new(), taken: 0 }
    }

    /// Opens a connection.
    pub async fn connect(address: std::net::SocketAddr, patience: Duration) -> io::Result<Self> {
        let opened = tokio::time::timeout(patience, TcpStream::connect(address)).await;
        Ok(Wire::new(opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??))
    }

    /// Writes bytes whole.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Comes once the peer ends the connection or sends bytes while nothing is due.
    pub async fn disturbed(&mut self) -> Rest {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => Rest::Ended,
            Ok(_) => Rest::Bytes,
        }
    }

    /// Looks at a connection that should be at rest, without waiting.
    pub fn at_rest(&mut self) -> Rest {
        if !self.buffer.is_empty() {
            return Rest::Bytes;
        }
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(0) => Rest::Ended,
            Ok(_) => Rest::Bytes,
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => Rest::Open,
            Err(_) => Rest::Ended,
        }
    }

    /// Reads a request.
    pub async fn read_request(&mut self) -> Result<Message, WireError> {
        let head = self.read_head().await?;
        let body = if head.is_chunked() {
            self.read_chunks().await?
        } else {
            self.read_exactly(head.length().unwrap_or(0)).await?
        };
        Ok(Message { head, body })
    }

    /// Reads the answer to a request that was sent.
    pub async fn read_answer(&mut self) -> Result<Message, WireError> {
        let head = self.read_head().await?;
        let bodiless = matches!(head.status(), Some(204 | 304));
        let body = if bodiless {
            Vec::new()
        } else if head.is_chunked() {
            self.read_chunks().await?
        } else if let Some(length) = head.length() {
            self.read_exactly(length).await?
        } else {
            self.read_to_end().await?
        };
        Ok(Message { head, body })
    }

    async fn read_head(&mut self) -> Result<Head, WireError> {
        self.taken = 0;
        let end = loop {
            if let Some(end) = find(&self.buffer, HEAD_END) {
                break end;
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(malformed("the head has no end"));
            }
            self.fill().await?;
        };
        let bytes = self.take(end + HEAD_END.len());
        let text = std::str::from_utf8(&bytes[..end]).map_err(|_| malformed("the head is no text"))?;
        Head::parse(text).ok_or_else(|| malformed(text))
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>, WireError> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.take(length))
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, WireError> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| malformed(&line))?;
            if size == 0 {
                while !self.read_line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exactly(size).await?);
            if !self.read_line().await?.is_empty() {
                return Err(malformed("a chunk has no end"));
            }
        }
    }

    async fn read_line(&mut self) -> Result<String, WireError> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(malformed("a line has no end"));
            }
            self.fill().await?;
        };
        let mut line = self.take(end + 2);
        line.truncate(end);
        String::from_utf8(line).map_err(|_| malformed("a line is no text"))
    }

    async fn read_to_end(&mut self) -> Result<Vec<u8>, WireError> {
        loop {
            match self.fill().await {
                Ok(()) => {}
                Err(WireError::Ended { .. }) => return Ok(self.take(self.buffer.len())),
                Err(wrong) => return Err(wrong),
            }
        }
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        self.taken += length;
        self.buffer.drain(..length).collect()
    }

    async fn fill(&mut self) -> Result<(), WireError> {
        let mut room = [0; READ_SIZE];
        let bytes = self.taken + self.buffer.len();
        match self.stream.read(&mut room).await {
            Ok(0) => Err(WireError::Ended { bytes }),
            Ok(length) => {
                self.buffer.extend_from_slice(&room[..length]);
                Ok(())
            }
            Err(source) => Err(WireError::Failed { bytes, source }),
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn malformed(text: &str) -> WireError {
    WireError::Malformed { text: text.to_owned() }
}
