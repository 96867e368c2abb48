//! Builds the dispatcher's view of the fleet from the routing table and the backend table.

use std::sync::Arc;

use crankpick_configuration::{RoutingTable, ServiceRule};
use crankpick_dispatch::{BackendState, BackendView, EngineView, FleetView, ServiceView};
use crankpick_registry::{BackendRecord, BackendState as Recorded, BackendTable};

/// Builds a view from the current snapshots.
pub(crate) fn fleet_view(routing: &RoutingTable, backends: &BackendTable, gateways: usize) -> FleetView {
    FleetView {
        services: routing.services().map(|service| service_view(service)).collect(),
        backends: backends.iter().map(|record| backend_view(record)).collect(),
        gateways,
    }
}

fn service_view(service: &ServiceRule) -> ServiceView {
    let engine = service.engine.as_ref();
    ServiceView {
        name: Arc::from(service.name.as_str()),
        max_conns: service.max_conns,
        engine: engine.map(|engine| EngineView { slots: engine.slots, kv_tokens: engine.kv_tokens }),
    }
}

fn backend_view(record: &BackendRecord) -> BackendView {
    BackendView {
        id: Arc::from(record.id.as_str()),
        service: Arc::from(record.service.as_str()),
        address: record.address,
        zone: Arc::from(record.zone.as_str()),
        slots: record.slots,
        state: state(record),
        warm_at: record.warm_at,
    }
}

/// A backend that has announced that it is draining receives nothing more, even if it has been silent
/// since.
fn state(record: &BackendRecord) -> BackendState {
    match record.state {
        Recorded::Gone => BackendState::Gone,
        _ if record.draining => BackendState::Draining,
        Recorded::Draining => BackendState::Draining,
        Recorded::Silent => BackendState::Silent,
        Recorded::Ready => BackendState::Ready,
    }
}
