//! Help texts: examples first, then the options.

use gumdrop::Options;

use crate::ctl::options;

/// Usage and examples of the general help.
const GENERAL_USAGE: &str = "\
Usage: persimmonctl COMMAND [OPTIONS]

Examples:
  persimmonctl check rules.txt
  persimmonctl apply rules.txt --wait --author anna --platform 10.0.0.1:7070
  persimmonctl status --keeper 10.1.0.4:7200
  persimmonctl drain upstream=ledger-2 --requester \"Psalmhand operations\"
";

/// The exit codes of [`crate::exit_code::ExitCode`].
const EXIT_CODES: &str = "
Exit codes:
  0 done  1 failed  2 usage  3 invalid file  4 conflicting change
  5 platform or peer cannot be reached  6 not confirmed in time
";

/// Returns the general help.
pub(super) fn general() -> String {
    let commands = options::CtlCommand::usage();
    let options = options::CtlOptions::usage();
    format!(
        "{GENERAL_USAGE}\nOptions, before or after the command:\n{options}\n\nCommands:\n{commands}\n{EXIT_CODES}"
    )
}

/// Returns the help of a command.
pub(super) fn of_command(command: &options::CtlCommand) -> String {
    let examples = match command {
        options::CtlCommand::Check(_) => {
            "persimmonctl check rules.txt\n  persimmonctl show | persimmonctl check -"
        }
        options::CtlCommand::Apply(_) => {
            "persimmonctl apply rules.txt --author anna\n  persimmonctl apply rules.txt --base 41 --wait --limit 4s"
        }
        options::CtlCommand::Show(_) => {
            "persimmonctl show > rules.txt\n  persimmonctl show --revision 41"
        }
        options::CtlCommand::History(_) => {
            "persimmonctl history\n  persimmonctl history --last 5 --json"
        }
        options::CtlCommand::Status(_) => "persimmonctl status --keeper 10.1.0.4:7200",
        options::CtlCommand::Explain(_) => {
            "persimmonctl explain --entry 10.1.0.4:7100 --user parish --database ledger \\\n    \"SELECT v FROM proofs WHERE k = 'x'\""
        }
        options::CtlCommand::Drain(_) => {
            "persimmonctl drain upstream=ledger-2 --requester \"Psalmhand operations\"\n  persimmonctl drain vm=vm-3 --requester \"Platform team\""
        }
        options::CtlCommand::Undrain(_) => "persimmonctl undrain upstream=ledger-2",
        options::CtlCommand::Promote(_) => {
            "persimmonctl promote ledger\n  persimmonctl promote ledger ledger-2"
        }
        options::CtlCommand::Verifier(_) => "persimmonctl verifier parish < password.txt",
    };
    let options = command.self_usage();
    format!("Examples:\n  {examples}\n\n{options}\n")
}
