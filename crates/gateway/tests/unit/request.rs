use super::*;

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let fields =
        fields.iter().map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
    fields.collect()
}

#[test]
fn prompt_is_parsed_up_to_first_malformed_part() {
    let sound = headers(&[("x-token-usage", "1460,80"), ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410")]);
    let read = PromptSize::read(&sound);
    assert_eq!(read.usage.map(|usage| usage.total()), Some(1540));
    let part = |id, tokens| PromptPart { id, tokens };
    assert_eq!(read.parts, [part(0x5c1e_07a2, 800), part(0x91bd_3f06, 410)]);
    let unsound = headers(&[("x-token-usage", "many"), ("x-prompt-prefix", "a:1,b,c:2")]);
    let read = PromptSize::read(&unsound);
    assert_eq!((read.usage, read.parts), (None, vec![part(10, 1)]));
}

#[test]
fn parses_bearer_key() {
    assert_eq!(api_key(&headers(&[("authorization", "Bearer 3d3z")])), Some("3d3z"));
    assert_eq!(api_key(&headers(&[("authorization", "bearer  3d3z ")])), Some("3d3z"));
    assert_eq!(api_key(&headers(&[("authorization", "Basic 3d3z")])), None);
    assert_eq!(api_key(&headers(&[("authorization", "Bea")])), None);
    assert_eq!(api_key(&HeaderMap::new()), None);
    let mut twice = headers(&[("authorization", "Bearer a")]);
    twice.append(AUTHORIZATION, HeaderValue::from_static("Bearer b"));
    assert_eq!(api_key(&twice), None);
}

#[test]
fn id_and_host_must_occur_exactly_once() {
    let mut twice = headers(&[("x-request-id", "a"), ("host", "a.example")]);
    assert!(request_id(&twice).is_ok() && host(&twice).is_ok());
    twice.append(REQUEST_ID, HeaderValue::from_static("b"));
    twice.append(HOST, HeaderValue::from_static("b.example"));
    assert_eq!(request_id(&twice), Err(Refusal::NoRequestId));
    assert_eq!(host(&twice), Err(Refusal::NoHost));
    assert_eq!(request_id(&HeaderMap::new()), Err(Refusal::NoRequestId));
}

#[test]
fn client_timeout_is_in_milliseconds() {
    assert_eq!(client_timeout(&headers(&[("x-deadline-ms", "1500")])), Some(Duration::from_millis(1500)));
    assert_eq!(client_timeout(&headers(&[("x-deadline-ms", "-1")])), None);
    assert_eq!(client_timeout(&headers(&[("x-deadline-ms", "nan")])), None);
}
