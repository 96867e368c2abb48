//! A change of the seeds is reported once, and an invalid settings file is ignored.

use super::*;

fn settings_with_seeds(seeds: &str) -> String {
    let lines = [
        "node=n",
        "role=r",
        "node_class=edge",
        "serves=control",
        "ip=127.0.0.1",
        "zone=z",
        "region=r",
        "zones.z=r",
        "listen.control=127.0.0.1:7001",
        "port_range=7100,7110",
        "bootstrap=true",
        "counts_for_quorum=true",
        "limits.cpu_share=1.0",
        "limits.cpus=1",
        "limits.memory_mb=100",
        "limits.max_fds=1000",
        "limits.link_mbps=100.0",
        "discovery=registration",
        "heartbeat_ms=1000",
        "contracts=base",
        "tolerate.nodes=1",
    ];
    format!("{}\nseeds={seeds}\n", lines.join("\n"))
}

#[test]
fn changed_seeds_are_reported_once() {
    let directory = std::env::temp_dir().join(format!("crankpick-settings-watch-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join("machine.settings");
    std::fs::write(&path, settings_with_seeds("127.0.0.1:7001")).expect("written");
    let first = Settings::read(&path).expect("sound").internal_seeds();
    let log = Logger::root(slog::Discard, slog::o!());
    let mut watch = SettingsWatch::new(path.clone(), first, log);
    assert_eq!(watch.poll(), None);
    std::fs::write(&path, settings_with_seeds("127.0.0.2:7001,127.0.0.3:7001")).expect("written");
    let expected: Vec<SocketAddr> =
        ["127.0.0.2:7100", "127.0.0.3:7100"].iter().map(|seed| seed.parse().expect("an address")).collect();
    assert_eq!(watch.poll(), Some(expected));
    assert_eq!(watch.poll(), None);
    std::fs::write(&path, "invalid").expect("written");
    assert_eq!(watch.poll(), None);
    std::fs::remove_dir_all(&directory).expect("removed");
}
