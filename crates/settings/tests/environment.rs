//! The variable that names the settings file; alone in its file since it is changed for the whole process.

use std::path::Path;

use crankpick_settings::{path_from_environment, SettingsCode, SETTINGS_VARIABLE};

#[test]
fn a_file_that_nothing_names() {
    std::env::remove_var(SETTINGS_VARIABLE);
    assert_eq!(path_from_environment().unwrap_err().code, SettingsCode::NotNamed);
    std::env::set_var(SETTINGS_VARIABLE, "");
    assert_eq!(path_from_environment().unwrap_err().code, SettingsCode::NotNamed);
    std::env::set_var(SETTINGS_VARIABLE, "/etc/local.conf");
    assert_eq!(path_from_environment().unwrap(), Path::new("/etc/local.conf"));
}
