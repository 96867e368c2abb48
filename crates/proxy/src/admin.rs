//! The second address, for operators: one line to a connection, one line back that begins with YES or NO.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

use crate::duty::Duty;
use crate::handover::{ByHand, ATTACH, DETACH};

/// Callers in hand: past it the one there longest makes room, so that those who end no call hold up nobody.
pub const CALLERS: usize = 16;
/// Of a line, its end included.
const MOST_LINE: u64 = 512;
/// Against callers that never end their line, or don't take their answer.
const UNENDED: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(20);

#[derive(Clone)]
pub struct Admin {
    pub duty: watch::Sender<Duty>,
    pub by_hand: Arc<ByHand>,
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
                let unended = ("call_unended", String::new());
                let (code, call) = timeout(UNENDED, admin.call(stream)).await.unwrap_or(unended);
                tracing::info!(code, call, %from, "call ended");
            });
            callers.push_back(task.abort_handle());
        }
    }

    /// Answers one call; returns the code for the log, and the call as it came.
    async fn call(&self, stream: TcpStream) -> (&'static str, String) {
        let mut stream = BufReader::new(stream);
        let mut line = Vec::new();
        let read = (&mut stream).take(MOST_LINE).read_until(b'\n', &mut line).await;
        let call = line.trim_ascii().escape_ascii().to_string();
        if read.is_err() || line.is_empty() {
            return ("call_unended", call);
        }
        let (code, answer) = match self.answer(&line).await {
            Ok(()) => ("call_yes", "YES\n".to_owned()),
            Err(why) => ("call_no", format!("NO {why}\n")),
        };
        match stream.get_mut().write_all(answer.as_bytes()).await {
            Ok(()) => (code, call),
            Err(_) => ("caller_gone", call),
        }
    }

    async fn answer(&self, line: &[u8]) -> Result<(), String> {
        let line = line.strip_suffix(b"\n").ok_or("the line does not end")?;
        let line = std::str::from_utf8(line).map_err(|_| "not text")?;
        let mut words = line.split_ascii_whitespace();
        match (words.next(), words.next(), words.next()) {
            (Some("PING"), None, _) => self.duty.borrow().ready(),
            (Some("LAMEDUCK"), None, _) => self.turn(Duty::Drained(Instant::now())),
            (Some("REJOIN"), None, _) => self.turn(Duty::Serving),
            (Some(call @ (DETACH | ATTACH)), Some(id), None) => self.by_hand.call(id, call == DETACH).await,
            _ => Err("unknown call".into()),
        }
    }

    /// Repeated it changes nothing: a drain runs from the first call.
    fn turn(&self, to: Duty) -> Result<(), String> {
        let ending = |duty: &Duty| matches!(duty, Duty::Ending(_));
        self.duty.send_if_modified(|duty| {
            let turns = !ending(duty) && duty.ready().is_ok() != to.ready().is_ok();
            if turns {
                *duty = to;
            }
            turns
        });
        match ending(&self.duty.borrow()) {
            true => Err("the process is ending".into()),
            false => Ok(()),
        }
    }
}
