//! A dispatcher, a view and a clock, for traces written out by hand.

use crankpick_dispatch::*;
use std::time::Duration;

pub fn at(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

pub fn engine_service() -> ServiceView {
    let engine = EngineView { slots: 64, kv_tokens: 500_000 };
    ServiceView { name: "llm".into(), max_conns: 400, engine: Some(engine) }
}

pub fn plain_service() -> ServiceView {
    ServiceView { name: "ledger".into(), max_conns: 100, engine: None }
}

pub fn backend(service: &str, number: u16, zone: &str, slots: u32) -> BackendView {
    BackendView {
        id: format!("{service}-{number}").into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 1000 + number).into(),
        zone: zone.into(),
        slots,
        state: BackendState::Ready,
        warm_at: Duration::ZERO,
    }
}

/// Engines in zones `a` and `b` by turns.
pub fn engines(count: u16) -> FleetView {
    let backends = (0..count).map(|number| backend("llm", number, ["a", "b"][usize::from(number % 2)], 64));
    FleetView { services: vec![engine_service()], backends: backends.collect(), gateways: 4 }
}

/// Plain backends in zones `a` and `b` by turns.
pub fn ledgers(count: u16) -> FleetView {
    let backends = (0..count).map(|number| backend("ledger", number, ["a", "b"][usize::from(number % 2)], 6));
    FleetView { services: vec![plain_service()], backends: backends.collect(), gateways: 4 }
}

pub fn dispatcher(view: &FleetView, seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings::new("a"), seed);
    dispatcher.update(at(0), view);
    dispatcher
}

pub const TERMS: RoutePolicy =
    RoutePolicy { slo: Duration::from_millis(500), sticky: false, idempotent: true };

/// A request to `ledger` or, with lengths, to `llm`.
pub fn request(service: &str, prompt_tokens: u32, answer_tokens: u32) -> DispatchRequest<'_> {
    DispatchRequest {
        service,
        route: TERMS,
        priority: 1,
        prompt_tokens,
        response_tokens: answer_tokens,
        parts: &[],
        request_bytes: prompt_tokens + 500,
        elapsed: Duration::ZERO,
        deadline: Duration::from_secs(10),
        tried: &[],
    }
}

/// One of a session: what all share, what the session shares, its own.
pub fn session_parts(session: u64, own: u64) -> [PromptPart; 3] {
    [
        PromptPart { id: 1, tokens: 500 },
        PromptPart { id: 1000 + session, tokens: 4000 },
        PromptPart { id: 1_000_000 + own, tokens: 1500 },
    ]
}

pub fn session_request<'a>(parts: &'a [PromptPart; 3]) -> DispatchRequest<'a> {
    let route = RoutePolicy { sticky: true, ..TERMS };
    DispatchRequest { route, parts, ..request("llm", 6000, 300) }
}

/// The target of a choice.
pub fn target(choice: Choice) -> Target {
    match choice {
        Choice::Send(target) => target,
        other => panic!("no backend was chosen: {other:?}"),
    }
}

/// Sends a request and has it answered `took_ms` later.
pub fn play(dispatcher: &mut Dispatcher, now_ms: u64, request: &DispatchRequest, took_ms: u64) -> Target {
    let target = target(dispatcher.choose(at(now_ms), request));
    let ticket = dispatcher.begin(at(now_ms), target.backend, request);
    dispatcher.first_event(at(now_ms + took_ms), ticket, None);
    dispatcher.end(at(now_ms + took_ms), ticket, Outcome::Done);
    target
}

/// Sends a request that ends so.
pub fn fail(dispatcher: &mut Dispatcher, now_ms: u64, request: &DispatchRequest, outcome: Outcome) -> Target {
    let target = target(dispatcher.choose(at(now_ms), request));
    let ticket = dispatcher.begin(at(now_ms), target.backend, request);
    dispatcher.end(at(now_ms + 1), ticket, outcome);
    target
}
