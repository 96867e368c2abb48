//! A backend's heartbeat as it comes over the wire, and its check.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The longest id, service, zone or generation that is taken.
const MAX_NAME_BYTES: usize = 128;
/// The most models that one backend may list.
const MAX_MODELS: usize = 64;
/// The most adapters that one model may list.
const MAX_LORAS: usize = 256;

/// The body of `PUT /v1/instances/ID`. Unknown fields are skipped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The service that the backend belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it runs in.
    #[serde(default)]
    pub zone: String,
    /// The generation of its software.
    #[serde(default)]
    pub generation: String,
    /// Requests that it works on at once.
    #[serde(default)]
    pub slots: u32,
    /// What it says of itself.
    pub state: HeartbeatState,
    /// How much longer it stays slow from its start, in milliseconds.
    #[serde(default)]
    pub cold_left_ms: u32,
    /// Its stage, for engines that have one.
    #[serde(default)]
    pub stage: String,
    /// The models it has loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// Rises with each call of this backend.
    pub seq: u64,
}

/// What a backend says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HeartbeatState {
    /// Takes requests.
    Ready,
    /// Will end: no new requests.
    Draining,
}

/// A model that a backend has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The name that requests give.
    pub name: String,
    /// The version of its weights.
    #[serde(default)]
    pub generation: u64,
    /// Its adapters.
    #[serde(default)]
    pub loras: Vec<String>,
}

/// Why a heartbeat is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatError {
    /// The id is empty, too long or holds other than visible ASCII characters.
    Id,
    /// A name is empty or too long.
    Name,
    /// The address has no port or no host.
    Address,
    /// Too many models or adapters.
    Models,
    /// The registry holds as many backends as it may.
    Full,
}

impl HeartbeatError {
    /// The numbered code of this error.
    pub fn code(self) -> u16 {
        match self {
            Self::Id => 3_101,
            Self::Name => 3_102,
            Self::Address => 3_103,
            Self::Models => 3_104,
            Self::Full => 3_105,
        }
    }
}

impl std::fmt::Display for HeartbeatError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let reason = match self {
            Self::Id => "the id is empty, too long or not visible ASCII",
            Self::Name => "a name is missing or too long",
            Self::Address => "the address has no host or no port",
            Self::Models => "too many models or adapters",
            Self::Full => "the registry is full",
        };
        write!(formatter, "E{}: {reason}", self.code())
    }
}

impl std::error::Error for HeartbeatError {}

impl Heartbeat {
    /// Whether this heartbeat of `id` may be taken.
    pub fn check(&self, id: &str) -> Result<(), HeartbeatError> {
        check_id(id)?;
        let named = !self.service.is_empty();
        let bounded = [&self.service, &self.zone, &self.generation, &self.stage]
            .iter()
            .all(|name| name.len() <= MAX_NAME_BYTES);
        if !named || !bounded {
            return Err(HeartbeatError::Name);
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(HeartbeatError::Address);
        }
        let models_bounded = self.models.len() <= MAX_MODELS && self.models.iter().all(LoadedModel::bounded);
        if models_bounded {
            Ok(())
        } else {
            Err(HeartbeatError::Models)
        }
    }
}

impl LoadedModel {
    fn bounded(&self) -> bool {
        let names = std::iter::once(&self.name).chain(&self.loras);
        self.loras.len() <= MAX_LORAS && names.into_iter().all(|name| name.len() <= MAX_NAME_BYTES)
    }
}

/// Whether `id` may name a backend.
pub(crate) fn check_id(id: &str) -> Result<(), HeartbeatError> {
    let visible = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_NAME_BYTES || !visible {
        return Err(HeartbeatError::Id);
    }
    Ok(())
}
