//! A gateway that doesn't read its updates is disconnected.

use std::time::Duration;

use crankpick_registry::{GatewayTotal, ProcessId, RegistrySettings};
use tokio::sync::mpsc::channel;

use super::*;

const GATEWAY: u64 = 7;

fn grant() -> TenantGrant {
    let mut allocator =
        crankpick_quota::Allocator::new(Duration::ZERO, crankpick_quota::GrantSource::home(1), 1);
    let grant = allocator.report(Duration::ZERO, HolderId(GATEWAY), crankpick_quota::Demand::default());
    TenantGrant { tenant: "tenant".into(), grant }
}

#[test]
fn a_gateway_whose_queue_is_full_of_grants_is_disconnected() {
    let registry = Registry::new(Duration::ZERO, ProcessId(1), RegistrySettings::new(Duration::from_secs(1)));
    let context = UpdateContext {
        now: Duration::ZERO,
        freshness_ms: Some(1),
        current: None,
        registry: &registry,
        members: &[],
        gateways: GatewayTotal { count: 1, states_absence: true },
    };
    let mut sessions = Sessions::default();
    let (updates, mut queue) = channel(2);
    let gateway = GatewayIdentity { node: "n".into(), incarnation: GATEWAY, zone: "z".into() };
    sessions.connected(SessionId(1), gateway, updates);
    let report = GatewayReport {
        number: 1,
        configuration: None,
        cursor: None,
        demands: Vec::new(),
        accepts_compressed: true,
    };
    sessions.answer_report(SessionId(1), &report, Vec::new(), &context);
    sessions.push_grants(HolderId(GATEWAY), vec![grant()], &context);
    assert!(sessions.get(SessionId(1)).is_some(), "two updates fit");
    sessions.push_grants(HolderId(GATEWAY), vec![grant()], &context);
    assert!(sessions.get(SessionId(1)).is_none(), "the third doesn't");
    assert!(queue.try_recv().is_ok() && queue.try_recv().is_ok() && queue.try_recv().is_err());
}
