//! The numbered codes of unsound configurations, and the error that bears one.

use std::fmt;

use snafu::Snafu;

/// Why a configuration was refused. The numbers are listed in `docs/codes.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfigurationCode {
    /// The file can't be read.
    Unreadable,
    /// The document is larger than any may be.
    TooLarge,
    /// The document ends too early.
    CutShort,
    /// The document is not JSON.
    NotJson,
    /// A value is of a wrong type, or one of the document's parts is missing.
    WrongType,
    /// The generation is not above the current one.
    Generation,
    /// A route names a service that isn't there.
    UnknownService,
    /// Two routes share host and prefix.
    SharedPrefix,
    /// The weights of a route add up to 0.
    NoWeight,
    /// A route's timeout is 0.
    NoTimeout,
    /// Two tenants share a key.
    SharedKey,
    /// A route names neither a service nor a split.
    NoService,
    /// A prefix doesn't begin and end with a slash.
    Prefix,
    /// A route has no host.
    Host,
    /// A service or tenant has no name, or one that can't stand in a header.
    Name,
    /// Two services of one name differ, or two tenants share a name.
    SharedName,
    /// A health path is not the path of a request.
    HealthPath,
    /// There are more of something than there may be.
    TooMany,
    /// A text is longer than any may be.
    TooLong,
    /// A patch names a list that no configuration has.
    UnknownList,
    /// An item of a patch has no name.
    Unnamed,
    /// A name that a patch uses stands twice, in the patch or in the configuration that it changes.
    NamedTwice,
    /// A patch replaces and deletes one item.
    ReplacedAndDeleted,
    /// A patch deletes an item that isn't there.
    NotThere,
}

impl ConfigurationCode {
    /// All codes, in the order of their numbers.
    pub const ALL: [ConfigurationCode; 24] = [
        ConfigurationCode::Unreadable,
        ConfigurationCode::TooLarge,
        ConfigurationCode::CutShort,
        ConfigurationCode::NotJson,
        ConfigurationCode::WrongType,
        ConfigurationCode::Generation,
        ConfigurationCode::UnknownService,
        ConfigurationCode::SharedPrefix,
        ConfigurationCode::NoWeight,
        ConfigurationCode::NoTimeout,
        ConfigurationCode::SharedKey,
        ConfigurationCode::NoService,
        ConfigurationCode::Prefix,
        ConfigurationCode::Host,
        ConfigurationCode::Name,
        ConfigurationCode::SharedName,
        ConfigurationCode::HealthPath,
        ConfigurationCode::TooMany,
        ConfigurationCode::TooLong,
        ConfigurationCode::UnknownList,
        ConfigurationCode::Unnamed,
        ConfigurationCode::NamedTwice,
        ConfigurationCode::ReplacedAndDeleted,
        ConfigurationCode::NotThere,
    ];

    /// The code as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            ConfigurationCode::Unreadable => "CFG-101",
            ConfigurationCode::TooLarge => "CFG-102",
            ConfigurationCode::CutShort => "CFG-103",
            ConfigurationCode::NotJson => "CFG-104",
            ConfigurationCode::WrongType => "CFG-105",
            ConfigurationCode::Generation => "CFG-106",
            ConfigurationCode::UnknownService => "CFG-107",
            ConfigurationCode::SharedPrefix => "CFG-108",
            ConfigurationCode::NoWeight => "CFG-109",
            ConfigurationCode::NoTimeout => "CFG-110",
            ConfigurationCode::SharedKey => "CFG-111",
            ConfigurationCode::NoService => "CFG-112",
            ConfigurationCode::Prefix => "CFG-113",
            ConfigurationCode::Host => "CFG-114",
            ConfigurationCode::Name => "CFG-115",
            ConfigurationCode::SharedName => "CFG-116",
            ConfigurationCode::HealthPath => "CFG-117",
            ConfigurationCode::TooMany => "CFG-118",
            ConfigurationCode::TooLong => "CFG-119",
            ConfigurationCode::UnknownList => "CFG-120",
            ConfigurationCode::Unnamed => "CFG-121",
            ConfigurationCode::NamedTwice => "CFG-122",
            ConfigurationCode::ReplacedAndDeleted => "CFG-123",
            ConfigurationCode::NotThere => "CFG-124",
        }
    }

    /// What an operator does about it.
    pub fn remedy(self) -> &'static str {
        match self {
            ConfigurationCode::Unreadable => "check the path and that this user may read the file",
            ConfigurationCode::TooLarge => "leave out what isn't needed, or split the fleet",
            ConfigurationCode::CutShort => "send the whole document",
            ConfigurationCode::NotJson => "send JSON",
            ConfigurationCode::WrongType => "give generation, routes and services, each value in its type",
            ConfigurationCode::Generation => "read the newest configuration and number the next one above it",
            ConfigurationCode::UnknownService => "add the service, or name one that is there",
            ConfigurationCode::SharedPrefix => "leave one route for each host and prefix",
            ConfigurationCode::NoWeight => "give one service of the split a weight above 0",
            ConfigurationCode::NoTimeout => "give timeout_ms above 0",
            ConfigurationCode::SharedKey => "take the key away from one of the tenants",
            ConfigurationCode::NoService => "give service or split",
            ConfigurationCode::Prefix => "begin and end the prefix with a slash",
            ConfigurationCode::Host => "give the route's host",
            ConfigurationCode::Name => "give a name of visible characters",
            ConfigurationCode::SharedName => "give each service and each tenant a name of its own",
            ConfigurationCode::HealthPath => "begin health_path with a slash, without spaces",
            ConfigurationCode::TooMany => "send fewer",
            ConfigurationCode::TooLong => "shorten it",
            ConfigurationCode::UnknownList => "name routes, services or tenants",
            ConfigurationCode::Unnamed => "give each item its name, and delete by names",
            ConfigurationCode::NamedTwice => "name each item once; give items that share a name names of their own by a whole configuration",
            ConfigurationCode::ReplacedAndDeleted => "leave it in upsert or in delete",
            ConfigurationCode::NotThere => "read the configuration that it changes and leave the name out",
        }
    }
}

impl fmt::Display for ConfigurationCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A configuration that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{code} {text}; {}", code.remedy()))]
pub struct ConfigurationError {
    code: ConfigurationCode,
    line: Option<usize>,
    text: String,
}

impl ConfigurationError {
    pub(crate) fn new(code: ConfigurationCode, line: Option<usize>, text: String) -> ConfigurationError {
        ConfigurationError { code, line, text }
    }

    /// What kind of fault it is.
    pub fn code(&self) -> ConfigurationCode {
        self.code
    }

    /// The line at which the document couldn't be read further, the first being 1.
    pub fn line(&self) -> Option<usize> {
        self.line
    }

    /// What is wrong, without code and remedy.
    pub fn text(&self) -> &str {
        &self.text
    }
}
