//! The second address, for operators: one line to a connection, one line back that begins with YES or NO.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::fleet::{Fleet, FLEET};
use crate::handover::{ByHand, ATTACH, DETACH};
use crate::lifecycle::Stand;

/// Callers in hand: past it the one there longest makes room, so that those who end no call hold up nobody.
pub const CALLERS: usize = 16;
/// Of a line, its end included; calls to the fleet name many backends at a time.
const MOST_LINE: u64 = 512;
const MOST_FLEET_LINE: u64 = 64 << 10;
/// Against callers that never end their line, or don't take their answer.
const UNENDED: Duration = Duration::from_secs(2);
/// A call to the fleet waits for a majority of its voters.
const AGREED: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(20);

#[derive(Clone)]
pub struct Admin {
    pub stand: Stand,
    pub by_hand: Arc<ByHand>,
    /// Where the operators' file joins this proxy to one.
    pub fleet: Option<Fleet>,
}

impl Admin {
    pub async fn listen(self, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(wrong) => {
                    tracing::warn!(code = "accept_error", "second address: {wrong}");
                    sleep(PAUSE).await;
                    continue;
                }
            };
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= CALLERS {
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

    /// Answers one call; returns the code for the log, and the call as it came.
    async fn call(&self, stream: TcpStream) -> (&'static str, String) {
        let mut stream = BufReader::new(stream);
        let mut line = Vec::new();
        let most = if self.fleet.is_some() { MOST_FLEET_LINE } else { MOST_LINE };
        let read = timeout(UNENDED, (&mut stream).take(most).read_until(b'\n', &mut line)).await;
        let call = line.trim_ascii().escape_ascii().to_string();
        if !matches!(read, Ok(Ok(_))) || line.is_empty() {
            return ("call_unended", call);
        }
        let answered = timeout(UNENDED + AGREED, self.answer(&line)).await;
        let (code, answer) = match answered.unwrap_or_else(|_| Err("no answer in time".into())) {
            Ok(said) if said.is_empty() => ("call_yes", "YES\n".to_owned()),
            Ok(said) => ("call_yes", format!("YES {said}\n")),
            Err(why) => ("call_no", format!("NO {why}\n")),
        };
        match timeout(UNENDED, stream.get_mut().write_all(answer.as_bytes())).await {
            Ok(Ok(())) => (code, call),
            _ => ("caller_gone", call),
        }
    }

    /// What stands behind YES, or behind NO.
    async fn answer(&self, line: &[u8]) -> Result<String, String> {
        let line = line.strip_suffix(b"\n").ok_or("the line does not end")?;
        let line = std::str::from_utf8(line).map_err(|_| "not text")?;
        let mut words = line.split_ascii_whitespace();
        if let (Some(FLEET), Some(fleet)) = (words.next(), &self.fleet) {
            return fleet.call(words.collect(), AGREED).await;
        }
        let mut words = line.split_ascii_whitespace();
        let done = match (words.next(), words.next(), words.next()) {
            (Some("PING"), None, _) => self.stand.ready(),
            (Some("LAMEDUCK"), None, _) => self.stand.by_hand(true),
            (Some("REJOIN"), None, _) => self.stand.by_hand(false),
            (Some(call @ (DETACH | ATTACH)), Some(id), None) => self.by_hand.call(id, call == DETACH).await,
            (Some(FLEET), ..) => Err("this proxy is in no fleet: it was started without a fleet file".into()),
            _ => Err("unknown call".into()),
        };
        done.map(|()| String::new())
    }
}
