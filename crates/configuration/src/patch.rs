//! A change of named items on top of a configuration: its lists are merged, the rest stays as it was sent.
//!
//! Items are told apart by `name`. One that is replaced keeps its place, a new one goes to the end of its list. The
//! bytes of untouched items are copied, fields that this version doesn't know included, so that the result reads back
//! as its operators wrote it.

use std::collections::{HashMap, HashSet};
use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde::Deserialize as DeriveDeserialize;
use serde_json::value::RawValue;

use crate::code::{ConfigurationCode, ConfigurationError};
use crate::fingerprint::fingerprint;
use crate::lenient::{self, Object};
use crate::read;

/// The lists of a configuration whose items bear names.
const NAMED_LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// The field that holds a configuration's number.
const GENERATION: &str = "generation";

/// Keeps the fingerprints of patches apart from those of whole configurations.
const PATCH_FINGERPRINT: u128 = 0x7061_7463_6800_0000_0000_0000_0000_0001;

/// The members of a JSON object in the order in which they stand, their values as written.
struct Members<'a>(Vec<(String, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MembersVisitor)
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Members<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut members = Vec::new();
        while let Some(member) = map.next_entry()? {
            members.push(member);
        }
        Ok(Members(members))
    }
}

/// The body of a patch, its items not yet looked into.
#[derive(DeriveDeserialize)]
struct Body<'a> {
    #[serde(deserialize_with = "lenient::generation")]
    generation: u64,
    #[serde(borrow)]
    upsert: Option<Members<'a>>,
    #[serde(borrow)]
    delete: Option<Members<'a>>,
}

/// An item of a named list.
#[derive(DeriveDeserialize)]
struct Named {
    name: Option<String>,
}

/// The changes of one list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ListChanges {
    list: &'static str,
    /// Items to be added or replaced: their names, and the items as written, in the patch's order.
    upsert: Vec<(String, String)>,
    delete: Vec<String>,
}

/// A patch that is sound by itself. What it makes of a configuration is checked by [`Patch::apply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    generation: u64,
    fingerprint: u128,
    lists: Vec<ListChanges>,
}

impl Patch {
    /// Reads a patch whole and checks all that doesn't depend on the configuration that it changes.
    pub fn read(bytes: &[u8]) -> Result<Patch, ConfigurationError> {
        let body: Object<Body> = read::from_json(bytes)?;
        let Body { generation, upsert, delete } = body.0;
        let mut lists: Vec<ListChanges> =
            NAMED_LISTS.iter().map(|list| ListChanges { list, ..ListChanges::default() }).collect();
        for (name, items) in upsert.into_iter().flat_map(|members| members.0) {
            let changes = named_list(&mut lists, &name)?;
            changes.upsert.extend(read_items(&name, items)?);
        }
        for (name, names) in delete.into_iter().flat_map(|members| members.0) {
            let changes = named_list(&mut lists, &name)?;
            changes.delete.extend(read_names(&name, names)?);
        }
        for changes in &lists {
            changes.check()?;
        }
        let fingerprint = fingerprint(bytes).unwrap_or_default() ^ PATCH_FINGERPRINT;
        Ok(Patch { generation, fingerprint, lists })
    }

    /// The number of the configuration that it makes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Tells patches apart by what they say, however they are encoded, and from whole configurations.
    pub fn fingerprint(&self) -> u128 {
        self.fingerprint
    }

    /// The whole configuration that it makes of `base`, checked as one that an operator sends whole.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
        let members: Members = read::from_json(base)?;
        let generation = self.generation.to_string();
        let mut merged: Vec<(&str, String)> = Vec::with_capacity(members.0.len() + NAMED_LISTS.len());
        for (name, value) in &members.0 {
            let changes = self.lists.iter().find(|changes| changes.list == name);
            let value = match changes {
                Some(changes) => changes.apply(Some(value))?,
                None if name == GENERATION => generation.clone(),
                None => value.get().to_owned(),
            };
            merged.push((name, value));
        }
        let absent = |changes: &&ListChanges| members.0.iter().all(|(name, _)| name != changes.list);
        for changes in self.lists.iter().filter(absent) {
            if !changes.is_empty() {
                merged.push((changes.list, changes.apply(None)?));
            }
        }
        let document = written(&merged);
        read::read(&document)?;
        Ok(document)
    }
}

impl ListChanges {
    fn is_empty(&self) -> bool {
        self.upsert.is_empty() && self.delete.is_empty()
    }

    fn insert_once<'a>(
        &self,
        names: &mut HashSet<&'a str>,
        name: &'a str,
        text: &str,
    ) -> Result<(), ConfigurationError> {
        if names.insert(name) {
            return Ok(());
        }
        Err(refused(ConfigurationCode::NamedTwice, self.list, name, text))
    }

    /// Each name may stand once.
    fn check(&self) -> Result<(), ConfigurationError> {
        let mut replaced = HashSet::new();
        for (name, _) in &self.upsert {
            self.insert_once(&mut replaced, name, "stands twice in upsert")?;
        }
        let mut deleted = HashSet::new();
        for name in &self.delete {
            self.insert_once(&mut deleted, name, "stands twice in delete")?;
            if replaced.contains(name.as_str()) {
                let text = "is both replaced and deleted";
                return Err(refused(ConfigurationCode::ReplacedAndDeleted, self.list, name, text));
            }
        }
        Ok(())
    }

    /// The list with these changes, as JSON.
    fn apply(&self, list: Option<&RawValue>) -> Result<String, ConfigurationError> {
        let Some(list) = list.filter(|_| !self.is_empty()) else {
            return match list {
                Some(list) => Ok(list.get().to_owned()),
                None => self.apply_to(Vec::new()),
            };
        };
        let items: Option<Vec<&RawValue>> = serde_json::from_str(list.get()).map_err(read::unreadable)?;
        self.apply_to(items.unwrap_or_default())
    }

    fn apply_to(&self, items: Vec<&RawValue>) -> Result<String, ConfigurationError> {
        let mut replacing: HashMap<&str, &str> =
            self.upsert.iter().map(|(name, item)| (name.as_str(), item.as_str())).collect();
        let mut deleting: HashSet<&str> = self.delete.iter().map(String::as_str).collect();
        let mut found: HashSet<String> = HashSet::new();
        let mut kept: Vec<&str> = Vec::with_capacity(items.len() + self.upsert.len());
        for item in items {
            let named: Named = serde_json::from_str(item.get()).map_err(read::unreadable)?;
            let name = named.name.unwrap_or_default();
            if found.contains(&name) {
                let text = "is the name of several items of this configuration";
                return Err(refused(ConfigurationCode::NamedTwice, self.list, &name, text));
            }
            if let Some(replacement) = replacing.remove(name.as_str()) {
                kept.push(replacement);
                found.insert(name);
            } else if deleting.remove(name.as_str()) {
                found.insert(name);
            } else {
                kept.push(item.get());
            }
        }
        let absent = self.delete.iter().find(|name| deleting.contains(name.as_str()));
        if let Some(name) = absent {
            let text = "isn't there to be deleted";
            return Err(refused(ConfigurationCode::NotThere, self.list, name, text));
        }
        let added = self.upsert.iter().filter(|(name, _)| replacing.contains_key(name.as_str()));
        kept.extend(added.map(|(_, item)| item.as_str()));
        Ok(format!("[{}]", kept.join(",")))
    }
}

fn named_list<'a>(
    lists: &'a mut [ListChanges],
    name: &str,
) -> Result<&'a mut ListChanges, ConfigurationError> {
    let known = lists.iter_mut().find(|changes| changes.list == name);
    known.ok_or_else(|| {
        let text = format!("a patch names the list {name:?}, which no configuration has");
        ConfigurationError::new(ConfigurationCode::UnknownList, None, text)
    })
}

/// The items of a list of `upsert` with their names.
fn read_items(list: &str, items: &RawValue) -> Result<Vec<(String, String)>, ConfigurationError> {
    let items: Option<Vec<&RawValue>> = serde_json::from_str(items.get()).map_err(read::unreadable)?;
    let named = |item: &RawValue| {
        let name = serde_json::from_str::<Object<Named>>(item.get()).ok().and_then(|item| item.0.name);
        match name.filter(|name| !name.is_empty()) {
            Some(name) => Ok((name, item.get().to_owned())),
            None => {
                let text = format!("an item of {list} to be added or replaced has no name");
                Err(ConfigurationError::new(ConfigurationCode::Unnamed, None, text))
            }
        }
    };
    items.unwrap_or_default().into_iter().map(named).collect()
}

/// The names of a list of `delete`.
fn read_names(list: &str, names: &RawValue) -> Result<Vec<String>, ConfigurationError> {
    let names: Option<Vec<String>> = serde_json::from_str(names.get()).map_err(|_wrong| {
        let text = format!("what of {list} is to be deleted is no list of names");
        ConfigurationError::new(ConfigurationCode::Unnamed, None, text)
    })?;
    Ok(names.unwrap_or_default())
}

fn refused(code: ConfigurationCode, list: &str, name: &str, text: &str) -> ConfigurationError {
    ConfigurationError::new(code, None, format!("{name:?} of {list} {text}"))
}

/// A JSON object of members whose values are JSON already.
fn written(members: &[(&str, String)]) -> Vec<u8> {
    let member = |(name, value): &(&str, String)| format!("{}:{value}", serde_json::Value::from(*name));
    let members: Vec<String> = members.iter().map(member).collect();
    format!("{{{}}}", members.join(",")).into_bytes()
}
