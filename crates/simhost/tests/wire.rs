//! Runs the simulator adapter as a process: JSON lines in, JSON lines out, a one-line error for malformed input.

use std::io::Write;
use std::process::{Command, Stdio};

const LAUNCH: &str = r#"{"m":"Launch","Proxy":3,"Salt":9,"Conf":{"Balancers":2,"Discovery":"subscribe","News":[1],"Workloads":[{"Group":"all","Importance":1.0,"Repeat":"retryable","SloTimeUs":1000000,"StatementTimeoutUs":2000000}],"Limits":{"MaxExecutions":2}}}"#;
const LIST: &str = r#"{"m":"Directory","Ref":0,"Items":[{"Backend":7,"Dc":0,"GenerationHw":0,"Cell":0,"Phase":"Ready","Nominal":1}]}
{"m":"Endpoints","Proxy":3,"Kind":"warm_copy","Gen":1,"Ref":0}"#;
const ACCEPT: &str =
    r#"{"m":"Accept","Proxy":3,"Ref":"43cf59165d3a91c4","Type":0,"TtlUs":240000,"Marks":0,"Colour":"red"}"#;

/// Runs the adapter on the input; returns whether it succeeded, its standard output and its standard error.
fn run_adapter(input: &str) -> (bool, String, String) {
    let mut host = Command::new(env!("CARGO_BIN_EXE_crankpick-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // An adapter that ends early stops reading, so the write may fail; its messages are what is checked.
    let _ = host.stdin.take().expect("piped").write_all(input.as_bytes());
    let output = host.wait_with_output().expect("the adapter ends");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (output.status.success(), text(output.stdout), text(output.stderr))
}

/// One batch of messages.
fn batch(turn: u64, lines: &[&str]) -> String {
    let now_us = 8_000_000 + turn * 5_000;
    let lines: String = lines.iter().map(|line| format!("{line}\n")).collect();
    format!("{{\"m\":\"Batch\",\"SimTimeUs\":{now_us},\"turn\":{turn}}}\n{lines}{{\"m\":\"EofBatch\"}}\n")
}

#[test]
fn answers_each_batch_and_ends_cleanly() {
    let input = batch(1, &[]) + &batch(2, &[LAUNCH, LIST, ACCEPT]);
    let (success, out, err) = run_adapter(&input);
    assert!(success && err.is_empty(), "{err}");
    let sent = r#"{"m":"HandOff","Proxy":3,"Ref":"43cf59165d3a91c4","Backend":7,"GiveUpAfterUs":240000}"#;
    let asked = r#"{"m":"Subscribe","Proxy":3,"Want":true}"#;
    let lines: Vec<&str> = out.lines().filter(|line| !line.contains("WakeAt")).collect();
    assert_eq!(lines, [r#"{"m":"Finished","turn":1}"#, asked, sent, r#"{"m":"Finished","turn":2}"#]);
}

#[test]
fn probes_before_sending_where_answers_report_no_load() {
    let launch = LAUNCH.replace(
        r#""Limits":{"#,
        r#""Zone":0,"Zones":["a"],"Report":{"Via":"pull"},"ScoringMix":{"NinesPart":0.4,"FullAtNines":2},"Limits":{"Probes":true,"#,
    );
    let probed =
        r#"{"m":"ProbeDone","Proxy":3,"DurationUs":900,"Rc":200,"Backend":7,"Gauge":{"rif":0.1,"odd":3}}"#;
    let (success, out, err) =
        run_adapter(&(batch(1, &[&launch, LIST, ACCEPT]) + &batch(2, &[probed, probed])));
    assert!(success, "{err}");
    let (first, second) = out.split_once("\"turn\":1").expect("two replies");
    assert!(
        first.contains(r#"{"m":"SoundOut","Proxy":3,"Backend":7}"#) && !first.contains("HandOff"),
        "{out}"
    );
    assert!(second.contains("HandOff"), "{out}");
}

#[test]
fn lists_and_instances_take_effect_in_reading_order() {
    let other = LIST.replace("\"Backend\":7", "\"Backend\":8").replace("warm_copy", "total");
    let again = [LAUNCH, LIST, r#"{"m":"Teardown","Proxy":3}"#, LAUNCH, LIST, other.as_str(), ACCEPT];
    let (success, out, err) = run_adapter(&batch(1, &again));
    assert!(success, "{err}");
    assert!(out.contains("\"Backend\":8") && !out.contains("\"Backend\":7"), "{out}");
}

#[test]
fn malformed_input_ends_the_adapter_with_a_one_line_error() {
    let launched = batch(1, &[LAUNCH, LIST]);
    let cases = [
        ("not JSON\n".to_owned(), "expected"),
        (batch(2, &[r#"{"m":"Surprise","Proxy":3}"#]), "Surprise"),
        (batch(2, &[r#"{"Proxy":3}"#]), "`m`"),
        (batch(2, &[&ACCEPT.replace("\"TtlUs\":240000,", "")]), "TtlUs"),
        (batch(2, &[&ACCEPT.replace("240000", "\"soon\"")]), "soon"),
        (batch(2, &[&ACCEPT.replace("\"Type\":0", "\"Type\":5")]), "workload 5"),
        (batch(2, &[&ACCEPT.replace("\"Proxy\":3", "\"Proxy\":4")]), "instance 4"),
        (
            batch(2, &[&LIST.lines().nth(1).expect("two lines").replace("\"Ref\":0", "\"Ref\":5")]),
            "Directory 5",
        ),
        (batch(2, &[]).replace("{\"m\":\"EofBatch\"}\n", ""), "inside a batch"),
        (batch(2, &[&LAUNCH.replace("1000000", "\"long\"")]), "SloTimeUs"),
    ];
    for (input, named) in cases {
        let (success, _, err) = run_adapter(&(launched.clone() + &input));
        assert!(!success && err.lines().count() == 1 && err.contains(named), "{named}: {err}");
        assert!(!err.contains("panicked"), "{err}");
    }
}
