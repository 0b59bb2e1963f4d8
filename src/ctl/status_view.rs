//! [`StatusView`]: the output of `persimmonctl status`, as tables and as JSON.

use std::collections;
use std::fmt;

use crate::ctl::text_table;
use crate::ctl::wait;
use crate::link::{control, program_report};
use crate::model::ids;

/// The report of a program on a VM.
#[derive(Debug)]
struct ProgramView {
    vm: ids::VmId,
    program: String,
    report: program_report::ProgramReport,
}

/// The state of the deployment as one keeper sees it, with the programs of all VMs whose keeper
/// answered.
#[derive(Debug)]
pub(super) struct StatusView {
    pub(super) report: control::StatusReport,
    programs: Vec<ProgramView>,
    /// Conditions that need an operator's attention.
    pub(super) problems: Vec<String>,
}

impl StatusView {
    /// Creates a view of a keeper's report, with the problems that the report shows.
    pub(super) fn new(report: control::StatusReport) -> Self {
        let mut problems = Vec::new();
        if !report.platform_reachable {
            problems.push("the platform does not answer; rules cannot be changed".to_owned());
        }
        for group in &report.groups {
            if group.primary.is_none() {
                problems.push(format!("group {} has no primary", group.group));
            }
            for upstream in group.upstreams.iter().filter(|status| !status.reachable) {
                problems.push(format!("upstream {} does not answer", upstream.upstream));
            }
        }
        for vm in report.vms.iter().filter(|vm| !vm.alive) {
            problems.push(format!("VM {} sends no heartbeats", vm.vm));
        }
        problems.extend(wait::outdated_programs(&report, report.rules_revision));
        let mut view = Self {
            report: control::StatusReport::default(),
            programs: Vec::new(),
            problems,
        };
        view.add_programs(&report);
        view.report = report;
        view
    }

    /// Adds the programs on the VM of another keeper.
    pub(super) fn add_programs(&mut self, report: &control::StatusReport) {
        let programs = report.programs.iter();
        self.programs
            .extend(programs.map(|(program, program_report)| ProgramView {
                vm: report.vm.clone(),
                program: program.clone(),
                report: program_report.clone(),
            }));
    }

    /// Sorts problems and programs, so that the output does not depend on the order of the answers.
    pub(super) fn sort(&mut self) {
        self.problems.sort();
        self.programs
            .sort_by(|left, right| (&left.vm, &left.program).cmp(&(&right.vm, &right.program)));
    }

    pub(super) fn to_json(&self) -> serde_json::Value {
        let programs: Vec<_> = self.programs.iter().map(ProgramView::to_json).collect();
        serde_json::json!({
            "vm": self.report.vm,
            "platform_reachable": self.report.platform_reachable,
            "rules_revision": self.report.rules_revision,
            "problems": self.problems,
            "groups": self.report.groups,
            "vms": self.report.vms,
            "programs": programs,
        })
    }

    fn group_table(&self) -> text_table::TextTable {
        let mut table = text_table::TextTable::new(&["GROUP", "PRIMARY", "TERM", "HOLDER"]);
        for group in &self.report.groups {
            let primary = group.primary.as_deref().unwrap_or("none");
            let holder = group.holder.as_deref().unwrap_or("none");
            table.add_row(&[&group.group, &primary, &group.term, &holder]);
        }
        table
    }

    fn upstream_table(&self) -> text_table::TextTable {
        let header = [
            "GROUP",
            "UPSTREAM",
            "ROLE",
            "DATA CENTRE",
            "STATE",
            "APPLIED",
            "LAG",
        ];
        let mut table = text_table::TextTable::new(&header);
        for group in &self.report.groups {
            for upstream in &group.upstreams {
                let role = match group.primary.as_ref() == Some(&upstream.upstream) {
                    true => "primary",
                    false => "replica",
                };
                let state = match (upstream.reachable, upstream.leaving) {
                    (false, _) => "unreachable",
                    (true, true) => "leaving",
                    (true, false) => "up",
                };
                let applied = upstream.state.as_ref().map(|state| state.applied);
                table.add_row(&[
                    &group.group,
                    &upstream.upstream,
                    &role,
                    &upstream.data_centre,
                    &state,
                    &or_empty(applied),
                    &or_empty(upstream.lag_entries),
                ]);
            }
        }
        table
    }

    fn vm_table(&self) -> text_table::TextTable {
        let header = ["VM", "DATA CENTRE", "STATE", "KEEPER", "ENTRY", "POOL"];
        let mut table = text_table::TextTable::new(&header);
        for vm in &self.report.vms {
            let state = match (vm.alive, vm.leaving) {
                (false, _) => "silent",
                (true, true) => "leaving",
                (true, false) => "up",
            };
            table.add_row(&[
                &vm.vm,
                &vm.data_centre,
                &state,
                &vm.keeper_revision,
                &or_empty(vm.entry_revision),
                &or_empty(vm.pool_revision),
            ]);
        }
        table
    }

    fn queue_table(&self) -> text_table::TextTable {
        let header = [
            "VM",
            "UPSTREAM",
            "WAITING",
            "RUNNING",
            "CONNECTIONS",
            "WAIT MS",
        ];
        let mut table = text_table::TextTable::new(&header);
        for program in &self.programs {
            for queue in &program.report.queues {
                table.add_row(&[
                    &program.vm,
                    &queue.upstream,
                    &queue.waiting,
                    &queue.running,
                    &queue.connections,
                    &queue.wait.as_millis(),
                ]);
            }
        }
        table
    }

    fn count_table(&self) -> text_table::TextTable {
        let header = ["VM", "PROGRAM", "COUNT OF", "REASON", "NUMBER"];
        let mut table = text_table::TextTable::new(&header);
        for program in &self.programs {
            for (reason, count) in &program.report.refusals {
                table.add_row(&[&program.vm, &program.program, &"refusals", reason, count]);
            }
            for (reason, count) in &program.report.retries {
                table.add_row(&[&program.vm, &program.program, &"retries", reason, count]);
            }
        }
        table
    }
}

impl fmt::Display for StatusView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (vm, revision) = (&self.report.vm, self.report.rules_revision);
        writeln!(
            formatter,
            "as seen by the keeper of {vm}, rules revision {revision}"
        )?;
        for problem in &self.problems {
            writeln!(formatter, "! {problem}")?;
        }
        for table in [
            self.group_table(),
            self.upstream_table(),
            self.vm_table(),
            self.queue_table(),
            self.count_table(),
        ] {
            if !table.is_empty() {
                write!(formatter, "\n{table}")?;
            }
        }
        Ok(())
    }
}

impl ProgramView {
    fn to_json(&self) -> serde_json::Value {
        let queues: Vec<_> = self
            .report
            .queues
            .iter()
            .map(|queue| {
                serde_json::json!({
                    "upstream": queue.upstream,
                    "waiting": queue.waiting,
                    "running": queue.running,
                    "connections": queue.connections,
                    "wait_ms": queue.wait.as_secs_f64() * 1_000.0,
                })
            })
            .collect();
        serde_json::json!({
            "vm": self.vm,
            "program": self.program,
            "rules_revision": self.report.rules_revision,
            "sessions": self.report.sessions,
            "queues": queues,
            "refusals": counts_by_reason(&self.report.refusals),
            "retries": counts_by_reason(&self.report.retries),
        })
    }
}

fn counts_by_reason<T: ToString>(counts: &[(T, u64)]) -> collections::BTreeMap<String, u64> {
    let pairs = counts.iter();
    pairs
        .map(|(reason, count)| (reason.to_string(), *count))
        .collect()
}

fn or_empty<T: ToString>(value: Option<T>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
