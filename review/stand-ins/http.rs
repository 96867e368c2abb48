//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

/// Reads a head.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { line: line(reader)?, ..Message::default() };
    message.status = message.line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    loop {
        let field = line(reader)?;
        if field.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = field.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; none at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let size = usize::from_str_radix(line(reader)?.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    line(reader)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads a whole message whose end is told.
pub fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
        return Ok(message);
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes a request with its body.
pub fn write_request(
    stream: &mut impl Write,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    stream.write_all(format!("{text}\r\n{body}").as_bytes())
}

/// A call on a connection of its own; follows 307 twice.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> io::Result<Message> {
    let mut to = to;
    for _ in 0..3 {
        let mut stream = TcpStream::connect_timeout(&to, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        write_request(&mut stream, method, path, &to.to_string(), headers, body)?;
        let answer = read(&mut BufReader::new(stream))?;
        let location = answer.header("location").filter(|_| answer.status == 307);
        let next = location.and_then(|url| url.strip_prefix("http://")?.split('/').next()?.parse().ok());
        match next {
            Some(next) => to = next,
            None => return Ok(answer),
        }
    }
    Err(io::Error::other("too many redirects"))
}
