//! How long reading and compiling take, and a look-up: `cargo bench -p crankpick-configuration`.

use std::fmt::Write;
use std::hint::black_box;
use std::time::{Duration, Instant};

use crankpick_configuration::{check_bytes, read, RoutingTable};

const ROUNDS: usize = 15;
const LOOK_UPS: u32 = 1_000_000;

fn main() {
    for routes in [100, 1_000, 5_000, 15_000] {
        report(routes);
    }
}

/// Prints the figures of a configuration of so many routes.
fn report(routes: usize) {
    let text = document(routes);
    let bytes = text.as_bytes();
    let configuration = read(bytes).expect("it is sound");
    let table = RoutingTable::compile(&configuration);
    println!(
        "{routes} routes, {:.2} MB: read {:?}, compile {:?}, check {:?}, drop {:?}, look-up {:?}, none {:?}",
        bytes.len() as f64 / 1e6,
        median(|| drop(black_box(read(black_box(bytes))))),
        median(|| drop(black_box(RoutingTable::compile(black_box(&configuration))))),
        median(|| drop(black_box(check_bytes(black_box(bytes))))),
        dropping(&configuration),
        look_up(&table, &format!("/path{}/2f", routes / 2)),
        look_up(&table, "/absent/2f"),
    );
}

/// Routes of the usual size on a few hosts, one in eight split, with ten tenants.
fn document(routes: usize) -> String {
    let mut text = r#"{"generation":7,"routes":["#.to_owned();
    for route in 0..routes {
        let target = match route % 8 {
            0 => r#""split":[{"service":"model-a","weight":90},{"service":"model-b","weight":10}]"#,
            _ => r#""service":"model-a""#,
        };
        let comma = if route == 0 { "" } else { "," };
        write!(
            text,
            r#"{comma}{{"name":"route-{route}","host":"host{}.example","prefix":"/path{route}/","type":"streaming",
            "timeout_ms":12000,"slo_ms":600,"priority":1,{target},"retries":1,"public":false,"sticky":true,
            "resume":false,"gap_aim_ms":400}}"#,
            route % 4 * 2 / 4
        )
        .expect("a String takes all");
    }
    text.push_str(
        r#"],"services":[{"name":"model-a","health_path":"/healthz","max_conns":400},{"name":"model-b"}],"#,
    );
    text.push_str(r#""tenants":["#);
    let tenants: Vec<String> =
        (0..10).map(|tenant| format!(r#"{{"name":"t{tenant}","api_keys":["key-{tenant}"]}}"#)).collect();
    text.push_str(&tenants.join(","));
    text.push_str("]}");
    text
}

fn median(mut work: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let begin = Instant::now();
            work();
            begin.elapsed()
        })
        .collect();
    times.sort();
    times[ROUNDS / 2]
}

/// How long it takes to let go of a table.
fn dropping(configuration: &crankpick_configuration::Configuration) -> Duration {
    let mut tables: Vec<RoutingTable> = (0..ROUNDS).map(|_| RoutingTable::compile(configuration)).collect();
    median(|| drop(tables.pop()))
}

fn look_up(table: &RoutingTable, path: &str) -> Duration {
    let begin = Instant::now();
    for _ in 0..LOOK_UPS {
        black_box(table.route(black_box("host0.example"), black_box(path)));
    }
    begin.elapsed() / LOOK_UPS
}
