//! At which lines of a document its routes, services and tenants stand.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::validate::Subject;

/// The lists of a document, each element as the text that it is.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Lists<'a> {
    #[serde(borrow)]
    routes: Option<Vec<&'a RawValue>>,
    #[serde(borrow)]
    services: Option<Vec<&'a RawValue>>,
    #[serde(borrow)]
    tenants: Option<Vec<&'a RawValue>>,
}

/// An element's name as the text that it is.
#[derive(Deserialize)]
struct Named<'a> {
    #[serde(borrow)]
    name: Option<&'a RawValue>,
}

/// Finds lines in one document.
pub(crate) struct Locator<'a> {
    text: &'a str,
    lists: Lists<'a>,
    line_ends: Vec<usize>,
}

impl<'a> Locator<'a> {
    pub(crate) fn new(text: &'a str) -> Locator<'a> {
        let line_ends =
            text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(place, _)| place).collect();
        Locator { text, lists: serde_json::from_str(text).unwrap_or_default(), line_ends }
    }

    /// The line of the subject's name, or the one at which it begins where it has none.
    pub(crate) fn line(&self, subject: Subject) -> Option<usize> {
        let (list, place) = match subject {
            Subject::Document => return None,
            Subject::Route(place) => (&self.lists.routes, place),
            Subject::Service(place) => (&self.lists.services, place),
            Subject::Tenant(place) => (&self.lists.tenants, place),
        };
        let element = list.as_ref()?.get(place)?;
        let name = serde_json::from_str(element.get()).ok().and_then(|named: Named| named.name);
        Some(self.line_of(name.unwrap_or(element).get()))
    }

    /// The line of a part of the text.
    fn line_of(&self, part: &str) -> usize {
        let offset = (part.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        1 + self.line_ends.partition_point(|end| *end < offset)
    }
}
