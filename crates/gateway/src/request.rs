//! Reads the headers of a client request that the gateway interprets.

use std::time::Duration;

use crankpick_dispatch::PromptPart;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, HOST};
use hyper::Version;

use crate::refusal::Refusal;

/// Identifies one attempt of a request; the response carries the same ID.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time budget in milliseconds, as sent by the client or passed to a backend.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Name of the tenant that owns the API key.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// ID of the backend the request is addressed to.
pub(crate) const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Scheduling priority of the request at an inference engine.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// ID of the last event received; a stream resumes after it.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const KEY_SCHEME: &str = "bearer ";
/// Longer prefix lists add nothing to backend selection.
const MAX_PROMPT_PARTS: usize = 64;

/// Prompt size as declared by the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PromptSize {
    /// Prompt tokens and maximum response tokens, if declared.
    pub usage: Option<TokenUsage>,
    /// Prompt parts in order.
    pub parts: Vec<PromptPart>,
}

/// Parsed `X-Token-Usage` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of response tokens.
    pub response: u32,
}

impl TokenUsage {
    /// Number of tokens charged to the quota.
    pub fn total(&self) -> u32 {
        self.prompt.saturating_add(self.response)
    }

    fn read(text: &str) -> Option<Self> {
        let (prompt, response) = text.split_once(',')?;
        Some(TokenUsage { prompt: prompt.trim().parse().ok()?, response: response.trim().parse().ok()? })
    }
}

impl PromptSize {
    pub fn read(headers: &HeaderMap) -> Self {
        let usage = header_text(headers, &TOKEN_USAGE).and_then(TokenUsage::read);
        let parts = header_text(headers, &PROMPT_PREFIX).map(prompt_parts).unwrap_or_default();
        PromptSize { usage, parts }
    }
}

/// Parses comma-separated `ID:TOKENS` pairs with hexadecimal IDs. Parsing stops at the first malformed
/// pair, because a part is only meaningful after all parts before it.
fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    });
    parts.take(MAX_PROMPT_PARTS).collect()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The value of a header that must occur exactly once and must not be empty.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|value| values.next().is_none() && !value.is_empty())
}

/// The request ID.
pub(crate) fn request_id(headers: &HeaderMap) -> Result<HeaderValue, Refusal> {
    single_value(headers, &REQUEST_ID).cloned().ok_or(Refusal::NoRequestId)
}

/// The host the request is addressed to.
pub(crate) fn host(headers: &HeaderMap) -> Result<&str, Refusal> {
    single_value(headers, &HOST).and_then(|host| host.to_str().ok()).ok_or(Refusal::NoHost)
}

/// How long the client waits for a response, if declared.
pub(crate) fn client_timeout(headers: &HeaderMap) -> Option<Duration> {
    let milliseconds: f64 = header_text(headers, &DEADLINE)?.trim().parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1e3).ok()
}

/// Whether the client wants the connection to stay open after the response.
pub(crate) fn wants_keep_alive(version: Version, headers: &HeaderMap) -> bool {
    let persistent_by_default = version >= Version::HTTP_11;
    !has_connection_option(headers, "close")
        && (persistent_by_default || has_connection_option(headers, "keep-alive"))
}

/// Whether the `Connection` header lists this option.
pub(crate) fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let mut values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.any(|value| value.split(',').any(|name| name.trim().eq_ignore_ascii_case(option)))
}

/// The API key from the `Authorization: Bearer` header.
pub(crate) fn api_key(headers: &HeaderMap) -> Option<&str> {
    let value = single_value(headers, &AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..KEY_SCHEME.len())?;
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| value[KEY_SCHEME.len()..].trim())
}

#[cfg(test)]
#[path = "../tests/unit/request.rs"]
mod tests;
