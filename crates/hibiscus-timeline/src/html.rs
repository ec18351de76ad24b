//! The time line as one self-contained page with a lane for each process.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use crate::merge::MergedTimeline;
use crate::text;

/// Style of the page.
const STYLE: &str = "body{font:14px sans-serif;margin:1em}\
table{border-collapse:collapse}\
th{position:sticky;top:0;background:#eee;padding:4px 8px;text-align:left}\
td{border-left:1px solid #ccc;padding:2px 8px;vertical-align:top}\
td.time{font-family:monospace;text-align:right;white-space:nowrap}\
td.on{background:#e8f0fe}\
small{color:#555;overflow-wrap:anywhere}\
.gap{color:#a00}";

/// Renders the page; it loads nothing from elsewhere.
pub fn render(timeline: &MergedTimeline) -> String {
    let lanes: BTreeSet<&str> = timeline
        .events
        .iter()
        .map(|event| event.instance.as_str())
        .collect();
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\
         <title>Time line</title><style>{STYLE}</style></head>\n<body>\n"
    );
    for gap in &timeline.gaps {
        let _infallible = writeln!(
            page,
            "<p class=\"gap\">{}: {}</p>",
            escape(&gap.source),
            escape(&gap.text)
        );
    }
    page.push_str("<table>\n<tr><th>ms</th>");
    for lane in &lanes {
        let _infallible = write!(page, "<th>{}</th>", escape(lane));
    }
    page.push_str("</tr>\n");
    let first = timeline.events.first().map_or(0, |event| event.time_ns);
    for event in &timeline.events {
        let time = text::elapsed(first, event);
        let _infallible = write!(page, "<tr><td class=\"time\">{time}</td>");
        for lane in &lanes {
            if *lane != event.instance {
                page.push_str("<td></td>");
                continue;
            }
            let _infallible = write!(
                page,
                "<td class=\"on\">{} {}<br><small>{}</small></td>",
                escape(&event.code),
                escape(&event.text),
                escape(text::fields(event).trim_start())
            );
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n</body>\n</html>\n");
    page
}

/// Escapes text that callers may have chosen, such as a request's key.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
