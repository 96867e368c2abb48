//! What is told of an operator's file.

use std::path::{Path, PathBuf};

use crankpick_configuration::{check, check_bytes, ConfigurationCode};

fn document(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/documents").join(name)
}

#[test]
fn nothing_of_a_sound_file() {
    assert_eq!(check(document("example.json")), []);
}

#[test]
fn all_that_is_wrong_with_the_line_of_each_name() {
    let findings: Vec<String> = check(document("unsound.json")).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(findings.join("\n"));
}

#[test]
fn where_a_file_can_not_be_read_on() {
    let text = "{\n\"generation\": 1,\n\"routes\": [\n{\"host\": 7}]}";
    let findings = check_bytes(text.as_bytes());
    assert_eq!(findings.len(), 1);
    assert_eq!((findings[0].code, findings[0].line), (ConfigurationCode::WrongType, Some(4)));
}

#[test]
fn a_file_that_is_not_there() {
    let findings = check(document("nowhere.json"));
    assert_eq!(findings.len(), 1);
    assert_eq!((findings[0].code, findings[0].line), (ConfigurationCode::Unreadable, None));
}

#[test]
fn a_file_without_bound() {
    let findings = check("/dev/zero");
    assert_eq!(findings[0].code, ConfigurationCode::TooLarge);
}

#[test]
fn findings_are_bounded() {
    let route = r#"{"host":"h","prefix":"p","service":"s","timeout_ms":1}"#;
    let routes = vec![route; 5_000].join(",\n");
    let text = format!(r#"{{"generation":1,"services":[{{"name":"s"}}],"routes":[{routes}]}}"#);
    let findings = check_bytes(text.as_bytes());
    assert_eq!(findings.len(), 1_000);
    assert_eq!(findings[0].line, Some(1));
    assert_eq!(findings[1].line, Some(2));
}
