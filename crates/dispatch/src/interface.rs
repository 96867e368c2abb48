//! What passes between the data plane and the dispatcher.

use crate::weights::Weights;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time since the start of the process, by its steady clock.
pub type Now = Duration;

/// What a dispatcher is told once, at its start.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// The zone of this gateway.
    pub zone: String,
    /// What the choice weighs against time.
    pub weights: Weights,
}

impl DispatcherSettings {
    /// The usual weights, for a gateway in this zone.
    pub fn new(zone: impl Into<String>) -> DispatcherSettings {
        DispatcherSettings { zone: zone.into(), weights: Weights::default() }
    }
}

/// The fleet as this gateway knows it: a snapshot, handed over whole whenever it changed.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The services of the configuration in force.
    pub services: Vec<ServiceView>,
    /// The backends of all services, in whatever state.
    pub backends: Vec<BackendView>,
    /// Gateways alive, this one included.
    pub gateways: usize,
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceView {
    /// The service's name.
    pub name: Arc<str>,
    /// Connections that one backend accepts from all callers together; 0 is no bound.
    pub max_conns: u32,
    /// Set where the service's backends are engines of a language model.
    pub engine: Option<EngineView>,
}

/// What the configuration says of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that its memory holds, of running requests and of kept parts together.
    pub kv_tokens: u64,
}

/// Whether a backend may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// It has said that it leaves.
    Draining,
    /// Its heartbeats have ceased.
    Silent,
    /// It has left.
    Gone,
}

/// A backend as the registry knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    /// The id of this incarnation.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it may get requests.
    pub state: BackendState,
    /// Until when it is slow from its start.
    pub warm_at: Now,
}

/// A backend within one dispatcher, stable as long as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(pub u32);

/// A part of a prompt, as `X-Prompt-Prefix` names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// What names the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What the choice needs of the request's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTerms {
    /// The time within which the first event or the answer earns its full worth.
    pub slo: Duration,
    /// Whether the prompt's parts are to be sent where they are kept.
    pub sticky: bool,
    /// Whether it may run more than once: such requests try out backends that failed.
    pub repeatable: bool,
}

/// One request for which a backend is sought.
#[derive(Clone, Debug)]
pub struct DispatchRequest<'a> {
    /// The service picked of the route's split.
    pub service: &'a str,
    /// What its route says.
    pub route: RouteTerms,
    /// Its rank, 0 the highest; the tenant's where it has one.
    pub priority: u8,
    /// Tokens of the prompt by `X-Token-Usage`; 0 where it is absent.
    pub prompt_tokens: u32,
    /// The most tokens of the answer by `X-Token-Usage`; 0 where it is absent.
    pub answer_tokens: u32,
    /// The parts of the prompt in their order.
    pub parts: &'a [PromptPart],
    /// Bytes of the request, which crossing a zone costs.
    pub request_bytes: u32,
    /// Time spent on the request before this choice.
    pub elapsed: Duration,
    /// Time left until nobody waits for the answer any more.
    pub deadline: Duration,
    /// Backends that it was sent to before.
    pub tried: &'a [BackendKey],
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The backend's key, for `begin` and `tried`.
    pub backend: BackendKey,
    /// Its id, for `X-Expect-Instance`.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// What to send as `Priority`, for engines.
    pub priority_header: Option<u8>,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It goes to this backend.
    Send(Target),
    /// Its service's places are taken: it is refused at once, and may come again after this time.
    Full {
        /// When a place is expected.
        retry_after: Duration,
    },
    /// No backend of its service that it may go to is known.
    NoBackend,
}

/// One send of a request, from `begin` to `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(crate) index: u32,
    pub(crate) serial: u32,
}

/// `X-Backend-Load` of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Done,
    /// The backend answered 5xx and may have run it, or broke its answer off.
    BackendError,
    /// The backend stated that it did not run it (`X-Not-Executed`).
    Refused,
    /// No connection came up.
    NoConnection,
    /// The connection was reset or closed after the request went out.
    Reset,
    /// Given up on, as too long silent.
    TimedOut,
    /// Another backend listens there now (421).
    Misdirected,
    /// The client went away.
    ClientGone,
}
