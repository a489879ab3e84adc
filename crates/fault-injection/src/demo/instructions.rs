//! The text that the demo prints after its start: addresses, processes, and commands to try.

use std::fmt::Write;

use super::configuration::{ADDED_PATH, CHAT_PATH, HOST, added_route};
use super::ports::DemoPorts;
use super::replica::MODEL;
use crate::deployment::Deployment;

/// A prompt of two segments, in the format of the header `Prompt-Start`.
const PROMPT: &str = "5c1e07a2:800,91bd3f06:400";

/// The complete text for a running deployment.
pub(super) fn text(deployment: &Deployment, ports: DemoPorts) -> String {
    let mut text = String::from("\n");
    let mut line = |entry: String| {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{entry}");
    };
    for (index, edge) in deployment.edges.iter().enumerate() {
        let pid = edge.proxy.pid().unwrap_or(0);
        line(format!(
            "{:10} proxy          http://{}  process {pid}",
            edge.machine.name,
            ports.proxy_address(index)
        ));
    }
    for (index, member) in deployment.members.iter().enumerate() {
        let pid = member.process.pid().unwrap_or(0);
        let address = ports.member_address(index);
        line(format!("{:10} control plane  http://{address}  process {pid}", member.machine.name));
    }
    line(format!("logs       {}", deployment.folder().display()));
    line(
        "\nA request. Its answer is a stream; sent again, to either proxy, it goes to the replica that has"
            .to_owned(),
    );
    line("its prompt in the cache, and \"cached_tokens\" says so:".to_owned());
    line(format!("  {}", request_command(ports, CHAT_PATH)));
    line("\nOne more route, as revision 2 of the configuration, and a request on it:".to_owned());
    line(format!(
        "  curl -L -X PATCH -H 'If-Match: 1' -d '{}' http://{}/settings",
        added_route(),
        ports.member_address(0)
    ));
    line(format!("  {}", request_command(ports, ADDED_PATH)));
    line("\nHow a member sees the control plane (\"lease\": true is the primary):".to_owned());
    line(format!("  curl http://{}/status", ports.member_address(0)));
    let primary = deployment.primary().and_then(|index| deployment.members[index].process.pid());
    if let Some(pid) = primary {
        line(
            "\nKill the primary: another member takes over, and the killed one comes back as a backup:"
                .to_owned(),
        );
        line(format!("  kill -9 {pid}"));
    }
    line("\nCtrl-C ends all. What happens from here on:".to_owned());
    text
}

fn request_command(ports: DemoPorts, path: &str) -> String {
    format!(
        "curl -N -H 'Host: {HOST}' -H \"Attempt-Id: $RANDOM\" -H 'Time-Left-Ms: 15000' -H 'Llm: {MODEL}' \
         -H 'Token-Count: 1200,10' -H 'Prompt-Start: {PROMPT}' -d hello http://{}{path}",
        ports.proxy_address(0)
    )
}
