//! Stand-ins for the scripts of `review/`: a small fleet of real processes on loopback addresses, and around it the
//! platform, the operator, backends and clients. Standard library only.
//!
//!     stand-ins late-beat FOLDER    DRAIN, review/2
//!     stand-ins resets FOLDER       BUDGET, review/1
//!
//! `TROUBLE=0` leaves the disruption out. `KILL=0` and `LATE=0` leave out one half of that of `late-beat`. Exits with 0 if
//! the rule held, 1 if it was broken, 2 if the case could not run.

mod fleet;
mod http;
mod late_beat;
mod resets;

use std::io::Write;
use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = match arguments.as_slice() {
        [_, case, folder] => (case.as_str(), PathBuf::from(folder)),
        _ => {
            eprintln!("usage: stand-ins late-beat|resets FOLDER");
            exit(2);
        }
    };
    let trouble = !is_off("TROUBLE");
    let result = match case {
        "late-beat" => late_beat::run(&folder, trouble && !is_off("KILL"), trouble && !is_off("LATE")),
        "resets" => resets::run(&folder, trouble),
        _ => Err(format!("no case named {case}")),
    };
    match result {
        Ok(true) => say("the rule held"),
        Ok(false) => {
            say("the rule was broken");
            exit(1);
        }
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            exit(2);
        }
    }
}

/// Prints a line; whether somebody reads it makes no difference to the case.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn is_off(variable: &str) -> bool {
    std::env::var(variable).is_ok_and(|value| value == "0")
}
