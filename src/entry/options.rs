//! [`EntryOptions`]: the command line of `persimmon-entry`.

use gumdrop::Options as _;

/// The command line.
#[derive(Debug, Default, gumdrop::Options)]
pub struct EntryOptions {
    #[options(help = "settings file (TOML)", meta = "FILE")]
    pub config: Option<String>,
    #[options(no_short, help = "check the settings file and exit")]
    pub check: bool,
    #[options(help = "print this help")]
    pub help: bool,
}

impl EntryOptions {
    /// Returns the text printed for `--help`.
    pub fn help_text() -> String {
        format!(
            "persimmon-entry accepts PostgreSQL callers and routes their statements.\n\n{}\n\n\
             Examples:\n  persimmon-entry --config entry.toml          # serve\n  \
             persimmon-entry --config entry.toml --check  # check the settings only\n",
            Self::usage()
        )
    }
}
