//! Builds the tables of a deployment with any number of VMs: 17 data centres and as many groups for
//! each VM as at the full size, with two rules for each group.

use persimmontack::model::{control_tables, group_spec, upstream_spec, vm_record};

/// Numbers of VMs at which costs are measured.
pub const VM_COUNTS: [usize; 5] = [1, 10, 100, 1_000, 3_000];
/// Number of VMs at the full size.
pub const FULL_VMS: usize = 3_000;
/// Number of groups at the full size.
pub const FULL_GROUPS: usize = 17_000;
/// Number of data centres.
const CENTRES: usize = 17;

fn centre(number: usize) -> String {
    format!("dc-{:02}", number % CENTRES)
}

fn address(number: usize, port: u16) -> std::net::SocketAddr {
    let low = u8::try_from(number % 250).unwrap_or(0);
    let high = u8::try_from(number / 250 % 250).unwrap_or(0);
    ([10, 1, high, low], port).into()
}

/// Returns the number of groups of a deployment with `vms` VMs.
pub const fn group_count(vms: usize) -> usize {
    (vms * FULL_GROUPS).div_ceil(FULL_VMS)
}

/// Returns the records of `count` VMs.
pub fn vms(count: usize) -> Vec<vm_record::VmRecord> {
    (0..count)
        .map(|number| vm_record::VmRecord {
            vm: format!("vm-{number:04}"),
            data_centre: centre(number),
            leaving: false,
            keeper: address(number, 7_001),
            pool: address(number, 7_002),
            entry: address(number, 7_003),
        })
        .collect()
}

/// Returns `count` groups, each with three upstreams in different data centres.
pub fn groups(count: usize) -> Vec<group_spec::GroupSpec> {
    (0..count)
        .map(|group| group_spec::GroupSpec {
            group: format!("group-{group:05}"),
            databases: vec![format!("database-{group:05}")],
            upstreams: (0..3)
                .map(|member| upstream_spec::UpstreamSpec {
                    upstream: format!("group-{group:05}-{member}"),
                    data_centre: centre(group + member),
                    address: address(group * 3 + member, 5_432),
                    slots: 3,
                    connections: 20,
                    leaving: false,
                })
                .collect(),
        })
        .collect()
}

/// Returns the text of a rules file with a read rule and a write rule for each group.
pub fn rules_text(groups: usize) -> String {
    (0..groups)
        .map(|group| {
            format!(
                "read database-{group:05} max-age=2s # asked for by: slopes\n\
                 write database-{group:05} deadline=5s # asked for by: slopes\n"
            )
        })
        .collect()
}

/// Returns all control tables of a deployment with `count` VMs.
pub fn tables(count: usize) -> control_tables::ControlTables {
    control_tables::ControlTables {
        vms: vms(count),
        groups: groups(group_count(count)),
        rules_revision: 1,
        rules_text: rules_text(group_count(count)),
    }
}
