//! When a home's answers confirm the gateway's configuration as current, in virtual time.

use std::path::Path;

use crankpick_gateway::GatewaySettings;
use crankpick_protocol::{ConfigurationUpdate, ConfigurationVersion};
use crankpick_registry::{GatewayTotal, ProcessId};
use tokio::time::advance;

use super::*;

const SETTINGS: &str = include_str!("../../../settings/tests/documents/example.conf");
const CONFIGURATION: &[u8] = br#"{"generation":1,"routes":[],"services":[]}"#;
const ANSWER_DELAY: Duration = Duration::from_millis(100);

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

/// A link whose reports aren't sent, and the home that it dials first.
struct TestLink {
    link: HomeLink,
    shared: Arc<Shared>,
    home: SocketAddr,
    _reports: Receiver<GatewayReport>,
}

impl TestLink {
    async fn dialled() -> TestLink {
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
        let Some(HomeAction::Dial(home)) = link.selector.poll(now).pop() else {
            panic!("expected a dial action")
        };
        let (reports, queue) = channel(MAX_QUEUED_REPORTS);
        link.connections.insert(home, Connection::new(reports));
        TestLink { link, shared, home, _reports: queue }
    }

    /// Sends a report, and handles this answer after a delay.
    async fn answered(
        &mut self,
        freshness_ms: Option<u32>,
        configuration_update: Option<ConfigurationUpdate>,
    ) {
        self.link.report(self.home, true);
        advance(ANSWER_DELAY).await;
        let answer = HomeUpdate {
            configuration: configuration_update,
            ..update(self.link.last_report_number, freshness_ms)
        };
        self.link.handle_update(self.home, answer);
        let now = self.link.now();
        for action in self.link.selector.poll(now) {
            self.link.perform(action);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn fresh_home_confirms_the_configuration_for_a_limited_time() {
    let mut test = TestLink::dialled().await;
    assert!(!test.shared.routing_is_current());
    test.answered(Some(300), Some(configuration(1, CONFIGURATION))).await;
    assert!(test.shared.routing_is_current());
    // The configuration was the newest 300 ms before the report, which was sent 100 ms ago.
    advance(Duration::from_millis(1_599)).await;
    assert!(test.shared.routing_is_current());
    advance(Duration::from_millis(2)).await;
    assert!(!test.shared.routing_is_current());
    test.answered(Some(0), None).await;
    assert!(test.shared.routing_is_current());
}

/// Guards against serving an outdated configuration in a network partition: the home answers each report, but is isolated
/// from the majority like its gateway.
#[tokio::test(start_paused = true)]
async fn isolated_home_does_not_confirm_the_configuration() {
    for freshness_ms in [None, Some(2_500)] {
        let mut test = TestLink::dialled().await;
        test.answered(freshness_ms, Some(configuration(1, CONFIGURATION))).await;
        test.link.publish_stale_configuration();
        test.answered(freshness_ms, None).await;
        assert!(!test.shared.routing_is_current(), "{freshness_ms:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn unreadable_newer_configuration_prevents_confirmation() {
    let mut test = TestLink::dialled().await;
    test.answered(Some(0), Some(configuration(1, CONFIGURATION))).await;
    assert!(test.shared.routing_is_current());
    test.answered(Some(0), Some(configuration(2, b"no configuration"))).await;
    advance(Duration::from_secs(2)).await;
    test.answered(Some(0), None).await;
    assert!(!test.shared.routing_is_current());
    test.answered(Some(0), Some(configuration(3, CONFIGURATION))).await;
    assert!(test.shared.routing_is_current());
}
