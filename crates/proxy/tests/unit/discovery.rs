use super::*;

fn objects(text: &str) -> Result<Vec<u64>, String> {
    let (mut object, mut read) = (Object::default(), Vec::new());
    for byte in text.bytes() {
        if object.takes(byte)? {
            read.push(understood(&std::mem::take(&mut object).text)?.generation);
        }
    }
    Ok(read)
}

#[test]
fn objects_of_a_watch_are_read_on_one_line_indented_or_without_a_line_between() {
    let plain = "\n{\"generation\":41,\"reset\":true,\"instances\":[]}\n\n";
    let indented =
        "{\n  \"generation\": 42,\n  \"instances\": [\n    {\"instanceId\": \"a}\\\"{\"}\n  ]\n}\n";
    assert_eq!(objects(&format!("{plain}{indented}{plain}")), Ok(vec![41, 42, 41]));
    assert_eq!(objects("{\"generation\":1}{\"generation\":2}"), Ok(vec![1, 2]));
    assert_eq!(objects("{\"generation\":1"), Ok(vec![]), "not whole yet");
    for wrong in ["x", "}", "[1]", "{\"generation\":]}"] {
        assert!(objects(wrong).is_err(), "{wrong}");
    }
}
