//! When a home's answers make a gateway sure of its configuration, in virtual time.

use std::path::Path;

use crankpick_gateway::GatewaySettings;
use crankpick_protocol::{ConfigurationUpdate, ConfigurationVersion};
use crankpick_registry::{GatewayTotal, ProcessId};
use tokio::time::advance;

use super::*;

const SETTINGS: &str = include_str!("../../../settings/tests/documents/example.conf");
const CONFIGURATION: &[u8] = br#"{"generation":1,"routes":[],"services":[]}"#;
const LITTLE: Duration = Duration::from_millis(100);

fn update(answers: u64, freshness_ms: Option<u32>) -> HomeUpdate {
    HomeUpdate {
        home: ProcessId(1),
        answers: Some(answers),
        freshness_ms,
        members: Vec::new(),
        configuration: None,
        changes: None,
        gateways: GatewayTotal { count: 1, states_absence: true },
        grants: Vec::new(),
    }
}

fn configuration(position: u64, document: &[u8]) -> ConfigurationUpdate {
    ConfigurationUpdate {
        version: ConfigurationVersion { position, generation: position },
        document: document.to_vec(),
    }
}

/// A link whose reports go nowhere, and the home that it dials first.
struct Linked {
    link: HomeLink,
    shared: Arc<Shared>,
    home: SocketAddr,
    _reports: Receiver<GatewayReport>,
}

impl Linked {
    async fn dialled() -> Linked {
        let settings = Settings::parse(Path::new("example.conf"), SETTINGS.as_bytes()).expect("sound");
        let started = Instant::now();
        let log = Logger::root(slog::Discard, slog::o!());
        let shared = Shared::new(
            GatewaySettings { start: started, ..GatewaySettings::new("z", 4_100, 260 << 20) },
            log.clone(),
        );
        let mut link = HomeLink::new(&settings, started, Arc::clone(&shared), log);
        advance(Duration::from_secs(1)).await;
        let now = link.now();
        let Some(HomeAction::Dial(home)) = link.selector.poll(now).pop() else { panic!("a home is dialled") };
        let (reports, queue) = channel(MAX_QUEUED_REPORTS);
        link.connections.insert(home, Connection::new(reports));
        Linked { link, shared, home, _reports: queue }
    }

    /// Reports, and hears this answer after a little while.
    async fn answered(&mut self, freshness_ms: Option<u32>, told: Option<ConfigurationUpdate>) {
        self.link.report(self.home, true);
        advance(LITTLE).await;
        let answer = HomeUpdate { configuration: told, ..update(self.link.last_report_number, freshness_ms) };
        self.link.on_update(self.home, answer);
        let now = self.link.now();
        for action in self.link.selector.poll(now) {
            self.link.carry_out(action);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_fresh_home_makes_sure_for_as_long_as_a_newer_one_need_not_be_in_force() {
    let mut linked = Linked::dialled().await;
    assert!(!linked.shared.routing_is_current());
    linked.answered(Some(300), Some(configuration(1, CONFIGURATION))).await;
    assert!(linked.shared.routing_is_current());
    // It was the newest 300 ms before the report, and that was sent 100 ms ago.
    advance(Duration::from_millis(1_599)).await;
    assert!(linked.shared.routing_is_current());
    advance(Duration::from_millis(2)).await;
    assert!(!linked.shared.routing_is_current());
    linked.answered(Some(0), None).await;
    assert!(linked.shared.routing_is_current());
}

/// As after a cut: the home answers each report, and is as cut off as its gateway.
#[tokio::test(start_paused = true)]
async fn a_home_that_is_cut_off_itself_makes_nobody_sure() {
    for freshness_ms in [None, Some(2_500)] {
        let mut linked = Linked::dialled().await;
        linked.answered(freshness_ms, Some(configuration(1, CONFIGURATION))).await;
        linked.link.publish_stale_configuration();
        linked.answered(freshness_ms, None).await;
        assert!(!linked.shared.routing_is_current(), "{freshness_ms:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_newer_configuration_that_is_not_in_force_leaves_the_gateway_unsure() {
    let mut linked = Linked::dialled().await;
    linked.answered(Some(0), Some(configuration(1, CONFIGURATION))).await;
    assert!(linked.shared.routing_is_current());
    linked.answered(Some(0), Some(configuration(2, b"no configuration"))).await;
    advance(Duration::from_secs(2)).await;
    linked.answered(Some(0), None).await;
    assert!(!linked.shared.routing_is_current());
    linked.answered(Some(0), Some(configuration(3, CONFIGURATION))).await;
    assert!(linked.shared.routing_is_current());
}
