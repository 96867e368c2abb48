//! Follows the list of backends: a watch whenever the module wants one, its lines fed as they come.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crankpick::interface::Listed;
use crankpick_launch::Instance;
use http_body_util::{BodyExt, Empty};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::backends::Backends;
use crate::decide::Decide;

/// Lines come every 2 s at the least: a watch without one is dead, though its connection may not know.
const SILENT: Duration = Duration::from_millis(2_700);
/// Against a list that never ends its line.
const MOST_LINE: usize = 8 << 20;

#[derive(Deserialize, Default)]
pub struct List {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

pub struct Discovery {
    decide: Arc<Decide>,
    backends: Arc<Backends>,
    zones: Vec<String>,
    /// The module's number for each id. It is drawn from the text, so that all proxies have the same.
    numbers: BTreeMap<String, u32>,
    generation: u64,
}

/// FNV-1a.
fn hash(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

impl Discovery {
    pub fn new(decide: Arc<Decide>, backends: Arc<Backends>, zones: Vec<String>) -> Self {
        Discovery { decide, backends, zones, numbers: BTreeMap::new(), generation: 0 }
    }

    fn number(&mut self, id: &str) -> u32 {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        let mut number = hash(id);
        while self.numbers.values().any(|taken| *taken == number) {
            number = number.wrapping_add(1);
        }
        self.numbers.insert(id.to_owned(), number);
        number
    }

    /// Takes in one list; `whole` where it holds all there is, as the copy from before the start does.
    pub fn take(&mut self, list: List, whole: bool) -> Result<(), String> {
        let mut items: Vec<Listed> = Vec::new();
        for instance in &list.instances {
            let number = self.number(&instance.instance_id);
            let item = instance.listed(number, &self.zones)?;
            if !instance.host_port.is_empty() {
                let address = instance.host_port.parse();
                let address = address.map_err(|_| format!("hostPort {:?}", instance.host_port))?;
                self.backends.place(number, address);
            }
            items.push(item);
        }
        self.generation = list.generation;
        self.decide.list(whole || list.reset, &items);
        Ok(())
    }

    /// Runs for good: the module says when to ask, also how long to wait after a loss.
    pub async fn follow(mut self, address: SocketAddr, wanted: Arc<Notify>) {
        loop {
            wanted.notified().await;
            let why = self.watch(address).await.unwrap_or_else(|why| why);
            tracing::warn!(code = "watch_ended", %address, generation = self.generation, "{why}");
            self.decide.news(|inbox| inbox.list_lost());
        }
    }

    /// One watch, to its end; the reason is for the log alone.
    async fn watch(&mut self, address: SocketAddr) -> Result<String, String> {
        let stream = timeout(SILENT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| "no connection")?.map_err(|wrong| wrong.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|wrong| wrong.to_string())?;
        // Ends by itself once the answer below is dropped.
        tokio::spawn(connection);
        let request = hyper::Request::get(format!("/api/targets?watch=1&after={}", self.generation))
            .header(HOST, address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|wrong| wrong.to_string())?;
        let answer = timeout(SILENT, sender.send_request(request)).await;
        let answer = answer.map_err(|_| "no answer")?.map_err(|wrong| wrong.to_string())?;
        if !answer.status().is_success() {
            return Ok(format!("answered {}", answer.status()));
        }
        let mut body = answer.into_body();
        let mut line = Vec::new();
        loop {
            let frame = timeout(SILENT, body.frame()).await.map_err(|_| "silent")?;
            let Some(frame) = frame else { return Ok("closed".to_owned()) };
            let Ok(data) = frame.map_err(|wrong| wrong.to_string())?.into_data() else { continue };
            for part in data.split_inclusive(|byte| *byte == b'\n') {
                line.extend_from_slice(part);
                if line.len() > MOST_LINE {
                    return Ok("a line past all bounds".to_owned());
                }
                if line.ends_with(b"\n") {
                    if !line.trim_ascii().is_empty() {
                        let list: List = serde_json::from_slice(&line)
                            .map_err(|wrong| format!("not to be understood: {wrong}"))?;
                        self.take(list, false)?;
                    }
                    line.clear();
                }
            }
        }
    }
}
