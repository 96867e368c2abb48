//! The second address, for operators: each connection carries one request line and one response line that
//! begins with YES or NO.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::fleet::{Fleet, FLEET};
use crate::handover::{ManualDrains, ATTACH, DETACH};
use crate::lifecycle::LifecycleController;

/// Maximum number of concurrent calls. Beyond it the oldest one is aborted, so that callers that never finish
/// block nobody.
pub const MAX_CALLERS: usize = 16;
/// Maximum length of a line including its end; fleet calls may name many backends.
const MAX_LINE: u64 = 512;
const MAX_FLEET_LINE: u64 = 64 << 10;
/// Timeout for callers that never end their line or don't read the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a fleet call, which waits for a majority of the voters.
const FLEET_TIMEOUT: Duration = Duration::from_secs(6);
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

#[derive(Clone)]
pub struct Admin {
    pub controller: LifecycleController,
    pub manual_drains: Arc<ManualDrains>,
    /// Set if a fleet file is configured.
    pub fleet: Option<Fleet>,
}

impl Admin {
    pub async fn listen(self, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!(code = "accept_error", "second address: {error}");
                    sleep(ACCEPT_RETRY).await;
                    continue;
                }
            };
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MAX_CALLERS {
                callers.pop_front().iter().for_each(AbortHandle::abort);
            }
            let admin = self.clone();
            let task = tokio::spawn(async move {
                let (code, call) = admin.call(stream).await;
                tracing::info!(code, call, %from, "call ended");
            });
            callers.push_back(task.abort_handle());
        }
    }

    /// Handles one call; returns the code for the log, and the call as received.
    async fn call(&self, stream: TcpStream) -> (&'static str, String) {
        let mut stream = BufReader::new(stream);
        let mut line = Vec::new();
        let max_length = if self.fleet.is_some() { MAX_FLEET_LINE } else { MAX_LINE };
        let read = timeout(CALL_TIMEOUT, (&mut stream).take(max_length).read_until(b'\n', &mut line)).await;
        let call = line.trim_ascii().escape_ascii().to_string();
        if !matches!(read, Ok(Ok(_))) || line.is_empty() {
            return ("call_unended", call);
        }
        let answered = timeout(CALL_TIMEOUT + FLEET_TIMEOUT, self.answer(&line)).await;
        let (code, answer) = match answered.unwrap_or_else(|_| Err("no answer in time".into())) {
            Ok(said) if said.is_empty() => ("call_yes", "YES\n".to_owned()),
            Ok(said) => ("call_yes", format!("YES {said}\n")),
            Err(why) => ("call_no", format!("NO {why}\n")),
        };
        match timeout(CALL_TIMEOUT, stream.get_mut().write_all(answer.as_bytes())).await {
            Ok(Ok(())) => (code, call),
            _ => ("caller_gone", call),
        }
    }

    /// Returns the text after YES, or after NO.
    async fn answer(&self, line: &[u8]) -> Result<String, String> {
        let line = line.strip_suffix(b"\n").ok_or("the line does not end")?;
        let line = std::str::from_utf8(line).map_err(|_| "not text")?;
        let mut words = line.split_ascii_whitespace();
        if let (Some(FLEET), Some(fleet)) = (words.next(), &self.fleet) {
            return fleet.call(words.collect(), FLEET_TIMEOUT).await;
        }
        let mut words = line.split_ascii_whitespace();
        let done = match (words.next(), words.next(), words.next()) {
            (Some("PING"), None, _) => self.controller.ready(),
            (Some("LAMEDUCK"), None, _) => self.controller.set_manual_drain(true),
            (Some("REJOIN"), None, _) => self.controller.set_manual_drain(false),
            (Some(call @ (DETACH | ATTACH)), Some(id), None) => {
                self.manual_drains.call(id, call == DETACH).await
            }
            (Some(FLEET), ..) => Err("this proxy is in no fleet: it was started without a fleet file".into()),
            _ => Err("unknown call".into()),
        };
        done.map(|()| String::new())
    }
}
