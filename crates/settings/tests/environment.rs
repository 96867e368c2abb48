//! The environment variable with the path of the settings file. A separate test binary, because setting the variable
//! affects the whole process.

use std::path::Path;

use crankpick_settings::{path_from_environment, SettingsCode, SETTINGS_VARIABLE};

#[test]
fn path_from_the_environment_variable() {
    std::env::remove_var(SETTINGS_VARIABLE);
    assert_eq!(path_from_environment().unwrap_err().code, SettingsCode::PathNotSet);
    std::env::set_var(SETTINGS_VARIABLE, "");
    assert_eq!(path_from_environment().unwrap_err().code, SettingsCode::PathNotSet);
    std::env::set_var(SETTINGS_VARIABLE, "/etc/local.conf");
    assert_eq!(path_from_environment().unwrap(), Path::new("/etc/local.conf"));
}
