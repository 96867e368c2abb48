//! Calls to the processes' second addresses, and the fleet's status by them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_fleet::messages::Status;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::{told, Rig, LOOK};

const CALL: Duration = Duration::from_secs(9);
/// A process that the leader has not heard of for longer isn't there.
const SILENT_US: u64 = 4_000_000;

impl Rig {
    /// One call to the second address.
    pub async fn call(&self, at: usize, line: &str) -> Result<String, String> {
        let Some(admin) = *self.procs[at].admin.borrow() else { return Err("it is down".into()) };
        called(admin, line).await
    }

    pub async fn status(&self, at: usize) -> Result<Status, String> {
        serde_json::from_str(&self.call(at, "FLEET STATUS").await?).map_err(told)
    }

    /// Until each process that is up acts on the same version, and the duty is owned.
    pub async fn settled(&self, within: Duration) -> Result<Status, String> {
        let until = Instant::now() + within;
        let mut why = "nobody is up".to_owned();
        loop {
            for at in (0..self.procs.len()).filter(|at| self.is_up(*at) && !self.procs[*at].stopped) {
                match self.status(at).await {
                    Ok(status) => match unsettled(&status, self.procs.len()) {
                        None => return Ok(status),
                        Some(wrong) => why = wrong,
                    },
                    Err(wrong) => why = wrong,
                }
                if Instant::now() >= until {
                    return Err(why);
                }
            }
            if Instant::now() >= until {
                return Err(why);
            }
            sleep(2 * LOOK).await;
        }
    }
}

/// Why the fleet is not whole, if it isn't.
fn unsettled(status: &Status, processes: usize) -> Option<String> {
    let owned = status.duties.values().all(|(owner, _)| owner.is_some()) && !status.duties.is_empty();
    if !owned {
        return Some("a duty has no owner".into());
    }
    let there = status.members.iter().filter(|one| one.acted == status.version && one.silent_us < SILENT_US);
    let names: BTreeSet<&str> = there.map(|one| one.name.as_str()).collect();
    let behind = names.len() < processes;
    behind.then(|| {
        format!("{} of {processes} act on version {}: {:?}", names.len(), status.version, status.members)
    })
}

/// One call to the second address of a process.
pub async fn called(admin: SocketAddr, line: &str) -> Result<String, String> {
    let asked = async {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    let answer = timeout(CALL, asked).await.map_err(|_| "no answer")?.map_err(told)?;
    match answer.trim_end().split_once(' ').unwrap_or((answer.trim_end(), "")) {
        ("YES", said) => Ok(said.to_owned()),
        ("NO", why) => Err(why.to_owned()),
        _ => Err(format!("answered {answer:?}")),
    }
}
