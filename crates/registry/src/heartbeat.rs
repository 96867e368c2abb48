//! The heartbeat of a backend as it sends it, and its validation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The maximum length of an id, service, zone, generation, stage, model or adapter.
const MAX_NAME_BYTES: usize = 128;
/// The maximum number of models of one backend.
const MAX_MODELS: usize = 64;
/// The maximum number of adapters of one model.
const MAX_ADAPTERS: usize = 256;

/// The JSON body of `PUT /v1/instances/ID`. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The service that the backend belongs to.
    pub service: String,
    /// The address that it accepts connections on.
    pub address: SocketAddr,
    /// The zone that it runs in.
    #[serde(default)]
    pub zone: String,
    /// The generation of its software.
    #[serde(default)]
    pub generation: String,
    /// The number of requests that it works on at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: HeartbeatState,
    /// How much longer its warm-up lasts, in milliseconds.
    #[serde(default)]
    pub cold_left_ms: u32,
    /// Its stage, if its engine has stages.
    #[serde(default)]
    pub stage: String,
    /// The models that it has loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// The number of this heartbeat; rises with each call of this backend.
    pub seq: u64,
}

/// The state that a backend reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HeartbeatState {
    /// Takes new requests.
    Ready,
    /// Shuts down gracefully: takes no new requests.
    Draining,
}

/// A model that a backend has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The name by which requests select it.
    pub name: String,
    /// The version of its weights.
    #[serde(default)]
    pub generation: u64,
    /// The names of its adapters.
    #[serde(default)]
    pub loras: Vec<String>,
}

/// The reason why a heartbeat or a sign-off is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatError {
    /// The id is empty, too long, or has characters other than visible ASCII.
    Id,
    /// The service is empty, or a name is too long.
    Name,
    /// The address has port 0 or an unspecified host.
    Address,
    /// There are too many models or adapters, or the name of one is too long.
    Models,
    /// The registry has the maximum number of backends.
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
    /// Validates this heartbeat of the backend `id`.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the id or the heartbeat breaks; never [`HeartbeatError::Full`].
    pub fn check(&self, id: &str) -> Result<(), HeartbeatError> {
        check_id(id)?;
        let names = [&self.service, &self.zone, &self.generation, &self.stage];
        let names_bounded = names.iter().all(|name| name.len() <= MAX_NAME_BYTES);
        if self.service.is_empty() || !names_bounded {
            return Err(HeartbeatError::Name);
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(HeartbeatError::Address);
        }
        if self.models.len() > MAX_MODELS || !self.models.iter().all(LoadedModel::is_bounded) {
            return Err(HeartbeatError::Models);
        }
        Ok(())
    }
}

impl LoadedModel {
    fn is_bounded(&self) -> bool {
        let names = std::iter::once(&self.name).chain(&self.loras);
        self.loras.len() <= MAX_ADAPTERS && names.into_iter().all(|name| name.len() <= MAX_NAME_BYTES)
    }
}

/// Validates the id of a backend.
pub(crate) fn check_id(id: &str) -> Result<(), HeartbeatError> {
    let visible = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_NAME_BYTES || !visible {
        return Err(HeartbeatError::Id);
    }
    Ok(())
}
