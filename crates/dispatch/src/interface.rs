//! The types exchanged between the data plane and the dispatcher.

use crate::weights::Weights;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time since the start of the process, measured with a monotonic clock.
pub type Timestamp = Duration;

/// Settings of a dispatcher, fixed when it is created.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// The zone of this gateway.
    pub zone: String,
    /// The cost weights used to compare backends.
    pub weights: Weights,
}

impl DispatcherSettings {
    /// Returns settings with the default weights for a gateway in `zone`.
    pub fn new(zone: impl Into<String>) -> DispatcherSettings {
        DispatcherSettings { zone: zone.into(), weights: Weights::default() }
    }
}

/// A complete snapshot of the fleet as this gateway knows it, passed in on every change.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The services in the active configuration.
    pub services: Vec<ServiceView>,
    /// The backends of all services, in any state.
    pub backends: Vec<BackendView>,
    /// The number of live gateways, including this one.
    pub gateways: usize,
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceView {
    /// The unique name of the service.
    pub name: Arc<str>,
    /// The maximum number of connections per backend, summed over all gateways; 0 means unlimited.
    pub max_conns: u32,
    /// Set if the service's backends are language model inference engines.
    pub engine: Option<EngineView>,
}

/// The configured capacity of a service's inference engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The number of requests that one engine runs concurrently.
    pub slots: u32,
    /// The KV cache capacity in tokens, shared by running requests and cached prompt parts.
    pub kv_tokens: u64,
}

/// The registration state of a backend, which decides whether it receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// The backend accepts requests.
    Ready,
    /// The backend has announced that it is shutting down.
    Draining,
    /// The backend has stopped sending heartbeats.
    Silent,
    /// The backend has deregistered.
    Gone,
}

/// A backend as recorded in the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    /// The instance id, new for each incarnation.
    pub id: Arc<str>,
    /// The name of the service that the backend belongs to.
    pub service: Arc<str>,
    /// The address that the backend listens on.
    pub address: SocketAddr,
    /// The zone that the backend runs in.
    pub zone: Arc<str>,
    /// The number of requests that the backend processes concurrently.
    pub slots: u32,
    /// The registration state.
    pub state: BackendState,
    /// The end of the warm-up period, during which the backend is slower than usual.
    pub warm_at: Timestamp,
}

/// Identifies a backend within one dispatcher; stable for as long as the dispatcher tracks the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(pub u32);

/// A part of a prompt, as listed in `X-Prompt-Prefix`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The identifier of the part.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The route settings that affect backend selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The operator's latency objective for the first event or the response. Backends are ranked by how soon they
    /// answer in proportion to it; it bounds no wait.
    pub slo: Duration,
    /// Whether requests are routed to backends that have the prompt's parts cached (prefix affinity).
    pub sticky: bool,
    /// Whether a request may run more than once. Idempotent requests are preferred as trials of ejected backends.
    pub idempotent: bool,
}

/// A request to select a backend for.
#[derive(Clone, Debug)]
pub struct DispatchRequest<'a> {
    /// The service, already selected from the route's traffic split.
    pub service: &'a str,
    /// The settings of the route.
    pub route: RoutePolicy,
    /// The priority, 0 being the highest; the tenant's priority if one is configured.
    pub priority: u8,
    /// Prompt tokens from `X-Token-Usage`; 0 if absent.
    pub prompt_tokens: u32,
    /// The maximum number of response tokens from `X-Token-Usage`; 0 if absent.
    pub response_tokens: u32,
    /// The parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// The size of the request in bytes, which may cross zones.
    pub request_bytes: u32,
    /// Time left until the client stops waiting for the complete response.
    pub deadline: Duration,
    /// Time left until the client abandons a response of which it has received nothing; at most `deadline`.
    pub first_event_within: Duration,
    /// Backends that earlier attempts of this request were sent to.
    pub tried: &'a [BackendKey],
    /// The only backends that the request may be sent to; `None` if it may be sent to any.
    pub restricted_to: Option<&'a [BackendKey]>,
}

/// The backend selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The key of the backend, as passed to `Dispatcher::begin` and in `DispatchRequest::tried`.
    pub backend: BackendKey,
    /// The instance id, sent as `X-Expect-Instance`.
    pub id: Arc<str>,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The value of the `Priority` header; set for inference engines only.
    pub priority_header: Option<u8>,
    /// When it is expected to answer the request.
    pub expected: ExpectedTime,
}

/// The estimated time until a backend answers a request, at its current load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Until the first event of a stream, or the response.
    pub first_event: Duration,
    /// Until the response is complete; at least `first_event`.
    pub answer: Duration,
}

/// The result of selecting a backend for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this backend.
    Send(Target),
    /// No backend is expected to answer the request before its client gives up: refuse it now.
    Full {
        /// The time after which a request with as much time as this one is expected to be answered.
        retry_after: Duration,
    },
    /// The service has no known backend that the request may use.
    NoBackend,
}

/// A handle for one attempt to execute a request, valid from `Dispatcher::begin` to `Dispatcher::end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(crate) index: u32,
    pub(crate) serial: u32,
}

/// The load reported in the `X-Backend-Load` header of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// The maximum number of concurrently running requests.
    pub slots: u32,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was received.
    Done,
    /// The backend returned 5xx and may have executed the request, or it truncated its response.
    BackendError,
    /// The backend reported that it did not execute the request (`X-Not-Executed`).
    Refused,
    /// The connection could not be established.
    NoConnection,
    /// The connection was reset or closed after the request had been sent.
    Reset,
    /// The attempt was abandoned because the backend sent nothing for too long.
    TimedOut,
    /// Another instance now listens on the address (421 Misdirected Request).
    Misdirected,
    /// The client disconnected.
    ClientGone,
}
