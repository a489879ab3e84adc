//! Tests of single modules, without sockets or processes.

mod api_keys;
mod case_files;
mod json_nesting;
mod messages_order;
mod object_splitting;
mod prompt_routing;
mod request_reading;
mod surrogate_joining;
