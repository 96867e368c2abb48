//! Changes sent as patches: what a patch says, and the document that it makes.

use std::time::Duration;

use serde_json::{json, Map, Value};

use crate::configuration::Drawn;

/// The lists of a document whose items bear names.
const NAMED_LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// A change of a document's named items.
#[derive(Clone, Debug)]
pub struct Patched {
    /// As the operator sends it.
    pub patch: Value,
    /// What it makes of the document that it builds on.
    pub result: Drawn,
}

/// The patch that brings a document's lists to those of another one. Fields that are no lists stay as they are.
pub fn between(base: &Value, idle_timeout: Duration, wanted: &Value) -> Patched {
    let mut document = base.clone();
    document["generation"] = wanted["generation"].clone();
    let (mut upsert, mut delete) = (Map::new(), Map::new());
    for list in NAMED_LISTS {
        let (old, new) = (items(base, list), items(wanted, list));
        let changed: Vec<Value> = new.iter().filter(|item| !old.contains(item)).cloned().collect();
        let gone = old.iter().filter(|item| named(new, &item["name"]).is_none());
        let gone: Vec<Value> = gone.map(|item| item["name"].clone()).collect();
        let kept = old.iter().filter_map(|item| named(new, &item["name"]));
        let added = new.iter().filter(|item| named(old, &item["name"]).is_none());
        document[list] = kept.chain(added).cloned().collect();
        upsert.insert(list.to_owned(), changed.into());
        delete.insert(list.to_owned(), gone.into());
    }
    let patch = json!({"generation": wanted["generation"], "upsert": upsert, "delete": delete});
    Patched { patch, result: Drawn { document, idle_timeout } }
}

fn items<'a>(document: &'a Value, list: &str) -> &'a [Value] {
    document[list].as_array().map_or(&[], Vec::as_slice)
}

fn named<'a>(items: &'a [Value], name: &Value) -> Option<&'a Value> {
    items.iter().find(|item| item["name"] == *name)
}
