//! The configuration as messages: fields and names as the operator's API has them.
//!
//! Unknown fields are skipped. A field that is absent or null takes its default, except for the three that make the
//! document whole (`generation`, `routes`, `services`).

use serde::{Deserialize, Serialize};

use crate::lenient;

/// A whole configuration.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number; versions rise.
    #[prost(uint64, tag = "1")]
    #[serde(deserialize_with = "lenient::generation")]
    pub generation: u64,
    /// Which requests go to which services.
    #[prost(message, repeated, tag = "2")]
    #[serde(deserialize_with = "lenient::routes")]
    pub routes: Vec<Route>,
    /// The services.
    #[prost(message, repeated, tag = "3")]
    #[serde(deserialize_with = "lenient::services")]
    pub services: Vec<Service>,
    /// What a client may send.
    #[prost(message, optional, tag = "4")]
    #[serde(default, deserialize_with = "lenient::limits", skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
    /// Who may call, and how much.
    #[prost(message, repeated, tag = "5")]
    #[serde(default, deserialize_with = "lenient::tenants", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// One route.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(default)]
pub struct Route {
    /// Its name.
    #[prost(string, tag = "1")]
    #[serde(deserialize_with = "lenient::value")]
    pub name: String,
    /// The host whose requests it takes.
    #[prost(string, tag = "2")]
    #[serde(deserialize_with = "lenient::value")]
    pub host: String,
    /// What the paths begin with.
    #[prost(string, tag = "3")]
    #[serde(deserialize_with = "lenient::value")]
    pub prefix: String,
    /// `idempotent`, `mutating` or `streaming`.
    #[prost(string, tag = "4")]
    #[serde(rename = "type", deserialize_with = "lenient::value")]
    pub kind: String,
    /// The longest time that a request is held.
    #[prost(uint64, tag = "5")]
    #[serde(deserialize_with = "lenient::whole")]
    pub timeout_ms: u64,
    /// The operator's objective: an answer after this time is late.
    #[prost(uint64, optional, tag = "6")]
    #[serde(deserialize_with = "lenient::optional_whole", skip_serializing_if = "Option::is_none")]
    pub slo_ms: Option<u64>,
    /// Its rank, 0 being the highest.
    #[prost(uint32, optional, tag = "7")]
    #[serde(deserialize_with = "lenient::optional_count", skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// The one service, unless there is a split.
    #[prost(string, tag = "8")]
    #[serde(deserialize_with = "lenient::value", skip_serializing_if = "String::is_empty")]
    pub service: String,
    /// Several services with their shares.
    #[prost(message, repeated, tag = "9")]
    #[serde(deserialize_with = "lenient::splits", skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Split>,
    /// The most backends to which one try may be sent.
    #[prost(uint32, tag = "10")]
    #[serde(deserialize_with = "lenient::count")]
    pub retries: u32,
    /// Whether requests need no key.
    #[prost(bool, tag = "11")]
    #[serde(deserialize_with = "lenient::value")]
    pub public: bool,
    /// Whether requests share parts of their prompts.
    #[prost(bool, tag = "12")]
    #[serde(deserialize_with = "lenient::value")]
    pub sticky: bool,
    /// Whether a stream may be taken up at another backend.
    #[prost(bool, tag = "13")]
    #[serde(deserialize_with = "lenient::value")]
    pub resume: bool,
    /// The longest pause between events.
    #[prost(uint64, optional, tag = "14")]
    #[serde(deserialize_with = "lenient::optional_whole", skip_serializing_if = "Option::is_none")]
    pub gap_aim_ms: Option<u64>,
}

/// One service's share of a route.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(default)]
pub struct Split {
    /// The service.
    #[prost(string, tag = "1")]
    #[serde(deserialize_with = "lenient::value")]
    pub service: String,
    /// Its weight among the route's.
    #[prost(double, tag = "2")]
    #[serde(deserialize_with = "lenient::number")]
    pub weight: f64,
}

/// One service.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Its name.
    #[prost(string, tag = "1")]
    #[serde(deserialize_with = "lenient::value")]
    pub name: String,
    /// The path that tells whether a backend is well.
    #[prost(string, tag = "2")]
    #[serde(deserialize_with = "lenient::value")]
    pub health_path: String,
    /// How many connections a backend accepts from all callers together.
    #[prost(uint32, tag = "3")]
    #[serde(deserialize_with = "lenient::count")]
    pub max_conns: u32,
    /// What backends speak.
    #[prost(string, tag = "4")]
    #[serde(deserialize_with = "lenient::value", skip_serializing_if = "String::is_empty")]
    pub protocol: String,
    /// Whether they speak it over TLS.
    #[prost(bool, tag = "5")]
    #[serde(deserialize_with = "lenient::value")]
    pub tls: bool,
    /// The model's engine, where there is one.
    #[prost(message, optional, tag = "6")]
    #[serde(deserialize_with = "lenient::engine", skip_serializing_if = "Option::is_none")]
    pub engine: Option<Engine>,
    /// How long a backend is slow from its start.
    #[prost(double, optional, tag = "7")]
    #[serde(deserialize_with = "lenient::optional_number", skip_serializing_if = "Option::is_none")]
    pub cold_s: Option<f64>,
    /// How many requests a second a backend bears while it is slow.
    #[prost(double, optional, tag = "8")]
    #[serde(deserialize_with = "lenient::optional_number", skip_serializing_if = "Option::is_none")]
    pub cold_per_s: Option<f64>,
}

/// The engine of a service's backends.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(default)]
pub struct Engine {
    /// Requests that run at once.
    #[prost(uint32, tag = "1")]
    #[serde(deserialize_with = "lenient::count")]
    pub slots: u32,
    /// Memory, in tokens.
    #[prost(uint64, tag = "2")]
    #[serde(deserialize_with = "lenient::whole")]
    pub kv_tokens: u64,
    /// Bytes of memory a token.
    #[prost(uint64, tag = "3")]
    #[serde(deserialize_with = "lenient::whole")]
    pub kv_bytes: u64,
    /// The bandwidth between engines, in Mbit/s.
    #[prost(double, tag = "4")]
    #[serde(deserialize_with = "lenient::number")]
    pub link_mbps: f64,
    /// Tokens in an event of a stream.
    #[prost(uint32, tag = "5")]
    #[serde(deserialize_with = "lenient::count")]
    pub stride: u32,
    /// The models that it serves.
    #[prost(message, repeated, tag = "6")]
    #[serde(deserialize_with = "lenient::models", skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Model>,
}

/// A model that an engine serves.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(default)]
pub struct Model {
    /// Its name.
    #[prost(string, tag = "1")]
    #[serde(deserialize_with = "lenient::value")]
    pub name: String,
}

/// What a client may send, and how long it may take or remain idle.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The largest head.
    #[prost(uint64, tag = "1")]
    #[serde(deserialize_with = "lenient::whole")]
    pub max_header_bytes: u64,
    /// The largest body.
    #[prost(uint64, tag = "2")]
    #[serde(deserialize_with = "lenient::whole")]
    pub max_body_bytes: u64,
    /// Within which a head is there.
    #[prost(uint64, tag = "3")]
    #[serde(deserialize_with = "lenient::whole")]
    pub header_timeout_ms: u64,
    /// How long a connection may be at rest.
    #[prost(uint64, tag = "4")]
    #[serde(deserialize_with = "lenient::whole")]
    pub idle_timeout_ms: u64,
}

/// One tenant.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(default)]
pub struct Tenant {
    /// Its name.
    #[prost(string, tag = "1")]
    #[serde(deserialize_with = "lenient::value")]
    pub name: String,
    /// Its keys.
    #[prost(string, repeated, tag = "2")]
    #[serde(deserialize_with = "lenient::keys")]
    pub api_keys: Vec<String>,
    /// Its rank, which goes before the route's.
    #[prost(uint32, optional, tag = "3")]
    #[serde(deserialize_with = "lenient::optional_count", skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// What its quota counts: `token_count`, or requests.
    #[prost(string, tag = "4")]
    #[serde(deserialize_with = "lenient::value", skip_serializing_if = "String::is_empty")]
    pub unit: String,
    /// What a request counts that tells no tokens.
    #[prost(uint64, tag = "5")]
    #[serde(deserialize_with = "lenient::whole")]
    pub plain_tokens: u64,
    /// The quota a second; 0 is none.
    #[prost(double, tag = "6")]
    #[serde(deserialize_with = "lenient::number")]
    pub rate_per_s: f64,
    /// What may come above it.
    #[prost(double, tag = "7")]
    #[serde(deserialize_with = "lenient::number")]
    pub burst: f64,
}
